package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"agatewinch/internal/core/job"
)

// failProbes advances the time while all probes fail as unanswered.
func (b *harness) failProbes(d time.Duration) {
	for range int(d / (250 * time.Millisecond)) {
		holds := b.probes
		b.probes = nil
		for _, h := range holds {
			b.core.ProbeFailed(b.clock(), h, Unanswered)
		}
		b.advance(250 * time.Millisecond)
	}
}

// fleetWithZones returns workers as fleet does, with each rack in a zone of its own.
func (b *harness) fleetWithZones(n int, capacity job.Resources) []WorkerInfo {
	list := b.fleet(n, capacity)
	for i := range list {
		list[i].Zone = "zone-" + list[i].Rack
	}
	return list
}

// A zone is partitioned while nothing runs there. Once two of its workers have not answered, a
// gang must be placed in another zone, though the zone's other workers have not been tried.
func TestZoneOfUnreachableWorkersIsSuspected(t *testing.T) {
	b := newHarness(t)
	b.now = time.Minute
	b.core.SetWorkers(b.clock(), b.fleetWithZones(12, whole))
	b.add(gang("g", 1, 2, whole))
	first := b.starts
	b.starts = nil
	zone := b.core.workers[first[0].Worker].Zone
	assert.Equal(t, b.core.workers[first[1].Worker].Zone, zone)
	for _, s := range first {
		b.core.Started(b.clock(), s, NoConnection)
		b.flush()
	}
	assert.Assert(t, len(b.probes) >= 6, "all workers of the zone are probed")
	assert.Equal(t, len(b.starts), 2)
	for _, s := range b.starts {
		assert.Assert(t, b.core.workers[s.Worker].Zone != zone)
	}
	answering, listed := b.core.CountReachable()
	assert.Equal(t, answering, 6)
	assert.Equal(t, listed, 12)
}

// A takeover happens between a gang's record and its starts. The first probe of each worker
// shows that no member runs, so that the gang is started again without waiting for stops.
func TestGangThatTheFormerLeaderDidNotStartStartsAtOnce(t *testing.T) {
	b := newHarness(t)
	b.core.SetWorkers(b.clock(), b.fleet(2, whole))
	records := map[string]job.TaskRecord{}
	for i, w := range []string{"w0", "w1"} {
		records[job.TaskID{Job: "g", Index: i}.String()] = job.TaskRecord{Run: 1, Worker: w, Incarnation: 1, Active: true}
	}
	b.core.AddJob(b.clock(), gang("g", 0, 2, whole), records)
	b.flush()
	b.answerProbe("w0", WorkerReport{Incarnation: 1, ClockMs: 10, Running: []RunningTask{}})
	b.answerProbe("w1", WorkerReport{Incarnation: 1, ClockMs: 10, Running: []RunningTask{}})
	assert.Equal(t, len(b.starts), 2)
	assert.Equal(t, b.starts[0].Run, 2)
}

// An idle worker is partitioned just before a start. The task must be delayed only by
// startLease, not by the longer lease of a worker with confirmed runs.
func TestUnansweredStartOnAnIdleWorkerHoldsItsTaskUpForAShortLease(t *testing.T) {
	b := newHarness(t)
	b.core.SetWorkers(b.clock(), b.fleet(2, whole))
	b.advance(b.core.settings.inheritedLease())
	b.startUnanswered(1)
	b.failProbes(startLease - time.Second)
	assert.Equal(t, len(b.starts), 0)
	b.failProbes(2 * time.Second)
	assert.Equal(t, len(b.starts), 1)
	assert.Equal(t, b.starts[0].Run, 2)
}

// After a takeover an idle worker is partitioned just before a start. The former leader may
// have granted that worker a longer lease, which then covers the run too, so that the task has
// to wait for it.
func TestUnansweredStartAfterATakeoverWaitsForTheLeaseOfTheFormerLeader(t *testing.T) {
	b := newHarness(t)
	b.core.SetWorkers(b.clock(), b.fleet(2, whole))
	b.startUnanswered(1)
	b.failProbes(b.core.settings.inheritedLease() - time.Second)
	assert.Equal(t, len(b.starts), 0)
	b.failProbes(2 * time.Second)
	assert.Equal(t, len(b.starts), 1)
}

// As above, but the worker has answered the new leader before: the former one cannot have
// renewed the lease since, so that one lease is enough.
func TestUnansweredStartOnAFencedWorkerWaitsForOneLeaseOnly(t *testing.T) {
	b := newHarness(t)
	b.core.SetWorkers(b.clock(), b.fleet(1, whole))
	b.add(single("first", 1, 1, one))
	b.accept()
	b.answerProbe("w0", WorkerReport{Incarnation: 1, ClockMs: 10})
	b.add(single("second", 1, 1, one))
	second := b.starts[0]
	b.starts = nil
	b.core.Started(b.clock(), second, Unanswered)
	b.flush()
	b.failProbes(b.core.settings.longestLease() + 2*time.Second)
	for r := range b.core.workers["w0"].runs {
		assert.Assert(t, r.task.id.Job != "second", "its run still counts as present")
	}
}

// The task of a start that a worker refuses is placed on another worker at once.
func TestRefusedStartIsPlacedElsewhereAtOnce(t *testing.T) {
	b := newHarness(t)
	b.core.SetWorkers(b.clock(), b.fleet(2, whole))
	b.add(single("j", 0, 1, one))
	first := b.starts[0]
	b.starts = nil
	b.core.Started(b.clock(), first, RefusedUnhealthy)
	b.flush()
	assert.Equal(t, len(b.starts), 1)
	assert.Assert(t, b.starts[0].Worker != first.Worker)
}

// A worker is partitioned until all its runs have expired, and then recovers. It stays listed
// throughout. It must still be probed without any runs, or it would never be used again.
func TestWorkerIsUsedAgainAfterAPartition(t *testing.T) {
	b := newHarness(t)
	b.core.SetWorkers(b.clock(), b.fleet(1, whole))
	b.add(single("j", 1, 1, one))
	b.accept()
	b.failProbes(12 * time.Second)
	assert.Equal(t, len(b.starts), 0)
	b.advance(2 * time.Second)
	b.answerProbe("w0", WorkerReport{Incarnation: 1, ClockMs: b.now.Milliseconds(), Running: []RunningTask{}})
	assert.Equal(t, len(b.starts), 1)
	assert.Equal(t, b.starts[0].Run, 2)
}

// A worker restarts while it is partitioned. The list shows the new incarnation, which must be
// used at once.
func TestWorkerRestartedDuringAPartitionIsUsedAtOnce(t *testing.T) {
	b := newHarness(t)
	list := b.fleet(1, whole)
	b.core.SetWorkers(b.clock(), list)
	b.add(single("j", 1, 1, one))
	b.accept()
	b.answerProbe("w0", WorkerReport{Incarnation: 1, ClockMs: 10})
	b.failProbes(3 * time.Second)
	list[0].Incarnation = 2
	b.core.SetWorkers(b.clock(), list)
	b.advance(time.Second)
	assert.Equal(t, len(b.starts), 1)
	assert.Equal(t, b.starts[0].Incarnation, int64(2))
}

// A partitioned worker completes a task after the leader considered its lease expired. The end
// must be recorded before it is acknowledged, or the next leader would run the task again.
func TestLateEndIsRecorded(t *testing.T) {
	b := newHarness(t)
	b.core.SetWorkers(b.clock(), b.fleet(1, whole))
	b.add(single("j", 1, 2, one))
	s := b.accept()
	b.failProbes(12 * time.Second)
	b.advance(2 * time.Second)
	var h Probe
	for _, h = range b.probes {
	}
	b.core.ProbeAnswered(b.clock(), h, WorkerReport{Incarnation: 1, ClockMs: b.now.Milliseconds(), Running: []RunningTask{}, Ended: []EndedTask{{Number: 1, Task: s[0].Task.String(), Run: 1, How: job.EndDone}}})
	done := false
	for batch := b.core.TakeBatch(); batch != nil; batch = b.core.TakeBatch() {
		for _, c := range batch.Tasks {
			done = done || c.ID == s[0].Task && c.Record.Done
		}
	}
	assert.Assert(t, done)
}
