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
	// minLogRetrySeconds is the shortest retry delay advised to callers whose request needs
	// the log while it is unavailable. Up to as much again is added at random, so that they
	// do not all retry at the same time.
	minLogRetrySeconds = 2.0
)

// handleSubmit joins a submission to the known job of the same ID, or admits a new job. A job
// that does not need the log (idempotent, with a waiting caller) is admitted at once; any
// other is admitted once its admission is the first for its ID in the log.
func (s *Scheduler) handleSubmit(ctx context.Context, req wire.Submit) (wire.JobReply, error) {
	if !req.Job.Logged {
		j, err := callOnLoop(ctx, s, func() (*trackedJob, error) { return s.joinOrSubmit(req) })
		if err != nil {
			return wire.JobReply{}, err
		}
		reply, err := s.await(ctx, j, req.Wait)
		if err != nil || reply.Outcome != nil || reply.Elsewhere {
			return reply, err
		}
		return s.persist(ctx, j, req)
	}
	j, err := callOnLoop(ctx, s, func() (*trackedJob, error) { return s.joinOrBeginAdmission(req) })
	if err == nil && j == nil {
		j, err = s.admit(ctx, req)
	}
	if err != nil {
		return wire.JobReply{}, err
	}
	return s.await(ctx, j, req.Wait)
}

// joinOrSubmit returns the known job or submits a new one that does not need the log.
func (s *Scheduler) joinOrSubmit(req wire.Submit) (*trackedJob, error) {
	if j, ok := s.findJob(req.Job.ID); ok {
		return j, checkDigest(req.Job, j.digest, req.Digest)
	}
	if err := s.checkAccepting(); err != nil {
		return nil, err
	}
	return s.submitJob(req.Job, req.Digest)
}

// checkAccepting returns an error if this process does not admit new jobs: it is stopping or is
// not the leader.
func (s *Scheduler) checkAccepting() error {
	if s.isStopping() {
		return errkind.New(errkind.Draining, "this scheduler is shutting down and admits no new jobs")
	}
	if s.act == nil {
		return errNotActive()
	}
	return nil
}

// joinOrBeginAdmission returns the known job, or counts a pending admission and returns nil;
// admit then writes the admission to the log.
func (s *Scheduler) joinOrBeginAdmission(req wire.Submit) (*trackedJob, error) {
	if j, ok := s.findJob(req.Job.ID); ok {
		return j, checkDigest(req.Job, j.digest, req.Digest)
	}
	if err := s.checkAccepting(); err != nil {
		return nil, err
	}
	if !s.election.LogUp() {
		return nil, errLogUnavailable()
	}
	s.pendingAdmissions[req.Job.ID]++
	return nil, nil
}

func errLogUnavailable() error {
	return trace.Wrap(&errkind.Error{
		Kind: errkind.LogUnavailable, Message: "the platform's log is unavailable, and the job must be recorded in it before it is accepted",
		RetryAfterSeconds: minLogRetrySeconds * (1 + rand.Float64()),
	})
}

// persist writes the admission of a job to the log when its caller's wait has expired before
// the job ended. Once it is written, the job counts as accepted and has to survive a failure of
// this process.
func (s *Scheduler) persist(ctx context.Context, j *trackedJob, req wire.Submit) (wire.JobReply, error) {
	_, term := s.election.Active()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), admitTimeout)
	defer cancel()
	job := req.Job
	job.Logged = true
	v, err := s.journal.Write(ctx, term, journal.Record{Admitted: &journal.Admitted{Job: job, Digest: req.Digest}})
	if err != nil {
		return wire.JobReply{}, errkind.New(errkind.OutcomeUnknown, "the wait expired and the log did not confirm the job's admission: the job continues but may be lost if this scheduler stops")
	}
	if v.Entry.Zone != s.opts.Zone {
		return wire.JobReply{Job: job.ID, State: core.Queued, Zone: v.Entry.Zone, Elsewhere: true}, nil
	}
	return callOnLoop(ctx, s, func() (wire.JobReply, error) {
		if !j.job.Logged {
			j.job.Logged = true
			if j.outcome != nil && s.act != nil {
				s.queueOutcome(s.act, j, *j.outcome, false)
			}
		}
		return j.reply(), j.refusal
	})
}

// admissionResult is the result of writing a job's admission to the log.
type admissionResult struct {
	job *trackedJob
	err error
}

// admit writes the admission to the log and acts on what the log then shows. The write is
// completed even if the caller disconnects.
func (s *Scheduler) admit(ctx context.Context, req wire.Submit) (*trackedJob, error) {
	done := make(chan admissionResult, 1)
	go func() {
		_, term := s.election.Active()
		writeCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), admitTimeout)
		defer cancel()
		v, err := s.journal.Write(writeCtx, term, journal.Record{Admitted: &journal.Admitted{Job: req.Job, Digest: req.Digest}})
		j, err := callOnLoop(context.WithoutCancel(ctx), s, func() (*trackedJob, error) { return s.finishAdmission(req, v, err) })
		done <- admissionResult{j, err}
	}()
	select {
	case a := <-done:
		return a.job, a.err
	case <-ctx.Done():
		return nil, trace.Wrap(ctx.Err())
	}
}

// finishAdmission applies the result of writing an admission. The first admission in the log
// owns the job, and later ones join it, in whichever zone it is served.
func (s *Scheduler) finishAdmission(req wire.Submit, v journal.WriteResult, err error) (*trackedJob, error) {
	id := req.Job.ID
	if s.pendingAdmissions[id]--; s.pendingAdmissions[id] <= 0 {
		delete(s.pendingAdmissions, id)
	}
	switch {
	case errors.Is(err, platform.ErrNotApplied):
		return nil, errLogUnavailable()
	case err != nil:
		return nil, errkind.New(errkind.OutcomeUnknown, "the log did not confirm the job's admission; a retry with the same request ID finds the job if it was admitted")
	}
	if err := checkDigest(req.Job, v.Entry.Digest, req.Digest); err != nil {
		return nil, err
	}
	if j, ok := s.jobs[id]; ok {
		return j, j.refusal
	}
	if v.Effective && s.act != nil {
		return s.submitJob(req.Job, req.Digest)
	}
	return s.jobFromEntry(v.Entry), nil
}
