// Package routing finds the scheduler for a gate's request: the own zone's active one
// first, another zone's by load and shape. A request is tried again elsewhere only
// where it did not run for certain, where it is idempotent, or where its ID lets the
// schedulers join it with the first try.
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
	DefaultOwners         = 100_000
	DefaultResolveTimeout = 8 * time.Second
	DefaultMaxPerOrg      = 4096
)

const (
	// callSlack is how much longer than the wait it asks for a call may take.
	callSlack = 3 * time.Second
	// admitCall is how long a scheduler may take to admit a job.
	admitCall = 5 * time.Second
	// admitTimeout is the least time for which schedulers are looked for.
	admitTimeout = 6 * time.Second
	// Pauses between rounds over the schedulers.
	firstPause = 20 * time.Millisecond
	lastPause  = 500 * time.Millisecond
	// probeInterval is the least time between probes of one zone.
	probeInterval = 200 * time.Millisecond
	// probeTimeout bounds a probe.
	probeTimeout = time.Second
	// noSchedulerRetryAfterSeconds is the advice when no scheduler can be reached.
	noSchedulerRetryAfterSeconds = 1
)

// Caller sends one request to a peer; peer.Client is one.
type Caller interface {
	Call(ctx context.Context, kind wire.Kind, body, out any) error
}

// Directory knows the schedulers.
type Directory interface {
	// Schedulers returns the last heartbeats of the schedulers that are heard.
	Schedulers() []wire.Heartbeat
	// Caller returns the way to the scheduler on a host, or nil.
	Caller(host string) Caller
	// Probe asks a zone's schedulers for their state now and waits for the answers.
	Probe(ctx context.Context, zone core.ZoneID)
	// Changed returns a channel that is closed when the schedulers' roles next change.
	Changed() <-chan struct{}
}

// Options are a Router's fixed parameters. Zero values take the defaults.
type Options struct {
	// Zone is the gate's own availability zone.
	Zone      core.ZoneID
	Directory Directory
	// Zones returns all zones of the configuration in force; a job is not found only
	// when each of them says so.
	Zones func() []core.ZoneID
	// Guaranteed reports whether an organisation has a guarantee in a zone.
	Guaranteed func(org core.OrgID, zone core.ZoneID) bool
	// RetryShare is how many retries each first try allows, and RetryReserve how many
	// may be saved up.
	RetryShare   float64
	RetryReserve int
	// Owners bounds the jobs whose zone is remembered.
	Owners int
	// ResolveTimeout is how long a lost answer is asked after beyond the caller's wait.
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
	if o.Owners == 0 {
		o.Owners = DefaultOwners
	}
	if o.ResolveTimeout == 0 {
		o.ResolveTimeout = DefaultResolveTimeout
	}
	if o.MaxPerOrg == 0 {
		o.MaxPerOrg = DefaultMaxPerOrg
	}
}

// Router forwards requests of one gate.
type Router struct {
	opts      Options
	owners    *owners
	breakers  *breakers
	retries   *retryBudget
	admission *admission
	loads     *loads
	probes    *probes
}

// New returns a router.
func New(opts Options) *Router {
	opts.setDefaults()
	return &Router{
		opts:      opts,
		owners:    newOwners(opts.Owners),
		breakers:  newBreakers(opts.Logger),
		retries:   newRetryBudget(opts.RetryShare, opts.RetryReserve),
		admission: newAdmission(opts.MaxPerOrg),
		loads:     newLoads(),
		probes:    newProbes(opts.Directory),
	}
}

// actives returns each zone's active scheduler: among those that say they are active,
// the one with the highest term.
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
