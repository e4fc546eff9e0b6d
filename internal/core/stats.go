package core

import "agatewinch/internal/core/cell"

// Stats summarises the core for heartbeats, status pages and metrics.
type Stats struct {
	Queued           int        `json:"queued"`
	Running          int        `json:"running"`
	FreeAccelerators int        `json:"free_accelerators"`
	LargestFreeCell  int        `json:"largest_free_cell"`
	Generation       Generation `json:"generation"`
}

// Stats returns the core's present summary.
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
