package dispatch

import (
	"cmp"
	"slices"

	"agatewinch/internal/core/job"
)

// A worker drains before the upkeep of its machine: it gets no new work, and its long-running tasks, which never
// end by themselves, are stopped. It must not get stuck in that state, with a task that fits nowhere else and
// others that may not be stopped while that one is away.

// drainNext drains machines of v as far as its limit allows, in increasing order of the work that stopping
// their runs would lose. late is set if the wave would otherwise miss its deadline. It removes the drained
// workers from open, the workers that take work, and returns the rest.
func (c *Core) drainNext(now Now, v *wave, open []*worker, late bool) []*worker {
	for _, u := range c.byDrainLoss(now, v) {
		if v.count(func(u *upkeep) bool { return u.down() || u.phase == upkeepDraining }) >= v.MaxUnavailable {
			break
		}
		w := c.upkeepWorker(u)
		if w != nil && len(w.runs) > 0 && (!late && !c.leavesHalf(w) || !c.canEmpty(now, w, open)) {
			continue
		}
		u.phase = upkeepDraining
		c.note(Note{Kind: "worker draining for upkeep", Worker: c.machines[u.machine].Worker})
		if w != nil {
			u.worker, u.incarnation = w.ID, w.Incarnation
			open = slices.DeleteFunc(open, func(o *worker) bool { return o == w })
		}
	}
	return open
}

// byDrainLoss returns the machines of v that wait for their upkeep, in increasing order of the work that stopping
// their runs would lose.
func (c *Core) byDrainLoss(now Now, v *wave) []*upkeep {
	var waiting []*upkeep
	for _, u := range v.upkeeps {
		if u.phase == upkeepWaiting && c.machines[u.machine].Up {
			waiting = append(waiting, u)
		}
	}
	loss := map[*upkeep]float64{}
	for _, u := range waiting {
		if w := c.upkeepWorker(u); w != nil {
			for r := range w.runs {
				loss[u] += c.lossOf(now, r)
			}
		}
	}
	slices.SortStableFunc(waiting, func(a, b *upkeep) int { return cmp.Compare(loss[a], loss[b]) })
	return waiting
}

// leavesHalf reports whether half of the workers of a service still take work if w drains as well. Draining
// workers may run long tasks, and stay idle otherwise, until the wave's time is short. One worker may
// always drain.
func (c *Core) leavesHalf(w *worker) bool {
	draining, all := 0, 0
	for _, v := range c.waves {
		draining += v.count(func(u *upkeep) bool {
			o := c.workers[u.worker]
			return u.phase == upkeepDraining && o != nil && o.listed && o.Service == w.Service
		})
	}
	for _, o := range c.sortedWorkers {
		if o.listed && o.Service == w.Service {
			all++
		}
	}
	return draining == 0 || 2*(draining+1) <= all
}

// canEmpty reports whether the long-running tasks on w can be moved to open workers, or can all be stopped at
// once: then they are away for one upkeep only.
func (c *Core) canEmpty(now Now, w *worker, open []*worker) bool {
	return mayStopTogether(now, c.stranded(now, w, open))
}

// stranded returns the long-running runs on w for which the open workers have no room. A gang would need
// room for all its tasks at once and counts as stranded.
func (c *Core) stranded(now Now, w *worker, open []*worker) []*run {
	if w.longRunning == (job.Resources{}) {
		return nil
	}
	var out []*run
	moved := map[*worker][]*step{}
	for _, r := range c.runsOf(w) {
		s := r.task.step
		if !s.spec.LongRunning || r.phase == stopping {
			continue
		}
		i := slices.IndexFunc(open, func(o *worker) bool { return o != w && c.hasRoomFor(now, s, o, moved[o]) })
		if s.spec.Gang || i < 0 {
			out = append(out, r)
			continue
		}
		moved[open[i]] = append(moved[open[i]], s)
	}
	return out
}

// hasRoomFor reports whether w has room for a task of s beside one of each of the given steps.
func (c *Core) hasRoomFor(now Now, s *step, w *worker, besides []*step) bool {
	if v, known := s.verdictFor(w); !w.fits(s) || known && !v.eligible || !c.mayPlaceOn(now, s, w) {
		return false
	}
	free, own := w.free(), s.countOnWorker(w)
	for _, o := range besides {
		free = free.Minus(o.spec.Charge())
		if o == s {
			own++
		}
	}
	return free.Fits(s.spec.Charge()) && (s.spec.MaxPerWorker == 0 || own < s.spec.MaxPerWorker)
}

// mayStopTogether reports whether runs may be stopped at the same time without exceeding their steps' limits of
// unavailable tasks.
func mayStopTogether(now Now, runs []*run) bool {
	for i, r := range runs {
		if !mayBeUnavailable(now, r, func(o *run) bool { return slices.Contains(runs[:i], o) }) {
			return false
		}
	}
	return true
}

// drainWorker stops the long-running runs on w, which do not end by themselves, or all runs if stopAll is set,
// as far as the steps' limits of unavailable tasks allow. Those that fit on no open worker go on
// until nothing else runs on w, so that the upkeep can follow at once, and are stopped together.
func (c *Core) drainWorker(now Now, w *worker, open []*worker, stopAll bool) {
	stranded := c.stranded(now, w, open)
	last := mayStopTogether(now, stranded) && !slices.ContainsFunc(c.runsOf(w), func(r *run) bool {
		return r.phase != stopping && !slices.Contains(stranded, r)
	})
	for _, r := range c.runsOf(w) {
		s := r.task.step
		switch {
		case r.phase == stopping:
			continue
		case slices.Contains(stranded, r):
			if !last {
				continue
			}
		case !stopAll && !s.spec.LongRunning || !mayBeUnavailable(now, r, nil):
			continue
		}
		c.stop(now, r, "upkeep")
		if s.spec.Gang {
			c.breakGang(now, s, r.number)
		}
	}
}

// putOff lets the worker of a draining machine take work again if it cannot be emptied. It reports whether it
// has done so.
func (c *Core) putOff(now Now, u *upkeep, w *worker, open []*worker) bool {
	if u.phase != upkeepDraining || c.canEmpty(now, w, open) {
		return false
	}
	c.note(Note{Kind: "upkeep put off", Worker: w.ID, Why: "its long-running tasks fit on no other worker and may not all be unavailable"})
	u.phase, u.worker, u.incarnation = upkeepWaiting, "", 0
	c.inputsChanged = true
	return true
}
