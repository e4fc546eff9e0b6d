package dispatch

import (
	"cmp"
	"slices"

	"agatewinch/internal/core/job"
)

// cycle caches what one scheduling cycle computes once for all steps: which workers may run a
// step, and how many tasks of each shape fit. Free capacity only shrinks within a cycle, so the
// counts are upper bounds. The cache matters when hundreds of steps wait for hundreds of workers.
type cycle struct {
	pools map[pool]*poolWorkers
	slots map[slotShape]*slots
	// runsByLoss caches the sorted runs of workers that were considered for preemption. It stays
	// valid when further runs are placed in the cycle: steps are handled in the order of
	// byPriority, so that no later step may preempt these runs.
	runsByLoss map[*worker][]*run
	// gangLoss caches the loss of stopping a gang that runs, by its step.
	gangLoss map[*step]float64
	// speedClasses are the speed classes of the listed workers, in increasing order.
	speedClasses []int
	// utilisation is that of the scarcest resource; negative until it has been computed.
	utilisation float64
}

// pool identifies the set of workers that may run a step.
type pool struct {
	service, label string
	// advised is the step itself if the advisory service decides which workers may run it.
	advised *step
}

// poolWorkers holds the usable workers of a pool, and the same workers by rack.
type poolWorkers struct {
	usable []*worker
	racks  [][]*worker
}

// slotShape holds everything that determines how many tasks fit on a worker.
type slotShape struct {
	pool         pool
	need         job.Resources
	maxPerWorker int
}

// slots counts the tasks of a shape that fit.
type slots struct {
	// free is the number that fits now on all workers, and rackFree the largest number that
	// fits now in one rack.
	free, rackFree int
	// rackCapacity is the number that would fit in the best rack if it ran long-running tasks only.
	rackCapacity int
	// ordinaryCapacity is the number that would fit on the racks that are not kept free for urgent
	// work if they ran long-running tasks only.
	ordinaryCapacity int
	// byRack is the number that fits now in each rack, by rackIndex.
	byRack []int
}

func newCycle() *cycle {
	return &cycle{pools: map[pool]*poolWorkers{}, slots: map[slotShape]*slots{}, runsByLoss: map[*worker][]*run{}, gangLoss: map[*step]float64{}, utilisation: -1}
}

// pool returns the pool of s.
func (s *step) pool() pool {
	p := pool{service: s.job.spec.Service, label: s.spec.Label}
	if s.job.spec.Advised {
		p.advised = s
	}
	return p
}

// mayRunOn reports whether w takes work, is of the kind that s requires and, for a job that needs advice, has a
// ticket.
func (c *Core) mayRunOn(now Now, s *step, w *worker) bool {
	_, allowed := s.ticketFor(now, w)
	return allowed && w.fits(s) && c.takesWork(now, w)
}

// poolOf returns the workers that may run s now, as a list and by rack.
func (c *Core) poolOf(now Now, s *step) *poolWorkers {
	key := s.pool()
	p := c.cycle.pools[key]
	if p == nil {
		p = &poolWorkers{}
		for _, w := range c.sortedWorkers {
			if c.mayRunOn(now, s, w) {
				p.usable = append(p.usable, w)
			}
		}
		p.racks = c.byRackIndex(p.usable)
		c.cycle.pools[key] = p
	}
	return p
}

// slotsFor returns upper bounds for the number of tasks of s that fit.
func (c *Core) slotsFor(now Now, s *step) *slots {
	key := slotShape{s.pool(), s.spec.Charge(), s.spec.MaxPerWorker}
	sl := c.cycle.slots[key]
	if sl == nil {
		sl = &slots{byRack: make([]int, c.racks)}
		for _, rack := range c.poolOf(now, s).racks {
			free, capacity := 0, 0
			for _, w := range rack {
				free += timesFit(w.free(), key.need, key.maxPerWorker)
				capacity += timesFit(w.transientCapacity(), key.need, key.maxPerWorker)
			}
			sl.free += free
			sl.rackFree = max(sl.rackFree, free)
			sl.rackCapacity = max(sl.rackCapacity, capacity)
			sl.byRack[rack[0].rackIndex] = free
			if rack[0].rackPosition >= urgentRackShare {
				sl.ordinaryCapacity += capacity
			}
		}
		c.cycle.slots[key] = sl
	}
	return sl
}

// indexRacks numbers the racks in the order of their names.
func (c *Core) indexRacks() {
	if c.racksIndexed {
		return
	}
	groups := groupByRack(c.sortedWorkers)
	for i, g := range groups {
		for _, w := range g {
			w.rackIndex = i
		}
	}
	c.racks, c.racksIndexed = len(groups), true
}

// byRackIndex groups workers by rack, in the order of the rack names, as groupByRack does.
func (c *Core) byRackIndex(workers []*worker) [][]*worker {
	groups := make([][]*worker, c.racks)
	for _, w := range workers {
		groups[w.rackIndex] = append(groups[w.rackIndex], w)
	}
	return slices.DeleteFunc(groups, func(g []*worker) bool { return len(g) == 0 })
}

// scored is a worker with its score for a step; a lower score is better.
type scored struct {
	worker *worker
	score  float64
}

// byScore returns the workers of a group in increasing order of score, the best first.
func (s *step) byScore(group []*worker) []scored {
	order := make([]scored, len(group))
	for i, w := range group {
		order[i] = scored{w, s.score(w, job.Resources{})}
	}
	slices.SortStableFunc(order, func(a, b scored) int { return cmp.Compare(a.score, b.score) })
	return order
}
