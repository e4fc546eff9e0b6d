package sim

import (
	"maps"
	"slices"
	"time"

	"agatewinch/internal/core/dispatch"
	"agatewinch/internal/core/job"
)

// startRun executes a start order and records the invariants that the start violates.
func (w *Simulation) startRun(k *Worker, s dispatch.Start, epoch int64) dispatch.Outcome {
	if k.Info.Incarnation != s.Incarnation {
		return dispatch.OtherIncarnation
	}
	if !k.acceptEpoch(epoch) {
		return dispatch.Fenced
	}
	key := runKey{s.Task.String(), s.Run}
	if k.runs[key] != nil {
		return dispatch.Accepted
	}
	k.extendLease(s.LeaseUntilMs, w.now, maxLease)
	if s.Run <= k.lastRun[key.task] || s.LeaseUntilMs < k.clockMs(w.now) {
		return dispatch.Refused
	}
	sj := w.jobs[s.Task.Job]
	step := &sj.job.Steps[s.Task.Step]
	e := &execution{key: key, id: s.Task, need: step.Charge(), startedAt: w.now, gang: step.Gang}
	w.checkStart(k, sj, e)
	w.Runs++
	k.runs[key] = e
	if !k.Info.Capacity.Fits(k.used()) {
		w.addViolation("worker %s exceeds its capacity with task %s", k.Info.ID, key.task)
	}
	if step.Gang {
		w.joinGang(k, sj, e)
	} else {
		w.scheduleEnd(k, sj, e, false)
	}
	return dispatch.Accepted
}

func (w *Simulation) checkStart(k *Worker, sj *simJob, e *execution) {
	if w.recordedDone[e.key.task] {
		w.addViolation("task %s starts after it was recorded as done", e.key.task)
	}
	for _, other := range w.Workers {
		for key := range other.runs {
			if key.task == e.key.task {
				w.addViolation("task %s has runs %d and %d at the same time, on workers %s and %s", key.task, key.run, e.key.run, other.Info.ID, k.Info.ID)
			}
		}
	}
}

// scheduleEnd schedules the end of a run. The run time is multiplied by SpreadFactor if spread
// is set, for a gang with SameRack that spans several racks. Runs on a hanging worker never
// end by themselves.
func (w *Simulation) scheduleEnd(k *Worker, sj *simJob, e *execution, spread bool) {
	if k.Hangs {
		return
	}
	runTime := sj.runTimes[e.id.Step][e.id.Index]
	if spread {
		runTime = time.Duration(float64(runTime) * w.Settings.SpreadFactor)
	}
	runTime = time.Duration(float64(runTime) * k.RunTimeFactor)
	e.doneAt = w.now + runTime
	incarnation := k.startedAt
	w.schedule(runTime, func() {
		if k.runs[e.key] != e || k.startedAt != incarnation || e.stopAt > 0 {
			return
		}
		end := job.EndDone
		if k.Fails || sj.alwaysFails || sj.flaky[e.key.task] && e.key.run == 1 {
			end = job.EndFailed
		}
		w.endGang(e, k, end)
		k.endRun(e, end, "")
	})
}

// gangKey identifies one run of a gang: it is the same for all members.
func gangKey(id job.TaskID, run int) string {
	id.Index = run
	return id.String()
}

func (w *Simulation) joinGang(k *Worker, sj *simJob, e *execution) {
	key := gangKey(e.id, e.key.run)
	g := w.gangs[key]
	if g == nil {
		g = &gangState{run: e.key.run, members: map[int]*Worker{}}
		w.gangs[key] = g
	}
	g.members[e.id.Index] = k
	step := &sj.job.Steps[e.id.Step]
	if len(g.members) < step.Count {
		return
	}
	racks := map[string]bool{}
	for _, m := range g.members {
		racks[m.Info.Rack] = true
	}
	for i := range step.Count {
		m := g.members[i]
		id := e.id
		id.Index = i
		if x := m.runs[runKey{id.String(), e.key.run}]; x != nil {
			w.scheduleEnd(m, sj, x, step.SameRack && len(racks) > 1)
		}
	}
}

// endGang ends the runs of the other members of a gang when one of its runs ends.
func (w *Simulation) endGang(e *execution, k *Worker, end job.End) {
	g := w.gangs[gangKey(e.id, e.key.run)]
	if !e.gang || g == nil {
		return
	}
	delete(w.gangs, gangKey(e.id, e.key.run))
	if end != job.EndDone {
		end = job.EndBroken
	}
	for _, i := range slices.Sorted(maps.Keys(g.members)) {
		m := g.members[i]
		id := e.id
		id.Index = i
		if x := m.runs[runKey{id.String(), e.key.run}]; x != nil && x != e {
			if end == job.EndBroken {
				w.countWaste(x)
			}
			m.endRun(x, end, "")
		}
	}
}

func (w *Simulation) memberLost(k *Worker, e *execution) { w.endGang(e, k, job.EndBroken) }

// countWaste adds the work of an interrupted run to Wasted. With checkpoints, at most the last
// 500 ms are lost. A gang member that was waiting for the other members wastes nothing.
func (w *Simulation) countWaste(e *execution) {
	if e.doneAt == 0 && e.gang {
		return
	}
	lost := w.now - e.startedAt
	if sj := w.jobs[e.id.Job]; sj.job.Steps[e.id.Step].Checkpoints {
		lost = min(lost, 500*time.Millisecond)
	}
	w.Wasted += lost.Seconds() * e.need.Cores()
}

// stopRun executes a stop order. The run ends after StopTime.
func (w *Simulation) stopRun(k *Worker, s dispatch.Stop, epoch int64) dispatch.Outcome {
	if k.Info.Incarnation != s.Incarnation {
		return dispatch.OtherIncarnation
	}
	if !k.acceptEpoch(epoch) {
		return dispatch.Fenced
	}
	key := runKey{s.Task.String(), s.Run}
	k.lastRun[key.task] = max(k.lastRun[key.task], s.Run)
	e := k.runs[key]
	if e == nil || e.stopAt > 0 {
		return dispatch.Accepted
	}
	e.stopAt = w.now + w.Settings.StopTime
	incarnation := k.startedAt
	w.schedule(w.Settings.StopTime, func() {
		if k.runs[key] != e || k.startedAt != incarnation {
			return
		}
		w.countWaste(e)
		w.endGang(e, k, job.EndStopped)
		k.endRun(e, job.EndStopped, "")
	})
	return dispatch.Accepted
}

// probe executes a probe: a long poll that is answered when a run ends, at the latest after
// p.MaxWait.
func (w *Simulation) probe(ldr *leader, p dispatch.Probe) {
	w.Probes++
	fail := func(after time.Duration, o dispatch.Outcome) {
		w.schedule(after, func() {
			if !ldr.fenced {
				ldr.core.ProbeFailed(w.clock(), p, o)
			}
		})
	}
	k := w.worker(p.Worker)
	if k == nil || k.Down || k.Partitioned || w.rand.Float64() < w.Faults.LostAnswer {
		fail(callTimeout, dispatch.Unanswered)
		return
	}
	w.schedule(callDelay, func() {
		if k.Down || k.Info.Incarnation != p.Incarnation {
			fail(callDelay, dispatch.OtherIncarnation)
			return
		}
		if !k.acceptEpoch(ldr.epoch) {
			return
		}
		k.extendLease(p.LeaseUntilMs, w.now, maxLease)
		k.ackedEnd = max(k.ackedEnd, p.Ack)
		answered := false
		answer := func() {
			if answered {
				return
			}
			answered = true
			if k.Down || k.Partitioned {
				fail(callTimeout, dispatch.Unanswered)
				return
			}
			rep := k.report(w.now)
			w.schedule(callDelay, func() {
				if !ldr.fenced {
					ldr.core.ProbeAnswered(w.clock(), p, rep)
				}
			})
		}
		if p.MaxWait == 0 || len(k.report(w.now).Ended) > 0 {
			answer()
			return
		}
		k.waitingProbes = append(k.waitingProbes, answer)
		w.schedule(p.MaxWait, answer)
	})
}

// expireLeases ends the runs on workers whose leases have expired.
func (w *Simulation) expireLeases() {
	for _, k := range w.Workers {
		if k.Down || k.clockMs(w.now) <= k.leaseEndMs {
			continue
		}
		for _, e := range sortedRuns(k.runs) {
			if k.runs[e.key] != e {
				continue // already ended with another member of its gang
			}
			w.countWaste(e)
			w.endGang(e, k, job.EndLeaseExpired)
			k.endRun(e, job.EndLeaseExpired, "")
		}
	}
}
