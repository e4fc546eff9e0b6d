package core

import (
	"sort"

	"agatewinch/internal/core/cell"
)

// ownPenalty makes other organisations' work give way before the owner's own, in
// accelerator seconds.
const ownPenalty = 3600

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

// candidate is a cell that could be cleared, with the jobs that would be stopped.
type candidate struct {
	part    *claimPart
	victims []*job
	loss    float64
}

// reclaim clears cells for a job of their owner: it stops the borrowers that lose the
// least work, whole gangs at a time. It reports whether a claim was made.
func (c *Core) reclaim(now Instant, j *job) bool {
	if c.mutation == mutationNoReclaim || j.claim != nil || j.org.guaranteed == 0 || j.Shape.Accelerators() == 0 {
		return false
	}
	chosen := c.chooseCells(now, j)
	if chosen == nil {
		c.noteMissed(j)
		return false
	}
	c.makeClaim(now, j, chosen, NoteReclaim)
	return true
}

// noteMissed reports that a guarantee could not be honoured when its owner called.
func (c *Core) noteMissed(j *job) {
	n := c.need(j.Shape).accelerators
	if j.missed || j.org.running.accelerators+n > j.org.promised(c.opts.Zone) {
		return
	}
	j.missed = true
	c.emit(Note{Code: NoteGuaranteeMissed, Job: j.ID, Org: j.Org})
}

// promised is the accelerators that the configuration guarantees o in a zone.
func (o *org) promised(zone ZoneID) int {
	n := 0
	for _, g := range o.def.Guarantees {
		if g.Zone == zone {
			n += g.Cells * g.CellSize
		}
	}
	return n
}

// chooseCells returns one cell for each task of j, of least loss, or nil.
func (c *Core) chooseCells(now Instant, j *job) []candidate {
	need, per := c.missingParts(j), c.partsPerCell(j.Shape)
	cl := clearing{core: c, now: now, job: j, size: c.partSize(j.Shape), stopping: map[*job]bool{}, taken: map[*worker]uint64{}, extra: map[*worker]amount{}}
	if per > 1 {
		return cl.chooseRacks(need, per)
	}
	var chosen []candidate
	for len(chosen) < need {
		best := cl.cheapest(j.org.boundWorkers)
		if best == nil {
			return nil
		}
		cl.accept(*best)
		chosen = append(chosen, *best)
	}
	return chosen
}

// clearing is the choice of the cells for one claim.
type clearing struct {
	core     *Core
	now      Instant
	job      *job
	size     int
	stopping map[*job]bool
	taken    map[*worker]uint64
	extra    map[*worker]amount
}

func (cl *clearing) accept(k candidate) {
	cl.taken[k.part.worker] |= k.part.cell
	sum := cl.extra[k.part.worker]
	sum.add(amount{cl.job.Shape.CPU, cl.job.Shape.MemoryBytes, 1})
	cl.extra[k.part.worker] = sum
	for _, v := range k.victims {
		cl.stopping[v] = true
	}
}

func (cl *clearing) cheapest(workers []*worker) *candidate {
	var best *candidate
	for _, w := range workers {
		own := cl.job.org.bound[w.def.ID]
		if own == 0 || !w.usable() {
			continue
		}
		own &^= cl.taken[w] | w.claimed
		for off := 0; off+cl.size <= w.width(); off += cell.Block(cl.size) {
			m := cell.Mask(off, cl.size)
			if own&m != m {
				continue
			}
			if k, ok := cl.consider(w, m); ok && (best == nil || k.loss < best.loss) {
				best = &k
			}
		}
	}
	return best
}

// consider returns what clearing m on w would cost.
func (cl *clearing) consider(w *worker, m uint64) (candidate, bool) {
	k := candidate{part: &claimPart{worker: w, cell: m, shape: cl.job.Shape}}
	for _, t := range w.held {
		if uint64(t.Cell)&m == 0 {
			continue
		}
		if !cl.addVictim(&k, t) {
			return k, false
		}
	}
	return k, cl.makeRoom(&k, w)
}

// addVictim adds the job of t to those that would be stopped.
func (cl *clearing) addVictim(k *candidate, t *task) bool {
	if t.state == taskStopping || cl.stopping[t.job] {
		return uint64(t.Cell)&k.part.worker.slow == 0
	}
	if !cl.mayStop(t) {
		return false
	}
	for _, v := range k.victims {
		if v == t.job {
			return true
		}
	}
	k.victims = append(k.victims, t.job)
	k.loss += cl.core.loss(cl.now, t.job)
	if t.job.Org == cl.job.Org {
		k.loss += ownPenalty
	}
	return true
}

// mayStop reports whether the task is a borrower's that can be stopped, or other work
// of the same organisation that gives way to urgent work.
func (cl *clearing) mayStop(t *task) bool {
	v := t.job
	if t.detached || v.restoring || !v.stoppable() || !v.evictable() {
		return false
	}
	if v.Org == cl.job.Org {
		return cl.job.class.Urgent && !v.class.Urgent
	}
	return true
}

// evictable reports whether the job can be stopped now without leaving its outcome unknown.
func (j *job) evictable() bool {
	if j.ended || j.outcome != nil {
		return false
	}
	switch j.state {
	case Running:
		return true
	case Placing:
		return j.Idempotent || j.attemptBegan() == beganNo
	default:
		return false
	}
}

// makeRoom adds victims until the worker's processors, memory and slots suffice too.
func (cl *clearing) makeRoom(k *candidate, w *worker) bool {
	need := amount{cl.job.Shape.CPU + w.claimedCPU, cl.job.Shape.MemoryBytes + w.claimedMemory, 1 + w.claimedSlots}
	need.add(cl.extra[w])
	others := append([]*task(nil), w.held...)
	sort.SliceStable(others, func(a, b int) bool {
		return cl.core.loss(cl.now, others[a].job) < cl.core.loss(cl.now, others[b].job)
	})
	if cl.leaves(k, w, need) {
		return true
	}
	for _, t := range others {
		if t.state == taskStopping || cl.goes(k, t) || t.job.withinGuarantee(w, t) || !cl.mayStop(t) {
			continue
		}
		cl.addVictim(k, t)
		if cl.leaves(k, w, need) {
			return true
		}
	}
	return false
}

// goes reports whether the task leaves its worker if k is chosen.
func (cl *clearing) goes(k *candidate, t *task) bool {
	if t.state == taskStopping || cl.stopping[t.job] {
		return true
	}
	for _, v := range k.victims {
		if v == t.job {
			return true
		}
	}
	return false
}

// leaves reports whether need fits on w once the victims are gone.
func (cl *clearing) leaves(k *candidate, w *worker, need amount) bool {
	for _, t := range w.held {
		if !cl.goes(k, t) {
			need.add(amount{t.shape.CPU, t.shape.MemoryBytes, 1})
		}
	}
	return need.cpu <= w.def.CPU && need.memory <= w.def.MemoryBytes && need.slots <= w.def.Slots
}

// withinGuarantee reports whether the task sits on its organisation's guaranteed
// cells and takes no more than the share that goes with them.
func (j *job) withinGuarantee(w *worker, t *task) bool {
	over := w.excess(j.org, t.shape, uint64(t.Cell))
	return t.Cell != 0 && uint64(t.Cell)&^j.org.bound[w.def.ID] == 0 && over == amount{}
}

// chooseRacks chooses whole workers of one rack for each cell.
func (cl *clearing) chooseRacks(need, per int) []candidate {
	var chosen []candidate
	for len(chosen) < need {
		var best []candidate
		bestLoss := 0.0
		for _, r := range cl.core.racks {
			group, loss := cl.cheapestInRack(r, per)
			if group != nil && (best == nil || loss < bestLoss) {
				best, bestLoss = group, loss
			}
		}
		if best == nil {
			return nil
		}
		for _, k := range best {
			cl.accept(k)
		}
		chosen = append(chosen, best...)
	}
	return chosen
}

func (cl *clearing) cheapestInRack(r *rack, per int) ([]candidate, float64) {
	var all []candidate
	for _, w := range r.workers {
		if k := cl.cheapest([]*worker{w}); k != nil {
			all = append(all, *k)
		}
	}
	if len(all) < per {
		return nil, 0
	}
	sort.SliceStable(all, func(a, b int) bool { return all[a].loss < all[b].loss })
	loss := 0.0
	for _, k := range all[:per] {
		loss += k.loss
	}
	return all[:per], loss
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
	v.reason = "stopped so that an organisation has its guaranteed cells"
	c.abort(now, v, kind)
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
		if !j.stoppable() && p.cell&w.reclaimable(j.org) != 0 {
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
