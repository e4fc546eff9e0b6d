package standin

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"agatewinch/internal/core"
	"agatewinch/internal/platform"
)

const longLease = time.Minute

var firstHolder = platform.Holder{ID: "a", Term: 1}

func testWorker(f WorkerFaults) *worker {
	def := core.Worker{ID: "w1", CPU: 8, MemoryBytes: 1 << 30, Accelerators: 8, Slots: 8}
	return newWorker(def, f, newLedger(), newCheckpoints(), newRendezvous())
}

func testJob(b Behaviour) *core.Job {
	payload, _ := json.Marshal(b)
	return &core.Job{ID: "o:r", Org: "o", Request: "r", Shape: core.Shape{Cells: 1, CPU: 1}, Declared: time.Hour, Payload: payload}
}

func taskRef(attempt int) core.TaskRef { return core.TaskRef{Job: "o:r", Attempt: attempt} }

// doBatch executes a batch and returns the result of its last operation.
func (w *worker) doBatch(h platform.Holder, ops ...platform.Op) platform.OpResult {
	results := w.do(platform.Batch{Holder: h, TTL: longLease, Ops: ops})
	return results[len(results)-1]
}

func reserveAndStart(w *worker, attempt int, b Behaviour, resume bool) platform.OpResult {
	return w.doBatch(firstHolder,
		platform.Op{Kind: platform.OpReserve, Task: taskRef(attempt), Job: testJob(b), TTL: longLease},
		platform.Op{Kind: platform.OpStart, Task: taskRef(attempt), Resume: resume})
}

func entryKinds(l *ledger) []EntryKind {
	var out []EntryKind
	for _, e := range l.after(0) {
		out = append(out, e.Kind)
	}
	return out
}

// A stop may reach the worker before the reservation of its task. The task must not start then.
func TestTaskStoppedWhileUnknownCannotStart(t *testing.T) {
	w := testWorker(WorkerFaults{})
	assert.Assert(t, w.doBatch(firstHolder, platform.Op{Kind: platform.OpStop, Task: taskRef(1)}).OK)
	assert.Equal(t, reserveAndStart(w, 1, Behaviour{}, false).Reason, core.RefusedUnknown)
	assert.Assert(t, reserveAndStart(w, 2, Behaviour{}, false).OK)
	assert.DeepEqual(t, entryKinds(w.ledger), []EntryKind{EntryStarted})
}

// The timer of a lease can fire while a renewal extends the lease. It must not end tasks then.
func TestStaleLeaseTimerEndsNoTask(t *testing.T) {
	w := testWorker(WorkerFaults{})
	reserveAndStart(w, 1, Behaviour{}, false)
	w.expireLease()
	assert.DeepEqual(t, entryKinds(w.ledger), []EntryKind{EntryStarted})
	w.leaseEnd = time.Now()
	w.expireLease()
	assert.DeepEqual(t, entryKinds(w.ledger), []EntryKind{EntryStarted, EntryLeaseExpired})
	assert.Equal(t, w.reports[0].Kind, platform.ReportExpired)
}

func TestWaitingRenewalRenewsTheLeaseOnlyOnce(t *testing.T) {
	w := testWorker(WorkerFaults{})
	done := make(chan platform.RenewReply)
	go func() {
		done <- w.renew(context.Background(), platform.RenewRequest{Holder: firstHolder, TTL: longLease, Wait: time.Minute})
	}()
	leaseEnd := func() time.Time {
		w.mu.Lock()
		defer w.mu.Unlock()
		return w.leaseEnd
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if leaseEnd().IsZero() {
			return poll.Continue("no renewal yet")
		}
		return poll.Success()
	})
	before := leaseEnd()
	w.mu.Lock()
	w.report(platform.TaskReport{Kind: platform.ReportEnded, Task: taskRef(1)})
	w.mu.Unlock()
	assert.Equal(t, len((<-done).Reports), 1)
	assert.Equal(t, leaseEnd(), before)
}

func TestLowerTermAndSecondHolderOfATermAreRefused(t *testing.T) {
	w := testWorker(WorkerFaults{})
	reserveAndStart(w, 1, Behaviour{}, false)
	second := platform.Holder{ID: "b", Term: 1}
	assert.Equal(t, w.doBatch(second, platform.Op{Kind: platform.OpStop, Task: taskRef(1)}).Reason, core.RefusedLowTerm)
	higher := platform.Holder{ID: "b", Term: 2}
	reply := w.renew(context.Background(), platform.RenewRequest{Holder: higher, TTL: longLease, List: true})
	assert.Equal(t, len(reply.Tasks), 1)
	assert.Equal(t, w.doBatch(firstHolder, platform.Op{Kind: platform.OpStop, Task: taskRef(1)}).Reason, core.RefusedLowTerm)
	assert.DeepEqual(t, entryKinds(w.ledger), []EntryKind{EntryStarted})
}

func TestCheckpointedTaskResumesFromItsCheckpoint(t *testing.T) {
	w := testWorker(WorkerFaults{CheckpointTime: time.Millisecond})
	reserveAndStart(w, 1, Behaviour{RunSeconds: 3600}, false)
	result := w.doBatch(firstHolder, platform.Op{Kind: platform.OpPreempt, Task: taskRef(1)})
	assert.Assert(t, result.Checkpointed)
	reserveAndStart(w, 2, Behaviour{RunSeconds: 3600}, true)
	assert.DeepEqual(t, entryKinds(w.ledger), []EntryKind{EntryStarted, EntryCheckpointed, EntryResumed})
	assert.Assert(t, w.tasks[taskRef(2)].remaining < time.Hour)
}

func TestTaskWithoutCheckpointStartsOverAfterPreemption(t *testing.T) {
	w := testWorker(WorkerFaults{})
	reserveAndStart(w, 1, Behaviour{NoCheckpoint: true}, false)
	assert.Assert(t, !w.doBatch(firstHolder, platform.Op{Kind: platform.OpPreempt, Task: taskRef(1)}).Checkpointed)
	reserveAndStart(w, 2, Behaviour{NoCheckpoint: true}, true)
	assert.DeepEqual(t, entryKinds(w.ledger), []EntryKind{EntryStarted, EntryStopped, EntryStarted})
}

func TestThrottledTaskStillEndsOnce(t *testing.T) {
	w := testWorker(WorkerFaults{})
	reserveAndStart(w, 1, Behaviour{RunSeconds: 0.05}, false)
	assert.Assert(t, w.doBatch(firstHolder, platform.Op{Kind: platform.OpThrottle, Task: taskRef(1)}).OK)
	reply := w.renew(context.Background(), platform.RenewRequest{Holder: firstHolder, TTL: longLease, Wait: time.Minute})
	assert.Equal(t, reply.Reports[0].Kind, platform.ReportEnded)
	assert.DeepEqual(t, entryKinds(w.ledger), []EntryKind{EntryStarted, EntryEnded})
}

func TestRestartLosesStateButReportNumbersIncrease(t *testing.T) {
	w := testWorker(WorkerFaults{})
	reserveAndStart(w, 1, Behaviour{}, false)
	before := w.seq
	w.restart()
	assert.DeepEqual(t, entryKinds(w.ledger), []EntryKind{EntryStarted, EntryLost})
	assert.Assert(t, w.seq > before)
	reply := w.renew(context.Background(), platform.RenewRequest{Holder: firstHolder, TTL: longLease, List: true})
	assert.Equal(t, reply.Incarnation, uint64(2))
	assert.Equal(t, len(reply.Tasks), 0)
}

func TestLeavingWorkerRefusesNewTasksAndFinishesItsOwn(t *testing.T) {
	w := testWorker(WorkerFaults{})
	reserveAndStart(w, 1, Behaviour{}, false)
	w.setFaults(WorkerFaults{Leaving: true})
	// The result is that of the start, which is unknown because the reservation was refused.
	assert.Equal(t, reserveAndStart(w, 2, Behaviour{}, false).Reason, core.RefusedUnknown)
	assert.Equal(t, len(w.tasks), 1)
	assert.DeepEqual(t, entryKinds(w.ledger), []EntryKind{EntryStarted, EntryLeaving})
}

func TestFrozenWorkerExecutesBlockedCallsOnceUnfrozen(t *testing.T) {
	w := testWorker(WorkerFaults{Frozen: true})
	done := make(chan platform.OpResult)
	go func() { done <- reserveAndStart(w, 1, Behaviour{}, false) }()
	select {
	case <-done:
		t.Fatal("a frozen worker answered")
	case <-time.After(20 * time.Millisecond):
	}
	w.setFaults(WorkerFaults{})
	assert.Assert(t, (<-done).OK)
}

func TestDoubleReportIsSentExactlyTwice(t *testing.T) {
	w := testWorker(WorkerFaults{DoubleReports: true})
	w.report(platform.TaskReport{Kind: platform.ReportExpired, Task: taskRef(1)})
	counts := []int{}
	after := uint64(0)
	for range 3 {
		reply := w.renew(context.Background(), platform.RenewRequest{Holder: firstHolder, TTL: longLease, After: after})
		counts = append(counts, len(reply.Reports))
		after = w.seq
	}
	assert.DeepEqual(t, counts, []int{1, 1, 0})
}

func TestUsageReportsLagAndReportsAndTombstonesAreBounded(t *testing.T) {
	w := testWorker(WorkerFaults{UsageEvery: time.Nanosecond, UsageLag: time.Second})
	reserveAndStart(w, 1, Behaviour{}, false)
	req := platform.RenewRequest{Holder: firstHolder, TTL: longLease}
	reply := w.renew(context.Background(), req)
	assert.Equal(t, len(reply.Reports), 0)
	req.Usage, req.Wait = true, time.Millisecond
	reply = w.renew(context.Background(), req)
	assert.Equal(t, reply.Reports[0].Kind, platform.ReportUsage)
	assert.Equal(t, reply.Reports[0].Ran, time.Duration(0))
	for range maxReports {
		w.queueReport(platform.TaskReport{})
	}
	assert.Equal(t, len(w.reports), maxReports)
	limited := newTombstones(2)
	for i := range 3 {
		limited.add(taskRef(i))
	}
	assert.Assert(t, !limited.has(taskRef(0)) && limited.has(taskRef(2)))
}
