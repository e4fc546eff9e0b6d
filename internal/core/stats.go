package core

import "agatewinch/internal/core/cell"

// Stats summarises the core for heartbeats, status pages and metrics.
type Stats struct {
	// Queued counts the jobs that wait: in the queue, for a retry or for claimed cells.
	Queued int `json:"queued" cbor:"1,keyasint,omitempty"`
	// Running counts all other jobs, including those being placed, stopped or restored.
	Running int `json:"running" cbor:"2,keyasint,omitempty"`
	// FreeAccelerators and LargestFreeCell cover the workers that take new tasks. Accelerators that
	// are claimed or reserved, but not held by a task, count as free.
	FreeAccelerators int        `json:"free_accelerators" cbor:"3,keyasint,omitempty"`
	LargestFreeCell  int        `json:"largest_free_cell" cbor:"4,keyasint,omitempty"`
	Generation       Generation `json:"generation" cbor:"5,keyasint,omitempty"`
}

// Stats returns a summary of the current state.
func (c *Core) Stats() Stats {
	s := Stats{Queued: c.queue.waiting + c.queue.delayed + len(c.claims)}
	s.Running = len(c.jobs) - s.Queued
	if c.cfg != nil {
		s.Generation = c.cfg.Generation
	}
	for _, w := range c.ordered {
		if !w.usable() {
			continue
		}
		free := w.all() &^ w.used
		s.FreeAccelerators += cell.Count(free)
		s.LargestFreeCell = max(s.LargestFreeCell, cell.Largest(free, w.width()))
	}
	return s
}

// WorkerUse counts the tasks placed on one worker.
type WorkerUse struct {
	Worker WorkerID
	Rack   RackID
	// Tasks counts the tasks and reservations that the worker holds or is asked to hold.
	Tasks int
}

// WorkerUses returns the use of the zone's configured workers, in order of their IDs.
func (c *Core) WorkerUses() []WorkerUse {
	uses := make([]WorkerUse, len(c.ordered))
	for i, w := range c.ordered {
		uses[i] = WorkerUse{Worker: w.def.ID, Rack: w.def.Rack, Tasks: len(w.held)}
	}
	return uses
}
