// Command agatewinch-gate answers callers and operators on an entry host.
package main

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"

	"agatewinch/internal/api"
	"agatewinch/internal/event"
	"agatewinch/internal/gate"
	"agatewinch/internal/metrics"
	"agatewinch/internal/peer"
	"agatewinch/internal/platform/httpadapter"
	"agatewinch/internal/settings"
	"agatewinch/internal/tlsconfig"
	"agatewinch/internal/traffic"
)

const (
	readHeaderTimeout = 5 * time.Second
	readTimeout       = 30 * time.Second
	dialTimeout       = 2 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 16 << 10
	// stopTimeout is longer than the longest poll with the time to find a lost answer.
	stopTimeout = (api.MaxWaitSeconds + 15) * time.Second
	// peerStopTimeout bounds the orderly end of peers' connections.
	peerStopTimeout = time.Second
)

func main() {
	s := defaultSettings()
	settings.Main("agatewinch-gate", "The callers' and operators' entry", &s, func(*cobra.Command) error { return run(s) })
}

func run(s gateSettings) error {
	logger := event.NewLogger(os.Stderr, event.Format(s.LogFormat)).WithValues("host", s.Host.Host, "zone", s.Zone)
	certs, err := tlsconfig.New(s.TLS, logger)
	if err != nil {
		return trace.Wrap(err)
	}
	peerCerts, err := tlsconfig.New(s.PeerTLS, logger)
	if err != nil {
		return trace.Wrap(err)
	}
	registry := metrics.New(metrics.SourceGate)
	registry.Publish(api.VarsName)
	counted := traffic.New()
	counted.Publish()
	platformClient := countedClient(counted, traffic.Platform, s.PlatformConns, nil)
	log := &httpadapter.Log{Base: s.Platform, Client: platformClient}
	opts := s.options(registry)
	opts.Peers.Hosts = &httpadapter.Hosts{Base: s.Platform, Client: platformClient}
	opts.Peers.Client = countedClient(counted, traffic.Peers, 0, peerCerts)
	g := gate.New(opts, logger, log)

	stopping, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	listener, err := certs.Listen(s.Listen)
	if err != nil {
		return trace.Wrap(err)
	}
	server := newServer(g.Handler(), s.MaxConnections)
	running, finish := context.WithCancel(context.Background())
	defer finish()
	group, running := errgroup.WithContext(running)
	group.Go(func() error { return g.Run(running) })
	group.Go(func() error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return trace.Wrap(err)
		}
		return nil
	})
	if s.PeerListen != "" {
		group.Go(func() error { return servePeers(running, g, peerCerts, s.PeerListen) })
	}
	group.Go(func() error {
		defer finish()
		select {
		case <-stopping.Done():
		case <-running.Done():
		}
		event.Info(logger, event.ProcessStopping)
		return drain(running, g, server, s.DrainGrace)
	})
	event.Info(logger, event.ProcessStarted, "listen", listener.Addr().String())
	err = group.Wait()
	if err != nil {
		event.Error(logger, err, event.ProcessFailed)
		return trace.Wrap(err)
	}
	event.Info(logger, event.ProcessStopped)
	return nil
}

// servePeers answers peers, on a listener of their own so that callers never reach it,
// until ctx ends.
func servePeers(ctx context.Context, g *gate.Gate, certs *tlsconfig.Source, addr string) error {
	listener, err := certs.Listen(addr)
	if err != nil {
		return trace.Wrap(err)
	}
	peers := peer.NewServer(g.HandlePeer)
	mux := http.NewServeMux()
	mux.Handle(peer.Path, peers)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: maxHeaderBytes}
	stop := context.AfterFunc(ctx, func() {
		closing, cancel := context.WithTimeout(context.Background(), peerStopTimeout)
		defer cancel()
		_ = peers.Shutdown(closing)
		_ = server.Close()
	})
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return trace.Wrap(err)
	}
	return nil
}

// countedClient returns a client whose connections are bounded to each address, counted
// by purpose, and made with TLS when certs are set.
func countedClient(counted *traffic.Counters, purpose traffic.Purpose, perHost int, certs *tlsconfig.Source) *http.Client {
	client := httpadapter.NewClient(perHost)
	if t, ok := client.Transport.(*http.Transport); ok {
		t.DialContext = counted.Dial(purpose, (&net.Dialer{Timeout: dialTimeout}).DialContext)
		certs.Secure(t)
	}
	return client
}

func newServer(h http.Handler, maxConnections int) *http.Server {
	return &http.Server{
		Handler: h, ReadHeaderTimeout: readHeaderTimeout, ReadTimeout: readTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHeaderBytes, ConnState: gate.NewConnLimit(maxConnections).ConnState,
	}
}

// drain is a planned stop: leave the balancer's view, give it time to notice, take no
// new job, and finish what is in progress.
func drain(running context.Context, g *gate.Gate, server *http.Server, grace time.Duration) error {
	g.Leave()
	timer := time.NewTimer(grace)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-running.Done():
	}
	g.Drain()
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	return trace.Wrap(server.Shutdown(ctx))
}
