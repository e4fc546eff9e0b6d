package core

import (
	"sort"

	"agatewinch/internal/core/cell"
)

// boundPart is the accelerators of one worker that belong to a guaranteed cell.
type boundPart struct {
	worker WorkerID
	cell   uint64
}

// boundCell is one guaranteed cell and the place that it is bound to. Parts is empty
// when there is no place.
type boundCell struct {
	org   OrgID
	size  int
	parts []boundPart
}

// site is a worker as the binding sees it.
type site struct {
	def   Worker
	free  uint64
	cells int
}

func (s *site) whole() bool {
	return s.free == cell.Mask(0, s.def.Accelerators) && s.cells < s.def.Slots
}

// bindHomes binds every guaranteed cell of a zone to a place. It is a pure function of
// the configuration: large cells first, then by organisation, each in the smallest
// block that holds it, so that every host computes the same places. Buddy allocation
// in that order is exact where sizes and workers are powers of two.
func bindHomes(cfg *Config, zone ZoneID) []boundCell {
	cells := guaranteedCells(cfg, zone)
	sites := sitesOf(cfg, zone)
	width := widest(sites)
	for i := range cells {
		cells[i].parts = bindOne(sites, width, cells[i].size)
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

func sitesOf(cfg *Config, zone ZoneID) []*site {
	var sites []*site
	for _, w := range cfg.Workers {
		if w.Zone == zone && w.Accelerators > 0 {
			sites = append(sites, &site{def: w, free: cell.Mask(0, w.Accelerators)})
		}
	}
	sort.Slice(sites, func(a, b int) bool { return sites[a].def.ID < sites[b].def.ID })
	return sites
}

func widest(sites []*site) int {
	width := 0
	for _, s := range sites {
		width = max(width, s.def.Accelerators)
	}
	return width
}

// bindOne takes the best place for a cell out of sites; nil when there is none.
func bindOne(sites []*site, width, size int) []boundPart {
	if size > width {
		return bindRack(sites, width, (size+width-1)/max(width, 1))
	}
	var best *site
	var bestMask uint64
	bestBlock := cell.MaxWidth + 1
	for _, s := range sites {
		if s.cells >= s.def.Slots {
			continue
		}
		if m, block, ok := cell.BestFit(s.free, s.def.Accelerators, size); ok && block < bestBlock {
			best, bestMask, bestBlock = s, m, block
		}
	}
	if best == nil {
		return nil
	}
	best.free &^= bestMask
	best.cells++
	return []boundPart{{best.def.ID, bestMask}}
}

// bindRack takes n whole workers of one rack, the rack with the fewest that has enough.
func bindRack(sites []*site, width, n int) []boundPart {
	byRack := map[RackID][]*site{}
	var racks []RackID
	for _, s := range sites {
		if s.def.Accelerators != width || !s.whole() {
			continue
		}
		if byRack[s.def.Rack] == nil {
			racks = append(racks, s.def.Rack)
		}
		byRack[s.def.Rack] = append(byRack[s.def.Rack], s)
	}
	var best []*site
	for _, r := range racks {
		if whole := byRack[r]; len(whole) >= n && n > 0 && (best == nil || len(whole) < len(best)) {
			best = whole
		}
	}
	if best == nil {
		return nil
	}
	var parts []boundPart
	for _, s := range best[:n] {
		parts = append(parts, boundPart{s.def.ID, s.free})
		s.free = 0
		s.cells++
	}
	return parts
}

// rebind works out where each guaranteed cell is now: at home, or in another place
// while the home's worker takes no tasks or a task there does not stop. Homes stay
// protected while they are left.
func (c *Core) rebind() {
	for _, w := range c.workers {
		w.bound, w.homes = 0, 0
	}
	c.listLive()
	for _, o := range c.orgOrder {
		o.bound = map[WorkerID]uint64{}
		o.boundWorkers = nil
		o.guaranteed = 0
	}
	c.displaced = 0
	c.protectHomes()
	var away []boundCell
	for _, b := range c.binding {
		if c.atHome(b) {
			c.giveTo(b.org, b.parts)
			continue
		}
		away = append(away, b)
	}
	c.displaced = len(away)
	for _, b := range away {
		c.giveTo(b.org, c.substitute(b))
	}
	for _, w := range c.workers {
		w.refresh()
	}
	c.freed()
}

func (c *Core) protectHomes() {
	for _, b := range c.binding {
		for _, p := range b.parts {
			w := c.worker(p.worker)
			w.bound |= p.cell
			w.homes |= p.cell
		}
	}
}

// giveTo lets the organisation reclaim the place.
func (c *Core) giveTo(id OrgID, parts []boundPart) {
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

func (c *Core) atHome(b boundCell) bool {
	for _, p := range b.parts {
		w := c.worker(p.worker)
		if !w.usable() || p.cell&(w.slow|w.unstoppableBy(b.org)) != 0 {
			return false
		}
	}
	return len(b.parts) > 0
}

// substitute finds another place among the cells that are nobody's.
func (c *Core) substitute(b boundCell) []boundPart {
	var sites []*site
	for _, w := range c.ordered {
		if w.usable() && w.def.Accelerators > 0 {
			free := w.all() &^ (w.bound | w.slow | w.unstoppableBy(b.org))
			sites = append(sites, &site{def: w.def, free: free})
		}
	}
	return bindOne(sites, c.width, b.size)
}

// unstoppableBy returns the accelerators held by tasks of organisations other than id
// that cannot be stopped.
func (w *worker) unstoppableBy(id OrgID) uint64 {
	var m uint64
	for _, t := range w.held {
		if t.job.Org != id && !t.job.stoppable() {
			m |= uint64(t.Cell)
		}
	}
	return m
}

// listLive lists the workers that take new tasks.
func (c *Core) listLive() {
	c.live, c.accelerated = nil, nil
	for _, w := range c.workers {
		w.ready = w.usable()
	}
	for _, w := range c.ordered {
		if !w.ready {
			continue
		}
		c.live = append(c.live, w)
		if w.def.Accelerators > 0 {
			c.accelerated = append(c.accelerated, w)
		}
	}
}
