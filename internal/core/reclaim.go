package core

import (
	"sort"

	"agatewinch/internal/core/cell"
)

// ownPenalty makes other organisations' work give way before the owner's own, in
// accelerator seconds.
const ownPenalty = 3600

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
	chosen := c.chooseCells(now, j, reclaiming)
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
func (c *Core) chooseCells(now Instant, j *job, purpose purpose) []candidate {
	need, per := c.missingParts(j), c.partsPerCell(j.Shape)
	cl := clearing{core: c, now: now, job: j, purpose: purpose, size: c.partSize(j.Shape), stopping: map[*job]bool{}, taken: map[*worker]uint64{}, extra: map[*worker]amount{}}
	if per > 1 {
		return cl.chooseRacks(need, per)
	}
	var chosen []candidate
	for len(chosen) < need {
		best := cl.cheapest(cl.workers())
		if best == nil {
			return nil
		}
		cl.accept(*best)
		chosen = append(chosen, *best)
	}
	return chosen
}

// purpose is why cells are cleared.
type purpose int

const (
	// reclaiming clears an organisation's guaranteed cells for its own job.
	reclaiming purpose = iota
	// yielding clears cells of lighter work for a job of a heavier class.
	yielding
)

// clearing is the choice of the cells for one claim.
type clearing struct {
	core     *Core
	now      Instant
	job      *job
	purpose  purpose
	size     int
	stopping map[*job]bool
	taken    map[*worker]uint64
	accepted []*claimPart
	extra    map[*worker]amount
}

func (cl *clearing) accept(k candidate) {
	cl.taken[k.part.worker] |= k.part.cell
	cl.accepted = append(cl.accepted, k.part)
	sum := cl.extra[k.part.worker]
	sum.add(amount{cl.job.Shape.CPU, cl.job.Shape.MemoryBytes, 1})
	cl.extra[k.part.worker] = sum
	for _, v := range k.victims {
		cl.stopping[v] = true
	}
}

// workers returns where the cells may be.
func (cl *clearing) workers() []*worker {
	if cl.purpose == yielding {
		return cl.core.accelerated
	}
	return cl.job.org.boundWorkers
}

// allowed returns the accelerators of w that may be cleared.
func (cl *clearing) allowed(w *worker) uint64 {
	if cl.purpose == yielding {
		return w.all() &^ w.reclaimable(cl.job.org)
	}
	return cl.job.org.bound[w.def.ID]
}

func (cl *clearing) cheapest(workers []*worker) *candidate {
	var best *candidate
	for _, w := range workers {
		own := cl.allowed(w)
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

// cellsOn returns the cells accepted on w, and m.
func (cl *clearing) cellsOn(w *worker, m uint64) []uint64 { return append(cellsOn(cl.accepted, w), m) }

// cellsOn returns the cells of the parts that are on w.
func cellsOn(parts []*claimPart, w *worker) []uint64 {
	var cells []uint64
	for _, p := range parts {
		if p.worker == w {
			cells = append(cells, p.cell)
		}
	}
	return cells
}

// consider returns what clearing m on w would cost.
func (cl *clearing) consider(w *worker, m uint64) (candidate, bool) {
	k := candidate{part: &claimPart{worker: w, cell: m, shape: cl.job.Shape}}
	if !cl.job.stoppable() && !w.protects(cl.job.org, cl.job.Shape, cl.cellsOn(w, m)...) {
		return k, false
	}
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
	if t.job.Org == cl.job.Org && cl.purpose == reclaiming {
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
	if cl.purpose == yielding {
		return cl.mayYield(v)
	}
	if v.Org == cl.job.Org {
		return cl.core.urgentNow(cl.job) && !v.class.Urgent
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
	if cl.leaves(k, w, need) {
		return true
	}
	if cl.purpose == reclaiming && w.excess(cl.job.org, cl.job.Shape, k.part.cell) != (amount{}) {
		// Beyond its share the job has no guarantee: two such owners would stop each other for ever.
		return false
	}
	others := append([]*task(nil), w.held...)
	sort.SliceStable(others, func(a, b int) bool {
		return cl.core.loss(cl.now, others[a].job) < cl.core.loss(cl.now, others[b].job)
	})
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
			group, loss := cl.cheapestInRack(r, nextInRack(need-len(chosen), per))
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
