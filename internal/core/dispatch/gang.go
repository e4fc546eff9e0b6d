package dispatch

import (
	"slices"
	"time"

	"agatewinch/internal/core/job"
)

// placeGang places all tasks of a gang or none.
func (c *Core) placeGang(now Now, s *step, full fullShapes) {
	for _, t := range s.tasks {
		if t.current != nil {
			return // members of an earlier run have not ended yet
		}
	}
	waiting := c.waiting(now, s)
	if len(waiting) < len(s.tasks) {
		return
	}
	if s.mayExhaustAttempts() || c.wouldBeLost(now, s) {
		return
	}
	workers := c.findGangWorkers(now, s)
	if workers == nil {
		if s.job.spec.Priority == urgentPriority {
			c.preempt(now, s, waiting)
		} else if !c.mustStartNow(now, s) || !c.preempt(now, s, waiting) {
			c.reserve(now, s, c.reservations)
		}
		return
	}
	c.startGang(now, s, workers)
}

func (c *Core) startGang(now Now, s *step, workers []*worker) {
	for _, t := range s.tasks {
		s.latestRun = max(s.latestRun, t.latestRun)
	}
	s.latestRun++
	checkpoint := ""
	for _, t := range s.tasks {
		if t.checkpoint != "" {
			checkpoint = t.checkpoint // a checkpoint of any member is valid for the whole gang
		}
	}
	for i, t := range s.tasks {
		t.checkpoint = checkpoint
		c.place(now, t, workers[i], s.latestRun)
	}
}

// findGangWorkers returns a worker for each task of s, or nil. It uses workers on which the
// gang has failed only if the others could not hold the gang, even without the work that ends by
// itself.
func (c *Core) findGangWorkers(now Now, s *step) []*worker {
	sl := c.slotsFor(now, s)
	if sl.free < len(s.tasks) {
		return nil
	}
	if s.spec.SameRack && s.spec.DataRack == "" && sl.rackFree < len(s.tasks) && sl.rackCapacity >= len(s.tasks) && c.waitsForRack(now, s) {
		return nil
	}
	c.rateSpeeds(now, s)
	p := c.poolOf(now, s)
	eligible := func(w *worker) bool { return c.mayPlaceOn(now, s, w) && !s.hasFailedOn(w) }
	if s.failures > 0 && (!c.avoidsFailedWorkers(now, s, s.failures, s.lastFailedAt()) || transientSlots(s, filter(p.usable, eligible)) < len(s.tasks)) {
		eligible = func(w *worker) bool { return c.mayPlaceOn(now, s, w) }
	}
	if c.wantsProven(now, s, s.failedEarly(), s.failures, s.lastFailedAt()) {
		unproven := eligible
		eligible = func(w *worker) bool { return w.trust.proven(now.Mono) && unproven(w) }
	}
	workers := c.findGangAmong(now, s, sl, eligible)
	if workers != nil && c.worthWaiting(now, s, slowestClass(workers), len(workers)) {
		return c.findGangAmong(now, s, sl, func(w *worker) bool { return !w.isSlow() && eligible(w) })
	}
	return workers
}

// filter returns the eligible workers of a group.
func filter(group []*worker, eligible func(*worker) bool) []*worker {
	out := make([]*worker, 0, len(group))
	for _, w := range group {
		if eligible(w) {
			out = append(out, w)
		}
	}
	return out
}

// lastFailedAt is when a task of s last failed.
func (s *step) lastFailedAt() time.Duration {
	at := time.Duration(0)
	for _, t := range s.tasks {
		at = max(at, t.failedAt)
	}
	return at
}

func (s *step) hasFailedOn(w *worker) bool {
	return s.failures > 0 && slices.ContainsFunc(s.tasks, func(t *task) bool { return t.hasFailedOn(w) })
}

// findGangAmong returns an eligible worker for each task of s, or nil. It prefers the rack with
// the data and, for a step with SameRack, the rack with the lowest total score. It falls back to
// several racks when no rack could hold the gang or the wait for one is over.
func (c *Core) findGangAmong(now Now, s *step, sl *slots, eligible func(*worker) bool) []*worker {
	p := c.poolOf(now, s)
	if s.spec.DataRack != "" {
		rack := workersOnRack(p.usable, s.spec.DataRack)
		if workers := assign(s, filter(rack, eligible)); workers != nil {
			return workers
		}
		if transientSlots(s, rack) >= len(s.tasks) && c.waitsForRack(now, s) {
			return nil
		}
	}
	if !s.spec.SameRack {
		return assign(s, filter(p.usable, eligible))
	}
	var best []*worker
	bestTotal := 0.0
	for _, rack := range p.racks {
		if sl.byRack[rack[0].rackIndex] < len(s.tasks) {
			continue
		}
		group := filter(rack, eligible)
		workers := assign(s, group)
		if workers == nil {
			continue
		}
		total := 0.0
		for _, w := range group {
			total += s.score(w, job.Resources{})
		}
		if s.speeds != nil {
			total += float64(len(group)) * s.speeds.score(slowestClass(workers))
		}
		if best == nil || total < bestTotal {
			best, bestTotal = workers, total
		}
	}
	if best != nil {
		return best
	}
	if sl.rackCapacity >= len(s.tasks) && c.waitsForRack(now, s) {
		return nil
	}
	return assign(s, filter(p.usable, eligible))
}

// waitsForRack reports whether a gang should keep waiting for a rack that could hold all of it.
func (c *Core) waitsForRack(now Now, s *step) bool {
	until := s.readySince + c.rackWait(now, c.spreadWait(now, s))
	if now.Mono >= until {
		return false
	}
	c.wakeAt(now, until)
	return true
}

// workersOnRack returns the workers of one rack.
func workersOnRack(workers []*worker, rack string) []*worker {
	var out []*worker
	for _, w := range workers {
		if w.Rack == rack {
			out = append(out, w)
		}
	}
	return out
}

// spreadWait is how long a gang waits for one rack before it runs on several, where it takes
// SpreadFactor times as long: the time that it would lose there, up to maxSpreadWait. An urgent
// gang waits for urgentSpreadWait.
func (c *Core) spreadWait(now Now, s *step) time.Duration {
	if s.job.spec.Priority == urgentPriority {
		return urgentSpreadWait
	}
	return min(time.Duration(float64(c.expectedRunTime(now, s, nil))*(c.settings.SpreadFactor-1)), maxSpreadWait)
}

const (
	// urgentSpreadWait is short: most of the time allowed for reclaiming guaranteed capacity
	// is left for the start itself.
	urgentSpreadWait = time.Second
	// maxSpreadWait bounds the wait of gangs that are not urgent.
	maxSpreadWait = 12 * time.Second
)

// groupByRack groups workers by rack, in the order of the rack names.
func groupByRack(workers []*worker) [][]*worker {
	groups := map[string][]*worker{}
	for _, w := range workers {
		groups[w.Rack] = append(groups[w.Rack], w)
	}
	names := make([]string, 0, len(groups))
	for n := range groups {
		names = append(names, n)
	}
	slices.Sort(names)
	out := make([][]*worker, 0, len(names))
	for _, n := range names {
		out = append(out, groups[n])
	}
	return out
}

// transientSlots returns how many tasks of s a group could hold if it ran long-running tasks only.
func transientSlots(s *step, group []*worker) int {
	n := 0
	for _, w := range group {
		n += timesFit(w.transientCapacity(), s.spec.Charge(), s.spec.MaxPerWorker)
	}
	return n
}

// timesFit returns how many times need fits into capacity, at most limit times if limit is
// positive.
func timesFit(capacity, need job.Resources, limit int) int {
	n := 1 << 20
	for _, d := range [3][2]int64{{capacity.CPU, need.CPU}, {capacity.MemMB, need.MemMB}, {capacity.Accelerators, need.Accelerators}} {
		if d[1] > 0 {
			n = min(n, int(max(0, d[0])/d[1]))
		}
	}
	if limit > 0 {
		n = min(n, limit)
	}
	return n
}

// assign returns a worker for each task of s, filling the workers with the lowest score first,
// or nil if not all tasks fit.
func assign(s *step, group []*worker) []*worker {
	need := s.spec.Charge()
	capacity := 0
	for _, w := range group {
		capacity += timesFit(w.free(), need, s.spec.MaxPerWorker)
	}
	if capacity < len(s.tasks) {
		return nil
	}
	order := s.byScore(group)
	if s.speeds != nil {
		return s.assignAtLikeSpeed(order, s.speedsIn.speedClasses)
	}
	var workers []*worker
	for _, o := range order {
		for range timesFit(o.worker.free(), need, s.spec.MaxPerWorker) {
			workers = append(workers, o.worker)
			if len(workers) == len(s.tasks) {
				return workers
			}
		}
	}
	return nil
}
