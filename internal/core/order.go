package core

// schedule is the cycle of a step: it takes the waiting jobs in order and places what
// fits, up to a bounded number of attempts. Shapes that did not fit since capacity
// was last freed are passed over.
func (c *Core) schedule(now Instant) {
	if c.opts.Policy == PolicyFIFO {
		c.scheduleFIFO(now)
		return
	}
	c.completeClaims(now)
	c.serveHead(now)
	for range attemptsPerStep {
		j := c.next()
		if j == nil {
			return
		}
		c.tryPlace(now, j)
	}
}

// scheduleFIFO places jobs in order of arrival and stops at the first that does not fit.
func (c *Core) scheduleFIFO(now Instant) {
	for {
		e := c.queue.arrivals.first()
		if e == nil || c.passedOver(e.queue.group) {
			return
		}
		if !c.tryPlace(now, e.job) {
			return
		}
	}
}

// next returns the waiting job that comes first in order and may fit: urgent ones
// within their quota first, then by the organisations' shares, the callers' and arrival.
func (c *Core) next() *job {
	if j := c.nextOf(c.firstUrgent); j != nil {
		return j
	}
	return c.nextOf(c.firstOfAny)
}

// nextOf returns the first job of the organisation with the least share among those
// for which first has one. Jobs that their organisation's guarantee covers come first:
// otherwise borrowers would take the cells and be stopped again.
func (c *Core) nextOf(first func(*org) *job) *job {
	var best *job
	var bestShare float64
	var bestOwned bool
	for _, o := range c.orgOrder {
		if o.lanes[laneUrgent].n == 0 && o.lanes[laneNormal].n == 0 {
			continue
		}
		j := first(o)
		if j == nil {
			continue
		}
		s, owned := c.share(o), c.callsGuarantee(j)
		if best == nil || owned && !bestOwned || owned == bestOwned && s < bestShare {
			best, bestShare, bestOwned = j, s, owned
		}
	}
	return best
}

// callsGuarantee reports whether the job's accelerators are within what its
// organisation is guaranteed here and does not use yet.
func (c *Core) callsGuarantee(j *job) bool {
	n := j.Shape.Accelerators()
	return n > 0 && j.org.running.accelerators+n <= j.org.promised(c.opts.Zone)
}

// firstUrgent returns the organisation's first urgent job, if its urgent quota allows it.
func (c *Core) firstUrgent(o *org) *job {
	if o.lanes[laneUrgent].n == 0 {
		return nil
	}
	g := c.firstGroup(&o.lanes[laneUrgent], nil)
	if g == nil || !c.urgentNow(g.first()) {
		return nil
	}
	return g.first()
}

// firstOfAny returns the organisation's first job of either lane.
func (c *Core) firstOfAny(o *org) *job {
	g := c.firstGroup(&o.lanes[laneUrgent], nil)
	g = c.firstGroup(&o.lanes[laneNormal], g)
	if g == nil {
		return nil
	}
	return g.first()
}

// first returns the group's first job.
func (g *group) first() *job { return g.callers[0].jobs.first().job }

// firstGroup returns the group whose first caller is the least served, of those that may fit.
// It is best when none of them comes before best.
func (c *Core) firstGroup(l *lane, best *group) *group {
	for _, g := range l.list {
		if c.passedOver(g) {
			continue
		}
		if best == nil || (callerHeap{g.callers[0], best.callers[0]}).Less(0, 1) {
			best = g
		}
	}
	return best
}

// tryPlace places one job, or notes why it does not fit.
func (c *Core) tryPlace(now Instant, j *job) bool {
	if why := c.overQuota(j); why != "" {
		j.reason = why
		g := j.queued.queue.group
		g.failedAt, g.overQuota, g.quotaAt = c.changes.version, true, j.org.released
		return false
	}
	spots, ok := c.place(now, j)
	if ok {
		c.take(now, j, spots)
		return true
	}
	g := j.queued.queue.group
	g.failedAt, g.overQuota = c.changes.version, false
	if c.opts.Policy != PolicyGuaranteed {
		return false
	}
	if c.reclaim(now, j) || c.yieldTo(now, j) {
		// The next job of the shape may clear cells of its own at the same time.
		g.failedAt = 0
		return false
	}
	c.setHead(now, j)
	return false
}

// take moves the job from the queue to its cells.
func (c *Core) take(now Instant, j *job, spots []spot) {
	c.leaveQueue(now, j)
	c.dropHead(j)
	c.begin(now, j, spots)
}
