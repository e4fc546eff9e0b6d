package routing

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"agatewinch/internal/core"
	"agatewinch/internal/errkind"
	"agatewinch/internal/wire"
	_ "agatewinch/test/rapidseed"
)

func queueFull(retryAfterSeconds float64) *errkind.Error {
	return &errkind.Error{Kind: errkind.QueueFull, Message: "full", RetryAfterSeconds: retryAfterSeconds}
}

func TestOwnZoneIsTriedFirst(t *testing.T) {
	cl := newFakeCluster("a", "b")
	_, err := cl.router().Submit(t.Context(), idempotentJob("j"))
	assert.NilError(t, err)
	assert.Equal(t, cl.schedulers["s-a"].count(wire.KindSubmit), 1)
	assert.Equal(t, cl.schedulers["s-b"].count(wire.KindSubmit), 0)
}

func TestActiveSchedulerWithTheHighestTermGetsTheRequest(t *testing.T) {
	cl := newFakeCluster("a")
	cl.add("newer", "a", true, 2)
	cl.add("standby", "a", false, 3)
	_, err := cl.router().Submit(t.Context(), idempotentJob("j"))
	assert.NilError(t, err)
	assert.Equal(t, cl.schedulers["newer"].count(wire.KindSubmit), 1)
	assert.Equal(t, cl.schedulers["s-a"].count(wire.KindSubmit), 0)
}

func TestFullOwnZoneSpillsByLoadAndShape(t *testing.T) {
	cl := newFakeCluster("a", "b", "c")
	cl.schedulers["s-a"].heartbeat.Load = core.Stats{Queued: 5}
	cl.schedulers["s-b"].heartbeat.Load = core.Stats{FreeAccelerators: 40, LargestFreeCell: 2}
	cl.schedulers["s-c"].heartbeat.Load = core.Stats{FreeAccelerators: 16, LargestFreeCell: 8}
	req := idempotentJob("large")
	req.Job.Shape.CellSize = 8
	_, err := cl.router().Submit(t.Context(), req)
	assert.NilError(t, err)
	assert.Equal(t, cl.started("large"), 1)
	assert.Equal(t, cl.schedulers["s-c"].count(wire.KindSubmit), 1)
}

func TestJobWithGuaranteeInOwnZoneIsNotSpilled(t *testing.T) {
	cl := newFakeCluster("a", "b")
	cl.schedulers["s-a"].heartbeat.Load = core.Stats{Queued: 5}
	r := cl.router(func(o *Options) {
		o.Guaranteed = func(org core.OrgID, zone core.ZoneID) bool { return org == "o" && zone == "a" }
	})
	_, err := r.Submit(t.Context(), idempotentJob("j"))
	assert.NilError(t, err)
	assert.Equal(t, cl.schedulers["s-a"].count(wire.KindSubmit), 1)
}

func TestBurstBetweenHeartbeatsIsSpread(t *testing.T) {
	cl := newFakeCluster("a", "b", "c")
	cl.schedulers["s-a"].heartbeat.Load = core.Stats{Queued: 1}
	cl.schedulers["s-b"].heartbeat.Load = core.Stats{FreeAccelerators: 9, LargestFreeCell: 8}
	cl.schedulers["s-c"].heartbeat.Load = core.Stats{FreeAccelerators: 8, LargestFreeCell: 8}
	r := cl.router()
	for _, id := range []core.JobID{"1", "2"} {
		req := idempotentJob(id)
		req.Job.Shape.CellSize = 8
		_, err := r.Submit(t.Context(), req)
		assert.NilError(t, err)
	}
	assert.Equal(t, cl.schedulers["s-b"].count(wire.KindSubmit), 1)
	assert.Equal(t, cl.schedulers["s-c"].count(wire.KindSubmit), 1)
}

func TestNonIdempotentJobSpillsFromUnreachableOwnZone(t *testing.T) {
	cl := newFakeCluster("a", "b")
	cl.schedulers["s-a"].script = always(unreachable)
	_, err := cl.router().Submit(t.Context(), nonIdempotentJob("j"))
	assert.NilError(t, err)
	assert.Equal(t, cl.started("j"), 1)
}

func TestJobsRefusedAsNotRunAreTriedInAnotherZone(t *testing.T) {
	for _, kind := range []errkind.Kind{
		errkind.NoScheduler, errkind.Draining, errkind.QueueFull, errkind.LogUnavailable, errkind.NeverRunnable,
	} {
		cl := newFakeCluster("a", "b")
		cl.schedulers["s-a"].refuse = &errkind.Error{Kind: kind}
		_, err := cl.router().Submit(t.Context(), nonIdempotentJob("j"))
		assert.NilError(t, err, "%s", kind)
	}
}

func TestOtherRefusalsAreFinal(t *testing.T) {
	for _, kind := range []errkind.Kind{errkind.RequestMismatch, errkind.QuotaExceeded, errkind.InvalidRequest} {
		cl := newFakeCluster("a", "b")
		cl.schedulers["s-a"].refuse = &errkind.Error{Kind: kind}
		_, err := cl.router().Submit(t.Context(), idempotentJob("j"))
		assert.Assert(t, errkind.Is(err, kind), "%v", err)
		assert.Equal(t, cl.schedulers["s-b"].count(wire.KindSubmit), 0)
	}
}

func TestFullQueuesInAllZonesAreReportedWithRetryAfter(t *testing.T) {
	cl := newFakeCluster("a", "b")
	for _, f := range cl.schedulers {
		f.refuse = queueFull(8)
	}
	r := cl.router()
	_, err := r.Submit(t.Context(), idempotentJob("j"))
	assert.Assert(t, errkind.Is(err, errkind.QueueFull))
	assert.Equal(t, errkind.Of(err).RetryAfterSeconds, 8.0)
	before := cl.schedulers["s-a"].count(wire.KindSubmit)
	_, err = r.Submit(t.Context(), idempotentJob("k"))
	assert.Assert(t, errkind.Is(err, errkind.QueueFull))
	assert.Assert(t, errkind.Of(err).RetryAfterSeconds > 0 && errkind.Of(err).RetryAfterSeconds <= 8)
	assert.Equal(t, cl.schedulers["s-a"].count(wire.KindSubmit), before, "the gate asked a scheduler again instead of repeating the refusal")
}

func TestNeverRunnableNeedsEveryZone(t *testing.T) {
	cl := newFakeCluster("a", "b")
	for _, f := range cl.schedulers {
		f.refuse = &errkind.Error{Kind: errkind.NeverRunnable}
	}
	_, err := cl.router().Submit(t.Context(), idempotentJob("j"))
	assert.Assert(t, errkind.Is(err, errkind.NeverRunnable))
	cl.schedulers["s-b"].script = always(unreachable)
	ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
	defer cancel()
	_, err = cl.router().Submit(ctx, idempotentJob("k"))
	assert.Assert(t, errkind.Is(err, errkind.NoScheduler), "%v", err)
}

func TestLostAnswerOfNonIdempotentJobIsQueriedNotResubmitted(t *testing.T) {
	cl := newFakeCluster("a", "b")
	a := cl.schedulers["s-a"]
	a.script = once(wire.KindSubmit, answerLost)
	reply, err := cl.router().Submit(t.Context(), nonIdempotentJob("j"))
	assert.NilError(t, err)
	assert.Equal(t, string(reply.Outcome.Outputs[0].Output), "j")
	assert.Equal(t, cl.started("j"), 1)
	assert.Equal(t, a.count(wire.KindWait), 1)
	assert.Equal(t, a.count(wire.KindSubmit), 1)
}

func TestLostNonIdempotentRequestIsDeduplicatedByID(t *testing.T) {
	cl := newFakeCluster("a", "b")
	cl.schedulers["s-a"].script = once(wire.KindSubmit, requestLost)
	_, err := cl.router().Submit(t.Context(), nonIdempotentJob("j"))
	assert.NilError(t, err)
	assert.Equal(t, cl.started("j"), 1)
	assert.Equal(t, cl.schedulers["s-b"].count(wire.KindSubmit), 0)
}

func TestUnresolvableLostAnswerIsOutcomeUnknown(t *testing.T) {
	cl := newFakeCluster("a", "b")
	a := cl.schedulers["s-a"]
	a.script = func(kind wire.Kind) fault {
		if kind == wire.KindSubmit {
			return answerLost
		}
		return unreachable
	}
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	_, err := cl.router().Submit(ctx, nonIdempotentJob("j"))
	assert.Assert(t, errkind.Is(err, errkind.OutcomeUnknown), "%v", err)
	assert.Equal(t, cl.started("j"), 1)
	assert.Equal(t, cl.schedulers["s-b"].count(wire.KindSubmit), 0)
}

func TestRefusalAfterALostAnswerIsNeverReportedAsNotRun(t *testing.T) {
	cl := newFakeCluster("a")
	a := cl.schedulers["s-a"]
	a.script = once(wire.KindSubmit, answerLost)
	a.unblock = make(chan struct{})
	close(a.unblock)
	r := cl.router()
	// The next active scheduler does not know the job and refuses new ones.
	go func() {
		waitFor(t, func() bool { return cl.started("j") > 0 })
		cl.update(func() {
			a.heartbeat.Active = false
			cl.add("next", "a", true, 2).refuse = queueFull(1)
		})
	}()
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	req := idempotentJob("j")
	req.Wait = 0
	_, err := r.Submit(ctx, req)
	assert.Assert(t, err == nil || errkind.Of(err).Kind == errkind.OutcomeUnknown, "%v", err)
	_, err = r.Submit(ctx, req)
	assert.Assert(t, err == nil || errkind.Of(err).Kind == errkind.OutcomeUnknown, "the retry returned %v", err)
}

func TestWaitingIdempotentJobIsResubmittedAfterFailover(t *testing.T) {
	cl := newFakeCluster("a")
	a := cl.schedulers["s-a"]
	a.unblock = make(chan struct{})
	result := make(chan error, 1)
	r := cl.router()
	go func() {
		_, err := r.Submit(t.Context(), idempotentJob("j"))
		result <- err
	}()
	waitFor(t, func() bool { return cl.started("j") > 0 })
	cl.update(func() {
		a.script = once(wire.KindSubmit, noFault)
		a.heartbeat.Active = false
		cl.add("next", "a", true, 2)
	})
	// The connection to the former active scheduler breaks.
	cl.mu.Lock()
	a.script = always(unreachable)
	cl.mu.Unlock()
	a.breakBlockedCalls()
	assert.NilError(t, <-result)
	assert.Equal(t, cl.schedulers["next"].count(wire.KindSubmit), 1)
}

// breakBlockedCalls fails the blocked calls as a broken connection would.
func (f *fakeScheduler) breakBlockedCalls() {
	f.cluster.mu.Lock()
	defer f.cluster.mu.Unlock()
	f.connBroken = true
	close(f.unblock)
}

func TestRedirectIsFollowedToTheJobsZone(t *testing.T) {
	for _, req := range []wire.Submit{nonIdempotentJob("j"), idempotentJob("j")} {
		cl := newFakeCluster("a", "b")
		cl.log["j"] = logEntry{zone: "b", digest: 1}
		cl.schedulers["s-b"].jobs["j"] = 1
		reply, err := cl.router().Submit(t.Context(), req)
		assert.NilError(t, err)
		assert.Equal(t, reply.Zone, core.ZoneID("b"))
		assert.Equal(t, cl.started("j"), 0)
	}
}

func TestAdmittedJobInUnreachableZoneIsReportedAsQueued(t *testing.T) {
	cl := newFakeCluster("a", "b")
	cl.log["j"] = logEntry{zone: "b", digest: 1}
	cl.schedulers["s-b"].script = always(unreachable)
	req := nonIdempotentJob("j")
	req.Wait = 0
	reply, err := cl.router().Submit(t.Context(), req)
	assert.NilError(t, err)
	assert.Equal(t, reply.State, core.Queued)
	assert.Assert(t, reply.Outcome == nil)
}

func TestConcurrentDuplicatesGoToOneZoneAndAllGetTheAnswer(t *testing.T) {
	cl := newFakeCluster("a", "b")
	a := cl.schedulers["s-a"]
	a.unblock = make(chan struct{})
	r := cl.router()
	var callers sync.WaitGroup
	submit := func() {
		reply, err := r.Submit(t.Context(), idempotentJob("j"))
		assert.Check(t, err)
		assert.Check(t, reply.Outcome != nil && string(reply.Outcome.Outputs[0].Output) == "j")
	}
	callers.Go(submit)
	waitFor(t, func() bool { return cl.started("j") > 0 })
	cl.update(func() { a.heartbeat.Load = core.Stats{Queued: 9} })
	for range 4 {
		callers.Go(submit)
	}
	waitFor(t, func() bool { return a.count(wire.KindSubmit) >= 5 })
	other := idempotentJob("j")
	other.Digest = 2
	_, err := r.Submit(t.Context(), other)
	assert.Assert(t, errkind.Is(err, errkind.RequestMismatch))
	close(a.unblock)
	callers.Wait()
	assert.Equal(t, cl.started("j"), 1)
	assert.Equal(t, cl.schedulers["s-b"].count(wire.KindSubmit), 0)
}

func TestRetryCarriesTheRemainingTimeoutAndWait(t *testing.T) {
	cl := newFakeCluster("a")
	a := cl.schedulers["s-a"]
	a.script = once(wire.KindSubmit, requestLost)
	req := idempotentJob("j")
	req.Job.Timeout = time.Minute
	_, err := cl.router().Submit(t.Context(), req)
	assert.NilError(t, err)
	sent := a.submits[len(a.submits)-1]
	assert.Assert(t, sent.Job.Timeout < time.Minute && sent.Wait < req.Wait)
}

func TestDeadlineThatPassesBeforeAnySchedulerAcceptsIsDeadlineExceeded(t *testing.T) {
	cl := newFakeCluster("a")
	cl.schedulers["s-a"].script = always(unreachable)
	req := idempotentJob("j")
	req.Job.Timeout = 50 * time.Millisecond
	_, err := cl.router().Submit(t.Context(), req)
	assert.Assert(t, errkind.Is(err, errkind.DeadlineExceeded), "%v", err)
}

// A caller repeats a request after its answer was lost. The job has run, so that the deadline of the
// repeated request must not be reported as "not run".
func TestDeadlineOfARepeatedRequestIsNotReportedAsNotRun(t *testing.T) {
	cl := newFakeCluster("a")
	a := cl.schedulers["s-a"]
	a.script = always(answerLost)
	r := cl.router()
	req := nonIdempotentJob("j")
	_, err := r.Submit(t.Context(), req)
	assert.Assert(t, errkind.Is(err, errkind.OutcomeUnknown), "%v", err)
	assert.Equal(t, cl.started("j"), 1)
	a.script = always(unreachable)
	req.Job.Timeout = 50 * time.Millisecond
	_, err = r.Submit(t.Context(), req)
	assert.Assert(t, errkind.Is(err, errkind.OutcomeUnknown), "%v", err)
}

func TestRetriesAreBoundedByAShareOfFirstTries(t *testing.T) {
	cl := newFakeCluster("a", "b", "c")
	for _, f := range cl.schedulers {
		f.refuse = &errkind.Error{Kind: errkind.Draining}
	}
	const reserve, requests = 3, 20
	r := cl.router(func(o *Options) { o.RetryReserve, o.RetryShare = reserve, 0.1 })
	for i := range requests {
		_, err := r.Submit(t.Context(), idempotentJob(core.JobID(rune('a'+i))))
		assert.Assert(t, errkind.Is(err, errkind.Draining), "%v", err)
	}
	tries := 0
	for _, f := range cl.schedulers {
		tries += f.count(wire.KindSubmit)
	}
	assert.Assert(t, tries <= requests+reserve+requests/10, "%d tries exceed the retry budget", tries)
}

func TestOnlyTheOrganisationAtItsLimitIsRefused(t *testing.T) {
	cl := newFakeCluster("a")
	a := cl.schedulers["s-a"]
	a.unblock = make(chan struct{})
	r := cl.router(func(o *Options) { o.MaxPerOrg = 1 })
	done := make(chan error, 1)
	go func() {
		_, err := r.Submit(t.Context(), idempotentJob("first"))
		done <- err
	}()
	waitFor(t, func() bool { return cl.started("first") > 0 })
	_, err := r.Submit(t.Context(), idempotentJob("second"))
	assert.Assert(t, errkind.Is(err, errkind.QuotaExceeded))
	close(a.unblock)
	other := idempotentJob("third")
	other.Job.Org = "p"
	_, err = r.Submit(t.Context(), other)
	assert.NilError(t, err)
	assert.NilError(t, <-done)
}

// TestReportedResultsAgreeWithStartedJobsUnderFaults draws faults for every call and checks
// that the results returned to callers agree with the jobs that were started.
func TestReportedResultsAgreeWithStartedJobsUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cl := newFakeCluster("a", "b", "c")
		for host, f := range cl.schedulers {
			plan := rapid.SliceOfN(rapid.IntRange(0, int(faultCount)-1), 0, 6).Draw(t, "faults of "+host)
			f.script = func(wire.Kind) fault {
				if len(plan) == 0 {
					return noFault
				}
				next := fault(plan[0])
				plan = plan[1:]
				return next
			}
			if rapid.IntRange(0, 3).Draw(t, "refuses "+host) == 0 {
				f.refuse = queueFull(1)
			}
		}
		r := cl.router(func(o *Options) { o.ResolveTimeout = 20 * time.Millisecond })
		req := nonIdempotentJob("j")
		if rapid.Bool().Draw(t, "idempotent") {
			req = idempotentJob("j")
		}
		req.Wait = 0
		ctx, cancel := context.WithTimeout(context.Background(), 60*time.Millisecond)
		defer cancel()
		for range rapid.IntRange(1, 3).Draw(t, "calls") {
			reply, err := r.Submit(ctx, req)
			checkReported(t, cl, req, reply, err)
		}
	})
}

func checkReported(t *rapid.T, cl *fakeCluster, req wire.Submit, reply wire.JobReply, err error) {
	starts := cl.started(req.Job.ID)
	if !req.Job.Idempotent {
		assert.Assert(t, starts <= 1, "a non-idempotent job was started %d times", starts)
	}
	if err == nil {
		assert.Equal(t, reply.Job, req.Job.ID)
		assert.Assert(t, starts >= 1, "the call succeeded but the job was not started")
		return
	}
	var kindErr *errkind.Error
	assert.Assert(t, errors.As(err, &kindErr), "%v", err)
	if errkind.PropertiesOf(kindErr.Kind).Ran == errkind.RanNo {
		assert.Equal(t, starts, 0, "the job was started, but the call reported %s, which means not run", kindErr.Kind)
	}
}
