package sim

import (
	"testing"
	"time"
)

// overload runs the logger analytics site on a fleet of 160 workers with bursts beyond its capacity.
func overload(seed uint64, scale float64) (*Simulation, Load) {
	site := Loggers()
	sim := New(seed, site.Settings, FleetInRacks(160, 20, site.Capacity))
	l := Load{Classes: site.Classes, Bursts: []Burst{
		{site.Classes[1].Name, 500 * time.Millisecond, 6 * time.Second, 2}, {site.Classes[2].Name, 2300 * time.Millisecond, 6500 * time.Millisecond, 2.3},
	}, Duration: 36 * time.Second, Scale: scale, LeadTime: 5 * time.Second}
	sim.Submit(l)
	sim.Run(58 * time.Second)
	return sim, l
}

// BenchmarkOverload reports the net share of the value, that of each class, and the wasted work, as means
// over the seeds from 1 to b.N.
func BenchmarkOverload(b *testing.B) {
	net, wasted := 0.0, 0.0
	shares := map[string]float64{}
	for n := range b.N {
		sim, l := overload(uint64(n+1), 1.1)
		rows, share := sim.Results(l)
		for _, row := range rows {
			shares[row.Class] += row.Share / float64(b.N)
		}
		net += share / float64(b.N)
		wasted += sim.Wasted / float64(b.N)
	}
	b.ReportMetric(net, "net")
	b.ReportMetric(wasted, "wasted-core-s")
	for class, share := range shares {
		b.ReportMetric(share, class)
	}
}
