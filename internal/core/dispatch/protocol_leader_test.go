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

// leader is a host that is or was the leader, with its core.
type leader struct {
	sim       *simulation
	epoch     int64
	core      *dispatch.Core
	startedAt time.Duration
	appending bool
	// recordSentAt is when the last record was sent that the log has accepted.
	recordSentAt time.Duration
	stopped      bool
	// partitioned is true while the log does not answer this leader.
	partitioned bool
}

func (l *leader) now() dispatch.Now {
	return dispatch.Now{Mono: l.sim.now - l.startedAt, UnixMs: l.sim.now.Milliseconds()}
}

// takeOver starts a leader with the next epoch. Former leaders stay active for up to
// formerRenewalTime.
func (sim *simulation) takeOver() {
	l := &leader{sim: sim, epoch: sim.logEpoch + 1, startedAt: sim.now, recordSentAt: sim.now}
	sim.logEpoch = l.epoch
	sim.tracef("leader with epoch %d takes over", l.epoch)
	for _, former := range sim.leaders {
		sim.after(formerRenewalTime, func() { former.stopped = true })
	}
	renewalTime, leaseTime := formerRenewalTime, max(0, sim.recordedAt+leaseLimit-sim.now)
	if len(sim.leaders) == 0 {
		renewalTime, leaseTime = 0, 0
	}
	sim.recordedAt = sim.now
	l.core = dispatch.New(l.now(), dispatch.Settings{LeaseTTL: requestedLeaseTTL, MaxLeaseTTL: maxLeaseTTL, ProbeWait: 2 * time.Second, FormerRenewalTime: renewalTime, NoFormerLeader: len(sim.leaders) == 0, FormerLeaseTime: leaseTime, SpreadFactor: 3, MaxStopTime: maxStopTime})
	sim.leader = l
	sim.leaders = append(sim.leaders, l)
	l.restore()
	l.tick()
	l.list()
}

func (l *leader) restore() {
	state := ledger.New()
	if err := state.Apply(l.sim.records); err != nil {
		l.sim.violation("apply log records: %v", err)
	}
	l.core.SetWorkers(l.now(), l.sim.entries())
	state.EachByArrival(func(id string, e *ledger.Entry) {
		if e.Ended != nil {
			l.core.AddEndedJob(l.now(), e.Job, e.Ended.State, e.Tasks)
			return
		}
		l.core.AddJob(l.now(), e.Job, e.Tasks)
		if e.Cancelled {
			l.core.CancelJob(l.now(), id)
		}
	})
	l.drive()
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

func (l *leader) tick() {
	if l.stopped {
		return
	}
	l.core.Tick(l.now())
	l.drive()
	l.sim.after(tickInterval, l.tick)
}

func (l *leader) list() {
	if l.stopped {
		return
	}
	if !l.partitioned {
		l.core.SetWorkers(l.now(), l.sim.entries())
		l.drive()
	}
	l.sim.after(listInterval, l.list)
}

// drive executes the actions of the core, as the process that runs it does.
func (l *leader) drive() {
	if l.stopped {
		return
	}
	l.core.LimitLeases(l.recordSentAt + leaseLimit - l.startedAt)
	a := l.core.TakeActions(l.now())
	for _, n := range a.Notes {
		l.sim.tracef("epoch %d: %s %s run %d on %s: %.30s", l.epoch, n.Kind, cmp.Or(n.Task, n.Job), n.Run, n.Worker, n.Why)
	}
	for _, s := range a.Starts {
		l.send(s.Worker, s.Incarnation, func(w *simWorker) dispatch.Outcome { return w.start(s, l.epoch) },
			func(o dispatch.Outcome) { l.core.StartAnswered(l.now(), s, o) })
	}
	for _, s := range a.Stops {
		l.send(s.Worker, s.Incarnation, func(w *simWorker) dispatch.Outcome { return w.stop(s, l.epoch) },
			func(o dispatch.Outcome) { l.core.StopAnswered(l.now(), s, o) })
	}
	for _, probe := range a.Probes {
		l.probe(probe)
	}
	if wake := l.core.Wake(); wake > 0 {
		l.sim.after(max(time.Millisecond, wake-l.now().Mono), l.drive)
	}
	l.append()
}

func (l *leader) append() {
	if l.appending {
		return
	}
	batch := l.core.TakeBatch()
	if batch == nil && l.sim.now < l.recordSentAt+renewInterval {
		return
	}
	l.appending = true
	l.tryAppend(batch, l.sim.now)
}

// tryAppend appends a batch, or renews the role if it is nil, with an append that was first sent at sentAt.
func (l *leader) tryAppend(batch *dispatch.Batch, sentAt time.Duration) {
	l.sim.after(appendDelay, func() {
		switch {
		case l.stopped:
		case l.partitioned:
			l.tryAppend(batch, sentAt)
		case l.epoch < l.sim.logEpoch:
			l.stopped = true
			l.sim.tracef("leader with epoch %d is refused by the log", l.epoch)
		default:
			l.sim.recordedAt, l.recordSentAt = l.sim.now, sentAt
			l.appending = false
			if batch != nil {
				l.sim.record(batch)
				l.core.Recorded(l.now(), batch)
			}
			l.drive()
		}
	})
}

func (sim *simulation) record(b *dispatch.Batch) {
	add := func(r sharedlog.Record, err error) {
		if err != nil {
			sim.violation("encode log record: %v", err)
		}
		sim.records = append(sim.records, r)
	}
	for _, t := range b.Tasks {
		add(ledger.TaskRecord(t.ID, t.Record))
	}
	for _, e := range b.Ends {
		sim.recordJobEnd(e)
		add(ledger.EndRecord(e.ID, ledger.Ended{State: e.State, AtMs: e.AtMs}))
	}
	for _, id := range b.Dropped {
		sim.records = append(sim.records, ledger.TaskTombstone(id))
	}
}

func (sim *simulation) recordJobEnd(e dispatch.JobEnd) {
	sim.tracef("job %s ends as %s", e.ID, e.State)
	if previous, ok := sim.ended[e.ID]; ok && previous != e.State {
		sim.violation("job %s ended as %s, then as %s", e.ID, previous, e.State)
	}
	sim.ended[e.ID] = e.State
	if e.State == job.Failed && !sim.hasExhaustedAttempts(e.ID) {
		sim.violation("LOST: job %s is recorded as failed, but no task has failed as often as it may", e.ID)
	}
	if e.State != job.Succeeded {
		return
	}
	for name, state := range sim.taskStates {
		if id, _ := job.ParseTaskID(name); id.Job == e.ID && !state.done {
			sim.violation("MIXED: job %s is recorded as succeeded, but task %s has not succeeded", e.ID, name)
		}
	}
}
