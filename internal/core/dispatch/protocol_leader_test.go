package dispatch_test

import (
	"cmp"
	"slices"
	"time"

	"agatewinch/internal/core/dispatch"
	"agatewinch/internal/core/job"
	"agatewinch/internal/ledger"
	"agatewinch/internal/sharedlog"
)

// leader is a host that is, or was, the leader, with its core.
type leader struct {
	w         *simulation
	epoch     int64
	core      *dispatch.Core
	startedAt time.Duration
	appending bool
	stopped   bool
	// partitioned says that the log does not answer this leader.
	partitioned bool
}

func (h *leader) now() dispatch.Now {
	return dispatch.Now{Mono: h.w.now - h.startedAt, UnixMs: h.w.now.Milliseconds()}
}

// takeOver starts a leader with the next epoch. Former leaders stay active for a while.
func (w *simulation) takeOver() {
	h := &leader{w: w, epoch: w.fence + 1, startedAt: w.now}
	w.fence = h.epoch
	w.tracef("epoch %d takes over", h.epoch)
	for _, former := range w.leaders {
		w.after(formerRenewalTime, func() { former.stopped = true })
	}
	renewalTime := formerRenewalTime
	if len(w.leaders) == 0 {
		renewalTime = 0
	}
	h.core = dispatch.New(h.now(), dispatch.Settings{Lease: requestedLease, MaxLease: maxLease, ProbeWait: 2 * time.Second, FormerRenewalTime: renewalTime, SpreadFactor: 3, StopTime: maxStopTime})
	w.leader = h
	w.leaders = append(w.leaders, h)
	h.restore()
	h.tick()
	h.list()
}

func (h *leader) restore() {
	l := ledger.New()
	if err := l.Apply(h.w.records); err != nil {
		h.w.violation("the log cannot be read: %v", err)
	}
	h.core.SetWorkers(h.now(), h.w.entries())
	l.EachByArrival(func(id string, e *ledger.Entry) {
		if e.Ended != nil {
			h.core.AddEndedJob(h.now(), e.Job, e.Ended.State, e.Tasks)
			return
		}
		h.core.AddJob(h.now(), e.Job, e.Tasks)
		if e.Cancelled {
			h.core.CancelJob(h.now(), id)
		}
	})
	h.drive()
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

func (h *leader) tick() {
	if h.stopped {
		return
	}
	h.core.Tick(h.now())
	h.drive()
	h.w.after(tickInterval, h.tick)
}

func (h *leader) list() {
	if h.stopped {
		return
	}
	if !h.partitioned {
		h.core.SetWorkers(h.now(), h.w.entries())
		h.drive()
	}
	h.w.after(listInterval, h.list)
}

// drive executes the actions of the core, as the process that runs it does.
func (h *leader) drive() {
	if h.stopped {
		return
	}
	a := h.core.TakeActions(h.now())
	for _, n := range a.Notes {
		h.w.tracef("epoch %d: %s %s run %d on %s: %.30s", h.epoch, n.What, cmp.Or(n.Task, n.Job), n.Run, n.Worker, n.Why)
	}
	for _, s := range a.Starts {
		h.send(s.Worker, s.Incarnation, func(p *simWorker) dispatch.Outcome { return p.start(s, h.epoch) },
			func(o dispatch.Outcome) { h.core.Started(h.now(), s, o) })
	}
	for _, s := range a.Stops {
		h.send(s.Worker, s.Incarnation, func(p *simWorker) dispatch.Outcome { return p.stop(s, h.epoch) },
			func(o dispatch.Outcome) { h.core.Stopped(h.now(), s, o) })
	}
	for _, probe := range a.Probes {
		h.probe(probe)
	}
	if wake := h.core.Wake(); wake > 0 {
		h.w.after(max(time.Millisecond, wake-h.now().Mono), h.drive)
	}
	h.append()
}

func (h *leader) append() {
	if h.appending {
		return
	}
	batch := h.core.TakeBatch()
	if batch == nil {
		return
	}
	h.appending = true
	h.tryAppend(batch)
}

func (h *leader) tryAppend(batch *dispatch.Batch) {
	h.w.after(appendDelay, func() {
		switch {
		case h.stopped:
		case h.partitioned:
			h.tryAppend(batch)
		case h.epoch < h.w.fence:
			h.stopped = true
			h.w.tracef("epoch %d is rejected by the log", h.epoch)
		default:
			h.w.record(batch)
			h.appending = false
			h.core.Recorded(h.now(), batch)
			h.drive()
		}
	})
}

func (w *simulation) record(b *dispatch.Batch) {
	add := func(r sharedlog.Record, err error) {
		if err != nil {
			w.violation("record: %v", err)
		}
		w.records = append(w.records, r)
	}
	for _, t := range b.Tasks {
		add(ledger.TaskRecord(t.ID, t.Record))
	}
	for _, e := range b.Ends {
		w.jobEnds(e)
		add(ledger.EndRecord(e.ID, ledger.Ended{State: e.State, AtMs: e.AtMs}))
	}
	for _, id := range b.Dropped {
		w.records = append(w.records, ledger.TaskTombstone(id))
	}
}

func (w *simulation) jobEnds(e dispatch.JobEnd) {
	w.tracef("job %s is shown as %s", e.ID, e.State)
	if was, ok := w.ended[e.ID]; ok && was != e.State {
		w.violation("job %s ended as %s, then as %s", e.ID, was, e.State)
	}
	w.ended[e.ID] = e.State
	if e.State != job.Succeeded {
		return
	}
	for name, f := range w.taskStates {
		if id, _ := job.ParseTaskID(name); id.Job == e.ID && !f.done {
			w.violation("MIXED: job %s is shown as succeeded, %s has not succeeded", e.ID, name)
		}
	}
}
