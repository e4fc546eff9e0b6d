package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"agatewinch/internal/core/job"
)

// whole is the capacity of a test worker, and one an eighth of it.
var (
	whole = job.Resources{CPU: 8000, MemMB: 8000, Accelerators: 8}
	one   = job.Resources{CPU: 1000, MemMB: 1000, Accelerators: 1}
)

func TestStartIsSentOnlyAfterItsRecord(t *testing.T) {
	h := newHarness(t)
	h.core.SetWorkers(h.clock(), h.fleet(1, whole))
	j := single("j", 0, 1, one)
	h.core.AddJob(h.clock(), j, nil)
	a := h.core.TakeActions(h.clock())
	assert.Equal(t, len(a.Starts), 0)
	batch := h.core.TakeBatch()
	assert.Equal(t, len(batch.Tasks), 1)
	assert.Assert(t, batch.Tasks[0].Record.Active)
	h.core.Recorded(h.clock(), batch)
	assert.Equal(t, len(h.core.TakeActions(h.clock()).Starts), 1)
}

// A worker is removed from the list while its task runs. Unanswered probes must not extend its
// lease, or the task would never be started elsewhere.
func TestTaskOfAnUnlistedWorkerRunsElsewhereAfterItsLease(t *testing.T) {
	h := newHarness(t)
	h.core.SetWorkers(h.clock(), h.fleet(2, whole))
	h.add(single("j", 1, 1, one))
	lost := h.accept()[0]
	var rest []WorkerInfo
	for _, info := range h.fleet(2, whole) {
		if info.ID != lost.Worker {
			rest = append(rest, info)
		}
	}
	h.core.SetWorkers(h.clock(), rest)
	for i := 0; i < 60 && len(h.starts) == 0; i++ {
		probes := h.probes
		h.probes = nil
		for _, p := range probes {
			h.core.ProbeFailed(h.clock(), p, Unanswered)
		}
		h.advance(250 * time.Millisecond)
	}
	assert.Equal(t, len(h.starts), 1)
	assert.Assert(t, h.starts[0].Worker != lost.Worker)
	assert.Equal(t, h.starts[0].Run, 2)
}

// After a takeover, a worker that is no longer listed may still run a task: the task must wait
// until the inherited lease has expired.
func TestAdoptedRunOnAnUnlistedWorkerExpires(t *testing.T) {
	h := newHarness(t)
	h.core.SetWorkers(h.clock(), h.fleet(1, whole))
	j := single("j", 1, 1, one)
	id := job.TaskID{Job: "j"}
	h.core.AddJob(h.clock(), j, map[string]job.TaskRecord{id.String(): {Run: 1, Worker: "gone", Incarnation: 7, Active: true, Started: true}})
	h.flush()
	h.advance(8 * time.Second)
	assert.Equal(t, len(h.starts), 0, "the lease of the former leader may not have expired yet")
	h.advance(8 * time.Second)
	assert.Equal(t, len(h.starts), 1)
	assert.Equal(t, h.starts[0].Run, 2)
}

// After a takeover, running tasks are adopted and not started again. Their resources stay
// allocated before their worker has answered.
func TestAdoptedRunsKeepTheirResourcesAndContinue(t *testing.T) {
	h := newHarness(t)
	h.core.SetWorkers(h.clock(), h.fleet(1, whole))
	id := job.TaskID{Job: "j"}
	h.core.AddJob(h.clock(), single("j", 1, 1, whole), map[string]job.TaskRecord{id.String(): {Run: 3, Worker: "w0", Incarnation: 1, Active: true}})
	h.add(single("k", 1, 1, one))
	assert.Equal(t, len(h.starts), 0)
	h.answerProbe("w0", WorkerReport{Incarnation: 1, ClockMs: 10, Running: []RunInProgress{{Task: id.String(), Run: 3, Percent: 40}}})
	assert.Equal(t, len(h.starts)+len(h.stops), 0)
	h.answerProbe("w0", WorkerReport{Incarnation: 1, ClockMs: 20, Ended: []EndedRun{{Number: 1, Task: id.String(), Run: 3, End: job.EndDone}}})
	assert.Equal(t, len(h.starts), 1)
	assert.Equal(t, h.starts[0].Task.Job, "k")
}

// The answer to a start is lost. The next run must not start before the first one is proven to
// have ended.
func TestUnansweredStartIsStoppedBeforeTheNextRun(t *testing.T) {
	h := newHarness(t)
	h.core.SetWorkers(h.clock(), h.fleet(2, whole))
	first := h.startUnanswered(1)
	assert.Equal(t, len(h.stops), 1)
	h.now += time.Second
	h.flush()
	assert.Equal(t, len(h.starts), 0)
	// A probe that was sent before the stop was answered proves nothing.
	early := h.probes[0]
	h.core.StopAnswered(h.clock(), h.stops[0], Accepted)
	h.core.ProbeAnswered(h.clock(), early, WorkerReport{Incarnation: 1, ClockMs: 1200})
	h.flush()
	assert.Equal(t, len(h.starts), 0)
	h.now += time.Second
	h.flush()
	h.probes = h.probes[len(h.probes)-1:]
	h.answerProbe(first.Worker, WorkerReport{Incarnation: 1, ClockMs: 2200, Running: []RunInProgress{}})
	h.advance(time.Second)
	assert.Equal(t, len(h.starts), 1)
	assert.Equal(t, h.starts[0].Run, 2)
}

func TestNewIncarnationEndsTheRunsOfTheFormerOne(t *testing.T) {
	h := newHarness(t)
	list := h.fleet(1, whole)
	h.core.SetWorkers(h.clock(), list)
	h.add(single("j", 1, 1, one))
	h.accept()
	h.answerProbe("w0", WorkerReport{Incarnation: 1, ClockMs: 10})
	list[0].Incarnation = 2
	h.core.SetWorkers(h.clock(), list)
	h.advance(time.Second)
	assert.Equal(t, len(h.starts), 1)
	assert.Equal(t, h.starts[0].Incarnation, int64(2))
}

func TestFailedTaskIsTriedElsewhereAndEndsItsJobAfterAllAttempts(t *testing.T) {
	h := newHarness(t)
	h.core.SetWorkers(h.clock(), h.fleet(4, whole))
	h.add(single("j", 1, 1, one))
	seen := map[string]bool{}
	for n := 1; n <= 3; n++ {
		s := h.accept()[0]
		assert.Equal(t, s.Run, n)
		assert.Assert(t, !seen[s.Worker])
		seen[s.Worker] = true
		h.endRun(s, job.EndFailed)
	}
	assert.Equal(t, len(h.starts), 0)
	assert.Equal(t, h.notes[len(h.notes)-1].Why, string(job.Failed))
}

func TestGangStartsWhollyOrNotAtAll(t *testing.T) {
	h := newHarness(t)
	h.core.SetWorkers(h.clock(), h.fleet(2, whole))
	h.add(gang("g", 1, 3, whole))
	assert.Equal(t, len(h.starts), 0)
	h.core.SetWorkers(h.clock(), h.fleet(3, whole))
	h.flush()
	assert.Equal(t, len(h.starts), 3)
}

func TestFailedMemberStopsTheRestOfItsGang(t *testing.T) {
	h := newHarness(t)
	h.core.SetWorkers(h.clock(), h.fleet(2, whole))
	h.add(gang("g", 1, 2, whole))
	s := h.accept()
	h.endRun(s[0], job.EndFailed)
	assert.Equal(t, len(h.stops), 1)
	assert.Equal(t, h.stops[0].Worker, s[1].Worker)
	h.advance(time.Second)
	assert.Equal(t, len(h.starts), 0, "a member of the first run has not ended yet")
	h.endRun(s[1], job.EndStopped)
	h.advance(time.Second)
	assert.Equal(t, len(h.starts), 2)
	assert.Equal(t, h.starts[0].Run, 2)
}

// An urgent gang preempts runs on a full fleet. It must start as soon as the last of the stopped
// runs has ended.
func TestUrgentGangStartsWhenTheStoppedRunsHaveEnded(t *testing.T) {
	h := newHarness(t)
	h.core.SetGuarantees(map[string]int64{"org": 40})
	h.core.SetWorkers(h.clock(), h.fleet(6, whole))
	h.add(single("low", 2, 48, one))
	running := map[string]Start{}
	for _, s := range h.accept() {
		running[s.Task.String()] = s
	}
	assert.Equal(t, len(running), 48)
	urgent := gang("urgent", 0, 5, job.Resources{CPU: 3000, MemMB: 3000, Accelerators: 3})
	urgent.Steps[0].SameRack = true
	h.add(urgent)
	h.advance(time.Second)
	assert.Equal(t, len(h.stops), 15, "want three stops on each of five workers")
	for _, s := range h.stops {
		assert.Equal(t, len(h.starts), 0)
		h.endRun(running[s.Task.String()], job.EndStopped)
	}
	assert.Equal(t, len(h.starts), 5)
}

func TestPlanIsDroppedWhenItsWorkerIsUnlisted(t *testing.T) {
	h := newHarness(t)
	h.core.SetGuarantees(map[string]int64{"org": 8})
	h.core.SetWorkers(h.clock(), h.fleet(2, whole))
	h.add(single("low", 2, 16, one))
	h.accept()
	h.add(single("urgent", 0, 1, whole))
	h.advance(time.Second)
	planned := h.stops[0].Worker
	var rest []WorkerInfo
	for _, info := range h.fleet(2, whole) {
		if info.ID != planned {
			rest = append(rest, info)
		}
	}
	h.stops = nil
	h.core.SetWorkers(h.clock(), rest)
	h.advance(time.Second)
	elsewhere := 0
	for _, s := range h.stops {
		if s.Worker != planned {
			elsewhere++ // stops on the planned worker are retries
		}
	}
	assert.Equal(t, elsewhere, 8)
}

// Urgent work within its organisation's guarantee preempts the urgent work of an organisation
// that exceeds its own guarantee.
func TestGuaranteedWorkPreemptsWorkBeyondAGuarantee(t *testing.T) {
	h := newHarness(t)
	h.core.SetGuarantees(map[string]int64{"owner": 8})
	h.core.SetWorkers(h.clock(), h.fleet(1, whole))
	h.add(single("borrower", 0, 1, whole))
	borrowed := h.accept()[0]
	owned := single("owned", 0, 1, whole)
	owned.Org = "owner"
	h.add(owned)
	h.advance(time.Second)
	assert.Equal(t, len(h.stops), 1)
	h.endRun(borrowed, job.EndStopped)
	assert.Equal(t, h.starts[0].Task.Job, "owned")
}

// Work with slack leaves part of the racks free, so that an urgent gang starts without
// preemption.
func TestWorkWithSlackAvoidsTheRacksKeptForUrgentWork(t *testing.T) {
	h := newHarness(t)
	h.core.SetGuarantees(map[string]int64{"org": 48})
	h.core.SetWorkers(h.clock(), h.fleet(48, whole))
	h.add(single("first", 0, 1, one))
	h.accept()
	low := single("low", 2, 500, one)
	low.Steps[0].Estimate = 10 * time.Second
	h.add(low)
	assert.Equal(t, len(h.accept()), 30*8, "three eighths of the racks stay free for urgent work")
	urgent := gang("urgent", 0, 6, whole)
	urgent.Steps[0].SameRack = true
	h.add(urgent)
	assert.Equal(t, len(h.starts), 6)
	assert.Equal(t, len(h.stops), 0)
}

// Racks are kept free for urgent work only until urgentRecent after the last urgent job: a gang that
// needs the whole fleet must not wait longer than that while the fleet is idle.
func TestNoRacksAreKeptFreeWithoutUrgentArrivals(t *testing.T) {
	h := newHarness(t)
	h.core.SetWorkers(h.clock(), h.fleet(24, whole))
	h.add(gang("wide", 1, 24, whole))
	assert.Equal(t, len(h.accept()), 24)

	h = newHarness(t)
	h.core.SetWorkers(h.clock(), h.fleet(24, whole))
	h.add(single("urgent", 0, 1, one))
	h.endRun(h.accept()[0], job.EndDone)
	h.add(gang("wide", 1, 24, whole))
	assert.Equal(t, len(h.starts), 0)
	h.advance(urgentRecent + 250*time.Millisecond)
	assert.Equal(t, len(h.starts), 24)
}

func TestWorkWithoutSlackUsesAllRacks(t *testing.T) {
	h := newHarness(t)
	h.now = time.Minute
	h.core.SetWorkers(h.clock(), h.fleet(48, whole))
	late := single("late", 2, 500, one)
	late.AcceptedMs = 1
	h.core.AddJob(h.clock(), late, nil)
	h.flush()
	assert.Equal(t, len(h.starts), 48*8)
}

// Small tasks must not take the capacity that becomes free while a gang waits for enough of it.
func TestSmallTasksLeaveTheCapacityThatAGangWaitsFor(t *testing.T) {
	h := newHarness(t)
	h.core.SetWorkers(h.clock(), h.fleet(2, whole))
	first := single("first", 1, 2, whole)
	h.add(first)
	s := h.accept()
	h.add(gang("gang", 1, 2, whole))
	small := single("small", 2, 16, one)
	small.Steps[0].Estimate = time.Minute
	h.add(small)
	h.endRun(s[0], job.EndDone)
	assert.Equal(t, len(h.starts), 0, "the free capacity is reserved for the gang")
	h.endRun(s[1], job.EndDone)
	assert.Equal(t, len(h.starts), 2)
	assert.Equal(t, h.starts[0].Task.Job, "gang")
}

// A worker repeats an end until it is acknowledged, so with a slow log each probe would be answered
// at once with the same end. No probe may be sent before the end is recorded.
func TestNoProbeWhileEndsAreBeingRecorded(t *testing.T) {
	h := newHarness(t)
	h.core.SetWorkers(h.clock(), h.fleet(1, whole))
	h.add(single("j", 1, 2, one))
	s := h.accept()
	h.core.ProbeAnswered(h.clock(), h.probes[0], WorkerReport{Incarnation: 1, ClockMs: 5, Running: []RunInProgress{{Task: s[1].Task.String(), Run: 1}},
		Ended: []EndedRun{{Number: 1, Task: s[0].Task.String(), Run: 1, End: job.EndDone}}})
	a := h.core.TakeActions(h.clock())
	assert.Equal(t, len(a.Probes), 0)
	h.core.Recorded(h.clock(), h.core.TakeBatch())
	a = h.core.TakeActions(h.clock())
	assert.Equal(t, len(a.Probes), 1)
	assert.Equal(t, a.Probes[0].Ack, int64(1))
}

func TestEndIsAcknowledgedOnlyOnceRecorded(t *testing.T) {
	h := newHarness(t)
	h.core.SetWorkers(h.clock(), h.fleet(1, whole))
	h.add(single("j", 1, 2, one)) // one task goes on, so that its worker is probed
	started := h.accept()
	s, p := started[0], h.probes[0]
	running := []RunInProgress{{Task: started[1].Task.String(), Run: 1}}
	h.core.ProbeAnswered(h.clock(), p, WorkerReport{Incarnation: 1, ClockMs: 5, Running: running, Ended: []EndedRun{{Number: 4, Task: s.Task.String(), Run: 1, End: job.EndDone}}})
	h.now += 6 * time.Second // half of the lease is over, so a probe is sent; it must not acknowledge the end yet
	a := h.core.TakeActions(h.clock())
	assert.Equal(t, len(a.Probes), 1)
	assert.Equal(t, a.Probes[0].Ack, int64(0))
	h.core.Recorded(h.clock(), h.core.TakeBatch())
	h.core.ProbeAnswered(h.clock(), a.Probes[0], WorkerReport{Incarnation: 1, ClockMs: 6000, Running: running})
	a = h.core.TakeActions(h.clock())
	assert.Equal(t, len(a.Probes), 1)
	assert.Equal(t, a.Probes[0].Ack, int64(4))
}

func TestCancelledJobStopsAndStartsNoMore(t *testing.T) {
	h := newHarness(t)
	h.core.SetWorkers(h.clock(), h.fleet(1, whole))
	h.add(single("j", 1, 12, one))
	running := h.accept()
	assert.Equal(t, len(running), 8)
	h.core.CancelJob(h.clock(), "j")
	h.flush()
	assert.Equal(t, len(h.stops), 8)
	for _, s := range running {
		h.endRun(s, job.EndStopped)
	}
	assert.Equal(t, len(h.starts), 0)
}

func TestDrainingWorkerGetsNoNewTasks(t *testing.T) {
	h := newHarness(t)
	list := h.fleet(1, whole)
	list[0].Draining = true
	h.core.SetWorkers(h.clock(), list)
	h.add(single("j", 0, 1, one))
	assert.Equal(t, len(h.starts), 0)
}

// A worker starts to drain between a placement and its record: the start must not be sent.
func TestStartIsDroppedWhenItsWorkerDrainsBeforeTheRecord(t *testing.T) {
	h := newHarness(t)
	list := h.fleet(1, whole)
	h.core.SetWorkers(h.clock(), list)
	h.core.AddJob(h.clock(), single("j", 0, 1, one), nil)
	h.core.TakeActions(h.clock())
	batch := h.core.TakeBatch()
	list[0].Draining = true
	h.core.SetWorkers(h.clock(), list)
	h.core.Recorded(h.clock(), batch)
	assert.Equal(t, len(h.core.TakeActions(h.clock()).Starts), 0)
}

func TestStepWaitsForTheStepsBeforeIt(t *testing.T) {
	h := newHarness(t)
	h.core.SetWorkers(h.clock(), h.fleet(1, whole))
	j := single("j", 1, 2, one)
	j.Steps = append(j.Steps, job.Step{Count: 1, Need: one, After: []int{0}})
	h.add(j)
	s := h.accept()
	assert.Equal(t, len(s), 2)
	h.endRun(s[0], job.EndDone)
	assert.Equal(t, len(h.starts), 0)
	h.endRun(s[1], job.EndDone)
	assert.Equal(t, h.starts[0].Task.Step, 1)
}

func TestOccurrenceWaitsForItsTime(t *testing.T) {
	h := newHarness(t)
	h.core.SetWorkers(h.clock(), h.fleet(1, whole))
	j := single("j", 1, 1, one)
	j.OccurrenceCount, j.FirstDueMs, j.IntervalMs = 2, 3000, 2000
	h.add(j)
	h.advance(2750 * time.Millisecond)
	assert.Equal(t, len(h.starts), 0)
	h.advance(500 * time.Millisecond)
	assert.Equal(t, len(h.starts), 1)
	h.advance(2 * time.Second)
	assert.Equal(t, len(h.starts), 2)
	assert.Equal(t, h.starts[1].Task.Occurrence, 1)
}

func TestNoMoreTasksOnAWorkerThanTheStepAllows(t *testing.T) {
	h := newHarness(t)
	h.core.SetWorkers(h.clock(), h.fleet(2, whole))
	j := single("j", 1, 5, one)
	j.Steps[0].MaxPerWorker = 2
	h.add(j)
	assert.Equal(t, len(h.starts), 4)
}

func TestTaskRunsOnlyOnWorkersWithItsLabel(t *testing.T) {
	h := newHarness(t)
	list := h.fleet(2, whole)
	list[1].Labels = []string{"b"}
	h.core.SetWorkers(h.clock(), list)
	j := single("j", 1, 3, one)
	j.Steps[0].Label = "b"
	h.add(j)
	for _, s := range h.starts {
		assert.Equal(t, s.Worker, "w1")
	}
	assert.Equal(t, len(h.starts), 3)
}

// A worker answers, but its task makes no progress: the task is stopped and placed elsewhere.
func TestStalledTaskMovesToAnotherWorker(t *testing.T) {
	h := newHarness(t)
	h.core.SetWorkers(h.clock(), h.fleet(2, whole))
	h.add(single("j", 1, 1, one))
	s := h.accept()[0]
	for range 4 {
		h.now += 2 * time.Second
		h.core.ProbeAnswered(h.clock(), h.probes[len(h.probes)-1], WorkerReport{Incarnation: 1, ClockMs: h.now.Milliseconds(), Running: []RunInProgress{{Task: s.Task.String(), Run: 1, Percent: 7}}})
		h.core.Tick(h.clock())
		h.flush()
	}
	assert.Assert(t, len(h.stops) > 0)
	assert.Equal(t, h.stops[0].Task, s.Task)
	h.endRun(s, job.EndStopped)
	assert.Equal(t, len(h.starts), 1)
	assert.Assert(t, h.starts[0].Worker != s.Worker)
}

// The tasks of two jobs have the same needs, but only the second job has no slack left. That the
// first job finds no worker must not block the second.
func TestJobWithoutSlackIsNotBlockedByOneWithSlack(t *testing.T) {
	h := newHarness(t)
	h.now = time.Minute
	h.core.SetWorkers(h.clock(), h.fleet(24, whole))
	h.add(single("first", 0, 1, one))
	h.endRun(h.accept()[0], job.EndDone)
	h.add(single("spare", 2, 200, one))
	assert.Equal(t, len(h.accept()), 12*8)
	late := single("late", 2, 200, one)
	late.AcceptedMs = 1
	h.core.AddJob(h.clock(), late, nil)
	h.flush()
	assert.Equal(t, len(h.starts), 12*8)
}

func TestGangRunsWhereItsDataIs(t *testing.T) {
	h := newHarness(t)
	h.core.SetWorkers(h.clock(), h.fleet(18, whole))
	g := gang("g", 1, 4, whole)
	g.Steps[0].DataRack = "r2"
	h.add(g)
	assert.Equal(t, len(h.starts), 4)
	for _, s := range h.starts {
		assert.Equal(t, h.core.workers[s.Worker].Rack, "r2")
	}
}

// A worker fails some of the runs that it starts: a gang's next run avoids the worker on which a
// member failed.
func TestGangAvoidsTheWorkerOnWhichItFailed(t *testing.T) {
	h := newHarness(t)
	h.core.SetWorkers(h.clock(), h.fleet(3, whole))
	h.add(gang("g", 1, 2, whole))
	s := h.accept()
	h.endRun(s[0], job.EndFailed)
	h.endRun(s[1], job.EndBroken)
	h.advance(time.Second)
	assert.Equal(t, len(h.starts), 2)
	for _, again := range h.starts {
		assert.Assert(t, again.Worker != s[0].Worker)
	}
}

// A worker fails a task immediately while all others are full: the task waits for another one
// instead of using up its attempts on the first.
func TestFailedTaskWaitsForAnotherWorker(t *testing.T) {
	h := newHarness(t)
	h.core.SetWorkers(h.clock(), h.fleet(2, whole))
	h.add(single("full", 1, 1, whole))
	h.add(single("j", 1, 1, one))
	s := h.accept()
	h.endRun(s[1], job.EndFailed)
	h.advance(time.Second)
	assert.Equal(t, len(h.starts), 0)
	h.endRun(s[0], job.EndDone)
	assert.Equal(t, len(h.starts), 1)
	assert.Assert(t, h.starts[0].Worker != s[1].Worker)
}

// A worker that fails tasks of different jobs gets no new work for a while.
func TestWorkerThatFailsDifferentJobsIsQuarantined(t *testing.T) {
	h := newHarness(t)
	h.core.SetWorkers(h.clock(), h.fleet(1, whole))
	for _, id := range []string{"a", "b", "c"} {
		h.add(single(id, 1, 1, one))
	}
	for _, s := range h.accept() {
		h.starts = nil
		h.endRun(s, job.EndFailed)
	}
	assert.Equal(t, len(h.starts), 0)
	h.advance(minQuarantine + time.Second)
	assert.Assert(t, len(h.starts) > 0, "no start after the end of the quarantine")
}

// Equal events must give equal orders. Guards against decisions that depend on the iteration order
// of a map.
func TestReplayGivesTheSameOrders(t *testing.T) {
	runScenario := func() []Start {
		h := newHarness(t)
		h.core.SetWorkers(h.clock(), h.fleet(12, whole))
		for i, id := range []string{"a", "b", "c", "d", "e", "f"} {
			h.add(gang(id, i%3, 1+i, one))
		}
		return h.starts
	}
	first, second := runScenario(), runScenario()
	assert.Equal(t, len(first), len(second))
	for i := range first {
		assert.Equal(t, first[i].Task, second[i].Task)
		assert.Equal(t, first[i].Worker, second[i].Worker)
	}
}
