// Package gate answers callers and operators on every entry host and forwards jobs to
// the schedulers.
package gate

import (
	"context"
	"errors"
	"net/http"

	"github.com/go-logr/logr"
	"github.com/gravitational/trace"

	"agatewinch/internal/api"
	"agatewinch/internal/config"
	"agatewinch/internal/core"
	"agatewinch/internal/errkind"
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
}

// Gate is the process's state.
type Gate struct {
	opts   Options
	logger logr.Logger
	follow *config.Follower
	peers  []schedulerPeer
}

type schedulerPeer struct {
	Scheduler
	client *peer.Client
}

// New returns a gate that does not run yet.
func New(opts Options, logger logr.Logger, log platform.Log) *Gate {
	g := &Gate{opts: opts, logger: logger, follow: config.NewFollower(log)}
	for _, own := range []bool{true, false} {
		for _, s := range opts.Schedulers {
			if (s.Zone == opts.Zone) == own {
				g.peers = append(g.peers, schedulerPeer{Scheduler: s, client: peer.NewClient(s.Addr)})
			}
		}
	}
	return g
}

// Run follows the configuration until ctx ends.
func (g *Gate) Run(ctx context.Context) error {
	err := g.follow.Run(ctx)
	if ctx.Err() != nil {
		return nil
	}
	return trace.Wrap(err)
}

// Handler returns the callers' and operators' HTTP interface.
func (g *Gate) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+api.PathReady, g.serveReady)
	mux.HandleFunc("POST "+api.PathJobs, g.caller(g.serveSubmit))
	mux.HandleFunc("GET "+api.PathJobs, g.caller(g.serveList))
	mux.HandleFunc("GET "+api.PathJobs+"/{request}", g.caller(g.serveGet))
	mux.HandleFunc("DELETE "+api.PathJobs+"/{request}", g.caller(g.serveCancel))
	mux.HandleFunc("GET "+api.PathConfig, g.operator(g.serveGetConfig))
	mux.HandleFunc("PUT "+api.PathConfig, g.operator(g.serveApply))
	mux.HandleFunc("GET "+api.PathStatus, g.operator(g.serveStatus))
	return mux
}

func (g *Gate) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !g.follow.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
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
