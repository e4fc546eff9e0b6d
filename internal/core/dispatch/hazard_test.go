package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"agatewinch/internal/core/job"
)

// startsAfterABurst fills a fleet with work of low priority, preempts most of it for an urgent job and
// then lets a part of the urgent job end. It returns how many tasks of low priority start there at
// once, and how many have started after a calm time.
func startsAfterABurst(t *testing.T, checkpoints bool) (atOnce, whenCalm int) {
	t.Helper()
	h := newHarness(t)
	h.core.SetWorkers(h.clock(), h.fleet(10, whole))
	low := single("low", 2, 10, whole)
	low.Steps[0].Checkpoints = checkpoints
	h.add(low)
	h.accept()
	h.now += time.Second
	h.add(single("urgent", urgentPriority, 8, whole))
	assert.Equal(t, len(h.stops), 8)
	for _, s := range h.stops {
		h.endRun(Start{Target: s.Target, Task: s.Task, Run: s.Run}, job.EndStopped)
	}
	urgent := h.accept()
	assert.Equal(t, len(urgent), 8)
	h.now += 200 * time.Millisecond
	for _, s := range urgent[:3] {
		h.endRun(s, job.EndDone)
	}
	h.advance(time.Second)
	atOnce = len(h.starts)
	for end := h.now + 4*hazardMemory; len(h.starts) == 0 && h.now < end; {
		h.core.lastArrival = h.now // other jobs arrive: the fleet is not quiet
		h.advance(time.Second)
	}
	return atOnce, len(h.starts)
}

// Covers urgent bursts that follow each other on a busy fleet: work that loses its progress when it
// is stopped would be started and thrown away again and again.
func TestWorkThatWouldBePreemptedWaitsForCalm(t *testing.T) {
	atOnce, whenCalm := startsAfterABurst(t, false)
	assert.Equal(t, atOnce, 0)
	assert.Equal(t, whenCalm, 3)
	atOnce, _ = startsAfterABurst(t, true)
	assert.Equal(t, atOnce, 3)
}

func TestNothingIsHeldBackOnAnIdleFleet(t *testing.T) {
	h := newHarness(t)
	h.core.SetWorkers(h.clock(), h.fleet(10, whole))
	h.core.hazard = hazard{stops: 1000, exposure: 1}
	h.add(single("j", 2, 2, whole))
	assert.Equal(t, len(h.starts), 2)
}

func TestWorkWithCheckpointsAndUrgentWorkAreNeverHeldBack(t *testing.T) {
	for _, checkpoints := range []bool{true, false} {
		h := newHarness(t)
		h.core.SetWorkers(h.clock(), h.fleet(10, whole))
		h.add(single("first", 1, 8, whole))
		h.core.hazard = hazard{stops: 1000, exposure: 1}
		j := single("j", 2, 1, whole)
		j.Steps[0].Checkpoints = checkpoints
		h.add(j)
		assert.Equal(t, len(h.starts) == 9, checkpoints)
		h.add(single("u", urgentPriority, 1, whole))
		assert.Equal(t, h.starts[len(h.starts)-1].Task.Job, "u")
	}
}

func TestHazardFadesAndCountsExposure(t *testing.T) {
	h := hazard{runs: 60}
	h.advance(time.Second)
	h.stops = 12
	before := h.rate(120)
	assert.Assert(t, before > 0.09 && before < 0.11, "%v", before)
	h.advance(30 * time.Second)
	assert.Assert(t, h.rate(120) < before/20, "%v", h.rate(120))
}
