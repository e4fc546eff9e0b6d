package dispatch

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"agatewinch/internal/core/job"
)

// The queue is so long that reservations are not recomputed in each cycle. The gang must start
// as soon as its reserved capacity is free, and no other work may take that capacity.
func TestReservationIsKeptForItsGangBetweenCycles(t *testing.T) {
	h := newHarness(t)
	h.core.SetWorkers(h.clock(), h.fleet(2, whole))
	h.add(single("busy", 1, 2, whole))
	busy := h.accept()
	g := gang("gang", 1, 2, whole)
	g.Steps[0].Estimate = time.Second
	h.add(g)
	for i := range largeBacklog {
		j := single(fmt.Sprintf("flood%d", i), 2, 4, one)
		j.Steps[0].Estimate = time.Minute
		h.core.AddJob(h.clock(), j, nil)
	}
	h.flush()
	h.advance(reservationInterval) // a cycle with the whole queue recomputes the reservations
	h.flush()
	h.now += minCycleInterval
	h.endRun(busy[0], job.EndDone)
	assert.Equal(t, len(h.starts), 0)
	h.now += minCycleInterval
	h.endRun(busy[1], job.EndDone)
	assert.Equal(t, len(h.starts), 2)
	for _, s := range h.starts {
		assert.Equal(t, s.Task.Job, "gang")
	}
}

// With a long queue the cycles are rate-limited, but urgent work must not wait for the next one.
func TestUrgentWorkIsPlacedAtOnceBehindALongQueue(t *testing.T) {
	h := newHarness(t)
	h.core.SetWorkers(h.clock(), h.fleet(2, whole))
	h.add(single("busy", 2, 16, one))
	h.accept()
	for i := range 2 * largeBacklog {
		h.core.AddJob(h.clock(), single(fmt.Sprintf("flood%d", i), 2, 4, one), nil)
	}
	h.flush()
	h.now += time.Millisecond
	h.add(gang("urgent", 0, 1, one))
	assert.Equal(t, len(h.stops), 1)
	assert.Assert(t, h.core.Wake() > h.now)
}

// Guards against a gang that needs capacity held by long-running tasks: it can never start, and must not
// keep the rest of the fleet from other work.
func TestNothingIsReservedForAGangBehindLongRunningTasks(t *testing.T) {
	h := newHarness(t)
	h.core.SetWorkers(h.clock(), h.fleet(2, whole))
	lasting := lastingJob("lasting", 1, one)
	h.add(lasting)
	held := h.accept()[0]
	h.advance(time.Second)
	h.answerProbe(held.Worker, h.allRunning(held.Worker, servingPercent))
	h.add(gang("gang", 1, 2, whole))
	h.add(single("other", 1, 15, one))
	assert.Equal(t, len(h.starts), 15)
}

// reservedHarness returns a harness with a worker that is full for a minute and an idle one, which is reserved for a
// gang that waits for the first.
func reservedHarness(t *testing.T) (h *harness, reserved string) {
	h = newHarness(t)
	h.core.SetWorkers(h.clock(), h.fleet(2, whole))
	batch := single("batch", 2, 1, whole)
	batch.Steps[0].Estimate = time.Minute
	h.add(batch)
	reserved = "w0"
	if h.accept()[0].Worker == reserved {
		reserved = "w1"
	}
	h.add(gang("gang", 1, 2, whole))
	return h, reserved
}

// lowLasting returns a job of one long-running task with a lower priority than the gang.
func lowLasting(id string) *job.Job {
	j := lastingJob(id, 1, one)
	j.Priority, j.Steps[0].Estimate = 2, time.Hour
	return j
}

// hasRun is the record of a job's only task, which has run before.
func hasRun(j *job.Job) map[string]job.TaskRecord {
	return map[string]job.TaskRecord{job.TaskID{Job: j.ID}.String(): {Run: 1, Started: true}}
}

// Guards against a long-running task of a lost worker that waits, beside an idle worker, for as long as that one is
// reserved for a gang; and against other work of its shape that keeps it waiting.
func TestLongRunningTaskRunsAgainOnReservedCapacity(t *testing.T) {
	h, reserved := reservedHarness(t)
	h.add(lowLasting("first"))
	assert.Equal(t, len(h.starts), 0, "the other worker is reserved for the gang")
	again := lowLasting("again")
	h.core.AddJob(h.clock(), again, hasRun(again))
	h.flush()
	assert.Equal(t, len(h.starts), 1)
	assert.Equal(t, h.starts[0].Task.Job, "again")
	assert.Equal(t, h.starts[0].Worker, reserved)
}

func TestLongRunningTaskPrefersCapacityThatIsNotReserved(t *testing.T) {
	h, _ := reservedHarness(t)
	list := h.fleet(3, whole)
	list[2].Capacity = job.Resources{CPU: 64000, MemMB: whole.MemMB - 1, Accelerators: 64} // too small for the gang, and the worst fit
	h.core.SetWorkers(h.clock(), list)
	again := lowLasting("again")
	h.core.AddJob(h.clock(), again, hasRun(again))
	h.flush()
	assert.Equal(t, len(h.starts), 1)
	assert.Equal(t, h.starts[0].Worker, "w2")
}
