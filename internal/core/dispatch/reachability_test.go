package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"agatewinch/internal/core/job"
)

// failProbes advances the time while all probes fail as unanswered.
func (h *harness) failProbes(d time.Duration) {
	for range int(d / (250 * time.Millisecond)) {
		probes := h.probes
		h.probes = nil
		for _, p := range probes {
			h.core.ProbeFailed(h.clock(), p, Unanswered)
		}
		h.advance(250 * time.Millisecond)
	}
}

// fleetWithZones returns workers as fleet does, with a separate zone for each rack.
func (h *harness) fleetWithZones(n int, capacity job.Resources) []WorkerInfo {
	list := h.fleet(n, capacity)
	for i := range list {
		list[i].Zone = "zone-" + list[i].Rack
	}
	return list
}

// A zone is partitioned while nothing runs there. Once two of its workers have not answered, a
// gang must be placed in another zone, even though the zone's other workers have not been called.
func TestZoneOfUnreachableWorkersIsSuspected(t *testing.T) {
	h := newHarness(t)
	h.now = time.Minute
	h.core.SetWorkers(h.clock(), h.fleetWithZones(12, whole))
	h.add(gang("g", 1, 2, whole))
	first := h.starts
	h.starts = nil
	zone := h.core.workers[first[0].Worker].Zone
	assert.Equal(t, h.core.workers[first[1].Worker].Zone, zone)
	for _, s := range first {
		h.core.StartAnswered(h.clock(), s, NoConnection)
		h.flush()
	}
	assert.Assert(t, len(h.probes) >= 6, "not all workers of the zone were probed")
	assert.Equal(t, len(h.starts), 2)
	for _, s := range h.starts {
		assert.Assert(t, h.core.workers[s.Worker].Zone != zone)
	}
	reachable, listed := h.core.CountReachable()
	assert.Equal(t, reachable, 6)
	assert.Equal(t, listed, 12)
}

// A takeover happens between a gang's record and its starts. The first probe of each worker
// shows that no member runs, so that the gang is started again without waiting for stops.
func TestGangThatTheFormerLeaderDidNotStartStartsAtOnce(t *testing.T) {
	h := newHarness(t)
	h.core.SetWorkers(h.clock(), h.fleet(2, whole))
	records := map[string]job.TaskRecord{}
	for i, w := range []string{"w0", "w1"} {
		records[job.TaskID{Job: "g", Index: i}.String()] = job.TaskRecord{Run: 1, Worker: w, Incarnation: 1, Active: true}
	}
	h.core.AddJob(h.clock(), gang("g", 0, 2, whole), records)
	h.flush()
	h.answerProbe("w0", WorkerReport{Incarnation: 1, ClockMs: 10, Running: []RunInProgress{}})
	h.answerProbe("w1", WorkerReport{Incarnation: 1, ClockMs: 10, Running: []RunInProgress{}})
	assert.Equal(t, len(h.starts), 2)
	assert.Equal(t, h.starts[0].Run, 2)
}

// An idle worker is partitioned just before a start. The task must be delayed only by
// startLeaseTTL, not by the longer lease of a worker with confirmed runs.
func TestUnansweredStartOnAnIdleWorkerDelaysItsTaskByAShortLease(t *testing.T) {
	h := newHarness(t)
	h.core.SetWorkers(h.clock(), h.fleet(2, whole))
	h.advance(h.core.settings.inheritedLease())
	h.startUnanswered(1)
	h.failProbes(startLeaseTTL - time.Second)
	assert.Equal(t, len(h.starts), 0)
	h.failProbes(2 * time.Second)
	assert.Equal(t, len(h.starts), 1)
	assert.Equal(t, h.starts[0].Run, 2)
}

// After a takeover an idle worker is partitioned just before a start. The former leader may
// have granted that worker a longer lease, which then covers the run too, so that the task has
// to wait for it.
func TestUnansweredStartAfterATakeoverWaitsForTheLeaseOfTheFormerLeader(t *testing.T) {
	h := newHarness(t)
	h.core.SetWorkers(h.clock(), h.fleet(2, whole))
	h.startUnanswered(1)
	h.failProbes(h.core.settings.inheritedLease() - time.Second)
	assert.Equal(t, len(h.starts), 0)
	h.failProbes(2 * time.Second)
	assert.Equal(t, len(h.starts), 1)
}

// As above, but the worker has answered the new leader before: the former leader cannot have
// renewed the lease since, so the task waits for one lease only.
func TestUnansweredStartAfterTheEpochIsAcceptedWaitsForOneLeaseOnly(t *testing.T) {
	h := newHarness(t)
	h.core.SetWorkers(h.clock(), h.fleet(1, whole))
	h.add(single("first", 1, 1, one))
	h.accept()
	h.answerProbe("w0", WorkerReport{Incarnation: 1, ClockMs: 10})
	h.add(single("second", 1, 1, one))
	second := h.starts[0]
	h.starts = nil
	h.core.StartAnswered(h.clock(), second, Unanswered)
	h.flush()
	h.failProbes(h.core.settings.longestLease() + 2*time.Second)
	for r := range h.core.workers["w0"].runs {
		assert.Assert(t, r.task.id.Job != "second", "the unanswered run has not ended after one lease")
	}
}

// The task of a start that a worker refuses is placed on another worker at once.
func TestRefusedStartIsPlacedElsewhereAtOnce(t *testing.T) {
	h := newHarness(t)
	h.core.SetWorkers(h.clock(), h.fleet(2, whole))
	h.add(single("j", 0, 1, one))
	first := h.starts[0]
	h.starts = nil
	h.core.StartAnswered(h.clock(), first, RefusedUnhealthy)
	h.flush()
	assert.Equal(t, len(h.starts), 1)
	assert.Assert(t, h.starts[0].Worker != first.Worker)
}

// A worker is partitioned until all its runs have expired, and then recovers. It stays listed
// throughout. It must still be probed without any runs, or it would never be used again.
func TestWorkerIsUsedAgainAfterAPartition(t *testing.T) {
	h := newHarness(t)
	h.core.SetWorkers(h.clock(), h.fleet(1, whole))
	h.add(single("j", 1, 1, one))
	h.accept()
	h.failProbes(12 * time.Second)
	assert.Equal(t, len(h.starts), 0)
	h.advance(2 * time.Second)
	h.answerProbe("w0", WorkerReport{Incarnation: 1, ClockMs: h.now.Milliseconds(), Running: []RunInProgress{}})
	assert.Equal(t, len(h.starts), 1)
	assert.Equal(t, h.starts[0].Run, 2)
}

// A worker restarts while it is partitioned. The list shows the new incarnation, which must be
// used at once.
func TestWorkerRestartedDuringAPartitionIsUsedAtOnce(t *testing.T) {
	h := newHarness(t)
	list := h.fleet(1, whole)
	h.core.SetWorkers(h.clock(), list)
	h.add(single("j", 1, 1, one))
	h.accept()
	h.answerProbe("w0", WorkerReport{Incarnation: 1, ClockMs: 10})
	h.failProbes(3 * time.Second)
	list[0].Incarnation = 2
	h.core.SetWorkers(h.clock(), list)
	h.advance(time.Second)
	assert.Equal(t, len(h.starts), 1)
	assert.Equal(t, h.starts[0].Incarnation, int64(2))
}

// A partitioned worker completes a task after the leader considered its lease expired. The end
// must be recorded before it is acknowledged, or the next leader would run the task again.
func TestLateEndIsRecorded(t *testing.T) {
	h := newHarness(t)
	h.core.SetWorkers(h.clock(), h.fleet(1, whole))
	h.add(single("j", 1, 2, one))
	s := h.accept()
	h.failProbes(12 * time.Second)
	h.advance(2 * time.Second)
	var p Probe
	for _, p = range h.probes {
	}
	h.core.ProbeAnswered(h.clock(), p, WorkerReport{Incarnation: 1, ClockMs: h.now.Milliseconds(), Running: []RunInProgress{}, Ended: []EndedRun{{Number: 1, Task: s[0].Task.String(), Run: 1, End: job.EndDone}}})
	done := false
	for batch := h.core.TakeBatch(); batch != nil; batch = h.core.TakeBatch() {
		for _, c := range batch.Tasks {
			done = done || c.ID == s[0].Task && c.Record.Done
		}
	}
	assert.Assert(t, done)
}
