// Command agatewinch-host is the process of an entry host on the operators' platform.
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
	"agatewinch/internal/peer"
	"agatewinch/internal/relay"
	"agatewinch/platform"
)

const (
	// headerTimeout bounds the reading of a request's headers.
	headerTimeout = 3 * time.Second
	// idleTimeout bounds a connection without requests.
	idleTimeout = 75 * time.Second
	// leaveView is how long the balancer takes to notice that a host is not ready: two
	// looks a second apart, and some for their answers.
	leaveView = 2500 * time.Millisecond
	// stopMargin is kept from the time that the platform leaves for a planned stop.
	stopMargin = 800 * time.Millisecond
	// memoryShare is the part of the host's memory that the heap may grow to.
	memoryShare = 0.5
	// gcPercent trades memory, of which there is plenty, for processor time.
	gcPercent = 400
	// metricsName is the name of the histograms on the metrics address.
	metricsName = "agatewinch"
)

func main() {
	cmd := &cobra.Command{
		Use:           "agatewinch-host",
		Short:         "The process of an entry host on the operators' platform",
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
	boot, err := platform.LoadBoot()
	if err != nil {
		return trace.Wrap(err)
	}
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(memoryShare * float64(boot.Settings.MemoryMB) * (1 << 20)))
	out, flush := entry.NewLogger(os.Stdout)
	defer flush()
	out = out.WithValues("host", boot.Settings.Host)

	store := platform.NewStore(boot.Store)
	list := platform.NewWorkerReader(store)
	list.OnGarbage = func(err error) { event.Error(out, err, event.WorkerEntryUnreadable) }
	orders := platform.NewOrders()
	orders.OnGarbage = func(err error) { event.Error(out, err, event.WorkerAnswerUnreadable) }
	source := platform.NewCatalogReader(store)
	source.OnGarbage = func(err error) { event.Error(out, err, event.RecordUnreadable) }
	host := entry.New(boot.Settings, entry.Parts{
		Log: store, Catalog: source, Fleet: platform.NewFleet(boot.Fleet, boot.Settings.Host, store), List: list, Workers: orders, Advisor: platform.NewAdvisor(boot.Advisor), Out: out,
	})
	source.OnWave = func(w platform.Wave) { host.AddWave(w.Number, w.Machines, w.Within, w.AtOnce) }
	return trace.Wrap(serve(boot.Settings, host, out))
}

// serve runs the host and its listeners until a signal asks for a planned stop.
func serve(set entry.Settings, host *entry.Host, out logr.Logger) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	answers := platform.NewFront(host)
	relayed := relay.New(host, answers, out)
	defer relayed.Close()
	host.Join(relayed)
	front := &http.Server{Handler: relayed, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	ready := &http.Server{Handler: platform.NewReadiness(host.Ready), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	servers := map[*http.Server]string{front: set.Listen, ready: set.ReadyListen}
	if set.FirstPort > 0 {
		host.Metrics().Publish(metricsName)
		servers[&http.Server{Handler: expvar.Handler(), ReadHeaderTimeout: headerTimeout}] = net.JoinHostPort(set.IP, strconv.Itoa(set.FirstPort))
	}
	if set.PeerListen != "" {
		peers := http.NewServeMux()
		peers.Handle(peer.Path, peer.Serve(relay.Serve(host, answers)))
		servers[&http.Server{Handler: peers, ReadHeaderTimeout: headerTimeout}] = set.PeerListen
	}
	g, ctx := errgroup.WithContext(ctx)
	for server, address := range servers {
		l, err := net.Listen("tcp", address)
		if err != nil {
			return trace.Wrap(err)
		}
		g.Go(func() error {
			if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
				return trace.Wrap(err)
			}
			return nil
		})
	}
	g.Go(func() error { return host.Run(ctx) })
	event.Info(out, event.ProcessStarted, "listen", set.Listen, "zone", set.Zone)
	g.Go(func() error {
		waitForStop(ctx, out)
		stopGracefully(set, host, front, servers, out)
		cancel()
		return nil
	})
	return g.Wait()
}

// waitForStop returns when the process is asked to stop. A hint that the settings changed
// is noted: nothing in them changes for a process that runs.
func waitForStop(ctx context.Context, out logr.Logger) {
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
			_, err := platform.LoadBoot()
			if err != nil {
				event.Error(out, err, event.SettingsRead)
				continue
			}
			event.Info(out, event.SettingsRead)
		}
	}
}

// stopGracefully leaves the balancer's view, gives up the role and ends open requests.
func stopGracefully(set entry.Settings, host *entry.Host, front *http.Server, servers map[*http.Server]string, out logr.Logger) {
	began := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), set.Grace-stopMargin)
	defer cancel()
	host.Drain(ctx)
	time.Sleep(max(0, leaveView-time.Since(began)))
	if err := front.Shutdown(ctx); err != nil {
		event.Error(out, err, event.ProcessStopped, "what", "open requests were cut off")
	}
	for server := range servers {
		if err := server.Close(); err != nil {
			event.Error(out, err, event.ProcessStopped)
		}
	}
	event.Info(out, event.ProcessStopped)
}
