package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"agatewinch/internal/core/job"
)

// planTime bounds how long a plan keeps room for work that waits for stops.
const planTime = 2500 * time.Millisecond

// preemptPause is how long a step waits before it looks again for what it may stop.
const preemptPause = 100 * time.Millisecond

// plan is the room that a preemption is freeing for a step.
type plan struct {
	at    map[*task]*worker
	until time.Duration
}

// runPlan starts a planned step once its room is free.
func (c *Core) runPlan(now Now, s *step) {
	need := s.spec.Charge()
	taken := map[*worker]job.Resources{}
	for t, w := range s.plan.at {
		if _, allowed := s.ticketFor(now, w); !allowed || t.cur != nil || t.done || !c.takesWork(now, w) || now.Mono > s.plan.until {
			c.dropPlan(s)
			return
		}
		taken[w] = taken[w].Plus(need)
	}
	for w, sum := range taken {
		if w.Capacity.Minus(w.used).Fits(sum) {
			continue
		}
		if !w.Capacity.Minus(w.used).Plus(w.stoppingRoom()).Fits(sum) {
			c.dropPlan(s) // what was to end did so, and the room is not there
			return
		}
		c.wakeAt(now, s.plan.until+time.Millisecond)
		return
	}
	at := s.plan.at
	c.dropPlan(s)
	if s.spec.Gang {
		places := make([]*worker, len(s.tasks))
		for i, t := range s.tasks {
			places[i] = at[t]
		}
		c.startGang(now, s, places)
		return
	}
	for _, t := range s.tasks {
		if w := at[t]; w != nil {
			c.place(now, t, w, t.number+1)
		}
	}
}

func (c *Core) dropPlan(s *step) {
	if s.plan == nil {
		return
	}
	for _, w := range s.plan.at {
		w.reserved = w.reserved.Minus(s.spec.Charge())
	}
	s.plan = nil
	c.dirty = true
}

// preempt frees room for tasks by stopping what loses least. It reports whether it did.
func (c *Core) preempt(now Now, s *step, tasks []*task) bool {
	if s.advice.asking {
		return false // the answer says where s may run
	}
	if now.Mono < s.preemptAt {
		c.wakeAt(now, s.preemptAt)
		return false
	}
	s.preemptAt = now.Mono + preemptPause
	p := c.poolOf(now, s)
	groups := [][]*worker{p.usable}
	if s.spec.SameRack && s.spec.Gang {
		groups = append(slices.Clone(p.racks), p.usable)
	}
	var best *eviction
	for i, g := range groups {
		e := c.evict(now, s, len(tasks), g)
		if e == nil {
			continue
		}
		if best == nil || e.cost < best.cost {
			best = e
		}
		if len(groups) > 1 && i == len(groups)-2 && best != nil {
			break // a whole rack serves best
		}
	}
	if best == nil {
		c.note(Note{What: "no room to free", Job: s.job.spec.ID})
		return false
	}
	if best.cost > c.acceptableLoss(s) {
		return false
	}
	plan := &plan{at: map[*task]*worker{}, until: now.Mono + planTime}
	for i, t := range tasks {
		plan.at[t] = best.at[i]
		best.at[i].reserved = best.at[i].reserved.Plus(s.spec.Charge())
	}
	s.plan = plan
	for _, r := range best.victims {
		c.stop(now, r, "preempted")
		if r.task.step.spec.Gang {
			c.breakGang(now, r.task.step, r.number)
		}
	}
	c.wakeAt(now, plan.until+time.Millisecond)
	return true
}

// lastMoment reports whether s is late unless it begins about now. The load: gangs behind a
// flood of work of lower priority that already runs.
func (c *Core) lastMoment(now Now, s *step) bool {
	at := now.Mono + c.slack(now, s) - c.set.StopTime - lastMomentMargin
	if now.Mono < at {
		c.wakeAt(now, at)
		return false
	}
	return now.Mono < at+2*lastMomentMargin
}

// lastMomentMargin is kept for the stops of others and for a second try.
const lastMomentMargin = 1500 * time.Millisecond

const (
	// uncoveredLoss is the most that urgent work beyond a guarantee may make others lose, in
	// parts of its own size: by the operators' price lists urgent work earns several tens of
	// times what the same work costs that is thrown away, and others are delayed besides.
	uncoveredLoss = 16.0
	// lateLoss is the most that other work may make work below it lose, as a share of its
	// own size, once it would be late otherwise.
	lateLoss = 0.5
	// sizeShare is the part of a job's worth that goes by its work; the rest is the same
	// for all jobs of a kind.
	sizeShare = 0.7
	// meanShare is the weight of the newest job in the mean of urgent work.
	meanShare = 0.05
)

// acceptableLoss is the work in core-seconds that s may make others lose.
func (c *Core) acceptableLoss(s *step) float64 {
	switch {
	case s.job.spec.Priority != firstPriority:
		return lateLoss * s.job.work
	case s.job.covered:
		return math.Inf(1)
	}
	return uncoveredLoss * ((1-sizeShare)*c.urgentMean + sizeShare*s.job.work)
}

// eviction is a set of runs whose end makes room for tasks.
type eviction struct {
	at      []*worker
	victims []*run
	cost    float64
}

// packLoss is the loss in core-seconds that is taken on to keep urgent work together on
// workers that it already has.
const packLoss = 200.0

// evict finds places for n tasks of s in a group, or nil.
func (c *Core) evict(now Now, s *step, n int, group []*worker) *eviction {
	need := s.spec.Charge()
	chosen := map[*run]bool{}
	free := map[*worker]job.Resources{}
	for _, w := range group {
		free[w] = w.soonFree()
	}
	e := &eviction{}
	for range n {
		var best *worker
		var bestVictims []*run
		bestCost, bestRank := 0.0, 0.0
		for _, w := range group {
			if s.spec.MaxPerWorker > 0 && s.onWorker(w)+count(e.at, w) >= s.spec.MaxPerWorker {
				continue
			}
			victims, cost, ok := c.victims(now, s, w, free[w], need, chosen)
			rank := cost + packLoss*w.urgentLeft(need)
			if ok && (best == nil || rank < bestRank || rank == bestRank && leftover(w, need) < leftover(best, need)) {
				best, bestVictims, bestCost, bestRank = w, victims, cost, rank
			}
		}
		if best == nil {
			return nil
		}
		for _, v := range bestVictims {
			for _, m := range gangOf(v) {
				if !chosen[m] {
					chosen[m] = true
					e.victims = append(e.victims, m)
					if f, ok := free[m.worker]; ok {
						free[m.worker] = f.Plus(m.need)
					}
				}
			}
		}
		free[best] = free[best].Minus(need)
		e.at = append(e.at, best)
		e.cost += bestCost
	}
	return e
}

func count(at []*worker, w *worker) int {
	n := 0
	for _, a := range at {
		if a == w {
			n++
		}
	}
	return n
}

// soonFree is the room of w once its stopping runs have ended.
func (w *worker) soonFree() job.Resources {
	return w.free().Plus(w.stoppingRoom())
}

// stoppingRoom is what the stopping runs of w will free.
func (w *worker) stoppingRoom() job.Resources {
	var sum job.Resources
	for r := range w.runs {
		if r.phase == stopping {
			sum = sum.Plus(r.need)
		}
	}
	return sum
}

// victims returns the cheapest runs to stop on w so that need fits.
func (c *Core) victims(now Now, s *step, w *worker, free, need job.Resources, chosen map[*run]bool) ([]*run, float64, bool) {
	if free.Fits(need) {
		return nil, 0, true
	}
	var picked []*run
	for _, r := range c.byLoss(now, w) {
		if chosen[r] || !mayStop(s, r) {
			continue
		}
		picked = append(picked, r)
		free = free.Plus(r.need)
		if free.Fits(need) {
			break
		}
	}
	if !free.Fits(need) {
		return nil, 0, false
	}
	cost := 0.0
	var kept []*run
	for i := len(picked) - 1; i >= 0; i-- { // give back what is not needed, dearest first
		if without := free.Minus(picked[i].need); without.Fits(need) {
			free = without
			continue
		}
		kept = append(kept, picked[i])
		cost += c.lossOf(now, picked[i])
	}
	return kept, cost, true
}

// byLoss returns the runs of w, those that lose least when they are stopped first.
func (c *Core) byLoss(now Now, w *worker) []*run {
	if runs, ok := c.cycle.byLoss[w]; ok {
		return runs
	}
	runs := c.runsOf(w)
	loss := make(map[*run]float64, len(runs))
	for _, r := range runs {
		loss[r] = c.lossOf(now, r)
	}
	slices.SortStableFunc(runs, func(a, b *run) int { return cmp.Compare(loss[a], loss[b]) })
	c.cycle.byLoss[w] = runs
	return runs
}

// mayStop reports whether s may take the room of r.
func mayStop(s *step, r *run) bool {
	other := r.task.step
	lower := other.job.spec.Priority > s.job.spec.Priority || s.job.covered && !other.job.covered
	return lower && !other.spec.LongRunning && !r.task.done &&
		(r.phase == running || r.phase == starting || r.phase == recording)
}

// gangOf returns the runs that end with r.
func gangOf(r *run) []*run {
	if !r.task.step.spec.Gang {
		return []*run{r}
	}
	var all []*run
	for _, t := range r.task.step.tasks {
		if t.cur != nil && t.cur.number == r.number && t.cur.phase != stopping {
			all = append(all, t.cur)
		}
	}
	return all
}

const (
	// checkpointLoss is the work that a task with checkpoints loses at a stop, with the
	// time to restore it.
	checkpointLoss = 700 * time.Millisecond
	// stopCost is the loss of a stop in core-seconds beside the work itself: the place,
	// and the order.
	stopCost = 10
	// urgentLoss is added for each urgent task that is stopped, since its job is then
	// late: about what an urgent task earns, by the price of lost work.
	urgentLoss = 1000
)

// lossOf is the work in core-seconds that is thrown away if r is stopped.
func (c *Core) lossOf(now Now, r *run) float64 {
	sum := 0.0
	for _, m := range gangOf(r) {
		at := time.Duration(0)
		if m.seen {
			at = now.Mono - m.seenAt
		}
		if m.task.step.spec.Checkpoints {
			at = min(at, checkpointLoss)
		}
		sum += stopCost + at.Seconds()*m.need.Cores()
		if r.task.step.job.spec.Priority == firstPriority {
			sum += urgentLoss
		}
	}
	return sum
}
