package core

// claim is cells that are being cleared for a waiting job. Nobody else may take them.
type claim struct {
	parts   []*claimPart
	victims []*job
	note    NoteCode
	since   Instant
}

// claimPart is the cell of one task of the waiting job.
type claimPart struct {
	worker *worker
	cell   uint64
	shape  Shape
}

// loss is the work that stopping a job throws away, in accelerator seconds.
func (c *Core) loss(now Instant, j *job) float64 {
	size := float64(max(j.holding.accelerators, 1))
	if j.class.Checkpoint || j.state != Running {
		return size * checkpointCost.Seconds()
	}
	return size * (now.Sub(j.began).Seconds() + checkpointCost.Seconds())
}

// makeClaim books the cells and stops the jobs that are on them.
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
	c.after(timer{at: now.Add(reclaimPatience), kind: timerClaim, job: j, stamp: j.attempt})
}

// evict stops a whole job to clear its cells.
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

// stopReason explains a stop to the caller of the job that is stopped.
func stopReason(note NoteCode) string {
	switch note {
	case NoteYielded:
		return "stopped for a job of a heavier class"
	case NoteMoved:
		return "stopped to be moved, so that a larger job has whole cells"
	default:
		return "stopped so that an organisation has its guaranteed cells"
	}
}

// completeClaims places the jobs whose claimed cells are clear.
func (c *Core) completeClaims(now Instant) {
	for _, j := range append([]*job(nil), c.claims...) {
		if !c.claimHolds(j) {
			c.dropClaim(j)
			c.enqueue(now, j)
			continue
		}
		if !j.claim.clear() || c.overQuota(j) != "" {
			continue
		}
		var spots []spot
		for _, p := range j.claim.parts {
			spots = append(spots, spot{p.worker, p.cell})
		}
		c.take(now, j, spots)
	}
}

// claimHolds reports whether the job may still take the claimed cells: the bindings may
// have changed since.
func (c *Core) claimHolds(j *job) bool {
	for _, p := range j.claim.parts {
		w := p.worker
		if !w.usable() {
			return false
		}
		if j.stoppable() {
			continue
		}
		if p.cell&w.reclaimable(j.org) != 0 || !w.protects(j.org, j.Shape, cellsOn(j.claim.parts, w)...) {
			return false
		}
	}
	return true
}

// clear reports whether all claimed cells are free, with the room beside them.
func (cl *claim) clear() bool {
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

// dropClaim gives the claimed cells up.
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
		c.freedOn(p.worker)
	}
}

// claimDue looks for other cells when claimed ones stay occupied: the tasks there do
// not answer their stop.
func (c *Core) claimDue(now Instant, j *job) {
	if j.claim == nil || now.Sub(j.claim.since) < reclaimPatience {
		return
	}
	for _, p := range j.claim.parts {
		p.worker.slow |= p.worker.used & p.cell
	}
	c.dropClaim(j)
	c.enqueue(now, j)
	c.rebind()
}
