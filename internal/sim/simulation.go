package sim

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"agatewinch/internal/core/dispatch"
	"agatewinch/internal/core/job"
	"agatewinch/internal/ledger"
	"agatewinch/internal/sharedlog"
)

// Faults are the probabilities and mean intervals of faults.
type Faults struct {
	// LostAnswer is the fraction of orders (starts and stops) that are executed but not
	// answered, and of probes that are lost.
	LostAnswer float64
	// Late is the fraction of orders that are executed late, by up to maxLateness, and not
	// answered.
	Late float64
	// Takeover is the mean time between takeovers of the leader role; zero means never.
	Takeover time.Duration
	// Crash is the mean time between crashes of workers; zero means never.
	Crash time.Duration
	// Slow is the mean time between spells in which a worker is several times slower; zero means never.
	Slow time.Duration
	// Partition is the mean time between partitions of workers; zero means never.
	Partition time.Duration
	// Evacuation is the mean time between evacuations of zones; zero means never.
	Evacuation time.Duration
}

// Delays, intervals and limits of the model.
const (
	callDelay          = 2 * time.Millisecond
	appendDelay        = 6 * time.Millisecond
	tickInterval       = 250 * time.Millisecond
	workerListInterval = 500 * time.Millisecond
	callTimeout        = time.Second
	maxLeaseTTL        = 10 * time.Second
	maxLateness        = 10 * time.Second
	restartDelay       = 2 * time.Second
	partitionDuration  = 6 * time.Second
	slowDuration       = 6 * time.Second
	slowFactor         = 5.0
)

// Simulation is the state of one simulation.
type Simulation struct {
	Settings dispatch.Settings
	Faults   Faults
	Workers  []*Worker
	// Violations lists the violated invariants.
	Violations []string

	rand         *rand.Rand
	now          time.Duration
	queue        events
	lastSeq      int
	ledger       *ledger.Ledger
	leader       *leader
	epoch        int64
	jobs         map[string]*simJob
	recordedDone map[string]bool
	gangs        map[string]*gangState
	// evacuated counts the evacuations of each zone that are in force.
	evacuated map[string]int
	// Wasted is the lost work of interrupted runs in core-seconds, with accelerators counted as
	// in job.Resources.Cores. It excludes the work of the runs that failed.
	Wasted float64
	// Lost is the lost work that the leader has counted, by cause.
	Lost map[string]float64
	// Probes counts the probes of workers, and Runs the runs that started.
	Probes, Runs int
}

// event is a call of f at a virtual time.
type event struct {
	at  time.Duration
	seq int
	f   func()
}

// events is a heap ordered by time, and by order of scheduling for equal times.
type events []event

func (q events) Len() int { return len(q) }
func (q events) Less(i, k int) bool {
	return q[i].at < q[k].at || q[i].at == q[k].at && q[i].seq < q[k].seq
}
func (q events) Swap(i, k int) { q[i], q[k] = q[k], q[i] }

// Push implements heap.Interface.
func (q *events) Push(x any) { *q = append(*q, x.(event)) }

// Pop implements heap.Interface.
func (q *events) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// leader is a process that holds the leader role, with its core and its epoch. fenced is set when
// another leader has taken over.
type leader struct {
	core      *dispatch.Core
	epoch     int64
	appending bool
	fenced    bool
	// wake is the last wake-up time of the core for which an event was scheduled.
	wake time.Duration
}

// simJob is a submitted job with its actual run times, by step and task, and its result. state is
// empty until the end of the job is recorded.
type simJob struct {
	job         *job.Job
	runTimes    [][]time.Duration
	class       *Class
	submittedAt time.Duration
	endedAt     time.Duration
	state       job.State
	cancelled   bool
	alwaysFails bool
	// flaky holds the tasks whose first run fails on any worker.
	flaky map[string]bool
}

// gangState holds the workers of the members of a gang that have started, by task index.
type gangState struct {
	run     int
	members map[int]*Worker
}

// New returns a simulation at time zero, without jobs.
func New(seed uint64, set dispatch.Settings, workers []*Worker) *Simulation {
	sim := &Simulation{
		Settings: set, Workers: workers, rand: rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15)),
		ledger: ledger.New(), jobs: map[string]*simJob{}, recordedDone: map[string]bool{}, Lost: map[string]float64{}, gangs: map[string]*gangState{}, evacuated: map[string]int{},
	}
	for _, w := range workers {
		w.startIncarnation(0)
	}
	return sim
}

// schedule adds an event that calls f after d.
func (sim *Simulation) schedule(d time.Duration, f func()) {
	sim.lastSeq++
	heap.Push(&sim.queue, event{sim.now + d, sim.lastSeq, f})
}

func (sim *Simulation) clock() dispatch.Now {
	return dispatch.Now{Mono: sim.now, UnixMs: sim.now.Milliseconds()}
}

// Run simulates until the given time.
func (sim *Simulation) Run(until time.Duration) {
	if sim.leader == nil {
		if sim.Faults.Evacuation > 0 {
			sim.assignZones()
		}
		sim.takeOver()
		sim.schedule(tickInterval, sim.tick)
		sim.schedule(workerListInterval, sim.updateWorkers)
		sim.scheduleFaults()
	}
	for len(sim.queue) > 0 && sim.queue[0].at <= until {
		e := heap.Pop(&sim.queue).(event)
		sim.now = e.at
		e.f()
		sim.drive()
	}
	sim.now = until
}

func (sim *Simulation) scheduleFaults() {
	if sim.Faults.Takeover > 0 {
		sim.schedule(sim.drawInterval(sim.Faults.Takeover), func() { sim.takeOver(); sim.repeat(sim.Faults.Takeover, sim.takeOver) })
	}
	if sim.Faults.Crash > 0 {
		sim.repeat(sim.Faults.Crash, sim.crash)
	}
	if sim.Faults.Slow > 0 {
		sim.repeat(sim.Faults.Slow, sim.slow)
	}
	if sim.Faults.Partition > 0 {
		sim.repeat(sim.Faults.Partition, sim.partition)
	}
	if sim.Faults.Evacuation > 0 {
		sim.repeat(sim.Faults.Evacuation, sim.evacuate)
	}
}

// repeat calls f again and again, at exponentially distributed intervals with the given mean.
func (sim *Simulation) repeat(mean time.Duration, f func()) {
	sim.schedule(sim.drawInterval(mean), func() { f(); sim.repeat(mean, f) })
}

func (sim *Simulation) drawInterval(mean time.Duration) time.Duration {
	return time.Duration(sim.rand.ExpFloat64() * float64(mean))
}

// takeOver makes a new leader start from the state in the log. Calls of the former leader
// that are in flight still reach their workers, which refuse them once they have seen the
// new epoch; the former leader itself gets no more events, and its append in flight has no
// effect.
func (sim *Simulation) takeOver() {
	sim.epoch++
	ldr := &leader{core: dispatch.New(sim.clock(), sim.Settings), epoch: sim.epoch}
	if sim.leader != nil {
		sim.leader.fenced = true
	}
	sim.ledger.TrackUpdates(true) // the new core gets all earlier jobs below
	ldr.core.SetWorkers(sim.clock(), sim.workerInfos())
	ldr.core.SetGuarantees(sim.guarantees())
	ldr.core.SetEvacuatedZones(sim.clock(), sim.evacuatedZones())
	sim.ledger.EachByArrival(func(id string, e *ledger.Entry) {
		switch {
		case e.Job == nil:
		case e.Ended != nil:
			ldr.core.AddEndedJob(sim.clock(), e.Job, e.Ended.State, e.Tasks)
		default:
			ldr.core.AddJob(sim.clock(), e.Job, e.Tasks)
			if e.Cancelled {
				ldr.core.CancelJob(sim.clock(), id)
			}
		}
	})
	sim.leader = ldr
}

func (sim *Simulation) guarantees() map[string]int64 {
	g := map[string]int64{}
	for i, n := range guaranteedAccelerators {
		g[organisation(i)] = n * int64(max(guaranteedOf, len(sim.Workers))) / guaranteedOf
	}
	return g
}

func (sim *Simulation) workerInfos() []dispatch.WorkerInfo {
	var list []dispatch.WorkerInfo
	for _, w := range sim.Workers {
		if !w.Down && !w.Partitioned {
			info := w.Info
			info.ClockMs = w.clockMs(sim.now)
			list = append(list, info)
		}
	}
	return list
}

func (sim *Simulation) tick() {
	sim.leader.core.Tick(sim.clock())
	sim.expireLeases()
	sim.schedule(tickInterval, sim.tick)
}

func (sim *Simulation) updateWorkers() {
	sim.leader.core.SetWorkers(sim.clock(), sim.workerInfos())
	sim.schedule(workerListInterval, sim.updateWorkers)
}

// drive passes new and cancelled jobs to the leader's core, sends the calls that the core
// returns, appends its batch and schedules its next wake-up.
func (sim *Simulation) drive() {
	ldr := sim.leader
	for _, id := range sim.ledger.TakeUpdated() {
		if e, ok := sim.ledger.Find(id); ok && e.Job != nil && e.Ended == nil {
			ldr.core.AddJob(sim.clock(), e.Job, nil)
			if e.Cancelled {
				ldr.core.CancelJob(sim.clock(), id)
			}
		}
	}
	actions := ldr.core.TakeActions(sim.clock())
	for _, loss := range actions.Losses {
		sim.Lost[loss.Cause] += loss.CoreSeconds
	}
	for _, s := range actions.Starts {
		sim.checkZone(s)
		sim.send(ldr, s.Worker, s.Incarnation, func(w *Worker) dispatch.Outcome { return sim.startRun(w, s, ldr.epoch) },
			func(o dispatch.Outcome) { ldr.core.StartAnswered(sim.clock(), s, o) })
	}
	for _, s := range actions.Stops {
		sim.send(ldr, s.Worker, s.Incarnation, func(w *Worker) dispatch.Outcome { return sim.stopRun(w, s, ldr.epoch) },
			func(o dispatch.Outcome) { ldr.core.StopAnswered(sim.clock(), s, o) })
	}
	for _, p := range actions.Probes {
		sim.probe(ldr, p)
	}
	sim.append(ldr)
	if at := ldr.core.Wake(); at > sim.now && at != ldr.wake {
		ldr.wake = at
		sim.schedule(at-sim.now, func() {}) // Run calls drive after every event
	}
}

// send sends an order, a start or a stop, to a worker. Depending on Faults, the answer may be
// lost or the order executed late.
func (sim *Simulation) send(ldr *leader, id string, incarnation int64, execute func(*Worker) dispatch.Outcome, answer func(dispatch.Outcome)) {
	reply := func(after time.Duration, o dispatch.Outcome) {
		sim.schedule(after, func() {
			if !ldr.fenced && o != dispatch.Fenced {
				answer(o)
			}
		})
	}
	w := sim.worker(id)
	if w == nil || w.Down || w.Partitioned {
		reply(callTimeout, dispatch.Unanswered)
		return
	}
	switch chance := sim.rand.Float64(); {
	case chance < sim.Faults.Late:
		late := time.Duration(sim.rand.Float64() * float64(maxLateness))
		sim.schedule(late, func() {
			if !w.Down && w.Info.Incarnation == incarnation {
				execute(w)
			}
		})
		reply(callTimeout, dispatch.Unanswered)
	case chance < sim.Faults.Late+sim.Faults.LostAnswer:
		sim.schedule(callDelay, func() { execute(w) })
		reply(callTimeout, dispatch.Unanswered)
	default:
		sim.schedule(callDelay, func() {
			if w.Down || w.Partitioned {
				reply(callTimeout, dispatch.Unanswered)
				return
			}
			reply(callDelay, execute(w))
		})
	}
}

func (sim *Simulation) worker(id string) *Worker {
	i := slices.IndexFunc(sim.Workers, func(w *Worker) bool { return w.Info.ID == id })
	if i < 0 {
		return nil
	}
	return sim.Workers[i]
}

func (sim *Simulation) addViolation(format string, args ...any) {
	sim.Violations = append(sim.Violations, fmt.Sprintf("%v: ", sim.now)+fmt.Sprintf(format, args...))
}

// append appends the open batch to the log, one batch at a time.
func (sim *Simulation) append(ldr *leader) {
	if ldr.appending {
		return
	}
	b := ldr.core.TakeBatch()
	if b == nil {
		return
	}
	ldr.appending = true
	sim.schedule(appendDelay, func() {
		if ldr.fenced {
			return
		}
		ldr.appending = false
		sim.applyBatch(b)
		ldr.core.Recorded(sim.clock(), b)
	})
}

func (sim *Simulation) applyBatch(b *dispatch.Batch) {
	var records []sharedlog.Record
	add := func(r sharedlog.Record, err error) {
		if err != nil {
			sim.addViolation("encode record: %v", err)
		}
		records = append(records, r)
	}
	for _, t := range b.Tasks {
		add(ledger.TaskRecord(t.ID, t.Record))
		if t.Record.Done {
			sim.recordedDone[t.ID.String()] = true
		}
	}
	for _, e := range b.Ends {
		add(ledger.EndRecord(e.ID, ledger.Ended{State: e.State, AtMs: e.AtMs}))
		if sj := sim.jobs[e.ID]; sj != nil {
			sj.state, sj.endedAt = e.State, sim.now
		}
	}
	for _, id := range b.Dropped {
		records = append(records, ledger.TaskTombstone(id))
	}
	if err := sim.ledger.Apply(records); err != nil {
		sim.addViolation("apply batch: %v", err)
	}
}

func (sim *Simulation) crash() {
	w := sim.Workers[sim.rand.IntN(len(sim.Workers))]
	if w.Down {
		return
	}
	for _, e := range sortedRuns(w.runs) {
		sim.countWaste(e)
		sim.memberLost(w, e)
	}
	w.Down = true
	w.runs = map[runKey]*execution{}
	sim.schedule(restartDelay, func() { w.Down = false; w.startIncarnation(sim.now) })
}

func (sim *Simulation) partition() {
	w := sim.Workers[sim.rand.IntN(len(sim.Workers))]
	w.Partitioned = true
	sim.schedule(partitionDuration, func() { w.Partitioned = false })
}

func (sim *Simulation) slow() {
	w := sim.Workers[sim.rand.IntN(len(sim.Workers))]
	sim.setSlowness(w, slowFactor)
	sim.schedule(slowDuration, func() { sim.setSlowness(w, 0) })
}

// sortedRuns returns the runs in a fixed order, so that a seed always gives the same simulation.
func sortedRuns(runs map[runKey]*execution) []*execution {
	list := make([]*execution, 0, len(runs))
	for _, e := range runs {
		list = append(list, e)
	}
	slices.SortFunc(list, func(a, b *execution) int {
		return cmp.Or(cmp.Compare(a.key.task, b.key.task), cmp.Compare(a.key.run, b.key.run))
	})
	return list
}
