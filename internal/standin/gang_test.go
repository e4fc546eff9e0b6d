package standin

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"agatewinch/internal/core"
	"agatewinch/internal/platform"
)

// gangOfTwo returns two workers of one stand-in that have reserved the two tasks of a gang.
func gangOfTwo(t *testing.T, b Behaviour) (first, second *worker) {
	t.Helper()
	l, c, r := newLedger(), newCheckpoints(), newRendezvous()
	workers := [2]*worker{}
	for i, id := range []core.WorkerID{"w1", "w2"} {
		w := newWorker(core.Worker{ID: id, CPU: 8, MemoryBytes: 1 << 30, Accelerators: 8, Slots: 8}, WorkerFaults{}, l, c, r)
		job := testJob(b)
		job.Shape.Cells = 2
		assert.Assert(t, w.doBatch(firstHolder, platform.Op{Kind: platform.OpReserve, Task: memberRef(i), Job: job, TTL: longLease}).OK)
		workers[i] = w
	}
	return workers[0], workers[1]
}

func memberRef(index int) core.TaskRef { return core.TaskRef{Job: "o:r", Attempt: 1, Index: index} }

func startMember(w *worker, index int) platform.OpResult {
	return w.doBatch(firstHolder, platform.Op{Kind: platform.OpStart, Task: memberRef(index), Members: 2})
}

// A scheduler that pauses between the two starts of a gang must not make one member run alone.
func TestGangMemberDoesNotRunBeforeTheOthersHaveStarted(t *testing.T) {
	first, _ := gangOfTwo(t, Behaviour{RunSeconds: 0.001})
	assert.Assert(t, startMember(first, 0).OK)
	time.Sleep(20 * time.Millisecond)
	assert.Equal(t, len(first.ledger.after(0)), 0)

	first.mu.Lock()
	first.leaseEnd = time.Now()
	first.mu.Unlock()
	first.expireLease()
	assert.Equal(t, len(first.ledger.after(0)), 0)
	assert.Equal(t, first.reports[0].Kind, platform.ReportExpired)
	assert.Assert(t, !first.reports[0].Started)
	assert.Equal(t, len(first.rendezvous.gangs), 0)
}

func TestGangBeginsWhenItsLastMemberHasStarted(t *testing.T) {
	first, second := gangOfTwo(t, Behaviour{RunSeconds: 3600})
	assert.Assert(t, startMember(first, 0).OK)
	assert.Assert(t, startMember(second, 1).OK)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if len(first.ledger.after(0)) < 2 {
			return poll.Continue("the gang has not begun")
		}
		return poll.Success()
	})
	assert.DeepEqual(t, entryKinds(first.ledger), []EntryKind{EntryStarted, EntryStarted})
}

func TestGangDoesNotBeginWithoutAMemberThatWasStopped(t *testing.T) {
	first, second := gangOfTwo(t, Behaviour{RunSeconds: 3600})
	assert.Assert(t, startMember(first, 0).OK)
	assert.Assert(t, first.doBatch(firstHolder, platform.Op{Kind: platform.OpStop, Task: memberRef(0)}).OK)
	assert.Assert(t, startMember(second, 1).OK)
	time.Sleep(20 * time.Millisecond)
	assert.Equal(t, len(first.ledger.after(0)), 0)
}
