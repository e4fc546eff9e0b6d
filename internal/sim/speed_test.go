package sim

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"agatewinch/internal/core/job"
)

// mixedFleet returns 48 workers of which each nth takes 1.6 times as long as the others, or none if n is
// zero.
func mixedFleet(capacity job.Resources, n int) []*Worker {
	workers := Fleet(48, capacity)
	for i, w := range workers {
		w.RunTimeFactor = 1
		if n > 0 && i%n == n-1 {
			w.RunTimeFactor = 1.6
		}
	}
	return workers
}

// inTime returns the share of the jobs of each class that meet their objective on a fleet, over several
// seeds.
func inTime(s Site, scale float64, n int, f Faults) map[string]float64 {
	met, submitted := map[string]int{}, map[string]int{}
	for seed := uint64(1); seed <= 8; seed++ {
		sim := New(seed, s.Settings, mixedFleet(s.Capacity, n))
		sim.Faults = f
		l := Load{Classes: s.Classes, Duration: 34 * time.Second, Scale: scale, LeadTime: 5 * time.Second}
		sim.Submit(l)
		sim.Run(70 * time.Second)
		rows, _ := sim.Results(l)
		for _, r := range rows {
			met[r.Class] += r.InTime
			submitted[r.Class] += r.Submitted
		}
	}
	share := map[string]float64{}
	for class, k := range submitted {
		share[class] = float64(met[class]) / float64(k)
	}
	return share
}

// Urgent work has little time to spare. While the fast workers can hold it, a quarter of slow ones must
// cost less than a quarter of what a fleet of slow ones does.
func TestUrgentWorkIsKeptOffTheSlowWorkersOfAFleet(t *testing.T) {
	site := Launches()
	urgent := site.Classes[1].Name
	fast, mixed, slow := inTime(site, 0.4, 0, Faults{}), inTime(site, 0.4, 4, Faults{}), inTime(site, 0.4, 1, Faults{})
	t.Logf("all fast %v, a quarter slow %v, all slow %v", fast, mixed, slow)
	assert.Assert(t, mixed[urgent] > fast[urgent]-0.25*(fast[urgent]-slow[urgent]), "urgent in time: %.3f all fast, %.3f a quarter slow, %.3f all slow", fast[urgent], mixed[urgent], slow[urgent])
}
