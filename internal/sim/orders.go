package sim

import (
	"maps"
	"slices"
	"time"

	"agatewinch/internal/core/dispatch"
	"agatewinch/internal/core/job"
)

// start carries out an order to begin a run, and checks what must never happen.
func (w *World) start(k *Worker, s dispatch.Start, epoch int64) dispatch.Outcome {
	if k.Info.Born != s.Born {
		return dispatch.OtherLife
	}
	if !k.check(epoch) {
		return dispatch.Fenced
	}
	key := runKey{s.Task.String(), s.Run}
	if k.runs[key] != nil {
		return dispatch.Accepted
	}
	k.extend(s.LeaseUntilMs, w.now, longestLease)
	if s.Run <= k.lastRun[key.task] || s.LeaseUntilMs < k.clockMs(w.now) {
		return dispatch.Refused
	}
	p := w.jobs[s.Task.Job]
	step := &p.job.Steps[s.Task.Step]
	e := &execution{key: key, id: s.Task, need: step.Charge(), began: w.now, gang: step.Gang}
	w.checkStart(k, p, e)
	w.Runs++
	k.runs[key] = e
	if !k.Info.Capacity.Fits(k.used()) {
		w.breakRule("%s is over its capacity with %s", k.Info.ID, key.task)
	}
	if step.Gang {
		w.joinGang(k, p, e)
	} else {
		w.work(k, p, e, false)
	}
	return dispatch.Accepted
}

func (w *World) checkStart(k *Worker, p *played, e *execution) {
	if w.noted[e.key.task] {
		w.breakRule("%s starts though its end as done is recorded", e.key.task)
	}
	for _, other := range w.Workers {
		for key := range other.runs {
			if key.task == e.key.task {
				w.breakRule("%s runs %d and %d at once, on %s and %s", key.task, key.run, e.key.run, other.Info.ID, k.Info.ID)
			}
		}
	}
}

// work lets a run go on until its end.
func (w *World) work(k *Worker, p *played, e *execution, spread bool) {
	if k.Hangs {
		return
	}
	length := p.work[e.id.Step][e.id.Index]
	if spread {
		length = time.Duration(float64(length) * w.Settings.SpreadFactor)
	}
	length = time.Duration(float64(length) * k.Slow)
	e.done = w.now + length
	born := k.born
	w.at(length, func() {
		if k.runs[e.key] != e || k.born != born || e.stopAt > 0 {
			return
		}
		how := job.EndDone
		if k.Fails || p.poison || p.flaky[e.key.task] && e.key.run == 1 {
			how = job.EndFailed
		}
		w.endGang(e, k, how)
		k.end(e, how, "")
	})
}

// gangKey names one run of a gang.
func gangKey(id job.TaskID, run int) string {
	id.Index = run
	return id.String()
}

func (w *World) joinGang(k *Worker, p *played, e *execution) {
	key := gangKey(e.id, e.key.run)
	g := w.gangs[key]
	if g == nil {
		g = &gangState{run: e.key.run, members: map[int]*Worker{}}
		w.gangs[key] = g
	}
	g.members[e.id.Index] = k
	step := &p.job.Steps[e.id.Step]
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
			w.work(m, p, x, step.SameRack && len(racks) > 1)
		}
	}
}

// endGang ends the other members of a gang with the one that ended.
func (w *World) endGang(e *execution, k *Worker, how job.End) {
	g := w.gangs[gangKey(e.id, e.key.run)]
	if !e.gang || g == nil {
		return
	}
	delete(w.gangs, gangKey(e.id, e.key.run))
	if how != job.EndDone {
		how = job.EndBroken
	}
	for _, i := range slices.Sorted(maps.Keys(g.members)) {
		m := g.members[i]
		id := e.id
		id.Index = i
		if x := m.runs[runKey{id.String(), e.key.run}]; x != nil && x != e {
			if how == job.EndBroken {
				w.waste(x)
			}
			m.end(x, how, "")
		}
	}
}

func (w *World) memberLost(k *Worker, e *execution) { w.endGang(e, k, job.EndBroken) }

// waste counts the work of a run that ends without having been of use.
func (w *World) waste(e *execution) {
	if e.done == 0 && e.gang {
		return
	}
	lost := w.now - e.began
	if p := w.jobs[e.id.Job]; p.job.Steps[e.id.Step].Checkpoints {
		lost = min(lost, 500*time.Millisecond)
	}
	w.Wasted += lost.Seconds() * e.need.Cores()
}

// stop carries out an order to end a run.
func (w *World) stop(k *Worker, s dispatch.Stop, epoch int64) dispatch.Outcome {
	if k.Info.Born != s.Born {
		return dispatch.OtherLife
	}
	if !k.check(epoch) {
		return dispatch.Fenced
	}
	key := runKey{s.Task.String(), s.Run}
	k.lastRun[key.task] = max(k.lastRun[key.task], s.Run)
	e := k.runs[key]
	if e == nil || e.stopAt > 0 {
		return dispatch.Accepted
	}
	e.stopAt = w.now + w.Settings.StopTime
	born := k.born
	w.at(w.Settings.StopTime, func() {
		if k.runs[key] != e || k.born != born {
			return
		}
		w.waste(e)
		w.endGang(e, k, job.EndStopped)
		k.end(e, job.EndStopped, "")
	})
	return dispatch.Accepted
}

// hold carries out a look, which waits for an end.
func (w *World) hold(d *decider, h dispatch.Hold) {
	w.Looks++
	fail := func(after time.Duration, o dispatch.Outcome) {
		w.at(after, func() {
			if !d.fenced {
				d.core.HoldFailed(w.clock(), h, o)
			}
		})
	}
	k := w.worker(h.Worker)
	if k == nil || k.Gone || k.Cut || w.rand.Float64() < w.Faults.LostAnswer {
		fail(answerLimit, dispatch.Unanswered)
		return
	}
	w.at(orderDelay, func() {
		if k.Gone || k.Info.Born != h.Born {
			fail(orderDelay, dispatch.OtherLife)
			return
		}
		if !k.check(d.epoch) {
			return
		}
		k.extend(h.LeaseUntilMs, w.now, longestLease)
		k.acked = max(k.acked, h.Ack)
		answered := false
		answer := func() {
			if answered {
				return
			}
			answered = true
			if k.Gone || k.Cut {
				fail(answerLimit, dispatch.Unanswered)
				return
			}
			rep := k.report(w.now)
			w.at(orderDelay, func() {
				if !d.fenced {
					d.core.Held(w.clock(), h, rep)
				}
			})
		}
		if h.Wait == 0 || len(k.report(w.now).Ended) > 0 {
			answer()
			return
		}
		k.waiting = append(k.waiting, answer)
		w.at(h.Wait, answer)
	})
}

// lapse ends what runs on workers whose leases have ended.
func (w *World) lapse() {
	for _, k := range w.Workers {
		if k.Gone || k.clockMs(w.now) <= k.leaseMs {
			continue
		}
		for _, e := range sorted(k.runs) {
			if k.runs[e.key] != e {
				continue // it ended with another member of its gang
			}
			w.waste(e)
			w.endGang(e, k, job.EndLapsed)
			k.end(e, job.EndLapsed, "")
		}
	}
}
