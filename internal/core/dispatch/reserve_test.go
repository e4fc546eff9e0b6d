package dispatch

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"agatewinch/internal/core/job"
)

// The queue is so long that reservations are not recomputed in each cycle. The gang must start
// as soon as its reserved capacity is free, and no other work may take that capacity.
func TestReservationIsKeptForItsGangBetweenCycles(t *testing.T) {
	b := newHarness(t)
	b.core.SetWorkers(b.clock(), b.fleet(2, whole))
	b.add(single("busy", 1, 2, whole))
	busy := b.accept()
	g := gang("gang", 1, 2, whole)
	g.Steps[0].Estimate = time.Second
	b.add(g)
	for i := range largeBacklog {
		j := single(fmt.Sprintf("flood%d", i), 2, 4, one)
		j.Steps[0].Estimate = time.Minute
		b.core.AddJob(b.clock(), j, nil)
	}
	b.flush()
	b.advance(reservationInterval) // a cycle with the whole queue recomputes the reservations
	b.flush()
	b.now += minCycleInterval
	b.endRun(busy[0], job.EndDone)
	assert.Equal(t, len(b.starts), 0)
	b.now += minCycleInterval
	b.endRun(busy[1], job.EndDone)
	assert.Equal(t, len(b.starts), 2)
	for _, s := range b.starts {
		assert.Equal(t, s.Task.Job, "gang")
	}
}

// With a long queue cycles are spaced, but urgent work must not wait for the next one.
func TestUrgentWorkIsPlacedAtOnceBehindALongQueue(t *testing.T) {
	b := newHarness(t)
	b.core.SetWorkers(b.clock(), b.fleet(2, whole))
	b.add(single("busy", 2, 16, one))
	b.accept()
	for i := range 2 * largeBacklog {
		b.core.AddJob(b.clock(), single(fmt.Sprintf("flood%d", i), 2, 4, one), nil)
	}
	b.flush()
	b.now += time.Millisecond
	b.add(gang("urgent", 0, 1, one))
	assert.Equal(t, len(b.stops), 1)
	assert.Assert(t, b.core.Wake() > b.now)
}
