package dispatch

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"agatewinch/internal/core/job"
)

// A worker that fails what it starts is free at once and would use up the attempts of the jobs that wait.
func TestWorkerIsHeldAfterAFailure(t *testing.T) {
	h := newHarness(t)
	h.core.SetWorkers(h.clock(), h.fleet(8, whole))
	h.add(single("first", 1, 8, whole))
	failed := h.accept()[0]
	h.add(single("next", 1, 1, whole))
	h.endRun(failed, job.EndFailed)
	assert.Equal(t, len(h.starts), 0, "the only free worker is held")
	h.advance(minHold)
	assert.Equal(t, len(h.starts), 1)
	assert.Equal(t, h.starts[0].Worker, failed.Worker)
}

func TestHoldGrowsWithFailuresUntilARunIsDone(t *testing.T) {
	h := newHarness(t)
	h.core.SetWorkers(h.clock(), h.fleet(8, whole))
	w := h.core.workers["w0"]
	for i, want := range []time.Duration{minHold, 2 * minHold, minQuarantine, minQuarantine} {
		j := single(fmt.Sprint(i), 1, 1, one)
		h.add(j)
		h.core.doubt(h.clock(), &run{task: h.core.jobs[j.ID].occurrences[0].steps[0].tasks[0], worker: w, confirmedAt: h.now})
		assert.Equal(t, w.trust.hold, want)
		h.now = w.pausedUntil
	}
	w.trust.recordDone(h.now)
	assert.Equal(t, w.trust.hold, time.Duration(0))
	assert.Assert(t, w.trust.proven(h.now))
	assert.Assert(t, !w.trust.proven(h.now+provenFor))
}

// Guards against a job that can never be done and holds one worker after another.
func TestJobThatFailsEverywhereHoldsNoMoreWorkersThanItHasAttempts(t *testing.T) {
	h := newHarness(t)
	h.core.SetWorkers(h.clock(), h.fleet(40, whole))
	j := single("poison", 1, 20, whole)
	j.Attempts = 2
	h.add(j)
	for _, s := range h.accept() {
		h.endRun(s, job.EndFailed)
	}
	held := 0
	for _, w := range h.core.sortedWorkers {
		if h.now < w.pausedUntil {
			held++
		}
	}
	assert.Equal(t, held, 2)
}

func TestNoMoreThanAPartOfTheWorkersIsHeld(t *testing.T) {
	h := newHarness(t)
	h.core.SetWorkers(h.clock(), h.fleet(12, whole))
	for i := range 12 {
		h.add(single(fmt.Sprintf("j%02d", i), 1, 1, whole))
	}
	for _, s := range h.accept() {
		h.endRun(s, job.EndFailed)
	}
	held := 0
	for _, w := range h.core.sortedWorkers {
		if h.now < w.pausedUntil {
			held++
		}
	}
	assert.Equal(t, held, int(maxHeldShare*12))
}

// Guards against a gang whose last attempt goes to a worker about which nothing is known, while others
// have just done their work.
func TestLastAttemptIsTriedOnProvenWorkers(t *testing.T) {
	for _, asGang := range []bool{false, true} {
		h := newHarness(t)
		h.core.SetWorkers(h.clock(), h.fleet(12, whole))
		j := single("j", 1, 1, whole)
		j.Steps[0].Gang, j.Attempts = asGang, 2
		h.add(j)
		failed := h.accept()[0]
		proven := h.core.workers["w7"]
		proven.trust.recordDone(h.now + 1)
		h.now++
		h.endRun(failed, job.EndFailed)
		assert.Equal(t, len(h.starts), 1)
		assert.Equal(t, h.starts[0].Worker, "w7")
	}
}

func TestLastAttemptDoesNotWaitForGood(t *testing.T) {
	h := newHarness(t)
	h.core.SetWorkers(h.clock(), h.fleet(12, whole))
	h.add(single("busy", 1, 1, whole))
	busy := h.accept()[0]
	j := single("j", 1, 1, whole)
	j.Attempts = 2
	h.add(j)
	failed := h.accept()[0]
	h.core.workers[busy.Worker].trust.recordDone(h.now + 1)
	h.now++
	h.endRun(failed, job.EndFailed)
	assert.Equal(t, len(h.starts), 0, "the proven worker is busy")
	h.advance(lastAttemptWait + 250*time.Millisecond)
	assert.Equal(t, len(h.starts), 1)
}

// Work that fails by its own fault does so when it has worked for a while; that speaks for no hold.
func TestWorkerIsNotHeldAfterAFailureThatCameLate(t *testing.T) {
	h := newHarness(t)
	h.core.SetWorkers(h.clock(), h.fleet(8, whole))
	h.add(single("first", 1, 8, whole))
	failed := h.accept()[0]
	h.add(single("next", 1, 1, whole))
	h.now += 2 * time.Second // the estimate is five seconds
	h.endRun(failed, job.EndFailed)
	assert.Equal(t, len(h.starts), 1)
	assert.Equal(t, h.starts[0].Worker, failed.Worker)
}
