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
	// reservedShare of an organisation's rate is kept for its small callers.
	reservedShare = 0.25
	// smallShare of an organisation's rate is what a caller may use and be small.
	smallShare = 1.0 / 32
	// maxCallers bounds the callers of an organisation that are told apart.
	maxCallers = 4096
	// forgetInterval bounds how often a full list of callers is searched.
	forgetInterval = time.Second
)

// rates bounds each organisation's requests a second.
type rates struct {
	defaults Limits

	mu   sync.Mutex
	gen  core.Generation
	orgs map[string]*orgRate
}

// orgRate is one organisation's rate in two token buckets: one that all its callers
// use, and one that is left to small callers, so that a flood from a few large ones
// does not shut out the others.
type orgRate struct {
	limit    rate.Limit
	burst    int
	common   *rate.Limiter
	reserved *rate.Limiter
	// callers tells small callers by a bucket of their own.
	callers  map[string]*rate.Limiter
	searched time.Time
}

func newOrgRate(limit rate.Limit, burst int) *orgRate {
	reserved := max(int(float64(burst)*reservedShare), 1)
	return &orgRate{
		limit: limit, burst: burst,
		common:   rate.NewLimiter(limit*(1-reservedShare), max(burst-reserved, 1)),
		reserved: rate.NewLimiter(limit*reservedShare, reserved),
		callers:  map[string]*rate.Limiter{},
	}
}

// take uses one token of the organisation or refuses with the time until there is one.
func (r *rates) take(cur config.Accepted, org config.Organisation, caller string, now time.Time) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	wait := r.org(cur, org).take(caller, now)
	if wait == 0 {
		return nil
	}
	return retryError(errkind.RateLimited, "organisation "+org.Name+" is over its rate of requests", max(wait, overloadRetry))
}

// org returns the buckets of an organisation, made anew when its limits have changed.
func (r *rates) org(cur config.Accepted, org config.Organisation) *orgRate {
	if cur.Generation != r.gen {
		r.forget(cur)
	}
	limit, burst := r.limits(org)
	o, ok := r.orgs[org.Name]
	if !ok || o.limit != limit || o.burst != burst {
		o = newOrgRate(limit, burst)
		r.orgs[org.Name] = o
	}
	return o
}

// forget drops organisations that are no longer configured.
func (r *rates) forget(cur config.Accepted) {
	kept := map[string]*orgRate{}
	for _, org := range cur.Set.Organisations {
		if o, ok := r.orgs[org.Name]; ok {
			kept[org.Name] = o
		}
	}
	r.gen, r.orgs = cur.Generation, kept
}

func (r *rates) limits(org config.Organisation) (rate.Limit, int) {
	limit, burst := r.defaults.RequestRate, r.defaults.RequestBurst
	if org.RequestRate > 0 {
		limit, burst = org.RequestRate, org.RequestRate
	}
	if org.RequestBurst > 0 {
		burst = org.RequestBurst
	}
	return rate.Limit(limit), burst
}

// take returns zero when the request may go on, and else the time until a token.
func (o *orgRate) take(caller string, now time.Time) time.Duration {
	small := o.isSmall(caller, now)
	if o.common.AllowN(now, 1) || small && o.reserved.AllowN(now, 1) {
		return 0
	}
	reservation := o.common.ReserveN(now, 1)
	defer reservation.CancelAt(now)
	return max(reservation.DelayFrom(now), 1)
}

// isSmall counts a request of a caller and tells whether the caller has kept to a
// small share of the rate.
func (o *orgRate) isSmall(caller string, now time.Time) bool {
	bucket, ok := o.callers[caller]
	if !ok {
		if len(o.callers) >= maxCallers && now.Sub(o.searched) >= forgetInterval {
			o.searched = now
			o.forgetIdle(now)
		}
		if len(o.callers) >= maxCallers {
			return false
		}
		bucket = rate.NewLimiter(o.limit*smallShare, max(int(float64(o.burst)*smallShare), 1))
		o.callers[caller] = bucket
	}
	return bucket.AllowN(now, 1)
}

// forgetIdle drops callers whose buckets are full again: a new bucket is the same.
func (o *orgRate) forgetIdle(now time.Time) {
	for caller, bucket := range o.callers {
		if bucket.TokensAt(now) >= float64(bucket.Burst()) {
			delete(o.callers, caller)
		}
	}
}
