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

func queueFull(after float64) *errkind.Error {
	return &errkind.Error{Kind: errkind.QueueFull, Message: "full", RetryAfterSeconds: after}
}

func TestOwnZoneIsTriedFirst(t *testing.T) {
	w := newWorld("a", "b")
	_, err := w.router().Submit(t.Context(), idempotentJob("j"))
	assert.NilError(t, err)
	assert.Equal(t, w.schedulers["s-a"].count(wire.KindSubmit), 1)
	assert.Equal(t, w.schedulers["s-b"].count(wire.KindSubmit), 0)
}

func TestHighestTermThatSaysActiveGetsTheRequest(t *testing.T) {
	w := newWorld("a")
	w.add("newer", "a", true, 2)
	w.add("standby", "a", false, 3)
	_, err := w.router().Submit(t.Context(), idempotentJob("j"))
	assert.NilError(t, err)
	assert.Equal(t, w.schedulers["newer"].count(wire.KindSubmit), 1)
	assert.Equal(t, w.schedulers["s-a"].count(wire.KindSubmit), 0)
}

func TestFullOwnZoneSpillsByLoadAndShape(t *testing.T) {
	w := newWorld("a", "b", "c")
	w.schedulers["s-a"].beat.Load = core.Stats{Queued: 5}
	w.schedulers["s-b"].beat.Load = core.Stats{FreeAccelerators: 40, LargestFreeCell: 2}
	w.schedulers["s-c"].beat.Load = core.Stats{FreeAccelerators: 16, LargestFreeCell: 8}
	req := idempotentJob("large")
	req.Job.Shape.CellSize = 8
	_, err := w.router().Submit(t.Context(), req)
	assert.NilError(t, err)
	assert.Equal(t, w.started("large"), 1)
	assert.Equal(t, w.schedulers["s-c"].count(wire.KindSubmit), 1)
}

func TestGuaranteeInOwnZoneIsNotSpilled(t *testing.T) {
	w := newWorld("a", "b")
	w.schedulers["s-a"].beat.Load = core.Stats{Queued: 5}
	r := w.router(func(o *Options) {
		o.Guaranteed = func(org core.OrgID, zone core.ZoneID) bool { return org == "o" && zone == "a" }
	})
	_, err := r.Submit(t.Context(), idempotentJob("j"))
	assert.NilError(t, err)
	assert.Equal(t, w.schedulers["s-a"].count(wire.KindSubmit), 1)
}

func TestBurstBetweenHeartbeatsIsSpread(t *testing.T) {
	w := newWorld("a", "b", "c")
	w.schedulers["s-a"].beat.Load = core.Stats{Queued: 1}
	w.schedulers["s-b"].beat.Load = core.Stats{FreeAccelerators: 9, LargestFreeCell: 8}
	w.schedulers["s-c"].beat.Load = core.Stats{FreeAccelerators: 8, LargestFreeCell: 8}
	r := w.router()
	for _, id := range []core.JobID{"1", "2"} {
		req := idempotentJob(id)
		req.Job.Shape.CellSize = 8
		_, err := r.Submit(t.Context(), req)
		assert.NilError(t, err)
	}
	assert.Equal(t, w.schedulers["s-b"].count(wire.KindSubmit), 1)
	assert.Equal(t, w.schedulers["s-c"].count(wire.KindSubmit), 1)
}

func TestUnreachableOwnZoneSpillsAnyWork(t *testing.T) {
	w := newWorld("a", "b")
	w.schedulers["s-a"].script = always(unreachable)
	_, err := w.router().Submit(t.Context(), onceOnlyJob("j"))
	assert.NilError(t, err)
	assert.Equal(t, w.started("j"), 1)
}

func TestRefusalsThatDidNotRunAreTriedElsewhere(t *testing.T) {
	for _, kind := range []errkind.Kind{
		errkind.NoScheduler, errkind.Draining, errkind.QueueFull, errkind.LogUnavailable, errkind.NeverRunnable,
	} {
		w := newWorld("a", "b")
		w.schedulers["s-a"].refuse = &errkind.Error{Kind: kind}
		_, err := w.router().Submit(t.Context(), onceOnlyJob("j"))
		assert.NilError(t, err, "%s", kind)
	}
}

func TestOtherRefusalsAreFinal(t *testing.T) {
	for _, kind := range []errkind.Kind{errkind.RequestMismatch, errkind.QuotaExceeded, errkind.InvalidRequest} {
		w := newWorld("a", "b")
		w.schedulers["s-a"].refuse = &errkind.Error{Kind: kind}
		_, err := w.router().Submit(t.Context(), idempotentJob("j"))
		assert.Assert(t, errkind.Is(err, kind), "%v", err)
		assert.Equal(t, w.schedulers["s-b"].count(wire.KindSubmit), 0)
	}
}

func TestFullQueuesEverywhereAreToldAtOnceWithTheirAdvice(t *testing.T) {
	w := newWorld("a", "b")
	for _, f := range w.schedulers {
		f.refuse = queueFull(8)
	}
	r := w.router()
	_, err := r.Submit(t.Context(), idempotentJob("j"))
	assert.Assert(t, errkind.Is(err, errkind.QueueFull))
	assert.Equal(t, errkind.Of(err).RetryAfterSeconds, 8.0)
	before := w.schedulers["s-a"].count(wire.KindSubmit)
	_, err = r.Submit(t.Context(), idempotentJob("k"))
	assert.Assert(t, errkind.Is(err, errkind.QueueFull))
	assert.Assert(t, errkind.Of(err).RetryAfterSeconds > 0 && errkind.Of(err).RetryAfterSeconds <= 8)
	assert.Equal(t, w.schedulers["s-a"].count(wire.KindSubmit), before, "the refusal was not repeated at the gate")
}

func TestNeverRunnableNeedsEveryZone(t *testing.T) {
	w := newWorld("a", "b")
	for _, f := range w.schedulers {
		f.refuse = &errkind.Error{Kind: errkind.NeverRunnable}
	}
	_, err := w.router().Submit(t.Context(), idempotentJob("j"))
	assert.Assert(t, errkind.Is(err, errkind.NeverRunnable))
	w.schedulers["s-b"].script = always(unreachable)
	ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
	defer cancel()
	_, err = w.router().Submit(ctx, idempotentJob("k"))
	assert.Assert(t, errkind.Is(err, errkind.NoScheduler), "%v", err)
}

func TestLostAnswerOfOnceOnlyWorkIsAskedAfterNotRepeated(t *testing.T) {
	w := newWorld("a", "b")
	a := w.schedulers["s-a"]
	a.script = once(wire.KindSubmit, answerLost)
	reply, err := w.router().Submit(t.Context(), onceOnlyJob("j"))
	assert.NilError(t, err)
	assert.Equal(t, string(reply.Outcome.Outputs[0].Output), "j")
	assert.Equal(t, w.started("j"), 1)
	assert.Equal(t, a.count(wire.KindWait), 1)
	assert.Equal(t, a.count(wire.KindSubmit), 1)
}

func TestLostRequestOfOnceOnlyWorkIsJoinedByItsID(t *testing.T) {
	w := newWorld("a", "b")
	w.schedulers["s-a"].script = once(wire.KindSubmit, requestLost)
	_, err := w.router().Submit(t.Context(), onceOnlyJob("j"))
	assert.NilError(t, err)
	assert.Equal(t, w.started("j"), 1)
	assert.Equal(t, w.schedulers["s-b"].count(wire.KindSubmit), 0)
}

func TestLostAnswerThatCannotBeHadAgainIsOutcomeUnknown(t *testing.T) {
	w := newWorld("a", "b")
	a := w.schedulers["s-a"]
	a.script = func(kind wire.Kind) fault {
		if kind == wire.KindSubmit {
			return answerLost
		}
		return unreachable
	}
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	_, err := w.router().Submit(ctx, onceOnlyJob("j"))
	assert.Assert(t, errkind.Is(err, errkind.OutcomeUnknown), "%v", err)
	assert.Equal(t, w.started("j"), 1)
	assert.Equal(t, w.schedulers["s-b"].count(wire.KindSubmit), 0)
}

func TestRefusalAfterALostAnswerIsNeverToldAsNotRun(t *testing.T) {
	w := newWorld("a")
	a := w.schedulers["s-a"]
	a.script = once(wire.KindSubmit, answerLost)
	a.hold = make(chan struct{})
	close(a.hold)
	r := w.router()
	// The holder's successor knows nothing of the job and refuses new ones.
	go func() {
		await(t, func() bool { return w.started("j") > 0 })
		w.update(func() {
			a.beat.Active = false
			w.add("next", "a", true, 2).refuse = queueFull(1)
		})
	}()
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	req := idempotentJob("j")
	req.Wait = 0
	_, err := r.Submit(ctx, req)
	assert.Assert(t, err == nil || errkind.Of(err).Kind == errkind.OutcomeUnknown, "%v", err)
	_, err = r.Submit(ctx, req)
	assert.Assert(t, err == nil || errkind.Of(err).Kind == errkind.OutcomeUnknown, "a retry was told %v", err)
}

func TestWaitingIdempotentWorkIsRegisteredWithTheNextHolder(t *testing.T) {
	w := newWorld("a")
	a := w.schedulers["s-a"]
	a.hold = make(chan struct{})
	result := make(chan error, 1)
	r := w.router()
	go func() {
		_, err := r.Submit(t.Context(), idempotentJob("j"))
		result <- err
	}()
	await(t, func() bool { return w.started("j") > 0 })
	w.update(func() {
		a.script = once(wire.KindSubmit, healthy)
		a.beat.Active = false
		w.add("next", "a", true, 2)
	})
	// The connection to the old holder breaks.
	w.mu.Lock()
	a.script = always(unreachable)
	w.mu.Unlock()
	a.breakHeld()
	assert.NilError(t, <-result)
	assert.Equal(t, w.schedulers["next"].count(wire.KindSubmit), 1)
}

// breakHeld ends the held calls as a broken connection would.
func (f *fake) breakHeld() {
	f.world.mu.Lock()
	defer f.world.mu.Unlock()
	f.broken = true
	close(f.hold)
}

func TestElsewhereIsFollowedToTheOwnerZone(t *testing.T) {
	for _, req := range []wire.Submit{onceOnlyJob("j"), idempotentJob("j")} {
		w := newWorld("a", "b")
		w.log["j"] = logged{zone: "b", digest: 1}
		w.schedulers["s-b"].jobs["j"] = 1
		reply, err := w.router().Submit(t.Context(), req)
		assert.NilError(t, err)
		assert.Equal(t, reply.Zone, core.ZoneID("b"))
		assert.Equal(t, w.started("j"), 0)
	}
}

func TestAdmittedJobWhoseZoneIsCutOffIsToldAsAdmitted(t *testing.T) {
	w := newWorld("a", "b")
	w.log["j"] = logged{zone: "b", digest: 1}
	w.schedulers["s-b"].script = always(unreachable)
	req := onceOnlyJob("j")
	req.Wait = 0
	reply, err := w.router().Submit(t.Context(), req)
	assert.NilError(t, err)
	assert.Equal(t, reply.State, core.Queued)
	assert.Assert(t, reply.Outcome == nil)
}

func TestDuplicatesAtOneGateGoToOneZoneAndGetEachTheWholeAnswer(t *testing.T) {
	w := newWorld("a", "b")
	a := w.schedulers["s-a"]
	a.hold = make(chan struct{})
	r := w.router()
	var callers sync.WaitGroup
	submit := func() {
		reply, err := r.Submit(t.Context(), idempotentJob("j"))
		assert.Check(t, err)
		assert.Check(t, reply.Outcome != nil && string(reply.Outcome.Outputs[0].Output) == "j")
	}
	callers.Go(submit)
	await(t, func() bool { return w.started("j") > 0 })
	w.update(func() { a.beat.Load = core.Stats{Queued: 9} })
	for range 4 {
		callers.Go(submit)
	}
	await(t, func() bool { return a.count(wire.KindSubmit) >= 5 })
	other := idempotentJob("j")
	other.Digest = 2
	_, err := r.Submit(t.Context(), other)
	assert.Assert(t, errkind.Is(err, errkind.RequestMismatch))
	close(a.hold)
	callers.Wait()
	assert.Equal(t, w.started("j"), 1)
	assert.Equal(t, w.schedulers["s-b"].count(wire.KindSubmit), 0)
}

func TestDeadlineTravelsWithTheRequest(t *testing.T) {
	w := newWorld("a")
	a := w.schedulers["s-a"]
	a.script = once(wire.KindSubmit, requestLost)
	req := idempotentJob("j")
	req.Job.Timeout = time.Minute
	_, err := w.router().Submit(t.Context(), req)
	assert.NilError(t, err)
	sent := a.submits[len(a.submits)-1]
	assert.Assert(t, sent.Job.Timeout < time.Minute && sent.Wait < req.Wait)
}

func TestDeadlineThatPassesBeforeAnySchedulerIsFoundIsNotRun(t *testing.T) {
	w := newWorld("a")
	w.schedulers["s-a"].script = always(unreachable)
	req := idempotentJob("j")
	req.Job.Timeout = 50 * time.Millisecond
	_, err := w.router().Submit(t.Context(), req)
	assert.Assert(t, errkind.Is(err, errkind.DeadlineExceeded), "%v", err)
}

func TestRetriesAreBoundedByAShareOfFirstTries(t *testing.T) {
	w := newWorld("a", "b", "c")
	for _, f := range w.schedulers {
		f.refuse = &errkind.Error{Kind: errkind.Draining}
	}
	const reserve, requests = 3, 20
	r := w.router(func(o *Options) { o.RetryReserve, o.RetryShare = reserve, 0.1 })
	for i := range requests {
		_, err := r.Submit(t.Context(), idempotentJob(core.JobID(rune('a'+i))))
		assert.Assert(t, errkind.Is(err, errkind.Draining), "%v", err)
	}
	tries := 0
	for _, f := range w.schedulers {
		tries += f.count(wire.KindSubmit)
	}
	assert.Assert(t, tries <= requests+reserve+requests/10, "%d tries", tries)
}

func TestOrganisationAtItsBoundIsRefusedAndOthersAreNot(t *testing.T) {
	w := newWorld("a")
	a := w.schedulers["s-a"]
	a.hold = make(chan struct{})
	r := w.router(func(o *Options) { o.MaxPerOrg = 1 })
	done := make(chan error, 1)
	go func() {
		_, err := r.Submit(t.Context(), idempotentJob("first"))
		done <- err
	}()
	await(t, func() bool { return w.started("first") > 0 })
	_, err := r.Submit(t.Context(), idempotentJob("second"))
	assert.Assert(t, errkind.Is(err, errkind.QuotaExceeded))
	close(a.hold)
	other := idempotentJob("third")
	other.Job.Org = "p"
	_, err = r.Submit(t.Context(), other)
	assert.NilError(t, err)
	assert.NilError(t, <-done)
}

// TestAnyFaultsLeaveTheAnswerTrue draws faults for every call and checks what callers
// were told against what ran.
func TestAnyFaultsLeaveTheAnswerTrue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld("a", "b", "c")
		for host, f := range w.schedulers {
			plan := rapid.SliceOfN(rapid.IntRange(0, int(faults)-1), 0, 6).Draw(t, "faults of "+host)
			f.script = func(wire.Kind) fault {
				if len(plan) == 0 {
					return healthy
				}
				next := fault(plan[0])
				plan = plan[1:]
				return next
			}
			if rapid.IntRange(0, 3).Draw(t, "refuses "+host) == 0 {
				f.refuse = queueFull(1)
			}
		}
		r := w.router(func(o *Options) { o.ResolveTimeout = 20 * time.Millisecond })
		req := onceOnlyJob("j")
		if rapid.Bool().Draw(t, "idempotent") {
			req = idempotentJob("j")
		}
		req.Wait = 0
		ctx, cancel := context.WithTimeout(context.Background(), 60*time.Millisecond)
		defer cancel()
		for range rapid.IntRange(1, 3).Draw(t, "calls") {
			reply, err := r.Submit(ctx, req)
			checkTold(t, w, req, reply, err)
		}
	})
}

func checkTold(t *rapid.T, w *world, req wire.Submit, reply wire.JobReply, err error) {
	starts := w.started(req.Job.ID)
	if !req.Job.Idempotent {
		assert.Assert(t, starts <= 1, "started %d times", starts)
	}
	if err == nil {
		assert.Equal(t, reply.Job, req.Job.ID)
		assert.Assert(t, starts >= 1, "answered without a start")
		return
	}
	var kinded *errkind.Error
	assert.Assert(t, errors.As(err, &kinded), "%v", err)
	if errkind.AnswerFor(kinded.Kind).Ran == errkind.RanNo {
		assert.Equal(t, starts, 0, "told %s", kinded.Kind)
	}
}
