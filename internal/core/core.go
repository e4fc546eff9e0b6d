package core

// Core is the deciding state of one zone. It is not safe for concurrent use.
type Core struct {
	opts    Options
	cfg     *Config
	workers map[WorkerID]*worker
	// ordered is the configured workers in order of their IDs.
	ordered []*worker
	racks   []*rack
	total   resources
	binding []boundCell
	orgs    map[OrgID]*org
	// orgOrder is the organisations in order of their IDs.
	orgOrder  []*org
	jobs      map[JobID]*job
	tasks     map[taskKey]*task
	restoring []*job
	classes   map[ClassName]Class
	// width is the accelerators of the zone's widest worker.
	width int
	// epoch is the instant at which the usage sums have their own weight.
	epoch Instant
	// displaced counts the guaranteed cells that are not at home.
	displaced int
	queue     queue
	claims    []*job
	head      *reservation
	timers    timerHeap
	timerSeq  uint64
	jobSeq    uint64
	changes   changes
	growing   float64
	// live is the workers that take new tasks, and accelerated those of them with accelerators.
	live        []*worker
	accelerated []*worker
	estimates   map[estimateKey]*estimate
	// placedByWeight counts the placed jobs by their class's weight.
	placedByWeight map[int]int
	unclaimed      unclaimed
	out            []Action
	mutation       mutation
}

// New returns a core without workers or jobs.
func New(opts Options) *Core {
	return &Core{
		opts:      opts.withDefaults(),
		workers:   map[WorkerID]*worker{},
		orgs:      map[OrgID]*org{},
		jobs:      map[JobID]*job{},
		tasks:     map[taskKey]*task{},
		estimates: map[estimateKey]*estimate{},
		classes:   map[ClassName]Class{},
		changes:   changes{version: 1},

		placedByWeight: map[int]int{},
	}
}

// Step applies one event and returns the actions to carry out. Instants never go back.
func (c *Core) Step(now Instant, ev Event) []Action {
	c.out = nil
	c.rebase(now)
	c.growing = c.growth(now)
	c.apply(now, ev)
	c.runTimers(now)
	c.schedule(now)
	return c.out
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
	case TaskLapsed:
		c.taskLapsed(now, e)
	case UsageReported:
		c.usageReported(now, e)
	case PlacementRecorded:
		c.placementRecorded(now, e)
	}
}

func (c *Core) emit(a Action) { c.out = append(c.out, a) }

// mutation switches one mechanism off; only tests set it.
type mutation int

const (
	mutationNone mutation = iota
	// mutationNoReclaim never evicts a borrower for an owner.
	mutationNoReclaim
	// mutationNoProtection lets jobs that cannot be stopped take reclaimable cells.
	mutationNoProtection
	// mutationNoAttempt matches answers to a job's present tasks whatever their attempt.
	mutationNoAttempt
	// mutationNoReserve starts each task without waiting for the gang's reservations.
	mutationNoReserve
	// mutationNoProof takes an unanswered stop for a proof.
	mutationNoProof
)
