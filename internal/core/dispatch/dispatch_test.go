package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"agatewinch/internal/core/job"
)

var (
	whole = job.Resources{CPU: 8000, MemMB: 8000, Accelerators: 8}
	one   = job.Resources{CPU: 1000, MemMB: 1000, Accelerators: 1}
)

func TestStartGoesOutOnlyAfterItsRecord(t *testing.T) {
	b := newHarness(t)
	b.core.SetWorkers(b.clock(), b.fleet(1, whole))
	j := single("j", 0, 1, one)
	b.core.AddJob(b.clock(), j, nil)
	a := b.core.TakeActions(b.clock())
	assert.Equal(t, len(a.Starts), 0)
	batch := b.core.TakeBatch()
	assert.Equal(t, len(batch.Tasks), 1)
	assert.Assert(t, batch.Tasks[0].Record.Active)
	b.core.Recorded(b.clock(), batch)
	assert.Equal(t, len(b.core.TakeActions(b.clock()).Starts), 1)
}

// A worker disappears while its task runs. Probes that are not answered must not extend its
// lease, or the task would never be started elsewhere.
func TestTaskOfAGoneWorkerRunsElsewhereAfterOneLease(t *testing.T) {
	b := newHarness(t)
	b.core.SetWorkers(b.clock(), b.fleet(2, whole))
	b.add(single("j", 1, 1, one))
	lost := b.accept()[0]
	var rest []WorkerInfo
	for _, info := range b.fleet(2, whole) {
		if info.ID != lost.Worker {
			rest = append(rest, info)
		}
	}
	b.core.SetWorkers(b.clock(), rest)
	for i := 0; i < 60 && len(b.starts) == 0; i++ {
		holds := b.probes
		b.probes = nil
		for _, h := range holds {
			b.core.ProbeFailed(b.clock(), h, Unanswered)
		}
		b.advance(250 * time.Millisecond)
	}
	assert.Equal(t, len(b.starts), 1)
	assert.Assert(t, b.starts[0].Worker != lost.Worker)
	assert.Equal(t, b.starts[0].Run, 2)
}

// After a takeover, a worker that is no longer listed may still run a task: the task must wait
// until the inherited lease has expired.
func TestAdoptedRunOnAnUnlistedWorkerExpires(t *testing.T) {
	b := newHarness(t)
	b.core.SetWorkers(b.clock(), b.fleet(1, whole))
	j := single("j", 1, 1, one)
	id := job.TaskID{Job: "j"}
	b.core.AddJob(b.clock(), j, map[string]job.TaskRecord{id.String(): {Run: 1, Worker: "gone", Incarnation: 7, Active: true, Started: true}})
	b.flush()
	b.advance(8 * time.Second)
	assert.Equal(t, len(b.starts), 0, "the former decider may still hold the worker")
	b.advance(8 * time.Second)
	assert.Equal(t, len(b.starts), 1)
	assert.Equal(t, b.starts[0].Run, 2)
}

// After a takeover, running tasks are adopted and not started again. Their resources stay
// allocated before their worker has answered.
func TestAdoptedRunsKeepTheirResourcesAndGoOn(t *testing.T) {
	b := newHarness(t)
	b.core.SetWorkers(b.clock(), b.fleet(1, whole))
	id := job.TaskID{Job: "j"}
	b.core.AddJob(b.clock(), single("j", 1, 1, whole), map[string]job.TaskRecord{id.String(): {Run: 3, Worker: "w0", Incarnation: 1, Active: true}})
	b.add(single("k", 1, 1, one))
	assert.Equal(t, len(b.starts), 0)
	b.answerProbe("w0", WorkerReport{Incarnation: 1, ClockMs: 10, Running: []RunningTask{{Task: id.String(), Run: 3, Percent: 40}}})
	assert.Equal(t, len(b.starts)+len(b.stops), 0)
	b.answerProbe("w0", WorkerReport{Incarnation: 1, ClockMs: 20, Ended: []EndedTask{{Number: 1, Task: id.String(), Run: 3, How: job.EndDone}}})
	assert.Equal(t, len(b.starts), 1)
	assert.Equal(t, b.starts[0].Task.Job, "k")
}

// The answer to a start is lost. The next run must wait for proof that the first one is over.
func TestUnansweredStartIsStoppedBeforeTheNextRun(t *testing.T) {
	b := newHarness(t)
	b.core.SetWorkers(b.clock(), b.fleet(2, whole))
	first := b.startUnanswered(1)
	assert.Equal(t, len(b.stops), 1)
	b.now += time.Second
	b.flush()
	assert.Equal(t, len(b.starts), 0)
	// A probe that was sent before the stop was answered proves nothing.
	early := b.probes[0]
	b.core.Stopped(b.clock(), b.stops[0], Accepted)
	b.core.ProbeAnswered(b.clock(), early, WorkerReport{Incarnation: 1, ClockMs: 1200})
	b.flush()
	assert.Equal(t, len(b.starts), 0)
	b.now += time.Second
	b.flush()
	b.probes = b.probes[len(b.probes)-1:]
	b.answerProbe(first.Worker, WorkerReport{Incarnation: 1, ClockMs: 2200, Running: []RunningTask{}})
	b.advance(time.Second)
	assert.Equal(t, len(b.starts), 1)
	assert.Equal(t, b.starts[0].Run, 2)
}

func TestNewIncarnationEndsTheRunsOfTheFormerOne(t *testing.T) {
	b := newHarness(t)
	list := b.fleet(1, whole)
	b.core.SetWorkers(b.clock(), list)
	b.add(single("j", 1, 1, one))
	b.accept()
	b.answerProbe("w0", WorkerReport{Incarnation: 1, ClockMs: 10})
	list[0].Incarnation = 2
	b.core.SetWorkers(b.clock(), list)
	b.advance(time.Second)
	assert.Equal(t, len(b.starts), 1)
	assert.Equal(t, b.starts[0].Incarnation, int64(2))
}

func TestFailedTaskIsTriedElsewhereAndEndsItsJobAfterAllAttempts(t *testing.T) {
	b := newHarness(t)
	b.core.SetWorkers(b.clock(), b.fleet(4, whole))
	b.add(single("j", 1, 1, one))
	seen := map[string]bool{}
	for n := 1; n <= 3; n++ {
		s := b.accept()[0]
		assert.Equal(t, s.Run, n)
		assert.Assert(t, !seen[s.Worker])
		seen[s.Worker] = true
		b.endRun(s, job.EndFailed)
	}
	assert.Equal(t, len(b.starts), 0)
	assert.Equal(t, b.notes[len(b.notes)-1].Why, string(job.Failed))
}

func TestGangStartsWhollyOrNotAtAll(t *testing.T) {
	b := newHarness(t)
	b.core.SetWorkers(b.clock(), b.fleet(2, whole))
	b.add(gang("g", 1, 3, whole))
	assert.Equal(t, len(b.starts), 0)
	b.core.SetWorkers(b.clock(), b.fleet(3, whole))
	b.flush()
	assert.Equal(t, len(b.starts), 3)
}

func TestLostMemberStopsTheRestOfItsGang(t *testing.T) {
	b := newHarness(t)
	b.core.SetWorkers(b.clock(), b.fleet(2, whole))
	b.add(gang("g", 1, 2, whole))
	s := b.accept()
	b.endRun(s[0], job.EndFailed)
	assert.Equal(t, len(b.stops), 1)
	assert.Equal(t, b.stops[0].Worker, s[1].Worker)
	b.advance(time.Second)
	assert.Equal(t, len(b.starts), 0, "a member of the first run is not over")
	b.endRun(s[1], job.EndStopped)
	b.advance(time.Second)
	assert.Equal(t, len(b.starts), 2)
	assert.Equal(t, b.starts[0].Run, 2)
}

// An urgent gang preempts on a full fleet. It must start as soon as the last of the stopped
// runs has ended.
func TestUrgentGangBeginsWhenTheStoppedRunsHaveEnded(t *testing.T) {
	b := newHarness(t)
	b.core.SetGuarantees(map[string]int64{"org": 40})
	b.core.SetWorkers(b.clock(), b.fleet(6, whole))
	b.add(single("low", 2, 48, one))
	running := map[string]Start{}
	for _, s := range b.accept() {
		running[s.Task.String()] = s
	}
	assert.Equal(t, len(running), 48)
	urgent := gang("urgent", 0, 5, job.Resources{CPU: 3000, MemMB: 3000, Accelerators: 3})
	urgent.Steps[0].SameRack = true
	b.add(urgent)
	b.advance(time.Second)
	assert.Equal(t, len(b.stops), 15, "three on each of five workers, no more")
	for _, s := range b.stops {
		assert.Equal(t, len(b.starts), 0)
		b.endRun(running[s.Task.String()], job.EndStopped)
	}
	assert.Equal(t, len(b.starts), 5)
}

func TestPlanIsDroppedWhenItsWorkerGoes(t *testing.T) {
	b := newHarness(t)
	b.core.SetGuarantees(map[string]int64{"org": 8})
	b.core.SetWorkers(b.clock(), b.fleet(2, whole))
	b.add(single("low", 2, 16, one))
	b.accept()
	b.add(single("urgent", 0, 1, whole))
	b.advance(time.Second)
	planned := b.stops[0].Worker
	var rest []WorkerInfo
	for _, info := range b.fleet(2, whole) {
		if info.ID != planned {
			rest = append(rest, info)
		}
	}
	b.stops = nil
	b.core.SetWorkers(b.clock(), rest)
	b.advance(time.Second)
	elsewhere := 0
	for _, s := range b.stops {
		if s.Worker != planned {
			elsewhere++ // stops of the planned worker are retries
		}
	}
	assert.Equal(t, elsewhere, 8)
}

// Urgent work within its organisation's guarantee preempts urgent work of another organisation
// that exceeds that one's guarantee.
func TestGuaranteedWorkPreemptsWorkBeyondAGuarantee(t *testing.T) {
	b := newHarness(t)
	b.core.SetGuarantees(map[string]int64{"owner": 8})
	b.core.SetWorkers(b.clock(), b.fleet(1, whole))
	b.add(single("borrower", 0, 1, whole))
	borrowed := b.accept()[0]
	owned := single("owned", 0, 1, whole)
	owned.Org = "owner"
	b.add(owned)
	b.advance(time.Second)
	assert.Equal(t, len(b.stops), 1)
	b.endRun(borrowed, job.EndStopped)
	assert.Equal(t, b.starts[0].Task.Job, "owned")
}

// Work with slack leaves part of the racks free, so that an urgent gang starts without
// preemption.
func TestWorkWithTimeToSpareLeavesRacksToUrgentWork(t *testing.T) {
	b := newHarness(t)
	b.core.SetGuarantees(map[string]int64{"org": 48})
	b.core.SetWorkers(b.clock(), b.fleet(48, whole))
	b.add(single("first", 0, 1, one))
	b.accept()
	low := single("low", 2, 500, one)
	low.Steps[0].Estimate = 10 * time.Second
	b.add(low)
	assert.Equal(t, len(b.accept()), 30*8, "three eighths of the racks are left")
	urgent := gang("urgent", 0, 6, whole)
	urgent.Steps[0].SameRack = true
	b.add(urgent)
	assert.Equal(t, len(b.starts), 6)
	assert.Equal(t, len(b.stops), 0)
}

// Racks are left to urgent work only while urgent jobs arrive: a gang that needs the whole
// fleet must not wait on an idle one after the last of them.
func TestNoRacksAreLeftWhenNoUrgentWorkComes(t *testing.T) {
	b := newHarness(t)
	b.core.SetWorkers(b.clock(), b.fleet(24, whole))
	b.add(gang("wide", 1, 24, whole))
	assert.Equal(t, len(b.accept()), 24)

	b = newHarness(t)
	b.core.SetWorkers(b.clock(), b.fleet(24, whole))
	b.add(single("urgent", 0, 1, one))
	b.endRun(b.accept()[0], job.EndDone)
	b.add(gang("wide", 1, 24, whole))
	assert.Equal(t, len(b.starts), 0)
	b.advance(urgentRecent + 250*time.Millisecond)
	assert.Equal(t, len(b.starts), 24)
}

func TestWorkWithoutTimeToSpareTakesAllRacks(t *testing.T) {
	b := newHarness(t)
	b.now = time.Minute
	b.core.SetWorkers(b.clock(), b.fleet(48, whole))
	late := single("late", 2, 500, one)
	late.AcceptedMs = 1
	b.core.AddJob(b.clock(), late, nil)
	b.flush()
	assert.Equal(t, len(b.starts), 48*8)
}

// Small tasks must not take the capacity that becomes free while a gang waits for enough of it.
func TestSmallTasksLeaveTheCapacityThatAGangWaitsFor(t *testing.T) {
	b := newHarness(t)
	b.core.SetWorkers(b.clock(), b.fleet(2, whole))
	first := single("first", 1, 2, whole)
	b.add(first)
	s := b.accept()
	b.add(gang("gang", 1, 2, whole))
	small := single("small", 2, 16, one)
	small.Steps[0].Estimate = time.Minute
	b.add(small)
	b.endRun(s[0], job.EndDone)
	assert.Equal(t, len(b.starts), 0, "the place is kept for the gang")
	b.endRun(s[1], job.EndDone)
	assert.Equal(t, len(b.starts), 2)
	assert.Equal(t, b.starts[0].Task.Job, "gang")
}

// With a slow log, probes would be answered at once over and over: a worker repeats an end
// until it is acknowledged. No probe may be sent before the end is recorded.
func TestNoProbeWhileEndsAreBeingRecorded(t *testing.T) {
	b := newHarness(t)
	b.core.SetWorkers(b.clock(), b.fleet(1, whole))
	b.add(single("j", 1, 2, one))
	s := b.accept()
	b.core.ProbeAnswered(b.clock(), b.probes[0], WorkerReport{Incarnation: 1, ClockMs: 5, Running: []RunningTask{{Task: s[1].Task.String(), Run: 1}},
		Ended: []EndedTask{{Number: 1, Task: s[0].Task.String(), Run: 1, How: job.EndDone}}})
	a := b.core.TakeActions(b.clock())
	assert.Equal(t, len(a.Probes), 0)
	b.core.Recorded(b.clock(), b.core.TakeBatch())
	a = b.core.TakeActions(b.clock())
	assert.Equal(t, len(a.Probes), 1)
	assert.Equal(t, a.Probes[0].Ack, int64(1))
}

func TestEndIsAcknowledgedOnlyOnceRecorded(t *testing.T) {
	b := newHarness(t)
	b.core.SetWorkers(b.clock(), b.fleet(1, whole))
	b.add(single("j", 1, 1, one))
	s := b.accept()[0]
	h := b.probes[0]
	b.core.ProbeAnswered(b.clock(), h, WorkerReport{Incarnation: 1, ClockMs: 5, Ended: []EndedTask{{Number: 4, Task: s.Task.String(), Run: 1, How: job.EndDone}}})
	b.now += 6 * time.Second // half of the lease is over: a probe sent now must not acknowledge the end yet
	a := b.core.TakeActions(b.clock())
	for _, h := range a.Probes {
		assert.Equal(t, h.Ack, int64(0))
	}
}

func TestCancelledJobStopsAndStartsNoMore(t *testing.T) {
	b := newHarness(t)
	b.core.SetWorkers(b.clock(), b.fleet(1, whole))
	b.add(single("j", 1, 12, one))
	running := b.accept()
	assert.Equal(t, len(running), 8)
	b.core.CancelJob(b.clock(), "j")
	b.flush()
	assert.Equal(t, len(b.stops), 8)
	for _, s := range running {
		b.endRun(s, job.EndStopped)
	}
	assert.Equal(t, len(b.starts), 0)
}

func TestDrainingWorkerGetsNothingNew(t *testing.T) {
	b := newHarness(t)
	list := b.fleet(1, whole)
	list[0].Draining = true
	b.core.SetWorkers(b.clock(), list)
	b.add(single("j", 0, 1, one))
	assert.Equal(t, len(b.starts), 0)
}

// A worker starts to drain between a placement and its record: the start must not be sent.
func TestStartIsDroppedWhenItsWorkerDrainsBeforeTheRecord(t *testing.T) {
	b := newHarness(t)
	list := b.fleet(1, whole)
	b.core.SetWorkers(b.clock(), list)
	b.core.AddJob(b.clock(), single("j", 0, 1, one), nil)
	b.core.TakeActions(b.clock())
	batch := b.core.TakeBatch()
	list[0].Draining = true
	b.core.SetWorkers(b.clock(), list)
	b.core.Recorded(b.clock(), batch)
	assert.Equal(t, len(b.core.TakeActions(b.clock()).Starts), 0)
}

func TestStepWaitsForTheStepsBeforeIt(t *testing.T) {
	b := newHarness(t)
	b.core.SetWorkers(b.clock(), b.fleet(1, whole))
	j := single("j", 1, 2, one)
	j.Steps = append(j.Steps, job.Step{Count: 1, Need: one, After: []int{0}})
	b.add(j)
	s := b.accept()
	assert.Equal(t, len(s), 2)
	b.endRun(s[0], job.EndDone)
	assert.Equal(t, len(b.starts), 0)
	b.endRun(s[1], job.EndDone)
	assert.Equal(t, b.starts[0].Task.Step, 1)
}

func TestOccurrenceWaitsForItsTime(t *testing.T) {
	b := newHarness(t)
	b.core.SetWorkers(b.clock(), b.fleet(1, whole))
	j := single("j", 1, 1, one)
	j.OccurrenceCount, j.FirstDueMs, j.IntervalMs = 2, 3000, 2000
	b.add(j)
	b.advance(2750 * time.Millisecond)
	assert.Equal(t, len(b.starts), 0)
	b.advance(500 * time.Millisecond)
	assert.Equal(t, len(b.starts), 1)
	b.advance(2 * time.Second)
	assert.Equal(t, len(b.starts), 2)
	assert.Equal(t, b.starts[1].Task.Occurrence, 1)
}

func TestNoMoreTasksOnAWorkerThanTheStepAllows(t *testing.T) {
	b := newHarness(t)
	b.core.SetWorkers(b.clock(), b.fleet(2, whole))
	j := single("j", 1, 5, one)
	j.Steps[0].MaxPerWorker = 2
	b.add(j)
	assert.Equal(t, len(b.starts), 4)
}

func TestTaskRunsOnlyOnWorkersWithItsLabel(t *testing.T) {
	b := newHarness(t)
	list := b.fleet(2, whole)
	list[1].Labels = []string{"b"}
	b.core.SetWorkers(b.clock(), list)
	j := single("j", 1, 3, one)
	j.Steps[0].Label = "b"
	b.add(j)
	for _, s := range b.starts {
		assert.Equal(t, s.Worker, "w1")
	}
	assert.Equal(t, len(b.starts), 3)
}

// A worker answers, but its task makes no progress: the task is stopped and placed elsewhere.
func TestStalledTaskMovesToAnotherWorker(t *testing.T) {
	b := newHarness(t)
	b.core.SetWorkers(b.clock(), b.fleet(2, whole))
	b.add(single("j", 1, 1, one))
	s := b.accept()[0]
	for range 4 {
		b.now += 2 * time.Second
		b.core.ProbeAnswered(b.clock(), b.probes[len(b.probes)-1], WorkerReport{Incarnation: 1, ClockMs: b.now.Milliseconds(), Running: []RunningTask{{Task: s.Task.String(), Run: 1, Percent: 7}}})
		b.core.Tick(b.clock())
		b.flush()
	}
	assert.Assert(t, len(b.stops) > 0)
	assert.Equal(t, b.stops[0].Task, s.Task)
	b.endRun(s, job.EndStopped)
	assert.Equal(t, len(b.starts), 1)
	assert.Assert(t, b.starts[0].Worker != s.Worker)
}

// Two jobs have the same shape, but only the later one has no slack left. That no worker is
// open to the first one must not block the second.
func TestJobWithoutTimeToSpareIsNotHeldUpByOneThatHas(t *testing.T) {
	b := newHarness(t)
	b.now = time.Minute
	b.core.SetWorkers(b.clock(), b.fleet(24, whole))
	b.add(single("first", 0, 1, one))
	b.endRun(b.accept()[0], job.EndDone)
	b.add(single("spare", 2, 200, one))
	assert.Equal(t, len(b.accept()), 12*8)
	late := single("late", 2, 200, one)
	late.AcceptedMs = 1
	b.core.AddJob(b.clock(), late, nil)
	b.flush()
	assert.Equal(t, len(b.starts), 12*8)
}

func TestGangRunsWhereItsDataIs(t *testing.T) {
	b := newHarness(t)
	b.core.SetWorkers(b.clock(), b.fleet(18, whole))
	g := gang("g", 1, 4, whole)
	g.Steps[0].DataRack = "r2"
	b.add(g)
	assert.Equal(t, len(b.starts), 4)
	for _, s := range b.starts {
		assert.Equal(t, b.core.workers[s.Worker].Rack, "r2")
	}
}

// A worker fails part of what it starts: a gang's next run avoids the worker on which a member
// failed.
func TestGangAvoidsTheWorkerOnWhichItFailed(t *testing.T) {
	b := newHarness(t)
	b.core.SetWorkers(b.clock(), b.fleet(3, whole))
	b.add(gang("g", 1, 2, whole))
	s := b.accept()
	b.endRun(s[0], job.EndFailed)
	b.endRun(s[1], job.EndBroken)
	b.advance(time.Second)
	assert.Equal(t, len(b.starts), 2)
	for _, again := range b.starts {
		assert.Assert(t, again.Worker != s[0].Worker)
	}
}

// A worker fails a task at once while all others are full: the task waits for one of them
// instead of using up its attempts on the first.
func TestFailedTaskWaitsForAnotherWorker(t *testing.T) {
	b := newHarness(t)
	b.core.SetWorkers(b.clock(), b.fleet(2, whole))
	b.add(single("full", 1, 1, whole))
	b.add(single("j", 1, 1, one))
	s := b.accept()
	b.endRun(s[1], job.EndFailed)
	b.advance(time.Second)
	assert.Equal(t, len(b.starts), 0)
	b.endRun(s[0], job.EndDone)
	assert.Equal(t, len(b.starts), 1)
	assert.Assert(t, b.starts[0].Worker != s[1].Worker)
}

// A worker that fails tasks of different jobs gets no new work for a while.
func TestWorkerThatFailsDifferentJobsIsQuarantined(t *testing.T) {
	b := newHarness(t)
	b.core.SetWorkers(b.clock(), b.fleet(1, whole))
	for _, id := range []string{"a", "b", "c"} {
		b.add(single(id, 1, 1, one))
	}
	for _, s := range b.accept() {
		b.starts = nil
		b.endRun(s, job.EndFailed)
	}
	assert.Equal(t, len(b.starts), 0)
	b.advance(minQuarantine + time.Second)
	assert.Assert(t, len(b.starts) > 0, "a quarantine ends")
}

func TestReplayGivesTheSameOrders(t *testing.T) {
	runScenario := func() []Start {
		b := newHarness(t)
		b.core.SetWorkers(b.clock(), b.fleet(12, whole))
		for i, id := range []string{"a", "b", "c", "d", "e", "f"} {
			b.add(gang(id, i%3, 1+i, one))
		}
		return b.starts
	}
	first, second := runScenario(), runScenario()
	assert.Equal(t, len(first), len(second))
	for i := range first {
		assert.Equal(t, first[i].Task, second[i].Task)
		assert.Equal(t, first[i].Worker, second[i].Worker)
	}
}
