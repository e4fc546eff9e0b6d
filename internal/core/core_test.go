package core

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestGangStartsOnlyWhenWhollyReserved reserves two cells for a gang: no task may start
// before both reservations are confirmed.
func TestGangStartsOnlyWhenWhollyReserved(t *testing.T) {
	c := New(Options{Zone: "a", Policy: PolicyFIFO, LeaseTTL: time.Second, ReserveTTL: time.Second, MaxQueued: 10})
	cfg := &Config{Generation: 1}
	for _, id := range []WorkerID{"w1", "w2"} {
		cfg.Workers = append(cfg.Workers, Worker{ID: id, Zone: "a", Rack: "r", CPU: 8, MemoryBytes: 8, Accelerators: 8, Slots: 8})
	}
	c.Step(0, ConfigChanged{Config: cfg})
	c.Step(0, WorkerChanged{Worker: "w1", Health: WorkerLive})
	c.Step(0, WorkerChanged{Worker: "w2", Health: WorkerLive})
	out := c.Step(1, JobSubmitted{Job: Job{ID: "j", Idempotent: true, Shape: Shape{Cells: 2, CellSize: 8, CPU: 1}}})
	assert.Equal(t, len(out), 2)
	first, second := out[0].(Reserve).Placement, out[1].(Reserve).Placement
	assert.Assert(t, first.Worker != second.Worker)
	out = c.Step(2, ReserveDone{Task: first.Task, Worker: first.Worker, Result: CallDone})
	assert.Equal(t, len(out), 0)
	out = c.Step(3, ReserveDone{Task: second.Task, Worker: second.Worker, Result: CallDone})
	assert.Equal(t, len(out), 2)
	_, ok := out[0].(Start)
	assert.Assert(t, ok)
}
