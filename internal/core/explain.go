package core

import (
	"fmt"

	"agatewinch/internal/core/cell"
)

// maxShortages bounds the workers that an explanation names.
const maxShortages = 8

// Explain says why a job is in its current state; false means that the job is not known.
func (c *Core) Explain(id JobID) (Explanation, bool) {
	j := c.jobs[id]
	if j == nil {
		return Explanation{}, false
	}
	ex := Explanation{Job: id, State: j.state, Reason: j.reason, Shortages: j.shortages}
	if j.state != Queued {
		return ex, true
	}
	switch {
	case j.restoring:
		ex.Reason = "restored from the log; waiting for the workers that may hold its tasks to answer"
	case j.claim != nil:
		ex.Reason = "cells are being cleared for the job; waiting for the jobs on them to stop"
	case j.queued == nil:
		ex.Reason = "waiting to be retried: " + j.reason
	default:
		ex.Position = c.position(j)
		c.explainWaiting(j, &ex)
	}
	return ex, true
}

// explainWaiting sets the reason why a queued job is not placed.
func (c *Core) explainWaiting(j *job, ex *Explanation) {
	g := j.queued.queue.group
	if why := c.quotaViolation(j); why != "" {
		ex.Reason = why
		return
	}
	if !c.knownNotToFit(g) && ex.Position > 0 {
		ex.Reason = fmt.Sprintf("%d waiting jobs of the same organisation and urgency arrived before it", ex.Position)
		return
	}
	ex.Reason, ex.Shortages = c.shortages(j)
	if c.head != nil && c.head.job == j {
		ex.Reason += "; it is the head job, and cells are reserved for it"
	} else if c.head != nil {
		ex.Reason += fmt.Sprintf("; cells are reserved for the head job %s", c.head.job.ID)
	}
}

// position counts the waiting jobs of the same organisation and lane that arrived before j.
func (c *Core) position(j *job) int {
	n := 0
	for _, g := range j.org.lanes[laneOf(j)].list {
		for _, q := range g.callers {
			for _, e := range q.jobs {
				if !e.removed && e.job.seq < j.seq {
					n++
				}
			}
		}
	}
	return n
}

// shortages returns how many of j's cells are free, and what is short on the workers that
// cannot take a task.
func (c *Core) shortages(j *job) (string, []Shortage) {
	fit := 0
	var short []Shortage
	for _, w := range c.ordered {
		n, s := c.shortageOn(w, j)
		fit += n
		if s != nil && len(short) < maxShortages {
			short = append(short, *s)
		}
	}
	return fmt.Sprintf("%d of %d cells of %d accelerators are free", min(fit, c.taskCount(j.Shape)), c.taskCount(j.Shape), c.taskSize(j.Shape)), short
}

// shortageOn counts the tasks of j that fit on w now; when none fits, it names what is short.
func (c *Core) shortageOn(w *worker, j *job) (int, *Shortage) {
	size := c.taskSize(j.Shape)
	free := w.free()
	if c.head != nil && c.head.job != j {
		free &^= w.reserved
	}
	if !j.preemptible() {
		free &^= w.reclaimable(j.org)
	}
	where := string(w.def.ID)
	switch {
	case !w.usable():
		return 0, &Shortage{Where: where, Resource: "worker " + w.unusableReason()}
	case w.slots+w.claimedSlots >= w.def.Slots:
		return 0, &Shortage{Where: where, Resource: "slots", Needed: 1}
	case w.cpu+w.claimedCPU+j.Shape.CPU > w.def.CPU:
		return 0, &Shortage{where, "cpu", int64(w.def.CPU - w.cpu - w.claimedCPU), int64(j.Shape.CPU)}
	case w.memory+w.claimedMemory+j.Shape.MemoryBytes > w.def.MemoryBytes:
		return 0, &Shortage{where, "memory", w.def.MemoryBytes - w.memory - w.claimedMemory, j.Shape.MemoryBytes}
	}
	if _, ok := cell.FirstFit(free, w.width(), size); !ok {
		return 0, &Shortage{where, "adjacent accelerators", int64(cell.Largest(free, w.width())), int64(size)}
	}
	n := 1
	if size > 0 {
		n = max(cell.Count(free)/cell.Block(size), 1)
	}
	return n, nil
}

func (w *worker) unusableReason() string {
	if w.history.quarantined {
		return "quarantined"
	}
	return string(w.health)
}
