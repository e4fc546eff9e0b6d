package harness

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"agatewinch/internal/errkind"
)

const (
	callTimeout = 12 * time.Second
	// getWait is the maximum time that a call for the job's state waits for the job to end.
	getWait       = 5 * time.Second
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 400 * time.Millisecond
)

// Balancer chooses a gate for each call among those whose last readiness check passed, as a
// load balancer in front of the gates would.
type Balancer struct {
	cluster *Cluster
	client  *http.Client

	mu    sync.Mutex
	rng   *rand.Rand
	ready []*EntryHost
}

// NewBalancer returns a balancer that checks the readiness of all gates until ctx is done. The
// gates of the current hosts count as ready until their first check.
func NewBalancer(ctx context.Context, c *Cluster, seed uint64) *Balancer {
	b := &Balancer{
		cluster: c, rng: rand.New(rand.NewPCG(seed, 1)), ready: c.Hosts(),
		client: &http.Client{Timeout: callTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConns}},
	}
	c.EachHost(func(h *EntryHost) { go b.pollReadiness(ctx, h) })
	return b
}

// pollReadiness repeatedly checks the readiness of one gate until ctx is done.
func (b *Balancer) pollReadiness(ctx context.Context, h *EntryHost) {
	const readinessInterval, readinessTimeout = 100 * time.Millisecond, time.Second
	for ctx.Err() == nil {
		pollCtx, cancel := context.WithTimeout(ctx, readinessTimeout)
		ok := b.cluster.ready(pollCtx, h)
		cancel()
		b.setReady(h, ok)
		sleep(ctx, readinessInterval)
	}
}

func (b *Balancer) setReady(h *EntryHost, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	kept := []*EntryHost{}
	for _, r := range b.ready {
		if r != h {
			kept = append(kept, r)
		}
	}
	if ok {
		kept = append(kept, h)
	}
	b.ready = kept
}

// pick returns a random ready gate, or a random gate if none is ready.
func (b *Balancer) pick() *EntryHost {
	b.mu.Lock()
	defer b.mu.Unlock()
	hosts := b.ready
	if len(hosts) == 0 {
		hosts = b.cluster.Hosts()
	}
	return hosts[b.rng.IntN(len(hosts))]
}

func (b *Balancer) waitBeforeRetry(ctx context.Context) {
	b.mu.Lock()
	d := minRetryDelay + time.Duration(b.rng.Int64N(int64(maxRetryDelay-minRetryDelay)))
	b.mu.Unlock()
	sleep(ctx, d)
}

// Drive submits r and then polls its state until the final outcome is known or ctx is done.
// Every call picks a gate anew and uses the same request ID. After the job has been accepted,
// it is only polled or cancelled, never submitted again.
func (b *Balancer) Drive(ctx context.Context, r *Request) {
	accepted := false
	var cancelAt time.Time
	for ctx.Err() == nil {
		var c Call
		switch {
		case !cancelAt.IsZero() && time.Now().After(cancelAt):
			c = r.call(ctx, b.client, b.pick(), CallCancel, 0)
			if !c.Lost && c.Status < http.StatusInternalServerError {
				cancelAt = time.Now().Add(getWait)
			}
		case accepted:
			c = r.call(ctx, b.client, b.pick(), CallGet, r.getWait(cancelAt))
		default:
			c = r.call(ctx, b.client, b.pick(), CallSubmit, 0)
		}
		if r.done(c) {
			return
		}
		if c.Accepted() && !accepted {
			accepted = true
			if r.CancelAfter > 0 {
				cancelAt = time.Now().Add(r.CancelAfter)
			}
		}
		if !c.Accepted() || c.Returned.Sub(c.Sent) < minRetryDelay {
			b.waitBeforeRetry(ctx)
		}
	}
}

// getWait returns the time that the next call for the job's state waits, at most until cancelAt.
func (r *Request) getWait(cancelAt time.Time) time.Duration {
	if cancelAt.IsZero() {
		return getWait
	}
	return max(0, min(getWait, time.Until(cancelAt)))
}

// done reports whether the caller stops after c: the job has ended, or the call was refused with
// an error that a retry would return too. Such an error is final only if no earlier call of the
// request is still in progress, which done doesn't check.
func (r *Request) done(c Call) bool {
	if c.Lost {
		return false
	}
	if c.HasJobState() {
		return c.Answer.State.Ended()
	}
	e := c.Answer.Error
	if e == nil {
		return false
	}
	switch e.Kind {
	case errkind.NeverRunnable, errkind.InvalidRequest, errkind.RequestMismatch, errkind.Forbidden:
		return true
	}
	return false
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
