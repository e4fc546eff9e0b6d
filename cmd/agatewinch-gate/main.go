// Command agatewinch-gate serves the API for callers and operators on an entry host.
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
	"agatewinch/internal/intake"
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
	// maxPeerHeldBytes bounds the messages of peers that are being read or handled, and
	// maxPeerConnections their connections.
	maxPeerHeldBytes   = 64 << 20
	maxPeerConnections = 1024
	// shutdownTimeout exceeds the longest time that a request waits for a job, plus the time to
	// detect a lost response.
	shutdownTimeout = (api.MaxWaitSeconds + 15) * time.Second
	// peerShutdownTimeout limits the graceful shutdown of peer connections.
	peerShutdownTimeout = time.Second
)

func main() {
	s := defaultSettings()
	settings.Main("agatewinch-gate", "API server for callers and operators", &s, func(*cobra.Command) error { return run(s) })
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
	counters := traffic.New()
	counters.Publish()
	platformClient := newCountedClient(counters, traffic.Platform, s.PlatformConns, nil)
	log := &httpadapter.Log{BaseURL: s.Platform, Client: platformClient}
	opts := s.options(registry)
	opts.Peers.Hosts = &httpadapter.Hosts{BaseURL: s.Platform, Client: platformClient}
	opts.Peers.Client = newCountedClient(counters, traffic.Peers, 0, peerCerts)
	g := gate.New(opts, logger, log)

	signalCtx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	connections := intake.NewConnections(s.MaxConnections, g.Held(), intake.NewReporter(logger).Note)
	listener, err := listen(s.Listen, certs, connections)
	if err != nil {
		return trace.Wrap(err)
	}
	server := newServer(g.Handler(), connections)
	runCtx, cancelRun := context.WithCancel(context.Background())
	defer cancelRun()
	group, runCtx := errgroup.WithContext(runCtx)
	group.Go(func() error { return g.Run(runCtx) })
	group.Go(func() error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return trace.Wrap(err)
		}
		return nil
	})
	if s.PeerListen != "" {
		group.Go(func() error { return servePeers(runCtx, g, peerCerts, s.PeerListen) })
	}
	group.Go(func() error {
		defer cancelRun()
		select {
		case <-signalCtx.Done():
		case <-runCtx.Done():
		}
		event.Info(logger, event.ProcessStopping)
		return drain(runCtx, g, server, s.DrainGrace)
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

// servePeers serves peers until ctx ends. They have a separate listener, so that callers
// never reach the peer protocol.
func servePeers(ctx context.Context, g *gate.Gate, certs *tlsconfig.Source, addr string) error {
	held := intake.NewBudget("peers", maxPeerHeldBytes, nil)
	connections := intake.NewConnections(maxPeerConnections, held, nil)
	listener, err := listen(addr, certs, connections)
	if err != nil {
		return trace.Wrap(err)
	}
	peers := peer.NewServer(g.HandlePeer, peer.WithBudget(held))
	mux := http.NewServeMux()
	mux.Handle(peer.Path, peers)
	server := newServer(mux, connections)
	stop := context.AfterFunc(ctx, func() {
		shutdownCtx, cancel := context.WithTimeout(context.Background(), peerShutdownTimeout)
		defer cancel()
		_ = peers.Shutdown(shutdownCtx)
		_ = server.Close()
	})
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return trace.Wrap(err)
	}
	return nil
}

// newCountedClient returns a client that limits the connections to each address (0 means no
// limit), counts their traffic under purpose, and uses TLS when certs are set.
func newCountedClient(counters *traffic.Counters, purpose traffic.Purpose, maxConnsPerAddr int, certs *tlsconfig.Source) *http.Client {
	client := httpadapter.NewClient(maxConnsPerAddr)
	if t, ok := client.Transport.(*http.Transport); ok {
		t.DialContext = counters.Dial(purpose, (&net.Dialer{Timeout: dialTimeout}).DialContext)
		certs.Secure(t)
	}
	return client
}

// listen listens on addr, with TLS if certs is not nil, within a bound of connections.
func listen(addr string, certs *tlsconfig.Source, connections *intake.Connections) (net.Listener, error) {
	plain, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	wrapped, err := certs.Wrap(connections.Listener(plain))
	if err != nil {
		_ = plain.Close()
	}
	return wrapped, trace.Wrap(err)
}

func newServer(h http.Handler, connections *intake.Connections) *http.Server {
	server := &http.Server{
		Handler: h, ReadHeaderTimeout: readHeaderTimeout, ReadTimeout: readTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
	connections.Attach(server)
	return server
}

// drain shuts the gate down gracefully: it makes readiness checks fail, waits for the grace
// period so that the load balancer notices, then refuses new jobs and lets requests in
// progress finish.
func drain(runCtx context.Context, g *gate.Gate, server *http.Server, grace time.Duration) error {
	g.Leave()
	timer := time.NewTimer(grace)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-runCtx.Done():
	}
	g.Drain()
	shutdownCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	return trace.Wrap(server.Shutdown(shutdownCtx))
}
