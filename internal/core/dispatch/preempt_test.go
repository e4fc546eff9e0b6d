package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"agatewinch/internal/core/job"
)

// Urgent work beyond its organisation's guarantee preempts at once on a full fleet instead of
// waiting for a preemption with less loss: it has only 3 s of slack, and the job whose run it stops
// has 8 s.
func TestUrgentWorkDoesNotWaitForCheaperPreemption(t *testing.T) {
	h := newHarness(t)
	h.core.SetWorkers(h.clock(), h.fleet(2, whole))
	h.add(single("busy", 2, 2, whole))
	h.accept()
	h.advance(3 * time.Second)
	u := gang("urgent", 0, 1, job.Resources{CPU: 4000, MemMB: 1000, Accelerators: 4})
	u.Steps[0].Estimate = time.Second
	h.add(u)
	assert.Equal(t, len(h.stops), 1)
}

// A gang behind many running tasks of lower priority waits while it has slack. Then it preempts
// them if they lose little.
func TestGangPreemptsLowerPriorityWorkWhenItMustStart(t *testing.T) {
	runScenario := func(checkpoints bool) *harness {
		h := newHarness(t)
		h.core.SetWorkers(h.clock(), h.fleet(2, whole))
		flood := single("flood", 2, 16, one)
		flood.Steps[0].Estimate = time.Minute
		flood.Steps[0].Checkpoints = checkpoints
		h.add(flood)
		assert.Equal(t, len(h.accept()), 16)
		h.add(gang("gang", 1, 2, job.Resources{CPU: 4000, MemMB: 4000, Accelerators: 4}))
		// Its objective is three times its estimate of 5 s, plus one second.
		h.advanceAnsweringProbes(8 * time.Second)
		assert.Equal(t, len(h.stops), 0)
		h.advanceAnsweringProbes(3 * time.Second)
		return h
	}
	assert.Equal(t, runScenario(true).stoppedTasks(), 8)
	assert.Equal(t, runScenario(false).stoppedTasks(), 0, "work without checkpoints would lose more than the gang is worth")
}

// advanceAnsweringProbes advances the time while all workers answer their probes.
func (h *harness) advanceAnsweringProbes(d time.Duration) {
	for end := h.now + d; h.now < end; {
		h.advance(time.Second)
		for _, p := range append([]Probe(nil), h.probes...) {
			h.answerProbe(p.Worker, WorkerReport{Incarnation: p.Incarnation, ClockMs: h.now.Milliseconds() + 1})
		}
	}
}

// stoppedTasks counts the tasks with at least one stop.
func (h *harness) stoppedTasks() int {
	tasks := map[job.TaskID]bool{}
	for _, s := range h.stops {
		tasks[s.Task] = true
	}
	return len(tasks)
}

// What stopping a task with checkpoints costs follows the platform's times, not those of one site.
func TestLossOfWorkWithCheckpointsIsTheTimeToStopAndRestore(t *testing.T) {
	for _, restore := range []time.Duration{0, 100 * time.Millisecond, 2 * time.Second} {
		h := newHarness(t)
		h.core.settings.RestoreTime = restore
		h.core.SetWorkers(h.clock(), h.fleet(1, whole))
		j := single("j", 2, 1, one)
		j.Steps[0].Checkpoints = true
		h.add(j)
		h.accept()
		h.now += 10 * time.Second
		w := h.core.workers["w0"]
		want := stopCost + (h.core.settings.MaxStopTime+restore).Seconds()*one.Cores()
		assert.Equal(t, h.core.lossOf(h.clock(), h.core.runsOf(w)[0]), want)
	}
}
