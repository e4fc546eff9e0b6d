// Package entry is the process of an entry host: it answers callers from the folded log,
// and, while it holds the deciding role, it runs the core that places their jobs.
package entry

import (
	"context"
	"time"

	"agatewinch/internal/catalog"
	"agatewinch/internal/core/dispatch"
	"agatewinch/internal/core/job"
	"agatewinch/internal/errkind"
)

// Settings is what a host has to know.
type Settings struct {
	// Host is the host's name, IP its address and Zone its availability zone.
	Host, IP, Zone string
	// Listen and ReadyListen are the addresses for callers and for the balancer.
	Listen, ReadyListen string
	// PeerListen is where other hosts reach this one, and Seeds are where some of them may
	// be reached before the log has been read.
	PeerListen string
	Seeds      []string
	// FirstPort and LastPort are free for the system's own processes.
	FirstPort, LastPort int
	// Grace is the time between a request to stop and the end of the process.
	Grace time.Duration
	// ApplyWithin is how soon a configuration has to be in force, and ApplyStretch what
	// is added while the log cannot be reached by all.
	ApplyWithin, ApplyStretch time.Duration
	// MaxLease is the longest lease that workers grant.
	MaxLease time.Duration
	// StopTime is how long a worker takes to stop a run, at most.
	StopTime time.Duration
	// Beat is how often a worker writes its entry.
	Beat time.Duration
	// UpkeepTime is how long a machine's upkeep takes.
	UpkeepTime time.Duration
	// KeepEnded is how long an ended job has to be shown.
	KeepEnded time.Duration
	// SpreadFactor is how much slower work is away from its rack.
	SpreadFactor float64
	// Cores is the share of a core that the process may use.
	Cores float64
	// MemoryMB is the memory of the process.
	MemoryMB int64
}

// Service is what callers can ask for.
type Service interface {
	// Catalog returns what is in force, or an error while that is not known.
	Catalog() (*catalog.Catalog, error)
	// Submit returns nil once the job is in the log.
	Submit(ctx context.Context, q *catalog.Queue, org string, j *job.Job) error
	// State returns what is known of a job.
	State(ctx context.Context, q *catalog.Queue, org, id string) (job.State, error)
	// Cancel returns nil once the cancellation is in the log.
	Cancel(ctx context.Context, q *catalog.Queue, org, id string) error
	// Waiting counts a queue's jobs of which no task has begun.
	Waiting(ctx context.Context, q *catalog.Queue) (int, error)
	// Behind reports whether what is known of jobs may be old: the log cannot be read.
	Behind() bool
	// Draining reports whether the host is stopping.
	Draining() bool
	// Refused is told of each request that fails.
	Refused(method, path string, status int, err *errkind.Error)
}

// Workers carries out orders.
type Workers interface {
	Start(ctx context.Context, s dispatch.Start, epoch int64) dispatch.Outcome
	Stop(ctx context.Context, s dispatch.Stop, epoch int64) dispatch.Outcome
	Hold(ctx context.Context, h dispatch.Hold, epoch int64) (dispatch.Report, dispatch.Outcome)
	Pace(ctx context.Context, p dispatch.Pace, epoch int64) dispatch.Outcome
}

// Advisor asks the operators' advisory service.
type Advisor interface {
	// Advise returns a ticket for each of the workers that may run the step.
	Advise(ctx context.Context, a dispatch.Ask) ([]dispatch.Ticket, error)
}

// Fleet lists and services the machines that workers run on.
type Fleet interface {
	Machines(ctx context.Context) ([]dispatch.Machine, error)
	Upkeep(ctx context.Context, u dispatch.Upkeep, epoch int64) dispatch.Outcome
	// Report tells the operators how far a wave is, and Finished returns those that were
	// reported as done.
	Report(ctx context.Context, r dispatch.WaveReport) error
	Finished(ctx context.Context) (map[int64]bool, error)
}

// WorkerList follows the platform's list of workers.
type WorkerList interface {
	List(ctx context.Context) ([]dispatch.WorkerInfo, error)
}

// Successors finds a host that takes the deciding role over from one that cannot write.
type Successors interface {
	// AskSuccessor reports whether a peer will claim the role.
	AskSuccessor(ctx context.Context, epoch int64, holder string) bool
}

// CatalogSource follows the operators' configuration. It returns nil if nothing changed.
type CatalogSource interface {
	Next(ctx context.Context, wait time.Duration) (*catalog.Catalog, error)
}

const (
	// readWait is how long a read of the log waits for a record. A connection that has
	// gone silent is noticed only after it, and a cancellation has to reach the decider
	// within three seconds.
	readWait = 1500 * time.Millisecond
	// stateGather and jobsGather let records come together on a host that does not decide:
	// each read is priced, and there are many hosts. A caller's question ends a pause, and
	// one about an unknown job reads for itself; counts may be two seconds old. The pause of
	// the state is shorter, since the holder's silence is measured by it.
	stateGather = 250 * time.Millisecond
	jobsGather  = time.Second
	// stateWait is how long a caller's question waits for a change of its job: several
	// times what an end takes from the worker through the log.
	stateWait = 100 * time.Millisecond
	// shortWait is how long a read waits that may have missed a record: several times what
	// the log takes for an append.
	shortWait = 25 * time.Millisecond
	// catalogWait is shorter, since the configuration has to be in force in two seconds.
	catalogWait = time.Second
	// retryFirst and retryMax space the calls to a log that does not answer.
	retryFirst = 50 * time.Millisecond
	retryMax   = 500 * time.Millisecond
	// probeTimeout bounds a read of a log that did not answer the last one: many times its
	// usual answer time, and over twice its answer time when it is slow.
	probeTimeout = 600 * time.Millisecond
	// refusedTime is how long a refused read counts as a sign that appends fail too: two
	// of the pauses between reads.
	refusedTime = 2 * retryMax
	// readyAge is how old the last answer of the log may be on a host that is ready.
	readyAge = 4 * time.Second
)
