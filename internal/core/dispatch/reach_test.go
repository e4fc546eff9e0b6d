package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"agatewinch/internal/core/job"
)

// loseContact advances the time while all probes fail as unanswered.
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

// fleetWithZones returns workers as fleet does, with each rack in a zone of its own.
func (b *bed) fleetWithZones(n int, capacity job.Resources) []WorkerInfo {
	list := b.fleet(n, capacity)
	for i := range list {
		list[i].Zone = "zone-" + list[i].Rack
	}
	return list
}

// A zone is partitioned while nothing runs there. Once two of its workers have not answered, a
// gang must be placed in another zone, though the zone's other workers have not been tried.
func TestZoneOfUnreachableWorkersIsSuspected(t *testing.T) {
	b := newBed(t)
	b.now = time.Minute
	b.core.SetWorkers(b.clock(), b.fleetWithZones(12, whole))
	b.add(gang("g", 1, 2, whole))
	first := b.starts
	b.starts = nil
	zone := b.core.workers[first[0].Worker].Zone
	assert.Equal(t, b.core.workers[first[1].Worker].Zone, zone)
	for _, s := range first {
		b.core.Started(b.clock(), s, NoConnection)
		b.step()
	}
	assert.Assert(t, len(b.holds) >= 6, "all workers of the zone are probed")
	assert.Equal(t, len(b.starts), 2)
	for _, s := range b.starts {
		assert.Assert(t, b.core.workers[s.Worker].Zone != zone)
	}
	answering, listed := b.core.Reach()
	assert.Equal(t, answering, 6)
	assert.Equal(t, listed, 12)
}

// A takeover happens between a gang's record and its starts. The first probe of each worker
// shows that no member runs, so that the gang is started again without waiting for stops.
func TestGangThatTheFormerLeaderDidNotStartStartsAtOnce(t *testing.T) {
	b := newBed(t)
	b.core.SetWorkers(b.clock(), b.fleet(2, whole))
	records := map[string]job.TaskRecord{}
	for i, w := range []string{"w0", "w1"} {
		records[job.TaskID{Job: "g", Index: i}.String()] = job.TaskRecord{Run: 1, Worker: w, Born: 1, Active: true}
	}
	b.core.AddJob(b.clock(), gang("g", 0, 2, whole), records)
	b.step()
	b.report("w0", Report{Born: 1, ClockMs: 10, Running: []RunningTask{}})
	b.report("w1", Report{Born: 1, ClockMs: 10, Running: []RunningTask{}})
	assert.Equal(t, len(b.starts), 2)
	assert.Equal(t, b.starts[0].Run, 2)
}

// An idle worker is partitioned just before a start. The task must be delayed only by
// startLease, not by the longer lease of a worker with confirmed runs.
func TestUnansweredStartOnAnIdleWorkerHoldsItsTaskUpForAShortLease(t *testing.T) {
	b := newBed(t)
	b.core.SetWorkers(b.clock(), b.fleet(2, whole))
	b.pass(b.core.set.inheritedLease())
	b.loseStart(1)
	b.loseContact(startLease - time.Second)
	assert.Equal(t, len(b.starts), 0)
	b.loseContact(2 * time.Second)
	assert.Equal(t, len(b.starts), 1)
	assert.Equal(t, b.starts[0].Run, 2)
}

// After a takeover an idle worker is partitioned just before a start. The former leader may
// have granted that worker a longer lease, which then covers the run too, so that the task has
// to wait for it.
func TestUnansweredStartAfterATakeoverWaitsForTheLeaseOfTheFormerLeader(t *testing.T) {
	b := newBed(t)
	b.core.SetWorkers(b.clock(), b.fleet(2, whole))
	b.loseStart(1)
	b.loseContact(b.core.set.inheritedLease() - time.Second)
	assert.Equal(t, len(b.starts), 0)
	b.loseContact(2 * time.Second)
	assert.Equal(t, len(b.starts), 1)
}

// As above, but the worker has answered the new leader before: the former one cannot have
// renewed the lease since, so that one lease is enough.
func TestUnansweredStartOnAFencedWorkerWaitsForOneLeaseOnly(t *testing.T) {
	b := newBed(t)
	b.core.SetWorkers(b.clock(), b.fleet(1, whole))
	b.add(single("first", 1, 1, one))
	b.accept()
	b.report("w0", Report{Born: 1, ClockMs: 10})
	b.add(single("second", 1, 1, one))
	second := b.starts[0]
	b.starts = nil
	b.core.Started(b.clock(), second, Unanswered)
	b.step()
	b.loseContact(b.core.set.longestLease() + 2*time.Second)
	for r := range b.core.workers["w0"].runs {
		assert.Assert(t, r.task.id.Job != "second", "its run still counts as present")
	}
}

// The task of a start that a worker refuses is placed on another worker at once.
func TestRefusedStartIsPlacedElsewhereAtOnce(t *testing.T) {
	b := newBed(t)
	b.core.SetWorkers(b.clock(), b.fleet(2, whole))
	b.add(single("j", 0, 1, one))
	first := b.starts[0]
	b.starts = nil
	b.core.Started(b.clock(), first, RefusedUnhealthy)
	b.step()
	assert.Equal(t, len(b.starts), 1)
	assert.Assert(t, b.starts[0].Worker != first.Worker)
}

// A worker is partitioned until all its runs have expired, and then recovers. It stays listed
// throughout. It must still be probed without any runs, or it would never be used again.
func TestWorkerIsUsedAgainAfterAPartition(t *testing.T) {
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

// A worker restarts while it is partitioned. The list shows the new incarnation, which must be
// used at once.
func TestWorkerRestartedDuringAPartitionIsUsedAtOnce(t *testing.T) {
	b := newBed(t)
	list := b.fleet(1, whole)
	b.core.SetWorkers(b.clock(), list)
	b.add(single("j", 1, 1, one))
	b.accept()
	b.report("w0", Report{Born: 1, ClockMs: 10})
	b.loseContact(3 * time.Second)
	list[0].Born = 2
	b.core.SetWorkers(b.clock(), list)
	b.pass(time.Second)
	assert.Equal(t, len(b.starts), 1)
	assert.Equal(t, b.starts[0].Born, int64(2))
}

// A partitioned worker completes a task after the leader considered its lease expired. The end
// must be recorded before it is acknowledged, or the next leader would run the task again.
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
