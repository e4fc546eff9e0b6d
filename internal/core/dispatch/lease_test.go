package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"agatewinch/internal/core/job"
)

// recordAfterListing returns the record that a leader, which took over some time before, writes of a
// long-running task once its worker has listed it.
func recordAfterListing(t *testing.T, sinceTakeover time.Duration) (*job.Job, job.TaskRecord) {
	t.Helper()
	h := newHarness(t)
	h.advance(sinceTakeover)
	h.core.SetWorkers(h.clock(), h.fleet(1, whole))
	j := single("j", 1, 1, one)
	j.Steps[0].LongRunning = true
	h.add(j)
	s := h.accept()[0]
	h.advance(250 * time.Millisecond)
	h.answerProbe(s.Worker, WorkerReport{Incarnation: s.Incarnation, ClockMs: h.now.Milliseconds(), Running: []RunInProgress{{Task: s.Task.String(), Run: s.Run, Percent: 100}}})
	return j, h.core.tasks[s.Task.String()].record()
}

// takeOverWithout returns a leader that took over two seconds after the loss of its predecessor and of the
// worker with the recorded run.
func takeOverWithout(t *testing.T, j *job.Job, record job.TaskRecord) *harness {
	t.Helper()
	h := newHarness(t)
	h.core.settings.FormerLeaseTime = 5500 * time.Millisecond
	h.core.knownLeasesUntil = h.core.settings.FormerLeaseTime + leaseExpiryMargin
	h.core.SetWorkers(h.clock(), h.fleet(2, whole)[1:])
	h.core.AddJob(h.clock(), j, map[string]job.TaskRecord{"j.0.0.0": record})
	h.flush()
	return h
}

// The rule allows nine seconds from the loss for tasks that run until they are cancelled.
func TestTaskOfAWorkerLostWithTheLeaderStartsOnceTheLeaseLimitIsOver(t *testing.T) {
	j, record := recordAfterListing(t, 16*time.Second)
	h := takeOverWithout(t, j, record)
	h.advance(5500 * time.Millisecond)
	assert.Equal(t, len(h.starts), 0, "the lease of the former leader may not have expired yet")
	h.advance(time.Second)
	assert.Equal(t, len(h.starts), 1)
	assert.Equal(t, h.starts[0].Run, 2)
}

// A start may have been executed by an incarnation of which the former leader did not know, under a lease that
// its limit did not bound.
func TestTaskThatItsWorkerHasNotListedWaitsForTheLongestLease(t *testing.T) {
	j, record := recordAfterListing(t, 16*time.Second)
	record.LeaseLimited = false
	h := takeOverWithout(t, j, record)
	h.advance(15 * time.Second)
	assert.Equal(t, len(h.starts), 0)
	h.advance(time.Second)
	assert.Equal(t, len(h.starts), 1)
}

// The leader before may have granted a lease to an incarnation of which it did not know.
func TestLeasesOfARunCountAsLimitedOnceOtherLeasesHaveExpired(t *testing.T) {
	_, record := recordAfterListing(t, time.Second)
	assert.Assert(t, !record.LeaseLimited)
	_, record = recordAfterListing(t, 16*time.Second)
	assert.Assert(t, record.LeaseLimited)
}

// A new leader must not extend the leases of workers from which it has heard nothing.
func TestTheFirstProbeOfAnAdoptedRunExtendsNoLease(t *testing.T) {
	h := newHarness(t)
	h.core.SetWorkers(h.clock(), h.fleet(1, whole))
	h.core.AddJob(h.clock(), single("j", 1, 1, one), map[string]job.TaskRecord{"j.0.0.0": {Run: 1, Worker: "w0", Incarnation: 1, Active: true}})
	h.flush()
	assert.Equal(t, h.probes[0].LeaseUntilMs, int64(0))
	h.answerProbe("w0", WorkerReport{Incarnation: 1, ClockMs: 10, Running: []RunInProgress{{Task: "j.0.0.0", Run: 1}}})
	assert.Assert(t, h.probes[0].LeaseUntilMs > 7000, "%d", h.probes[0].LeaseUntilMs)
}

// A worker's clock may be slow, and the process that runs the core limits the leases.
func TestLeasesEndWithinTheLimitOnSlowClocks(t *testing.T) {
	h := newHarness(t)
	h.core.SetWorkers(h.clock(), h.fleet(1, whole))
	w := h.core.workers["w0"]
	h.core.LimitLeases(h.now + 4*time.Second)
	leased := time.Duration(h.core.extendLease(h.clock(), w, time.Minute)-w.ClockMs) * time.Millisecond
	assert.Assert(t, leased <= 3920*time.Millisecond && leased >= 3900*time.Millisecond, "%v", leased)
	h.core.LimitLeases(h.now)
	assert.Equal(t, time.Duration(h.core.extendLease(h.clock(), w, time.Minute)-w.ClockMs)*time.Millisecond, leased, "a lease never gets shorter")
}

// Guards against an odd entry with a clock that is far too high: later leases lasted for as long as the worker grants
// any, and the leader expected them to end sooner and started the task twice.
func TestClockOfAnOddEntryIsDroppedAfterTheNextEntryOrAnswer(t *testing.T) {
	for name, correct := range map[string]func(*harness){
		"entry": func(h *harness) { h.core.SetWorkers(h.clock(), h.fleet(1, whole)) },
		"answer": func(h *harness) {
			h.answerProbe("w0", WorkerReport{Incarnation: 1, ClockMs: h.now.Milliseconds() + 1})
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.core.SetWorkers(h.clock(), h.fleet(1, whole))
			odd := h.fleet(1, whole)
			odd[0].ClockMs = 1e12
			h.core.SetWorkers(h.clock(), odd)
			h.add(single("before", 1, 1, one))
			h.accept()
			h.now += time.Second
			correct(h)
			w := h.core.workers["w0"]
			assert.Assert(t, w.leasesExpireAt() >= h.now+h.core.settings.MaxLeaseTTL, "the lease may last as long as the worker grants any")
			h.add(single("after", 1, 1, one))
			assert.Assert(t, h.starts[0].LeaseUntilMs <= (h.now+h.core.settings.LeaseTTL).Milliseconds()+1, "%d", h.starts[0].LeaseUntilMs)
		})
	}
}
