package scheduler

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/gravitational/trace"

	"agatewinch/internal/core"
	"agatewinch/internal/errkind"
	"agatewinch/internal/journal"
	"agatewinch/internal/platform"
	"agatewinch/internal/wire"
)

const (
	admitTimeout = 5 * time.Second
	// logRetrySeconds is the least advice to callers whose request needs the log while
	// it is away; as much again is drawn on top, so that they do not come back at once.
	logRetrySeconds = 2.0
)

// handleSubmit joins a job that is known, or takes it in: at once when its caller waits
// and it may be repeated, otherwise once its admission is the first in the log.
func (s *Scheduler) handleSubmit(ctx context.Context, req wire.Submit) (wire.JobReply, error) {
	if !req.Job.Logged {
		r, err := ask(ctx, s, func() (*record, error) { return s.join(req) })
		if err != nil {
			return wire.JobReply{}, err
		}
		reply, err := s.await(ctx, r, req.Wait)
		if err != nil || reply.Outcome != nil || reply.Elsewhere {
			return reply, err
		}
		return s.keep(ctx, r, req)
	}
	r, err := ask(ctx, s, func() (*record, error) { return s.expect(req) })
	if err == nil && r == nil {
		r, err = s.admit(ctx, req)
	}
	if err != nil {
		return wire.JobReply{}, err
	}
	return s.await(ctx, r, req.Wait)
}

// join finds a known job or submits a new one that needs no log.
func (s *Scheduler) join(req wire.Submit) (*record, error) {
	if r, ok := s.known(req.Job.ID); ok {
		return r, checkDigest(req.Job, r.digest, req.Digest)
	}
	if err := s.refuseNew(); err != nil {
		return nil, err
	}
	return s.submit(req.Job, req.Digest)
}

func (s *Scheduler) refuseNew() error {
	if s.isStopping() {
		return errkind.New(errkind.Draining, "this scheduler is stopping")
	}
	if s.act == nil {
		return errNotActive()
	}
	return nil
}

// expect finds a known job or announces an admission to the log; it returns nil for the
// latter.
func (s *Scheduler) expect(req wire.Submit) (*record, error) {
	if r, ok := s.known(req.Job.ID); ok {
		return r, checkDigest(req.Job, r.digest, req.Digest)
	}
	if err := s.refuseNew(); err != nil {
		return nil, err
	}
	if !s.election.LogUp() {
		return nil, errLogAway()
	}
	s.expected[req.Job.ID]++
	return nil, nil
}

func errLogAway() error {
	return trace.Wrap(&errkind.Error{
		Kind: errkind.LogUnavailable, Message: "the platform's log cannot be written, and the job needs it",
		RetryAfterSeconds: logRetrySeconds * (1 + rand.Float64()),
	})
}

// keep writes a job to the log whose caller stops waiting before its end: from now on the
// job is accepted, and has to outlive this process.
func (s *Scheduler) keep(ctx context.Context, r *record, req wire.Submit) (wire.JobReply, error) {
	_, term := s.election.Active()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), admitTimeout)
	defer cancel()
	job := req.Job
	job.Logged = true
	v, err := s.journal.Write(ctx, term, journal.Record{Admitted: &journal.Admitted{Job: job, Digest: req.Digest}})
	if err != nil {
		return wire.JobReply{}, errkind.New(errkind.OutcomeUnknown, "the wait is over, and the log did not take the job: it goes on while this scheduler lives")
	}
	if v.Entry.Zone != s.opts.Zone {
		return wire.JobReply{Job: job.ID, State: core.Queued, Zone: v.Entry.Zone, Elsewhere: true}, nil
	}
	return ask(ctx, s, func() (wire.JobReply, error) {
		if !r.job.Logged {
			r.job.Logged = true
			if r.outcome != nil && s.act != nil {
				s.settle(s.act, r, *r.outcome, false)
			}
		}
		return r.reply(), r.refusal
	})
}

// admission is the result of writing a job's admission.
type admission struct {
	record *record
	err    error
}

// admit writes the admission and acts on what the log then shows. It runs to its end also
// when the caller leaves.
func (s *Scheduler) admit(ctx context.Context, req wire.Submit) (*record, error) {
	done := make(chan admission, 1)
	go func() {
		_, term := s.election.Active()
		writeCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), admitTimeout)
		defer cancel()
		v, err := s.journal.Write(writeCtx, term, journal.Record{Admitted: &journal.Admitted{Job: req.Job, Digest: req.Digest}})
		r, err := ask(context.WithoutCancel(ctx), s, func() (*record, error) { return s.admitted(req, v, err) })
		done <- admission{r, err}
	}()
	select {
	case a := <-done:
		return a.record, a.err
	case <-ctx.Done():
		return nil, trace.Wrap(ctx.Err())
	}
}

// admitted takes the fate of an admission. The first one in the log owns the job, and
// later ones join it, wherever it is served.
func (s *Scheduler) admitted(req wire.Submit, v journal.Verdict, err error) (*record, error) {
	id := req.Job.ID
	if s.expected[id]--; s.expected[id] <= 0 {
		delete(s.expected, id)
	}
	switch {
	case errors.Is(err, platform.ErrNotApplied):
		return nil, errLogAway()
	case err != nil:
		return nil, errkind.New(errkind.OutcomeUnknown, "the log did not confirm the admission; the same request ID finds it if it is there")
	}
	if err := checkDigest(req.Job, v.Entry.Digest, req.Digest); err != nil {
		return nil, err
	}
	if r, ok := s.jobs[id]; ok {
		return r, r.refusal
	}
	if v.Counts && s.act != nil {
		return s.submit(req.Job, req.Digest)
	}
	return s.fromEntry(v.Entry), nil
}
