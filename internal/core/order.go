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
// first, then by the organisations' shares, the callers' and arrival.
func (c *Core) next() *job {
	for l := laneUrgent; l < laneCount; l++ {
		var best *group
		var bestShare float64
		for _, o := range c.orgOrder {
			if o.lanes[l].n == 0 {
				continue
			}
			g := c.firstGroup(&o.lanes[l])
			if g == nil {
				continue
			}
			if s := c.share(o); best == nil || s < bestShare {
				best, bestShare = g, s
			}
		}
		if best != nil {
			return best.callers[0].jobs.first().job
		}
	}
	return nil
}

// firstGroup returns the group whose first caller is the least served, of those that may fit.
func (c *Core) firstGroup(l *lane) *group {
	var best *group
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
	if c.opts.Policy == PolicyGuaranteed && !c.reclaim(now, j) {
		c.setHead(now, j)
	}
	return false
}

// take moves the job from the queue to its cells.
func (c *Core) take(now Instant, j *job, spots []spot) {
	c.leaveQueue(now, j)
	c.dropHead(j)
	c.begin(now, j, spots)
}
