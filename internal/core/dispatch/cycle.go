package dispatch

import (
	"cmp"
	"slices"

	"agatewinch/internal/core/job"
)

// cycle holds what one scheduling cycle works out once for all steps: who may run what, and
// how many tasks of each shape have room. Within a cycle room only shrinks, so that the
// counts are upper bounds. The load: hundreds of steps that wait for hundreds of workers.
type cycle struct {
	pools map[pool]*poolWorkers
	slots map[slotShape]*slots
	// byLoss holds the runs of workers that urgent work looked at; what is placed later in
	// the cycle is urgent too, or has lost nothing yet.
	byLoss map[*worker][]*run
}

// pool names the workers that may run a step.
type pool struct {
	service, label string
	// advised is the step itself where the advisory service has a say.
	advised *step
}

type poolWorkers struct {
	usable []*worker
	racks  [][]*worker
}

// slotShape is what the number of tasks that a worker has room for depends on.
type slotShape struct {
	pool pool
	need job.Resources
	most int
}

// slots counts the tasks of a shape that there is room for.
type slots struct {
	// free is the room now, and rackFree the most of it in one rack.
	free, rackFree int
	// rackWhole is the room of the largest rack if it were empty.
	rackWhole int
	byRack    map[string]int
}

func newCycle() *cycle {
	return &cycle{pools: map[pool]*poolWorkers{}, slots: map[slotShape]*slots{}, byLoss: map[*worker][]*run{}}
}

func (s *step) pool() pool {
	p := pool{service: s.job.spec.Service, label: s.spec.Label}
	if s.job.spec.Advised {
		p.advised = s
	}
	return p
}

// poolOf returns the workers that may run s now, and their racks.
func (c *Core) poolOf(now Now, s *step) *poolWorkers {
	key := s.pool()
	p := c.cycle.pools[key]
	if p == nil {
		p = &poolWorkers{}
		for _, w := range c.sorted {
			if _, allowed := s.ticketFor(now, w); allowed && w.fits(s) && c.takesWork(now, w) {
				p.usable = append(p.usable, w)
			}
		}
		p.racks = byRack(p.usable)
		c.cycle.pools[key] = p
	}
	return p
}

// slotsFor counts the tasks of s that there may be room for.
func (c *Core) slotsFor(now Now, s *step) *slots {
	key := slotShape{s.pool(), s.spec.Charge(), s.spec.MaxPerWorker}
	sl := c.cycle.slots[key]
	if sl == nil {
		sl = &slots{byRack: map[string]int{}}
		for _, rack := range c.poolOf(now, s).racks {
			free, whole := 0, 0
			for _, w := range rack {
				free += timesFit(w.free(), key.need, key.most)
				whole += timesFit(w.Capacity, key.need, key.most)
			}
			sl.free += free
			sl.rackFree = max(sl.rackFree, free)
			sl.rackWhole = max(sl.rackWhole, whole)
			sl.byRack[rack[0].Rack] = free
		}
		c.cycle.slots[key] = sl
	}
	return sl
}

// scored is a worker with its score for a step.
type scored struct {
	worker *worker
	score  float64
}

// byScore returns the workers of a group, the best first.
func (s *step) byScore(group []*worker) []scored {
	order := make([]scored, len(group))
	for i, w := range group {
		order[i] = scored{w, s.score(w, job.Resources{})}
	}
	slices.SortStableFunc(order, func(a, b scored) int { return cmp.Compare(a.score, b.score) })
	return order
}
