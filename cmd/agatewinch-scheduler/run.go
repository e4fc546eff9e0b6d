package main

import (
	"context"
	"errors"
	"expvar"
	"net"
	"net/http"
	"os/signal"
	"syscall"
	"time"

	"github.com/go-logr/logr"
	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"

	"agatewinch/internal/core"
	"agatewinch/internal/event"
	"agatewinch/internal/membership"
	"agatewinch/internal/peer"
	"agatewinch/internal/platform/httpadapter"
	"agatewinch/internal/scheduler"
	"agatewinch/internal/tlsconfig"
	"agatewinch/internal/traffic"
)

const (
	readHeaderTimeout = 5 * time.Second
	// shutdownTimeout limits a graceful shutdown.
	shutdownTimeout = 15 * time.Second
	// heartbeatInterval and heartbeatTimeout, together with the age from which a claim is
	// stale, let a standby serve within 2 s of the leader's failure.
	heartbeatInterval = 400 * time.Millisecond
	heartbeatTimeout  = time.Second
	dialTimeout       = time.Second
	// metricsPath is the HTTP path of the expvar metrics.
	metricsPath = "/debug/vars"
)

// process holds the scheduler with its peer membership, servers and certificates.
type process struct {
	logger   logr.Logger
	sched    *scheduler.Scheduler
	members  *membership.Membership
	peers    *peer.Server
	server   *http.Server
	counters *traffic.Counters
	certs    *tlsconfig.Source
}

func newProcess(s schedulerSettings) (*process, error) {
	out, format := s.logOutput()
	p := &process{logger: event.NewLogger(out, format).WithValues("host", s.Host.Host, "zone", s.Zone), counters: traffic.New()}
	var err error
	if p.certs, err = tlsconfig.New(s.PeerTLS, p.logger); err != nil {
		return nil, trace.Wrap(err)
	}
	platformClient := p.client(traffic.Platform, s.PlatformConns)
	hosts := &httpadapter.Hosts{BaseURL: s.Platform, Client: platformClient}
	zone := core.ZoneID(s.Zone)
	opts := scheduler.DefaultOptions(s.Host.Host, zone, core.Options{
		Zone: zone, Policy: core.Policy(s.Policy), LeaseTTL: s.LeaseTTL, ReserveTTL: s.ReserveTTL, MaxQueued: s.MaxQueued,
	})
	opts.Addr = s.advertisedAddr()
	opts.Journal.SnapshotInterval, opts.Journal.EndedKept = s.SnapshotInterval, s.EndedKept
	p.sched = scheduler.New(opts, p.logger, &httpadapter.Log{BaseURL: s.Platform, Client: platformClient}, hosts,
		&httpadapter.Backend{Client: p.client(traffic.Workers, s.WorkerConns)})
	p.sched.Config().SnapshotInterval = s.ConfigSnapshotInterval
	memberOpts := membership.Options{
		Hosts: hosts, Config: p.sched.Config(), Interval: heartbeatInterval, Timeout: heartbeatTimeout, Logger: p.logger,
		HTTPClient: p.peerClient(),
	}
	for _, a := range s.Schedulers {
		memberOpts.Seeds = append(memberOpts.Seeds, membership.Seed{Zone: core.ZoneID(a.Zone), Addr: a.Addr})
	}
	p.members = membership.New(memberOpts, p.sched.Heartbeat)
	p.sched.SetPeers(p.members)
	p.peers = peer.NewServer(p.sched.Handle)
	mux := http.NewServeMux()
	mux.Handle(peer.Path, p.peers)
	mux.Handle(metricsPath, expvar.Handler())
	p.server = &http.Server{Addr: s.Listen, Handler: mux, ReadHeaderTimeout: readHeaderTimeout}
	return p, nil
}

// peerClient returns an HTTP client for other schedulers. It uses TLS when peer_tls is set.
func (p *process) peerClient() *http.Client {
	client := p.client(traffic.Peers, 0)
	if t, ok := client.Transport.(*http.Transport); ok {
		p.certs.Secure(t)
	}
	return client
}

// client returns an HTTP client that limits the connections to each address (0 means no
// limit) and counts their traffic under purpose.
func (p *process) client(purpose traffic.Purpose, maxConnsPerAddr int) *http.Client {
	client := httpadapter.NewClient(maxConnsPerAddr)
	if t, ok := client.Transport.(*http.Transport); ok {
		t.DialContext = p.counters.Dial(purpose, (&net.Dialer{Timeout: dialTimeout}).DialContext)
	}
	return client
}

func run(s schedulerSettings) error {
	p, err := newProcess(s)
	if err != nil {
		return trace.Wrap(err)
	}
	p.sched.Publish()
	p.counters.Publish()
	tcpListener, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return trace.Wrap(err)
	}
	listener, err := p.certs.Wrap(p.counters.Listen(traffic.Peers, tcpListener))
	if err != nil {
		return trace.Wrap(err)
	}
	signalCtx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	// The scheduler keeps running after the signal until the graceful shutdown is complete.
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return trace.Wrap(p.sched.Run(ctx)) })
	group.Go(func() error { return ignoreCancel(p.members.Run(ctx)) })
	group.Go(func() error {
		if err := p.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return trace.Wrap(err)
		}
		return nil
	})
	group.Go(func() error {
		defer cancel()
		select {
		case <-signalCtx.Done():
			p.shutdown()
		case <-ctx.Done():
		}
		return trace.Wrap(p.server.Close())
	})
	event.Info(p.logger, event.ProcessStarted, "listen", s.Listen, "policy", s.Policy)
	err = group.Wait()
	event.Info(p.logger, event.ProcessStopped)
	return trace.Wrap(err)
}

// shutdown hands the leader role over to a standby, if there is one, and lets calls in
// progress finish.
func (p *process) shutdown() {
	event.Info(p.logger, event.ProcessStopping)
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	p.sched.Stop(ctx)
	if err := p.peers.Shutdown(ctx); err != nil {
		event.Error(p.logger, err, event.ProcessStopping)
	}
}

func ignoreCancel(err error) error {
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return trace.Wrap(err)
}
