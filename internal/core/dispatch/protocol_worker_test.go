package dispatch_test

import (
	"time"

	"agatewinch/internal/core/dispatch"
	"agatewinch/internal/core/job"
)

// simWorker is a simulated worker.
type simWorker struct {
	sim         *simulation
	id          string
	incarnation int64
	startedAt   time.Duration
	clockRate   float64
	up          bool
	partitioned bool
	// hiddenFrom is the lowest epoch of the leaders that do not reach the worker; zero if all do.
	hiddenFrom int64
	// draining is true while the worker is about to shut down, no sooner than at leavesAt.
	draining bool
	leavesAt time.Duration
	epoch    int64
	// leaseUntilMs is the end of the lease by the worker's clock.
	leaseUntilMs int64
	runs         map[string]*execution
	// highestEnded is the highest run number of each task that was stopped or has ended here.
	highestEnded map[string]int
	ends         []endedExecution
	lastEnd      int64
	// entry is the worker's entry in the list, until it expires.
	entry   *dispatch.WorkerInfo
	entryAt time.Duration
}

type execution struct {
	id        job.TaskID
	run       int
	startedAt time.Duration
	need      job.Resources
	stopping  bool
	// gangComplete is true once all members of the gang have started.
	gangComplete bool
}

type endedExecution struct {
	dispatch.EndedRun
	at           time.Duration
	acknowledged bool
	// excluded is true if the end does not count as acknowledged: the worker's lease expired
	// between the run's end and its acknowledgement, or the acknowledgement was meant for
	// another incarnation.
	excluded bool
}

func (sim *simulation) find(id string) *simWorker {
	for _, w := range sim.workers {
		if w.id == id {
			return w
		}
	}
	return nil
}

func (sim *simulation) entries() []dispatch.WorkerInfo {
	var list []dispatch.WorkerInfo
	for _, w := range sim.workers {
		if w.entry != nil && sim.now-w.entryAt < entryTTL {
			list = append(list, *w.entry)
		}
	}
	return list
}

func (w *simWorker) reachableFrom(l *leader) bool {
	return !w.partitioned && (w.hiddenFrom == 0 || l.epoch < w.hiddenFrom)
}

func (w *simWorker) clock() int64 {
	return int64(float64((w.sim.now - w.startedAt).Milliseconds()) * w.clockRate)
}

func (w *simWorker) heartbeat() {
	if w.up {
		w.entry = &dispatch.WorkerInfo{
			ID: w.id, Address: "192.0.2.1:1", Service: "service", Rack: "r", Zone: "z", Incarnation: w.incarnation, ClockMs: max(1, w.clock()), Draining: w.draining,
			Capacity: job.Resources{CPU: capacityCPU, MemMB: 1000, Accelerators: 8},
		}
		if w.draining {
			w.entry.MinRemaining = max(time.Millisecond, w.leavesAt-w.sim.now)
		}
		w.entryAt = w.sim.now
		w.expireLease()
	}
	w.sim.after(heartbeatInterval, w.heartbeat)
}

// fenced reports whether the worker has seen a higher epoch than the given one, and otherwise
// remembers it.
func (w *simWorker) fenced(epoch int64) bool {
	if epoch < w.epoch {
		return true
	}
	w.epoch = epoch
	return false
}

// renew executes a probe: it extends the lease and marks ends as acknowledged.
func (w *simWorker) renew(probe dispatch.Probe, epoch int64) dispatch.Outcome {
	w.expireLease()
	if w.fenced(epoch) {
		return dispatch.Fenced
	}
	if probe.LeaseUntilMs > 0 {
		w.extendLease(probe.LeaseUntilMs)
	}
	w.sim.tracef("%s is probed under epoch %d, incarnation %d, last end %d", w.id, epoch, probe.Incarnation, probe.Ack)
	for i := range w.ends {
		if e := &w.ends[i]; e.Number <= probe.Ack && !e.acknowledged && !e.excluded {
			e.acknowledged = true
			if probe.Incarnation != 0 && probe.Incarnation != w.incarnation {
				e.excluded = true // the acknowledged number was another incarnation's
				continue
			}
			w.sim.endAcknowledged(*e)
		}
	}
	return dispatch.Accepted
}

func (w *simWorker) extendLease(until int64) {
	w.leaseUntilMs = max(w.leaseUntilMs, min(until, w.clock()+maxLeaseTTL.Milliseconds()))
	incarnation := w.incarnation
	w.sim.after(time.Duration(float64(w.leaseUntilMs-w.clock())/minClockRate+1)*time.Millisecond, func() {
		if w.incarnation == incarnation {
			w.expireLease()
		}
	})
}

// expireLease ends all runs if the lease has expired, and excludes the ends that were not
// acknowledged before.
func (w *simWorker) expireLease() {
	if !w.up || w.clock() < w.leaseUntilMs {
		return
	}
	for i := range w.ends {
		w.ends[i].excluded = w.ends[i].excluded || !w.ends[i].acknowledged
	}
	for _, name := range sortedKeys(w.runs) {
		w.end(w.runs[name], job.EndLeaseExpired)
	}
}

func (w *simWorker) start(s dispatch.Start, epoch int64) dispatch.Outcome {
	w.expireLease()
	if w.fenced(epoch) {
		return dispatch.Fenced
	}
	name := s.Task.String()
	w.extendLease(s.LeaseUntilMs)
	if e := w.runs[name]; e != nil && e.run == s.Run {
		return dispatch.Accepted
	}
	if s.Run <= w.highestEnded[name] || w.runs[name] != nil {
		return dispatch.Refused
	}
	if w.clock() >= s.LeaseUntilMs {
		return dispatch.Refused
	}
	w.sim.checkStart(w, s)
	e := &execution{id: s.Task, run: s.Run, startedAt: w.sim.now, need: w.sim.stepOf(s.Task).Need}
	w.runs[name] = e
	w.sim.tracef("%s starts %s run %d under epoch %d", w.id, name, s.Run, epoch)
	w.sim.simulateRun(w, e)
	return dispatch.Accepted
}

func (w *simWorker) stop(s dispatch.Stop, epoch int64) dispatch.Outcome {
	w.expireLease()
	if w.fenced(epoch) {
		return dispatch.Fenced
	}
	name := s.Task.String()
	w.highestEnded[name] = max(w.highestEnded[name], s.Run)
	if e := w.runs[name]; e != nil && e.run <= s.Run && !e.stopping {
		e.stopping = true
		w.sim.after(w.sim.drawDuration(maxStopTime), func() { w.end(e, job.EndStopped) })
	}
	return dispatch.Accepted
}

// end adds the end of a run to the worker's list, if the run still exists in this incarnation.
func (w *simWorker) end(e *execution, end job.End) {
	name := e.id.String()
	if w.runs[name] != e {
		return
	}
	delete(w.runs, name)
	w.highestEnded[name] = max(w.highestEnded[name], e.run)
	w.lastEnd++
	switch state := w.sim.taskStates[name]; end {
	case job.EndDone:
		state.done = true
	case job.EndFailed:
		state.failedRuns = append(state.failedRuns, e.run)
	}
	w.ends = append(w.ends, endedExecution{EndedRun: dispatch.EndedRun{Number: w.lastEnd, Task: name, Run: e.run, End: end}, at: w.sim.now})
	w.sim.tracef("%s ends %s run %d: %s", w.id, name, e.run, end)
	if end != job.EndDone && w.sim.stepOf(e.id).Gang {
		w.sim.breakGang(e)
	}
}

func (w *simWorker) endsAfter(ack int64) []dispatch.EndedRun {
	var out []dispatch.EndedRun
	for _, e := range w.ends {
		if e.Number > ack {
			out = append(out, e.EndedRun)
		}
	}
	return out
}

func (w *simWorker) report(ack int64) dispatch.WorkerReport {
	w.expireLease()
	rep := dispatch.WorkerReport{Incarnation: w.incarnation, ClockMs: max(1, w.clock()), Ended: w.endsAfter(ack)}
	for _, name := range sortedKeys(w.runs) {
		e := w.runs[name]
		percent := int(80 * (w.sim.now - e.startedAt) / w.sim.longestRun(e.id))
		rep.Running = append(rep.Running, dispatch.RunInProgress{Task: name, Run: e.run, Percent: min(99, percent)})
	}
	return rep
}

// crash ends the current incarnation; the next one starts after the given time.
func (w *simWorker) crash(downtime time.Duration) {
	if !w.up {
		return
	}
	w.sim.tracef("%s crashes", w.id)
	lost := w.runs
	w.up = false
	w.runs, w.highestEnded, w.ends = map[string]*execution{}, map[string]int{}, nil
	for _, name := range sortedKeys(lost) {
		if w.sim.stepOf(lost[name].id).Gang {
			w.sim.breakGang(lost[name])
		}
	}
	w.sim.after(downtime, func() {
		w.incarnation, w.startedAt, w.up, w.draining = w.sim.now.Milliseconds()+1, w.sim.now, true, false
		w.epoch, w.leaseUntilMs, w.lastEnd = 0, 0, 0
		w.sim.tracef("%s restarts", w.id)
	})
}
