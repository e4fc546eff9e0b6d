package dispatch

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"agatewinch/internal/core/job"
)

// runSlowly answers the probes of all workers for the given time, as workers do whose tasks take
// perPercent for each percent of their work, and ends stopped runs.
func (h *harness) runSlowly(d, perPercent time.Duration) {
	h.t.Helper()
	for end := h.now + d; h.now < end; {
		h.accept()
		h.advance(time.Second)
		for _, s := range h.stops {
			if r := h.core.tasks[s.Task.String()].current; r != nil && r.number == s.Run {
				h.core.endRun(h.clock(), r, job.EndStopped, "")
			}
		}
		h.stops = nil
		for _, p := range append([]Probe(nil), h.probes...) {
			rep := WorkerReport{Incarnation: 1, ClockMs: h.now.Milliseconds() + 1, Running: []RunInProgress{}}
			for _, r := range h.core.runsOf(h.core.workers[p.Worker]) {
				if r.confirmed {
					rep.Running = append(rep.Running, RunInProgress{Task: r.task.id.String(), Run: r.number, Percent: int((h.now - r.confirmedAt) / perPercent)})
				}
			}
			h.answerProbe(p.Worker, rep)
		}
	}
}

// Guards against tasks that take minutes and are stopped as stalled within seconds, again and again,
// with their workers in quarantine.
func TestTaskThatTakesMinutesIsNotTakenForStalled(t *testing.T) {
	h := newHarness(t)
	h.core.SetWorkers(h.clock(), h.fleet(6, whole))
	j := single("j", 1, 3, whole)
	j.Steps[0].Estimate = 10 * time.Minute
	h.add(j)
	h.runSlowly(time.Minute, 6*time.Second)
	for _, task := range h.core.jobs["j"].occurrences[0].steps[0].tasks {
		assert.Equal(t, task.latestRun, 1)
	}
}

// Guards against the same where the estimate is far too low.
func TestSlowTaskWithALowEstimateIsStoppedOnceAtMost(t *testing.T) {
	h := newHarness(t)
	h.core.SetWorkers(h.clock(), h.fleet(6, whole))
	h.add(single("j", 1, 3, whole))
	h.runSlowly(time.Minute, 6*time.Second)
	for _, task := range h.core.jobs["j"].occurrences[0].steps[0].tasks {
		assert.Equal(t, task.latestRun, 2)
	}
	quarantined := 0
	for _, w := range h.core.sortedWorkers {
		if w.health.lastQuarantine > 0 {
			quarantined++
		}
	}
	assert.Equal(t, quarantined, 3, "a second stall speaks against the task, not against its worker")
}

// A run that resumes from a checkpoint reports the progress of former runs, which tells nothing about its
// own speed.
func TestStallTimeoutOfAResumedRunFollowsItsOwnProgress(t *testing.T) {
	h := newHarness(t)
	r := &run{task: &task{step: &step{spec: &job.Step{Estimate: time.Second}}}, percent: 42, firstPercent: 40, firstPercentAt: 10 * time.Second, percentAt: 30 * time.Second}
	assert.Equal(t, h.core.stallTimeout(r), 20*time.Second)
}

func TestStallTimeoutIsBoundedForAnyEstimate(t *testing.T) {
	h := newHarness(t)
	r := &run{task: &task{step: &step{spec: &job.Step{Estimate: job.MaxDuration}}}}
	assert.Equal(t, h.core.stallTimeout(r), maxStallTimeout)
	r.task.stalls = 1000
	assert.Equal(t, h.core.stallTimeout(r), maxStallTimeout<<maxStallBackoff)
}

// Guards against a fleet without usable workers: jobs that fail wherever they run put every worker into
// quarantine, one after the other, and nothing else could start.
func TestJobsThatFailEverywhereDoNotQuarantineTheFleet(t *testing.T) {
	h := newHarness(t)
	h.core.SetWorkers(h.clock(), h.fleet(4, whole))
	ids := []string{"a", "b", "c"}
	for _, id := range ids {
		j := single(id, 1, 1, one)
		j.Attempts = 4
		h.add(j)
	}
	for range 4 * len(ids) {
		if len(h.starts) == 0 {
			break
		}
		s := h.starts[0]
		h.starts = h.starts[1:]
		h.core.StartAnswered(h.clock(), s, Accepted)
		h.flush()
		h.endRun(s, job.EndFailed)
	}
	for _, id := range ids {
		assert.Assert(t, h.core.jobs[id] == nil, "job %s has not used its attempts up", id)
	}
	quarantined := 0
	for _, w := range h.core.sortedWorkers {
		if w.health.quarantined(h.now) {
			quarantined++
		}
	}
	assert.Assert(t, quarantined <= 1, "%d workers are in quarantine", quarantined)
}

// Guards against a job that waits for its workers' quarantine before each of its attempts: it has failed there
// before, so that its failures tell nothing new about them.
func TestRepeatedFailureOfAJobDoesNotRenewAQuarantine(t *testing.T) {
	h := newHarness(t)
	h.core.SetWorkers(h.clock(), h.fleet(1, whole))
	for _, id := range []string{"a", "b", "c"} {
		h.add(single(id, 1, 1, one))
	}
	for _, s := range h.accept() {
		h.endRun(s, job.EndFailed)
	}
	w := h.core.workers["w0"]
	assert.Assert(t, w.health.quarantined(h.now))
	h.advance(minQuarantine + time.Second)
	for _, s := range h.accept() {
		h.endRun(s, job.EndFailed)
	}
	assert.Assert(t, !w.health.quarantined(h.now))
	h.add(single("d", 1, 1, one))
	for _, s := range h.accept() {
		if s.Task.Job == "d" {
			h.endRun(s, job.EndFailed)
		}
	}
	assert.Assert(t, w.health.quarantined(h.now), "another job fails as well")
}

// Guards against long-running tasks that wait for the quarantine of the only worker that may run them, when it has
// long been sound: the operators allow 6 s after the last run and 3 s more.
func TestOnlyWorkerOfALongRunningTaskIsBackInTime(t *testing.T) {
	const maxIdle = 9 * time.Second
	h := newHarness(t)
	h.core.SetWorkers(h.clock(), h.fleet(1, whole))
	for i := range 8 {
		h.add(lastingJob(fmt.Sprintf("job%d", i), 1, one))
		if len(h.starts) == 0 {
			continue // in quarantine
		}
		for _, s := range h.accept() {
			h.endRun(s, job.EndFailed)
		}
		failedAt := h.now
		for len(h.starts) == 0 {
			h.advance(250 * time.Millisecond)
			assert.Assert(t, h.now-failedAt < maxIdle, "nothing runs %v after the failure", h.now-failedAt)
		}
	}
	assert.Equal(t, h.core.workers["w0"].health.lastQuarantine, maxQuarantine)
}
