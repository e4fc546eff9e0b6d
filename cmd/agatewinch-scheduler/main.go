// Command agatewinch-scheduler decides what runs where in one availability zone.
package main

import (
	"context"
	"errors"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"

	"agatewinch/internal/core"
	"agatewinch/internal/event"
	"agatewinch/internal/peer"
	"agatewinch/internal/platform/httpadapter"
	"agatewinch/internal/scheduler"
	"agatewinch/internal/settings"
)

const readHeaderTimeout = 5 * time.Second

type schedulerSettings struct {
	settings.Host `yaml:",inline"`
	// Policy orders and places waiting jobs.
	Policy string `yaml:"policy" validate:"oneof=fifo guaranteed"`
	// LeaseTTL is the life of a lease on a worker.
	LeaseTTL time.Duration `yaml:"lease_ttl" validate:"min=300ms"`
	// ReserveTTL is the life of a reservation before its start.
	ReserveTTL time.Duration `yaml:"reserve_ttl" validate:"min=100ms"`
	// MaxQueued bounds waiting jobs for each organisation and class.
	MaxQueued int `yaml:"max_queued" validate:"min=1"`
	// PlatformConns bounds connections to each worker and to the platform.
	PlatformConns int `yaml:"platform_conns" validate:"min=3"`
}

func main() {
	s := schedulerSettings{
		Host:   settings.Host{LogFormat: string(event.FormatJSON)},
		Policy: string(core.PolicyGuaranteed), LeaseTTL: 6 * time.Second, ReserveTTL: 2 * time.Second,
		MaxQueued: 10000, PlatformConns: 16,
	}
	settings.Main("agatewinch-scheduler", "The scheduler of an availability zone", &s, func(*cobra.Command) error { return run(s) })
}

func run(s schedulerSettings) error {
	logger := event.NewLogger(os.Stderr, event.Format(s.LogFormat)).WithValues("host", s.Host.Host, "zone", s.Zone)
	client := httpadapter.NewClient(s.PlatformConns)
	zone := core.ZoneID(s.Zone)
	sched := scheduler.New(scheduler.Options{
		Host: s.Host.Host, Zone: zone,
		Core: core.Options{Zone: zone, Policy: core.Policy(s.Policy), LeaseTTL: s.LeaseTTL, ReserveTTL: s.ReserveTTL, MaxQueued: s.MaxQueued},
	}, logger, &httpadapter.Log{Base: s.Platform, Client: client}, &httpadapter.Hosts{Base: s.Platform, Client: client}, &httpadapter.Backend{Client: client})

	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	group, ctx := errgroup.WithContext(ctx)
	mux := http.NewServeMux()
	mux.Handle(peer.Path, peer.Serve(sched.Handle))
	server := &http.Server{Addr: s.Listen, Handler: mux, ReadHeaderTimeout: readHeaderTimeout}
	group.Go(func() error { return trace.Wrap(sched.Run(ctx)) })
	group.Go(func() error {
		if err := server.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
			return trace.Wrap(err)
		}
		return nil
	})
	group.Go(func() error {
		<-ctx.Done()
		event.Info(logger, event.ProcessStopping)
		return trace.Wrap(server.Close())
	})
	event.Info(logger, event.ProcessStarted, "listen", s.Listen, "policy", s.Policy)
	return trace.Wrap(group.Wait())
}
