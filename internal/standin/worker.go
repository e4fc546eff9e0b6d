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
	// maxReports bounds the reports that wait for a holder's receipt.
	maxReports = 4096
	// maxTombstones bounds the memory of tasks that may not start any more.
	maxTombstones = 65536
	// bootShift keeps report numbers growing over a worker's restarts.
	bootShift = 32
)

// Behaviour is what a task's payload asks of the stand-in worker.
type Behaviour struct {
	// RunSeconds is how long the task runs; the declared time when zero.
	RunSeconds float64 `json:"run_seconds"`
	// Fail ends the task with a failure.
	Fail bool `json:"fail,omitempty"`
	// Output is returned when the task succeeds.
	Output string `json:"output,omitempty"`
	// NoCheckpoint makes a preemption lose the task's progress.
	NoCheckpoint bool `json:"no_checkpoint,omitempty"`
}

// WorkerFaults are a worker's limits and faults. Durations are in nanoseconds.
type WorkerFaults struct {
	// Leaving refuses new reservations and lets tasks finish.
	Leaving bool `json:"leaving" yaml:"leaving"`
	// FailAll makes every task fail at its end.
	FailAll bool `json:"fail_all" yaml:"fail_all"`
	// FailAfter, with FailAll, ends tasks after this time instead of their own.
	FailAfter time.Duration `json:"fail_after" yaml:"fail_after"`
	// Frozen holds every call. Held calls are carried out when it ends, whether or not
	// the client still waits. Leases and tasks go on.
	Frozen bool `json:"frozen" yaml:"frozen"`
	// DoubleReports repeats every report once in the next answer.
	DoubleReports bool `json:"double_reports" yaml:"double_reports"`
	// CheckpointTime is how long a checkpoint takes; the task goes on meanwhile.
	CheckpointTime time.Duration `json:"checkpoint_time" yaml:"checkpoint_time"`
	// UsageEvery is the interval of usage reports for each task; zero means none.
	UsageEvery time.Duration `json:"usage_every" yaml:"usage_every"`
	// UsageLag is how old the figures in usage reports are.
	UsageLag time.Duration `json:"usage_lag" yaml:"usage_lag"`
	// MaxConns is the number of connections above which new ones are closed at once;
	// zero means without a bound.
	MaxConns int `json:"max_conns" yaml:"max_conns"`
}

// worker is one machine with its backend server.
type worker struct {
	def         core.Worker
	ledger      *ledger
	checkpoints *checkpoints
	conns       connCounter

	mu       sync.Mutex
	faults   WorkerFaults
	thawed   chan struct{}
	boot     uint64
	holder   platform.Holder
	leaseEnd time.Time
	lease    *time.Timer
	tasks    map[core.TaskRef]*heldTask
	refused  tombstones
	seq      uint64
	reports  []platform.TaskReport
	received uint64
	doubled  uint64
	news     chan struct{}
}

func newWorker(def core.Worker, f WorkerFaults, l *ledger, c *checkpoints) *worker {
	w := &worker{def: def, ledger: l, checkpoints: c, faults: f, news: make(chan struct{}), thawed: make(chan struct{})}
	w.conns.limit.Store(int64(f.MaxConns))
	w.forget()
	return w
}

// forget puts the worker into the state after a boot.
func (w *worker) forget() {
	w.boot++
	w.seq = w.boot << bootShift
	w.holder = platform.Holder{}
	w.leaseEnd = time.Time{}
	w.tasks = map[core.TaskRef]*heldTask{}
	w.refused = newTombstones(maxTombstones)
	w.reports, w.received, w.doubled = nil, 0, 0
}

// restart loses everything that the worker holds.
func (w *worker) restart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, t := range w.tasks {
		t.timer.Stop()
		if t.Started {
			w.ledger.task(EntryLost, w.def.ID, t, false, "")
		}
	}
	if w.lease != nil {
		w.lease.Stop()
	}
	w.forget()
	w.wake()
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
		close(w.thawed)
		w.thawed = make(chan struct{})
	}
	w.faults = f
	w.conns.limit.Store(int64(f.MaxConns))
	w.wake()
}

// awaitThaw returns when the worker is not frozen.
func (w *worker) awaitThaw() {
	for {
		w.mu.Lock()
		frozen, thawed := w.faults.Frozen, w.thawed
		w.mu.Unlock()
		if !frozen {
			return
		}
		<-thawed
	}
}

func (w *worker) wake() {
	close(w.news)
	w.news = make(chan struct{})
}

// admits refuses a lower term and a second holder of the same term.
func (w *worker) admits(h platform.Holder) bool {
	return h.Term > w.holder.Term || h == w.holder
}

// fence admits a call by its holder and renews the lease.
func (w *worker) fence(h platform.Holder, ttl time.Duration) core.RefusalReason {
	if !w.admits(h) {
		return core.RefusedLowTerm
	}
	if h != w.holder {
		w.holder = h
		w.wake()
	}
	w.leaseEnd = time.Now().Add(ttl)
	if w.lease != nil {
		w.lease.Stop()
	}
	w.lease = time.AfterFunc(ttl, w.lapse)
	return ""
}

// lapse ends everything that is held under the lease, unless a renewal that overtook
// the timer moved the lease's end.
func (w *worker) lapse() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if time.Now().Before(w.leaseEnd) {
		return
	}
	for ref, t := range w.tasks {
		w.drop(t, EntryLapsed)
		w.report(platform.TaskReport{Kind: platform.ReportLapsed, Task: ref, Started: t.Started})
	}
}

func (w *worker) do(b platform.Batch) []platform.OpResult {
	w.awaitThaw()
	w.mu.Lock()
	defer w.mu.Unlock()
	results := make([]platform.OpResult, len(b.Ops))
	reason := w.fence(b.Holder, b.TTL)
	for i, op := range b.Ops {
		if reason == "" && !w.admits(b.Holder) {
			reason = core.RefusedLowTerm
		}
		if reason != "" {
			results[i] = platform.OpResult{Reason: reason}
			continue
		}
		results[i] = w.one(b.Holder, op)
	}
	return results
}

func (w *worker) one(h platform.Holder, op platform.Op) platform.OpResult {
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

func (w *worker) renew(ctx context.Context, req platform.RenewRequest) platform.RenewReply {
	w.awaitThaw()
	timeout := time.NewTimer(req.Wait)
	defer timeout.Stop()
	reply, news := w.firstRenew(req)
	for {
		if !reply.OK || wakes(reply.Reports) || req.List || req.Wait <= 0 {
			return reply
		}
		select {
		case <-news:
		case <-timeout.C:
			return reply
		case <-ctx.Done():
			return reply
		}
		leaving := reply.Leaving
		reply, news = w.look(req)
		if reply.Leaving != leaving {
			return reply
		}
	}
}

// firstRenew renews the lease, once for each call, however long the call then waits.
func (w *worker) firstRenew(req platform.RenewRequest) (platform.RenewReply, chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if reason := w.fence(req.Holder, req.TTL); reason != "" {
		return w.refusal(reason), nil
	}
	w.receive(req.After)
	return w.reply(req)
}

func (w *worker) look(req platform.RenewRequest) (platform.RenewReply, chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.admits(req.Holder) {
		return w.refusal(core.RefusedLowTerm), nil
	}
	return w.reply(req)
}

func (w *worker) refusal(reason core.RefusalReason) platform.RenewReply {
	return platform.RenewReply{Reason: reason, Term: w.holder.Term, Boot: w.boot}
}

func (w *worker) reply(req platform.RenewRequest) (platform.RenewReply, chan struct{}) {
	if req.Usage {
		w.reportUsage()
	}
	reply := platform.RenewReply{OK: true, Term: w.holder.Term, Leaving: w.faults.Leaving, Boot: w.boot}
	reply.Reports = w.pending()
	if req.List {
		for _, t := range w.tasks {
			reply.Tasks = append(reply.Tasks, t.HeldTask)
		}
	}
	return reply, w.news
}

func behaviour(payload []byte) Behaviour {
	var b Behaviour
	_ = json.Unmarshal(payload, &b)
	return b
}
