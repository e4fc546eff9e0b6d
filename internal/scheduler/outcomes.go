package scheduler

import (
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"

	"agatewinch/internal/core"
	"agatewinch/internal/event"
	"agatewinch/internal/journal"
	"agatewinch/internal/platform"
)

const (
	// outcomeQueueSize limits the outcomes that wait for the log.
	outcomeQueueSize = 16384
	// maxOutcomeWriters limits the outcomes that are written concurrently. The journal
	// batches them into shared appends.
	maxOutcomeWriters   = 256
	outcomeRetryInitial = 100 * time.Millisecond
	outcomeRetryMax     = 2 * time.Second
)

// pendingOutcome is an outcome that waits to be written to the log.
type pendingOutcome struct {
	job     core.JobID
	outcome core.Outcome
	term    core.Term
	// releaseID is true when the job's admission is to be revoked, so that its ID can be used
	// again.
	releaseID bool
}

// queueOutcome queues a job's outcome for the log. It runs on the loop and does not block: an
// outcome that does not fit into the queue is dropped and counted, and its job stays in
// memory.
func (s *Scheduler) queueOutcome(act *activation, j *trackedJob, outcome core.Outcome, releaseID bool) {
	j.outcomeUnwritten = true
	s.outcomesInFlight.Add(1)
	select {
	case s.outcomes <- pendingOutcome{job: j.job.ID, outcome: outcome, term: act.holder.Term, releaseID: releaseID}:
	default:
		s.outcomesInFlight.Add(-1)
		s.metrics.outcomesDropped.Add(1)
		event.Info(s.logger, event.OutcomeDropped, "job", j.job.ID)
	}
}

// writeOutcomes writes queued outcomes to the log and retries through outages.
func (s *Scheduler) writeOutcomes(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxOutcomeWriters)
	for {
		select {
		case o := <-s.outcomes:
			group.Go(func() error {
				s.writeOutcome(ctx, o)
				return nil
			})
		case <-ctx.Done():
			_ = group.Wait()
			return trace.Wrap(ctx.Err())
		}
	}
}

// writeOutcome retries until the log has the outcome or ctx ends.
func (s *Scheduler) writeOutcome(ctx context.Context, o pendingOutcome) {
	defer s.outcomesInFlight.Add(-1)
	wait := &backoff.ExponentialBackOff{
		InitialInterval: outcomeRetryInitial, MaxInterval: outcomeRetryMax, Multiplier: 2, RandomizationFactor: 0.5,
	}
	for ctx.Err() == nil {
		_, err := s.journal.Write(ctx, o.term, journal.Record{Ended: &journal.Ended{Job: o.job, Outcome: o.outcome, Forget: o.releaseID}})
		if err == nil {
			break
		}
		sleep(ctx, wait.NextBackOff())
	}
	s.post(ctx, func() {
		j, ok := s.jobs[o.job]
		if !ok {
			return
		}
		j.outcomeUnwritten = false
		if o.releaseID {
			delete(s.jobs, o.job)
		}
	})
}

// placementTimeout is how long the cells of a job stay held while the log refuses the
// record of its placement.
const placementTimeout = 2 * time.Second

// recordPlacement writes a job's placement to the log before anything is sent to a worker.
// The core acts on the placement only if the log shows that it took effect.
func (s *Scheduler) recordPlacement(act *activation, a core.RecordPlacement) {
	done := func(ok bool) { s.postEvent(act, core.PlacementRecorded{Job: a.Job, Attempt: a.Attempt, OK: ok}) }
	v, err := s.writePlacement(act, a)
	switch {
	case errors.Is(err, platform.ErrNotApplied):
		done(false)
	case err != nil:
		// The activation has ended, and its core takes no further events.
	case v.Effective:
		done(true)
	default:
		event.Info(s.logger, event.PlacementVoid, "job", a.Job, "holder", v.Holder.Holder, "term", v.Holder.Term)
		s.metrics.placementsVoid.Add(1)
		// The core's state differs from the log. Reporting a higher term makes the election
		// give up the leader role. The next leader, in a higher term, restores its core from
		// the log.
		s.election.Observe(max(v.Holder.Term, act.holder.Term+1), true)
	}
}

// writePlacement retries until the log has the placement, or has definitely refused it for
// placementTimeout. A placement that may be in the log is never abandoned while the
// activation lasts.
func (s *Scheduler) writePlacement(act *activation, a core.RecordPlacement) (journal.WriteResult, error) {
	placed := &journal.Placed{Job: a.Job, Attempt: a.Attempt, Placements: a.Placements}
	began := time.Now()
	for {
		v, err := s.journal.Write(act.ctx, act.holder.Term, journal.Record{Placed: placed})
		refused := errors.Is(err, platform.ErrNotApplied)
		if !refused || time.Since(began) > placementTimeout || act.ctx.Err() != nil {
			return v, trace.Wrap(err)
		}
		sleep(act.ctx, outcomeRetryInitial)
	}
}
