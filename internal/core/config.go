package core

import "time"

// Config is the accepted configuration as the core sees it. It is read-only.
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
	// Quota bounds the accelerators of all its running jobs in each zone; zero means no bound.
	Quota int
	// UrgentQuota bounds the accelerators of its running urgent jobs that go before other
	// work; zero means its guarantee. Urgent jobs beyond it take their turn.
	UrgentQuota int
	// MaxQueued bounds its waiting jobs in each class; zero means the default.
	MaxQueued  int
	Guarantees []Guarantee
}

// Guarantee is a count of cells of one size that an organisation can always reclaim.
type Guarantee struct {
	Zone     ZoneID
	Cells    int
	CellSize int
}

// Class is a class of work.
type Class struct {
	Name ClassName
	// Urgent work starts before other work, within its organisation's urgent quota.
	Urgent bool
	// Checkpoint is true when a task can be checkpointed, stopped and resumed.
	Checkpoint bool
	// Weight scales the class inside its organisation; at least 1.
	Weight int
}

// Worker is a machine of the configuration.
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
	// PolicyFIFO is first come, first fit, without backfill or preemption.
	PolicyFIFO Policy = "fifo"
	// PolicyGuaranteed honours guarantees and fair shares.
	PolicyGuaranteed Policy = "guaranteed"
)

// Options are the core's fixed parameters.
type Options struct {
	Zone   ZoneID
	Policy Policy
	// LeaseTTL is the life of a worker's lease after a renewal.
	LeaseTTL time.Duration
	// ReserveTTL is the life of a reservation that was not started.
	ReserveTTL time.Duration
	// MaxQueued bounds waiting jobs for each organisation and class.
	MaxQueued int
}
