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
	// outcomesQueued bounds the outcomes that wait for the log.
	outcomesQueued = 16384
	// outcomeWriters bounds the outcomes that are being written; they share appends.
	outcomeWriters    = 256
	outcomeRetryFirst = 100 * time.Millisecond
	outcomeRetryHigh  = 2 * time.Second
)

// settled is an outcome on its way into the log.
type settled struct {
	job     core.JobID
	outcome core.Outcome
	term    core.Term
	// forget frees the job's ID.
	forget bool
}

// settle queues a job's outcome for the log. It runs on the loop and does not wait.
func (s *Scheduler) settle(act *activation, r *record, outcome core.Outcome, forget bool) {
	r.unwritten = true
	s.unwritten.Add(1)
	select {
	case s.outcomes <- settled{job: r.job.ID, outcome: outcome, term: act.holder.Term, forget: forget}:
	default:
		s.unwritten.Add(-1)
		s.metrics.outcomesDropped.Add(1)
		event.Info(s.logger, event.OutcomeDropped, "job", r.job.ID)
	}
}

// writeOutcomes writes outcomes until the log has them, through outages.
func (s *Scheduler) writeOutcomes(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(outcomeWriters)
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

func (s *Scheduler) writeOutcome(ctx context.Context, o settled) {
	defer s.unwritten.Add(-1)
	wait := &backoff.ExponentialBackOff{
		InitialInterval: outcomeRetryFirst, MaxInterval: outcomeRetryHigh, Multiplier: 2, RandomizationFactor: 0.5,
	}
	for ctx.Err() == nil {
		_, err := s.journal.Write(ctx, o.term, journal.Record{Ended: &journal.Ended{Job: o.job, Outcome: o.outcome, Forget: o.forget}})
		if err == nil {
			break
		}
		pause(ctx, wait.NextBackOff())
	}
	s.post(ctx, func() {
		r, ok := s.jobs[o.job]
		if !ok {
			return
		}
		r.unwritten = false
		if o.forget {
			delete(s.jobs, o.job)
		}
	})
}

// placementTimeout is how long the cells of a job are held for the log to take its
// placement.
const placementTimeout = 2 * time.Second

// recordPlacement writes the intent to start a job before anything is sent. Only the
// placement that the log shows to count may be acted on.
func (s *Scheduler) recordPlacement(act *activation, a core.RecordPlacement) {
	done := func(ok bool) { s.feed(act, core.PlacementRecorded{Job: a.Job, Attempt: a.Attempt, OK: ok}) }
	v, err := s.writePlacement(act, a)
	switch {
	case errors.Is(err, platform.ErrNotApplied):
		done(false)
	case err != nil:
		// The activation has ended; its core decides nothing more.
	case v.Counts:
		done(true)
	default:
		event.Info(s.logger, event.PlacementVoid, "job", a.Job, "holder", v.Holder.Holder, "term", v.Holder.Term)
		s.metrics.placementsVoid.Add(1)
		// What the log holds differs from what this core knows: the role is taken up anew
		// under a higher term, from the log.
		s.election.Observe(max(v.Holder.Term, act.holder.Term+1), true)
	}
}

// writePlacement tries until the log has the placement, or has surely refused it for
// placementTimeout. A placement of unknown fate is never given up.
func (s *Scheduler) writePlacement(act *activation, a core.RecordPlacement) (journal.Verdict, error) {
	placed := &journal.Placed{Job: a.Job, Attempt: a.Attempt, Placements: a.Placements}
	began := time.Now()
	for {
		v, err := s.journal.Write(act.ctx, act.holder.Term, journal.Record{Placed: placed})
		refused := errors.Is(err, platform.ErrNotApplied)
		if !refused || time.Since(began) > placementTimeout || act.ctx.Err() != nil {
			return v, trace.Wrap(err)
		}
		pause(act.ctx, outcomeRetryFirst)
	}
}
