package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"agatewinch/internal/core/job"
)

// brokenGang runs a gang of three on three workers. The first two list their members as broken; the
// third, whose run is returned, has not been heard of.
func brokenGang(t *testing.T, ends ...job.End) (*harness, Start) {
	t.Helper()
	h := newHarness(t)
	h.core.SetWorkers(h.clock(), h.fleet(4, whole))
	h.add(gang("g", 1, 3, whole))
	starts := h.accept()
	assert.Equal(t, len(starts), 3)
	h.now += time.Second
	for _, s := range starts {
		h.answerProbe(s.Worker, WorkerReport{Incarnation: 1, ClockMs: h.now.Milliseconds() + 1})
	}
	h.now += time.Second
	for i, end := range ends {
		h.endRun(starts[i], end)
	}
	return h, starts[2]
}

// probeUnanswered reports the open probe of a worker as unanswered.
func (h *harness) probeUnanswered(id string) {
	h.t.Helper()
	for i, p := range h.probes {
		if p.Worker == id {
			h.probes = append(h.probes[:i:i], h.probes[i+1:]...)
			h.core.ProbeFailed(h.clock(), p, Unanswered)
			h.flush()
			return
		}
	}
	h.t.Fatalf("worker %s has no open probe", id)
}

// Covers a worker that crashes or is reclaimed under a gang: the gang starts elsewhere at once, and
// not only when the worker's lease has expired.
func TestGangWhoseLastMemberMustHaveEndedFirstStartsElsewhereAtOnce(t *testing.T) {
	h, missing := brokenGang(t, job.EndBroken, job.EndBroken)
	assert.Equal(t, len(h.starts), 0)
	h.probeUnanswered(missing.Worker)
	assert.Equal(t, len(h.starts), 3)
	for _, s := range h.starts {
		assert.Assert(t, s.Worker != missing.Worker)
		assert.Equal(t, s.Run, 2)
	}
}

// A member that failed explains the broken ends, so that they prove nothing about the one on the
// silent worker.
func TestGangBrokenByAFailedMemberWaitsForTheSilentWorker(t *testing.T) {
	h, missing := brokenGang(t, job.EndBroken, job.EndFailed)
	h.probeUnanswered(missing.Worker)
	assert.Equal(t, len(h.starts), 0)
}

func TestGangWithTwoSilentWorkersWaitsForThem(t *testing.T) {
	h, missing := brokenGang(t, job.EndBroken)
	h.probeUnanswered(missing.Worker)
	assert.Equal(t, len(h.starts), 0)
}

// A stop that a worker does not answer shows as early as a probe that it is unreachable.
func TestUnansweredStopMakesItsWorkerUnreachable(t *testing.T) {
	h, missing := brokenGang(t, job.EndBroken, job.EndBroken)
	for _, s := range h.stops {
		if s.Worker == missing.Worker {
			h.core.StopAnswered(h.clock(), s, Unanswered)
		}
	}
	h.flush()
	assert.Equal(t, len(h.starts), 3)
}

// leavingWorker runs a job on a worker that then announces that it leaves.
func leavingWorker(t *testing.T, remaining time.Duration) (*harness, string) {
	t.Helper()
	h := newHarness(t)
	list := h.fleet(2, whole)
	h.core.SetWorkers(h.clock(), list)
	h.add(single("j", 1, 1, whole))
	ran := h.accept()[0].Worker
	h.now += time.Second
	for i := range list {
		if list[i].ID == ran {
			list[i].Draining, list[i].MinRemaining, list[i].ClockMs = true, remaining, h.now.Milliseconds()+1
		}
	}
	h.core.SetWorkers(h.clock(), list)
	h.flush()
	return h, ran
}

// Covers workers that are reclaimed at short notice: what cannot end there moves while its worker
// still saves its checkpoint.
func TestRunThatCannotEndBeforeItsWorkerLeavesIsMoved(t *testing.T) {
	h, ran := leavingWorker(t, 2*time.Second)
	assert.Equal(t, len(h.stops), 1)
	assert.Equal(t, h.stops[0].Worker, ran)
}

func TestRunThatEndsBeforeItsWorkerLeavesIsLeftAlone(t *testing.T) {
	h, _ := leavingWorker(t, 10*time.Second)
	h.advance(time.Second)
	assert.Equal(t, len(h.stops), 0)
}

// The time that remains counts from when the worker wrote its entry, also when the list is old.
func TestTimeUntilAWorkerLeavesCountsFromItsEntry(t *testing.T) {
	h := newHarness(t)
	list := h.fleet(1, whole)
	h.core.SetWorkers(h.clock(), list)
	h.now += 3 * time.Second
	list[0].Draining, list[0].MinRemaining, list[0].ClockMs = true, 4*time.Second, 1
	h.core.SetWorkers(h.clock(), list)
	left := h.core.workers["w0"].leavesAt - h.now
	assert.Assert(t, left > 900*time.Millisecond && left < 1200*time.Millisecond, "%v", left)
}

// failFirstRunUnseen runs a gang of three that breaks on a silent worker: its member there has failed,
// and the others list their ends as broken. It returns the failed run.
func failFirstRunUnseen(t *testing.T, attempts int) (*harness, Start) {
	t.Helper()
	h := newHarness(t)
	h.core.SetWorkers(h.clock(), h.fleet(4, whole))
	g := gang("g", 1, 3, whole)
	g.Attempts = attempts
	h.add(g)
	starts := h.accept()
	h.now += time.Second
	for _, s := range starts {
		h.answerProbe(s.Worker, WorkerReport{Incarnation: 1, ClockMs: h.now.Milliseconds() + 1})
	}
	h.probeUnanswered(starts[2].Worker)
	h.endRun(starts[0], job.EndBroken)
	h.endRun(starts[1], job.EndBroken)
	return h, starts[2]
}

// listFailure lets the worker of a run answer again and list the run as failed.
func (h *harness) listFailure(s Start) {
	h.t.Helper()
	h.advance(probeRetry)
	h.endRun(s, job.EndFailed)
}

// failAgain ends the gang's current run: its first member fails.
func (h *harness) failAgain() {
	h.t.Helper()
	starts := h.accept()
	assert.Equal(h.t, len(starts), 3)
	h.endRun(starts[0], job.EndFailed)
	h.endRun(starts[1], job.EndBroken)
	h.endRun(starts[2], job.EndBroken)
	h.advance(placementDelay)
}

// Guards against a run too many: a failure on a worker that was cut off, which the worker lists once it
// is reachable again, counts as an attempt.
func TestFailureThatIsListedAfterItsEndWasPresumedCounts(t *testing.T) {
	h, failed := failFirstRunUnseen(t, 3)
	assert.Equal(t, len(h.starts), 3, "the gang starts elsewhere at once")
	h.listFailure(failed)
	h.failAgain()
	assert.Equal(t, h.core.jobs["g"].end, job.State(""))
	h.failAgain()
	assert.Assert(t, h.core.jobs["g"] == nil, "all three runs have failed")
	assert.Equal(t, len(h.starts), 0)
}

// The worker may list the failure only after further runs have failed: none is started that would be
// one too many.
func TestRunThatMayExceedTheAttemptsWaitsForThePresumedEnd(t *testing.T) {
	h, failed := failFirstRunUnseen(t, 2)
	h.failAgain()
	assert.Equal(t, len(h.starts), 0)
	h.listFailure(failed)
	assert.Equal(t, len(h.starts), 0)
	assert.Assert(t, h.core.jobs["g"] == nil)
}

// The member on the silent worker was not to blame, or its worker is gone for good: the gang goes on.
func TestGangGoesOnOnceThePresumedEndDoesNotCount(t *testing.T) {
	for _, tc := range []struct {
		name  string
		learn func(h *harness, s Start)
	}{
		{"listed as broken", func(h *harness, s Start) { h.advance(probeRetry); h.endRun(s, job.EndBroken) }},
		{"not listed", func(h *harness, s Start) {
			for range 2 { // the first probe was sent before the end was presumed
				h.advance(probeRetry)
				h.answerProbe(s.Worker, WorkerReport{Incarnation: 1, ClockMs: h.now.Milliseconds() + 1})
			}
		}},
		{"worker restarted", func(h *harness, _ Start) {
			list := h.fleet(4, whole)
			for i := range list {
				list[i].Incarnation = 2
			}
			h.core.SetWorkers(h.clock(), list)
			h.flush()
		}},
		{"lease expired", func(h *harness, _ Start) { h.advance(10 * time.Second) }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h, s := failFirstRunUnseen(t, 1)
			assert.Equal(t, len(h.starts), 0, "the only attempt may have failed")
			tc.learn(h, s)
			assert.Equal(t, len(h.starts), 3)
		})
	}
}

// A leader that takes over knows which ends were presumed, and counts each failure once.
func TestPresumedEndsOutliveATakeover(t *testing.T) {
	h, failed := failFirstRunUnseen(t, 3)
	records := map[string]job.TaskRecord{}
	for _, s := range h.starts {
		records[s.Task.String()] = h.core.tasks[s.Task.String()].record()
	}
	list := func(counted int) {
		next := newHarness(t)
		next.core.SetWorkers(next.clock(), next.fleet(4, whole))
		g := gang("g", 1, 3, whole)
		next.core.AddJob(next.clock(), g, records)
		next.flush()
		ended := []EndedRun{{Number: 1, Task: failed.Task.String(), Run: failed.Run, End: job.EndFailed}}
		next.core.ProbeAnswered(next.clock(), Probe{Target: next.core.workers[failed.Worker].target()}, WorkerReport{Incarnation: 1, ClockMs: 1, Ended: ended})
		assert.Equal(t, next.core.tasks[failed.Task.String()].step.failures, counted)
		records[failed.Task.String()] = next.core.tasks[failed.Task.String()].record()
	}
	list(1)
	list(1)
}

// Guards against a gang whose job fails too early: two of its members failed in the same run, and the leader
// changed between their ends.
func TestRunOfAGangThatFailsAcrossATakeoverCountsOnce(t *testing.T) {
	h := newHarness(t)
	h.core.SetWorkers(h.clock(), h.fleet(3, whole))
	j := gang("g", 1, 2, whole)
	j.Attempts = 2
	h.core.AddJob(h.clock(), j, map[string]job.TaskRecord{
		"g.0.0.0": {Run: 1, Failures: 1, FailedRuns: []int{1}},
		"g.0.0.1": {Run: 1, Worker: "w1", Incarnation: 1, Active: true},
	})
	h.flush()
	h.answerProbe("w1", WorkerReport{Incarnation: 1, ClockMs: 10, Running: []RunInProgress{}, Ended: []EndedRun{{Number: 1, Task: "g.0.0.1", Run: 1, End: job.EndFailed}}})
	assert.Assert(t, h.core.jobs["g"] != nil, "the job failed after one of two attempts")
	assert.Equal(t, len(h.starts), 2)
}

// Guards against the same where the ends of an earlier run are listed after a later one has failed.
func TestEarlierRunOfAGangThatFailsLateCountsOnce(t *testing.T) {
	h := newHarness(t)
	j := gang("g", 1, 2, whole)
	j.Attempts = 5
	h.add(j)
	s := h.core.jobs["g"].occurrences[0].steps[0]
	for _, number := range []int{2, 1, 1} {
		h.core.countFailure(s, s.tasks[0], number)
	}
	assert.Equal(t, s.failures, 2)
	assert.DeepEqual(t, s.tasks[1].record().FailedRuns, []int{2, 1})
}

// Guards against a run too many: the start of a run that its worker has not listed may have reached the
// worker's next incarnation, which lists how the run ended there.
func TestFailureInTheNextIncarnationCountsIfTheEndWasPresumed(t *testing.T) {
	h := newHarness(t)
	list := h.fleet(4, whole)
	h.core.SetWorkers(h.clock(), list)
	h.add(gang("g", 1, 3, whole))
	starts := h.accept()
	missing := starts[2]
	h.probeUnanswered(missing.Worker)
	h.endRun(starts[0], job.EndBroken)
	h.endRun(starts[1], job.EndBroken)
	for i := range list {
		if list[i].ID == missing.Worker {
			list[i].Incarnation = 2
		}
	}
	h.core.SetWorkers(h.clock(), list)
	h.flush()
	h.advance(probeRetry)
	h.answerProbe(missing.Worker, WorkerReport{Incarnation: 2, ClockMs: 5, Ended: []EndedRun{{Number: 1, Task: missing.Task.String(), Run: 1, End: job.EndFailed}}})
	assert.Equal(t, h.core.jobs["g"].occurrences[0].steps[0].failures, 1)
}
