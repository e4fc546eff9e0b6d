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
