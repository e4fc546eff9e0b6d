package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"agatewinch/internal/core/job"
)

// floodedFleet runs single-task jobs of priority 1 on two workers for twelve seconds, one after another, and
// leaves n waiting.
func floodedFleet(t *testing.T, n int) *harness {
	t.Helper()
	h := newHarness(t)
	h.core.SetWorkers(h.clock(), h.fleet(2, whole))
	h.add(single("flood", 1, 24+n, whole))
	for range 12 {
		running := h.accept()
		h.now += time.Second
		for _, s := range running {
			h.endRun(s, job.EndDone)
		}
	}
	h.accept()
	return h
}

func TestForecastTellsHowLongWaitingWorkTakes(t *testing.T) {
	h := floodedFleet(t, 22)
	lanes := h.core.Forecast(h.clock())
	assert.Equal(t, len(lanes), 1)
	assert.Equal(t, lanes[0].Priority, 1)
	assert.Equal(t, lanes[0].Backlog, 20*whole.Cores()) // two of the 22 run; runs were seen to take a second
	// Two runs of a second end each second; the measurement began twelve seconds ago.
	perSecond := 2 * whole.Cores()
	assert.Assert(t, lanes[0].Drain > 0.6*perSecond && lanes[0].Drain < 1.1*perSecond, "%v", lanes[0].Drain)
	for _, r := range lanes[0].Room {
		assert.Equal(t, r.Free.Accelerators, int64(0))
	}
}

func TestNoForecastWithoutWaitingWork(t *testing.T) {
	assert.Equal(t, len(floodedFleet(t, 0).core.Forecast(Now{Mono: 20 * time.Second})), 0)
}

// A new leader has not seen how fast work drains.
func TestLeaderMakesNoForecastBeforeItHasMeasuredTheTraffic(t *testing.T) {
	h := newHarness(t)
	h.core.SetWorkers(h.clock(), h.fleet(1, whole))
	h.add(single("flood", 1, 50, whole))
	running := h.accept()
	h.now += time.Second
	h.endRun(running[0], job.EndDone)
	assert.Equal(t, len(h.core.Forecast(h.clock())), 0)
}

func TestWorkOfLessUrgentLanesWaitsForThatOfTheOthers(t *testing.T) {
	h := floodedFleet(t, 22)
	done := h.core.traffic.done["service"].rate(h.now)
	h.core.traffic.arrived[lane{"service", 1}] = &flow{sum: done / 2 * hazardMemory.Seconds(), at: h.now}
	h.add(single("low", 2, 10, whole))
	h.add(single("urgent", urgentPriority, 2, one))
	lanes := h.core.Forecast(h.clock())
	assert.Equal(t, len(lanes), 2)
	assert.Assert(t, lanes[1].Backlog > lanes[0].Backlog)
	assert.Assert(t, lanes[1].Drain < lanes[0].Drain, "work of priority 1 still arrives")
}
