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

// submission is the state of one caller's submission across its tries.
type submission struct {
	router  *Router
	req     wire.Submit
	started time.Time
	// waitEnd is when the caller's wait ends, and tryDeadline when the router stops trying.
	waitEnd, tryDeadline time.Time
	tries                int
	// zone is the zone to which the job is pinned: a try that may have taken effect went
	// there, or a scheduler redirected the job there.
	zone core.ZoneID
	// known is true when an earlier submission with the same ID was, or may have been,
	// admitted.
	known bool
	// mayHaveRun is true when the result of a try was lost, so that the try may have taken
	// effect: the refusal of a later try must then not be returned as "not run".
	mayHaveRun bool
	// queryOnly is true while the next try queries the job instead of submitting it.
	queryOnly bool
	// redirected is true when the next try follows a redirect and is not a retry.
	redirected bool
	// admitted is the last reply that says that the job is in the log.
	admitted *wire.JobReply
	// refusal is the refusal to report if no try succeeds: the first one, but one of kind
	// NeverRunnable or NoScheduler is replaced by the next.
	refusal *errkind.Error
	// neverRunnable has the zones that can never run the job.
	neverRunnable map[core.ZoneID]bool
	// pinnedAt is when the first round after the job was pinned to zone began; zero
	// before that round.
	pinnedAt time.Time
}

// Submit submits a job to a zone and returns the job's state, or its outcome if the
// caller waits for it. An error that says "not run" is returned only if no try of this
// call can have taken effect.
func (r *Router) Submit(ctx context.Context, req wire.Submit) (wire.JobReply, error) {
	now := time.Now()
	known, err := r.zoneCache.begin(req.Job.ID, req.Digest)
	if err != nil {
		return wire.JobReply{}, err
	}
	defer r.zoneCache.finish(req.Job.ID)
	if err := r.admission.acquire(req.Job, known != "", now); err != nil {
		return wire.JobReply{}, err
	}
	defer r.admission.release(req.Job)
	s := &submission{
		router: r, req: req, started: now, zone: known, known: known != "", neverRunnable: map[core.ZoneID]bool{},
		waitEnd: now.Add(req.Wait), tryDeadline: now.Add(max(req.Wait, minSubmitTime) + callSlack),
	}
	r.retries.recordFirstTry()
	count(countFirstTries)
	return s.run(ctx)
}

// roundResult is the result of a try or of a round over the schedulers. If done is
// false, another round may follow.
type roundResult struct {
	done  bool
	reply wire.JobReply
	err   error
}

func (s *submission) run(ctx context.Context) (wire.JobReply, error) {
	delays := newRoundBackoff()
	for {
		changed := s.router.opts.Directory.Changed()
		res := s.round(ctx)
		if res.done {
			return res.reply, res.err
		}
		if !s.router.waitForRound(ctx, s.zone, changed, delays, s.tryDeadline) {
			return s.unresolved(ctx)
		}
	}
}

// round tries the candidates in order until one gives a final answer. It ends early
// after a lost answer or a redirect, because the next try must then be chosen anew.
func (s *submission) round(ctx context.Context) roundResult {
	for _, hb := range s.candidates() {
		if s.tries > 0 && !s.takeRetry() {
			return roundResult{done: true, err: s.finalError()}
		}
		res, tryNext := s.try(ctx, hb)
		if res.done || !tryNext {
			return res
		}
	}
	return s.endOfRound()
}

// takeRetry takes a token from the retry budget and reports whether another try may be
// made. A try after a lost answer, or one that follows a redirect, needs no token.
func (s *submission) takeRetry() bool {
	if s.mayHaveRun || s.redirected {
		return true
	}
	if !s.router.retries.take() {
		count(countRetriesRefused)
		return false
	}
	count(countRetries)
	return true
}

// candidates returns the schedulers to try, in order. A job that is pinned to a zone is
// sent to that zone only, but an idempotent one may go to any zone once half of
// ResolveTimeout has passed without a final answer.
func (s *submission) candidates() []wire.Heartbeat {
	job := s.req.Job
	if s.zone == "" {
		return s.unpinnedCandidates(job)
	}
	if s.pinnedAt.IsZero() {
		s.pinnedAt = time.Now()
	}
	if job.Idempotent && time.Since(s.pinnedAt) > s.router.opts.ResolveTimeout/2 {
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

// unpinnedCandidates returns the candidates of a job that is not pinned to a zone: all
// active schedulers, unless another submission of the same job has already claimed a zone.
func (s *submission) unpinnedCandidates(job core.Job) []wire.Heartbeat {
	order := s.router.order(job)
	if len(order) == 0 {
		return nil
	}
	claimed := s.router.zoneCache.claim(job.ID, order[0].Zone)
	if claimed == order[0].Zone {
		return order
	}
	return s.activeOf(claimed)
}

// try makes one try at a scheduler. tryNext reports whether the next candidate may be tried in
// this round.
func (s *submission) try(ctx context.Context, hb wire.Heartbeat) (out roundResult, tryNext bool) {
	req, err := s.nextRequest()
	if err != nil {
		return roundResult{done: true, err: err}, false
	}
	var reply wire.JobReply
	res, peerErr := s.send(ctx, hb, req, &reply)
	if res == skipped {
		return roundResult{}, true
	}
	s.tries++
	s.redirected = false
	switch res {
	case answered:
		return s.handleReply(hb, reply)
	case refused:
		return s.handleRefusal(hb, peerErr)
	case notSent:
		s.release(hb)
		return roundResult{}, true
	case cancelled:
		return roundResult{done: true, err: errkind.New(errkind.OutcomeUnknown, "the caller's request ended before the scheduler answered")}, false
	default:
		s.handleLostAnswer(hb)
		return roundResult{}, false
	}
}

// nextRequest returns the request with the remaining wait and timeout. Once the timeout has
// passed, the tries only query the job if it, or an earlier submission with its ID, is admitted or
// may have run; otherwise
// nextRequest returns a DeadlineExceeded error.
func (s *submission) nextRequest() (wire.Submit, error) {
	req := s.req
	req.Wait = max(time.Until(s.waitEnd), 0)
	if req.Job.Timeout == 0 {
		return req, nil
	}
	left := req.Job.Timeout - time.Since(s.started)
	if left > 0 {
		req.Job.Timeout = left
		return req, nil
	}
	if !s.mayHaveRun && !s.known && s.admitted == nil {
		return req, errkind.New(errkind.DeadlineExceeded, "no scheduler accepted the job before its deadline")
	}
	s.queryOnly = true
	return req, nil
}

func (s *submission) send(ctx context.Context, hb wire.Heartbeat, req wire.Submit, reply *wire.JobReply) (result, *errkind.Error) {
	limit := min(max(req.Wait, admitCallTimeout)+callSlack, max(time.Until(s.tryDeadline), initialRoundDelay))
	if s.queryOnly {
		return s.router.call(ctx, hb, wire.KindWait, wire.Wait{Job: req.Job.ID, Wait: req.Wait}, reply, limit)
	}
	s.router.zoneCache.claim(req.Job.ID, hb.Zone)
	s.router.loads.recordSent(hb, req.Job.Shape)
	if hb.Zone != s.router.opts.Zone {
		count(countSpilled)
	}
	return s.router.call(ctx, hb, wire.KindSubmit, req, reply, limit)
}

func (s *submission) handleReply(hb wire.Heartbeat, reply wire.JobReply) (roundResult, bool) {
	zone := hb.Zone
	if reply.Zone != "" {
		zone = reply.Zone
	}
	s.router.zoneCache.pin(s.req.Job.ID, zone)
	if reply.Elsewhere && s.req.Job.Logged && !time.Now().Before(s.waitEnd) {
		// The caller's wait is over, so only the job's admission is reported.
		return roundResult{done: true, reply: withQueuedState(reply)}, false
	}
	if reply.Elsewhere {
		s.zone, s.admitted, s.pinnedAt = zone, &reply, time.Time{}
		s.queryOnly = !s.req.Job.Idempotent
		s.redirected = true
		return roundResult{}, false
	}
	return roundResult{done: true, reply: s.maskUnprovenNotRun(reply)}, false
}

// maskUnprovenNotRun changes "did not run" to "unknown" in the outcome of a job that is
// not logged when an earlier try may have run: the outcome covers only this scheduler's
// run, and the earlier try may have run under another scheduler.
func (s *submission) maskUnprovenNotRun(reply wire.JobReply) wire.JobReply {
	out := reply.Outcome
	if out == nil || !s.mayHaveRun || s.req.Job.Logged || out.Ran != errkind.RanNo {
		return reply
	}
	changed := *out
	changed.Ran = errkind.RanUnknown
	reply.Outcome = &changed
	return reply
}

func (s *submission) handleRefusal(hb wire.Heartbeat, err *errkind.Error) (roundResult, bool) {
	if s.queryOnly && err.Kind == errkind.NotFound {
		// The job is not in the log yet. Submitting it again is safe: the log keeps only
		// the first entry with its ID.
		s.queryOnly = false
		return roundResult{}, false
	}
	if !mayTryElsewhere(err.Kind) {
		return roundResult{done: true, err: s.errorForCaller(err)}, false
	}
	if err.Kind == errkind.NeverRunnable {
		s.neverRunnable[hb.Zone] = true
	}
	if s.refusal == nil || s.refusal.Kind == errkind.NeverRunnable || s.refusal.Kind == errkind.NoScheduler {
		s.refusal = err
	}
	s.release(hb)
	return roundResult{}, true
}

// release withdraws the claim on a zone that did not admit the job.
func (s *submission) release(hb wire.Heartbeat) {
	if !s.mayHaveRun {
		s.router.zoneCache.release(s.req.Job.ID, hb.Zone)
	}
}

// handleLostAnswer records that a try may have taken effect, and pins the job to the zone
// that was tried unless it is pinned already.
func (s *submission) handleLostAnswer(hb wire.Heartbeat) {
	event.Info(s.router.opts.Logger, event.AnswerLost, "peer", hb.Host, "job", s.req.Job.ID)
	count(countAnswersLost)
	if !s.mayHaveRun {
		s.tryDeadline = later(s.waitEnd, time.Now()).Add(s.router.opts.ResolveTimeout)
	}
	s.mayHaveRun = true
	if s.zone == "" {
		s.zone = hb.Zone
	}
	s.router.zoneCache.pin(s.req.Job.ID, s.zone)
	s.queryOnly = !s.req.Job.Idempotent
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// endOfRound returns the refusal as final if another round would not change it.
func (s *submission) endOfRound() roundResult {
	if s.mayHaveRun || s.admitted != nil || s.refusal == nil {
		return roundResult{}
	}
	switch s.refusal.Kind {
	case errkind.QueueFull, errkind.LogUnavailable:
		s.router.admission.recordRefusal(s.req.Job, s.refusal, time.Now())
		return roundResult{done: true, err: s.errorForCaller(s.refusal)}
	case errkind.NeverRunnable:
		if s.known || s.neverRunnableInAllZones() {
			return roundResult{done: true, err: s.errorForCaller(s.refusal)}
		}
	}
	return roundResult{}
}

func (s *submission) neverRunnableInAllZones() bool {
	for _, zone := range s.router.zones() {
		if !s.neverRunnable[zone] {
			return false
		}
	}
	return true
}

// errorForCaller returns the error to report for a scheduler's error. If an earlier try
// or submission may have run, "not run" becomes "outcome unknown"; a request mismatch is
// returned unchanged unless the answer to a try of this call was lost.
func (s *submission) errorForCaller(err *errkind.Error) error {
	if err.Kind == errkind.RequestMismatch && !s.mayHaveRun {
		return err
	}
	if (s.mayHaveRun || s.known) && errkind.PropertiesOf(err.Kind).Ran == errkind.RanNo {
		return errkind.New(errkind.OutcomeUnknown, "an earlier try may have run; the last try failed: %s", err.Message)
	}
	return err
}

// unresolved returns the result when no time is left for further tries.
func (s *submission) unresolved(ctx context.Context) (wire.JobReply, error) {
	if s.admitted != nil && s.req.Job.Logged && ctx.Err() == nil {
		return withQueuedState(*s.admitted), nil
	}
	return wire.JobReply{}, s.finalError()
}

func (s *submission) finalError() error {
	switch {
	case s.mayHaveRun || s.known || s.admitted != nil:
		count(countOutcomeUnknown)
		return errkind.New(errkind.OutcomeUnknown, "the job may have run, but its outcome could not be retrieved")
	case s.refusal != nil && s.refusal.Kind != errkind.NeverRunnable:
		return s.refusal
	default:
		return errNoScheduler()
	}
}

// withQueuedState sets the state to queued in a reply without a state: only the job's
// admission is known then.
func withQueuedState(reply wire.JobReply) wire.JobReply {
	if reply.State == "" {
		reply.State = core.Queued
	}
	return reply
}

func errNoScheduler() error {
	return &errkind.Error{Kind: errkind.NoScheduler, Message: "no active scheduler can be reached", RetryAfterSeconds: noSchedulerRetryAfterSeconds}
}

func newRoundBackoff() *backoff.ExponentialBackOff {
	return &backoff.ExponentialBackOff{InitialInterval: initialRoundDelay, MaxInterval: maxRoundDelay, Multiplier: 2, RandomizationFactor: 0.5}
}

// waitForRound waits before the next round until the schedulers change or the backoff
// delay has passed. If an exchange of heartbeats is due, it first exchanges heartbeats with
// the zone, or with all zones if zone is empty. It returns false when no time is left for
// another round or ctx has ended.
func (r *Router) waitForRound(ctx context.Context, zone core.ZoneID, changed <-chan struct{}, delays *backoff.ExponentialBackOff, deadline time.Time) bool {
	left := time.Until(deadline)
	if left <= 0 || ctx.Err() != nil {
		return false
	}
	timer := time.NewTimer(min(delays.NextBackOff(), left))
	defer timer.Stop()
	r.heartbeatThrottle.exchange(ctx, zone)
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
		return false
	}
	return true
}
