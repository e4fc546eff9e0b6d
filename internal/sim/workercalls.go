package sim

import (
	"maps"
	"slices"
	"time"

	"agatewinch/internal/core/dispatch"
	"agatewinch/internal/core/job"
)

// startRun executes a start order and records the invariants that the start violates.
func (sim *Simulation) startRun(w *Worker, s dispatch.Start, epoch int64) dispatch.Outcome {
	if w.Info.Incarnation != s.Incarnation {
		return dispatch.OtherIncarnation
	}
	if !w.acceptEpoch(epoch) {
		return dispatch.Fenced
	}
	key := runKey{s.Task.String(), s.Run}
	if w.runs[key] != nil {
		return dispatch.Accepted
	}
	w.extendLease(s.LeaseUntilMs, sim.now, maxLeaseTTL)
	if s.Run <= w.lastRun[key.task] || s.LeaseUntilMs < w.clockMs(sim.now) {
		return dispatch.Refused
	}
	sj := sim.jobs[s.Task.Job]
	step := &sj.job.Steps[s.Task.Step]
	e := &execution{key: key, id: s.Task, need: step.Charge(), startedAt: sim.now, gang: step.Gang, checkpoints: step.Checkpoints, saved: decodeCheckpoint(s.Checkpoint)}
	sim.checkStart(w, sj, e)
	sim.Runs++
	w.runs[key] = e
	if !w.Info.Capacity.Fits(w.used()) {
		sim.addViolation("worker %s exceeds its capacity with task %s", w.Info.ID, key.task)
	}
	if step.Gang {
		sim.joinGang(w, sj, e)
	} else {
		sim.scheduleEnd(w, sj, e, false)
	}
	return dispatch.Accepted
}

// checkStart records a violation if the task was recorded as done or has another run in progress.
func (sim *Simulation) checkStart(w *Worker, sj *simJob, e *execution) {
	if sim.recordedDone[e.key.task] {
		sim.addViolation("task %s starts after it was recorded as done", e.key.task)
	}
	for _, other := range sim.Workers {
		for key := range other.runs {
			if key.task == e.key.task {
				sim.addViolation("task %s has runs %d and %d at the same time, on workers %s and %s", key.task, key.run, e.key.run, other.Info.ID, w.Info.ID)
			}
		}
	}
}

// scheduleEnd schedules the end of a run. The run time is multiplied by SpreadFactor if spread
// is set, for a gang with SameRack that spans several racks. Runs on a hanging worker never
// complete.
func (sim *Simulation) scheduleEnd(w *Worker, sj *simJob, e *execution, spread bool) {
	if w.Hangs {
		return
	}
	runTime := sj.runTimes[e.id.Step][e.id.Index]
	if spread {
		runTime = time.Duration(float64(runTime) * sim.Settings.SpreadFactor)
	}
	e.runTime, e.share, e.at = time.Duration(float64(runTime)*w.factor()), e.saved, sim.now
	if e.saved > 0 {
		e.at += sim.Settings.RestoreTime
	}
	startedAt := w.startedAt
	e.finish = func() {
		if e.finished || w.runs[e.key] != e || w.startedAt != startedAt || e.stopAt > 0 || sim.now < e.doneAt() {
			return
		}
		end := job.EndDone
		if w.Fails || sj.alwaysFails || sj.flaky[e.key.task] && e.key.run == 1 {
			end = job.EndFailed
		}
		e.finished = true
		if end == job.EndDone && !sim.gangFinished(e) {
			return
		}
		sim.endGang(e, w, end)
		w.endRun(e, end, "")
	}
	sim.schedule(e.runTime, e.finish)
}

// gangFinished reports whether all members of the gang of e have done their work. A run that is not part
// of one has.
func (sim *Simulation) gangFinished(e *execution) bool {
	g := sim.gangs[gangKey(e.id, e.key.run)]
	if !e.gang || g == nil {
		return true
	}
	for i, w := range g.members {
		id := e.id
		id.Index = i
		if x := w.runs[runKey{id.String(), e.key.run}]; x != nil && !x.finished {
			return false
		}
	}
	return true
}

// factor is by how much longer runs take on w now.
func (w *Worker) factor() float64 { return w.RunTimeFactor * max(1, w.slowness) }

// setSlowness changes by how much longer runs take on w for a time; its runs go on at the new speed.
func (sim *Simulation) setSlowness(w *Worker, slowness float64) {
	before := w.factor()
	w.slowness = slowness
	for _, e := range sortedRuns(w.runs) {
		if e.runTime == 0 || e.finished {
			continue
		}
		e.share += float64(sim.now-e.at) / float64(e.runTime)
		e.runTime, e.at = time.Duration(float64(e.runTime)*w.factor()/before), sim.now
		sim.schedule(max(0, e.doneAt()-sim.now), e.finish)
	}
}

// gangKey identifies one run of a gang. It is the same for all members: the task ID with the run
// number in place of the index.
func gangKey(id job.TaskID, run int) string {
	id.Index = run
	return id.String()
}

// joinGang adds a run to its gang. When all members have started, it schedules their ends.
func (sim *Simulation) joinGang(w *Worker, sj *simJob, e *execution) {
	key := gangKey(e.id, e.key.run)
	g := sim.gangs[key]
	if g == nil {
		g = &gangState{run: e.key.run, members: map[int]*Worker{}}
		sim.gangs[key] = g
	}
	g.members[e.id.Index] = w
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
			sim.scheduleEnd(m, sj, x, step.SameRack && len(racks) > 1)
		}
	}
}

// endGang ends the runs of the other members of a gang when one of its runs ends: as done if
// that run is done, otherwise as broken.
func (sim *Simulation) endGang(e *execution, w *Worker, end job.End) {
	g := sim.gangs[gangKey(e.id, e.key.run)]
	if !e.gang || g == nil {
		return
	}
	delete(sim.gangs, gangKey(e.id, e.key.run))
	if end != job.EndDone {
		end = job.EndBroken
	}
	for _, i := range slices.Sorted(maps.Keys(g.members)) {
		m := g.members[i]
		id := e.id
		id.Index = i
		if x := m.runs[runKey{id.String(), e.key.run}]; x != nil && x != e {
			if end == job.EndBroken {
				sim.countWaste(x)
			}
			m.endRun(x, end, x.checkpoint(sim.now))
		}
	}
}

func (sim *Simulation) memberLost(w *Worker, e *execution) { sim.endGang(e, w, job.EndBroken) }

// countWaste adds the work of an interrupted run to Wasted. With checkpoints, at most the work since the
// last one is lost. A gang member that was waiting for the other members wastes nothing.
func (sim *Simulation) countWaste(e *execution) {
	if e.runTime == 0 && e.gang {
		return
	}
	lost := sim.now - e.startedAt
	if sj := sim.jobs[e.id.Job]; sj.job.Steps[e.id.Step].Checkpoints {
		lost = min(lost, checkpointInterval)
	}
	sim.Wasted += lost.Seconds() * e.need.Cores()
}

// stopRun executes a stop order. The run ends after Settings.MaxStopTime.
func (sim *Simulation) stopRun(w *Worker, s dispatch.Stop, epoch int64) dispatch.Outcome {
	if w.Info.Incarnation != s.Incarnation {
		return dispatch.OtherIncarnation
	}
	if !w.acceptEpoch(epoch) {
		return dispatch.Fenced
	}
	key := runKey{s.Task.String(), s.Run}
	w.lastRun[key.task] = max(w.lastRun[key.task], s.Run)
	e := w.runs[key]
	if e == nil || e.stopAt > 0 {
		return dispatch.Accepted
	}
	e.stopAt = sim.now + sim.Settings.MaxStopTime
	startedAt := w.startedAt
	sim.schedule(sim.Settings.MaxStopTime, func() {
		if w.runs[key] != e || w.startedAt != startedAt {
			return
		}
		sim.countWaste(e)
		sim.endGang(e, w, job.EndStopped)
		w.endRun(e, job.EndStopped, e.lastCheckpoint(sim.now))
	})
	return dispatch.Accepted
}

// probe executes a probe: a long poll that is answered when a run ends, at the latest after
// p.MaxWait.
func (sim *Simulation) probe(ldr *leader, p dispatch.Probe) {
	sim.Probes++
	fail := func(after time.Duration, o dispatch.Outcome) {
		sim.schedule(after, func() {
			if !ldr.fenced {
				ldr.core.ProbeFailed(sim.clock(), p, o)
			}
		})
	}
	w := sim.worker(p.Worker)
	if w == nil || w.Down || w.Partitioned || sim.rand.Float64() < sim.Faults.LostAnswer {
		fail(callTimeout, dispatch.Unanswered)
		return
	}
	sim.schedule(callDelay, func() {
		if w.Down || w.Info.Incarnation != p.Incarnation {
			fail(callDelay, dispatch.OtherIncarnation)
			return
		}
		if !w.acceptEpoch(ldr.epoch) {
			// A newer leader has taken over, so ldr needs no answer.
			return
		}
		w.extendLease(p.LeaseUntilMs, sim.now, maxLeaseTTL)
		w.ackedEnd = max(w.ackedEnd, p.Ack)
		answered := false
		answer := func() {
			if answered {
				return
			}
			answered = true
			if w.Down || w.Partitioned {
				fail(callTimeout, dispatch.Unanswered)
				return
			}
			rep := w.report(sim.now)
			sim.schedule(callDelay, func() {
				if !ldr.fenced {
					ldr.core.ProbeAnswered(sim.clock(), p, rep)
				}
			})
		}
		if p.MaxWait == 0 || len(w.report(sim.now).Ended) > 0 {
			answer()
			return
		}
		w.waitingProbes = append(w.waitingProbes, answer)
		sim.schedule(p.MaxWait, answer)
	})
}

// expireLeases ends the runs on workers whose leases have expired.
func (sim *Simulation) expireLeases() {
	for _, w := range sim.Workers {
		if w.Down || w.clockMs(sim.now) <= w.leaseUntilMs {
			continue
		}
		for _, e := range sortedRuns(w.runs) {
			if w.runs[e.key] != e {
				continue // already ended with another member of its gang
			}
			sim.countWaste(e)
			sim.endGang(e, w, job.EndLeaseExpired)
			w.endRun(e, job.EndLeaseExpired, "")
		}
	}
}
