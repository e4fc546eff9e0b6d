package dispatch

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A fleet of hundreds of workers makes cycles expensive. They must leave time for the renewal of
// leases, also while urgent jobs arrive all the time.
func TestExpensiveCyclesTakeABoundedShareOfTheTime(t *testing.T) {
	h := newHarness(t)
	h.core.SetWorkers(h.clock(), h.fleet(2, whole))
	const cost = 30 * time.Millisecond
	cycles := 0
	for i := range 1000 {
		h.core.AddJob(h.clock(), single(fmt.Sprintf("j%d", i), urgentPriority, 1, whole), nil)
		if a := h.core.TakeActions(h.clock()); a.Scheduled {
			cycles++
			h.core.CycleTook(cost)
			h.now += cost
			continue
		}
		assert.Assert(t, h.core.Wake() > h.now, "a wake-up in the past would make the caller spin")
		h.now += time.Millisecond
	}
	spent := time.Duration(cycles) * cost
	assert.Assert(t, float64(spent) <= 1.1*maxCycleShare*float64(h.now), "%d cycles in %v", cycles, h.now)
	assert.Assert(t, float64(spent) >= 0.5*maxCycleShare*float64(h.now), "%d cycles in %v", cycles, h.now)
}

// Between two full cycles of a long queue only urgent work is considered; the rest follows soon.
func TestUrgentWorkStartsBetweenFullCyclesOfALongQueue(t *testing.T) {
	h := newHarness(t)
	h.core.SetWorkers(h.clock(), h.fleet(1, whole))
	h.add(single("busy", 1, 6, one))
	for i := range largeBacklog {
		h.add(single(fmt.Sprintf("waiting%d", i), 2, 2, whole))
	}
	h.now += minCycleInterval
	h.core.AddJob(h.clock(), single("low", 1, 1, one), nil)
	h.flush()
	h.now += time.Millisecond
	h.accept()
	h.core.AddJob(h.clock(), single("low again", 1, 1, one), nil)
	h.core.AddJob(h.clock(), single("urgent", urgentPriority, 1, one), nil)
	h.flush()
	assert.Equal(t, len(h.starts), 1)
	assert.Equal(t, h.starts[0].Task.Job, "urgent")
	assert.Assert(t, h.core.Wake() > 0 && h.core.Wake() <= h.now+minCycleInterval)
	h.accept()
}

// The search for runs to stop considers only changed workers again. It has to choose as the plain
// search does, which looks at every worker for each task.
func TestEvictionOfManyTasksCountsWhatEarlierVictimsFree(t *testing.T) {
	h := newHarness(t)
	h.core.SetWorkers(h.clock(), h.fleet(6, whole))
	victims := gang("victims", 2, 6, one)
	victims.Steps[0].MaxPerWorker = 1
	h.add(victims)
	h.add(single("others", 2, 42, one))
	assert.Equal(t, len(h.accept()), 48)
	h.now += time.Second
	h.add(gang("urgent", urgentPriority, 3, whole))
	stopped := map[string]int{}
	for _, s := range h.stops {
		stopped[s.Task.Job]++
	}
	// Three whole workers are cleared. The gang ends with its first member, on all six.
	assert.DeepEqual(t, stopped, map[string]int{"victims": 6, "others": 21})
}
