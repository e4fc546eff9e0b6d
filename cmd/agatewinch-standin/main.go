// Command agatewinch-standin simulates the platform of gates and schedulers for tests and the
// quickstart.
package main

import (
	"context"
	"os/signal"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"github.com/spf13/cobra"

	"agatewinch/internal/config"
	"agatewinch/internal/core"
	"agatewinch/internal/platform"
	"agatewinch/internal/settings"
	"agatewinch/internal/standin"
)

// Defaults of the simulated limits and usage reports: the values that the description of the
// platform states.
const (
	maxAppendsPerSecond = 400
	logRetention        = time.Hour
	maxWorkerConns      = 64
	usageInterval       = 5 * time.Second
	usageLag            = 3 * time.Second
)

type standinSettings struct {
	Listen     string      `yaml:"listen" validate:"required,hostname_port"`
	WorkerBase string      `yaml:"worker_base" validate:"required,hostname_port"`
	ConfigDir  string      `yaml:"config_dir" validate:"required"`
	EntryHosts []entryHost `yaml:"entry_hosts" validate:"dive"`
	// Log, HostList and Worker are the initial limits and injected faults.
	Log      standin.LogFaults      `yaml:"log"`
	HostList standin.HostListFaults `yaml:"host_list"`
	Worker   standin.WorkerFaults   `yaml:"worker"`
}

type entryHost struct {
	ID   string `yaml:"id" validate:"required"`
	Zone string `yaml:"zone" validate:"required"`
	Addr string `yaml:"addr" validate:"required,hostname_port"`
}

func main() {
	s := standinSettings{
		Log:    standin.LogFaults{AppendsPerSecond: maxAppendsPerSecond, KeepFor: logRetention},
		Worker: standin.WorkerFaults{MaxConns: maxWorkerConns, UsageEvery: usageInterval, UsageLag: usageLag},
	}
	settings.Main("agatewinch-standin", "Simulated platform for tests and the quickstart", &s, func(*cobra.Command) error { return run(s) })
}

func run(s standinSettings) error {
	set, err := config.LoadDir(s.ConfigDir)
	if err != nil {
		return trace.Wrap(err)
	}
	opts := standin.Options{Listen: s.Listen, WorkerBase: s.WorkerBase, Workers: set.Core(0).Workers,
		LogFaults: s.Log, HostListFaults: s.HostList, WorkerFaults: s.Worker}
	for _, h := range s.EntryHosts {
		opts.EntryHosts = append(opts.EntryHosts, platform.Host{
			ID: h.ID, Kind: platform.EntryHost, Zone: core.ZoneID(h.Zone), Addr: h.Addr, State: platform.HostLive,
		})
	}
	server, err := standin.New(opts)
	if err != nil {
		return trace.Wrap(err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return trace.Wrap(server.Run(ctx))
}
