package gate

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	"agatewinch/internal/config"
	"agatewinch/internal/core"
	"agatewinch/internal/errkind"
)

const (
	// reservedShare is the share of an organisation's rate that is reserved for its
	// small callers.
	reservedShare = 0.25
	// smallCallerShare is the share of an organisation's rate up to which a caller
	// counts as small.
	smallCallerShare = 1.0 / 32
	// maxTrackedCallers bounds the callers of an organisation that are tracked
	// individually; further callers do not count as small.
	maxTrackedCallers = 4096
	// callerEvictionInterval is the minimum time between searches of a full table of
	// callers for idle ones.
	callerEvictionInterval = time.Second
)

// rateLimiter limits the request rate of each organisation.
type rateLimiter struct {
	defaults Limits

	mu   sync.Mutex
	gen  core.Generation
	orgs map[string]*orgLimiter
}

// orgLimiter limits one organisation's request rate with two token buckets: a common one
// for all callers and one reserved for small callers, so that a flood from a few large
// callers does not lock out the others.
type orgLimiter struct {
	limit    rate.Limit
	burst    int
	common   *rate.Limiter
	reserved *rate.Limiter
	// callers has a bucket for each tracked caller; a caller whose bucket has a token
	// counts as small.
	callers      map[string]*rate.Limiter
	lastEviction time.Time
}

func newOrgLimiter(limit rate.Limit, burst int) *orgLimiter {
	reserved := max(int(float64(burst)*reservedShare), 1)
	return &orgLimiter{
		limit: limit, burst: burst,
		common:   rate.NewLimiter(limit*(1-reservedShare), max(burst-reserved, 1)),
		reserved: rate.NewLimiter(limit*reservedShare, reserved),
		callers:  map[string]*rate.Limiter{},
	}
}

// take takes one token of the organisation. If there is none, the retry delay in the error
// is at least the time until the next token of the common bucket.
func (r *rateLimiter) take(cur config.Accepted, org config.Organisation, caller string, now time.Time) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	wait := r.limiterFor(cur, org).take(caller, now)
	if wait == 0 {
		return nil
	}
	return retryError(errkind.RateLimited, "organisation "+org.Name+" exceeds its request rate", max(wait, minRetryAfter))
}

// limiterFor returns an organisation's limiter. It is created on first use and replaced
// when the organisation's limits have changed.
func (r *rateLimiter) limiterFor(cur config.Accepted, org config.Organisation) *orgLimiter {
	if cur.Generation != r.gen {
		r.dropUnconfigured(cur)
	}
	limit, burst := r.limits(org)
	o, ok := r.orgs[org.Name]
	if !ok || o.limit != limit || o.burst != burst {
		o = newOrgLimiter(limit, burst)
		r.orgs[org.Name] = o
	}
	return o
}

// dropUnconfigured removes the limiters of organisations that are no longer configured.
func (r *rateLimiter) dropUnconfigured(cur config.Accepted) {
	kept := map[string]*orgLimiter{}
	for _, org := range cur.Set.Organisations {
		if o, ok := r.orgs[org.Name]; ok {
			kept[org.Name] = o
		}
	}
	r.gen, r.orgs = cur.Generation, kept
}

// limits returns an organisation's rate, in requests per second, and its burst. A configured
// rate without a burst allows a burst of one second.
func (r *rateLimiter) limits(org config.Organisation) (rate.Limit, int) {
	limit, burst := r.defaults.RequestRate, r.defaults.RequestBurst
	if org.RequestRate > 0 {
		limit, burst = org.RequestRate, org.RequestRate
	}
	if org.RequestBurst > 0 {
		burst = org.RequestBurst
	}
	return rate.Limit(limit), burst
}

// take returns zero if the request is allowed, and otherwise the time until the next token
// of the common bucket.
func (o *orgLimiter) take(caller string, now time.Time) time.Duration {
	small := o.isSmall(caller, now)
	if o.common.AllowN(now, 1) || small && o.reserved.AllowN(now, 1) {
		return 0
	}
	reservation := o.common.ReserveN(now, 1)
	defer reservation.CancelAt(now)
	return max(reservation.DelayFrom(now), 1)
}

// isSmall counts a caller's request and reports whether the caller is within
// smallCallerShare of the rate.
func (o *orgLimiter) isSmall(caller string, now time.Time) bool {
	bucket, ok := o.callers[caller]
	if !ok {
		if len(o.callers) >= maxTrackedCallers && now.Sub(o.lastEviction) >= callerEvictionInterval {
			o.lastEviction = now
			o.evictIdleCallers(now)
		}
		if len(o.callers) >= maxTrackedCallers {
			return false
		}
		bucket = rate.NewLimiter(o.limit*smallCallerShare, max(int(float64(o.burst)*smallCallerShare), 1))
		o.callers[caller] = bucket
	}
	return bucket.AllowN(now, 1)
}

// evictIdleCallers removes callers whose buckets are full: a new bucket is equivalent.
func (o *orgLimiter) evictIdleCallers(now time.Time) {
	for caller, bucket := range o.callers {
		if bucket.TokensAt(now) >= float64(bucket.Burst()) {
			delete(o.callers, caller)
		}
	}
}
