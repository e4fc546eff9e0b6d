package core

import (
	"sort"

	"agatewinch/internal/core/cell"
)

// reservation keeps cells for the job at the head of the order until they are all
// free, as in EASY backfilling (Lifka, JSSPP 1995). Other jobs may use them meanwhile
// if they are expected to end in time, and only for a bounded time.
type reservation struct {
	job   *job
	parts []*claimPart
	since Instant
	// at is when all of the cells are expected to be free.
	at Instant
	// chosen is when the cells were chosen.
	chosen  Instant
	version uint64
	// aged is true when the job is the head because it has waited long.
	aged bool
}

// opening is a cell with the time at which it is expected to be free.
type opening struct {
	worker *worker
	cell   uint64
	at     Instant
}

// mayBackfill reports whether j may use cells that are kept for the head.
func (c *Core) mayBackfill(now Instant, j *job) bool {
	h := c.head
	if h == nil || h.job == j || !h.aged && c.precedes(j, h.job) {
		return true
	}
	if now.Sub(h.since) > headPatience || !j.stoppable() && now.Sub(h.since) > headPatience/2 {
		return false
	}
	return now.Add(c.estimate(j).upper) <= h.at
}

// serveHead tries the head's job first, and makes a job the head that has waited long.
func (c *Core) serveHead(now Instant) {
	c.serveOldest(now)
	if c.head == nil || c.head.version == c.changes.version {
		return
	}
	j := c.head.job
	if !c.head.aged && !c.isFirst(j) {
		return
	}
	unchanged := c.stillFails(c.head.version, j)
	c.head.version = c.changes.version
	if unchanged {
		return
	}
	if j.claim != nil || c.overQuota(j) != "" {
		return
	}
	if spots, ok := c.place(now, j); ok {
		c.take(now, j, spots)
		return
	}
	if now.Sub(c.head.chosen) < headInterval {
		return
	}
	aged := c.head.aged
	c.keepFor(now, j, c.head.since)
	if c.head != nil {
		c.head.aged = aged
	}
}

// isFirst reports whether no job that may fit comes before j.
func (c *Core) isFirst(j *job) bool {
	first := c.next()
	return first == nil || first == j || !c.precedes(first, j)
}

// serveOldest makes the job that arrived first the head once it has waited long; it
// then stays the head whatever the order.
func (c *Core) serveOldest(now Instant) {
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
		// The cells may be free already: they were kept for another job.
		c.head.version = 0
	}
}

// precedes reports whether a comes before b in order.
func (c *Core) precedes(a, b *job) bool {
	switch {
	case c.urgentNow(a) != c.urgentNow(b):
		return c.urgentNow(a)
	case a.org != b.org && c.callsGuarantee(a) != c.callsGuarantee(b):
		return c.callsGuarantee(a)
	case a.org != b.org:
		return c.share(a.org) < c.share(b.org)
	case a.caller != b.caller:
		return a.caller.usage.sum < b.caller.usage.sum
	default:
		return a.seq < b.seq
	}
}

// setHead keeps cells for j, unless they are kept for a job that comes before it.
func (c *Core) setHead(now Instant, j *job) {
	if c.head != nil && (c.head.job == j || c.head.aged || !c.precedes(j, c.head.job)) {
		return
	}
	if j.Shape.Accelerators() == 0 || j.claim != nil || c.overQuota(j) != "" {
		return
	}
	c.keepFor(now, j, now)
	if c.head != nil {
		c.emit(Note{Code: NoteReservationGiven, Job: j.ID, Org: j.Org})
		c.moveFor(now)
	}
}

// keepFor chooses the cells that are expected to be free first.
func (c *Core) keepFor(now Instant, j *job, since Instant) {
	c.clearHead()
	chosen := c.earliest(now, j)
	if chosen == nil {
		return
	}
	h := &reservation{job: j, since: since, at: now, version: c.changes.version, chosen: now}
	for _, o := range chosen {
		h.parts = append(h.parts, &claimPart{worker: o.worker, cell: o.cell, shape: j.Shape})
		h.at = max(h.at, o.at)
		o.worker.reserved |= o.cell
	}
	c.head = h
}

func (c *Core) clearHead() {
	if c.head == nil {
		return
	}
	for _, p := range c.head.parts {
		p.worker.reserved = 0
		c.freedOn(p.worker)
	}
	c.head = nil
}

func (c *Core) dropHead(j *job) {
	if c.head != nil && c.head.job == j {
		c.clearHead()
	}
}

// earliest returns the openings for all tasks of j, the first to be free; nil when
// there are not enough.
func (c *Core) earliest(now Instant, j *job) []opening {
	need, per := c.missingParts(j), c.partsPerCell(j.Shape)
	if per > 1 {
		return c.earliestRacks(now, j, need, per)
	}
	return pick(c.openings(now, j, c.accelerated), need)
}

// pick takes the first n openings that do not overlap, with a slot for each.
func pick(all []opening, n int) []opening {
	sort.SliceStable(all, func(a, b int) bool { return all[a].at < all[b].at })
	taken := map[*worker]int{}
	var chosen []opening
	for _, o := range all {
		if len(chosen) == n {
			break
		}
		if taken[o.worker] < o.worker.def.Slots {
			taken[o.worker]++
			chosen = append(chosen, o)
		}
	}
	if len(chosen) < n {
		return nil
	}
	return chosen
}

// openings lists the aligned cells that j may ever take on these workers.
func (c *Core) openings(now Instant, j *job, workers []*worker) []opening {
	size := c.partSize(j.Shape)
	var all []opening
	for _, w := range workers {
		if !w.usable() || j.Shape.CPU > w.def.CPU || j.Shape.MemoryBytes > w.def.MemoryBytes {
			continue
		}
		may := w.all() &^ w.claimed
		if !j.stoppable() {
			may &^= w.reclaimable(j.org)
		}
		for off := 0; off+size <= w.width(); off += cell.Block(size) {
			m := cell.Mask(off, size)
			if may&m == m {
				all = append(all, opening{w, m, c.opensAt(now, w, m)})
			}
		}
	}
	return all
}

func (c *Core) opensAt(now Instant, w *worker, m uint64) Instant {
	at := now
	for _, t := range w.held {
		if uint64(t.Cell)&m != 0 {
			at = max(at, c.endsBy(now, t.job))
		}
	}
	return at
}

func (c *Core) earliestRacks(now Instant, j *job, need, per int) []opening {
	left := map[*rack][]opening{}
	for _, r := range c.racks {
		all := c.openings(now, j, r.workers)
		sort.SliceStable(all, func(a, b int) bool { return all[a].at < all[b].at })
		left[r] = all
	}
	var chosen []opening
	for len(chosen) < need {
		n := nextInRack(need-len(chosen), per)
		var best *rack
		for _, r := range c.racks {
			if len(left[r]) >= n && (best == nil || left[r][n-1].at < left[best][n-1].at) {
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
