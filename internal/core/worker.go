package core

import (
	"sort"

	"agatewinch/internal/core/cell"
)

// worker is a machine with the tasks and claims that the core has placed on it.
type worker struct {
	def     Worker
	health  WorkerHealth
	removed bool
	// ready is the result of usable as of the last rebind.
	ready bool
	// reported is true once the worker has listed its tasks or is known to run none.
	reported bool
	held     []*task

	// Sums over held.
	used   uint64
	cpu    int
	memory int64
	slots  int

	claims []*claimPart
	// Sums over claims.
	claimed       uint64
	claimedCPU    int
	claimedMemory int64
	claimedSlots  int

	// nonPreemptibleExcess is what tasks that cannot be preempted use beyond the share of the worker
	// that goes with the guaranteed cells of their own organisation.
	nonPreemptibleExcess workerResources
	// reserved marks the accelerators reserved for the head job.
	reserved uint64

	// bound marks the guaranteed cells of all organisations on this worker, and the
	// configured locations of those that are displaced.
	bound uint64
	// configuredCells is the part of bound that follows from the configuration alone.
	configuredCells uint64
	// stopOverdue marks the accelerators whose tasks have not stopped within reclaimTimeout.
	stopOverdue uint64
	history     workerHistory
}

// usable reports whether the worker takes new tasks.
func (w *worker) usable() bool {
	return w.health == WorkerLive && !w.removed && !w.history.quarantined
}

func (w *worker) width() int { return w.def.Accelerators }

func (w *worker) all() uint64 { return cell.Mask(0, w.def.Accelerators) }

// free returns the accelerators that are neither held nor claimed.
func (w *worker) free() uint64 { return w.all() &^ (w.used | w.claimed) }

// fits reports whether a slot, processor cores and memory are left for a task of shape
// s; it does not check accelerators.
func (w *worker) fits(s Shape) bool {
	return w.slots+w.claimedSlots < w.def.Slots &&
		w.cpu+w.claimedCPU+s.CPU <= w.def.CPU &&
		w.memory+w.claimedMemory+s.MemoryBytes <= w.def.MemoryBytes
}

func (w *worker) add(t *task) {
	w.held = append(w.held, t)
	w.refresh()
}

func (w *worker) remove(t *task) {
	for i, h := range w.held {
		if h == t {
			w.held = append(w.held[:i], w.held[i+1:]...)
			break
		}
	}
	w.refresh()
}

// refresh recomputes the sums over held tasks and claims, and clears stopOverdue on the
// accelerators that no task holds any more.
func (w *worker) refresh() {
	w.used, w.cpu, w.memory, w.slots = 0, 0, 0, 0
	w.nonPreemptibleExcess = workerResources{}
	for _, t := range w.held {
		w.used |= uint64(t.Cell)
		w.cpu += t.shape.CPU
		w.memory += t.shape.MemoryBytes
		w.slots++
		if !t.job.preemptible() {
			w.nonPreemptibleExcess.add(w.excessOverShare(t.job.org, t.shape, uint64(t.Cell)))
		}
	}
	w.stopOverdue &= w.used
	w.claimed, w.claimedCPU, w.claimedMemory, w.claimedSlots = 0, 0, 0, 0
	for _, p := range w.claims {
		w.claimed |= p.cell
		w.claimedCPU += p.shape.CPU
		w.claimedMemory += p.shape.MemoryBytes
		w.claimedSlots++
	}
}

// rack holds the workers of one rack, sorted by ID.
type rack struct {
	id      RackID
	workers []*worker
}

func (c *Core) configure(now Instant, cfg *Config) {
	if c.cfg != nil && cfg.Generation <= c.cfg.Generation {
		return
	}
	c.cfg = cfg
	for _, w := range c.workers {
		w.removed = true
	}
	for _, def := range cfg.Workers {
		if def.Zone != c.opts.Zone {
			continue
		}
		w := c.worker(def.ID)
		w.def = def
		w.removed = false
	}
	c.indexWorkers()
	c.configureOrgs(now)
	c.binding = bindConfigured(cfg, c.opts.Zone)
	c.rebind()
	c.failNeverFitting(now)
}

// worker returns the worker with this ID. An unknown one is added as removed, so that
// it takes no tasks.
func (c *Core) worker(id WorkerID) *worker {
	w, ok := c.workers[id]
	if !ok {
		w = &worker{def: Worker{ID: id}, health: WorkerUnreachable, removed: true}
		c.workers[id] = w
	}
	return w
}

func (c *Core) indexWorkers() {
	c.ordered, c.racks = nil, nil
	for _, w := range c.workers {
		if !w.removed {
			c.ordered = append(c.ordered, w)
		}
	}
	sort.Slice(c.ordered, func(a, b int) bool { return c.ordered[a].def.ID < c.ordered[b].def.ID })
	byID := map[RackID]*rack{}
	c.total = resources{}
	c.maxWidth = 0
	for _, w := range c.ordered {
		r := byID[w.def.Rack]
		if r == nil {
			r = &rack{id: w.def.Rack}
			byID[r.id] = r
			c.racks = append(c.racks, r)
		}
		r.workers = append(r.workers, w)
		c.maxWidth = max(c.maxWidth, w.def.Accelerators)
		c.total.add(resources{w.def.CPU, w.def.MemoryBytes, w.def.Accelerators})
	}
}

func (c *Core) workerChanged(now Instant, e WorkerChanged) {
	w := c.worker(e.Worker)
	if w.health == e.Health {
		return
	}
	before := w.usable()
	w.health = e.Health
	if e.Health == WorkerGone {
		c.workerGone(now, w)
	}
	if before != w.usable() {
		c.rebind()
		c.recordFreedAnywhere()
	}
}

// workerGone handles the confirmation that the worker runs no tasks.
func (c *Core) workerGone(now Instant, w *worker) {
	w.reported = true
	for _, t := range append([]*task(nil), w.held...) {
		c.taskLost(now, t)
	}
}
