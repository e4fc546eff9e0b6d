package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"agatewinch/internal/core"
	"agatewinch/internal/platform"
)

// Behaviour is what a task's payload asks of the stand-in worker.
type Behaviour struct {
	// RunSeconds is how long the task runs; the declared time when zero.
	RunSeconds float64 `json:"run_seconds"`
	// Fail ends the task with a failure.
	Fail bool `json:"fail"`
	// Output is returned when the task succeeds.
	Output string `json:"output"`
}

// worker is one machine with its backend server.
type worker struct {
	def    core.Worker
	ledger *ledger

	mu      sync.Mutex
	holder  platform.Holder
	lease   *time.Timer
	tasks   map[core.TaskRef]*heldTask
	refused map[core.TaskRef]bool
	seq     uint64
	reports []platform.TaskReport
	news    chan struct{}
	leaving bool
	failAll bool
}

type heldTask struct {
	platform.HeldTask
	began time.Time
	timer *time.Timer
}

func newWorker(def core.Worker, l *ledger) *worker {
	return &worker{
		def: def, ledger: l, tasks: map[core.TaskRef]*heldTask{},
		refused: map[core.TaskRef]bool{}, news: make(chan struct{}),
	}
}

// fence admits a call by its holder: a lower term and a second holder of the same
// term are refused.
func (w *worker) fence(h platform.Holder, ttl time.Duration) core.RefusalReason {
	if h.Term < w.holder.Term || (h.Term == w.holder.Term && h.ID != w.holder.ID) {
		return core.RefusedLowTerm
	}
	w.holder = h
	if w.lease != nil {
		w.lease.Stop()
	}
	w.lease = time.AfterFunc(ttl, func() { w.lapse(h) })
	return ""
}

// lapse ends everything that was held under h.
func (w *worker) lapse(h platform.Holder) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.holder != h {
		return
	}
	for ref, t := range w.tasks {
		w.drop(t)
		w.report(platform.TaskReport{Kind: platform.ReportLapsed, Task: ref, Started: t.Started})
	}
}

func (w *worker) drop(t *heldTask) {
	if t.timer != nil {
		t.timer.Stop()
	}
	delete(w.tasks, t.Task)
	w.refused[t.Task] = true
	if t.Started {
		w.ledger.stopped(t.Task, w.def.ID)
	}
}

func (w *worker) report(r platform.TaskReport) {
	w.seq++
	r.Seq = w.seq
	w.reports = append(w.reports, r)
	close(w.news)
	w.news = make(chan struct{})
}

func (w *worker) do(b platform.Batch) []platform.OpResult {
	w.mu.Lock()
	defer w.mu.Unlock()
	results := make([]platform.OpResult, len(b.Ops))
	reason := w.fence(b.Holder, b.TTL)
	for i, op := range b.Ops {
		if reason != "" {
			results[i] = platform.OpResult{Reason: reason}
			continue
		}
		results[i] = w.one(op)
	}
	return results
}

func (w *worker) one(op platform.Op) platform.OpResult {
	switch op.Kind {
	case platform.OpReserve:
		return w.reserve(op)
	case platform.OpStart:
		return w.start(op)
	case platform.OpRelease, platform.OpStop, platform.OpPreempt:
		return w.stop(op)
	default:
		return platform.OpResult{Reason: core.RefusedUnknown}
	}
}

func (w *worker) reserve(op platform.Op) platform.OpResult {
	if op.Job == nil || w.refused[op.Task] {
		return platform.OpResult{Reason: core.RefusedUnknown}
	}
	if w.leaving {
		return platform.OpResult{Reason: core.RefusedLeaving}
	}
	if _, ok := w.tasks[op.Task]; ok {
		return platform.OpResult{OK: true}
	}
	if !w.fits(op) {
		return platform.OpResult{Reason: core.RefusedBusy}
	}
	t := &heldTask{HeldTask: platform.HeldTask{Task: op.Task, Cell: op.Cell, Job: *op.Job}}
	t.timer = time.AfterFunc(op.TTL, func() { w.expireReservation(t) })
	w.tasks[op.Task] = t
	return platform.OpResult{OK: true}
}

func (w *worker) fits(op platform.Op) bool {
	cpu, memory := op.Job.Shape.CPU, op.Job.Shape.MemoryBytes
	for _, t := range w.tasks {
		if t.Cell&op.Cell != 0 {
			return false
		}
		cpu += t.Job.Shape.CPU
		memory += t.Job.Shape.MemoryBytes
	}
	return len(w.tasks) < w.def.Slots && cpu <= w.def.CPU && memory <= w.def.MemoryBytes
}

func (w *worker) expireReservation(t *heldTask) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.tasks[t.Task] != t || t.Started {
		return
	}
	w.drop(t)
	w.report(platform.TaskReport{Kind: platform.ReportLapsed, Task: t.Task})
}

func (w *worker) start(op platform.Op) platform.OpResult {
	t, ok := w.tasks[op.Task]
	if !ok {
		return platform.OpResult{Reason: core.RefusedUnknown}
	}
	if t.Started {
		return platform.OpResult{OK: true}
	}
	t.timer.Stop()
	t.Started = true
	t.began = time.Now()
	w.ledger.started(t.Job, t.Task, w.def.ID, t.Cell)
	var b Behaviour
	_ = json.Unmarshal(t.Job.Payload, &b)
	run := time.Duration(b.RunSeconds * float64(time.Second))
	if run == 0 {
		run = t.Job.Declared
	}
	t.timer = time.AfterFunc(run, func() { w.finish(t, b) })
	return platform.OpResult{OK: true}
}

func (w *worker) finish(t *heldTask, b Behaviour) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.tasks[t.Task] != t {
		return
	}
	delete(w.tasks, t.Task)
	w.refused[t.Task] = true
	ok := !b.Fail && !w.failAll
	w.ledger.ended(t.Task, w.def.ID, ok)
	out := b.Output
	if out == "" {
		out = fmt.Sprintf("%s ran on %s", t.Task.Job, w.def.ID)
	}
	w.report(platform.TaskReport{Kind: platform.ReportEnded, Task: t.Task, OK: ok, Output: []byte(out), Ran: time.Since(t.began)})
}

// stop ends a task or reservation; afterwards it can never start.
func (w *worker) stop(op platform.Op) platform.OpResult {
	t, ok := w.tasks[op.Task]
	w.refused[op.Task] = true
	if !ok {
		return platform.OpResult{OK: true}
	}
	var lost time.Duration
	if t.Started {
		lost = time.Since(t.began)
	}
	w.drop(t)
	if op.Kind == platform.OpPreempt {
		return platform.OpResult{OK: true, Checkpointed: true}
	}
	return platform.OpResult{OK: true, Lost: lost}
}

func (w *worker) renew(ctx context.Context, req platform.RenewRequest) platform.RenewReply {
	timeout := time.After(req.Wait)
	for {
		reply, news := w.tryRenew(req)
		if !reply.OK || len(reply.Reports) > 0 || req.List || req.Wait <= 0 {
			return reply
		}
		select {
		case <-news:
		case <-timeout:
			return reply
		case <-ctx.Done():
			return reply
		}
	}
}

func (w *worker) tryRenew(req platform.RenewRequest) (platform.RenewReply, chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if reason := w.fence(req.Holder, req.TTL); reason != "" {
		return platform.RenewReply{Reason: reason, Term: w.holder.Term}, nil
	}
	reply := platform.RenewReply{OK: true, Term: w.holder.Term, Leaving: w.leaving}
	for len(w.reports) > 0 && w.reports[0].Seq <= req.After {
		w.reports = w.reports[1:]
	}
	reply.Reports = append(reply.Reports, w.reports...)
	if req.List {
		for _, t := range w.tasks {
			reply.Tasks = append(reply.Tasks, t.HeldTask)
		}
	}
	return reply, w.news
}
