package capacity

import (
	"fmt"
	"maps"

	"agatewinch/internal/bench"
	"agatewinch/internal/config"
)

// Step is a measurement of one cluster with given sizes.
type Step struct {
	Name   string
	Factor Factor
	Sizes  map[Factor]float64
	// Filled makes each running job take the accelerators of a whole worker. There is one such
	// job for every worker, so that further jobs wait.
	Filled bool
}

// Base returns the sizes of the base measurements, from which each series varies one factor.
// Estimates start from the costs at these sizes.
func Base() map[Factor]float64 {
	return map[Factor]float64{Workers: 48, Running: 0, Waiting: 0, Orgs: 4, Changes: 0, EntryHosts: 2}
}

// Design returns the sizes to design for, as seen from one availability zone of five. The
// configuration changes 1200 times a day.
func Design() map[Factor]float64 {
	return map[Factor]float64{Workers: 92, Running: 440, Waiting: 50, Orgs: 59, Changes: 1200.0 / 86400, EntryHosts: 9}
}

// CheckFactor marks the measurement at the design size, which is not used for slopes.
const CheckFactor Factor = "design"

// Steps returns the measurements: the base twice, each factor alone at two or three
// sizes, and the design size as a check of the estimates. The series of waiting jobs fills
// every worker with a running job.
func Steps() []Step {
	steps := []Step{{Name: "base-1", Factor: Workers, Sizes: Base()}, {Name: "base-2", Factor: Workers, Sizes: Base()}}
	vary := func(f Factor, filled bool, values ...float64) {
		for _, v := range values {
			sizes := maps.Clone(Base())
			sizes[f] = v
			if filled {
				sizes[Running] = sizes[Workers]
			}
			steps = append(steps, Step{Name: fmt.Sprintf("%s-%g", f, v), Factor: f, Sizes: sizes, Filled: filled})
		}
	}
	vary(Workers, false, 12, 96)
	vary(Running, false, 0, 192, 384)
	vary(Waiting, true, 0, 2000, 8000)
	vary(Orgs, false, 4, 30, 59)
	vary(Changes, false, 0, 2, 10)
	vary(EntryHosts, false, 2, 5, 9)
	return append(steps, Step{Name: "design", Factor: CheckFactor, Sizes: Design()})
}

// FindStep returns the step with the given name.
func FindStep(name string) (Step, bool) {
	for _, s := range Steps() {
		if s.Name == name {
			return s, true
		}
	}
	return Step{}, false
}

const (
	firstZone      = "zone-1"
	otherZones     = 4
	workersPerRack = 6
)

// hostZones returns the zone of each entry host: the first two are in the measured zone, the
// others are spread over the other zones.
func (s Step) hostZones() []string {
	zones := []string{firstZone, firstZone}
	for i := range int(s.Sizes[EntryHosts]) - len(zones) {
		zones = append(zones, fmt.Sprintf("zone-%d", 2+i%otherZones))
	}
	return zones
}

// OrgName returns the name of organisation i; the first is 0.
func OrgName(i int) string { return fmt.Sprintf("org-%02d", i) }

// Set returns the step's configuration. All its workers are in the first zone.
func (s Step) Set() config.Set {
	set := config.Set{
		Classes: []config.Class{{Name: "long", Checkpoint: true, Weight: 1}},
		Keys:    []config.Key{{Name: "operations", Role: config.RoleOperator, SHA256: config.HashKey(bench.Key(""))}},
	}
	for i := range int(s.Sizes[Orgs]) {
		name := OrgName(i)
		set.Organisations = append(set.Organisations, config.Organisation{Name: name, Weight: 1, MaxQueued: 100000})
		set.Keys = append(set.Keys, config.Key{Name: name + "-key", Role: config.RoleCaller, Organisation: name, SHA256: config.HashKey(bench.Key(name))})
	}
	for w := range int(s.Sizes[Workers]) {
		if w%workersPerRack == 0 {
			set.Racks = append(set.Racks, config.Rack{Name: fmt.Sprintf("r%02d", w/workersPerRack), Zone: firstZone})
		}
		r := &set.Racks[len(set.Racks)-1]
		r.Workers = append(r.Workers, config.Worker{Name: fmt.Sprintf("w%03d", w), CPU: 64, Memory: "128GiB", Accelerators: 8, Slots: 8})
	}
	return set
}
