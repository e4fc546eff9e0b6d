package journal

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"agatewinch/internal/core"
	"agatewinch/internal/platform"
	"agatewinch/internal/platform/fakelog"
)

func start(t *testing.T, log platform.Log, writer string, zone core.ZoneID) *Journal {
	t.Helper()
	j := New(Options{Writer: writer, Zone: zone, Linger: time.Millisecond, SnapshotInterval: time.Hour, EndedKept: time.Hour}, logr.Discard(), log)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = j.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if j.Ready() {
			return poll.Success()
		}
		return poll.Continue("stream not read to its end")
	}, poll.WithDelay(time.Millisecond))
	return j
}

func admission(id core.JobID) Record { return Record{Admitted: &Admitted{Job: core.Job{ID: id}}} }

func TestAppendWithLostResponseTakesEffect(t *testing.T) {
	log := fakelog.New()
	j := start(t, log, "w", zoneA)
	log.SetFault(func() fakelog.Fault { return fakelog.AnswerLost })
	v, err := j.Write(t.Context(), 1, admission("j"))
	assert.NilError(t, err)
	assert.Assert(t, v.Effective)
}

func TestLostAppendIsRetriedWithTheSameID(t *testing.T) {
	log := fakelog.New()
	j := start(t, log, "w", zoneA)
	faults := []fakelog.Fault{fakelog.CallLost, fakelog.CallLost}
	log.SetFault(func() fakelog.Fault {
		if len(faults) == 0 {
			return fakelog.NoFault
		}
		f := faults[0]
		faults = faults[1:]
		return f
	})
	v, err := j.Write(t.Context(), 1, admission("j"))
	assert.NilError(t, err)
	assert.Assert(t, v.Effective)
}

func TestRefusedAppendFailsWithNotApplied(t *testing.T) {
	log := fakelog.New()
	j := start(t, log, "w", zoneA)
	log.SetFault(func() fakelog.Fault { return fakelog.Refused })
	_, err := j.Write(t.Context(), 1, admission("j"))
	assert.Assert(t, errors.Is(err, platform.ErrNotApplied))
	assert.Equal(t, len(log.Records(platform.StreamJobs)), 0)
}

func TestRefusalAfterALostAppendFailsWithUnknown(t *testing.T) {
	log := fakelog.New()
	j := start(t, log, "w", zoneA)
	first := true
	log.SetFault(func() fakelog.Fault {
		if first {
			first = false
			return fakelog.CallLost
		}
		return fakelog.Refused
	})
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	_, err := j.Write(ctx, 1, admission("j"))
	assert.Assert(t, errors.Is(err, platform.ErrUnknown))
}

func TestTwoWritersOfOneJobIDAgreeOnTheFirst(t *testing.T) {
	log := fakelog.New()
	a, b := start(t, log, "a", zoneA), start(t, log, "b", zoneB)
	for n := range 20 {
		id := core.JobID(fmt.Sprintf("j%d", n))
		var wg sync.WaitGroup
		results := make([]WriteResult, 2)
		for i, j := range []*Journal{a, b} {
			wg.Go(func() {
				v, err := j.Write(t.Context(), 1, admission(id))
				assert.Check(t, err)
				results[i] = v
			})
		}
		wg.Wait()
		assert.Assert(t, results[0].Effective != results[1].Effective)
		assert.Equal(t, results[0].Entry.Zone, results[1].Entry.Zone)
	}
}

func TestPlacementIsVoidAfterAFenceOfAHigherTerm(t *testing.T) {
	log := fakelog.New()
	old, standby := start(t, log, "old", zoneA), start(t, log, "new", zoneA)
	_, err := old.Write(t.Context(), 1, admission("j"))
	assert.NilError(t, err)
	v, err := standby.Fence(t.Context(), 2)
	assert.NilError(t, err)
	assert.Assert(t, v.Effective)
	v, err = old.Write(t.Context(), 1, Record{Placed: &Placed{Job: "j", Attempt: 1}})
	assert.NilError(t, err)
	assert.Assert(t, !v.Effective)
	assert.Equal(t, v.Holder.Term, core.Term(2))
}

func TestReaderThatMissedTrimmedRecordsRestartsFromTheSnapshot(t *testing.T) {
	log := fakelog.New()
	writer := start(t, log, "w", zoneA)
	_, err := writer.Write(t.Context(), 1, admission("before"))
	assert.NilError(t, err)

	// The slow reader stops reading after its bootstrap while the log grows.
	slow := New(Options{Writer: "slow", Zone: zoneA}, logr.Discard(), log)
	reloads := 0
	slow.OnChange = func(c Change) {
		if c.Record == nil {
			reloads++
		}
	}
	assert.NilError(t, slow.bootstrap(t.Context()))
	_, err = writer.Write(t.Context(), 1, admission("between"))
	assert.NilError(t, err)
	assert.NilError(t, writer.WriteSnapshot(t.Context(), 1))
	log.Trim(platform.StreamJobs, 2)

	var trimmed *platform.TrimmedError
	assert.Assert(t, errors.As(slow.readOnce(t.Context()), &trimmed))
	assert.NilError(t, slow.bootstrap(t.Context()))
	assert.Equal(t, reloads, 2)
	_, ok := slow.Lookup("between")
	assert.Assert(t, ok)
	_, ok = slow.Lookup("before")
	assert.Assert(t, ok)
}

func TestSnapshotIsDueWhenTheTailOutgrowsTheLiveState(t *testing.T) {
	log := fakelog.New()
	j := start(t, log, "w", zoneA)
	assert.Assert(t, !j.SnapshotDue())
	for range minTail/DefaultBatchRecords + 2 {
		var wg sync.WaitGroup
		for range DefaultBatchRecords {
			wg.Go(func() {
				_, err := j.Fence(t.Context(), 1)
				assert.Check(t, err)
			})
		}
		wg.Wait()
	}
	assert.Assert(t, j.SnapshotDue())
	assert.NilError(t, j.WriteSnapshot(t.Context(), 1))
	assert.Assert(t, !j.SnapshotDue())
}

func TestExpiredOutcomesAreDroppedByEveryReader(t *testing.T) {
	log := fakelog.New()
	a, b := start(t, log, "a", zoneA), start(t, log, "b", zoneA)
	a.opts.EndedKept = -2 * endedMarkInterval
	_, err := a.Write(t.Context(), 1, admission("j"))
	assert.NilError(t, err)
	_, err = a.Write(t.Context(), 1, Record{Ended: &Ended{Job: "j", Outcome: core.Outcome{State: core.Succeeded}}})
	assert.NilError(t, err)
	assert.NilError(t, a.Expire(t.Context(), 1))
	_, err = b.Fence(t.Context(), 1)
	assert.NilError(t, err)
	_, known := b.Lookup("j")
	assert.Assert(t, !known)
}
