package dispatch

import (
	"fmt"
	"testing"
	"time"

	"agatewinch/internal/core/job"
)

// BenchmarkDecision measures one full scheduling cycle on a fleet of two speeds that is three quarters
// full, with many waiting steps of three kinds.
func BenchmarkDecision(b *testing.B) {
	for _, workers := range []int{350, 540} {
		for _, waiting := range []int{200, 2000} {
			b.Run(fmt.Sprintf("workers=%d/waiting=%d", workers, waiting), func(b *testing.B) {
				h := busyFleet(b, workers, waiting)
				b.ResetTimer()
				for range b.N {
					h.now += minCycleInterval
					h.core.inputsChanged = true
					h.core.backlog = 0 // a full cycle, which also recomputes reservations
					h.core.schedule(h.clock(), fullCycle)
					h.core.pendingActions = Actions{}
				}
			})
		}
	}
}

// busyFleet returns a fleet on which runs have ended, sooner on two thirds of the workers, with runs on
// three quarters of it and steps that wait for whole workers.
func busyFleet(b *testing.B, workers, waiting int) *harness {
	h := newHarness(&testing.T{})
	list := h.fleet(workers, whole)
	h.core.SetWorkers(h.clock(), list)
	for round := range 8 {
		h.add(single(fmt.Sprintf("ended%d", round), 2, workers*3, one))
		started := h.accept()
		h.now += time.Second
		for speed := range 2 {
			h.now += 3 * time.Second
			for _, s := range started {
				if slowWorker(s.Worker) == (speed == 1) {
					h.endOf(s)
				}
			}
		}
	}
	h.add(single("running", 2, workers*6, one))
	h.accept()
	for i := range waiting {
		j := gang(fmt.Sprintf("waiting%d", i), 1+i%2, 2+i%5, job.Resources{CPU: 8000, MemMB: 8000, Accelerators: int64(4 + 4*(i%2))})
		j.Steps[0].SameRack, j.Org = i%3 > 0, fmt.Sprint("org", i%10)
		if i%2 == 1 {
			j.Steps[0].Gang = false
		}
		h.core.AddJob(h.clock(), j, nil)
	}
	for range 20 { // what fits is placed
		h.now += minCycleInterval
		h.core.inputsChanged = true
		h.flush()
	}
	return h
}

func slowWorker(id string) bool { return (id[len(id)-1]-'0')%3 == 0 }

// endOf ends a run as done without an answer to a probe.
func (h *harness) endOf(s Start) {
	h.core.endRun(h.clock(), s.run, job.EndDone, "")
	h.flush()
}
