package sim

import (
	"maps"
	"slices"
	"time"

	"agatewinch/internal/core/dispatch"
)

const (
	// evacuationDuration is how long an evacuation lasts, and evacuationZones the number of zones that the
	// racks are dealt to where zones are evacuated.
	evacuationDuration = 5 * time.Second
	evacuationZones    = 3
)

// assignZones deals the racks to zones.
func (sim *Simulation) assignZones() {
	zones := map[string]string{}
	for _, w := range sim.Workers {
		if _, ok := zones[w.Info.Rack]; !ok {
			zones[w.Info.Rack] = string(rune('a' + len(zones)%evacuationZones))
		}
		w.Info.Zone = zones[w.Info.Rack]
	}
}

// evacuate evacuates the zone of a random worker for evacuationDuration. The leader knows at once.
func (sim *Simulation) evacuate() {
	zone := sim.Workers[sim.rand.IntN(len(sim.Workers))].Info.Zone
	sim.evacuated[zone]++
	sim.leader.core.SetEvacuatedZones(sim.clock(), sim.evacuatedZones())
	sim.schedule(evacuationDuration, func() {
		if sim.evacuated[zone]--; sim.evacuated[zone] == 0 {
			delete(sim.evacuated, zone)
		}
		sim.leader.core.SetEvacuatedZones(sim.clock(), sim.evacuatedZones())
	})
}

func (sim *Simulation) evacuatedZones() []string { return slices.Sorted(maps.Keys(sim.evacuated)) }

// checkZone records a violation if the leader sends a start to an evacuated zone.
func (sim *Simulation) checkZone(s dispatch.Start) {
	if sim.evacuated[s.Zone] > 0 {
		sim.addViolation("task %v run %d is sent to %s in the evacuated zone %s", s.Task, s.Run, s.Worker, s.Zone)
	}
}
