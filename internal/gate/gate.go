// Package gate answers callers and operators on every entry host and forwards jobs to
// the schedulers.
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
	"agatewinch/internal/membership"
	"agatewinch/internal/metrics"
	"agatewinch/internal/platform"
	"agatewinch/internal/routing"
)

// Options are a gate's fixed parameters.
type Options struct {
	Host string
	Zone core.ZoneID
	// Peers tells how schedulers are found.
	Peers PeerOptions
	// OperatorKeys may apply the first configuration.
	OperatorKeys []config.Key
	Limits       Limits
	// ConfigSnapshotInterval is config.Follower's SnapshotInterval.
	ConfigSnapshotInterval time.Duration
	// Metrics may be nil; nothing is published then.
	Metrics *metrics.Registry
}

// Gate is the process's state.
type Gate struct {
	opts    Options
	logger  logr.Logger
	follow  *config.Follower
	members *membership.Membership
	router  *routing.Router

	metrics  *metrics.Registry
	open     openRequests
	rates    rates
	leaving  atomic.Bool
	draining atomic.Bool
}

// New returns a gate that does not run yet.
func New(opts Options, logger logr.Logger, log platform.Log) *Gate {
	g := &Gate{
		opts: opts, logger: logger, follow: config.NewFollower(log), metrics: opts.Metrics,
		open:  openRequests{maxCallers: int64(opts.Limits.Requests), maxOperators: int64(opts.Limits.OperatorRequests)},
		rates: rates{defaults: opts.Limits, orgs: map[string]*orgRate{}},
	}
	if g.metrics == nil {
		g.metrics = metrics.New(metrics.SourceGate)
	}
	g.follow.SnapshotInterval = opts.ConfigSnapshotInterval
	g.members = g.newMembership()
	g.router = g.newRouter()
	return g
}

// Run follows the configuration until ctx ends.
func (g *Gate) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return g.follow.Run(ctx) })
	group.Go(func() error { return g.logConfig(ctx) })
	group.Go(func() error { return g.members.Run(ctx) })
	err := group.Wait()
	if ctx.Err() != nil {
		return nil
	}
	return trace.Wrap(err)
}

// logConfig logs each change of the configuration in force.
func (g *Gate) logConfig(ctx context.Context) error {
	var logged, unreadable core.Generation
	gap := false
	for {
		changed := g.follow.Changed()
		if now := g.follow.Gap(); now != gap {
			gap = now
			event.Info(g.logger, event.ConfigGap, "open", gap)
		}
		if gen := g.follow.Current().Generation; gen > logged {
			logged = gen
			event.Info(g.logger, event.ConfigInForce, "generation", gen)
		}
		if gen, err := g.follow.Unreadable(); gen > unreadable {
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
