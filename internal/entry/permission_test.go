package entry

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"agatewinch/internal/boottime"
	"agatewinch/internal/catalog"
	"agatewinch/internal/core/dispatch"
	"agatewinch/internal/core/job"
	"agatewinch/internal/ledger"
	"agatewinch/internal/sharedlog"
	"agatewinch/internal/sharedlog/memlog"
)

// pausableClock is a boot-time clock that a test can advance, as if the machine had been suspended.
type pausableClock struct{ skipped atomic.Int64 }

func (c *pausableClock) now() time.Duration {
	return boottime.Now() + time.Duration(c.skipped.Load())
}

func (c *pausableClock) skip(d time.Duration) { c.skipped.Add(int64(d)) }

// pausedLeader returns a leader with one job, whose process is paused for longer than the leader
// timeout once the job's placement is recorded, and the workers of the test.
func pausedLeader(t *testing.T) (*leader, *workers, *pausableClock) {
	t.Helper()
	clock, w := &pausableClock{}, &workers{runs: map[string]execution{}}
	h := newHost(memlog.New(), w, "host")
	h.sinceBoot = clock.now
	l := newLeader(h, sharedlog.Fence{Epoch: 1}, h.sinceBoot(), formerTimes{})
	list, err := w.List(context.Background())
	assert.NilError(t, err)
	l.core.SetWorkers(l.now(), list)
	j := submission("0000000000000001")
	j.Service = queue.Service
	l.core.AddJob(l.now(), j, nil)
	l.core.TakeActions(l.now())
	l.core.Recorded(l.now(), l.core.TakeBatch())
	clock.skip(leaderTimeout)
	return l, w, clock
}

// A leader that was suspended with a start in hand must not send it: a successor may have taken
// over meanwhile.
func TestPausedLeaderSendsNoOrders(t *testing.T) {
	l, w, _ := pausedLeader(t)
	l.appendInFlight = true
	l.dispatchActions(context.Background())
	time.Sleep(50 * time.Millisecond)
	w.mu.Lock()
	assert.Equal(t, len(w.starts), 0)
	w.mu.Unlock()

	// Once the log has accepted a record of this leader, nobody else can have claimed the role.
	l.appendDone(l.now(), nil, l.host.sinceBoot(), nil)
	l.dispatchActions(context.Background())
	eventually(t, func() bool {
		w.mu.Lock()
		defer w.mu.Unlock()
		return len(w.starts) == 2
	})
}

func TestOrderIsWithheldIfThePauseComesJustBeforeIt(t *testing.T) {
	l, _, _ := pausedLeader(t)
	o := l.order(func() dispatch.Outcome {
		t.Error("the order was sent")
		return dispatch.Accepted
	})
	assert.Equal(t, o, dispatch.Withheld)
}

// The permission counts from when the accepted record was sent, not from when its answer was read.
func TestPauseBeforeTheAnswerOfAnAppendEndsThePermission(t *testing.T) {
	l, _, clock := pausedLeader(t)
	sentAt := l.host.sinceBoot()
	clock.skip(leaderTimeout)
	l.appendDone(l.now(), nil, sentAt, nil)
	assert.Assert(t, !l.permission.valid())
}

// A successor allows for renewals of leases until maxTimeWithoutLog after the leader's last record. An answer
// that comes late must not extend that, nor a pause.
func TestLeaderRenewsNoLeasesLongAfterItsLastRecord(t *testing.T) {
	l, w, clock := pausedLeader(t)
	list, err := w.List(t.Context())
	assert.NilError(t, err)
	l.core.ProbeFailed(l.now(), dispatch.Probe{Target: dispatch.Target{Worker: list[0].ID, Incarnation: list[0].Incarnation}}, dispatch.Unanswered)
	sentAt := l.host.sinceBoot()
	clock.skip(maxTimeWithoutLog)
	l.appendDone(l.now(), nil, sentAt, nil)
	assert.Assert(t, !l.permission.mayRenewLeases())
	l.dispatchActions(t.Context())
	assert.Equal(t, len(l.core.TakeProbes(l.now()).Probes), 1, "a probe was sent")

	l.appendDone(l.now(), nil, l.host.sinceBoot(), nil)
	assert.Assert(t, l.permission.mayRenewLeases())
}

// lostFirstAnswer loses the answer of the first append, after which the process is paused and a
// successor claims the role. As the platform's log does, it answers the repeat as the first time.
type lostFirstAnswer struct {
	sharedlog.Log
	clock   *pausableClock
	appends int
}

func (l *lostFirstAnswer) Append(ctx context.Context, t sharedlog.Topic, records []sharedlog.Record, opt sharedlog.AppendOptions) (int64, error) {
	l.appends++
	offset, err := l.Log.Append(ctx, t, records, opt)
	if l.appends > 1 || err != nil {
		return offset, err
	}
	l.clock.skip(leaderTimeout)
	successor := sharedlog.Fence{Epoch: opt.Fence.Epoch + 1, Sequence: 1}
	if _, err := l.Log.Append(ctx, t, records, sharedlog.AppendOptions{Fence: &successor}); err != nil {
		return 0, err
	}
	return 0, sharedlog.ErrUnknown
}

// The answer to a repeated append says that the leader held the role when it was first sent, and
// nothing about the time since.
func TestRepeatedAppendDoesNotRenewThePermission(t *testing.T) {
	l, _, clock := pausedLeader(t)
	log := &lostFirstAnswer{Log: memlog.New(), clock: clock}
	l.host.log = log
	record := recordOf(t, submission("0000000000000002"))
	sentAt, err := l.appendWithRetry(t.Context(), []sharedlog.Record{record}, l.sequence+1)
	assert.NilError(t, err)
	assert.Equal(t, log.appends, 2)
	l.appendDone(l.now(), nil, sentAt, nil)
	assert.Assert(t, !l.permission.valid())
}

// A leader without its permission asks for a new one at once, not only at the next renewal.
func TestLeaderWithoutPermissionAppendsAtOnce(t *testing.T) {
	l, _, _ := pausedLeader(t)
	l.appendedAt = time.Now()
	l.dispatchActions(t.Context())
	assert.Assert(t, l.appendInFlight)
	(<-l.events)(l.now())
	assert.Assert(t, l.permission.valid())
}

// A configuration that was confirmed before a suspension must not be used after it: keys may have
// been withdrawn meanwhile.
func TestConfigurationConfirmedBeforeASuspensionIsNotUsed(t *testing.T) {
	clock := &pausableClock{}
	h := newHost(memlog.New(), &workers{}, "host")
	h.sinceBoot = clock.now
	h.setCatalog((&catalog.Catalog{Version: 1}).Index(), h.sinceBoot())
	_, err := h.Catalog()
	assert.NilError(t, err)
	clock.skip(h.settings.ConfigApplyTime + h.settings.ConfigApplyExtension)
	_, err = h.Catalog()
	assert.Assert(t, err != nil)
}

// A log record that the core cannot handle must not end the process of every host that becomes the
// leader.
func TestFailedDecisionCostsOnlyTheRole(t *testing.T) {
	h := newHost(memlog.New(), &workers{}, "host")
	l := newLeader(h, sharedlog.Fence{Epoch: 1}, h.sinceBoot(), formerTimes{})
	l.post(func(dispatch.Now) { panic("unexpected") })
	assert.Equal(t, l.runGuarded(context.Background(), nil), "a decision failed")
	assert.Assert(t, !h.role.shouldClaim())
}

func recordOf(t *testing.T, j *job.Job) sharedlog.Record {
	t.Helper()
	r, err := ledger.JobRecord(j)
	assert.NilError(t, err)
	return r
}

func TestJobRecordOutOfRangeIsSkipped(t *testing.T) {
	h := newHost(memlog.New(), &workers{}, "host")
	for _, id := range []string{"0000000000000001", "0000000000000002"} {
		j := submission(id)
		if id == "0000000000000001" {
			j.Steps[0].Count = 1 << 62
		}
		h.applyRecords([]sharedlog.Record{recordOf(t, j)})
	}
	_, odd := h.ledger.Find("0000000000000001")
	assert.Assert(t, !odd)
	_, valid := h.ledger.Find("0000000000000002")
	assert.Assert(t, valid)
}
