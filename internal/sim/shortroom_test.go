package sim

import (
	"agatewinch/internal/core/job"
	"cmp"
	"slices"
	"strings"
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
	net, wasted, worst, largest := 0.0, 0.0, 0.0, 0.0
	shares := map[string]float64{}
	lost := map[string]float64{}
	for n := range b.N {
		sim, l := overload(uint64(n+1), 1.6)
		rows, share := sim.Results(l)
		for _, row := range rows {
			shares[row.Class] += row.Share / float64(b.N)
		}
		net += share / float64(b.N)
		for k, v := range sim.Lost {
			lost[k] += v / float64(b.N)
		}
		w, lg := sim.parts(l)
		worst += w
		largest += lg
		wasted += sim.Wasted / float64(b.N)
	}
	b.ReportMetric(net, "net")
	b.ReportMetric(worst/float64(b.N), "worst-org")
	b.ReportMetric(largest/float64(b.N), "largest")
	b.ReportMetric(wasted, "wasted-core-s")
	for k, v := range lost {
		b.ReportMetric(v, "lost-"+strings.ReplaceAll(k, " ", "-"))
	}
	for class, share := range shares {
		b.ReportMetric(share, class)
	}
}

// parts returns the share of the value of the worst organisation, and the share of the largest fifth of the
// jobs of each class that is served, relative to all, for the worst class.
func (sim *Simulation) parts(l Load) (worst, largest float64) {
	value, earned := map[string]float64{}, map[string]float64{}
	type row struct {
		size   float64
		served bool
	}
	byClass := map[string][]row{}
	for _, sj := range sim.jobs {
		if sj.cancelled || sj.submittedAt < l.LeadTime || sj.alwaysFails {
			continue
		}
		objective := time.Duration(float64(sj.criticalPath())*sj.class.Stretch) + sj.class.Objective
		elapsed := sj.endedAt - sj.submittedAt
		v := sj.class.Value
		value[sj.job.Org] += v
		served := sj.state == job.Succeeded && elapsed <= lateFactor*objective
		switch {
		case sj.state == job.Succeeded && elapsed <= objective:
			earned[sj.job.Org] += v
		case served:
			earned[sj.job.Org] += sj.class.LateValue
		}
		byClass[sj.class.Name] = append(byClass[sj.class.Name], row{sj.coreSeconds(), served})
	}
	worst, largest = 1, 9
	for o, v := range value {
		worst = min(worst, earned[o]/v)
	}
	for _, rows := range byClass {
		slices.SortFunc(rows, func(a, b row) int { return cmp.Compare(b.size, a.size) })
		n := max(1, len(rows)/10)
		top, all := 0.0, 0.0
		for i, r := range rows {
			if r.served {
				all++
				if i < n {
					top++
				}
			}
		}
		largest = min(largest, top/float64(n)/max(0.01, all/float64(len(rows))))
	}
	return worst, largest
}
