package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"agatewinch/internal/core/job"
)

// lasting returns a job of long-running tasks of one accelerator.
func lasting(count, maxPerWorker, maxUnavailable int) *job.Job {
	j := single("lasting", 1, count, one)
	j.Steps[0].LongRunning, j.Steps[0].MaxPerWorker, j.Steps[0].MaxUnavailable = true, maxPerWorker, maxUnavailable
	return j
}

// away returns how many tasks of the first step of a job have no run that is at work.
func (h *upkeepHarness) away(id string) int {
	n := 0
	for _, t := range h.core.jobs[id].occurrences[0].steps[0].tasks {
		if t.current == nil || t.current.phase != running {
			n++
		}
	}
	return n
}

// Guards against a wave that drains all workers of long-running tasks which may not all be unavailable: one of them
// was stopped, fitted nowhere any more, and from then on no job started.
func TestWaveDoesNotDrainWorkersThatCannotBeEmptied(t *testing.T) {
	h := newUpkeepHarness(t, 4)
	h.add(lasting(8, 2, 1))
	h.run(5 * time.Second)
	h.addWave(4, time.Minute, "m0", "m1", "m2", "m3")
	for range 700 {
		h.run(100 * time.Millisecond)
		assert.Equal(t, h.away("lasting"), 0)
	}
	assert.Equal(t, len(h.started), 0)
	h.add(single("j", 1, 1, one))
	assert.Equal(t, len(h.starts), 1)
}

// Guards against a worker that goes on draining, and takes no work, after the room for its long-running tasks elsewhere
// has gone.
func TestDrainIsPutOffOnceAWorkerCannotBeEmptiedAnyMore(t *testing.T) {
	h := newUpkeepHarness(t, 3)
	h.add(lasting(4, 2, 1))
	h.run(5 * time.Second)
	on := map[string]int{}
	for _, r := range h.core.jobs["lasting"].occurrences[0].steps[0].tasks {
		on[r.current.worker.ID]++
	}
	assert.Equal(t, len(on), 2)
	var free, drained string
	for _, id := range []string{"w0", "w1", "w2"} {
		if on[id] == 0 {
			free = id
		} else {
			drained = id
		}
	}
	h.addWave(1, time.Minute, "m"+drained[1:])
	h.core.Tick(h.clock())
	assert.Assert(t, !h.core.takesWork(h.clock(), h.core.workers[drained]))
	h.core.workers[free].Draining = true
	h.core.Tick(h.clock())
	assert.Assert(t, h.core.takesWork(h.clock(), h.core.workers[drained]))
}

// Guards against long-running tasks that wait, stopped, while a long task of another job runs on their draining
// worker: those that fit nowhere else are stopped last, all at once.
func TestTasksThatFitNowhereElseAreAwayForTheUpkeepOnly(t *testing.T) {
	h := newUpkeepHarness(t, 1)
	h.add(lasting(2, 2, 2))
	h.add(single("ends", 1, 1, one))
	h.run(5 * time.Second)
	h.addWave(1, time.Minute, "m0")
	h.run(10 * time.Second)
	assert.Equal(t, h.away("lasting"), 0)
	ends := h.core.jobs["ends"].occurrences[0].steps[0].tasks[0].current
	h.core.endRun(h.clock(), ends, job.EndDone, "")
	h.run(5 * time.Second)
	assert.Equal(t, len(h.started), 1)
	assert.Equal(t, h.away("lasting"), 0)
}

// Guards against a wave with a high limit whose draining workers are idle beside long tasks while other jobs wait.
func TestDrainingLeavesHalfOfTheWorkersToOtherWork(t *testing.T) {
	h := newUpkeepHarness(t, 4)
	long := single("long", 1, 4, one)
	long.Steps[0].MaxPerWorker = 1
	h.add(long)
	h.run(time.Second)
	h.addWave(4, 10*time.Minute, "m0", "m1", "m2", "m3")
	h.run(time.Second)
	h.add(single("j", 1, 1, one))
	assert.Equal(t, len(h.starts), 1)
}
