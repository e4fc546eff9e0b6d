package dispatch

import (
	"agatewinch/internal/core/job"
)

// offRackScore is added for workers outside the rack with the data, which ranks them behind all
// workers in it.
const offRackScore = 100

// reservedScore is added for workers whose capacity is reserved for a gang, which ranks them behind all
// others.
const reservedScore = 2 * offRackScore

// acceleratorWeight is the weight of the share of a worker's accelerators that stays unused.
const acceleratorWeight = 4.0

// packWeight is the weight of packing urgent work onto few workers. It exceeds that of best
// fit: urgent gangs that need whole workers can preempt everything but urgent work, so that a
// single urgent task on a worker full of other work would make that worker unusable for them.
const packWeight = 8.0

// score rates w for a task of s; the lowest score is best.
func (s *step) score(w *worker, need job.Resources) float64 {
	score := leftover(w, need) + s.rackPositionScore(w) + s.colocationScore(w) + w.coldScore()
	if s.job.spec.Priority == urgentPriority {
		score += packWeight * w.nonUrgentShare(need)
	}
	return score
}

// nonUrgentShare returns the share of w's accelerators that would not be held by urgent work if
// need were placed for it.
func (w *worker) nonUrgentShare(need job.Resources) float64 {
	return fraction(w.Capacity.Accelerators-w.urgent.Accelerators-need.Accelerators, w.Capacity.Accelerators)
}

// rackPositionWeight is the weight of the rack position relative to that of best fit.
const rackPositionWeight = 4.0

// rackPositionScore separates work by the racks' positions: urgent work and work with
// checkpoints prefer low ones, work that would lose everything when it is stopped prefers high
// ones. A burst of urgent work then preempts mostly work that has checkpoints.
func (s *step) rackPositionScore(w *worker) float64 {
	if s.job.spec.Priority == urgentPriority || s.spec.Checkpoints {
		return rackPositionWeight * w.rackPosition
	}
	return rackPositionWeight * (1 - w.rackPosition)
}

// minRacksForPositions is the least number of racks for which positions are assigned. In a
// smaller fleet one rack is too large a part to be left to urgent work.
const minRacksForPositions = 4

// setRackPositions gives each worker outside evacuated zones the position of its rack, in the order of the
// racks' names, from 0 to below 1; in a fleet of fewer than minRacksForPositions racks all workers have 1.
func (c *Core) setRackPositions() {
	groups := groupByRack(c.openWorkers())
	for i, g := range groups {
		for _, w := range g {
			w.rackPosition = 1
			if len(groups) >= minRacksForPositions {
				w.rackPosition = float64(i) / float64(len(groups))
			}
		}
	}
}

// leftover is the best-fit part of the score: the weighted sum of the shares of w's resources that
// would stay free. Accelerators have the largest weight, because large tasks need whole workers.
func leftover(w *worker, need job.Resources) float64 {
	f := w.free().Minus(need)
	return acceleratorWeight*fraction(f.Accelerators, w.Capacity.Accelerators) + fraction(f.MemMB, w.Capacity.MemMB) + 0.5*fraction(f.CPU, w.Capacity.CPU)
}

func fraction(part, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
