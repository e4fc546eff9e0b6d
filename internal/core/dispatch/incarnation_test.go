package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"agatewinch/internal/core/job"
)

// Guards against waiting work being forgotten: the only worker with free capacity does not
// answer and then restarts, and no other event triggers a scheduling cycle.
func TestWaitingWorkIsPlacedOnARestartedWorker(t *testing.T) {
	b := newHarness(t)
	list := b.fleet(1, whole)
	b.core.SetWorkers(b.clock(), list)
	b.add(single("first", 1, 1, one))
	start := b.starts[0]
	b.starts = nil
	b.core.Started(b.clock(), start, NoConnection)
	b.flush()
	assert.Equal(t, len(b.starts), 0)
	b.advance(b.core.settings.inheritedLease())
	list[0].Incarnation = 2
	b.core.SetWorkers(b.clock(), list)
	b.flush()
	assert.Equal(t, len(b.starts), 1)
}

// Covers a worker that restarts just before a takeover: the former leader learned of the
// restart from the worker itself, while the list still shows the previous incarnation.
func TestAPlacementOnAnUnlistedIncarnationIsAdopted(t *testing.T) {
	b := newHarness(t)
	list := b.fleet(1, whole)
	b.core.SetWorkers(b.clock(), list)
	b.core.AddJob(b.clock(), single("j", 1, 1, one), map[string]job.TaskRecord{"j.0.0.0": {Run: 1, Worker: "w0", Incarnation: 2, Active: true}})
	b.flush()
	list[0].Incarnation = 2
	b.core.SetWorkers(b.clock(), list)
	b.flush()
	assert.Equal(t, len(b.starts), 0)
	b.answerProbe("w0", WorkerReport{Incarnation: 2, ClockMs: 10, Ended: []EndedTask{{Number: 1, Task: "j.0.0.0", Run: 1, How: job.EndDone}}, Running: []RunningTask{}})
	assert.Equal(t, len(b.core.jobs), 0)
}

// Covers a worker that crashes while its last end is being recorded. Its next incarnation
// restarts the numbering of ends, so acknowledging the old number would make it drop an end
// that the leader does not know.
func TestAnEndOfAnIncarnationIsNotAcknowledgedToTheNext(t *testing.T) {
	b := newHarness(t)
	list := b.fleet(1, whole)
	b.core.SetWorkers(b.clock(), list)
	b.add(single("first", 1, 1, one))
	b.accept()
	h := b.probes[0]
	b.probes = nil
	b.core.ProbeAnswered(b.clock(), h, WorkerReport{Incarnation: 1, ClockMs: 10, Ended: []EndedTask{{Number: 1, Task: "first.0.0.0", Run: 1, How: job.EndDone}}})
	recording := b.core.TakeBatch()
	list[0].Incarnation = 2
	b.core.SetWorkers(b.clock(), list)
	b.core.Recorded(b.clock(), recording)
	b.advance(500 * time.Millisecond)
	b.add(single("second", 1, 1, one))
	b.accept()
	assert.Assert(t, len(b.probes) > 0)
	for _, h := range b.probes {
		assert.Equal(t, h.Ack, int64(0))
	}
}

// Covers a worker that crashes while a start order is in flight, and whose next incarnation
// shares its id: either of the two may have executed the start.
func TestAStartThatMayHaveReachedTheNextIncarnationIsStoppedThere(t *testing.T) {
	b := newHarness(t)
	list := b.fleet(2, whole)
	b.core.SetWorkers(b.clock(), list)
	b.add(single("j", 1, 1, one))
	start := b.starts[0]
	b.starts = nil
	for i := range list {
		if list[i].ID == start.Worker {
			list[i].Incarnation = 2
		}
	}
	b.core.SetWorkers(b.clock(), list)
	b.flush()
	assert.Equal(t, len(b.starts), 0)
	assert.Equal(t, len(b.stops), 1)
	assert.Equal(t, b.stops[0].Incarnation, int64(2))
	b.core.Stopped(b.clock(), b.stops[0], Accepted)
	b.advance(time.Second)
	b.answerProbe(start.Worker, WorkerReport{Incarnation: 2, ClockMs: b.now.Milliseconds(), Running: []RunningTask{}})
	b.advance(time.Second)
	assert.Equal(t, len(b.starts), 1)
	assert.Equal(t, b.starts[0].Run, 2)
}

// Covers a takeover after a worker restarted: the record names the previous incarnation.
func TestAPlacementOnAPreviousIncarnationIsStoppedInTheNextBeforeItIsRepeated(t *testing.T) {
	b := newHarness(t)
	list := b.fleet(1, whole)
	list[0].Incarnation = 2
	b.core.SetWorkers(b.clock(), list)
	b.core.AddJob(b.clock(), single("j", 1, 1, one), map[string]job.TaskRecord{"j.0.0.0": {Run: 1, Worker: "w0", Incarnation: 1, Active: true}})
	b.flush()
	assert.Equal(t, len(b.starts), 0)
	assert.Equal(t, len(b.stops), 1)
}

// Covers a start that is executed seconds late, after its worker was told to stop it and
// then lost that information in a crash.
func TestALateStartIsStoppedInTheNextIncarnation(t *testing.T) {
	b := newHarness(t)
	list := b.fleet(1, whole)
	b.core.SetWorkers(b.clock(), list)
	start := b.startUnanswered(1)
	b.core.Stopped(b.clock(), b.stops[0], Accepted)
	b.stops = nil
	b.now += 100 * time.Millisecond
	b.answerProbe("w0", WorkerReport{Incarnation: 1, ClockMs: b.now.Milliseconds(), Running: []RunningTask{}})
	list[0].Incarnation = 2
	b.core.SetWorkers(b.clock(), list)
	b.flush()
	// The task has been placed again in the meantime, and its second run may be on the worker too.
	assert.Equal(t, len(b.stops), 2)
	assert.Equal(t, b.stops[1].Run, start.Run)
	assert.Equal(t, b.stops[1].Incarnation, int64(2))
}

// Covers a probe that acknowledges the last end of one incarnation but is answered by the next.
// The answer omits the first ends of the new incarnation, which the leader does not know.
func TestTheAnswerToAProbeOfAPreviousIncarnationReportsNoEnds(t *testing.T) {
	b := newHarness(t)
	b.core.SetWorkers(b.clock(), b.fleet(1, whole))
	b.add(single("first", 1, 1, one))
	b.endRun(b.accept()[0], job.EndDone)
	b.add(single("second", 1, 2, one))
	b.accept()
	var lastProbe Probe
	for _, h := range b.probes {
		lastProbe = h
	}
	assert.Equal(t, lastProbe.Ack, int64(1))
	done := func(n int64, task string) EndedTask {
		return EndedTask{Number: n, Task: task, Run: 1, How: job.EndDone}
	}
	b.core.ProbeAnswered(b.clock(), lastProbe, WorkerReport{Incarnation: 2, ClockMs: 10, Ended: []EndedTask{done(2, "second.0.0.1")}})
	b.probes = nil
	b.flush()
	b.answerProbe("w0", WorkerReport{Incarnation: 2, ClockMs: 20, Ended: []EndedTask{done(1, "second.0.0.0"), done(2, "second.0.0.1")}, Running: []RunningTask{}})
	assert.Equal(t, len(b.core.jobs), 0)
}

// drainingHarness runs a job on a worker that then reports that it is draining. The worker is the
// first in the returned list.
func drainingHarness(t *testing.T) (*harness, []WorkerInfo) {
	b := newHarness(t)
	list := b.fleet(2, whole)
	b.core.SetWorkers(b.clock(), list)
	b.add(single("j", 1, 1, whole))
	ran := b.accept()[0].Worker
	b.now += time.Second
	b.answerProbe(ran, WorkerReport{Incarnation: 1, ClockMs: b.now.Milliseconds() + 1})
	if list[0].ID != ran {
		list[0], list[1] = list[1], list[0]
	}
	list[0].Draining, list[0].ClockMs = true, b.now.Milliseconds()+1
	b.core.SetWorkers(b.clock(), list)
	b.flush()
	return b, list
}

// Covers a planned reduction of capacity: what ran on the worker is restarted elsewhere as soon
// as its entry is gone.
func TestADrainingWorkerWhoseEntryIsRemovedEarlyHasShutDown(t *testing.T) {
	b, list := drainingHarness(t)
	b.now += time.Second
	b.core.SetWorkers(b.clock(), list[1:])
	b.flush()
	assert.Equal(t, len(b.starts), 1)
	assert.Equal(t, b.starts[0].Worker, list[1].ID)
}

// Covers a draining worker that is partitioned from the network: its entry expires for lack of
// heartbeats, but its runs may continue.
func TestADrainingWorkerWhoseEntryExpiresIsWaitedFor(t *testing.T) {
	b, list := drainingHarness(t)
	b.now += 2 * time.Second
	b.answerProbe(list[0].ID, WorkerReport{Incarnation: 1, ClockMs: b.now.Milliseconds() + 1})
	b.now += 2500 * time.Millisecond
	b.core.SetWorkers(b.clock(), list[1:])
	b.flush()
	assert.Equal(t, len(b.starts), 0)
}

// Covers a draining worker that does not answer: the age of its entry can't be determined.
func TestADrainingWorkerWithoutARecentAnswerIsWaitedFor(t *testing.T) {
	b, list := drainingHarness(t)
	b.now += maxAnswerAge + time.Second
	list[0].ClockMs = b.now.Milliseconds()
	b.core.SetWorkers(b.clock(), list)
	b.core.SetWorkers(b.clock(), list[1:])
	b.flush()
	assert.Equal(t, len(b.starts), 0)
}

// Covers an entry that expires while the worker is not draining.
func TestAWorkerWhoseEntryIsRemovedWithoutADrainIsWaitedFor(t *testing.T) {
	b, list := drainingHarness(t)
	list[0].Draining = false
	b.core.SetWorkers(b.clock(), list)
	b.core.SetWorkers(b.clock(), list[1:])
	b.flush()
	assert.Equal(t, len(b.starts), 0)
}

// Covers a worker that restarts just before a takeover and is then partitioned: the recorded
// placement keeps its capacity until the former leader's lease has expired.
func TestAPlacementOnAnUnlistedIncarnationExpires(t *testing.T) {
	b := newHarness(t)
	list := b.fleet(2, whole)
	b.core.SetWorkers(b.clock(), list)
	b.core.AddJob(b.clock(), single("j", 1, 1, whole), map[string]job.TaskRecord{"j.0.0.0": {Run: 1, Worker: "w0", Incarnation: 2, Active: true}})
	b.flush()
	b.add(single("other", 1, 2, whole))
	assert.Equal(t, b.countStartsOn("w0"), 0)
	b.failProbes(b.core.settings.inheritedLease() - time.Second)
	assert.Equal(t, b.core.workers["w0"].used, whole)
	b.failProbes(3 * time.Second)
	assert.Equal(t, b.core.workers["w0"].used, job.Resources{})
}

func (b *harness) countStartsOn(id string) int {
	n := 0
	for _, s := range b.starts {
		if s.Worker == id {
			n++
		}
	}
	return n
}
