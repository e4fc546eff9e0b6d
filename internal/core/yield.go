package core

// yieldTo clears cells for a waiting job by stopping work of lighter classes that
// keeps its progress. It reports whether a claim was made. Cells that other
// organisations may reclaim are left alone, so that no guarantee waits for the claim,
// and the stopped work must lose less than the job gains by starting now.
func (c *Core) yieldTo(now Instant, j *job) bool {
	if j.claim != nil || j.Shape.Accelerators() == 0 || !c.lighterRuns(j.class.Weight) {
		return false
	}
	chosen := c.chooseCells(now, j, yielding)
	if chosen == nil || !c.worthYielding(now, j, chosen) {
		return false
	}
	c.makeClaim(now, j, chosen, NoteYielded)
	return true
}

// lighterRuns reports whether any placed job has a class lighter than weight.
func (c *Core) lighterRuns(weight int) bool {
	for w, n := range c.placedByWeight {
		if w < weight && n > 0 {
			return true
		}
	}
	return false
}

// worthYielding compares the work lost with the accelerator time that the job would
// spend waiting until the cells are expected to be free.
func (c *Core) worthYielding(now Instant, j *job, chosen []candidate) bool {
	at, loss := now, 0.0
	for _, k := range chosen {
		at = max(at, c.opensAt(now, k.part.worker, k.part.cell))
		loss += k.loss
	}
	return loss < at.Sub(now).Seconds()*float64(j.Shape.Accelerators())
}

// mayYield reports whether v gives way to a job of a heavier class: it keeps its
// progress, has not waited past the age limit, and its organisation is not served
// less than the other's.
func (cl *clearing) mayYield(v *job) bool {
	j := cl.job
	if !v.class.Checkpoint || v.class.Urgent || v.class.Weight >= j.class.Weight || cl.now.Sub(v.arrived) > ageLimit {
		return false
	}
	return v.org == j.org || cl.core.share(j.org) <= cl.core.share(v.org)
}
