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
	// tries is how often a caller hands a job in that it was not told of.
	tries = 5
	// pollEvery is the pause between questions about a job.
	pollEvery = 100 * time.Millisecond
	// visibleTime is how long after its acceptance a job may be unknown at a host.
	visibleTime = 3 * time.Second
	// cancelShare is one in how many jobs that is cancelled.
	cancelShare = 8
)

// caller hands one job in and follows it.
type caller struct {
	soak   *soak
	id     string
	job    *job.Job
	client *standin.Client

	acceptedAt time.Time
	cancelled  bool
	// unclear says that a try was not answered, so that the job may have been accepted.
	unclear bool
	end     job.State
}

// front returns the address of some host.
func (c *caller) front() string { return c.soak.host().front }

// submit draws a job and hands it in once.
func (c *caller) submit(ctx context.Context) standin.Answer {
	if c.job == nil {
		c.job = c.soak.drawJob(c.id)
		c.soak.audit.Submitted(c.job)
	}
	return c.client.Submit(ctx, c.front(), c.job)
}

func (s *soak) drawJob(id string) *job.Job {
	j := &job.Job{ID: id, Payload: fmt.Sprint(50 + s.draw(1500))}
	for i := range 1 + s.draw(2) {
		step := job.Step{
			Count: 1 + s.draw(3), Need: job.Resources{CPU: int64(1+s.draw(3)) * 500, MemMB: 100, Accelerators: 1},
			Estimate: time.Second, Gang: s.draw(2) == 0,
		}
		if i > 0 {
			step.After = []int{i - 1}
		}
		j.Steps = append(j.Steps, step)
	}
	return j
}

// run hands the job in and follows it until ctx ends.
func (c *caller) run(ctx context.Context) {
	for range tries {
		switch c.submit(ctx) {
		case standin.Taken:
			c.acceptedAt = time.Now()
			c.follow(ctx)
			return
		case standin.Unclear:
			c.unclear = true
		}
		pause(ctx, pollEvery)
	}
	if c.unclear {
		c.follow(ctx)
	}
}

func (c *caller) follow(ctx context.Context) {
	if c.soak.draw(cancelShare) == 0 {
		pause(ctx, c.soak.upTo(2*time.Second))
		c.cancelled = c.client.Cancel(ctx, c.front(), c.id) != standin.Unknown
	}
	for ctx.Err() == nil && c.end == "" {
		answer, state := c.client.State(ctx, c.front(), c.id)
		switch {
		case answer == standin.Taken:
			if state != job.Pending && state != job.Running {
				c.end = state
			}
		case answer == standin.Unknown && !c.acceptedAt.IsZero() && !c.cancelled && time.Since(c.acceptedAt) > visibleTime:
			c.soak.t.Errorf("LOST: job %s was accepted at %v and is not known", c.id, c.acceptedAt.Format(time.RFC3339Nano))
			return
		case answer == standin.Unknown && c.acceptedAt.IsZero():
			return // it was never taken
		}
		pause(ctx, pollEvery)
	}
}

// check compares what the caller was told with what ran.
func (c *caller) check() {
	a := c.soak.audit
	switch {
	case c.end == job.Succeeded && !a.AllDone(c.id):
		c.soak.t.Errorf("MIXED: job %s is shown as succeeded, and a task of it has not ended so", c.id)
	case c.end == job.Failed:
		c.soak.t.Errorf("LOST: job %s is shown as failed without cause", c.id)
	case c.end == job.Cancelled && !c.cancelled:
		c.soak.t.Errorf("LOST: job %s is shown as cancelled, and nobody cancelled it", c.id)
	case c.end == "" && !c.acceptedAt.IsZero():
		c.soak.t.Errorf("LOST: job %s was accepted at %v and has not ended", c.id, c.acceptedAt.Format(time.RFC3339Nano))
	case c.acceptedAt.IsZero() && !c.unclear && a.Began(c.id):
		c.soak.t.Errorf("REFUSED: all tries to hand job %s in were refused, and it ran", c.id)
	}
}

// callAll hands jobs in, one after the other for each caller, until submitting ends, and
// follows them until ctx ends. It returns the callers.
func (s *soak) callAll(ctx, submitting context.Context) []*caller {
	var mu sync.Mutex
	var all []*caller
	var wait sync.WaitGroup
	for n := range callers {
		wait.Go(func() {
			client := standin.NewClient(hostHeader, key)
			for i := 0; submitting.Err() == nil; i++ {
				c := &caller{soak: s, id: fmt.Sprintf("%08x%08x", n+1, i+1), client: client}
				mu.Lock()
				all = append(all, c)
				mu.Unlock()
				wait.Go(func() { c.run(ctx) })
				pause(submitting, s.upTo(800*time.Millisecond))
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
