package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"agatewinch/internal/core/job"
)

// The load: a quiet fleet whose only worker with room does not answer and is then reborn.
// Nothing else happens that would have waiting work looked at.
func TestWaitingWorkIsPlacedOnAWorkerThatIsReborn(t *testing.T) {
	b := newBed(t)
	list := b.fleet(1, whole)
	b.core.SetWorkers(b.clock(), list)
	b.add(single("first", 1, 1, one))
	start := b.starts[0]
	b.starts = nil
	b.core.Started(b.clock(), start, NoConnection)
	b.step()
	assert.Equal(t, len(b.starts), 0)
	b.pass(b.core.set.inheritedLease())
	list[0].Born = 2
	b.core.SetWorkers(b.clock(), list)
	b.step()
	assert.Equal(t, len(b.starts), 1)
}

// The load: a worker that was reborn just before a takeover. The former decider had heard
// so from the worker itself, while the list still shows its former life.
func TestAPlacementOnALifeThatIsNotListedYetIsAdopted(t *testing.T) {
	b := newBed(t)
	list := b.fleet(1, whole)
	b.core.SetWorkers(b.clock(), list)
	b.core.AddJob(b.clock(), single("j", 1, 1, one), map[string]job.TaskRecord{"j.0.0.0": {Run: 1, Worker: "w0", Born: 2, Active: true}})
	b.step()
	list[0].Born = 2
	b.core.SetWorkers(b.clock(), list)
	b.step()
	assert.Equal(t, len(b.starts), 0)
	b.report("w0", Report{Born: 2, ClockMs: 10, Ended: []EndedTask{{Number: 1, Task: "j.0.0.0", Run: 1, How: job.EndDone}}, Running: []RunningTask{}})
	assert.Equal(t, len(b.core.jobs), 0)
}

// The load: a worker that crashes while the record of its last end is on its way. Its next
// life numbers its ends anew; an acknowledgement of the former number would have it forget
// an end that nobody has seen.
func TestAnEndOfAFormerLifeIsNotAcknowledgedToTheNext(t *testing.T) {
	b := newBed(t)
	list := b.fleet(1, whole)
	b.core.SetWorkers(b.clock(), list)
	b.add(single("first", 1, 1, one))
	b.accept()
	h := b.holds[0]
	b.holds = nil
	b.core.Held(b.clock(), h, Report{Born: 1, ClockMs: 10, Ended: []EndedTask{{Number: 1, Task: "first.0.0.0", Run: 1, How: job.EndDone}}})
	recording := b.core.TakeBatch()
	list[0].Born = 2
	b.core.SetWorkers(b.clock(), list)
	b.core.Recorded(b.clock(), recording)
	b.pass(500 * time.Millisecond)
	b.add(single("second", 1, 1, one))
	b.accept()
	assert.Assert(t, len(b.holds) > 0)
	for _, h := range b.holds {
		assert.Equal(t, h.Ack, int64(0))
	}
}

// The load: a worker that crashes while a start is on its way, and whose next life shares
// its id. Nobody can tell which of the two carried the start out.
func TestAStartThatMayHaveReachedTheNextLifeIsStoppedThere(t *testing.T) {
	b := newBed(t)
	list := b.fleet(2, whole)
	b.core.SetWorkers(b.clock(), list)
	b.add(single("j", 1, 1, one))
	start := b.starts[0]
	b.starts = nil
	for i := range list {
		if list[i].ID == start.Worker {
			list[i].Born = 2
		}
	}
	b.core.SetWorkers(b.clock(), list)
	b.step()
	assert.Equal(t, len(b.starts), 0)
	assert.Equal(t, len(b.stops), 1)
	assert.Equal(t, b.stops[0].Born, int64(2))
	b.core.Stopped(b.clock(), b.stops[0], Accepted)
	b.pass(time.Second)
	b.report(start.Worker, Report{Born: 2, ClockMs: b.now.Milliseconds(), Running: []RunningTask{}})
	b.pass(time.Second)
	assert.Equal(t, len(b.starts), 1)
	assert.Equal(t, b.starts[0].Run, 2)
}

// The load: a takeover after a worker was reborn; the record names its former life.
func TestAPlacementOnAFormerLifeIsStoppedInTheNextBeforeItIsRepeated(t *testing.T) {
	b := newBed(t)
	list := b.fleet(1, whole)
	list[0].Born = 2
	b.core.SetWorkers(b.clock(), list)
	b.core.AddJob(b.clock(), single("j", 1, 1, one), map[string]job.TaskRecord{"j.0.0.0": {Run: 1, Worker: "w0", Born: 1, Active: true}})
	b.step()
	assert.Equal(t, len(b.starts), 0)
	assert.Equal(t, len(b.stops), 1)
}

// The load: a start that is carried out seconds late, after its worker was told to stop it,
// crashed and forgot so.
func TestALateStartIsStoppedInTheNextLife(t *testing.T) {
	b := newBed(t)
	list := b.fleet(1, whole)
	b.core.SetWorkers(b.clock(), list)
	start := b.loseStart(1)
	b.core.Stopped(b.clock(), b.stops[0], Accepted)
	b.stops = nil
	b.now += 100 * time.Millisecond
	b.report("w0", Report{Born: 1, ClockMs: b.now.Milliseconds(), Running: []RunningTask{}})
	list[0].Born = 2
	b.core.SetWorkers(b.clock(), list)
	b.step()
	// The task has been placed again meanwhile, and its second run may be there too.
	assert.Equal(t, len(b.stops), 2)
	assert.Equal(t, b.stops[1].Run, start.Run)
	assert.Equal(t, b.stops[1].Born, int64(2))
}

// The load: a look with the last end of a former life that the next one answers. It leaves
// out the first ends of that life, which nobody has seen.
func TestAnAnswerToALookAtAFormerLifeTellsNoEnds(t *testing.T) {
	b := newBed(t)
	b.core.SetWorkers(b.clock(), b.fleet(1, whole))
	b.add(single("first", 1, 1, one))
	b.end(b.accept()[0], job.EndDone)
	b.add(single("second", 1, 2, one))
	b.accept()
	var misled Hold
	for _, h := range b.holds {
		misled = h
	}
	assert.Equal(t, misled.Ack, int64(1))
	done := func(n int64, task string) EndedTask {
		return EndedTask{Number: n, Task: task, Run: 1, How: job.EndDone}
	}
	b.core.Held(b.clock(), misled, Report{Born: 2, ClockMs: 10, Ended: []EndedTask{done(2, "second.0.0.1")}})
	b.holds = nil
	b.step()
	b.report("w0", Report{Born: 2, ClockMs: 20, Ended: []EndedTask{done(1, "second.0.0.0"), done(2, "second.0.0.1")}, Running: []RunningTask{}})
	assert.Equal(t, len(b.core.jobs), 0)
}

// drained runs a job on a worker that then announces that it drains.
func drained(t *testing.T) (*bed, []WorkerInfo) {
	b := newBed(t)
	list := b.fleet(2, whole)
	b.core.SetWorkers(b.clock(), list)
	b.add(single("j", 1, 1, whole))
	ran := b.accept()[0].Worker
	b.now += time.Second
	b.report(ran, Report{Born: 1, ClockMs: b.now.Milliseconds() + 1})
	if list[0].ID != ran {
		list[0], list[1] = list[1], list[0]
	}
	list[0].Draining, list[0].ClockMs = true, b.now.Milliseconds()+1
	b.core.SetWorkers(b.clock(), list)
	b.step()
	return b, list
}

// The load: a planned reduction. What ran on the worker is started elsewhere once its entry
// is gone.
func TestADrainingWorkerWhoseEntryGoesSoonHasLeft(t *testing.T) {
	b, list := drained(t)
	b.now += time.Second
	b.core.SetWorkers(b.clock(), list[1:])
	b.step()
	assert.Equal(t, len(b.starts), 1)
	assert.Equal(t, b.starts[0].Worker, list[1].ID)
}

// The load: a draining worker that is cut off. Its entry goes for its silence, and it may
// still run what it was told to.
func TestADrainingWorkerWhoseEntryGoesForSilenceIsWaitedFor(t *testing.T) {
	b, list := drained(t)
	b.now += 2 * time.Second
	b.report(list[0].ID, Report{Born: 1, ClockMs: b.now.Milliseconds() + 1})
	b.now += 2500 * time.Millisecond
	b.core.SetWorkers(b.clock(), list[1:])
	b.step()
	assert.Equal(t, len(b.starts), 0)
}

// The load: a draining worker that does not answer. How old its entry is cannot be told.
func TestADrainingWorkerThatWasNotHeardLatelyIsWaitedFor(t *testing.T) {
	b, list := drained(t)
	b.now += maxClockAge + time.Second
	list[0].ClockMs = b.now.Milliseconds()
	b.core.SetWorkers(b.clock(), list)
	b.core.SetWorkers(b.clock(), list[1:])
	b.step()
	assert.Equal(t, len(b.starts), 0)
}

// The load: an entry that lapses while the worker does not drain.
func TestAnEntryThatGoesWithoutADrainIsWaitedFor(t *testing.T) {
	b, list := drained(t)
	list[0].Draining = false
	b.core.SetWorkers(b.clock(), list)
	b.core.SetWorkers(b.clock(), list[1:])
	b.step()
	assert.Equal(t, len(b.starts), 0)
}

// The load: a worker that was reborn just before a takeover and is cut off. What the record
// says to be there keeps its room, and is over when the former decider's lease is.
func TestAPlacementOnALifeThatIsNotListedYetLapses(t *testing.T) {
	b := newBed(t)
	list := b.fleet(2, whole)
	b.core.SetWorkers(b.clock(), list)
	b.core.AddJob(b.clock(), single("j", 1, 1, whole), map[string]job.TaskRecord{"j.0.0.0": {Run: 1, Worker: "w0", Born: 2, Active: true}})
	b.step()
	b.add(single("other", 1, 2, whole))
	assert.Equal(t, b.startsOn("w0"), 0)
	b.loseContact(b.core.set.inheritedLease() - time.Second)
	assert.Equal(t, b.core.workers["w0"].used, whole)
	b.loseContact(3 * time.Second)
	assert.Equal(t, b.core.workers["w0"].used, job.Resources{})
}

func (b *bed) startsOn(id string) int {
	n := 0
	for _, s := range b.starts {
		if s.Worker == id {
			n++
		}
	}
	return n
}
