package core

// preemptFor clears cells for a waiting job by preempting jobs of lower class weight that
// keep their progress. It reports whether a claim was made. Cells that other
// organisations may reclaim are not taken, so that no guarantee waits for the claim,
// and the preempted jobs must lose less work than the waiting job gains by starting now.
func (c *Core) preemptFor(now Instant, j *job) bool {
	if j.claim != nil || j.Shape.Accelerators() == 0 || !c.lowerWeightRuns(j.class.Weight) {
		return false
	}
	chosen := c.chooseCells(now, j, purposePreempt)
	if chosen == nil || !c.worthPreempting(now, j, chosen) {
		return false
	}
	c.makeClaim(now, j, chosen, NoteYielded)
	return true
}

// lowerWeightRuns reports whether any placed job has a class weight below weight.
func (c *Core) lowerWeightRuns(weight int) bool {
	for w, n := range c.placedByWeight {
		if w < weight && n > 0 {
			return true
		}
	}
	return false
}

// worthPreempting reports whether the work lost is less than the accelerator time that the
// job would spend waiting until the cells are expected to be free.
func (c *Core) worthPreempting(now Instant, j *job, chosen []candidate) bool {
	at, loss := now, 0.0
	for _, k := range chosen {
		at = max(at, c.expectedFreeAt(now, k.part.worker, k.part.cell))
		loss += k.loss
	}
	return loss < at.Sub(now).Seconds()*float64(j.Shape.Accelerators())
}

// mayPreempt reports whether v may be preempted for a job of a class with a higher weight:
// v is not urgent, keeps its progress, arrived no longer ago than ageLimit, and belongs to the
// same organisation or to one whose share is not below that of the waiting job's organisation.
func (cl *cellSelection) mayPreempt(v *job) bool {
	j := cl.job
	if !v.class.Checkpoint || v.class.Urgent || v.class.Weight >= j.class.Weight || cl.now.Sub(v.arrived) > ageLimit {
		return false
	}
	return v.org == j.org || cl.core.share(j.org) <= cl.core.share(v.org)
}
