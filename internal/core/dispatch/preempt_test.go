package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"agatewinch/internal/core/job"
)

// Urgent work beyond its organisation's guarantee on a full fleet preempts at once instead of
// waiting for a preemption with less loss: it has about a second of slack, and what it stops
// has much more.
func TestUrgentWorkDoesNotWaitForCheaperPreemption(t *testing.T) {
	b := newHarness(t)
	b.core.SetWorkers(b.clock(), b.fleet(2, whole))
	b.add(single("busy", 2, 2, whole))
	b.accept()
	b.advance(3 * time.Second)
	u := gang("urgent", 0, 1, job.Resources{CPU: 4000, MemMB: 1000, Accelerators: 4})
	u.Steps[0].Estimate = time.Second
	b.add(u)
	assert.Equal(t, len(b.stops), 1)
}

// A gang behind many running tasks of lower priority waits while it has slack. Then it preempts
// them if they lose little.
func TestGangPreemptsLowerPriorityWorkWhenItMustStart(t *testing.T) {
	runScenario := func(checkpoints bool) *harness {
		b := newHarness(t)
		b.core.SetWorkers(b.clock(), b.fleet(2, whole))
		flood := single("flood", 2, 16, one)
		flood.Steps[0].Estimate = time.Minute
		flood.Steps[0].Checkpoints = checkpoints
		b.add(flood)
		assert.Equal(t, len(b.accept()), 16)
		b.add(gang("gang", 1, 2, job.Resources{CPU: 4000, MemMB: 4000, Accelerators: 4}))
		// Its objective is three times its estimate of 5 s, plus one second.
		b.advanceAnsweringProbes(8 * time.Second)
		assert.Equal(t, len(b.stops), 0)
		b.advanceAnsweringProbes(3 * time.Second)
		return b
	}
	assert.Equal(t, runScenario(true).stoppedTasks(), 8)
	assert.Equal(t, runScenario(false).stoppedTasks(), 0, "work without checkpoints would lose more than the gang is worth")
}

// advanceAnsweringProbes advances the time while all workers answer their probes.
func (b *harness) advanceAnsweringProbes(d time.Duration) {
	for end := b.now + d; b.now < end; {
		b.advance(time.Second)
		for _, h := range append([]Probe(nil), b.probes...) {
			b.answerProbe(h.Worker, WorkerReport{Incarnation: h.Incarnation, ClockMs: b.now.Milliseconds() + 1})
		}
	}
}

// stoppedTasks counts the tasks with at least one stop.
func (b *harness) stoppedTasks() int {
	tasks := map[job.TaskID]bool{}
	for _, s := range b.stops {
		tasks[s.Task] = true
	}
	return len(tasks)
}
