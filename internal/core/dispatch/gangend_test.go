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
