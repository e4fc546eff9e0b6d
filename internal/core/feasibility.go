package core

import (
	"fmt"

	"agatewinch/internal/core/cell"
	"agatewinch/internal/errkind"
)

// neverFitsReason returns why the job can never run under the configuration: it exceeds its
// organisation's quota, has no cells, or would not fit on the workers even if all were free. It
// names the resource that is short, and is empty when the job can run.
func (c *Core) neverFitsReason(submitted Job) string {
	s := submitted.Shape
	o := c.org(submitted.Org)
	j := &job{Job: submitted, class: c.class(o, submitted.Class), org: o}
	if quota := j.org.def.Quota; quota > 0 && s.Accelerators() > quota {
		return fmt.Sprintf("the job needs %d accelerators and the quota of organisation %s is %d", s.Accelerators(), j.Org, quota)
	}
	if s.Cells < 1 {
		return "the shape has no cells"
	}
	if why := c.workerTooSmall(s); why != "" {
		return why
	}
	fit := c.fitWhenEmpty(j)
	if need := c.taskCount(s); fit < need {
		return c.tooFewCells(j, fit, need)
	}
	return ""
}

// workerTooSmall returns why no worker is large enough for one task; it is empty when every
// resource suffices on some worker.
func (c *Core) workerTooSmall(s Shape) string {
	var most Worker
	for _, w := range c.ordered {
		most.CPU = max(most.CPU, w.def.CPU)
		most.MemoryBytes = max(most.MemoryBytes, w.def.MemoryBytes)
		most.Slots = max(most.Slots, w.def.Slots)
	}
	switch {
	case s.CellSize > 0 && c.maxWidth == 0:
		return "no worker has accelerators"
	case s.CPU > most.CPU:
		return fmt.Sprintf("a task needs %d processor cores and the largest worker has %d", s.CPU, most.CPU)
	case s.MemoryBytes > most.MemoryBytes:
		return fmt.Sprintf("a task needs %d bytes of memory and the largest worker has %d", s.MemoryBytes, most.MemoryBytes)
	case most.Slots == 0:
		return "no worker has slots"
	}
	return ""
}

func (c *Core) tooFewCells(j *job, fit, need int) string {
	where := "all workers of the zone together"
	if !j.preemptible() {
		where = "the accelerators that no other organisation may reclaim, the only ones open to a job that cannot be preempted,"
	}
	if c.tasksPerCell(j.Shape) > 1 {
		where = "racks with enough whole workers"
	}
	return fmt.Sprintf("the job needs %d cells of %d accelerators with %d processor cores and %d bytes of memory each; %s hold %d",
		need, c.taskSize(j.Shape), j.Shape.CPU, j.Shape.MemoryBytes, where, fit)
}

// fitWhenEmpty counts the tasks of j that fit on the zone's workers when all are empty. When
// each cell fits on one worker, it stops counting at the number of tasks of j.
func (c *Core) fitWhenEmpty(j *job) int {
	per, need := c.tasksPerCell(j.Shape), c.taskCount(j.Shape)
	fit := 0
	for _, r := range c.racks {
		inRack := 0
		for _, w := range r.workers {
			inRack += c.fitOnEmptyWorker(w, j)
			if per == 1 && fit+inRack >= need {
				return need
			}
		}
		fit += inRack / per * per
	}
	return fit
}

func (c *Core) fitOnEmptyWorker(w *worker, j *job) int {
	empty := &worker{def: w.def, bound: c.configuredCellsAvoidedOn(w, j)}
	available := empty.all()
	if !j.preemptible() {
		available &^= empty.reclaimable(j.org)
	}
	n := 0
	for empty.fits(j.Shape) {
		m, ok := cell.FirstFit(available&^empty.used, empty.width(), c.taskSize(j.Shape))
		if !ok || !j.preemptible() && !empty.leavesGuaranteedShares(j.org, j.Shape, m) {
			break
		}
		empty.used |= m
		empty.cpu += j.Shape.CPU
		empty.memory += j.Shape.MemoryBytes
		empty.slots++
		if !j.preemptible() {
			empty.nonPreemptibleExcess.add(empty.excessOverShare(j.org, j.Shape, m))
		}
		n++
	}
	return n
}

// configuredCellsAvoidedOn returns the guaranteed cells with their configured location on w, or
// none for a preemptible job, which may use all accelerators.
func (c *Core) configuredCellsAvoidedOn(w *worker, j *job) uint64 {
	if j.preemptible() {
		return 0
	}
	return w.configuredCells
}

// failIfNeverFits fails a job that never fits on the workers of a newer configuration, and
// reports whether it did. A job is checked once per configuration.
func (c *Core) failIfNeverFits(now Instant, j *job) bool {
	if c.cfg == nil || j.checkedGeneration == c.cfg.Generation {
		return false
	}
	j.checkedGeneration = c.cfg.Generation
	why := c.neverFitsReason(j.Job)
	if why == "" {
		return false
	}
	c.finish(now, j, Outcome{State: Failed, Kind: errkind.NeverRunnable, Message: "after a configuration change: " + why})
	return true
}

// failNeverFitting fails the waiting jobs that never fit on the workers of a new configuration.
func (c *Core) failNeverFitting(now Instant) {
	for _, e := range append(entryHeap(nil), c.queue.arrivals...) {
		if !e.removed {
			c.failIfNeverFits(now, e.job)
		}
	}
}
