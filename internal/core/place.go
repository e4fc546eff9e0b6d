package core

import (
	"math/bits"

	"agatewinch/internal/core/cell"
)

// tier ranks cells by preference for a job. A tier includes the ones before it.
type tier int

const (
	// tierOwn holds the organisation's own guaranteed cells.
	tierOwn tier = iota
	// tierUnbound adds the cells that no other organisation may reclaim.
	tierUnbound
	// tierBorrowed adds the cells that other organisations may reclaim.
	tierBorrowed
	tierCount
)

const (
	// fillLevels is the number of buckets by which workers are ranked, one for each count
	// of free accelerators; larger counts share the last bucket.
	fillLevels = 9
	// noFreeLimit admits workers with any number of free accelerators.
	noFreeLimit = cell.MaxWidth + 1
)

// taskCount returns the number of tasks of a job of shape s: one for each cell, or, for
// cells larger than a worker, one for each whole worker of each cell.
func (c *Core) taskCount(s Shape) int { return s.Cells * c.tasksPerCell(s) }

func (c *Core) tasksPerCell(s Shape) int {
	if s.CellSize <= c.maxWidth || c.maxWidth == 0 {
		return 1
	}
	return (s.CellSize + c.maxWidth - 1) / c.maxWidth
}

// taskSize returns the number of accelerators of one task.
func (c *Core) taskSize(s Shape) int { return min(s.CellSize, c.maxWidth) }

// unfinishedTasks returns the number of tasks of j that still have to run.
func (c *Core) unfinishedTasks(j *job) int {
	n := c.taskCount(j.Shape)
	for _, t := range j.tasks {
		if t.state == taskDone {
			n--
		}
	}
	return n
}

// place chooses cells for all tasks of j that still have to run. It filters the workers by
// their free resources, scores the rest by how full they are, and returns false when the
// tasks do not all fit. Workers on which the job failed before are used only when it does
// not fit without them.
func (c *Core) place(now Instant, j *job) ([]assignment, bool) {
	if c.opts.Policy == PolicyFIFO {
		return c.placeFirstFit(j)
	}
	p := placementSearch{core: c, job: j, size: c.taskSize(j.Shape), remaining: c.unfinishedTasks(j), backfill: c.mayBackfill(now, j)}
	defer p.rollBack()
	if assignments, ok := p.search(); ok || len(j.failedOn) == 0 {
		return assignments, ok
	}
	p.rollBack()
	p.assignments, p.touched, p.remaining, p.allowFailedWorkers = nil, nil, c.unfinishedTasks(j), true
	return p.search()
}

// search looks for cells for all tasks. Tasks smaller than the widest worker go to workers
// with fewer free accelerators than the widest worker has, if they all fit there, so that
// wholly free workers stay free.
func (p *placementSearch) search() ([]assignment, bool) {
	if p.core.tasksPerCell(p.job.Shape) > 1 {
		return p.searchRacks()
	}
	if p.size > 0 && p.size < p.core.maxWidth {
		p.freeLimit = p.core.maxWidth
		if p.searchTiers() {
			return p.assignments, true
		}
	}
	p.freeLimit = noFreeLimit
	return p.assignments, p.searchTiers()
}

// searchTiers assigns cells tier by tier. Jobs that cannot be preempted get no borrowed cells.
func (p *placementSearch) searchTiers() bool {
	for t := tierOwn; t < tierCount; t++ {
		if t == tierBorrowed && !p.job.preemptible() && p.core.mutation != mutationNoProtection {
			return false
		}
		if p.searchTier(t) {
			return true
		}
	}
	return false
}

// placementSearch is the search for the cells of one job. Chosen cells count as used on their
// workers until rollBack.
type placementSearch struct {
	core *Core
	job  *job
	// size is the number of accelerators of a task.
	size int
	// remaining counts the tasks that have no cell yet.
	remaining int
	// backfill admits cells that are reserved for the head job.
	backfill bool
	// allowFailedWorkers admits the workers on which the job failed before.
	allowFailedWorkers bool
	// freeLimit excludes the workers with this many free accelerators or more.
	freeLimit   int
	assignments []assignment
	touched     []*worker
	buckets     [fillLevels][]*worker
}

// rollBack recomputes the resources of the workers without the cells chosen by the search.
func (p *placementSearch) rollBack() {
	for _, w := range p.touched {
		w.refresh()
	}
}

// available returns the free accelerators of w that the job may take in tier t.
func (p *placementSearch) available(w *worker, t tier) uint64 {
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

// bestCell returns the best cell on w in tier t and the worker's bucket, which is its number of
// free accelerators, capped at the last bucket. The fullest workers come first, so that the
// others become wholly free again.
func (p *placementSearch) bestCell(w *worker, t tier) (uint64, int, bool) {
	if !w.ready || !w.fits(p.job.Shape) || !p.allowFailedWorkers && p.job.hasFailedOn(w.def.ID) {
		return 0, 0, false
	}
	if p.size == 0 {
		return p.rankWithoutAccelerators(w, t)
	}
	m, _, ok := cell.BestFit(p.available(w, t), w.width(), p.size)
	if !ok || !p.allowed(w, m) {
		return 0, 0, false
	}
	left := cell.Count(w.free())
	return m, min(left, fillLevels-1), left < p.freeLimit
}

// rankWithoutAccelerators ranks a worker for a task that uses no accelerators: workers with
// few free accelerators come first. The bucket is the bit length of their number.
func (p *placementSearch) rankWithoutAccelerators(w *worker, t tier) (uint64, int, bool) {
	if t == tierOwn || !p.allowed(w, 0) {
		return 0, 0, false
	}
	return 0, min(bits.Len(uint(cell.Count(w.free()))), fillLevels-1), true
}

// allowed reports whether a task of the job on m leaves every organisation its guaranteed
// share of w. Preemptible jobs always do: they can be evicted.
func (p *placementSearch) allowed(w *worker, m uint64) bool {
	return p.job.preemptible() || p.core.mutation == mutationNoProtection || w.leavesGuaranteedShares(p.job.org, p.job.Shape, m)
}

// searchTier assigns cells of tier t, from the fullest workers first, and reports whether
// that completes the job.
func (p *placementSearch) searchTier(t tier) bool {
	for i := range p.buckets {
		p.buckets[i] = p.buckets[i][:0]
	}
	for _, w := range p.candidates(t) {
		if _, level, ok := p.bestCell(w, t); ok {
			p.buckets[level] = append(p.buckets[level], w)
			if p.remaining == 1 && level <= p.size {
				// No other worker that can hold the task is in a lower bucket.
				break
			}
		}
	}
	for _, bucket := range p.buckets {
		for _, w := range bucket {
			if p.assignOn(w, t) {
				return true
			}
		}
	}
	return p.remaining == 0
}

// candidates returns the workers that may have cells of tier t.
func (p *placementSearch) candidates(t tier) []*worker {
	switch {
	case t == tierOwn:
		return p.job.org.boundWorkers
	case p.size > 0:
		return p.core.acceleratorWorkers
	default:
		return p.core.usableWorkers
	}
}

// assignOn assigns as many tasks to w as fit, and reports whether that completes the job.
func (p *placementSearch) assignOn(w *worker, t tier) bool {
	for p.remaining > 0 {
		m, _, ok := p.bestCell(w, t)
		if !ok {
			return false
		}
		p.assign(w, m)
	}
	return true
}

func (p *placementSearch) assign(w *worker, m uint64) {
	p.assignments = append(p.assignments, assignment{w, m})
	p.touched = append(p.touched, w)
	p.remaining--
	w.used |= m
	w.cpu += p.job.Shape.CPU
	w.memory += p.job.Shape.MemoryBytes
	w.slots++
	if !p.job.preemptible() {
		w.nonPreemptibleExcess.add(w.excessOverShare(p.job.org, p.job.Shape, m))
	}
}

// searchRacks places cells that are larger than a worker: each takes whole workers of one
// rack, from the rack with the fewest free ones that still has enough.
func (p *placementSearch) searchRacks() ([]assignment, bool) {
	per := p.core.tasksPerCell(p.job.Shape)
	p.freeLimit = noFreeLimit
	for p.remaining > 0 {
		workers := p.bestRack(workersFromRack(p.remaining, per))
		if workers == nil {
			return nil, false
		}
		for _, w := range workers {
			p.assign(w, w.all())
		}
	}
	return p.assignments, true
}

// workersFromRack returns how many of need whole workers are taken from the next rack, for
// cells of per workers. The remainder of an incomplete cell, left when some tasks of a
// preempted job had ended, comes first.
func workersFromRack(need, per int) int {
	if remainder := need % per; remainder != 0 {
		return remainder
	}
	return per
}

func (p *placementSearch) bestRack(per int) []*worker {
	t := tierUnbound
	if p.job.preemptible() {
		t = tierBorrowed
	}
	var best []*worker
	for _, r := range p.core.racks {
		var whole []*worker
		for _, w := range r.workers {
			if w.width() != p.core.maxWidth || !w.usable() {
				continue
			}
			if m, _, ok := p.bestCell(w, t); ok && m == w.all() {
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

// placeFirstFit chooses cells under PolicyFIFO, the baseline: the first free ones in order of
// worker IDs.
func (c *Core) placeFirstFit(j *job) ([]assignment, bool) {
	p := placementSearch{core: c, job: j, size: c.taskSize(j.Shape), remaining: c.unfinishedTasks(j), allowFailedWorkers: true}
	defer p.rollBack()
	if c.tasksPerCell(j.Shape) > 1 {
		return p.searchRacks()
	}
	for _, w := range c.ordered {
		for p.remaining > 0 && w.usable() && w.fits(j.Shape) {
			m, ok := cell.FirstFit(w.free(), w.width(), p.size)
			if !ok || !p.allowed(w, m) {
				break
			}
			p.assign(w, m)
		}
	}
	return p.assignments, p.remaining == 0
}
