package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"agatewinch/internal/core/job"
)

// No jobs arrive any more and most of the fleet is idle, but the rack that holds a task's data is
// full. The task must not wait for that rack as long as on a busy fleet.
func TestTheWaitForARackIsShortOnAQuietFleet(t *testing.T) {
	h := newHarness(t)
	h.core.SetWorkers(h.clock(), h.fleet(24, whole))
	full := single("full", 1, 6, whole)
	full.Steps[0].DataRack = "r0"
	h.add(full)
	assert.Equal(t, len(h.accept()), 6)
	j := single("j", 1, 1, one)
	j.Steps[0].DataRack = "r0"
	j.Steps = append([]job.Step{{Count: 1, Need: one}}, j.Steps...)
	j.Steps[1].After = []int{0}
	h.add(j)
	first := h.accept()[0]
	h.advance(6 * time.Second)
	h.endRun(first, job.EndDone)
	assert.Equal(t, len(h.starts), 0)
	h.advance(2 * time.Second)
	assert.Equal(t, len(h.starts), 1)
}

// No jobs arrive any more and most of the fleet is idle, but the free capacity is reserved for a
// waiting gang. Another task must be able to use it.
func TestReservationsDelayNothingOnAQuietFleet(t *testing.T) {
	h := newHarness(t)
	h.core.SetWorkers(h.clock(), h.fleet(2, job.Resources{CPU: 64000, MemMB: 64000, Accelerators: 8}))
	h.add(single("busy", 1, 1, job.Resources{CPU: 1000, MemMB: 1000, Accelerators: 2}))
	h.accept()
	g := gang("g", 1, 2, job.Resources{CPU: 1000, MemMB: 1000, Accelerators: 8})
	h.add(g)
	long := single("long", 2, 1, job.Resources{CPU: 1000, MemMB: 1000, Accelerators: 1})
	long.Steps[0].Estimate = 20 * time.Second
	h.add(long)
	assert.Equal(t, len(h.starts), 0)
	h.advance(quietAfter + time.Second)
	assert.Equal(t, len(h.starts), 1)
}
