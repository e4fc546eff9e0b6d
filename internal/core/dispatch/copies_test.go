package dispatch

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"agatewinch/internal/core/job"
)

const copiedTask = "j.0.0.0"

// racks returns workers of which each has a rack of its own.
func (h *harness) racks(n int) []WorkerInfo {
	list := h.fleet(n, whole)
	for i := range list {
		list[i].Rack = fmt.Sprintf("rack-%d", i)
	}
	return list
}

// speculativeJob returns a job with tasks that may have copies.
func speculativeJob(count int, need job.Resources) *job.Job {
	j := single("j", 1, count, need)
	j.Steps[0].Speculative, j.Steps[0].Estimate = true, 20*time.Second
	return j
}

// silence lets time pass without an answer of a worker; the others answer.
func (h *harness) silence(id string, d time.Duration) {
	for end := h.now + d; h.now < end; {
		for _, p := range append([]Probe{}, h.probes...) {
			if p.Worker == id {
				h.failProbe(p, Unanswered)
			} else {
				h.answerProbe(p.Worker, WorkerReport{Incarnation: 1, ClockMs: h.now.Milliseconds() + 1})
			}
		}
		h.advance(250 * time.Millisecond)
	}
}

// copied returns a harness with a job whose only task runs on a silent worker and has a copy, and the starts
// of both.
func copied(t *testing.T) (h *harness, first, second Start) {
	t.Helper()
	h = newHarness(t)
	h.core.SetWorkers(h.clock(), h.racks(3))
	h.add(speculativeJob(1, one))
	first = h.accept()[0]
	h.silence(first.Worker, 1500*time.Millisecond)
	assert.Equal(t, len(h.starts), 1, "no copy was started")
	return h, first, h.starts[0]
}

func (h *harness) stopped(s Start) bool {
	for _, o := range h.stops {
		if o.Task == s.Task && o.Run == s.Run && o.Worker == s.Worker {
			return true
		}
	}
	return false
}

func TestTaskOnASilentWorkerGetsACopyOnAnotherRack(t *testing.T) {
	h, first, second := copied(t)
	assert.Equal(t, second.Run, 2)
	assert.Assert(t, second.Worker != first.Worker)
	h.silence(first.Worker, 2*time.Second)
	assert.Equal(t, len(h.starts), 1, "a task has two runs at most")
}

func TestTheFirstEndCountsAndTheOtherRunIsStopped(t *testing.T) {
	for _, copyFirst := range []bool{true, false} {
		h, winner, loser := copied(t)
		h.accept()
		h.silence(winner.Worker, 250*time.Millisecond)
		if copyFirst {
			winner, loser = loser, winner
		}
		h.advance(time.Second)
		h.endRun(winner, job.EndDone)
		assert.Assert(t, h.stopped(loser), "copy first: %t", copyFirst)
		assert.Assert(t, h.core.jobs["j"].end == job.Succeeded)
		assert.Equal(t, len(h.starts), 0)
	}
}

func TestTheOtherRunGoesOnWhenOneFails(t *testing.T) {
	h, first, second := copied(t)
	h.accept()
	h.silence(first.Worker, 250*time.Millisecond)
	h.endRun(second, job.EndFailed)
	r := h.records[copiedTask]
	assert.Assert(t, r.Active && r.Run == 1 && r.Failures == 1, "%+v", r)
	assert.Assert(t, !h.stopped(first))
	h.silence(first.Worker, 500*time.Millisecond)
	third := h.accept()[0]
	assert.Equal(t, third.Run, 3, "run numbers rise")
	h.advance(time.Second)
	h.endRun(third, job.EndFailed)
	h.silence(first.Worker, time.Second)
	assert.Equal(t, len(h.starts), 0, "the failure of a further copy could use up the attempts")
}

func TestTheCopyTakesThePlaceOfALostRun(t *testing.T) {
	h, first, second := copied(t)
	h.accept()
	h.silence(first.Worker, 12*time.Second)
	r := h.records[copiedTask]
	assert.Assert(t, r.Active && r.Run == 2 && r.Worker == second.Worker && r.Copy == nil, "%+v", r)
	assert.Equal(t, len(h.starts), 0)
}

func TestOnlyStepsThatPermitItHaveCopies(t *testing.T) {
	for _, change := range []func(*job.Step){
		func(s *job.Step) { s.Speculative = false },
		func(s *job.Step) { s.LongRunning = true },
		func(s *job.Step) { s.Gang = true },
	} {
		h := newHarness(t)
		h.core.SetWorkers(h.clock(), h.racks(3))
		j := speculativeJob(1, one)
		change(&j.Steps[0])
		h.add(j)
		first := h.accept()[0]
		h.silence(first.Worker, 3*time.Second)
		assert.Equal(t, len(h.starts), 0)
	}
}

// Capacity for which other work waits is not used for copies, and copies on it are stopped.
func TestCopiesLeaveCapacityToWorkThatWaits(t *testing.T) {
	h, first, second := copied(t)
	h.accept()
	h.silence("nobody", time.Second)
	h.add(single("k", 2, 4, whole))
	assert.Assert(t, h.stopped(second) && !h.stopped(first))
	h.starts = nil
	h.silence(first.Worker, 3*time.Second)
	assert.Equal(t, len(h.starts), 0, "another copy was placed, or work on capacity in use")
}

func TestCopiesAreAtMostAShareOfTheRuns(t *testing.T) {
	h := newHarness(t)
	list := h.racks(4)
	h.core.SetWorkers(h.clock(), list[:1])
	h.add(speculativeJob(8, one))
	h.accept()
	h.core.SetWorkers(h.clock(), list)
	h.silence("w0", 4*time.Second)
	assert.Equal(t, len(h.starts), 1)
}

func TestTaskThatTakesFarLongerThanItsKindGetsACopy(t *testing.T) {
	h := newHarness(t)
	h.core.SetWorkers(h.clock(), h.racks(2))
	j := speculativeJob(1, one)
	j.Steps[0].Estimate = 5 * time.Second
	h.add(j)
	first := h.accept()[0]
	for h.now < 12*time.Second && len(h.starts) == 0 { // a percent in 300 ms, thirty seconds in all
		if len(h.probes) > 0 {
			h.answerProbe(first.Worker, WorkerReport{Incarnation: 1, ClockMs: h.now.Milliseconds() + 1, Running: []RunInProgress{{Task: copiedTask, Run: 1, Percent: int(h.now / (300 * time.Millisecond))}}})
		}
		h.advance(250 * time.Millisecond)
	}
	assert.Equal(t, len(h.starts), 1)
	assert.Assert(t, h.now >= 7500*time.Millisecond, "%v", h.now)
}

// Copies for a reason for which they rarely end first are not worth their price.
func TestCopiesThatRarelyEndFirstAreGivenUp(t *testing.T) {
	var r copyResults
	assert.Assert(t, r.worthwhile())
	r.lost = 6
	assert.Assert(t, r.worthwhile())
	r.lost = 7
	assert.Assert(t, !r.worthwhile())
	r.won = 2
	assert.Assert(t, r.worthwhile())
}

func TestTaskOnALeavingWorkerGetsACopyAndGoesOn(t *testing.T) {
	for _, workers := range []int{3, 1} {
		h := newHarness(t)
		list := h.racks(workers)
		h.core.SetWorkers(h.clock(), list)
		h.add(speculativeJob(1, one))
		first := h.accept()[0]
		for i := range list {
			list[i].ClockMs = h.now.Milliseconds() + 1
			if list[i].ID == first.Worker {
				list[i].Draining, list[i].MinRemaining = true, 2*time.Second
			}
		}
		h.core.SetWorkers(h.clock(), list)
		h.flush()
		h.advance(500 * time.Millisecond)
		assert.Equal(t, len(h.starts) == 1, workers > 1)
		assert.Equal(t, h.stopped(first), workers == 1, "without a copy the task waits for a worker, so that its run need not go on")
	}
}

// takeOver returns a harness whose core has taken over from that of h.
func (h *harness) takeOver() *harness {
	n := newHarness(h.t)
	n.now, n.records, n.endCounts = h.now, h.records, h.endCounts
	n.core = New(n.clock(), h.core.settings)
	n.core.SetWorkers(n.clock(), n.racks(3))
	j := speculativeJob(1, one)
	n.core.AddJob(n.clock(), j, h.records)
	n.flush()
	return n
}

// reportRuns answers the open probe of a worker with the given runs.
func (h *harness) reportRuns(id string, runs ...Start) {
	rows := []RunInProgress{}
	for _, s := range runs {
		rows = append(rows, RunInProgress{Task: s.Task.String(), Run: s.Run, Percent: 10})
	}
	h.answerProbe(id, WorkerReport{Incarnation: 1, ClockMs: h.now.Milliseconds() + 1, Running: rows})
}

// The copy has started, or not, when another leader takes over. It may be the last to know of either run.
func TestCopiesOutliveATakeover(t *testing.T) {
	for _, started := range []bool{true, false} {
		h, first, second := copied(t)
		if started {
			h.accept()
		}
		n := h.takeOver()
		n.reportRuns(first.Worker, first)
		if started {
			n.reportRuns(second.Worker, second)
			n.endRun(second, job.EndDone)
			assert.Assert(t, n.stopped(first))
			assert.Assert(t, n.core.jobs["j"].end == job.Succeeded)
			continue
		}
		n.reportRuns(second.Worker)
		r := n.records[copiedTask]
		assert.Assert(t, r.Active && r.Run == 1 && r.Copy == nil && r.LatestRun == 2, "%+v", r)
		assert.Equal(t, len(n.starts)+len(n.stops), 0)
	}
}

// The record was written, and the leader lost, before the other run was stopped.
func TestTheOtherRunIsStoppedAfterATakeover(t *testing.T) {
	h, first, second := copied(t)
	h.accept()
	h.reportRuns(second.Worker, second)
	h.endRun(second, job.EndDone)
	r := h.records[copiedTask]
	assert.Assert(t, r.Done && r.Active && r.Run == 1, "%+v", r)
	n := newHarness(t)
	n.now = h.now
	n.core.SetWorkers(n.clock(), n.racks(3))
	n.core.AddEndedJob(n.clock(), speculativeJob(1, one), job.Succeeded, h.records)
	n.flush()
	n.reportRuns(first.Worker, first)
	assert.Assert(t, n.stopped(first))
}

// An older version that takes over adopts the first run and stops the copy as an orphan.
func TestRecordsOfCopiesAreReadByOlderVersions(t *testing.T) {
	h, first, _ := copied(t)
	r := h.records[copiedTask]
	assert.Assert(t, r.Active && r.Run == first.Run && r.Worker == first.Worker && r.Copy.Run == 2 && r.LatestRun == 2, "%+v", r)
}
