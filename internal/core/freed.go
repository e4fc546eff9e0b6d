package core

import "agatewinch/internal/core/cell"

// freedKept bounds the changes that are remembered one by one.
const freedKept = 64

// changes is the log of capacity that was freed. Its version grows with each entry; an
// entry is the worker concerned, or nil when any may be.
type changes struct {
	version uint64
	log     [freedKept]*worker
}

func (c *changes) add(w *worker) {
	c.version++
	c.log[c.version%freedKept] = w
}

// freed notes that capacity may have grown anywhere, so that every shape is tried again.
func (c *Core) freed() { c.changes.add(nil) }

// freedOn notes that capacity may have grown on one worker.
func (c *Core) freedOn(w *worker) { c.changes.add(w) }

// stillFails reports whether j, which did not fit at version failed, cannot fit now
// either: none of the workers that changed since can hold even one of its tasks.
func (c *Core) stillFails(failed uint64, j *job) bool {
	if c.changes.version-failed >= freedKept {
		return false
	}
	for v := failed + 1; v <= c.changes.version; v++ {
		w := c.changes.log[v%freedKept]
		if w == nil || c.mayHelp(w, j) {
			return false
		}
	}
	return true
}

// mayHelp reports whether w can hold a task of j, or one of j's organisation's cells.
func (c *Core) mayHelp(w *worker, j *job) bool {
	if !w.ready {
		return false
	}
	size := c.partSize(j.Shape)
	if size > 0 && j.org.bound[w.def.ID] != 0 {
		return true
	}
	if !w.room(j.Shape) {
		return false
	}
	free := w.free()
	if !j.stoppable() {
		free &^= w.reclaimable(j.org)
	}
	_, ok := cell.FirstFit(free, w.width(), size)
	return ok
}

// passedOver reports whether the group's shape is known not to fit now.
func (c *Core) passedOver(g *group) bool {
	if g.failedAt == 0 {
		return false
	}
	j := g.first()
	if g.overQuota {
		return g.quotaAt == j.org.released
	}
	if g.failedAt == c.changes.version {
		return true
	}
	if !c.stillFails(g.failedAt, j) {
		return false
	}
	g.failedAt = c.changes.version
	return true
}
