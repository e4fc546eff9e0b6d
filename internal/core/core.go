package core

import "agatewinch/internal/core/estimate"

// Core is the scheduling state machine of one zone. It is not safe for concurrent use.
type Core struct {
	opts    Options
	cfg     *Config
	workers map[WorkerID]*worker
	// ordered holds the configured workers, sorted by ID.
	ordered []*worker
	racks   []*rack
	// total is the sum of the resources of the configured workers.
	total resources
	// binding holds the guaranteed cells of the zone with their configured locations.
	binding []boundCell
	orgs    map[OrgID]*org
	// orgOrder holds the organisations, sorted by ID.
	orgOrder  []*org
	jobs      map[JobID]*job
	tasks     map[taskKey]*task
	restoring []*job
	classes   map[ClassName]Class
	// maxWidth is the largest number of accelerators on one worker of the zone.
	maxWidth int
	// usageEpoch is the instant to which the decayed usage sums refer.
	usageEpoch Instant
	// displaced counts the guaranteed cells that are not bound to their configured location.
	displaced   int
	queue       queue
	claims      []*job
	head        *headReservation
	timers      timerHeap
	timerSeq    uint64
	jobSeq      uint64
	capacityLog capacityLog
	// usageWeight is the weight of usage that is added in this step, relative to usage added
	// at the epoch.
	usageWeight float64
	// usableWorkers holds the workers that take new tasks; acceleratorWorkers holds those of
	// them that have accelerators.
	usableWorkers      []*worker
	acceleratorWorkers []*worker
	estimates          map[estimateKey]*estimate.Ratio
	// placedByWeight counts the placed jobs by the weight of their class.
	placedByWeight map[int]int
	orphanOutcomes orphanOutcomes
	actions        []Action
	mutation       mutation
}

// New returns a core without workers or jobs.
func New(opts Options) *Core {
	return &Core{
		opts:        opts.withDefaults(),
		workers:     map[WorkerID]*worker{},
		orgs:        map[OrgID]*org{},
		jobs:        map[JobID]*job{},
		tasks:       map[taskKey]*task{},
		estimates:   map[estimateKey]*estimate.Ratio{},
		classes:     map[ClassName]Class{},
		capacityLog: capacityLog{version: 1},

		placedByWeight: map[int]int{},
	}
}

// Step applies one event, runs the timers that are due and schedules waiting jobs. It
// returns the actions to execute. now must not decrease from one call to the next.
func (c *Core) Step(now Instant, ev Event) []Action {
	c.actions = nil
	c.rebaseUsage(now)
	c.usageWeight = c.usageWeightAt(now)
	c.apply(now, ev)
	c.runTimers(now)
	c.schedule(now)
	return c.actions
}

func (c *Core) apply(now Instant, ev Event) {
	switch e := ev.(type) {
	case ConfigChanged:
		c.configure(now, e.Config)
	case WorkerChanged:
		c.workerChanged(now, e)
	case JobSubmitted:
		c.submit(now, e.Job)
	case JobRestored:
		c.restore(now, e)
	case TasksFound:
		c.tasksFound(now, e)
	case JobCancelled:
		c.cancel(now, e.Job)
	case ReserveDone:
		c.reserveDone(now, e)
	case StartDone:
		c.startDone(now, e)
	case StopDone:
		c.stopDone(now, e)
	case TaskEnded:
		c.taskEnded(now, e)
	case TaskExpired:
		c.taskExpired(now, e)
	case UsageReported:
		c.usageReported(now, e)
	case PlacementRecorded:
		c.placementRecorded(now, e)
	}
}

func (c *Core) emit(a Action) { c.actions = append(c.actions, a) }

// mutation disables one mechanism for mutation tests; only tests set it.
type mutation int

const (
	mutationNone mutation = iota
	// mutationNoReclaim never evicts a borrower to give an owner its guaranteed cells.
	mutationNoReclaim
	// mutationNoProtection lets jobs that cannot be preempted take reclaimable cells.
	mutationNoProtection
	// mutationNoAttemptCheck matches answers to the current tasks of a job, whatever their attempt.
	mutationNoAttemptCheck
	// mutationNoReserve starts tasks before all reservations of the gang are confirmed.
	mutationNoReserve
	// mutationNoStopConfirmation treats an unanswered stop as a confirmed one.
	mutationNoStopConfirmation
)
