package dispatch

import (
	"maps"
	"slices"
	"strings"
)

// evacuation says where nothing may start: in the zones that operators have evacuated, or nowhere at
// all while this process cannot know which these are.
type evacuation struct {
	zones map[string]bool
	// changes counts the changes of zones.
	changes int
	held    bool
}

// SetEvacuatedZones sets the zones that operators have evacuated. Nothing starts there and no capacity is
// reserved there; what runs there goes on and keeps its resources.
func (c *Core) SetEvacuatedZones(now Now, zones []string) {
	next := make(map[string]bool, len(zones))
	for _, z := range zones {
		next[z] = true
	}
	if maps.Equal(next, c.evacuation.zones) {
		return
	}
	c.noteZones("zone evacuated", next, c.evacuation.zones)
	c.noteZones("zone no longer evacuated", c.evacuation.zones, next)
	c.evacuation.zones = next
	c.evacuation.changes++
	c.setRackPositions() // the racks kept free for urgent work are a share of those that can be used
	c.placesChanged(now)
}

// HoldStarts sets whether nothing may start anywhere, because this process cannot know which zones are
// evacuated.
func (c *Core) HoldStarts(now Now, held bool) {
	if c.evacuation.held != held {
		c.evacuation.held = held
		c.placesChanged(now)
	}
}

// placesChanged makes the next cycle consider all waiting steps, plans and reservations anew.
func (c *Core) placesChanged(now Now) {
	c.inputsChanged, c.urgentMayStart = true, true
	c.reservationsComputedAt = now.Mono - reservationInterval
}

// noteZones adds a note for each zone in zones that is not in others.
func (c *Core) noteZones(kind string, zones, others map[string]bool) {
	for _, z := range slices.Sorted(maps.Keys(zones)) {
		if !others[z] {
			c.note(Note{Kind: kind, Why: z})
		}
	}
}

// evacuated reports whether w is in an evacuated zone.
func (c *Core) evacuated(w *worker) bool { return c.evacuation.zones[w.Zone] }

// openWorkers returns the workers outside evacuated zones.
func (c *Core) openWorkers() []*worker {
	if len(c.evacuation.zones) == 0 {
		return c.sortedWorkers
	}
	return filter(c.sortedWorkers, func(w *worker) bool { return !c.evacuated(w) })
}

// rackEvacuated reports whether a rack is in an evacuated zone, so that waiting for it is pointless.
func (c *Core) rackEvacuated(rack string) bool {
	return len(c.evacuation.zones) > 0 && slices.ContainsFunc(c.sortedWorkers, func(w *worker) bool { return w.Rack == rack && c.evacuated(w) })
}

// closed reports whether nothing may start on w, because of an evacuation or because starts are held.
func (c *Core) closed(w *worker) bool { return c.evacuation.held || c.evacuated(w) }

// startClosed reports whether r, or another member of its gang, may not start where it was placed.
func (c *Core) startClosed(r *run) bool {
	if !c.evacuation.held && len(c.evacuation.zones) == 0 {
		return false
	}
	return slices.ContainsFunc(gangOf(r), func(m *run) bool { return c.closed(m.worker) })
}

// explainEvacuation adds a note for each step that still waits and that workers of evacuated zones could
// run, once for each change of these zones.
func (c *Core) explainEvacuation(steps []*step) {
	if len(c.evacuation.zones) == 0 {
		return
	}
	why := "zone evacuated: " + strings.Join(slices.Sorted(maps.Keys(c.evacuation.zones)), ", ")
	for _, s := range steps {
		if s.evacuationNoted == c.evacuation.changes || s.plan != nil || !s.hasWaiting() {
			continue
		}
		s.evacuationNoted = c.evacuation.changes
		if slices.ContainsFunc(c.sortedWorkers, func(w *worker) bool { return w.listed && c.evacuated(w) && w.fits(s) }) {
			c.note(Note{Kind: "waiting", Job: s.job.spec.ID, Why: why})
		}
	}
}

// GuaranteeShortfall returns by how many accelerators the guarantees of all organisations together exceed
// the capacity outside the evacuated zones. It is zero while no zone is evacuated.
func (c *Core) GuaranteeShortfall() int64 {
	if len(c.evacuation.zones) == 0 {
		return 0
	}
	missing := int64(0)
	for _, n := range c.guaranteed {
		missing += n
	}
	for _, w := range c.sortedWorkers {
		if w.listed && !w.Draining && !c.evacuated(w) {
			missing -= w.Capacity.Accelerators
		}
	}
	return max(0, missing)
}
