package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"agatewinch/internal/core/job"
)

// planTimeout is how long a plan may hold its reserved capacity while it waits for the preempted
// runs to stop.
const planTimeout = 2500 * time.Millisecond

// preemptInterval is the mean time between two searches for runs to preempt for the same step.
const preemptInterval = 100 * time.Millisecond

// nextPreemption returns when a step that searches now may search again. The times are the same for
// all steps, so that they share what a cycle computes.
func nextPreemption(now time.Duration) time.Duration {
	return ((now+preemptInterval/2)/preemptInterval + 1) * preemptInterval
}

// plan assigns a step's tasks to the workers on which a preemption is freeing capacity.
type plan struct {
	workerOf map[*task]*worker
	until    time.Duration
}

// runPlan places a planned step once its capacity is free. It drops a plan that has expired or
// can no longer be executed: a worker may have restarted as another kind since.
func (c *Core) runPlan(now Now, s *step) {
	need := s.spec.Charge()
	taken := map[*worker]job.Resources{}
	for t, w := range s.plan.workerOf {
		if t.current != nil || t.done || !c.mayRunOn(now, s, w) || now.Mono > s.plan.until {
			c.dropPlan(s)
			return
		}
		taken[w] = taken[w].Plus(need)
	}
	for w, sum := range taken {
		if w.Capacity.Minus(w.used).Fits(sum) {
			continue
		}
		if !w.Capacity.Minus(w.used).Plus(w.stoppingResources()).Fits(sum) {
			c.dropPlan(s) // not even the runs that are stopping would free enough
			return
		}
		c.wakeAt(now, s.plan.until+time.Millisecond)
		return
	}
	workerOf := s.plan.workerOf
	c.dropPlan(s)
	if s.spec.Gang {
		workers := make([]*worker, len(s.tasks))
		for i, t := range s.tasks {
			workers[i] = workerOf[t]
		}
		c.startGang(now, s, workers)
		return
	}
	for _, t := range s.tasks {
		if w := workerOf[t]; w != nil {
			c.place(now, t, w, t.latestRun+1)
		}
	}
}

func (c *Core) dropPlan(s *step) {
	if s.plan == nil {
		return
	}
	for _, w := range s.plan.workerOf {
		w.reserved = w.reserved.Minus(s.spec.Charge())
	}
	s.plan = nil
	c.inputsChanged = true
}

// preempt frees capacity for tasks by stopping the runs that lose the least work, if that loss
// is acceptable. It reports whether it has made a plan.
func (c *Core) preempt(now Now, s *step, tasks []*task) bool {
	if s.advice.inFlight {
		return false // the answer determines which workers may run s
	}
	if now.Mono < s.nextPreemptAt {
		c.wakeAt(now, s.nextPreemptAt)
		return false
	}
	s.nextPreemptAt = nextPreemption(now.Mono)
	p := c.poolOf(now, s)
	if len(p.usable) == 0 {
		return false
	}
	groups := [][]*worker{p.usable}
	if s.spec.SameRack && s.spec.Gang {
		groups = append(slices.Clone(p.racks), p.usable)
	}
	var best *eviction
	for i, g := range groups {
		e := c.findEviction(now, s, len(tasks), g)
		if e == nil {
			continue
		}
		if best == nil || e.cost < best.cost {
			best = e
		}
		if len(groups) > 1 && i == len(groups)-2 && best != nil {
			break // one rack is better than several, even at a higher loss
		}
	}
	if best == nil {
		c.note(Note{Kind: "no runs to preempt", Job: s.job.spec.ID})
		return false
	}
	if best.cost > c.acceptableLoss(s) {
		return false
	}
	plan := &plan{workerOf: map[*task]*worker{}, until: now.Mono + planTimeout}
	for i, t := range tasks {
		plan.workerOf[t] = best.workers[i]
		best.workers[i].reserved = best.workers[i].reserved.Plus(s.spec.Charge())
	}
	s.plan = plan
	for _, r := range best.victims {
		c.countPreemption(now, r)
		c.stop(now, r, "preempted")
		if r.task.step.spec.Gang {
			c.breakGang(now, r.task.step, r.number)
		}
	}
	c.wakeAt(now, plan.until+time.Millisecond)
	return true
}

// mustStartNow reports whether s has to start about now to meet its objective. Gangs that are not
// urgent wait until then before they preempt running work of lower priority that occupies the
// fleet. It is false again after 2*latestStartMargin, when it is too late to start in time.
func (c *Core) mustStartNow(now Now, s *step) bool {
	at := now.Mono + c.slack(now, s) - c.settings.MaxStopTime - latestStartMargin
	if now.Mono < at {
		c.wakeAt(now, at)
		return false
	}
	return now.Mono < at+2*latestStartMargin
}

// latestStartMargin leaves time to stop other runs and to try a second time.
const latestStartMargin = 1500 * time.Millisecond

const (
	// maxLossBeyondGuarantee is the most that urgent work beyond a guarantee may make others
	// lose, as a multiple of its own size. By the operators' price lists urgent work earns
	// several tens of times what the same amount of lost work costs; preemption also delays
	// others.
	maxLossBeyondGuarantee = 16.0
	// maxLossWhenLate is the most that work which is not urgent may make work of lower priority
	// lose, as a fraction of its own size, once it would otherwise be late.
	maxLossWhenLate = 0.5
	// sizeShare is the part of a job's value that grows with its work; the rest is the same
	// for all urgent jobs.
	sizeShare = 0.7
	// meanUrgentWorkWeight is the weight of the newest job in the moving average of urgent
	// work.
	meanUrgentWorkWeight = 0.05
)

// acceptableLoss returns the most work, in core-seconds, that s may make others lose.
func (c *Core) acceptableLoss(s *step) float64 {
	switch {
	case s.job.spec.Priority != urgentPriority:
		return maxLossWhenLate * s.job.work
	case s.job.withinGuarantee:
		return math.Inf(1)
	}
	return maxLossBeyondGuarantee * ((1-sizeShare)*c.meanUrgentWork + sizeShare*s.job.work)
}

// eviction is a set of runs to stop, and a worker for each task that fits once they have ended.
type eviction struct {
	workers []*worker
	victims []*run
	cost    float64
}

// packingLoss is the extra loss in core-seconds that is accepted to pack urgent work onto
// workers that already run urgent work.
const packingLoss = 200.0

// candidate is a worker that a search for runs to stop may choose for the next task.
type candidate struct {
	worker *worker
	// free is what is free once the stopping runs and the victims chosen so far have ended, less
	// the tasks placed so far. placed counts the step's tasks on the worker.
	free   job.Resources
	placed int
	// victims are the runs to stop for one more task, and cost their loss; ok is false if even all
	// runs that may be stopped would not free enough. They are out of date while stale is set.
	victims []*run
	cost    float64
	ok      bool
	stale   bool
	// packing is the extra loss that counts for the worker, and left the rest that would stay free.
	packing, left float64
}

// better reports whether k is a better choice than o.
func (k *candidate) better(o *candidate) bool {
	a, b := k.cost+k.packing, o.cost+o.packing
	return a < b || a == b && k.left < o.left
}

// evictionSearch is the state of one search: the candidates in the order of their group, their
// positions, and the runs chosen so far.
type evictionSearch struct {
	now        Now
	candidates []candidate
	index      map[*worker]int
	chosen     map[*run]bool
}

// newEvictionSearch returns the search for n tasks of s in a group, or nil if even all runs that s may
// preempt would not free enough.
func (c *Core) newEvictionSearch(now Now, s *step, n int, group []*worker) *evictionSearch {
	need := s.spec.Charge()
	search := &evictionSearch{now: now, candidates: make([]candidate, len(group))}
	room := 0
	for i, w := range group {
		all := w.freeAfterStops()
		search.candidates[i] = candidate{worker: w, free: all, stale: true}
		for _, r := range c.byLoss(now, w) {
			if mayPreempt(s, r) {
				all = all.Plus(r.need)
			}
		}
		room += timesFit(all, need, s.spec.MaxPerWorker)
	}
	if room < n {
		return nil
	}
	search.index, search.chosen = make(map[*worker]int, len(group)), map[*run]bool{}
	for i := range search.candidates {
		k := &search.candidates[i]
		search.index[k.worker] = i
		k.packing, k.left = packingLoss*k.worker.nonUrgentShare(need), leftover(k.worker, need)
		if s.spec.MaxPerWorker > 0 {
			k.placed = s.countOnWorker(k.worker)
		}
	}
	return search
}

// choose marks a victim and the rest of its gang as chosen, adds them to e and counts what they free.
func (search *evictionSearch) choose(victim *run, e *eviction) {
	if victim.task.step.spec.MaxUnavailable > 0 {
		search.invalidate() // other victims of the step may exceed its limit now
	}
	for _, m := range gangOf(victim) {
		if search.chosen[m] {
			continue
		}
		search.chosen[m] = true
		e.victims = append(e.victims, m)
		if i, ok := search.index[m.worker]; ok {
			k := &search.candidates[i]
			k.free, k.stale = k.free.Plus(m.need), true
		}
	}
}

// invalidate marks the victims of all candidates as out of date.
func (search *evictionSearch) invalidate() {
	for i := range search.candidates {
		search.candidates[i].stale = true
	}
}

// mayStop reports whether the limit of unavailable tasks of r's step allows it to be stopped besides
// the victims chosen so far and those picked on its worker.
func (search *evictionSearch) mayStop(r *run, picked []*run) bool {
	return mayBeUnavailable(search.now, r, func(o *run) bool { return search.chosen[o] || slices.Contains(picked, o) })
}

// findEviction selects workers in a group for n tasks of s, and the runs to stop on them. It
// returns nil if not all tasks can be placed. It does not stop any run. After each choice only the
// workers that it concerns are considered anew: on a large fleet most are not.
func (c *Core) findEviction(now Now, s *step, n int, group []*worker) *eviction {
	search := c.newEvictionSearch(now, s, n, group)
	if search == nil {
		return nil
	}
	need := s.spec.Charge()
	e := &eviction{}
	for range n {
		var best *candidate
		for i := range search.candidates {
			k := &search.candidates[i]
			if s.spec.MaxPerWorker > 0 && k.placed >= s.spec.MaxPerWorker {
				continue
			}
			if k.stale {
				k.victims, k.cost, k.ok = c.victims(now, s, k.worker, k.free, need, search)
				k.stale = false
			}
			if k.ok && (best == nil || k.better(best)) {
				best = k
			}
		}
		if best == nil {
			return nil
		}
		for _, v := range best.victims {
			search.choose(v, e)
		}
		best.free, best.stale = best.free.Minus(need), true
		best.placed++
		e.workers = append(e.workers, best.worker)
		e.cost += best.cost
	}
	return e
}

// freeAfterStops returns the free capacity of w once its stopping runs have ended.
func (w *worker) freeAfterStops() job.Resources {
	return w.free().Plus(w.stoppingResources())
}

// stoppingResources returns the resources of the stopping runs of w.
func (w *worker) stoppingResources() job.Resources {
	var sum job.Resources
	for _, r := range w.orderedRuns() {
		if r.phase == stopping {
			sum = sum.Plus(r.need)
		}
	}
	return sum
}

// victims selects runs to stop on w so that need fits, those with the least loss first, and
// returns them with their total loss. It reports false if need would not fit even if all
// runs that s may preempt were stopped.
func (c *Core) victims(now Now, s *step, w *worker, free, need job.Resources, search *evictionSearch) ([]*run, float64, bool) {
	if free.Fits(need) {
		return nil, 0, true
	}
	var picked []*run
	for _, r := range c.byLoss(now, w) {
		if search.chosen[r] || !mayPreempt(s, r) || !search.mayStop(r, picked) {
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
	var needed []*run
	for i := len(picked) - 1; i >= 0; i-- { // keep the runs that do not have to stop, highest loss first
		if without := free.Minus(picked[i].need); without.Fits(need) {
			free = without
			continue
		}
		needed = append(needed, picked[i])
		cost += picked[i].loss
	}
	return needed, cost, true
}

// byLoss returns the runs of w in the order of the work that is lost if they are stopped, least
// first.
func (c *Core) byLoss(now Now, w *worker) []*run {
	if runs, ok := c.cycle.runsByLoss[w]; ok {
		return runs
	}
	runs := c.runsOf(w)
	for _, r := range runs {
		r.loss = c.cycleLoss(now, r)
	}
	slices.SortStableFunc(runs, func(a, b *run) int { return cmp.Compare(a.loss, b.loss) })
	c.cycle.runsByLoss[w] = runs
	return runs
}

// cycleLoss is lossOf, computed once in a cycle for all members of a gang.
func (c *Core) cycleLoss(now Now, r *run) float64 {
	s := r.task.step
	if !s.spec.Gang || r.phase == stopping {
		return c.lossOf(now, r)
	}
	loss, ok := c.cycle.gangLoss[s]
	if !ok {
		loss = c.lossOf(now, r)
		c.cycle.gangLoss[s] = loss
	}
	return loss
}

// mayPreempt reports whether s may preempt r: s is within its organisation's guarantee and r is not,
// or r has lower priority and is not long-running. Adopted and stopping runs, and runs of tasks that
// are done, are never preempted.
func mayPreempt(s *step, r *run) bool {
	other := r.task.step
	reclaims := s.job.withinGuarantee && !other.job.withinGuarantee
	lower := other.job.spec.Priority > s.job.spec.Priority && !other.spec.LongRunning
	return (reclaims || lower) && !r.task.done &&
		(r.phase == running || r.phase == starting || r.phase == recording)
}

// gangOf returns the runs that have to stop together with r: r itself, or the runs of its
// gang that are not stopping yet.
func gangOf(r *run) []*run {
	if !r.task.step.spec.Gang {
		return []*run{r}
	}
	var all []*run
	for _, t := range r.task.step.tasks {
		if t.current != nil && t.current.number == r.number && t.current.phase != stopping {
			all = append(all, t.current)
		}
	}
	return all
}

const (
	// stopCost is the fixed loss of each stop in core-seconds, in addition to the lost work: it
	// accounts for the new placement and the call.
	stopCost = 10
	// urgentLoss, in core-seconds, is added for each urgent task that is stopped, because its
	// job is then late. It is about the earnings of an urgent task divided by the
	// price of lost work.
	urgentLoss = 1000
)

// checkpointLoss is the most run time that a task with checkpoints loses at a stop: it saves a
// checkpoint when it is stopped, and its next run restores that.
func (s Settings) checkpointLoss() time.Duration { return s.MaxStopTime + s.RestoreTime }

// lossOf returns the loss, in core-seconds, of stopping r and the rest of its gang.
func (c *Core) lossOf(now Now, r *run) float64 {
	sum := 0.0
	for _, m := range gangOf(r) {
		lost := time.Duration(0)
		if m.confirmed {
			lost = now.Mono - m.confirmedAt
		}
		if m.task.step.spec.Checkpoints {
			lost = min(lost, c.settings.checkpointLoss())
		}
		sum += stopCost + lost.Seconds()*m.need.Cores()
		if r.task.step.job.spec.Priority == urgentPriority {
			sum += urgentLoss
		}
	}
	return sum
}
