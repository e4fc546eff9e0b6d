package core

import (
	"sort"

	"agatewinch/internal/core/cell"
)

// ownJobPenalty, in accelerator seconds, is added to the loss of evicting a job of the owner
// itself, so that borrowers that lose up to that much more work are evicted first.
const ownJobPenalty = 3600

// candidate is a cell that could be cleared, with the jobs to evict and the work lost.
type candidate struct {
	part    *claimPart
	victims []*job
	loss    float64
}

// reclaim clears guaranteed cells for a job of their owner: it evicts the borrowers that lose
// the least work, whole gangs at a time. It reports whether a claim was made.
func (c *Core) reclaim(now Instant, j *job) bool {
	if c.mutation == mutationNoReclaim || j.claim != nil || j.org.guaranteed == 0 || j.Shape.Accelerators() == 0 {
		return false
	}
	chosen := c.chooseCells(now, j, purposeReclaim)
	if chosen == nil {
		c.reportMissedGuarantee(j)
		return false
	}
	c.makeClaim(now, j, chosen, NoteReclaim)
	return true
}

// reportMissedGuarantee emits a note, once per job, that cells within the owner's guarantee
// could not be reclaimed for it.
func (c *Core) reportMissedGuarantee(j *job) {
	n := c.need(j.Shape).accelerators
	if j.guaranteeMissed || j.org.running.accelerators+n > j.org.guaranteedInZone(c.opts.Zone) {
		return
	}
	j.guaranteeMissed = true
	c.emit(Note{Code: NoteGuaranteeMissed, Job: j.ID, Org: j.Org})
}

// guaranteedInZone returns the number of accelerators that the configuration guarantees o in a
// zone.
func (o *org) guaranteedInZone(zone ZoneID) int {
	n := 0
	for _, g := range o.def.Guarantees {
		if g.Zone == zone {
			n += g.Cells * g.CellSize
		}
	}
	return n
}

// chooseCells returns one cell for each task of j, choosing the least loss each time; nil
// when there are not enough.
func (c *Core) chooseCells(now Instant, j *job, purpose claimPurpose) []candidate {
	need, per := c.unfinishedTasks(j), c.tasksPerCell(j.Shape)
	cl := cellSelection{core: c, now: now, job: j, purpose: purpose, size: c.taskSize(j.Shape), stopping: map[*job]bool{}, taken: map[*worker]uint64{}, acceptedResources: map[*worker]workerResources{}}
	if per > 1 {
		return cl.chooseInRacks(need, per)
	}
	var chosen []candidate
	for len(chosen) < need {
		best := cl.cheapestCell(cl.workers())
		if best == nil {
			return nil
		}
		cl.accept(*best)
		chosen = append(chosen, *best)
	}
	return chosen
}

// claimPurpose says why cells are cleared.
type claimPurpose int

const (
	// purposeReclaim clears an organisation's guaranteed cells for its own job.
	purposeReclaim claimPurpose = iota
	// purposePreempt clears cells of jobs of a lower class weight for a job of a higher one.
	purposePreempt
)

// cellSelection is the state of choosing the cells for one claim.
type cellSelection struct {
	core    *Core
	now     Instant
	job     *job
	purpose claimPurpose
	// size is the number of accelerators of a task.
	size int
	// stopping holds the victims of the cells accepted so far.
	stopping map[*job]bool
	// taken marks the accelerators of accepted on each worker, and acceptedResources sums its
	// other resources.
	taken             map[*worker]uint64
	accepted          []*claimPart
	acceptedResources map[*worker]workerResources
}

func (cl *cellSelection) accept(k candidate) {
	cl.taken[k.part.worker] |= k.part.cell
	cl.accepted = append(cl.accepted, k.part)
	sum := cl.acceptedResources[k.part.worker]
	sum.add(workerResources{cl.job.Shape.CPU, cl.job.Shape.MemoryBytes, 1})
	cl.acceptedResources[k.part.worker] = sum
	for _, v := range k.victims {
		cl.stopping[v] = true
	}
}

// workers returns the workers that may have cells for the claim.
func (cl *cellSelection) workers() []*worker {
	if cl.purpose == purposePreempt {
		return cl.core.acceleratorWorkers
	}
	return cl.job.org.boundWorkers
}

// claimable returns the accelerators of w that may be cleared.
func (cl *cellSelection) claimable(w *worker) uint64 {
	if cl.purpose == purposePreempt {
		return w.all() &^ w.reclaimable(cl.job.org)
	}
	return cl.job.org.bound[w.def.ID]
}

func (cl *cellSelection) cheapestCell(workers []*worker) *candidate {
	var best *candidate
	for _, w := range workers {
		claimable := cl.claimable(w)
		if claimable == 0 || !w.usable() {
			continue
		}
		claimable &^= cl.taken[w] | w.claimed
		for off := 0; off+cl.size <= w.width(); off += cell.Block(cl.size) {
			m := cell.Mask(off, cl.size)
			if claimable&m != m {
				continue
			}
			if k, ok := cl.evaluate(w, m); ok && (best == nil || k.loss < best.loss) {
				best = &k
			}
		}
	}
	return best
}

// cellsOn returns the cells already accepted on w, followed by m.
func (cl *cellSelection) cellsOn(w *worker, m uint64) []uint64 {
	return append(cellsOn(cl.accepted, w), m)
}

// cellsOn returns the cells of those parts that are on w.
func cellsOn(parts []*claimPart, w *worker) []uint64 {
	var cells []uint64
	for _, p := range parts {
		if p.worker == w {
			cells = append(cells, p.cell)
		}
	}
	return cells
}

// evaluate returns the jobs to evict and the work lost by clearing m on w; false when m
// cannot be cleared.
func (cl *cellSelection) evaluate(w *worker, m uint64) (candidate, bool) {
	k := candidate{part: &claimPart{worker: w, cell: m, shape: cl.job.Shape}}
	if !cl.job.preemptible() && !w.leavesGuaranteedShares(cl.job.org, cl.job.Shape, cl.cellsOn(w, m)...) {
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
	return k, cl.freeResources(&k, w)
}

// addVictim adds the job of t to the victims of k; false when t does not free its cell: its
// job may not be evicted, or it is being stopped already but does not respond.
func (cl *cellSelection) addVictim(k *candidate, t *task) bool {
	if t.state == taskStopping || cl.stopping[t.job] {
		return uint64(t.Cell)&k.part.worker.stopOverdue == 0
	}
	if !cl.mayEvict(t) {
		return false
	}
	for _, v := range k.victims {
		if v == t.job {
			return true
		}
	}
	k.victims = append(k.victims, t.job)
	k.loss += cl.core.lostWork(cl.now, t.job)
	if t.job.Org == cl.job.Org && cl.purpose == purposeReclaim {
		k.loss += ownJobPenalty
	}
	return true
}

// mayEvict reports whether the job of t can be evicted for the claim. To reclaim, that is a
// preemptible job of another organisation, or a non-urgent one of the same organisation
// if the claiming job is urgent and within the urgent quota.
func (cl *cellSelection) mayEvict(t *task) bool {
	v := t.job
	if t.detached || v.restoring || !v.preemptible() || !v.evictable() {
		return false
	}
	if cl.purpose == purposePreempt {
		return cl.mayPreempt(v)
	}
	if v.Org == cl.job.Org {
		return cl.core.countsAsUrgent(cl.job) && !v.class.Urgent
	}
	return true
}

// evictable reports whether a preemptible job can be stopped now without leaving its outcome
// unknown.
func (j *job) evictable() bool {
	if j.ended || j.outcome != nil {
		return false
	}
	switch j.state {
	case Running:
		return true
	case Placing:
		return j.Idempotent || j.attemptStarted() == startNo
	default:
		return false
	}
}

// freeResources adds victims until the worker's processor cores, memory and slots suffice too;
// false when evicting every possible victim is not enough, or when victims would have to be
// added for a reclaiming job that exceeds the share of its cell.
func (cl *cellSelection) freeResources(k *candidate, w *worker) bool {
	need := workerResources{cl.job.Shape.CPU + w.claimedCPU, cl.job.Shape.MemoryBytes + w.claimedMemory, 1 + w.claimedSlots}
	need.add(cl.acceptedResources[w])
	if cl.fitsAfterEviction(k, w, need) {
		return true
	}
	if cl.purpose == purposeReclaim && w.excessOverShare(cl.job.org, cl.job.Shape, k.part.cell) != (workerResources{}) {
		// A job that exceeds the share of its cells has no guarantee for the excess: two such
		// owners would evict each other forever.
		return false
	}
	others := append([]*task(nil), w.held...)
	sort.SliceStable(others, func(a, b int) bool {
		return cl.core.lostWork(cl.now, others[a].job) < cl.core.lostWork(cl.now, others[b].job)
	})
	for _, t := range others {
		if t.state == taskStopping || cl.willStop(k, t) || t.job.taskWithinGuarantee(w, t) || !cl.mayEvict(t) {
			continue
		}
		cl.addVictim(k, t)
		if cl.fitsAfterEviction(k, w, need) {
			return true
		}
	}
	return false
}

// willStop reports whether the task leaves its worker if k is chosen.
func (cl *cellSelection) willStop(k *candidate, t *task) bool {
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

// fitsAfterEviction reports whether need fits on w once the victims are gone.
func (cl *cellSelection) fitsAfterEviction(k *candidate, w *worker, need workerResources) bool {
	for _, t := range w.held {
		if !cl.willStop(k, t) {
			need.add(workerResources{t.shape.CPU, t.shape.MemoryBytes, 1})
		}
	}
	return need.cpu <= w.def.CPU && need.memory <= w.def.MemoryBytes && need.slots <= w.def.Slots
}

// taskWithinGuarantee reports whether the task runs on its organisation's guaranteed cells
// and takes no more than their proportional share of the worker.
func (j *job) taskWithinGuarantee(w *worker, t *task) bool {
	excess := w.excessOverShare(j.org, t.shape, uint64(t.Cell))
	return t.Cell != 0 && uint64(t.Cell)&^j.org.bound[w.def.ID] == 0 && excess == workerResources{}
}

// chooseInRacks chooses whole workers of one rack for each cell that is larger than a worker.
func (cl *cellSelection) chooseInRacks(need, per int) []candidate {
	var chosen []candidate
	for len(chosen) < need {
		var best []candidate
		bestLoss := 0.0
		for _, r := range cl.core.racks {
			group, loss := cl.cheapestInRack(r, workersFromRack(need-len(chosen), per))
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

func (cl *cellSelection) cheapestInRack(r *rack, per int) ([]candidate, float64) {
	var all []candidate
	for _, w := range r.workers {
		if k := cl.cheapestCell([]*worker{w}); k != nil {
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
