// Package routing forwards a gate's requests to the zones' active schedulers. A zone's active
// scheduler is the one that holds the zone's leader role.
//
// A job goes to the gate's own zone first, unless only other zones can start it at once. It stays
// with the own zone even then if it needs no accelerators or its organisation has a guarantee
// there; Router.rank and Router.order have the exact order, by guarantee, load and job shape. A
// request is retried at another scheduler only if it certainly did not run, if it is idempotent, or
// if the schedulers can deduplicate it by its ID.
package routing

import (
	"context"
	"time"

	"github.com/go-logr/logr"

	"agatewinch/internal/core"
	"agatewinch/internal/wire"
)

// Defaults of Options.
const (
	DefaultRetryShare     = 0.1
	DefaultRetryReserve   = 100
	DefaultZoneCacheSize  = 100_000
	DefaultResolveTimeout = 8 * time.Second
	DefaultMaxPerOrg      = 4096
)

const (
	// callSlack is how much longer than its requested wait a call may take.
	callSlack = 3 * time.Second
	// admitCallTimeout is how long, before callSlack is added, a scheduler may take to admit
	// a job if its caller waits for less.
	admitCallTimeout = 5 * time.Second
	// minSubmitTime is the minimum time, before callSlack is added, for which a submission
	// tries schedulers, even if its caller waits for less.
	minSubmitTime = 6 * time.Second
	// Initial and maximum delay between rounds. A round is one pass over the schedulers
	// that may admit or have the job.
	initialRoundDelay = 20 * time.Millisecond
	maxRoundDelay     = 500 * time.Millisecond
	// minExchangeInterval is the minimum time between calls of Directory.ExchangeHeartbeats
	// for one zone.
	minExchangeInterval = 200 * time.Millisecond
	// exchangeTimeout bounds one call of Directory.ExchangeHeartbeats.
	exchangeTimeout = time.Second
	// noSchedulerRetryAfterSeconds is the retry delay when no scheduler, or none that may
	// have the job, can be reached.
	noSchedulerRetryAfterSeconds = 1
)

// Client sends requests to one peer. peer.Client implements it.
type Client interface {
	Call(ctx context.Context, kind wire.Kind, body, out any) error
}

// Directory lists the schedulers and gives access to them.
type Directory interface {
	// Schedulers returns the latest heartbeat of each scheduler whose heartbeats have not
	// timed out.
	Schedulers() []wire.Heartbeat
	// SchedulerClient returns a client of the scheduler on a host, or nil.
	SchedulerClient(host string) Client
	// ExchangeHeartbeats sends heartbeats to a zone's schedulers now and waits for the
	// answers. An empty zone means all zones.
	ExchangeHeartbeats(ctx context.Context, zone core.ZoneID)
	// Changed returns a channel that is closed when the set of schedulers, or the role,
	// term or address of one of them, next changes.
	Changed() <-chan struct{}
}

// Options configures a Router. Zero values select the defaults.
type Options struct {
	// Zone is the gate's own availability zone.
	Zone      core.ZoneID
	Directory Directory
	// Zones returns all zones of the configuration in force. A job is reported as not
	// found only when every zone has replied that it does not have the job.
	Zones func() []core.ZoneID
	// Guaranteed reports whether an organisation has a guarantee in a zone.
	Guaranteed func(org core.OrgID, zone core.ZoneID) bool
	// RetryShare is the number of retries that each first try adds to the retry budget,
	// and RetryReserve is the budget's capacity.
	RetryShare   float64
	RetryReserve int
	// ZoneCacheSize bounds the number of jobs whose zone is cached.
	ZoneCacheSize int
	// ResolveTimeout is how long, beyond the caller's wait, the router tries to learn
	// the outcome after an answer was lost, or to look up a job while a zone cannot be
	// queried.
	ResolveTimeout time.Duration
	// MaxPerOrg bounds an organisation's submissions in progress.
	MaxPerOrg int
	Logger    logr.Logger
}

func (o *Options) setDefaults() {
	if o.Zones == nil {
		o.Zones = func() []core.ZoneID { return nil }
	}
	if o.Guaranteed == nil {
		o.Guaranteed = func(core.OrgID, core.ZoneID) bool { return false }
	}
	if o.RetryShare == 0 {
		o.RetryShare = DefaultRetryShare
	}
	if o.RetryReserve == 0 {
		o.RetryReserve = DefaultRetryReserve
	}
	if o.ZoneCacheSize == 0 {
		o.ZoneCacheSize = DefaultZoneCacheSize
	}
	if o.ResolveTimeout == 0 {
		o.ResolveTimeout = DefaultResolveTimeout
	}
	if o.MaxPerOrg == 0 {
		o.MaxPerOrg = DefaultMaxPerOrg
	}
}

// Router forwards the requests of one gate to the schedulers.
type Router struct {
	opts              Options
	zoneCache         *zoneCache
	breakers          *breakers
	retries           *retryBudget
	admission         *admission
	loads             *loadEstimates
	heartbeatThrottle *heartbeatThrottle
}

// New returns a Router.
func New(opts Options) *Router {
	opts.setDefaults()
	return &Router{
		opts:              opts,
		zoneCache:         newZoneCache(opts.ZoneCacheSize),
		breakers:          newBreakers(opts.Logger),
		retries:           newRetryBudget(opts.RetryShare, opts.RetryReserve),
		admission:         newAdmission(opts.MaxPerOrg),
		loads:             newLoadEstimates(),
		heartbeatThrottle: newHeartbeatThrottle(opts.Directory),
	}
}

// actives returns each zone's active scheduler: of those that report that they are
// active, the one with the highest term.
func (r *Router) actives() map[core.ZoneID]wire.Heartbeat {
	out := map[core.ZoneID]wire.Heartbeat{}
	for _, hb := range r.opts.Directory.Schedulers() {
		if !hb.Active {
			continue
		}
		if known, ok := out[hb.Zone]; !ok || hb.Term > known.Term {
			out[hb.Zone] = hb
		}
	}
	return out
}
