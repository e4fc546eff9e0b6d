// Package gate answers callers and operators on every entry host and forwards jobs to
// the schedulers.
package gate

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"

	"agatewinch/internal/config"
	"agatewinch/internal/core"
	"agatewinch/internal/errkind"
	"agatewinch/internal/event"
	"agatewinch/internal/metrics"
	"agatewinch/internal/peer"
	"agatewinch/internal/platform"
	"agatewinch/internal/wire"
)

// Scheduler names a scheduler that the gate may forward to.
type Scheduler struct {
	Zone core.ZoneID
	Addr string
}

// Options are a gate's fixed parameters.
type Options struct {
	Host       string
	Zone       core.ZoneID
	Schedulers []Scheduler
	// OperatorKeys may apply the first configuration.
	OperatorKeys []config.Key
	Limits       Limits
	// ConfigSnapshotInterval is config.Follower's SnapshotInterval.
	ConfigSnapshotInterval time.Duration
	// PeerClient dials the schedulers; nil dials without TLS.
	PeerClient *http.Client
	// Metrics may be nil; nothing is published then.
	Metrics *metrics.Registry
}

// Gate is the process's state.
type Gate struct {
	opts   Options
	logger logr.Logger
	follow *config.Follower
	peers  []schedulerPeer

	metrics  *metrics.Registry
	open     openRequests
	rates    rates
	leaving  atomic.Bool
	draining atomic.Bool
}

type schedulerPeer struct {
	Scheduler
	client *peer.Client
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
	for _, own := range []bool{true, false} {
		for _, s := range opts.Schedulers {
			if (s.Zone == opts.Zone) == own {
				g.peers = append(g.peers, schedulerPeer{Scheduler: s, client: peer.NewClient(s.Addr, peer.WithHTTPClient(opts.PeerClient))})
			}
		}
	}
	return g
}

// Run follows the configuration until ctx ends.
func (g *Gate) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return g.follow.Run(ctx) })
	group.Go(func() error { return g.logConfig(ctx) })
	err := group.Wait()
	if ctx.Err() != nil {
		return nil
	}
	return trace.Wrap(err)
}

// logConfig logs each change of the configuration in force.
func (g *Gate) logConfig(ctx context.Context) error {
	var logged, unreadable core.Generation
	for {
		changed := g.follow.Changed()
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

// forward tries the schedulers, the own zone's first, and goes on to the next only
// when the last one did nothing for certain.
func (g *Gate) forward(ctx context.Context, kind wire.Kind, body, out any) error {
	last := errkind.New(errkind.NoScheduler, "no scheduler can be reached")
	for _, p := range g.peers {
		err := p.client.Call(ctx, kind, body, out)
		switch {
		case err == nil:
			return nil
		case errors.Is(err, peer.ErrNotSent):
			continue
		case errors.Is(err, peer.ErrLost):
			return errkind.New(errkind.OutcomeUnknown, "the connection to the scheduler was lost")
		case errkind.Is(err, errkind.NoScheduler), errkind.Is(err, errkind.NotFound):
			last = err
		default:
			return err
		}
	}
	return last
}
