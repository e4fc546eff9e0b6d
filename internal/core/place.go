package core

import (
	"math/bits"

	"agatewinch/internal/core/cell"
)

// tier is how good a cell is for a job. A tier includes the ones before it.
type tier int

const (
	// tierOwn is the organisation's own guaranteed cells.
	tierOwn tier = iota
	// tierUnbound adds the cells that nobody may reclaim.
	tierUnbound
	// tierBorrowed adds the cells that other organisations may reclaim.
	tierBorrowed
	tierCount
)

const (
	// levels is the number of counts of free accelerators that the score tells apart.
	levels = 9
	// noLimit lets a task break into any worker.
	noLimit = cell.MaxWidth + 1
)

// parts returns the number of tasks of a job of shape s: one for each cell, or one
// for each whole worker of a cell that is larger than a worker.
func (c *Core) parts(s Shape) int { return s.Cells * c.partsPerCell(s) }

func (c *Core) partsPerCell(s Shape) int {
	if s.CellSize <= c.width || c.width == 0 {
		return 1
	}
	return (s.CellSize + c.width - 1) / c.width
}

// partSize is the number of accelerators of one task.
func (c *Core) partSize(s Shape) int { return min(s.CellSize, c.width) }

// missingParts is the number of tasks that still have to run.
func (c *Core) missingParts(j *job) int {
	n := c.parts(j.Shape)
	for _, t := range j.tasks {
		if t.state == taskDone {
			n--
		}
	}
	return n
}

// place chooses cells for all tasks of j that still have to run. It filters the workers by
// what they have free, scores the rest by how full they are, and returns false when the tasks
// do not all fit.
func (c *Core) place(now Instant, j *job) ([]spot, bool) {
	if c.opts.Policy == PolicyFIFO {
		return c.placeFirstFit(j)
	}
	p := placing{core: c, job: j, size: c.partSize(j.Shape), need: c.missingParts(j), backfill: c.mayBackfill(now, j)}
	defer p.restore()
	if spots, ok := p.choose(); ok || len(j.failedOn) == 0 {
		return spots, ok
	}
	p.restore()
	p.spots, p.touched, p.need, p.anywhere = nil, nil, c.missingParts(j), true
	return p.choose()
}

// choose tries the tiers in order.
func (p *placing) choose() ([]spot, bool) {
	if p.core.partsPerCell(p.job.Shape) > 1 {
		return p.wholeRacks()
	}
	if p.size > 0 && p.size < p.core.width {
		p.limit = p.core.width
		if p.fillTiers() {
			return p.spots, true
		}
	}
	p.limit = noLimit
	return p.spots, p.fillTiers()
}

// fillTiers takes cells tier by tier.
func (p *placing) fillTiers() bool {
	for t := tierOwn; t < tierCount; t++ {
		if t == tierBorrowed && !p.job.stoppable() && p.core.mutation != mutationNoProtection {
			return false
		}
		if p.fill(t) {
			return true
		}
	}
	return false
}

// placing is one attempt to place a job. Chosen cells are counted on their workers
// until restore.
type placing struct {
	core     *Core
	job      *job
	size     int
	need     int
	backfill bool
	// anywhere allows the workers on which the job failed before.
	anywhere bool
	// limit is the number of free accelerators from which on a worker is not broken into.
	limit   int
	spots   []spot
	touched []*worker
	buckets [levels][]*worker
}

// restore takes back what was counted on the workers.
func (p *placing) restore() {
	for _, w := range p.touched {
		w.refresh()
	}
}

// mask returns the accelerators of w that the job may take in tier t.
func (p *placing) mask(w *worker, t tier) uint64 {
	free := w.free()
	if !p.backfill {
		free &^= w.reserved
	}
	switch t {
	case tierOwn:
		return free & p.job.org.bound[w.def.ID]
	case tierUnbound:
		return free &^ w.reclaimable(p.job.org)
	default:
		return free
	}
}

// best returns the best cell on w in tier t, and how many accelerators of w are free.
// Full workers come first, so that the others drain and become whole again.
func (p *placing) best(w *worker, t tier) (uint64, int, bool) {
	if !w.ready || !w.room(p.job.Shape) || !p.anywhere && p.job.hasFailedOn(w.def.ID) {
		return 0, 0, false
	}
	if p.size == 0 {
		return p.bestWithout(w, t)
	}
	m, _, ok := cell.BestFit(p.mask(w, t), w.width(), p.size)
	if !ok || !p.allowed(w, m) {
		return 0, 0, false
	}
	left := cell.Count(w.free())
	return m, min(left, levels-1), left < p.limit
}

// bestWithout ranks a worker for a task without accelerators: one with few of them
// free comes first.
func (p *placing) bestWithout(w *worker, t tier) (uint64, int, bool) {
	if t == tierOwn || !p.allowed(w, 0) {
		return 0, 0, false
	}
	return 0, min(bits.Len(uint(cell.Count(w.free()))), levels-1), true
}

func (p *placing) allowed(w *worker, m uint64) bool {
	return p.job.stoppable() || p.core.mutation == mutationNoProtection || w.protects(p.job.org, p.job.Shape, m)
}

// fill takes cells of tier t, from the fullest workers first.
func (p *placing) fill(t tier) bool {
	for i := range p.buckets {
		p.buckets[i] = p.buckets[i][:0]
	}
	for _, w := range p.workers(t) {
		if _, level, ok := p.best(w, t); ok {
			p.buckets[level] = append(p.buckets[level], w)
			if p.need == 1 && level <= p.size {
				break
			}
		}
	}
	for _, bucket := range p.buckets {
		for _, w := range bucket {
			if p.takeFrom(w, t) {
				return true
			}
		}
	}
	return p.need == 0
}

// workers returns the workers to look at for tier t.
func (p *placing) workers(t tier) []*worker {
	switch {
	case t == tierOwn:
		return p.job.org.boundWorkers
	case p.size > 0:
		return p.core.accelerated
	default:
		return p.core.live
	}
}

// takeFrom takes as many cells as w has, and reports whether that completes the job.
func (p *placing) takeFrom(w *worker, t tier) bool {
	for p.need > 0 {
		m, _, ok := p.best(w, t)
		if !ok {
			return false
		}
		p.take(w, m)
	}
	return true
}

func (p *placing) take(w *worker, m uint64) {
	p.spots = append(p.spots, spot{w, m})
	p.touched = append(p.touched, w)
	p.need--
	w.used |= m
	w.cpu += p.job.Shape.CPU
	w.memory += p.job.Shape.MemoryBytes
	w.slots++
	if !p.job.stoppable() {
		w.hard.add(w.excess(p.job.org, p.job.Shape, m))
	}
}

// wholeRacks takes cells that are larger than a worker: whole workers of one rack for
// each cell, from the rack with the fewest that still has enough.
func (p *placing) wholeRacks() ([]spot, bool) {
	per := p.core.partsPerCell(p.job.Shape)
	p.limit = noLimit
	for p.need > 0 {
		workers := p.bestRack(nextInRack(p.need, per))
		if workers == nil {
			return nil, false
		}
		for _, w := range workers {
			p.take(w, w.all())
		}
	}
	return p.spots, true
}

// nextInRack is how many of need whole workers are taken from one rack next, for cells
// of per workers. The odd ones, left when parts of a preempted job had ended, come first.
func nextInRack(need, per int) int {
	if odd := need % per; odd != 0 {
		return odd
	}
	return per
}

func (p *placing) bestRack(per int) []*worker {
	t := tierUnbound
	if p.job.stoppable() {
		t = tierBorrowed
	}
	var best []*worker
	for _, r := range p.core.racks {
		var whole []*worker
		for _, w := range r.workers {
			if w.width() != p.core.width || !w.usable() {
				continue
			}
			if m, _, ok := p.best(w, t); ok && m == w.all() {
				whole = append(whole, w)
			}
		}
		if len(whole) >= per && (best == nil || len(whole) < len(best)) {
			best = whole
		}
	}
	if best == nil {
		return nil
	}
	return best[:per]
}

// placeFirstFit is the baseline's placement: the first free cells in worker order.
func (c *Core) placeFirstFit(j *job) ([]spot, bool) {
	p := placing{core: c, job: j, size: c.partSize(j.Shape), need: c.missingParts(j), anywhere: true}
	defer p.restore()
	if c.partsPerCell(j.Shape) > 1 {
		return p.wholeRacks()
	}
	for _, w := range c.ordered {
		for p.need > 0 && w.usable() && w.room(j.Shape) {
			m, ok := cell.FirstFit(w.free(), w.width(), p.size)
			if !ok || !p.allowed(w, m) {
				break
			}
			p.take(w, m)
		}
	}
	return p.spots, p.need == 0
}
