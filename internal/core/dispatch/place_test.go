package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"agatewinch/internal/core/job"
)

// Guards against a job that never starts on an idle fleet because an earlier one with tasks of the
// same shape has reached its limit of tasks on every worker.
func TestJobStartsBesideOneOfItsShapeThatHasReachedItsLimitPerWorker(t *testing.T) {
	h := newHarness(t)
	h.core.SetWorkers(h.clock(), h.fleet(3, whole))
	first := single("first", 2, 4, one)
	first.Steps[0].MaxPerWorker, first.Steps[0].LongRunning = 1, true
	h.add(first)
	assert.Equal(t, len(h.accept()), 3, "the fourth task exceeds the limit on each worker")
	second := single("second", 2, 2, one)
	second.Steps[0].MaxPerWorker = 1
	h.add(second)
	assert.Equal(t, len(h.starts), 2)
	for _, s := range h.starts {
		assert.Equal(t, s.Task.Job, "second")
	}
}

// Guards against a task that waits for another worker after a failure and thereby blocks the tasks of
// its step that have not failed anywhere.
func TestTaskThatAvoidsAWorkerDoesNotBlockTheRestOfItsStep(t *testing.T) {
	h := newHarness(t)
	h.core.SetWorkers(h.clock(), h.fleet(2, whole))
	h.add(single("full", 1, 1, whole))
	h.accept()
	h.add(single("j", 1, 9, one))
	s := h.accept()
	assert.Equal(t, len(s), 8, "one task waits for capacity")
	failed := s[0]
	h.endRun(failed, job.EndFailed)
	h.advance(time.Second)
	assert.Equal(t, len(h.starts), 1)
	assert.Equal(t, h.starts[0].Task.Index, 8)
	assert.Equal(t, h.starts[0].Worker, failed.Worker)
}

// lastingJob returns a job whose tasks run until it is cancelled.
func lastingJob(id string, count int, need job.Resources) *job.Job {
	j := single(id, 1, count, need)
	j.Steps[0].LongRunning = true
	return j
}

// Guards against a task that failed once and is never started again, because the only other worker it may
// use is held by a task that does not end.
func TestFailedTaskReturnsToItsWorkerWhenTheOthersAreHeldForGood(t *testing.T) {
	for _, tc := range []struct {
		name string
		job  *job.Job
	}{
		{"long-running task", lastingJob("j", 1, one)},
		{"task", single("j", 1, 1, one)},
		{"gang", gang("j", 1, 1, one)},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := newHarness(t)
			h.core.SetWorkers(h.clock(), h.fleet(2, whole))
			h.add(lastingJob("held", 1, whole))
			h.accept()
			h.add(tc.job)
			failed := h.accept()[0]
			h.endRun(failed, job.EndFailed)
			assert.Equal(t, len(h.starts), 1)
			assert.Equal(t, h.starts[0].Worker, failed.Worker)
		})
	}
}

// Guards against the same where the other workers already have as many tasks of the step as it allows.
func TestFailedLongRunningTaskReturnsWhenItsStepIsAtItsLimitElsewhere(t *testing.T) {
	h := newHarness(t)
	h.core.SetWorkers(h.clock(), h.fleet(2, whole))
	j := lastingJob("j", 2, one)
	j.Steps[0].MaxPerWorker = 1
	h.add(j)
	failed := h.accept()[0]
	h.endRun(failed, job.EndFailed)
	assert.Equal(t, len(h.starts), 1)
	assert.Equal(t, h.starts[0].Worker, failed.Worker)
}

// A long-running task has no limit of attempts: it does not wait for long until other work ends
// elsewhere.
func TestFailedLongRunningTaskAvoidsItsWorkerForABoundedTime(t *testing.T) {
	h := newHarness(t)
	h.core.SetWorkers(h.clock(), h.fleet(2, whole))
	h.add(single("full", 1, 1, whole))
	h.accept()
	h.add(lastingJob("j", 1, one))
	failed := h.accept()[0]
	h.endRun(failed, job.EndFailed)
	h.advanceAnsweringProbes(minAvoidance - time.Second)
	assert.Equal(t, len(h.starts), 0)
	h.advanceAnsweringProbes(time.Second)
	assert.Equal(t, len(h.starts), 1)
	assert.Equal(t, h.starts[0].Worker, failed.Worker)
}

// Guards against a job that has nothing running for as long as work of other jobs takes, because its only task
// failed once on a worker that is sound again and has capacity.
func TestFailedTaskAvoidsItsWorkerForABoundedTime(t *testing.T) {
	for _, j := range []*job.Job{single("j", 1, 1, one), gang("j", 1, 1, one)} {
		h := newHarness(t)
		h.core.SetWorkers(h.clock(), h.fleet(2, whole))
		full := single("full", 1, 1, whole)
		full.Steps[0].Estimate = time.Hour
		h.add(full)
		h.accept()
		h.add(j)
		for _, wait := range []time.Duration{minAvoidance, 2 * minAvoidance} {
			failed := h.accept()[0]
			h.endRun(failed, job.EndFailed)
			h.advanceAnsweringProbes(wait - time.Second)
			assert.Equal(t, len(h.starts), 0)
			h.advanceAnsweringProbes(time.Second)
			assert.Equal(t, len(h.starts), 1)
			assert.Equal(t, h.starts[0].Worker, failed.Worker)
		}
	}
}

// urgentRackHarness returns a harness with four racks, of which only the first has workers with the label
// "b", shortly after an urgent job has arrived.
func urgentRackHarness(t *testing.T) *harness {
	t.Helper()
	h := newHarness(t)
	list := h.fleet(24, whole)
	for i := range 6 {
		list[i].Labels = []string{"b"}
	}
	h.core.SetWorkers(h.clock(), list)
	h.add(single("urgent", urgentPriority, 1, one))
	h.accept()
	return h
}

// Guards against a job that waits on an idle fleet for as long as its slack lasts, because all workers with the
// label that it requires are on racks that are kept free for urgent work.
func TestJobMayUseUrgentRacksIfNoOthersHaveItsLabel(t *testing.T) {
	for _, gang := range []bool{false, true} {
		h := urgentRackHarness(t)
		j := single("j", 2, 2, whole)
		j.Steps[0].Label, j.Steps[0].Gang = "b", gang
		h.add(j)
		assert.Equal(t, len(h.starts), 2)
	}
}

// A long-running task has no slack to use up: it serves from its start on.
func TestLongRunningTaskDoesNotWaitForOtherRacks(t *testing.T) {
	h := urgentRackHarness(t)
	h.add(single("full", 2, 18, whole))
	h.accept()
	lasting := lastingJob("lasting", 1, whole)
	h.add(lasting)
	assert.Equal(t, len(h.starts), 1)
	h.accept()
	h.add(single("other", 2, 1, whole))
	assert.Equal(t, len(h.starts), 0, "other work with slack still leaves these racks free")
}
