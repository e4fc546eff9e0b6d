// Package entry implements an entry host. Every host answers callers from the state that it
// has read from the shared log. The host that holds the leader role also runs the scheduling
// core, package dispatch, which places jobs on workers. Each leader has a higher epoch than the
// one before it; packages scheduler and election call the epoch a term.
package entry

import (
	"context"
	"errors"
	"time"

	"agatewinch/internal/catalog"
	"agatewinch/internal/core/dispatch"
	"agatewinch/internal/core/job"
	"agatewinch/internal/errkind"
)

// Settings configures a Host.
type Settings struct {
	// Host is the host's name, IP its address and Zone its availability zone.
	Host, IP, Zone string
	// Listen is the address that serves callers, ReadyListen the one that serves the load
	// balancer's readiness checks.
	Listen, ReadyListen string
	// PeerListen is the address at which other hosts reach this one. Seeds are addresses of
	// peers to use before any have been read from the log.
	PeerListen string
	Seeds      []string
	// FirstPort and LastPort bound the ports reserved for the system's own processes.
	FirstPort, LastPort int
	// ShutdownGrace is the time allowed for a graceful shutdown, from the request to stop to the end
	// of the process.
	ShutdownGrace time.Duration
	// ConfigApplyTime is how soon a new configuration has to be in force, and EvacuationTime how soon after
	// the operators' request nothing may start in an evacuated zone; it is zero where zones are not
	// evacuated. ConfigApplyExtension extends both while some hosts cannot reach the log.
	ConfigApplyTime, EvacuationTime, ConfigApplyExtension time.Duration
	// MaxLeaseTTL is the longest TTL of a lease that workers grant.
	MaxLeaseTTL time.Duration
	// MaxStopTime is the longest time a worker takes to stop a run.
	MaxStopTime time.Duration
	// RestoreTime is how long a run takes to resume from a checkpoint.
	RestoreTime time.Duration
	// HeartbeatInterval is how often a worker rewrites its entry in the list of workers.
	HeartbeatInterval time.Duration
	// UpkeepTime is how long the upkeep of one machine takes.
	UpkeepTime time.Duration
	// EndedRetention is how long the state of an ended job has to remain available to callers.
	EndedRetention time.Duration
	// SpreadFactor is how many times longer a task takes outside the rack with its data, or in a
	// gang that is spread over several racks.
	SpreadFactor float64
	// Cores is the number of processor cores that the process may use; it may be fractional.
	Cores float64
	// MemoryMB is the memory of the process in megabytes.
	MemoryMB int64
}

// Service is the interface behind the API for callers.
type Service interface {
	// Catalog returns the configuration in force, or an error if this host does not know it.
	Catalog() (*catalog.Catalog, error)
	// Submit records a job. It returns nil once the job is in the log.
	Submit(ctx context.Context, q *catalog.Queue, org string, j *job.Job) error
	// State returns the state of a job as callers see it.
	State(ctx context.Context, q *catalog.Queue, org, id string) (job.State, error)
	// Cancel cancels a job. It returns nil if the job has ended already, or once the
	// cancellation is in the log.
	Cancel(ctx context.Context, q *catalog.Queue, org, id string) error
	// Waiting returns the number of a queue's pending jobs.
	Waiting(ctx context.Context, q *catalog.Queue) (int, error)
	// Stale reports whether the known state of jobs may be stale: the log cannot be read, or
	// has not been read to its end since the host started.
	Stale() bool
	// Draining reports whether the host is shutting down.
	Draining() bool
	// RecordError logs and counts a request that was answered with an error.
	RecordError(method, path string, status int, err *errkind.Error)
}

// Workers sends calls to workers. Each call carries the epoch of the leader as a fencing
// token.
type Workers interface {
	Start(ctx context.Context, s dispatch.Start, epoch int64) dispatch.Outcome
	Stop(ctx context.Context, s dispatch.Stop, epoch int64) dispatch.Outcome
	Probe(ctx context.Context, p dispatch.Probe, epoch int64) (dispatch.WorkerReport, dispatch.Outcome)
	Pace(ctx context.Context, p dispatch.Pace, epoch int64) dispatch.Outcome
}

// Advisor calls the operators' advisory service.
type Advisor interface {
	// Advise returns a ticket for each of the workers that may run the step.
	Advise(ctx context.Context, a dispatch.AdviceRequest) ([]dispatch.Ticket, error)
}

// Fleet lists the machines that workers run on and starts their upkeep.
type Fleet interface {
	Machines(ctx context.Context) ([]dispatch.Machine, error)
	Upkeep(ctx context.Context, u dispatch.Upkeep, epoch int64) dispatch.Outcome
	// Report reports the progress of an upkeep wave to the operators. Finished returns the
	// numbers of the waves that were reported as done.
	Report(ctx context.Context, r dispatch.WaveReport) error
	Finished(ctx context.Context) (map[int64]bool, error)
}

// WorkerList reads the platform's list of workers.
type WorkerList interface {
	List(ctx context.Context) ([]dispatch.WorkerInfo, error)
}

// Successors finds a host to take over the leader role from a leader that cannot append to
// the log.
type Successors interface {
	// AskSuccessor asks peers to claim the role and reports whether one has agreed.
	AskSuccessor(ctx context.Context, epoch int64, holder string) bool
}

// CatalogSource watches what operators request: their configuration and the zones that they evacuate.
type CatalogSource interface {
	// Next waits up to wait for a new version of the configuration, or another request, and returns nil
	// if there is no new version. An error that wraps ErrCatalogUnreadable means that the source has
	// answered, but the newest version cannot be used.
	Next(ctx context.Context, wait time.Duration) (*catalog.Catalog, error)
	// EvacuatedZones returns the zones that were evacuated when the source last answered a call of Next.
	EvacuatedZones() []string
}

// ErrCatalogUnreadable means that the newest version of the configuration cannot be decoded.
var ErrCatalogUnreadable = errors.New("the newest configuration is unreadable")

const (
	// readWait is how long a read of the log waits for a record. A connection that no longer
	// answers is noticed only after this time, and a cancellation has to reach the leader
	// within three seconds.
	readWait = 1500 * time.Millisecond
	// stateBatchDelay and jobsBatchDelay are the pauses between reads on a host that is not
	// the leader, so that one read returns several records: each read is billed, and there
	// are many hosts. A caller's query about a job ends the pause of the state topic, and a
	// query about an unknown job reads the job topics itself; the number of pending jobs may be
	// two seconds old. The pause for the state topic is shorter because a failed leader is
	// detected by the absence of new records there.
	stateBatchDelay = 250 * time.Millisecond
	jobsBatchDelay  = time.Second
	// jobChangeWait is how long a caller's query waits for a change of the job's state: several
	// times the usual delay from the end of a job on the worker to its record in the log.
	jobChangeWait = 100 * time.Millisecond
	// shortReadWait is how long a read waits if it may miss a record that is being appended
	// when it reaches the log: several times the latency of an append.
	shortReadWait = 25 * time.Millisecond
	// catalogWait is shorter than readWait because a configuration has to be in force within
	// two seconds.
	catalogWait = time.Second
	// minRetryDelay and maxRetryDelay bound the backoff between calls to a log that does not answer.
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 500 * time.Millisecond
	// lostReadTimeout bounds a read of a topic whose last read failed: many times the log's
	// usual latency, and over twice its latency when it is slow.
	lostReadTimeout = 600 * time.Millisecond
	// failedReadWindow is how long after a failed read appends are expected to fail too: two of
	// the longest delays between retries.
	failedReadWindow = 2 * maxRetryDelay
	// maxReadyLogAge is how old the log's last answer may be on a host that reports ready.
	maxReadyLogAge = 4 * time.Second
)
