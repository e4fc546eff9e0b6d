package sim

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// simulate runs a load on a fleet of 48 workers for 70 s: new jobs arrive from 5 s to 39 s and have
// until 70 s to finish.
func simulate(seed uint64, s Site, scale float64, bursts []Burst, f Faults) (*Simulation, Load) {
	sim := New(seed, s.Settings, Fleet(48, s.Capacity))
	sim.Faults = f
	l := Load{Classes: s.Classes, Bursts: bursts, Duration: 34 * time.Second, Scale: scale, LeadTime: 5 * time.Second}
	sim.Submit(l)
	sim.Run(70 * time.Second)
	return sim, l
}

// TestInvariantsHoldUnderFaults runs the real dispatch core under lost answers, late orders,
// takeovers, crashes, partitions and evacuations: no task has two runs at a time, none starts after it
// was recorded as done or in an evacuated zone, and no worker exceeds its capacity.
func TestInvariantsHoldUnderFaults(t *testing.T) {
	faults := map[string]Faults{
		"none":        {},
		"lost":        {LostAnswer: 0.1},
		"late":        {Late: 0.06},
		"takeovers":   {Takeover: 4 * time.Second},
		"crashes":     {Crash: 3 * time.Second},
		"partitions":  {Partition: 3 * time.Second},
		"slow":        {Slow: time.Second},
		"evacuations": {Evacuation: 3 * time.Second, Takeover: 4 * time.Second},
		"all":         {LostAnswer: 0.05, Late: 0.04, Takeover: 6 * time.Second, Crash: 5 * time.Second, Partition: 5 * time.Second, Slow: 3 * time.Second, Evacuation: 5 * time.Second},
	}
	for name, f := range faults {
		for seed := uint64(1); seed <= 6; seed++ {
			t.Run(fmt.Sprintf("%s/%d", name, seed), func(t *testing.T) {
				t.Parallel()
				site := Launches()
				if seed%2 == 0 {
					site = Leadline()
				}
				sim, _ := simulate(seed, site, 0.8, nil, f)
				assert.Equal(t, len(sim.Violations), 0, "first violations: %v", first(sim.Violations, 5))
				assert.Assert(t, sim.Runs > 100, "only %d runs started", sim.Runs)
			})
		}
	}
}

func first(lines []string, n int) []string { return lines[:min(n, len(lines))] }

// TestEveryJobEndsOnceCallsAreReliable loses answers and delays orders for the first 70 s. All
// jobs that were not cancelled must have ended by 160 s. Takeovers and crashes continue until
// then, because each one schedules the next.
func TestEveryJobEndsOnceCallsAreReliable(t *testing.T) {
	for seed := uint64(1); seed <= 6; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			sim, _ := simulate(seed, Launches(), 0.4, nil, Faults{LostAnswer: 0.05, Late: 0.03, Takeover: 9 * time.Second, Crash: 9 * time.Second})
			sim.Faults = Faults{}
			sim.Run(160 * time.Second)
			for id, sj := range sim.jobs {
				assert.Assert(t, sj.state != "" || sj.cancelled, "job %s of class %s has not ended", id, sj.class.Name)
			}
		})
	}
}

// BenchmarkPolicy reports the results of the dispatch core at three loads: the net share of the
// value, the share of each class, and the wasted work.
func BenchmarkPolicy(b *testing.B) {
	for name, site := range map[string]Site{"launches": Launches(), "leadline": Leadline()} {
		for _, scale := range []float64{0.6, 1, 1.2} {
			b.Run(fmt.Sprintf("%s/%.1f", name, scale), func(b *testing.B) {
				net, wasted := 0.0, 0.0
				shares := map[string]float64{}
				for n := range b.N {
					sim, l := simulate(uint64(n+1), site, scale, []Burst{{site.Classes[1].Name, 2 * time.Second, 6 * time.Second, 2}, {site.Classes[2].Name, 3 * time.Second, 5 * time.Second, 2.3}}, Faults{})
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
			})
		}
	}
}

// BenchmarkDecide simulates the sites after their growth to 350 workers, with bursts beyond
// their capacity. A CPU profile shows how much of the time the dispatch core takes.
func BenchmarkDecide(b *testing.B) {
	for name, site := range map[string]Site{"launches": Launches(), "leadline": Leadline()} {
		b.Run(name, func(b *testing.B) {
			scaled := site.Scaled(3.5, 2.5)
			for n := range b.N {
				sim := New(uint64(n+1), scaled.Settings, Fleet(350, scaled.Capacity))
				l := Load{Classes: scaled.Classes, Bursts: []Burst{{scaled.Classes[1].Name, 2 * time.Second, 6 * time.Second, 2}, {scaled.Classes[2].Name, 3 * time.Second, 5 * time.Second, 2}}, Duration: 30 * time.Second, Scale: 1, LeadTime: 5 * time.Second}
				sim.Submit(l)
				sim.Run(40 * time.Second)
				b.ReportMetric(float64(sim.Runs), "runs")
			}
		})
	}
}
