package scheduler

import (
	"context"
	"sync"
	"time"

	"agatewinch/internal/core"
	"agatewinch/internal/platform"
)

// fakeBackend simulates workers in memory; the address of a worker is its ID. Tasks run until
// the test ends them.
type fakeBackend struct {
	mu      sync.Mutex
	workers map[string]*fakeWorker
	starts  []platform.HeldTask
}

type fakeWorker struct {
	holder  platform.Holder
	tasks   map[core.TaskRef]*platform.HeldTask
	ended   map[core.TaskRef]bool
	reports []platform.TaskReport
	seq     uint64
	leaving bool
	// unreachable makes all calls fail to connect; answersLost makes calls take effect
	// without an answer.
	unreachable bool
	answersLost bool
	// lastCall is the time of the last call, and longestGap the longest time between two
	// calls.
	lastCall   time.Time
	longestGap time.Duration
	changed    chan struct{}
}

func newFakeBackend(ids ...string) *fakeBackend {
	f := &fakeBackend{workers: map[string]*fakeWorker{}}
	for _, id := range ids {
		f.workers[id] = &fakeWorker{tasks: map[core.TaskRef]*platform.HeldTask{}, ended: map[core.TaskRef]bool{}, changed: make(chan struct{})}
	}
	return f
}

// change applies modify to a worker and wakes its long polls.
func (f *fakeBackend) change(id string, modify func(w *fakeWorker)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.workers[id]
	modify(w)
	close(w.changed)
	w.changed = make(chan struct{})
}

// finishAll ends all started tasks successfully.
func (f *fakeBackend) finishAll() {
	for id := range f.workers {
		f.change(id, func(w *fakeWorker) {
			for ref, t := range w.tasks {
				if !t.Started {
					continue
				}
				delete(w.tasks, ref)
				w.ended[ref] = true
				w.seq++
				w.reports = append(w.reports, platform.TaskReport{Seq: w.seq, Kind: platform.ReportEnded, Task: ref, OK: true, Output: []byte(ref.Job)})
			}
		})
	}
}

// startsOf counts the task starts of a job.
func (f *fakeBackend) startsOf(id core.JobID) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, t := range f.starts {
		if t.Task.Job == id {
			n++
		}
	}
	return n
}

func (f *fakeBackend) Hosts(context.Context) ([]platform.Host, error) {
	var out []platform.Host
	for id := range f.workers {
		out = append(out, platform.Host{ID: id, Kind: platform.BackendHost, Zone: zone, Addr: id, State: platform.HostLive})
	}
	return out, nil
}

// acceptCall records a call and reports whether it comes from the lease holder of the highest
// known term.
func (w *fakeWorker) acceptCall(h platform.Holder) bool {
	now := time.Now()
	if !w.lastCall.IsZero() {
		w.longestGap = max(w.longestGap, now.Sub(w.lastCall))
	}
	w.lastCall = now
	if h.Term < w.holder.Term || h.Term == w.holder.Term && h.ID != w.holder.ID {
		return false
	}
	w.holder = h
	return true
}

func (f *fakeBackend) Do(_ context.Context, addr string, b platform.Batch) ([]platform.OpResult, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.workers[addr]
	if w.unreachable {
		return nil, platform.ErrNotApplied
	}
	results := make([]platform.OpResult, len(b.Ops))
	accepted := w.acceptCall(b.Holder)
	for i, op := range b.Ops {
		results[i] = platform.OpResult{Reason: core.RefusedLowTerm}
		if accepted {
			results[i] = f.execute(w, op)
		}
	}
	if w.answersLost {
		return nil, platform.ErrUnknown
	}
	return results, nil
}

func (f *fakeBackend) execute(w *fakeWorker, op platform.Op) platform.OpResult {
	t, held := w.tasks[op.Task]
	switch {
	case op.Kind == platform.OpReserve && w.ended[op.Task]:
		return platform.OpResult{Reason: core.RefusedUnknown}
	case op.Kind == platform.OpReserve && w.leaving:
		return platform.OpResult{Reason: core.RefusedLeaving}
	case op.Kind == platform.OpReserve:
		w.tasks[op.Task] = &platform.HeldTask{Task: op.Task, Cell: op.Cell, Job: *op.Job}
	case op.Kind == platform.OpStart && !held:
		return platform.OpResult{Reason: core.RefusedUnknown}
	case op.Kind == platform.OpStart:
		t.Started = true
		f.starts = append(f.starts, *t)
	default:
		delete(w.tasks, op.Task)
		w.ended[op.Task] = true
	}
	return platform.OpResult{OK: true}
}

func (f *fakeBackend) Renew(ctx context.Context, addr string, req platform.RenewRequest) (platform.RenewReply, error) {
	timeout := time.After(req.Wait)
	for {
		reply, changed, err := f.tryRenew(addr, req)
		if err != nil || !reply.OK || len(reply.Reports) > 0 || req.Wait <= 0 {
			return reply, err
		}
		select {
		case <-changed:
		case <-timeout:
			return reply, nil
		case <-ctx.Done():
			return reply, platform.ErrUnknown
		}
	}
}

func (f *fakeBackend) tryRenew(addr string, req platform.RenewRequest) (platform.RenewReply, chan struct{}, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.workers[addr]
	switch {
	case w.unreachable:
		return platform.RenewReply{}, nil, platform.ErrNotApplied
	case !w.acceptCall(req.Holder):
		return platform.RenewReply{Reason: core.RefusedLowTerm, Term: w.holder.Term}, nil, nil
	case w.answersLost:
		return platform.RenewReply{}, nil, platform.ErrUnknown
	}
	reply := platform.RenewReply{OK: true, Term: w.holder.Term, Leaving: w.leaving}
	for _, r := range w.reports {
		if r.Seq > req.After {
			reply.Reports = append(reply.Reports, r)
		}
	}
	if req.List {
		for _, t := range w.tasks {
			reply.Tasks = append(reply.Tasks, *t)
		}
	}
	return reply, w.changed, nil
}
