package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"agatewinch/internal/core/job"
)

// loseContact leaves all looks at workers unanswered for a time.
func (b *bed) loseContact(d time.Duration) {
	for range int(d / (250 * time.Millisecond)) {
		holds := b.holds
		b.holds = nil
		for _, h := range holds {
			b.core.HoldFailed(b.clock(), h, Unanswered)
		}
		b.pass(250 * time.Millisecond)
	}
}

// The load: workers that are cut off until all that they ran has lapsed, and then heal. They
// stay listed all the while, and nothing that runs there asks for a look.
func TestWorkerThatWasCutOffIsUsedAgain(t *testing.T) {
	b := newBed(t)
	b.core.SetWorkers(b.clock(), b.fleet(1, whole))
	b.add(single("j", 1, 1, one))
	b.accept()
	b.loseContact(12 * time.Second)
	assert.Equal(t, len(b.starts), 0)
	b.pass(2 * time.Second)
	b.report("w0", Report{Born: 1, ClockMs: b.now.Milliseconds(), Running: []RunningTask{}})
	assert.Equal(t, len(b.starts), 1)
	assert.Equal(t, b.starts[0].Run, 2)
}

// The load: a worker that is cut off and born again behind the cut.
func TestWorkerBornAgainBehindACutIsUsedAtOnce(t *testing.T) {
	b := newBed(t)
	list := b.fleet(1, whole)
	b.core.SetWorkers(b.clock(), list)
	b.add(single("j", 1, 1, one))
	b.accept()
	b.loseContact(3 * time.Second)
	list[0].Born = 2
	b.core.SetWorkers(b.clock(), list)
	b.pass(time.Second)
	assert.Equal(t, len(b.starts), 1)
	assert.Equal(t, b.starts[0].Born, int64(2))
}

// The load: a cut worker that ends a task after its lease was taken as over. The end is
// recorded before it is acknowledged, or a successor would run the task again.
func TestLateEndIsRecorded(t *testing.T) {
	b := newBed(t)
	b.core.SetWorkers(b.clock(), b.fleet(1, whole))
	b.add(single("j", 1, 2, one))
	s := b.accept()
	b.loseContact(12 * time.Second)
	b.pass(2 * time.Second)
	var h Hold
	for _, h = range b.holds {
	}
	b.core.Held(b.clock(), h, Report{Born: 1, ClockMs: b.now.Milliseconds(), Running: []RunningTask{}, Ended: []EndedTask{{Number: 1, Task: s[0].Task.String(), Run: 1, How: job.EndDone}}})
	done := false
	for batch := b.core.TakeBatch(); batch != nil; batch = b.core.TakeBatch() {
		for _, c := range batch.Tasks {
			done = done || c.ID == s[0].Task && c.Record.Done
		}
	}
	assert.Assert(t, done)
}
