package dispatch

import (
	"agatewinch/internal/core/job"
)

// offRackScore puts workers away from the data behind all others.
const offRackScore = 100

// packWeight is how strongly urgent work keeps together. It goes before best fit: an
// urgent task on a worker that others fill would keep a whole worker from urgent gangs,
// which can stop everything but urgent work.
const packWeight = 8.0

// score orders workers for a task of s; the lowest is best.
func (s *step) score(w *worker, need job.Resources) float64 {
	score := leftover(w, need) + s.bias(w) + s.sharing(w)
	if s.job.spec.Priority == firstPriority {
		score += packWeight * w.urgentLeft(need)
	}
	return score
}

// urgentLeft is the share of w's accelerators that urgent work could still take.
func (w *worker) urgentLeft(need job.Resources) float64 {
	return share(w.Capacity.Accelerators-w.urgent.Accelerators-need.Accelerators, w.Capacity.Accelerators)
}

// sideWeight is how strongly work keeps to its side of the fleet, beside best fit.
const sideWeight = 4.0

// bias keeps urgent work, and work that loses little when it is stopped, on one side of
// the fleet, and work that would lose all on the other: the answer to urgent bursts, which
// then stop work that has checkpoints.
func (s *step) bias(w *worker) float64 {
	if s.job.spec.Priority == firstPriority || s.spec.Checkpoints {
		return sideWeight * w.side
	}
	return sideWeight * (1 - w.side)
}

// leastRacks is the smallest fleet that is parted into sides: below it a rack is too
// large a part to be left to urgent work.
const leastRacks = 4

// setSides gives each worker its side, by rack: from zero to one.
func (c *Core) setSides() {
	groups := byRack(c.sorted)
	for i, g := range groups {
		for _, w := range g {
			w.side = 1
			if len(groups) >= leastRacks {
				w.side = float64(i) / float64(len(groups))
			}
		}
	}
}

// leftover is best fit: what would stay free, accelerators first since large tasks need
// whole workers.
func leftover(w *worker, need job.Resources) float64 {
	f := w.free().Minus(need)
	return 4*share(f.Accelerators, w.Capacity.Accelerators) + share(f.MemMB, w.Capacity.MemMB) + 0.5*share(f.CPU, w.Capacity.CPU)
}

func share(part, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
