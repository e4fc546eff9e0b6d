package core

import "agatewinch/internal/core/cell"

// moveJobsFor clears the head's cells by moving the smaller jobs that are on them, when all
// of those keep their progress, fit elsewhere, and lose less work than the head gains.
func (c *Core) moveJobsFor(now Instant) {
	h := c.head
	gain := h.expectedFreeAt.Sub(now).Seconds() * float64(h.job.Shape.Accelerators())
	victims, ok := c.jobsToMove(h)
	if !ok || len(victims) == 0 {
		return
	}
	loss := 0.0
	for _, v := range victims {
		loss += c.lostWork(now, v)
	}
	if loss >= gain || !c.fitElsewhere(victims, h) {
		return
	}
	j := h.job
	chosen := make([]candidate, len(h.parts))
	for i, p := range h.parts {
		chosen[i] = candidate{part: p}
	}
	chosen[0].victims = victims
	c.clearHead()
	c.makeClaim(now, j, chosen, NoteMoved)
}

// jobsToMove returns the jobs on the head's cells; false when one of them cannot move, or
// when moving them does not free enough processor cores, memory or slots.
func (c *Core) jobsToMove(h *headReservation) ([]*job, bool) {
	seen := map[*job]bool{}
	var victims []*job
	for _, p := range h.parts {
		for _, t := range p.worker.held {
			if uint64(t.Cell)&p.cell == 0 || seen[t.job] {
				continue
			}
			v := t.job
			if t.state != taskRunning || t.detached || !v.class.Checkpoint || !v.evictable() || len(v.tasks) > 1 {
				return nil, false
			}
			if v.taskWithinGuarantee(p.worker, t) || v.Shape.CellSize >= c.taskSize(h.job.Shape) {
				return nil, false
			}
			seen[v] = true
			victims = append(victims, v)
		}
		if !p.fits(seen) {
			return nil, false
		}
	}
	return victims, true
}

// fits reports whether the part has processor cores, memory and a slot once the moved jobs are
// gone.
func (p *claimPart) fits(moved map[*job]bool) bool {
	w := p.worker
	sum := workerResources{w.claimedCPU + p.shape.CPU, w.claimedMemory + p.shape.MemoryBytes, w.claimedSlots + 1}
	for _, t := range w.held {
		if !moved[t.job] {
			sum.add(workerResources{t.shape.CPU, t.shape.MemoryBytes, 1})
		}
	}
	return sum.cpu <= w.def.CPU && sum.memory <= w.def.MemoryBytes && sum.slots <= w.def.Slots
}

// fitElsewhere reports whether the jobs all fit at the same time on cells that are not reserved
// for the head.
func (c *Core) fitElsewhere(victims []*job, h *headReservation) bool {
	var touched []*worker
	defer func() {
		for _, w := range touched {
			w.refresh()
		}
	}()
	for _, v := range victims {
		p := placementSearch{core: c, job: v, size: c.taskSize(v.Shape), remaining: 1}
		fit := false
		for _, w := range c.ordered {
			m := p.available(w, tierUnbound)
			if !w.usable() || !w.fits(v.Shape) {
				continue
			}
			if cells, _, ok := cell.BestFit(m, w.width(), p.size); ok {
				p.assign(w, cells)
				touched = append(touched, w)
				fit = true
				break
			}
		}
		if !fit {
			return false
		}
	}
	return true
}
