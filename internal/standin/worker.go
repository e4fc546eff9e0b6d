package standin

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"agatewinch/internal/core"
	"agatewinch/internal/platform"
)

const (
	// maxReports is the maximum number of unacknowledged reports.
	maxReports = 4096
	// maxTombstones is the maximum number of remembered tasks that must not start any more.
	maxTombstones = 65536
	// incarnationShift is the position, in bits, of the incarnation number in report
	// numbers. It makes report numbers increase across a worker's restarts.
	incarnationShift = 32
)

// Behaviour tells a stand-in worker how to simulate a task. It is the task's payload.
type Behaviour struct {
	// RunSeconds is how long the task runs; zero means the job's declared run time.
	RunSeconds float64 `json:"run_seconds"`
	// Fail makes the task fail at its end.
	Fail bool `json:"fail,omitempty"`
	// Output is the task's output; when empty, the output names the job and the worker.
	Output string `json:"output,omitempty"`
	// NoCheckpoint makes a preemption lose the task's progress.
	NoCheckpoint bool `json:"no_checkpoint,omitempty"`
}

// WorkerFaults are a worker's limits and faults. Durations are in nanoseconds.
type WorkerFaults struct {
	// Leaving makes the worker refuse new reservations and finish its tasks.
	Leaving bool `json:"leaving" yaml:"leaving"`
	// FailAll makes every task fail at its end.
	FailAll bool `json:"fail_all" yaml:"fail_all"`
	// FailAfter, with FailAll, limits the time after which tasks fail; zero means that
	// they fail at their own end.
	FailAfter time.Duration `json:"fail_after" yaml:"fail_after"`
	// Frozen blocks every call. Blocked calls are executed when Frozen is cleared,
	// whether or not the client still waits. Leases still expire and tasks still run.
	Frozen bool `json:"frozen" yaml:"frozen"`
	// DoubleReports repeats every acknowledged report once, in the next answer.
	DoubleReports bool `json:"double_reports" yaml:"double_reports"`
	// CheckpointTime is how long a checkpoint takes; the task continues meanwhile.
	CheckpointTime time.Duration `json:"checkpoint_time" yaml:"checkpoint_time"`
	// UsageEvery is the interval of usage reports for each task; zero means none.
	UsageEvery time.Duration `json:"usage_every" yaml:"usage_every"`
	// UsageLag is how old the figures in usage reports are.
	UsageLag time.Duration `json:"usage_lag" yaml:"usage_lag"`
	// MaxConns is the number of open connections above which new ones are closed at
	// once; zero means unlimited.
	MaxConns int `json:"max_conns" yaml:"max_conns"`
}

// worker is one machine with its backend server. changed is closed, and replaced, when
// waiting renewals have to check for a new answer; unfrozen, when Frozen is cleared.
type worker struct {
	def         core.Worker
	ledger      *ledger
	checkpoints *checkpoints
	rendezvous  *rendezvous
	conns       connCounter

	// mu guards the fields below. Calls, timers and the admin interface lock it; the methods for
	// a single operation or report are called with it held.
	mu                     sync.Mutex
	faults                 WorkerFaults
	unfrozen               chan struct{}
	incarnation            uint64
	holder                 platform.Holder
	leaseEnd               time.Time
	leaseTimer             *time.Timer
	tasks                  map[core.TaskRef]*heldTask
	tombstones             tombstones
	seq                    uint64
	reports                []platform.TaskReport
	acknowledged           uint64
	previouslyAcknowledged uint64
	changed                chan struct{}
}

func newWorker(def core.Worker, f WorkerFaults, l *ledger, c *checkpoints, r *rendezvous) *worker {
	w := &worker{def: def, ledger: l, checkpoints: c, rendezvous: r, faults: f, changed: make(chan struct{}), unfrozen: make(chan struct{})}
	w.conns.limit.Store(int64(f.MaxConns))
	w.reset()
	return w
}

// reset begins a new incarnation of the worker, with the state of a worker that has just
// started.
func (w *worker) reset() {
	w.incarnation++
	w.seq = w.incarnation << incarnationShift
	w.holder = platform.Holder{}
	w.leaseEnd = time.Time{}
	w.tasks = map[core.TaskRef]*heldTask{}
	w.tombstones = newTombstones(maxTombstones)
	w.reports, w.acknowledged, w.previouslyAcknowledged = nil, 0, 0
}

// restart simulates a restart of the worker, which loses its tasks, holder and term, lease,
// tombstones and reports, but keeps its faults.
func (w *worker) restart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, t := range w.tasks {
		t.timer.Stop()
		w.rendezvous.leave(t)
		if t.begun {
			w.ledger.addTask(EntryLost, w.def.ID, t, false, "")
		}
	}
	if w.leaseTimer != nil {
		w.leaseTimer.Stop()
	}
	w.reset()
	w.notify()
}

func (w *worker) setFaults(f WorkerFaults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if f.Leaving != w.faults.Leaving {
		kind := EntryReturned
		if f.Leaving {
			kind = EntryLeaving
		}
		w.ledger.add(Entry{Kind: kind, Worker: w.def.ID})
	}
	if w.faults.Frozen && !f.Frozen {
		close(w.unfrozen)
		w.unfrozen = make(chan struct{})
	}
	w.faults = f
	w.conns.limit.Store(int64(f.MaxConns))
	w.notify()
}

// awaitUnfrozen waits until the worker is not frozen.
func (w *worker) awaitUnfrozen() {
	for {
		w.mu.Lock()
		frozen, unfrozen := w.faults.Frozen, w.unfrozen
		w.mu.Unlock()
		if !frozen {
			return
		}
		<-unfrozen
	}
}

// notify makes waiting renewals check for a new answer.
func (w *worker) notify() {
	close(w.changed)
	w.changed = make(chan struct{})
}

// acceptsHolder reports whether h may call the worker. A lower term than the current
// holder's is refused, and so is another holder with the same term.
func (w *worker) acceptsHolder(h platform.Holder) bool {
	return h.Term > w.holder.Term || h == w.holder
}

// fence checks the holder of a call and renews its lease, or returns the reason of the
// refusal. The holder's term is the fencing token.
func (w *worker) fence(h platform.Holder, ttl time.Duration) core.RefusalReason {
	if !w.acceptsHolder(h) {
		return core.RefusedLowTerm
	}
	if h != w.holder {
		w.holder = h
		w.notify()
	}
	w.leaseEnd = time.Now().Add(ttl)
	if w.leaseTimer != nil {
		w.leaseTimer.Stop()
	}
	w.leaseTimer = time.AfterFunc(ttl, w.expireLease)
	return ""
}

// expireLease ends all tasks and reservations held under the lease. It does nothing if a
// renewal extended the lease after the timer had fired.
func (w *worker) expireLease() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if time.Now().Before(w.leaseEnd) {
		return
	}
	for ref, t := range w.tasks {
		w.drop(t, EntryLeaseExpired)
		w.report(platform.TaskReport{Kind: platform.ReportExpired, Task: ref, Started: t.begun})
	}
}

// do executes a batch. The holder is checked again before each operation because a
// preemption releases the worker's lock, and another holder may take over meanwhile.
func (w *worker) do(b platform.Batch) []platform.OpResult {
	w.awaitUnfrozen()
	w.mu.Lock()
	defer w.mu.Unlock()
	results := make([]platform.OpResult, len(b.Ops))
	reason := w.fence(b.Holder, b.TTL)
	for i, op := range b.Ops {
		if reason == "" && !w.acceptsHolder(b.Holder) {
			reason = core.RefusedLowTerm
		}
		if reason != "" {
			results[i] = platform.OpResult{Reason: reason}
			continue
		}
		results[i] = w.execute(b.Holder, op)
	}
	return results
}

func (w *worker) execute(h platform.Holder, op platform.Op) platform.OpResult {
	switch op.Kind {
	case platform.OpReserve:
		return w.reserve(h, op)
	case platform.OpStart:
		return w.start(h, op)
	case platform.OpRelease, platform.OpStop:
		return w.stop(op)
	case platform.OpPreempt:
		return w.preempt(op)
	case platform.OpThrottle:
		return w.throttle(op)
	default:
		return platform.OpResult{Reason: core.RefusedUnknown}
	}
}

// renew renews the lease and waits for reports, for a change of Leaving, or until the
// holder is refused.
func (w *worker) renew(ctx context.Context, req platform.RenewRequest) platform.RenewReply {
	w.awaitUnfrozen()
	timeout := time.NewTimer(req.Wait)
	defer timeout.Stop()
	reply, changed := w.renewLease(req)
	for {
		if !reply.OK || endsWait(reply.Reports) || req.List || req.Wait <= 0 {
			return reply
		}
		select {
		case <-changed:
		case <-timeout.C:
			return reply
		case <-ctx.Done():
			return reply
		}
		leaving := reply.Leaving
		reply, changed = w.recheck(req)
		if reply.Leaving != leaving {
			return reply
		}
	}
}

// renewLease renews the lease and returns the answer so far. It runs once for each call,
// so the lease does not depend on how long the call then waits.
func (w *worker) renewLease(req platform.RenewRequest) (platform.RenewReply, chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if reason := w.fence(req.Holder, req.TTL); reason != "" {
		return w.refusal(reason), nil
	}
	w.acknowledge(req.After)
	return w.buildReply(req)
}

// recheck returns the answer to a waiting renewal. It checks the holder again, but does not
// renew the lease.
func (w *worker) recheck(req platform.RenewRequest) (platform.RenewReply, chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.acceptsHolder(req.Holder) {
		return w.refusal(core.RefusedLowTerm), nil
	}
	return w.buildReply(req)
}

func (w *worker) refusal(reason core.RefusalReason) platform.RenewReply {
	return platform.RenewReply{Reason: reason, Term: w.holder.Term, Incarnation: w.incarnation}
}

func (w *worker) buildReply(req platform.RenewRequest) (platform.RenewReply, chan struct{}) {
	if req.Usage {
		w.queueUsageReports()
	}
	reply := platform.RenewReply{OK: true, Term: w.holder.Term, Leaving: w.faults.Leaving, Incarnation: w.incarnation}
	reply.Reports = w.pendingReports()
	if req.List {
		for _, t := range w.tasks {
			reply.Tasks = append(reply.Tasks, t.HeldTask)
		}
	}
	return reply, w.changed
}

// parseBehaviour decodes a task's payload. Fields that cannot be decoded keep their zero values, so
// a task without a valid payload runs for its declared run time and succeeds.
func parseBehaviour(payload []byte) Behaviour {
	var b Behaviour
	_ = json.Unmarshal(payload, &b)
	return b
}
