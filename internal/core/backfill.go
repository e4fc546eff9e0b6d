package core

import (
	"sort"

	"agatewinch/internal/core/cell"
)

// headReservation reserves cells for the head job, the first one in scheduling order that does
// not fit, until they are all free, as in EASY backfilling (Lifka, JSSPP 1995). Other jobs may
// backfill them if they are expected to end in time, and only for a bounded time.
type headReservation struct {
	job       *job
	parts     []*claimPart
	headSince Instant
	// expectedFreeAt is when all of the cells are expected to be free.
	expectedFreeAt Instant
	// chosenAt is when the cells were chosen.
	chosenAt Instant
	// triedVersion is the version of the capacity log when placing the job was last tried.
	triedVersion uint64
	// aged is true when the job is the head because it has waited longer than ageLimit.
	aged bool
}

// futureCell is a cell with the time at which it is expected to be free.
type futureCell struct {
	worker *worker
	cell   uint64
	freeAt Instant
}

// mayBackfill reports whether j may use cells that are reserved for the head job: it comes
// before a head that is not aged, or is expected to end before the cells are all free. The
// latter no longer counts once the head job has been the head for maxHeadBackfill, or for half
// of that if j cannot be preempted.
func (c *Core) mayBackfill(now Instant, j *job) bool {
	h := c.head
	if h == nil || h.job == j || !h.aged && c.precedes(j, h.job) {
		return true
	}
	if now.Sub(h.headSince) > maxHeadBackfill || !j.preemptible() && now.Sub(h.headSince) > maxHeadBackfill/2 {
		return false
	}
	return now.Add(c.estimate(j).upper) <= h.expectedFreeAt
}

// scheduleHead makes the oldest job the head once it has waited longer than ageLimit, then tries
// to place the head job before all others.
func (c *Core) scheduleHead(now Instant) {
	c.promoteOldest(now)
	if c.head == nil || c.head.triedVersion == c.capacityLog.version {
		return
	}
	j := c.head.job
	if !c.head.aged && !c.isFirst(j) {
		return
	}
	unchanged := c.stillDoesNotFit(c.head.triedVersion, j)
	c.head.triedVersion = c.capacityLog.version
	if unchanged {
		return
	}
	if j.claim != nil || c.quotaViolation(j) != "" {
		return
	}
	if assignments, ok := c.place(now, j); ok {
		c.assignCells(now, j, assignments)
		return
	}
	if now.Sub(c.head.chosenAt) < headReselectInterval {
		return
	}
	aged := c.head.aged
	c.reserveEarliest(now, j, c.head.headSince)
	if c.head != nil {
		c.head.aged = aged
	}
}

// isFirst reports whether no waiting job that may fit comes before j.
func (c *Core) isFirst(j *job) bool {
	first := c.nextJob()
	return first == nil || first == j || !c.precedes(first, j)
}

// promoteOldest makes the job that arrived first the head once it has waited longer than
// ageLimit; it then stays the head whatever the order.
func (c *Core) promoteOldest(now Instant) {
	if c.head != nil && c.head.aged {
		return
	}
	e := c.queue.arrivals.first()
	if e == nil || now.Sub(e.job.arrived) <= ageLimit {
		return
	}
	if c.head != nil && c.head.job != e.job {
		c.clearHead()
	}
	c.setHead(now, e.job)
	if c.head != nil {
		c.head.aged = true
		// The cells may be free already: they may have been reserved for another job.
		c.head.triedVersion = 0
	}
}

// precedes reports whether a comes before b in scheduling order.
func (c *Core) precedes(a, b *job) bool {
	switch {
	case c.countsAsUrgent(a) != c.countsAsUrgent(b):
		return c.countsAsUrgent(a)
	case a.org != b.org && c.withinGuarantee(a) != c.withinGuarantee(b):
		return c.withinGuarantee(a)
	case a.org != b.org:
		return c.share(a.org) < c.share(b.org)
	case a.caller != b.caller:
		return a.caller.usage.sum < b.caller.usage.sum
	default:
		return a.seq < b.seq
	}
}

// setHead makes j the head and reserves cells for it, unless the current head is aged or
// comes before it. A job that needs no accelerators, has a claim or would exceed its
// organisation's quota does not become the head.
func (c *Core) setHead(now Instant, j *job) {
	if c.head != nil && (c.head.job == j || c.head.aged || !c.precedes(j, c.head.job)) {
		return
	}
	if j.Shape.Accelerators() == 0 || j.claim != nil || c.quotaViolation(j) != "" {
		return
	}
	c.reserveEarliest(now, j, now)
	if c.head != nil {
		c.emit(Note{Code: NoteHeadReservation, Job: j.ID, Org: j.Org})
		c.moveJobsFor(now)
	}
}

// reserveEarliest makes j the head and reserves the cells that are expected to be free first
// for it. When there are not enough cells for j, there is no head.
func (c *Core) reserveEarliest(now Instant, j *job, since Instant) {
	c.clearHead()
	chosen := c.earliestCells(now, j)
	if chosen == nil {
		return
	}
	h := &headReservation{job: j, headSince: since, expectedFreeAt: now, triedVersion: c.capacityLog.version, chosenAt: now}
	for _, f := range chosen {
		h.parts = append(h.parts, &claimPart{worker: f.worker, cell: f.cell, shape: j.Shape})
		h.expectedFreeAt = max(h.expectedFreeAt, f.freeAt)
		f.worker.reserved |= f.cell
	}
	c.head = h
}

func (c *Core) clearHead() {
	if c.head == nil {
		return
	}
	for _, p := range c.head.parts {
		p.worker.reserved = 0
		c.recordFreedOn(p.worker)
	}
	c.head = nil
}

func (c *Core) dropHead(j *job) {
	if c.head != nil && c.head.job == j {
		c.clearHead()
	}
}

// earliestCells returns one cell for each task of j, those that are expected to be free
// first; nil when there are not enough.
func (c *Core) earliestCells(now Instant, j *job) []futureCell {
	need, per := c.unfinishedTasks(j), c.tasksPerCell(j.Shape)
	if per > 1 {
		return c.earliestInRacks(now, j, need, per)
	}
	return pickEarliest(c.futureCells(now, j, c.acceleratorWorkers), need)
}

// pickEarliest returns the n of these disjoint cells that are free first, at most as many on
// a worker as it has slots; nil when there are fewer than n.
func pickEarliest(all []futureCell, n int) []futureCell {
	sort.SliceStable(all, func(a, b int) bool { return all[a].freeAt < all[b].freeAt })
	taken := map[*worker]int{}
	var chosen []futureCell
	for _, f := range all {
		if len(chosen) == n {
			break
		}
		if taken[f.worker] < f.worker.def.Slots {
			taken[f.worker]++
			chosen = append(chosen, f)
		}
	}
	if len(chosen) < n {
		return nil
	}
	return chosen
}

// futureCells lists the aligned cells on these workers that j may take once they are free.
func (c *Core) futureCells(now Instant, j *job, workers []*worker) []futureCell {
	size := c.taskSize(j.Shape)
	var all []futureCell
	for _, w := range workers {
		if !w.usable() || j.Shape.CPU > w.def.CPU || j.Shape.MemoryBytes > w.def.MemoryBytes {
			continue
		}
		available := w.all() &^ w.claimed
		if !j.preemptible() {
			available &^= w.reclaimable(j.org)
		}
		for off := 0; off+size <= w.width(); off += cell.Block(size) {
			m := cell.Mask(off, size)
			if available&m == m {
				all = append(all, futureCell{w, m, c.expectedFreeAt(now, w, m)})
			}
		}
	}
	return all
}

func (c *Core) expectedFreeAt(now Instant, w *worker, m uint64) Instant {
	at := now
	for _, t := range w.held {
		if uint64(t.Cell)&m != 0 {
			at = max(at, c.expectedEnd(now, t.job))
		}
	}
	return at
}

func (c *Core) earliestInRacks(now Instant, j *job, need, per int) []futureCell {
	left := map[*rack][]futureCell{}
	for _, r := range c.racks {
		all := c.futureCells(now, j, r.workers)
		sort.SliceStable(all, func(a, b int) bool { return all[a].freeAt < all[b].freeAt })
		left[r] = all
	}
	var chosen []futureCell
	for len(chosen) < need {
		n := workersFromRack(need-len(chosen), per)
		var best *rack
		for _, r := range c.racks {
			if len(left[r]) >= n && (best == nil || left[r][n-1].freeAt < left[best][n-1].freeAt) {
				best = r
			}
		}
		if best == nil {
			return nil
		}
		chosen = append(chosen, left[best][:n]...)
		left[best] = left[best][n:]
	}
	return chosen
}
