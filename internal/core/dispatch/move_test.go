package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// slowWorker makes a worker count as slow from now on.
func (h *harness) slowWorker(id string, slowdown float64) {
	w := h.core.workers[id]
	w.slowdown, w.speedAt = slowdown, h.now+time.Hour
	h.core.inputsChanged = true
}

// runOnSlowWorker starts a task of the given length that reports a percent of progress each time, on a worker
// that then turns slow, and returns the harness.
func runOnSlowWorker(t *testing.T, checkpoints bool, percent int) (*harness, Start) {
	t.Helper()
	h := newHarness(t)
	h.core.SetWorkers(h.clock(), h.racks(3))
	j := single("j", 1, 1, one)
	j.Steps[0].Checkpoints, j.Steps[0].Estimate = checkpoints, 30*time.Second
	h.add(j)
	s := h.accept()[0]
	h.advance(3 * time.Second)
	h.answerProbe(s.Worker, WorkerReport{Incarnation: 1, ClockMs: h.now.Milliseconds() + 1, Running: []RunInProgress{{Task: copiedTask, Run: 1, Percent: percent, Checkpoint: "c"}}})
	h.slowWorker(s.Worker, 5)
	h.advance(500 * time.Millisecond)
	return h, s
}

func TestTaskWithACheckpointIsMovedFromASlowWorker(t *testing.T) {
	h, s := runOnSlowWorker(t, true, 5)
	assert.Assert(t, h.stopped(s))
}

func TestOnlyTasksThatGainAreMovedFromASlowWorker(t *testing.T) {
	h, s := runOnSlowWorker(t, false, 5)
	assert.Assert(t, !h.stopped(s), "the work would be lost")
	h, s = runOnSlowWorker(t, true, 95)
	assert.Assert(t, !h.stopped(s), "it is almost done")
}
