package scheduler

import (
	"context"
	"time"

	"agatewinch/internal/core"
	"agatewinch/internal/errkind"
	"agatewinch/internal/wire"
)

// record is what the scheduler knows of a job beside the core: who waits for it and
// how it ended.
type record struct {
	job     core.Job
	digest  uint64
	state   core.JobState
	workers []core.WorkerID
	outcome *core.Outcome
	endedAt time.Time
	ended   chan struct{}
	refusal error
}

func (r *record) reply() wire.JobReply {
	return wire.JobReply{Job: r.job.ID, State: r.state, Workers: r.workers, Outcome: r.outcome}
}

// admit puts a job into the core, or joins the one that is there.
func (s *Scheduler) admit(ctx context.Context, req wire.Submit) (*record, error) {
	if r, ok := s.jobs[req.Job.ID]; ok {
		if r.digest != req.Digest {
			return nil, errkind.New(errkind.RequestMismatch, "request ID %s was used with another body", req.Job.Request)
		}
		return r, nil
	}
	if !s.active {
		return nil, errkind.New(errkind.NoScheduler, "this scheduler is not active")
	}
	r := &record{job: req.Job, digest: req.Digest, state: core.Queued, ended: make(chan struct{})}
	s.jobs[req.Job.ID] = r
	s.step(ctx, core.JobSubmitted{Job: req.Job})
	return r, r.refusal
}

func (s *Scheduler) refuse(a core.JobRefused) {
	r, ok := s.jobs[a.Job]
	if !ok {
		return
	}
	delete(s.jobs, a.Job)
	r.refusal = &errkind.Error{Kind: a.Kind, Message: a.Message, RetryAfterSeconds: a.RetryAfterSeconds}
	close(r.ended)
}

func (s *Scheduler) started(a core.JobStarted) {
	if r, ok := s.jobs[a.Job]; ok {
		r.state = core.Running
		r.workers = a.Workers
	}
}

func (s *Scheduler) ended(ctx context.Context, a core.JobEnded) {
	r, ok := s.jobs[a.Job]
	if !ok || r.outcome != nil {
		return
	}
	outcome := a.Outcome
	r.state, r.outcome, r.endedAt = outcome.State, &outcome, time.Now()
	close(r.ended)
	if r.job.Logged {
		go s.recordOutcome(ctx, a.Job, outcome)
	}
}

func (s *Scheduler) forgetEnded() {
	for id, r := range s.jobs {
		if r.outcome != nil && time.Since(r.endedAt) > endedKept {
			delete(s.jobs, id)
		}
	}
}
