package core

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"agatewinch/internal/errkind"
)

// oneWorkerCore returns a core with one live worker that has listed the tasks in found.
func oneWorkerCore(found ...FoundTask) *Core {
	c := New(Options{Zone: "a", LeaseTTL: time.Second, ReserveTTL: time.Second})
	cfg := &Config{Generation: 1, Workers: []Worker{{ID: "w", Zone: "a", Rack: "r", CPU: 8, MemoryBytes: 8, Accelerators: 8, Slots: 8}}}
	c.Step(0, ConfigChanged{Config: cfg})
	c.Step(0, TasksFound{Worker: "w", Tasks: found})
	c.Step(0, WorkerChanged{Worker: "w", Health: WorkerLive})
	return c
}

// TestAdmittedJobIsPlacedAgainWhenItsPlacementIsNotRecorded reports that the first placement
// was not recorded: the job must not end, and must be placed again as a new attempt.
func TestAdmittedJobIsPlacedAgainWhenItsPlacementIsNotRecorded(t *testing.T) {
	c := oneWorkerCore()
	out := c.Step(1, JobSubmitted{Job: Job{ID: "j", Logged: true, Shape: Shape{Cells: 1, CellSize: 8, CPU: 1}}})
	first := out[0].(RecordPlacement)
	out = c.Step(2, PlacementRecorded{Job: "j", Attempt: first.Attempt, OK: false})
	for _, a := range out {
		_, ended := a.(JobEnded)
		assert.Assert(t, !ended)
	}
	out = c.Step(Instant(time.Minute), Tick{})
	again := out[0].(RecordPlacement)
	assert.Assert(t, again.Attempt > first.Attempt)
}

// TestEndOfAnOrphanTaskIsReportedWhenItsJobIsSubmitted ends a task of an orphan job, one
// that was not yet submitted to this leader. The job must not run again, and its outcome
// must be reported when it is submitted.
func TestEndOfAnOrphanTaskIsReportedWhenItsJobIsSubmitted(t *testing.T) {
	job := Job{ID: "j", Idempotent: true, Shape: Shape{Cells: 1, CellSize: 8, CPU: 1}}
	ref := TaskRef{Job: "j", Attempt: 1}
	c := oneWorkerCore(FoundTask{Task: ref, Cell: 0xff, Started: true, Job: job})
	out := c.Step(1, TaskEnded{Task: ref, Worker: "w", OK: true, Output: []byte("done")})
	assert.Equal(t, len(out), 0)
	out = c.Step(2, JobSubmitted{Job: job})
	assert.Equal(t, len(out), 1)
	ended := out[0].(JobEnded)
	assert.Equal(t, ended.Outcome.State, Succeeded)
	assert.Equal(t, ended.Outcome.Ran, errkind.RanYes)
	assert.Equal(t, string(ended.Outcome.Outputs[0].Output), "done")
}

// Guards against a job that ran and is reported as never_runnable, which says that it was not run: a gate would
// run it again in another zone.
func TestJobThatRanIsNotReportedAsNeverRunnable(t *testing.T) {
	for _, started := range []startStatus{startNo, startUnknown, startYes} {
		c := oneWorkerCore()
		c.Step(1, JobSubmitted{Job: Job{ID: "j", Shape: Shape{Cells: 1, CellSize: 8, CPU: 9}}})
		c.Step(1, JobSubmitted{Job: Job{ID: "k", Shape: Shape{Cells: 1, CellSize: 8, CPU: 1}}})
		assert.Equal(t, len(c.jobs), 1, "j can never run")
		j := c.jobs["k"]
		j.earlierStart = started
		j.Shape.CPU, j.checkedGeneration = 9, 0 // as if a new configuration had smaller workers
		assert.Assert(t, c.failIfNeverFits(2, j))
		out := c.actions
		ended := out[len(out)-1].(JobEnded)
		if started == startNo {
			assert.Equal(t, ended.Outcome.Kind, errkind.NeverRunnable)
			continue
		}
		assert.Equal(t, ended.Outcome.Kind, errkind.OutcomeUnknown)
		assert.Assert(t, ended.Outcome.Ran != errkind.RanNo)
	}
}
