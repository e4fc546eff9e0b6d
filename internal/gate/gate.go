// Package gate serves the HTTP interface for callers and operators on every entry host,
// and forwards jobs to the schedulers.
package gate

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"

	"agatewinch/internal/config"
	"agatewinch/internal/core"
	"agatewinch/internal/event"
	"agatewinch/internal/intake"
	"agatewinch/internal/membership"
	"agatewinch/internal/metrics"
	"agatewinch/internal/platform"
	"agatewinch/internal/routing"
)

// Options configures a Gate.
type Options struct {
	// Host is the name of this host, and Zone its availability zone.
	Host string
	Zone core.ZoneID
	// Peers configures how the gate and the schedulers find each other.
	Peers PeerOptions
	// OperatorKeys are the only valid keys until a configuration is in force.
	OperatorKeys []config.Key
	Limits       Limits
	// ConfigSnapshotInterval is passed to config.Follower as SnapshotInterval.
	ConfigSnapshotInterval time.Duration
	// Metrics may be nil; then no metrics are published.
	Metrics *metrics.Registry
}

// Gate serves callers and operators and forwards jobs to the schedulers.
type Gate struct {
	opts     Options
	logger   logr.Logger
	follower *config.Follower
	members  *membership.Membership
	router   *routing.Router

	metrics      *metrics.Registry
	held         *intake.Budget
	bodies       *intake.Reader
	openRequests openRequests
	rateLimiter  rateLimiter
	leaving      atomic.Bool
	draining     atomic.Bool
}

// New returns a gate; Run starts it.
func New(opts Options, logger logr.Logger, log platform.Log) *Gate {
	g := &Gate{
		opts: opts, logger: logger, follower: config.NewFollower(log), metrics: opts.Metrics,
		openRequests: openRequests{maxCallers: int64(opts.Limits.Requests), maxOperators: int64(opts.Limits.OperatorRequests)},
		rateLimiter:  rateLimiter{defaults: opts.Limits, orgs: map[string]*orgLimiter{}},
	}
	if g.metrics == nil {
		g.metrics = metrics.New(metrics.SourceGate)
	}
	if opts.Limits.HeldBytes == 0 {
		opts.Limits.HeldBytes = DefaultLimits.HeldBytes
	}
	g.held = intake.NewBudget("callers", opts.Limits.HeldBytes, intake.NewReporter(logger).Note)
	g.bodies = &intake.Reader{Budget: g.held, Idle: intake.DefaultBodyIdle, Total: intake.DefaultBodyTime}
	g.follower.SnapshotInterval = opts.ConfigSnapshotInterval
	g.members = g.newMembership()
	g.router = g.newRouter()
	return g
}

// Held returns the budget of the memory of requests, to which those count whose headers are being read.
func (g *Gate) Held() *intake.Budget { return g.held }

// Run follows the configuration and exchanges heartbeats with peers until ctx ends.
func (g *Gate) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return g.follower.Run(ctx) })
	group.Go(func() error { return g.logConfig(ctx) })
	group.Go(func() error { return g.members.Run(ctx) })
	err := group.Wait()
	if ctx.Err() != nil {
		return nil
	}
	return trace.Wrap(err)
}

// logConfig logs each change of the configuration in force, each change of
// config.Follower.Gap, and each generation that this build cannot use.
func (g *Gate) logConfig(ctx context.Context) error {
	var logged, unreadable core.Generation
	gap := false
	for {
		changed := g.follower.Changed()
		if now := g.follower.Gap(); now != gap {
			gap = now
			event.Info(g.logger, event.ConfigGap, "open", gap)
		}
		if gen := g.follower.Current().Generation; gen > logged {
			logged = gen
			event.Info(g.logger, event.ConfigInForce, "generation", gen)
		}
		if gen, err := g.follower.Unreadable(); gen > unreadable {
			unreadable = gen
			event.Error(g.logger, err, event.ConfigUnreadable, "generation", gen)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return trace.Wrap(ctx.Err())
		}
	}
}
