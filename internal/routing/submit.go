package routing

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"

	"agatewinch/internal/core"
	"agatewinch/internal/errkind"
	"agatewinch/internal/event"
	"agatewinch/internal/wire"
)

// submission is the state of one caller's submission over its tries.
type submission struct {
	router *Router
	req    wire.Submit
	began  time.Time
	// waitEnd is the end of the caller's wait, and giveUp that of all tries.
	waitEnd, giveUp time.Time
	tries           int
	// zone is where the job must go: a try that may have taken effect went there, or a
	// scheduler named it.
	zone core.ZoneID
	// known is true when an earlier call with the same ID was, or may have been, taken.
	known bool
	// mayHaveRun is true when a try was lost: no refusal of a later one can then be
	// passed on as "not run".
	mayHaveRun bool
	// ask is true while the next try asks for the job in place of submitting it.
	ask bool
	// follow is true when the next try is no retry but goes where a scheduler said.
	follow bool
	// admitted is the last reply that says that the job stands in the log.
	admitted *wire.JobReply
	refusal  *errkind.Error
	// neverRunnable holds the zones that can never hold the job.
	neverRunnable map[core.ZoneID]bool
	// stuckSince is when the zone first had no scheduler that took the request.
	stuckSince time.Time
}

// Submit hands a job to a zone and returns the reply to this caller: the job's state,
// or its end when the caller waits for it. An error that says "not run" is returned
// only when no try of this call can have taken effect.
func (r *Router) Submit(ctx context.Context, req wire.Submit) (wire.JobReply, error) {
	now := time.Now()
	known, err := r.owners.enter(req.Job.ID, req.Digest)
	if err != nil {
		return wire.JobReply{}, err
	}
	defer r.owners.leave(req.Job.ID)
	if err := r.admission.enter(req.Job, known != "", now); err != nil {
		return wire.JobReply{}, err
	}
	defer r.admission.leave(req.Job)
	s := &submission{
		router: r, req: req, began: now, zone: known, known: known != "", neverRunnable: map[core.ZoneID]bool{},
		waitEnd: now.Add(req.Wait), giveUp: now.Add(max(req.Wait, admitTimeout) + callSlack),
	}
	r.retries.first()
	count(countFirstTries)
	return s.run(ctx)
}

// verdict is what a round over the schedulers came to.
type verdict struct {
	done  bool
	reply wire.JobReply
	err   error
}

func (s *submission) run(ctx context.Context) (wire.JobReply, error) {
	pauses := newPauses()
	for {
		changed := s.router.opts.Directory.Changed()
		v := s.round(ctx)
		if v.done {
			return v.reply, v.err
		}
		if !s.router.pause(ctx, s.zone, changed, pauses, s.giveUp) {
			return s.unresolved(ctx)
		}
	}
}

// round tries the schedulers once each, until one settles the matter.
func (s *submission) round(ctx context.Context) verdict {
	for _, hb := range s.candidates() {
		if s.tries > 0 && !s.mayTryAgain() {
			return verdict{done: true, err: s.finalError()}
		}
		v, goOn := s.try(ctx, hb)
		if v.done || !goOn {
			return v
		}
	}
	return s.endOfRound()
}

// mayTryAgain takes a token for a retry. Asking after a lost answer, and going where a
// scheduler said, are not retries.
func (s *submission) mayTryAgain() bool {
	if s.mayHaveRun || s.follow {
		return true
	}
	if !s.router.retries.take() {
		count(countRetriesRefused)
		return false
	}
	count(countRetries)
	return true
}

// candidates returns the schedulers to try, in order.
func (s *submission) candidates() []wire.Heartbeat {
	job := s.req.Job
	if s.zone == "" {
		return s.free(job)
	}
	if s.stuckSince.IsZero() {
		s.stuckSince = time.Now()
	}
	if job.Idempotent && time.Since(s.stuckSince) > s.router.opts.ResolveTimeout/2 {
		return s.router.order(job)
	}
	return s.activeOf(s.zone)
}

func (s *submission) activeOf(zone core.ZoneID) []wire.Heartbeat {
	if hb, ok := s.router.actives()[zone]; ok {
		return []wire.Heartbeat{hb}
	}
	return nil
}

// free returns the candidates of a job that no zone has: all, unless another caller of
// the same job has chosen a zone already.
func (s *submission) free(job core.Job) []wire.Heartbeat {
	order := s.router.order(job)
	if len(order) == 0 {
		return nil
	}
	claimed := s.router.owners.claim(job.ID, order[0].Zone)
	if claimed == order[0].Zone {
		return order
	}
	return s.activeOf(claimed)
}

// try makes one try; goOn says whether the next candidate may be tried in this round.
func (s *submission) try(ctx context.Context, hb wire.Heartbeat) (v verdict, goOn bool) {
	req, late := s.next()
	if late != nil {
		return verdict{done: true, err: late}, false
	}
	var reply wire.JobReply
	res, kinded := s.send(ctx, hb, req, &reply)
	if res == skipped {
		return verdict{}, true
	}
	s.tries++
	s.follow = false
	switch res {
	case answered:
		return s.answered(hb, reply)
	case refused:
		return s.refused(hb, kinded)
	case notSent:
		s.release(hb)
		return verdict{}, true
	case ended:
		return verdict{done: true, err: errkind.New(errkind.OutcomeUnknown, "the caller left before the answer")}, false
	default:
		s.lost(hb)
		return verdict{}, false
	}
}

// next returns the request with what is left of its times.
func (s *submission) next() (wire.Submit, error) {
	req := s.req
	req.Wait = max(time.Until(s.waitEnd), 0)
	if req.Job.Timeout == 0 {
		return req, nil
	}
	left := req.Job.Timeout - time.Since(s.began)
	if left > 0 {
		req.Job.Timeout = left
		return req, nil
	}
	if !s.mayHaveRun && s.admitted == nil {
		return req, errkind.New(errkind.DeadlineExceeded, "no scheduler took the job before its deadline")
	}
	s.ask = true
	return req, nil
}

func (s *submission) send(ctx context.Context, hb wire.Heartbeat, req wire.Submit, reply *wire.JobReply) (result, *errkind.Error) {
	limit := min(max(req.Wait, admitCall)+callSlack, max(time.Until(s.giveUp), firstPause))
	if s.ask {
		return s.router.call(ctx, hb, wire.KindWait, wire.Wait{Job: req.Job.ID, Wait: req.Wait}, reply, limit)
	}
	s.router.owners.claim(req.Job.ID, hb.Zone)
	s.router.loads.add(hb, req.Job.Shape)
	if hb.Zone != s.router.opts.Zone {
		count(countSpilled)
	}
	return s.router.call(ctx, hb, wire.KindSubmit, req, reply, limit)
}

func (s *submission) answered(hb wire.Heartbeat, reply wire.JobReply) (verdict, bool) {
	zone := hb.Zone
	if reply.Zone != "" {
		zone = reply.Zone
	}
	s.router.owners.settle(s.req.Job.ID, zone)
	if reply.Elsewhere && s.req.Job.Logged && !time.Now().Before(s.waitEnd) {
		// The caller does not wait for more than the admission.
		return verdict{done: true, reply: stated(reply)}, false
	}
	if reply.Elsewhere {
		s.zone, s.admitted, s.stuckSince = zone, &reply, time.Time{}
		s.ask = !s.req.Job.Idempotent
		s.follow = true
		return verdict{}, false
	}
	return verdict{done: true, reply: s.honest(reply)}, false
}

// honest takes back "did not run" from an outcome that only this holder vouches for,
// when an earlier try may have run under another.
func (s *submission) honest(reply wire.JobReply) wire.JobReply {
	out := reply.Outcome
	if out == nil || !s.mayHaveRun || s.req.Job.Logged || out.Ran != errkind.RanNo {
		return reply
	}
	changed := *out
	changed.Ran = errkind.RanUnknown
	reply.Outcome = &changed
	return reply
}

func (s *submission) refused(hb wire.Heartbeat, err *errkind.Error) (verdict, bool) {
	if s.ask && err.Kind == errkind.NotFound {
		// Nothing of the job stands in the log yet. Submitting it again is safe: its ID
		// lets the log keep the first of the two.
		s.ask = false
		return verdict{}, false
	}
	if !notRun(err.Kind) {
		return verdict{done: true, err: s.passOn(err)}, false
	}
	if err.Kind == errkind.NeverRunnable {
		s.neverRunnable[hb.Zone] = true
	}
	if s.refusal == nil || s.refusal.Kind == errkind.NeverRunnable || s.refusal.Kind == errkind.NoScheduler {
		s.refusal = err
	}
	s.release(hb)
	return verdict{}, true
}

// release gives up the claim on a zone that did not take the job.
func (s *submission) release(hb wire.Heartbeat) {
	if !s.mayHaveRun {
		s.router.owners.release(s.req.Job.ID, hb.Zone)
	}
}

// lost notes that a try may have taken effect. From now on the job belongs to the zone
// that was tried.
func (s *submission) lost(hb wire.Heartbeat) {
	event.Info(s.router.opts.Logger, event.AnswerLost, "peer", hb.Host, "job", s.req.Job.ID)
	count(countAnswersLost)
	if !s.mayHaveRun {
		s.giveUp = later(s.waitEnd, time.Now()).Add(s.router.opts.ResolveTimeout)
	}
	s.mayHaveRun = true
	if s.zone == "" {
		s.zone = hb.Zone
	}
	s.router.owners.settle(s.req.Job.ID, s.zone)
	s.ask = !s.req.Job.Idempotent
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// endOfRound returns a refusal that more tries would not change.
func (s *submission) endOfRound() verdict {
	if s.mayHaveRun || s.admitted != nil || s.refusal == nil {
		return verdict{}
	}
	switch s.refusal.Kind {
	case errkind.QueueFull, errkind.LogUnavailable:
		s.router.admission.refused(s.req.Job, s.refusal, time.Now())
		return verdict{done: true, err: s.passOn(s.refusal)}
	case errkind.NeverRunnable:
		if s.known || s.everyZoneSaidNever() {
			return verdict{done: true, err: s.passOn(s.refusal)}
		}
	}
	return verdict{}
}

func (s *submission) everyZoneSaidNever() bool {
	for _, zone := range s.router.zones() {
		if !s.neverRunnable[zone] {
			return false
		}
	}
	return true
}

// passOn returns a scheduler's error as this call's answer.
func (s *submission) passOn(err *errkind.Error) error {
	if err.Kind == errkind.RequestMismatch && !s.mayHaveRun {
		return err
	}
	if (s.mayHaveRun || s.known) && errkind.AnswerFor(err.Kind).Ran == errkind.RanNo {
		return errkind.New(errkind.OutcomeUnknown, "an earlier try may have run, and this one: %s", err.Message)
	}
	return err
}

// unresolved is the answer when the time for tries is over.
func (s *submission) unresolved(ctx context.Context) (wire.JobReply, error) {
	if s.admitted != nil && s.req.Job.Logged && ctx.Err() == nil {
		return stated(*s.admitted), nil
	}
	return wire.JobReply{}, s.finalError()
}

func (s *submission) finalError() error {
	switch {
	case s.mayHaveRun || s.known || s.admitted != nil:
		count(countOutcomeUnknown)
		return errkind.New(errkind.OutcomeUnknown, "the scheduler's answer was lost and could not be had again")
	case s.refusal != nil && s.refusal.Kind != errkind.NeverRunnable:
		return s.refusal
	default:
		return errNoScheduler()
	}
}

// stated fills in the state of a job of which only the admission is known.
func stated(reply wire.JobReply) wire.JobReply {
	if reply.State == "" {
		reply.State = core.Queued
	}
	return reply
}

func errNoScheduler() error {
	return &errkind.Error{Kind: errkind.NoScheduler, Message: "no active scheduler can be reached", RetryAfterSeconds: noSchedulerRetryAfterSeconds}
}

func newPauses() *backoff.ExponentialBackOff {
	return &backoff.ExponentialBackOff{InitialInterval: firstPause, MaxInterval: lastPause, Multiplier: 2, RandomizationFactor: 0.5}
}

// pause waits before the next round: for a change among the schedulers or for a while.
// It returns false when there is no time for another round.
func (r *Router) pause(ctx context.Context, zone core.ZoneID, changed <-chan struct{}, pauses *backoff.ExponentialBackOff, giveUp time.Time) bool {
	left := time.Until(giveUp)
	if left <= 0 || ctx.Err() != nil {
		return false
	}
	timer := time.NewTimer(min(pauses.NextBackOff(), left))
	defer timer.Stop()
	r.probes.probe(ctx, zone)
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
		return false
	}
	return true
}
