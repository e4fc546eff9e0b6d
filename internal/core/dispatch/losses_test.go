package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"agatewinch/internal/core/job"
)

// preemptAfter runs a task of low priority for the given time, preempts it for an urgent one, and ends it
// with the given checkpoint. It returns the loss that the core reports.
func preemptAfter(t *testing.T, d time.Duration, checkpoint string) Loss {
	t.Helper()
	h := newHarness(t)
	h.core.SetWorkers(h.clock(), h.fleet(1, whole))
	low := single("low", 2, 1, whole)
	low.Steps[0].Checkpoints = true
	h.add(low)
	started := h.accept()[0]
	h.advanceAnsweringProbes(d)
	h.add(single("urgent", urgentPriority, 1, whole))
	h.answerProbe("w0", WorkerReport{Incarnation: 1, ClockMs: h.now.Milliseconds() + 1, Ended: []EndedRun{{Number: 1, Task: started.Task.String(), Run: 1, End: job.EndStopped, Checkpoint: checkpoint}}})
	assert.Equal(t, len(h.losses), 1)
	return h.losses[0]
}

func TestLostWorkIsReportedWithItsCause(t *testing.T) {
	got := preemptAfter(t, 2*time.Second, "")
	assert.DeepEqual(t, got, Loss{Cause: "preempted", CoreSeconds: 2 * whole.Cores()})
}

func TestWorkSavedByACheckpointIsNotLost(t *testing.T) {
	got := preemptAfter(t, 2*time.Second, "saved")
	assert.DeepEqual(t, got, Loss{Cause: "preempted"})
}

func TestInterruptionsAreReportedForEachTaskOfAFinishedJob(t *testing.T) {
	h := newHarness(t)
	h.core.SetWorkers(h.clock(), h.fleet(1, whole))
	h.add(single("j", 2, 2, one))
	started := h.accept()
	h.endRun(started[0], job.EndFailed)
	h.endRun(started[1], job.EndDone)
	h.advance(time.Second)
	for _, s := range h.accept() {
		h.endRun(s, job.EndDone)
	}
	assert.DeepEqual(t, h.interruptions, []int{1, 0})
}
