package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"agatewinch/internal/core/job"
)

// The only worker with free capacity does not answer and then restarts, and no other event triggers
// a scheduling cycle: the waiting task must still be placed.
func TestWaitingWorkIsPlacedOnARestartedWorker(t *testing.T) {
	h := newHarness(t)
	list := h.fleet(1, whole)
	h.core.SetWorkers(h.clock(), list)
	h.add(single("first", 1, 1, one))
	start := h.starts[0]
	h.starts = nil
	h.core.StartAnswered(h.clock(), start, NoConnection)
	h.flush()
	assert.Equal(t, len(h.starts), 0)
	h.advance(h.core.settings.inheritedLease())
	list[0].Incarnation = 2
	h.core.SetWorkers(h.clock(), list)
	h.flush()
	assert.Equal(t, len(h.starts), 1)
}

// Guards against a task that starts on a worker by the labels that it had before it restarted: its answer
// to a probe shows the new incarnation earlier than the list does.
func TestARestartedWorkerGetsNoWorkBeforeItsEntryIsRead(t *testing.T) {
	h := newHarness(t)
	list := h.fleet(2, whole)
	h.core.SetWorkers(h.clock(), list)
	h.add(lastingJob("busy", 2, whole))
	h.accept()
	waiting := single("j", 1, 1, one)
	waiting.Steps[0].Label = "a"
	h.add(waiting)
	h.answerProbe("w0", WorkerReport{Incarnation: 1, ClockMs: 10})
	h.answerProbe("w0", WorkerReport{Incarnation: 2, ClockMs: 10, Running: []RunInProgress{}})
	h.advance(time.Second)
	assert.Equal(t, len(h.starts), 0)
	list[0].Incarnation, list[0].Labels = 2, []string{"b"}
	h.core.SetWorkers(h.clock(), list)
	h.flush()
	assert.Equal(t, len(h.starts), 1)
	assert.Equal(t, h.starts[0].Task.Job, "busy")
}

// Guards against a run that is taken for ended while it runs on: the previous incarnation of its worker was
// draining, and its entry is removed.
func TestRunsOnARestartedWorkerOutliveTheEntryOfItsPreviousIncarnation(t *testing.T) {
	h := newHarness(t)
	list := h.fleet(1, whole)
	list[0].Draining = true
	h.now += time.Second
	h.core.SetWorkers(h.clock(), list)
	h.core.AddJob(h.clock(), single("j", 1, 1, one), map[string]job.TaskRecord{"j.0.0.0": {Run: 1, Worker: "w0", Incarnation: 2, Active: true}})
	h.flush()
	h.answerProbe("w0", WorkerReport{Incarnation: 2, ClockMs: 10, Running: []RunInProgress{{Task: "j.0.0.0", Run: 1}}})
	h.core.SetWorkers(h.clock(), nil)
	h.flush()
	assert.Equal(t, len(h.core.runsOf(h.core.workers["w0"])), 1)
}

// Covers a worker that restarts just before a takeover: the former leader learned of the
// restart from the worker itself, while the list still shows the previous incarnation.
func TestAPlacementOnAnUnlistedIncarnationIsAdopted(t *testing.T) {
	h := newHarness(t)
	list := h.fleet(1, whole)
	h.core.SetWorkers(h.clock(), list)
	h.core.AddJob(h.clock(), single("j", 1, 1, one), map[string]job.TaskRecord{"j.0.0.0": {Run: 1, Worker: "w0", Incarnation: 2, Active: true}})
	h.flush()
	list[0].Incarnation = 2
	h.core.SetWorkers(h.clock(), list)
	h.flush()
	assert.Equal(t, len(h.starts), 0)
	h.answerProbe("w0", WorkerReport{Incarnation: 2, ClockMs: 10, Ended: []EndedRun{{Number: 1, Task: "j.0.0.0", Run: 1, End: job.EndDone}}, Running: []RunInProgress{}})
	assert.Equal(t, len(h.core.jobs), 0)
}

// Covers a worker that crashes while its last end is being recorded. Its next incarnation
// restarts the numbering of ends, so acknowledging the old number would make it drop an end
// that the leader does not know.
func TestAnEndOfAnIncarnationIsNotAcknowledgedToTheNext(t *testing.T) {
	h := newHarness(t)
	list := h.fleet(1, whole)
	h.core.SetWorkers(h.clock(), list)
	h.add(single("first", 1, 1, one))
	h.accept()
	p := h.probes[0]
	h.probes = nil
	h.core.ProbeAnswered(h.clock(), p, WorkerReport{Incarnation: 1, ClockMs: 10, Ended: []EndedRun{{Number: 1, Task: "first.0.0.0", Run: 1, End: job.EndDone}}})
	recording := h.core.TakeBatch()
	list[0].Incarnation = 2
	h.core.SetWorkers(h.clock(), list)
	h.core.Recorded(h.clock(), recording)
	h.advance(500 * time.Millisecond)
	h.add(single("second", 1, 1, one))
	h.accept()
	assert.Assert(t, len(h.probes) > 0)
	for _, p := range h.probes {
		assert.Equal(t, p.Ack, int64(0))
	}
}

// Covers a worker that crashes while a start order is in flight, and whose next incarnation has the
// same ID: either of the two may have executed the start.
func TestAStartThatMayHaveReachedTheNextIncarnationIsStoppedThere(t *testing.T) {
	h := newHarness(t)
	list := h.fleet(2, whole)
	h.core.SetWorkers(h.clock(), list)
	h.add(single("j", 1, 1, one))
	start := h.starts[0]
	h.starts = nil
	for i := range list {
		if list[i].ID == start.Worker {
			list[i].Incarnation = 2
		}
	}
	h.core.SetWorkers(h.clock(), list)
	h.flush()
	assert.Equal(t, len(h.starts), 0)
	assert.Equal(t, len(h.stops), 1)
	assert.Equal(t, h.stops[0].Incarnation, int64(2))
	h.core.StopAnswered(h.clock(), h.stops[0], Accepted)
	h.advance(time.Second)
	h.answerProbe(start.Worker, WorkerReport{Incarnation: 2, ClockMs: h.now.Milliseconds(), Running: []RunInProgress{}})
	h.advance(time.Second)
	assert.Equal(t, len(h.starts), 1)
	assert.Equal(t, h.starts[0].Run, 2)
}

// Covers a takeover after a worker restarted: the record names the previous incarnation, and the
// next one may have executed the start.
func TestAPlacementOnAPreviousIncarnationIsStoppedInTheNextBeforeItIsRepeated(t *testing.T) {
	h := newHarness(t)
	list := h.fleet(1, whole)
	list[0].Incarnation = 2
	h.core.SetWorkers(h.clock(), list)
	h.core.AddJob(h.clock(), single("j", 1, 1, one), map[string]job.TaskRecord{"j.0.0.0": {Run: 1, Worker: "w0", Incarnation: 1, Active: true}})
	h.flush()
	assert.Equal(t, len(h.starts), 0)
	assert.Equal(t, len(h.stops), 1)
}

// Covers a start that is executed seconds late, after its worker received the stop for it and lost
// that information in a crash.
func TestALateStartIsStoppedInTheNextIncarnation(t *testing.T) {
	h := newHarness(t)
	list := h.fleet(1, whole)
	h.core.SetWorkers(h.clock(), list)
	start := h.startUnanswered(1)
	h.core.StopAnswered(h.clock(), h.stops[0], Accepted)
	h.stops = nil
	h.now += 100 * time.Millisecond
	h.answerProbe("w0", WorkerReport{Incarnation: 1, ClockMs: h.now.Milliseconds(), Running: []RunInProgress{}})
	list[0].Incarnation = 2
	h.core.SetWorkers(h.clock(), list)
	h.flush()
	// The task has been placed again in the meantime, and its second run may be on the worker too.
	assert.Equal(t, len(h.stops), 2)
	assert.Equal(t, h.stops[1].Run, start.Run)
	assert.Equal(t, h.stops[1].Incarnation, int64(2))
}

// Covers a probe that acknowledges the last end of one incarnation but is answered by the next.
// The answer omits the first ends of the new incarnation, which the leader does not know.
func TestAnAnswerToAProbeOfThePreviousIncarnationIsNotApplied(t *testing.T) {
	h := newHarness(t)
	h.core.SetWorkers(h.clock(), h.fleet(1, whole))
	h.add(single("first", 1, 1, one))
	h.endRun(h.accept()[0], job.EndDone)
	h.add(single("second", 1, 2, one))
	h.accept()
	var lastProbe Probe
	for _, p := range h.probes {
		lastProbe = p
	}
	assert.Equal(t, lastProbe.Ack, int64(1))
	done := func(n int64, task string) EndedRun {
		return EndedRun{Number: n, Task: task, Run: 1, End: job.EndDone}
	}
	h.core.ProbeAnswered(h.clock(), lastProbe, WorkerReport{Incarnation: 2, ClockMs: 10, Ended: []EndedRun{done(2, "second.0.0.1")}})
	h.probes = nil
	h.flush()
	h.answerProbe("w0", WorkerReport{Incarnation: 2, ClockMs: 20, Ended: []EndedRun{done(1, "second.0.0.0"), done(2, "second.0.0.1")}, Running: []RunInProgress{}})
	assert.Equal(t, len(h.core.jobs), 0)
}

// Covers a start that is still in flight when its run has been stopped and found absent: it may be
// executed in the next incarnation, which does not know of the stop. Found by the model.
func TestAStartInFlightOfAnEndedRunIsStoppedInTheNextIncarnation(t *testing.T) {
	h := newHarness(t)
	list := h.fleet(2, whole)
	h.core.SetWorkers(h.clock(), list)
	h.add(gang("g", 1, 2, whole))
	missing, refused := h.starts[0], h.starts[1]
	h.core.StartAnswered(h.clock(), refused, RefusedCapacity)
	h.flush()
	assert.Equal(t, h.stops[0].Worker, missing.Worker)
	h.core.StopAnswered(h.clock(), h.stops[0], Accepted)
	h.stops = nil
	h.now += 100 * time.Millisecond
	h.flush()
	h.answerProbe(missing.Worker, WorkerReport{Incarnation: 1, ClockMs: h.now.Milliseconds(), Running: []RunInProgress{}})
	for i := range list {
		if list[i].ID == missing.Worker {
			list[i].Incarnation = 2
		}
	}
	h.core.SetWorkers(h.clock(), list)
	h.flush()
	assert.Equal(t, len(h.stops), 1)
	assert.Equal(t, h.stops[0].Task, missing.Task)
	assert.Equal(t, h.stops[0].Run, missing.Run)
	assert.Equal(t, h.stops[0].Incarnation, int64(2))
}

// drainingHarness runs a job on a worker that then reports that it is draining. The worker is the
// first in the returned list.
func drainingHarness(t *testing.T) (*harness, []WorkerInfo) {
	h := newHarness(t)
	list := h.fleet(2, whole)
	h.core.SetWorkers(h.clock(), list)
	h.add(single("j", 1, 1, whole))
	ran := h.accept()[0].Worker
	h.now += time.Second
	h.answerProbe(ran, WorkerReport{Incarnation: 1, ClockMs: h.now.Milliseconds() + 1})
	if list[0].ID != ran {
		list[0], list[1] = list[1], list[0]
	}
	list[0].Draining, list[0].ClockMs = true, h.now.Milliseconds()+1
	h.core.SetWorkers(h.clock(), list)
	h.flush()
	return h, list
}

// Covers a planned reduction of capacity: the tasks that ran on the worker are started elsewhere as
// soon as its entry is removed.
func TestADrainingWorkerWhoseEntryIsRemovedEarlyHasShutDown(t *testing.T) {
	h, list := drainingHarness(t)
	h.now += time.Second
	h.core.SetWorkers(h.clock(), list[1:])
	h.flush()
	assert.Equal(t, len(h.starts), 1)
	assert.Equal(t, h.starts[0].Worker, list[1].ID)
}

// Covers an entry of another writer under the ID of a working worker: the worker gets nothing new,
// and what runs there goes on.
func TestAWorkerWhoseEntryIsUnreadableKeepsItsRuns(t *testing.T) {
	for _, draining := range []bool{true, false} {
		h, list := drainingHarness(t)
		list[0].Draining = draining
		h.core.SetWorkers(h.clock(), list)
		h.now += time.Second
		odd := append([]WorkerInfo{{ID: list[0].ID, Unreadable: true}, {ID: "other", Unreadable: true}}, list[1:]...)
		h.core.SetWorkers(h.clock(), odd)
		h.flush()
		assert.Equal(t, len(h.starts), 0)
		assert.Equal(t, len(h.stops), 0)
		assert.Equal(t, len(h.core.workers[list[0].ID].runs), 1)
		assert.Assert(t, !h.core.workers[list[0].ID].usable(h.now))
		assert.Assert(t, h.core.workers["other"] == nil)

		h.core.SetWorkers(h.clock(), list)
		assert.Equal(t, h.core.workers[list[0].ID].usable(h.now), !draining)
	}
}

// Covers a draining worker that is partitioned from the network: its entry expires for lack of
// heartbeats, but its runs may continue.
func TestADrainingWorkerWhoseEntryExpiresIsWaitedFor(t *testing.T) {
	h, list := drainingHarness(t)
	h.now += 2 * time.Second
	h.answerProbe(list[0].ID, WorkerReport{Incarnation: 1, ClockMs: h.now.Milliseconds() + 1})
	h.now += 2500 * time.Millisecond
	h.core.SetWorkers(h.clock(), list[1:])
	h.flush()
	assert.Equal(t, len(h.starts), 0)
}

// Covers a draining worker that does not answer: the age of its entry can't be determined,
// and its runs may continue.
func TestADrainingWorkerWithoutARecentAnswerIsWaitedFor(t *testing.T) {
	h, list := drainingHarness(t)
	h.now += maxAnswerAge + time.Second
	list[0].ClockMs = h.now.Milliseconds()
	h.core.SetWorkers(h.clock(), list)
	h.core.SetWorkers(h.clock(), list[1:])
	h.flush()
	assert.Equal(t, len(h.starts), 0)
}

// Covers an entry that is removed while the worker is not draining: its runs may continue.
func TestAWorkerWhoseEntryIsRemovedWithoutADrainIsWaitedFor(t *testing.T) {
	h, list := drainingHarness(t)
	list[0].Draining = false
	h.core.SetWorkers(h.clock(), list)
	h.core.SetWorkers(h.clock(), list[1:])
	h.flush()
	assert.Equal(t, len(h.starts), 0)
}

// Covers a worker that restarts just before a takeover and is then partitioned: the recorded
// placement keeps its capacity until the former leader's lease has expired.
func TestAPlacementOnAnUnlistedIncarnationExpires(t *testing.T) {
	h := newHarness(t)
	list := h.fleet(2, whole)
	h.core.SetWorkers(h.clock(), list)
	h.core.AddJob(h.clock(), single("j", 1, 1, whole), map[string]job.TaskRecord{"j.0.0.0": {Run: 1, Worker: "w0", Incarnation: 2, Active: true}})
	h.flush()
	h.add(single("other", 1, 2, whole))
	assert.Equal(t, h.countStartsOn("w0"), 0)
	h.failProbes(h.core.settings.inheritedLease() - time.Second)
	assert.Equal(t, h.core.workers["w0"].used, whole)
	h.failProbes(3 * time.Second)
	assert.Equal(t, h.core.workers["w0"].used, job.Resources{})
}

func (h *harness) countStartsOn(id string) int {
	n := 0
	for _, s := range h.starts {
		if s.Worker == id {
			n++
		}
	}
	return n
}
