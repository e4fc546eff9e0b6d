// Command agatewinch-gate answers callers and operators on an entry host.
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
	"agatewinch/internal/gate"
	"agatewinch/internal/platform/httpadapter"
	"agatewinch/internal/settings"
)

const (
	readHeaderTimeout = 5 * time.Second
	stopTimeout       = 35 * time.Second
)

type gateSettings struct {
	settings.Host `yaml:",inline"`
	// Schedulers are the schedulers of all zones.
	Schedulers []schedulerAddr `yaml:"schedulers" validate:"required,dive"`
	// PlatformConns bounds connections to the platform.
	PlatformConns int `yaml:"platform_conns" validate:"min=3"`
}

type schedulerAddr struct {
	Zone string `yaml:"zone" validate:"required"`
	Addr string `yaml:"addr" validate:"required,hostname_port"`
}

func main() {
	s := gateSettings{Host: settings.Host{LogFormat: string(event.FormatJSON)}, PlatformConns: 16}
	settings.Main("agatewinch-gate", "The callers' and operators' entry", &s, func(*cobra.Command) error { return run(s) })
}

func run(s gateSettings) error {
	logger := event.NewLogger(os.Stderr, event.Format(s.LogFormat)).WithValues("host", s.Host.Host, "zone", s.Zone)
	opts := gate.Options{Host: s.Host.Host, Zone: core.ZoneID(s.Zone)}
	for _, a := range s.Schedulers {
		opts.Schedulers = append(opts.Schedulers, gate.Scheduler{Zone: core.ZoneID(a.Zone), Addr: a.Addr})
	}
	log := &httpadapter.Log{Base: s.Platform, Client: httpadapter.NewClient(s.PlatformConns)}
	g := gate.New(opts, logger, log)

	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	group, ctx := errgroup.WithContext(ctx)
	server := &http.Server{Addr: s.Listen, Handler: g.Handler(), ReadHeaderTimeout: readHeaderTimeout}
	group.Go(func() error { return g.Run(ctx) })
	group.Go(func() error {
		if err := server.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
			return trace.Wrap(err)
		}
		return nil
	})
	group.Go(func() error {
		<-ctx.Done()
		event.Info(logger, event.ProcessStopping)
		stopCtx, cancel := context.WithTimeout(context.Background(), stopTimeout)
		defer cancel()
		return trace.Wrap(server.Shutdown(stopCtx))
	})
	event.Info(logger, event.ProcessStarted, "listen", s.Listen)
	return trace.Wrap(group.Wait())
}
