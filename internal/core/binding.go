package core

import (
	"sort"

	"agatewinch/internal/core/cell"
)

// boundPart holds the accelerators of one worker that belong to a guaranteed cell.
type boundPart struct {
	worker WorkerID
	cell   uint64
}

// boundCell is one guaranteed cell and its configured location, the accelerators that the
// configuration alone binds it to. The parts are empty when it fits nowhere.
type boundCell struct {
	org   OrgID
	size  int
	parts []boundPart
}

// bindableWorker is a worker with the accelerators that may still be bound.
type bindableWorker struct {
	def  Worker
	free uint64
	// cells counts the cells bound here, each of which takes a slot.
	cells int
}

func (w *bindableWorker) empty() bool {
	return w.free == cell.Mask(0, w.def.Accelerators) && w.cells < w.def.Slots
}

// bindConfigured computes the configured location of every guaranteed cell of a zone. It is a pure
// function of the configuration, so that every host computes the same locations: large cells
// first, then by organisation, each in the smallest free block that holds it. Buddy allocation in
// that order is exact where sizes and workers are powers of two.
func bindConfigured(cfg *Config, zone ZoneID) []boundCell {
	cells := guaranteedCells(cfg, zone)
	workers := bindableWorkers(cfg, zone)
	width := widest(workers)
	for i := range cells {
		cells[i].parts = bindCell(workers, width, cells[i].size)
	}
	return cells
}

// guaranteedCells lists the zone's guaranteed cells in the order of binding.
func guaranteedCells(cfg *Config, zone ZoneID) []boundCell {
	var cells []boundCell
	for _, o := range cfg.Organisations {
		for _, g := range o.Guarantees {
			if g.Zone != zone || g.CellSize <= 0 {
				continue
			}
			for range g.Cells {
				cells = append(cells, boundCell{org: o.ID, size: g.CellSize})
			}
		}
	}
	sort.SliceStable(cells, func(a, b int) bool {
		if cells[a].size != cells[b].size {
			return cells[a].size > cells[b].size
		}
		return cells[a].org < cells[b].org
	})
	return cells
}

func bindableWorkers(cfg *Config, zone ZoneID) []*bindableWorker {
	var workers []*bindableWorker
	for _, w := range cfg.Workers {
		if w.Zone == zone && w.Accelerators > 0 {
			workers = append(workers, &bindableWorker{def: w, free: cell.Mask(0, w.Accelerators)})
		}
	}
	sort.Slice(workers, func(a, b int) bool { return workers[a].def.ID < workers[b].def.ID })
	return workers
}

func widest(workers []*bindableWorker) int {
	width := 0
	for _, w := range workers {
		width = max(width, w.def.Accelerators)
	}
	return width
}

// bindCell finds a location for a cell and marks it as taken: the smallest free block that holds
// the cell, or whole workers of one rack for a cell wider than a worker; nil when there is none.
func bindCell(workers []*bindableWorker, width, size int) []boundPart {
	if size > width {
		return bindInRack(workers, width, (size+width-1)/max(width, 1))
	}
	var best *bindableWorker
	var bestMask uint64
	bestBlock := cell.MaxWidth + 1
	for _, w := range workers {
		if w.cells >= w.def.Slots {
			continue
		}
		if m, block, ok := cell.BestFit(w.free, w.def.Accelerators, size); ok && block < bestBlock {
			best, bestMask, bestBlock = w, m, block
		}
	}
	if best == nil {
		return nil
	}
	best.free &^= bestMask
	best.cells++
	return []boundPart{{best.def.ID, bestMask}}
}

// bindInRack takes n empty workers of one rack: of the racks that have enough, the one with the
// fewest empty workers.
func bindInRack(workers []*bindableWorker, width, n int) []boundPart {
	byRack := map[RackID][]*bindableWorker{}
	var racks []RackID
	for _, w := range workers {
		if w.def.Accelerators != width || !w.empty() {
			continue
		}
		if byRack[w.def.Rack] == nil {
			racks = append(racks, w.def.Rack)
		}
		byRack[w.def.Rack] = append(byRack[w.def.Rack], w)
	}
	var best []*bindableWorker
	for _, r := range racks {
		if empty := byRack[r]; len(empty) >= n && n > 0 && (best == nil || len(empty) < len(best)) {
			best = empty
		}
	}
	if best == nil {
		return nil
	}
	var parts []boundPart
	for _, w := range best[:n] {
		parts = append(parts, boundPart{w.def.ID, w.free})
		w.free = 0
		w.cells++
	}
	return parts
}

// rebind binds each guaranteed cell to its configured location. A cell is displaced, and bound to a
// substitute location if there is one, while a worker of its configured location takes no tasks, or
// a task there does not stop or belongs to another organisation and cannot be preempted.
// Configured locations stay protected from work that cannot be preempted while their cells are
// bound elsewhere.
func (c *Core) rebind() {
	for _, w := range c.workers {
		w.bound, w.configuredCells = 0, 0
	}
	c.updateUsableWorkers()
	for _, o := range c.orgOrder {
		o.bound = map[WorkerID]uint64{}
		o.boundWorkers = nil
		o.guaranteed = 0
	}
	c.displaced = 0
	c.markConfiguredCells()
	var displaced []boundCell
	for _, b := range c.binding {
		if c.atConfiguredLocation(b) {
			c.bindTo(b.org, b.parts)
			continue
		}
		displaced = append(displaced, b)
	}
	c.displaced = len(displaced)
	for _, b := range displaced {
		c.bindTo(b.org, c.substituteLocation(b))
	}
	for _, w := range c.workers {
		w.refresh()
	}
	c.recordFreedAnywhere()
}

func (c *Core) markConfiguredCells() {
	for _, b := range c.binding {
		for _, p := range b.parts {
			w := c.worker(p.worker)
			w.bound |= p.cell
			w.configuredCells |= p.cell
		}
	}
}

// bindTo binds the accelerators to the organisation, which may then reclaim them.
func (c *Core) bindTo(id OrgID, parts []boundPart) {
	o := c.org(id)
	for _, p := range parts {
		w := c.worker(p.worker)
		w.bound |= p.cell
		if o.bound[p.worker] == 0 {
			o.boundWorkers = append(o.boundWorkers, w)
		}
		o.bound[p.worker] |= p.cell
		o.guaranteed += cell.Count(p.cell)
	}
}

// atConfiguredLocation reports whether the cell can be bound to its configured location.
func (c *Core) atConfiguredLocation(b boundCell) bool {
	for _, p := range b.parts {
		w := c.worker(p.worker)
		if !w.usable() || p.cell&(w.stopOverdue|w.nonPreemptibleOfOthers(b.org)) != 0 {
			return false
		}
	}
	return len(b.parts) > 0
}

// substituteLocation finds accelerators for a displaced cell that are bound to no
// organisation and can be cleared of tasks.
func (c *Core) substituteLocation(b boundCell) []boundPart {
	var workers []*bindableWorker
	for _, w := range c.ordered {
		if w.usable() && w.def.Accelerators > 0 {
			free := w.all() &^ (w.bound | w.stopOverdue | w.nonPreemptibleOfOthers(b.org))
			workers = append(workers, &bindableWorker{def: w.def, free: free})
		}
	}
	return bindCell(workers, c.maxWidth, b.size)
}

// nonPreemptibleOfOthers returns the accelerators held by tasks of organisations other than
// id that cannot be preempted.
func (w *worker) nonPreemptibleOfOthers(id OrgID) uint64 {
	var m uint64
	for _, t := range w.held {
		if t.job.Org != id && !t.job.preemptible() {
			m |= uint64(t.Cell)
		}
	}
	return m
}

// updateUsableWorkers lists the workers that take new tasks, and those of them with accelerators.
func (c *Core) updateUsableWorkers() {
	c.usableWorkers, c.acceleratorWorkers = nil, nil
	for _, w := range c.workers {
		w.ready = w.usable()
	}
	for _, w := range c.ordered {
		if !w.ready {
			continue
		}
		c.usableWorkers = append(c.usableWorkers, w)
		if w.def.Accelerators > 0 {
			c.acceleratorWorkers = append(c.acceleratorWorkers, w)
		}
	}
}
