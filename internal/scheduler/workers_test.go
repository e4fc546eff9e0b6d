package scheduler

import (
	"context"
	"sync"
	"time"

	"agatewinch/internal/core"
	"agatewinch/internal/platform"
)

// fakeFleet are workers in memory, each reached at its own ID. Tasks run until the test
// ends them.
type fakeFleet struct {
	mu      sync.Mutex
	workers map[string]*fakeWorker
	starts  []platform.HeldTask
}

type fakeWorker struct {
	holder  platform.Holder
	tasks   map[core.TaskRef]*platform.HeldTask
	refused map[core.TaskRef]bool
	reports []platform.TaskReport
	seq     uint64
	leaving bool
	// away refuses all calls at the connection; mute carries them out without an answer.
	away bool
	mute bool
	// calledAt is the time of the last call, and longestSilence the longest time between
	// two.
	calledAt       time.Time
	longestSilence time.Duration
	news           chan struct{}
}

func newFleet(ids ...string) *fakeFleet {
	f := &fakeFleet{workers: map[string]*fakeWorker{}}
	for _, id := range ids {
		f.workers[id] = &fakeWorker{tasks: map[core.TaskRef]*platform.HeldTask{}, refused: map[core.TaskRef]bool{}, news: make(chan struct{})}
	}
	return f
}

// change runs f on a worker.
func (f *fakeFleet) change(id string, change func(w *fakeWorker)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.workers[id]
	change(w)
	close(w.news)
	w.news = make(chan struct{})
}

// finishAll ends all started tasks with success.
func (f *fakeFleet) finishAll() {
	for id := range f.workers {
		f.change(id, func(w *fakeWorker) {
			for ref, t := range w.tasks {
				if !t.Started {
					continue
				}
				delete(w.tasks, ref)
				w.refused[ref] = true
				w.seq++
				w.reports = append(w.reports, platform.TaskReport{Seq: w.seq, Kind: platform.ReportEnded, Task: ref, OK: true, Output: []byte(ref.Job)})
			}
		})
	}
}

// startsOf returns how often tasks of a job were started.
func (f *fakeFleet) startsOf(id core.JobID) int {
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

func (f *fakeFleet) Hosts(context.Context) ([]platform.Host, error) {
	var out []platform.Host
	for id := range f.workers {
		out = append(out, platform.Host{ID: id, Kind: platform.BackendHost, Zone: zone, Addr: id, State: platform.HostLive})
	}
	return out, nil
}

func (w *fakeWorker) admits(h platform.Holder) bool {
	now := time.Now()
	if !w.calledAt.IsZero() {
		w.longestSilence = max(w.longestSilence, now.Sub(w.calledAt))
	}
	w.calledAt = now
	if h.Term < w.holder.Term || h.Term == w.holder.Term && h.ID != w.holder.ID {
		return false
	}
	w.holder = h
	return true
}

func (f *fakeFleet) Do(_ context.Context, addr string, b platform.Batch) ([]platform.OpResult, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.workers[addr]
	if w.away {
		return nil, platform.ErrNotApplied
	}
	results := make([]platform.OpResult, len(b.Ops))
	admitted := w.admits(b.Holder)
	for i, op := range b.Ops {
		results[i] = platform.OpResult{Reason: core.RefusedLowTerm}
		if admitted {
			results[i] = f.one(w, op)
		}
	}
	if w.mute {
		return nil, platform.ErrUnknown
	}
	return results, nil
}

func (f *fakeFleet) one(w *fakeWorker, op platform.Op) platform.OpResult {
	t, held := w.tasks[op.Task]
	switch {
	case op.Kind == platform.OpReserve && w.refused[op.Task]:
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
		w.refused[op.Task] = true
	}
	return platform.OpResult{OK: true}
}

func (f *fakeFleet) Renew(ctx context.Context, addr string, req platform.RenewRequest) (platform.RenewReply, error) {
	timeout := time.After(req.Wait)
	for {
		reply, news, err := f.tryRenew(addr, req)
		if err != nil || !reply.OK || len(reply.Reports) > 0 || req.Wait <= 0 {
			return reply, err
		}
		select {
		case <-news:
		case <-timeout:
			return reply, nil
		case <-ctx.Done():
			return reply, platform.ErrUnknown
		}
	}
}

func (f *fakeFleet) tryRenew(addr string, req platform.RenewRequest) (platform.RenewReply, chan struct{}, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.workers[addr]
	switch {
	case w.away:
		return platform.RenewReply{}, nil, platform.ErrNotApplied
	case !w.admits(req.Holder):
		return platform.RenewReply{Reason: core.RefusedLowTerm, Term: w.holder.Term}, nil, nil
	case w.mute:
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
	return reply, w.news, nil
}
