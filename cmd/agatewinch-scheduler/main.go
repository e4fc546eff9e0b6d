// Command agatewinch-scheduler decides what runs where in one availability zone.
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
	// Advertise is the IP and port that peers are told; the listening one when empty.
	Advertise string `yaml:"advertise" validate:"omitempty,hostname_port"`
	// Schedulers are known schedulers, of this zone and others; the host list and
	// heartbeats name further ones.
	Schedulers []schedulerAddr `yaml:"schedulers" validate:"dive"`
	// Policy orders and places waiting jobs.
	Policy string `yaml:"policy" validate:"oneof=fifo guaranteed"`
	// LeaseTTL is the life of a lease on a worker.
	LeaseTTL time.Duration `yaml:"lease_ttl" validate:"min=300ms"`
	// ReserveTTL is the life of a reservation before its start.
	ReserveTTL time.Duration `yaml:"reserve_ttl" validate:"min=100ms"`
	// MaxQueued bounds waiting jobs for each organisation and class.
	MaxQueued int `yaml:"max_queued" validate:"min=1"`
	// WorkerConns bounds the connections to each worker. A worker's connections are
	// shared by the schedulers of its zone, with a part spare for a failover.
	WorkerConns int `yaml:"worker_conns" validate:"min=3"`
	// PlatformConns bounds the connections to the platform.
	PlatformConns int `yaml:"platform_conns" validate:"min=3"`
	// SnapshotInterval is the longest time between snapshots of the state of jobs; it has
	// to be well below the log's retention.
	SnapshotInterval time.Duration `yaml:"snapshot_interval" validate:"min=1s"`
	// EndedKept is how long the outcome of a job stays known after its end.
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

func (s schedulerSettings) advertised() string {
	if s.Advertise != "" {
		return s.Advertise
	}
	return s.Listen
}

func (s schedulerSettings) logger() (out *os.File, format event.Format) {
	return os.Stderr, event.Format(s.LogFormat)
}
