// Command agatewinch-scheduler schedules the jobs of one availability zone.
package main

import (
	"os"
	"time"

	"github.com/spf13/cobra"

	"agatewinch/internal/core"
	"agatewinch/internal/event"
	"agatewinch/internal/journal"
	"agatewinch/internal/settings"
)

type schedulerSettings struct {
	settings.Host `yaml:",inline"`
	// Advertise is the host and port announced to peers; if empty, that of Listen.
	Advertise string `yaml:"advertise" validate:"omitempty,hostname_port"`
	// Schedulers are the initially known schedulers, of this zone and others. More are
	// discovered through the host list and through heartbeats.
	Schedulers []schedulerAddr `yaml:"schedulers" validate:"dive"`
	// Policy is the policy by which waiting jobs are ordered and placed.
	Policy string `yaml:"policy" validate:"oneof=fifo guaranteed"`
	// LeaseTTL is the time to live of a lease on a worker.
	LeaseTTL time.Duration `yaml:"lease_ttl" validate:"min=300ms"`
	// ReserveTTL is the time to live of a reservation that has not been started.
	ReserveTTL time.Duration `yaml:"reserve_ttl" validate:"min=100ms"`
	// MaxQueued limits the waiting jobs of each organisation and class.
	MaxQueued int `yaml:"max_queued" validate:"min=1"`
	// WorkerConns limits the connections to each worker. The schedulers of a zone share
	// the connections that a worker accepts, and some must be left for a failover.
	WorkerConns int `yaml:"worker_conns" validate:"min=3"`
	// PlatformConns limits the connections to the platform.
	PlatformConns int `yaml:"platform_conns" validate:"min=3"`
	// SnapshotInterval is the maximum time between snapshots of the job state. It must be
	// well below the log's retention.
	SnapshotInterval time.Duration `yaml:"snapshot_interval" validate:"min=1s"`
	// EndedKept is how long the outcome of a job is kept after its end.
	EndedKept time.Duration `yaml:"ended_kept" validate:"min=1s"`
}

type schedulerAddr struct {
	Zone string `yaml:"zone" validate:"required"`
	Addr string `yaml:"addr" validate:"required,hostname_port"`
}

func main() {
	s := schedulerSettings{
		Host:   settings.Host{LogFormat: string(event.FormatJSON)},
		Policy: string(core.PolicyGuaranteed), LeaseTTL: 6 * time.Second, ReserveTTL: 2 * time.Second,
		MaxQueued: 10000, WorkerConns: 8, PlatformConns: 16,
		SnapshotInterval: journal.DefaultSnapshotInterval, EndedKept: journal.DefaultEndedKept,
	}
	settings.Main("agatewinch-scheduler", "The scheduler of an availability zone", &s, func(*cobra.Command) error { return run(s) })
}

func (s schedulerSettings) advertisedAddr() string {
	if s.Advertise != "" {
		return s.Advertise
	}
	return s.Listen
}

func (s schedulerSettings) logOutput() (out *os.File, format event.Format) {
	return os.Stderr, event.Format(s.LogFormat)
}
