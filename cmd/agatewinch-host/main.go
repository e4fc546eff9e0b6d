// Command agatewinch-host runs an entry host on the operators' platform. It answers callers and,
// as the leader, places jobs on workers; it needs no gate or scheduler processes.
package main

import (
	"context"
	"errors"
	"expvar"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"syscall"
	"time"

	"github.com/go-logr/logr"
	"github.com/gravitational/trace"
	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"

	"agatewinch/internal/entry"
	"agatewinch/internal/event"
	"agatewinch/internal/intake"
	"agatewinch/internal/peer"
	"agatewinch/internal/relay"
	"agatewinch/platform"
)

const (
	// headerTimeout limits the reading of a request's headers.
	headerTimeout = 3 * time.Second
	// idleTimeout limits how long a connection without requests is kept open.
	idleTimeout = 75 * time.Second
	// maxHeaderBytes limits the headers of a request: the largest that the operators' configuration
	// allows, with some margin.
	maxHeaderBytes = 32 << 10
	// probeConnections bounds the connections of the load balancer's checks, and of those who read
	// metrics.
	probeConnections = 64
	// balancerDetectionTime is how long the load balancer takes to detect that a host is not
	// ready: two readiness checks one second apart, and some time for their responses.
	balancerDetectionTime = 2500 * time.Millisecond
	// stopMargin is subtracted from the time that the platform allows for a graceful shutdown,
	// so that some is left to close the listeners and exit.
	stopMargin = 800 * time.Millisecond
	// memoryShare is the soft memory limit of the Go runtime as a fraction of the memory of
	// the process.
	memoryShare = 0.5
	// metricsName is the expvar name of the host's metrics.
	metricsName = "agatewinch"
)

func main() {
	cmd := &cobra.Command{
		Use:           "agatewinch-host",
		Short:         "Run an entry host on the operators' platform",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE:          func(*cobra.Command, []string) error { return run() },
	}
	if err := cmd.Execute(); err != nil {
		event.Error(event.NewLogger(os.Stdout, event.FormatJSON), err, event.ProcessFailed)
		os.Exit(1)
	}
}

func run() error {
	boot, err := platform.LoadBootstrap()
	if err != nil {
		return trace.Wrap(err)
	}
	if mb := boot.Settings.MemoryMB; mb > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(mb) * (1 << 20)))
	}
	logger, flush := entry.NewLogger(os.Stdout)
	defer flush()
	logger = logger.WithValues("host", boot.Settings.Host)

	store := platform.NewStore(boot.Store)
	workerReader := platform.NewWorkerReader(store)
	workerReader.OnDecodeError = func(err error) { event.Error(logger, err, event.WorkerEntryUnreadable) }
	workerClient := platform.NewWorkerClient()
	workerClient.OnDecodeError = func(err error) { event.Error(logger, err, event.WorkerAnswerUnreadable) }
	workerClient.Answers = intake.NewBudget("answers", boot.Intake.AnswerBytes, nil)
	catalogReader := platform.NewCatalogReader(store)
	catalogReader.OnDecodeError = func(err error) { event.Error(logger, err, event.RecordUnreadable) }
	host := entry.New(boot.Settings, entry.Dependencies{
		Log: store, Catalog: catalogReader, Fleet: platform.NewFleet(boot.Fleet, boot.Settings.Host, store), WorkerList: workerReader, Workers: workerClient, Advisor: platform.NewAdvisor(boot.Advisor), Logger: logger,
	})
	catalogReader.OnWave = func(w platform.Wave) { host.AddWave(w.Number, w.Machines, w.TimeLimit, w.MaxUnavailable) }
	return trace.Wrap(serve(boot, host, logger))
}

// serve runs the host and its listeners until a signal requests a graceful shutdown.
func serve(boot platform.Bootstrap, host *entry.Host, logger logr.Logger) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	settings, reporter := boot.Settings, intake.NewReporter(logger)
	held := intake.NewBudget("callers", boot.Intake.Bytes, reporter.Note)
	callerHandler := platform.NewCallerHandler(host)
	requestRelay := relay.New(host, callerHandler, &intake.Reader{Budget: held, Idle: boot.BodyIdle, Total: boot.BodyTime}, logger)
	defer requestRelay.Close()
	host.SetSuccessors(requestRelay)
	front := newServer(settings.Listen, requestRelay, intake.NewConnections(boot.Intake.Connections, held, reporter.Note))
	servers := []*server{front, newServer(settings.ReadyListen, platform.NewReadiness(host.Ready), intake.NewConnections(probeConnections, held, reporter.Note))}
	if settings.FirstPort > 0 {
		host.Metrics().Publish(metricsName)
		servers = append(servers, newServer(net.JoinHostPort(settings.IP, strconv.Itoa(settings.FirstPort)), expvar.Handler(), intake.NewConnections(probeConnections, held, reporter.Note)))
	}
	if settings.PeerListen != "" {
		peerHeld := intake.NewBudget("peers", boot.Intake.PeerBytes, reporter.Note)
		peers := http.NewServeMux()
		peers.Handle(peer.Path, peer.Serve(relay.Serve(host, callerHandler, held), peer.WithBudget(peerHeld)))
		servers = append(servers, newServer(settings.PeerListen, peers, intake.NewConnections(boot.Intake.PeerConnections, peerHeld, reporter.Note)))
	}
	g, ctx := errgroup.WithContext(ctx)
	for _, s := range servers {
		l, err := net.Listen("tcp", s.address)
		if err != nil {
			return trace.Wrap(err)
		}
		g.Go(func() error {
			if err := s.Serve(s.connections.Listener(l)); !errors.Is(err, http.ErrServerClosed) {
				return trace.Wrap(err)
			}
			return nil
		})
	}
	g.Go(func() error { return host.Run(ctx) })
	event.Info(logger, event.ProcessStarted, "listen", settings.Listen, "zone", settings.Zone)
	g.Go(func() error {
		waitForStop(ctx, logger)
		stopGracefully(settings, host, front, servers, logger)
		cancel()
		return nil
	})
	return g.Wait()
}

// server is an HTTP server with its address and the bound of its connections.
type server struct {
	*http.Server
	address     string
	connections *intake.Connections
}

func newServer(address string, h http.Handler, connections *intake.Connections) *server {
	s := &server{&http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes}, address, connections}
	connections.Attach(s.Server)
	return s
}

// waitForStop returns when ctx ends or a signal requests a stop. SIGHUP signals that the settings
// file changed: the file is read and the result logged, but nothing is applied, because settings
// take effect only when the process starts.
func waitForStop(ctx context.Context, logger logr.Logger) {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	for {
		select {
		case <-ctx.Done():
			return
		case s := <-signals:
			if s != syscall.SIGHUP {
				return
			}
			_, err := platform.LoadBootstrap()
			if err != nil {
				event.Error(logger, err, event.SettingsRead)
				continue
			}
			event.Info(logger, event.SettingsRead)
		}
	}
}

// stopGracefully drains the host, which makes it not ready and releases its leader role, waits
// until the load balancer has detected that, lets open requests finish and closes the listeners.
func stopGracefully(settings entry.Settings, host *entry.Host, front *server, servers []*server, logger logr.Logger) {
	start := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), settings.ShutdownGrace-stopMargin)
	defer cancel()
	host.Drain(ctx)
	time.Sleep(max(0, balancerDetectionTime-time.Since(start)))
	if err := front.Shutdown(ctx); err != nil {
		event.Error(logger, err, event.ProcessStopped, "what", "open requests were cut off")
	}
	for _, s := range servers {
		if err := s.Close(); err != nil {
			event.Error(logger, err, event.ProcessStopped)
		}
	}
	event.Info(logger, event.ProcessStopped)
}
