package soak

import (
	"context"
	"fmt"
	"sync"
	"time"

	"agatewinch/internal/core/job"
	"agatewinch/platform/standin"
)

const (
	// submitAttempts is the maximum number of times that a caller submits a job that has not
	// been accepted.
	submitAttempts = 5
	// pollInterval is the delay between submissions and between queries of a job's state.
	pollInterval = 100 * time.Millisecond
	// maxVisibilityDelay is the maximum time for which an accepted job may be unknown to a
	// host.
	maxVisibilityDelay = 3 * time.Second
	// On average one in jobsPerCancellation jobs is cancelled.
	jobsPerCancellation = 8
)

// caller submits one job and polls its state.
type caller struct {
	soak   *soak
	id     string
	job    *job.Job
	client *standin.Client

	acceptedAt time.Time
	cancelled  bool
	// outcomeUnknown is true if a submission had no response, or one that leaves the outcome
	// open, so that the job may have been accepted.
	outcomeUnknown bool
	// end is the job's final state; it is empty until the caller has received it.
	end job.State
}

// randomCallerAddr returns the address at which a random host serves callers.
func (c *caller) randomCallerAddr() string { return c.soak.randomHost().callerAddr }

// submit submits the job once, generating it on the first call.
func (c *caller) submit(ctx context.Context) standin.Answer {
	if c.job == nil {
		c.job = c.soak.randomJob(c.id)
		c.soak.audit.AddJob(c.job)
	}
	return c.client.Submit(ctx, c.randomCallerAddr(), c.job)
}

func (s *soak) randomJob(id string) *job.Job {
	j := &job.Job{ID: id, Payload: fmt.Sprint(50 + s.randomBelow(1500))}
	for i := range 1 + s.randomBelow(2) {
		step := job.Step{
			Count: 1 + s.randomBelow(3), Need: job.Resources{CPU: int64(1+s.randomBelow(3)) * 500, MemMB: 100, Accelerators: 1},
			Estimate: time.Second, Gang: s.randomBelow(2) == 0,
		}
		if i > 0 {
			step.After = []int{i - 1}
		}
		j.Steps = append(j.Steps, step)
	}
	return j
}

// run submits the job and polls its state until the job has ended or ctx is done.
func (c *caller) run(ctx context.Context) {
	for range submitAttempts {
		switch c.submit(ctx) {
		case standin.Accepted:
			c.acceptedAt = time.Now()
			c.pollUntilEnd(ctx)
			return
		case standin.OutcomeUnknown:
			c.outcomeUnknown = true
		}
		pause(ctx, pollInterval)
	}
	if c.outcomeUnknown {
		c.pollUntilEnd(ctx)
	}
}

func (c *caller) pollUntilEnd(ctx context.Context) {
	if c.soak.randomBelow(jobsPerCancellation) == 0 {
		pause(ctx, c.soak.randomDuration(2*time.Second))
		c.cancelled = c.client.Cancel(ctx, c.randomCallerAddr(), c.id) != standin.JobUnknown
	}
	for ctx.Err() == nil && c.end == "" {
		answer, state := c.client.State(ctx, c.randomCallerAddr(), c.id)
		switch {
		case answer == standin.Accepted:
			if state != job.Pending && state != job.Running {
				c.end = state
			}
		case answer == standin.JobUnknown && !c.acceptedAt.IsZero() && !c.cancelled && time.Since(c.acceptedAt) > maxVisibilityDelay:
			c.soak.t.Errorf("LOST: job %s was accepted at %v but is unknown to a host", c.id, c.acceptedAt.Format(time.RFC3339Nano))
			return
		case answer == standin.JobUnknown && c.acceptedAt.IsZero():
			return // no response said that it was accepted, so it may be unknown
		}
		pause(ctx, pollInterval)
	}
}

// check compares the responses to the caller with what ran, and reports violations as test
// errors.
func (c *caller) check() {
	a := c.soak.audit
	switch {
	case c.end == job.Succeeded && !a.AllDone(c.id):
		c.soak.t.Errorf("MIXED: job %s is reported as succeeded, but not all of its tasks have succeeded", c.id)
	case c.end == job.Failed:
		c.soak.t.Errorf("LOST: job %s is reported as failed, but no injected fault makes a job fail", c.id)
	case c.end == job.Cancelled && !c.cancelled:
		c.soak.t.Errorf("LOST: job %s is reported as cancelled, but its caller did not cancel it", c.id)
	case c.end == "" && !c.acceptedAt.IsZero():
		c.soak.t.Errorf("LOST: job %s was accepted at %v but has not ended", c.id, c.acceptedAt.Format(time.RFC3339Nano))
	case c.acceptedAt.IsZero() && !c.outcomeUnknown && a.Started(c.id):
		c.soak.t.Errorf("REFUSED: all submissions of job %s were refused, but it ran", c.id)
	}
}

// runCallers runs callerCount loops that submit jobs at random intervals until submitting is
// done. Each job has its own caller, which polls it until it ends or ctx is done. It returns
// all callers.
func (s *soak) runCallers(ctx, submitting context.Context) []*caller {
	var mu sync.Mutex
	var all []*caller
	var wait sync.WaitGroup
	for n := range callerCount {
		wait.Go(func() {
			client := standin.NewClient(hostHeader, key)
			for i := 0; submitting.Err() == nil; i++ {
				c := &caller{soak: s, id: fmt.Sprintf("%08x%08x", n+1, i+1), client: client}
				mu.Lock()
				all = append(all, c)
				mu.Unlock()
				wait.Go(func() { c.run(ctx) })
				pause(submitting, s.randomDuration(800*time.Millisecond))
			}
		})
	}
	wait.Wait()
	return all
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
