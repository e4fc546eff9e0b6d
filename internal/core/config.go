package core

import "time"

// Config is the part of an accepted configuration that the core uses. It is read-only.
type Config struct {
	Generation    Generation
	Organisations []Organisation
	Classes       []Class
	Workers       []Worker
}

// Organisation is a customer with guarantees and a quota.
type Organisation struct {
	ID OrgID
	// Weight scales the organisation's fair share; at least 1.
	Weight int
	// Quota bounds the accelerators of its running jobs in each zone; zero means no bound.
	Quota int
	// UrgentQuota bounds the accelerators of its running urgent jobs that take precedence
	// over other work; zero means its guarantee. Urgent jobs beyond it are ordered like
	// other jobs.
	UrgentQuota int
	// MaxQueued bounds its waiting jobs in each class; zero means Options.MaxQueued.
	MaxQueued  int
	Guarantees []Guarantee
}

// Guarantee is a number of cells of one size that an organisation can always reclaim.
type Guarantee struct {
	Zone     ZoneID
	Cells    int
	CellSize int
}

// Class is a category of jobs with a common priority and preemption behaviour.
type Class struct {
	Name ClassName
	// Urgent gives jobs precedence over others, within the urgent quota of their organisation.
	Urgent bool
	// Checkpoint is true when a task can be checkpointed, stopped and resumed.
	Checkpoint bool
	// Weight divides the usage charged to a caller for jobs of the class, and lets heavier
	// classes preempt lighter ones; at least 1.
	Weight int
}

// Worker is a configured machine that runs tasks.
type Worker struct {
	ID           WorkerID
	Zone         ZoneID
	Rack         RackID
	CPU          int
	MemoryBytes  int64
	Accelerators int
	Slots        int
}

// Policy selects how waiting jobs are ordered and placed.
type Policy string

// The selectable policies.
const (
	// PolicyFIFO places jobs in order of arrival by first fit, without backfill or preemption.
	PolicyFIFO Policy = "fifo"
	// PolicyGuaranteed enforces guarantees and fair shares.
	PolicyGuaranteed Policy = "guaranteed"
)

// Options are the core's fixed parameters.
type Options struct {
	Zone   ZoneID
	Policy Policy
	// LeaseTTL is the time for which a renewal extends the lease of a worker; zero means
	// defaultLeaseTTL.
	LeaseTTL time.Duration
	// ReserveTTL is the time after which a worker drops a reservation whose task was not started.
	ReserveTTL time.Duration
	// MaxQueued bounds the waiting jobs of each organisation and class; zero means
	// defaultMaxQueued.
	MaxQueued int
}
