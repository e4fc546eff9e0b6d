package core

// schedule runs the scheduling cycle of a step: it considers the waiting jobs in order
// and places those that fit. It tries up to maxPlacementsPerStep jobs. Shapes that have not
// fitted since capacity was last freed are skipped. PolicyFIFO has a cycle of its own,
// without that bound.
func (c *Core) schedule(now Instant) {
	if c.opts.Policy == PolicyFIFO {
		c.scheduleFIFO(now)
		return
	}
	c.completeClaims(now)
	c.scheduleHead(now)
	for range maxPlacementsPerStep {
		j := c.nextJob()
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
		if e == nil || c.knownNotToFit(e.queue.group) {
			return
		}
		if !c.tryPlace(now, e.job) {
			return
		}
	}
}

// nextJob returns the first waiting job in scheduling order that may fit. Urgent jobs within
// their quota come first, then jobs within the guarantee of their organisation. Beyond that the
// order is by the share of the organisation, the usage of the caller and the arrival.
func (c *Core) nextJob() *job {
	if j := c.nextAmong(c.firstUrgent); j != nil {
		return j
	}
	return c.nextAmong(c.firstOfAny)
}

// nextAmong returns the first job of the organisation with the least share, among those
// for which first returns a job. Jobs within the guarantee of their organisation take
// precedence: otherwise borrowers would be placed on the guaranteed cells and then evicted.
func (c *Core) nextAmong(first func(*org) *job) *job {
	var best *job
	var bestShare float64
	var bestGuaranteed bool
	for _, o := range c.orgOrder {
		if o.lanes[laneUrgent].waiting == 0 && o.lanes[laneNormal].waiting == 0 {
			continue
		}
		j := first(o)
		if j == nil {
			continue
		}
		s, guaranteed := c.share(o), c.withinGuarantee(j)
		if best == nil || guaranteed && !bestGuaranteed || guaranteed == bestGuaranteed && s < bestShare {
			best, bestShare, bestGuaranteed = j, s, guaranteed
		}
	}
	return best
}

// withinGuarantee reports whether the accelerators of the job are within the unused part
// of what its organisation is guaranteed in this zone.
func (c *Core) withinGuarantee(j *job) bool {
	n := j.Shape.Accelerators()
	return n > 0 && j.org.running.accelerators+n <= j.org.guaranteedInZone(c.opts.Zone)
}

// firstUrgent returns the first urgent job of the organisation; nil when none may fit or
// it exceeds the urgent quota.
func (c *Core) firstUrgent(o *org) *job {
	if o.lanes[laneUrgent].waiting == 0 {
		return nil
	}
	g := c.firstGroup(&o.lanes[laneUrgent], nil)
	if g == nil || !c.countsAsUrgent(g.first()) {
		return nil
	}
	return g.first()
}

// firstOfAny returns the first job of the organisation, urgent or not, that may fit; nil when
// there is none.
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

// firstGroup returns the group whose first caller has the least usage, among best and
// the groups of the lane that may fit.
func (c *Core) firstGroup(l *lane, best *group) *group {
	for _, g := range l.list {
		if c.knownNotToFit(g) {
			continue
		}
		if best == nil || (callerHeap{g.callers[0], best.callers[0]}).Less(0, 1) {
			best = g
		}
	}
	return best
}

// tryPlace places one job and reports whether it did. If the quota or the free capacity does not
// allow that, it records the failure for the group. If only capacity is short, under
// PolicyGuaranteed it then tries to reclaim, preempt or reserve cells for the job.
func (c *Core) tryPlace(now Instant, j *job) bool {
	if why := c.quotaViolation(j); why != "" {
		j.reason = why
		g := j.queued.queue.group
		g.failedAt, g.overQuota, g.quotaAt = c.capacityLog.version, true, j.org.releases
		return false
	}
	assignments, ok := c.place(now, j)
	if ok {
		c.assignCells(now, j, assignments)
		return true
	}
	g := j.queued.queue.group
	g.failedAt, g.overQuota = c.capacityLog.version, false
	if c.opts.Policy != PolicyGuaranteed {
		return false
	}
	if c.reclaim(now, j) || c.preemptFor(now, j) {
		// Another job of this shape may clear other cells in the same step.
		g.failedAt = 0
		return false
	}
	c.setHead(now, j)
	return false
}

// assignCells removes the job from the queue and starts an attempt on the chosen cells.
func (c *Core) assignCells(now Instant, j *job, assignments []assignment) {
	c.leaveQueue(now, j)
	c.dropHead(j)
	c.startAttempt(now, j, assignments)
}
