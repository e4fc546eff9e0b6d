package core

// claim is a set of cells that are being cleared for a waiting job. No other job may take them.
type claim struct {
	parts   []*claimPart
	victims []*job
	note    NoteCode
	since   Instant
}

// claimPart is the cell for one task of the waiting job.
type claimPart struct {
	worker *worker
	cell   uint64
	shape  Shape
}

// lostWork returns the work that stopping a job loses, in accelerator seconds. Every job
// is charged the cost of a checkpoint and resume. A running job without checkpoints also
// loses its run time so far.
func (c *Core) lostWork(now Instant, j *job) float64 {
	size := float64(max(j.chargedResources.accelerators, 1))
	if j.class.Checkpoint || j.state != Running {
		return size * checkpointCost.Seconds()
	}
	return size * (now.Sub(j.startedAt).Seconds() + checkpointCost.Seconds())
}

// makeClaim claims the cells for j and evicts the jobs that are on them.
func (c *Core) makeClaim(now Instant, j *job, chosen []candidate, note NoteCode) {
	cl := &claim{since: now, note: note}
	for _, k := range chosen {
		cl.parts = append(cl.parts, k.part)
		k.part.worker.claims = append(k.part.worker.claims, k.part)
		k.part.worker.refresh()
		cl.victims = append(cl.victims, k.victims...)
	}
	j.claim = cl
	c.claims = append(c.claims, j)
	c.dequeue(j)
	for _, v := range cl.victims {
		c.evict(now, v, note)
	}
	c.addTimer(timer{at: now.Add(reclaimTimeout), kind: timerClaim, job: j, stamp: j.attempt})
}

// evict stops a whole job to clear its cells, with a checkpoint if its class has them. That is
// done to reclaim guaranteed cells, to preempt for a heavier class, or to move the job.
func (c *Core) evict(now Instant, v *job, note NoteCode) {
	if !v.evictable() {
		return
	}
	kind := stopNow
	if v.class.Checkpoint {
		kind = stopPreempt
	}
	c.emit(Note{Code: note, Job: v.ID, Org: v.Org, Worker: v.tasks[0].Worker})
	v.reason = stopReason(note)
	v.evicted = true
	c.abort(now, v, kind)
}

// stopReason returns the reason of an eviction for the caller of the evicted job.
func stopReason(note NoteCode) string {
	switch note {
	case NoteYielded:
		return "preempted for a job of a class with a higher weight"
	case NoteMoved:
		return "preempted to be moved, so that a larger job gets whole cells"
	default:
		return "preempted so that an organisation gets its guaranteed cells"
	}
}

// completeClaims places the jobs whose claimed cells are free, and requeues those whose claim
// is no longer allowed.
func (c *Core) completeClaims(now Instant) {
	for _, j := range append([]*job(nil), c.claims...) {
		if !c.claimStillAllowed(j) {
			c.dropClaim(j)
			c.enqueue(now, j)
			continue
		}
		if !j.claim.cellsFree() || c.quotaViolation(j) != "" {
			continue
		}
		var assignments []assignment
		for _, p := range j.claim.parts {
			assignments = append(assignments, assignment{p.worker, p.cell})
		}
		c.assignCells(now, j, assignments)
	}
}

// claimStillAllowed reports whether the job may still take the claimed cells. It returns false
// when one of their workers takes no tasks any more, or when guaranteed cells of other
// organisations were bound there in the meantime and the job cannot be preempted.
func (c *Core) claimStillAllowed(j *job) bool {
	for _, p := range j.claim.parts {
		w := p.worker
		if !w.usable() {
			return false
		}
		if j.preemptible() {
			continue
		}
		if p.cell&w.reclaimable(j.org) != 0 || !w.leavesGuaranteedShares(j.org, j.Shape, cellsOn(j.claim.parts, w)...) {
			return false
		}
	}
	return true
}

// cellsFree reports whether all claimed cells are free, with the processor cores, memory
// and slots that go with them.
func (cl *claim) cellsFree() bool {
	for _, p := range cl.parts {
		w := p.worker
		if !w.usable() || w.used&p.cell != 0 ||
			w.slots+w.claimedSlots > w.def.Slots ||
			w.cpu+w.claimedCPU > w.def.CPU ||
			w.memory+w.claimedMemory > w.def.MemoryBytes {
			return false
		}
	}
	return true
}

// dropClaim gives up the claimed cells.
func (c *Core) dropClaim(j *job) {
	if j.claim == nil {
		return
	}
	for _, p := range j.claim.parts {
		for i, have := range p.worker.claims {
			if have == p {
				p.worker.claims = append(p.worker.claims[:i], p.worker.claims[i+1:]...)
				break
			}
		}
		p.worker.refresh()
	}
	parts := j.claim.parts
	j.claim = nil
	for i, have := range c.claims {
		if have == j {
			c.claims = append(c.claims[:i], c.claims[i+1:]...)
			break
		}
	}
	for _, p := range parts {
		c.recordFreedOn(p.worker)
	}
}

// claimTimedOut requeues the job, so that other cells are chosen, when claimed ones are still
// occupied after reclaimTimeout because the tasks there have not stopped. The accelerators of
// those tasks are marked as overdue.
func (c *Core) claimTimedOut(now Instant, j *job) {
	if j.claim == nil || now.Sub(j.claim.since) < reclaimTimeout {
		return
	}
	for _, p := range j.claim.parts {
		p.worker.stopOverdue |= p.worker.used & p.cell
	}
	c.dropClaim(j)
	c.enqueue(now, j)
	c.rebind()
}
