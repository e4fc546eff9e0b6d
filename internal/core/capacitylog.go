package core

import "agatewinch/internal/core/cell"

// capacityLogSize is the number of changes kept. A shape that last failed before the oldest
// of them is tried again.
const capacityLogSize = 64

// capacityLog is a ring buffer of the latest changes that freed capacity. Its version grows
// with each entry. An entry is the worker whose capacity was freed, or nil when it may be any.
type capacityLog struct {
	version uint64
	log     [capacityLogSize]*worker
}

func (c *capacityLog) record(w *worker) {
	c.version++
	c.log[c.version%capacityLogSize] = w
}

// recordFreedAnywhere records that capacity may have grown anywhere, so that every shape is tried
// again.
func (c *Core) recordFreedAnywhere() { c.capacityLog.record(nil) }

// recordFreedOn records that capacity may have grown on one worker.
func (c *Core) recordFreedOn(w *worker) { c.capacityLog.record(w) }

// stillDoesNotFit reports whether j, which did not fit at version failed, cannot fit now
// either: none of the workers that changed since can hold even one of its tasks.
func (c *Core) stillDoesNotFit(failed uint64, j *job) bool {
	if c.capacityLog.version-failed >= capacityLogSize {
		return false
	}
	for v := failed + 1; v <= c.capacityLog.version; v++ {
		w := c.capacityLog.log[v%capacityLogSize]
		if w == nil || c.couldFitTask(w, j) {
			return false
		}
	}
	return true
}

// couldFitTask reports whether w has capacity for a task of j now, or has guaranteed cells of
// j's organisation, which may be reclaimed for it.
func (c *Core) couldFitTask(w *worker, j *job) bool {
	if !w.ready {
		return false
	}
	size := c.taskSize(j.Shape)
	if size > 0 && j.org.bound[w.def.ID] != 0 {
		return true
	}
	if !w.fits(j.Shape) {
		return false
	}
	free := w.free()
	if !j.preemptible() {
		free &^= w.reclaimable(j.org)
	}
	_, ok := cell.FirstFit(free, w.width(), size)
	return ok
}

// knownNotToFit reports whether the group's shape is known not to fit now, so that the
// scheduling cycle skips it.
func (c *Core) knownNotToFit(g *group) bool {
	if g.failedAt == 0 {
		return false
	}
	j := g.first()
	if g.overQuota {
		return g.quotaAt == j.org.releases
	}
	if g.failedAt == c.capacityLog.version {
		return true
	}
	if !c.stillDoesNotFit(g.failedAt, j) {
		return false
	}
	g.failedAt = c.capacityLog.version
	return true
}
