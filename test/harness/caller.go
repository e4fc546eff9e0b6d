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
	getWait     = 5 * time.Second
	retryLow    = 50 * time.Millisecond
	retryHigh   = 400 * time.Millisecond
)

// Balancer picks a gate for each call among those that say they are ready.
type Balancer struct {
	cluster *Cluster
	client  *http.Client

	mu    sync.Mutex
	rng   *rand.Rand
	ready []*EntryHost
}

// NewBalancer returns a balancer that looks at the gates' readiness until ctx ends.
func NewBalancer(ctx context.Context, c *Cluster, seed uint64) *Balancer {
	b := &Balancer{
		cluster: c, rng: rand.New(rand.NewPCG(seed, 1)), ready: c.Hosts(),
		client: &http.Client{Timeout: callTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: directConns}},
	}
	c.EachHost(func(h *EntryHost) { go b.watch(ctx, h) })
	return b
}

// watch asks one gate for its readiness again and again.
func (b *Balancer) watch(ctx context.Context, h *EntryHost) {
	const probeEvery, probeTimeout = 100 * time.Millisecond, time.Second
	for ctx.Err() == nil {
		probe, cancel := context.WithTimeout(ctx, probeTimeout)
		ok := b.cluster.ready(probe, h)
		cancel()
		b.mark(h, ok)
		sleep(ctx, probeEvery)
	}
}

func (b *Balancer) mark(h *EntryHost, ok bool) {
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

// pick returns a ready gate, or any gate when none is ready.
func (b *Balancer) pick() *EntryHost {
	b.mu.Lock()
	defer b.mu.Unlock()
	hosts := b.ready
	if len(hosts) == 0 {
		hosts = b.cluster.Hosts()
	}
	return hosts[b.rng.IntN(len(hosts))]
}

func (b *Balancer) pause(ctx context.Context) {
	b.mu.Lock()
	d := retryLow + time.Duration(b.rng.Int64N(int64(retryHigh-retryLow)))
	b.mu.Unlock()
	sleep(ctx, d)
}

// Drive submits r and asks on, at any gate and always under the same request ID, until
// the caller knows the end or ctx ends. An accepted job is only asked after, never
// submitted again.
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
		if r.settled(c) {
			return
		}
		if c.Accepted() && !accepted {
			accepted = true
			if r.CancelAfter > 0 {
				cancelAt = time.Now().Add(r.CancelAfter)
			}
		}
		if !c.Accepted() || c.Returned.Sub(c.Sent) < retryLow {
			b.pause(ctx)
		}
	}
}

func (r *Request) getWait(cancelAt time.Time) time.Duration {
	if cancelAt.IsZero() {
		return getWait
	}
	return max(0, min(getWait, time.Until(cancelAt)))
}

// settled reports whether nothing more can be learnt: the job's end, or a refusal that
// no retry can change while no earlier call is open.
func (r *Request) settled(c Call) bool {
	if c.Lost {
		return false
	}
	if c.JobLevel() {
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
