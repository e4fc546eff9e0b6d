package bench

import (
	"fmt"

	"agatewinch/internal/config"
)

const (
	zoneCount      = 4
	racksPerZone   = 2
	workersPerRack = 6
)

// guaranteedCells returns the number of cells of 8 accelerators that org is guaranteed in each
// zone.
func guaranteedCells(org string) int {
	if org == orgs[0] || org == orgs[1] {
		return 3
	}
	return 1
}

// urgentQuota returns the number of accelerators that org's urgent work may hold in each zone:
// twice its guarantee.
func urgentQuota(org string) int { return 2 * acceleratorsPerWorker * guaranteedCells(org) }

// Size describes a fleet and its workers.
type Size struct {
	Name string
	// CPU is the number of cores of each worker, and Memory its memory, as in "64GiB".
	CPU    int
	Memory string
	// WorkersPerZone is the number of workers in each zone, workersPerRack to a rack.
	WorkersPerZone int
}

// Sizes returns the fleets of the two deployments, which differ only in their workers' CPU and
// memory.
func Sizes() []Size {
	return []Size{
		{Name: "haneul", CPU: 64, Memory: "128GiB", WorkersPerZone: racksPerZone * workersPerRack},
		{Name: "vatuwaqa", CPU: 32, Memory: "64GiB", WorkersPerZone: racksPerZone * workersPerRack},
	}
}

// Key returns the bench's API key of an organisation; for "" it returns the operators' key.
func Key(org string) string { return "bench-key-" + org }

// Set returns the configuration of a fleet.
func (s Size) Set() config.Set {
	set := config.Set{Classes: []config.Class{
		{Name: classCheck, Urgent: true, Weight: 4},
		{Name: classTesting, Urgent: true, Weight: 4},
		{Name: classReconcile, Checkpoint: true, Weight: 2},
		{Name: classSummary, Checkpoint: true, Weight: 2},
		{Name: classSurvey, Checkpoint: true, Weight: 1},
	}}
	set.Keys = append(set.Keys, config.Key{Name: "operations", Role: config.RoleOperator, SHA256: config.HashKey(Key(""))})
	for _, org := range orgs {
		o := config.Organisation{Name: org, Weight: guaranteedCells(org), Quota: zoneCount * s.WorkersPerZone * 8, UrgentQuota: urgentQuota(org)}
		for z := range zoneCount {
			o.Guarantees = append(o.Guarantees, config.Guarantee{Zone: zoneName(z), Cells: guaranteedCells(org), CellSize: 8})
		}
		set.Organisations = append(set.Organisations, o)
		set.Keys = append(set.Keys, config.Key{Name: org + "-key", Role: config.RoleCaller, Organisation: org, SHA256: config.HashKey(Key(org))})
	}
	for z := range zoneCount {
		set.Racks = append(set.Racks, s.racks(z)...)
	}
	return set
}

func (s Size) racks(zone int) []config.Rack {
	var racks []config.Rack
	for w := range s.WorkersPerZone {
		if w%workersPerRack == 0 {
			racks = append(racks, config.Rack{Name: fmt.Sprintf("%s-r%d", zoneName(zone), len(racks)+1), Zone: zoneName(zone)})
		}
		r := &racks[len(racks)-1]
		r.Workers = append(r.Workers, config.Worker{
			Name: fmt.Sprintf("%s-w%02d", zoneName(zone), w+1), CPU: s.CPU, Memory: s.Memory, Accelerators: 8, Slots: 8,
		})
	}
	return racks
}

func zoneName(z int) string { return fmt.Sprintf("zone-%d", z+1) }
