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
	// LostAnswer is the fraction of orders that are executed but not answered, and of probes
	// that are lost.
	LostAnswer float64
	// Late is the fraction of orders that are executed late, by up to maxLateness, and not
	// answered.
	Late float64
	// Takeover is the mean time between leader changes; zero means never.
	Takeover time.Duration
	// Crash is the mean time between crashes of workers; zero means never.
	Crash time.Duration
	// Partition is the mean time between partitions of workers; zero means never.
	Partition time.Duration
}

// Delays, intervals and limits of the model.
const (
	callDelay          = 2 * time.Millisecond
	appendDelay        = 6 * time.Millisecond
	tickInterval       = 250 * time.Millisecond
	workerListInterval = 500 * time.Millisecond
	callTimeout        = time.Second
	maxLease           = 10 * time.Second
	maxLateness        = 10 * time.Second
	restartDelay       = 2 * time.Second
	partitionDuration  = 6 * time.Second
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
	// Wasted is the work in core-seconds of interrupted runs. It leaves out runs that failed by
	// themselves.
	Wasted float64
	// Probes counts the probes of workers, and Runs the runs that started.
	Probes, Runs int
}

type event struct {
	at  time.Duration
	seq int
	f   func()
}

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

// leader is the process that holds the leader role, with its core and its epoch.
type leader struct {
	core      *dispatch.Core
	epoch     int64
	appending bool
	fenced    bool
	// wake is the last wake-up time of the core for which an event was scheduled.
	wake time.Duration
}

// simJob is a submitted job with its actual run times, by step and task, and its result.
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

type gangState struct {
	run     int
	members map[int]*Worker
}

// New returns a simulation at time zero, without jobs.
func New(seed uint64, set dispatch.Settings, workers []*Worker) *Simulation {
	w := &Simulation{
		Settings: set, Workers: workers, rand: rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15)),
		ledger: ledger.New(), jobs: map[string]*simJob{}, recordedDone: map[string]bool{}, gangs: map[string]*gangState{},
	}
	for _, k := range workers {
		k.startIncarnation(0)
	}
	return w
}

func (w *Simulation) schedule(d time.Duration, f func()) {
	w.lastSeq++
	heap.Push(&w.queue, event{w.now + d, w.lastSeq, f})
}

func (w *Simulation) clock() dispatch.Now {
	return dispatch.Now{Mono: w.now, UnixMs: w.now.Milliseconds()}
}

// Run simulates until the given time.
func (w *Simulation) Run(until time.Duration) {
	if w.leader == nil {
		w.takeOver()
		w.schedule(tickInterval, w.tick)
		w.schedule(workerListInterval, w.updateWorkers)
		w.scheduleFaults()
	}
	for len(w.queue) > 0 && w.queue[0].at <= until {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.f()
		w.drive()
	}
	w.now = until
}

func (w *Simulation) scheduleFaults() {
	if w.Faults.Takeover > 0 {
		w.schedule(w.drawInterval(w.Faults.Takeover), func() { w.takeOver(); w.repeat(w.Faults.Takeover, w.takeOver) })
	}
	if w.Faults.Crash > 0 {
		w.repeat(w.Faults.Crash, w.crash)
	}
	if w.Faults.Partition > 0 {
		w.repeat(w.Faults.Partition, w.partition)
	}
}

func (w *Simulation) repeat(mean time.Duration, f func()) {
	w.schedule(w.drawInterval(mean), func() { f(); w.repeat(mean, f) })
}

func (w *Simulation) drawInterval(mean time.Duration) time.Duration {
	return time.Duration(w.rand.ExpFloat64() * float64(mean))
}

// takeOver makes a new leader start from the state in the log. Calls of the former leader
// that are in flight still reach their workers, which reject them once they have seen the
// new epoch; the former leader itself gets no more events.
func (w *Simulation) takeOver() {
	w.epoch++
	ldr := &leader{core: dispatch.New(w.clock(), w.Settings), epoch: w.epoch}
	if w.leader != nil {
		w.leader.fenced = true
	}
	w.ledger.TakeUpdated()
	ldr.core.SetWorkers(w.clock(), w.workerInfos())
	ldr.core.SetGuarantees(w.guarantees())
	w.ledger.EachByArrival(func(id string, e *ledger.Entry) {
		switch {
		case e.Job == nil:
		case e.Ended != nil:
			ldr.core.AddEndedJob(w.clock(), e.Job, e.Ended.State, e.Tasks)
		default:
			ldr.core.AddJob(w.clock(), e.Job, e.Tasks)
			if e.Cancelled {
				ldr.core.CancelJob(w.clock(), id)
			}
		}
	})
	w.leader = ldr
}

func (w *Simulation) guarantees() map[string]int64 {
	g := map[string]int64{}
	for i, n := range guaranteedAccelerators {
		g[organisation(i)] = n
	}
	return g
}

func (w *Simulation) workerInfos() []dispatch.WorkerInfo {
	var list []dispatch.WorkerInfo
	for _, k := range w.Workers {
		if !k.Down && !k.Partitioned {
			info := k.Info
			info.ClockMs = k.clockMs(w.now)
			list = append(list, info)
		}
	}
	return list
}

func (w *Simulation) tick() {
	w.leader.core.Tick(w.clock())
	w.expireLeases()
	w.schedule(tickInterval, w.tick)
}

func (w *Simulation) updateWorkers() {
	w.leader.core.SetWorkers(w.clock(), w.workerInfos())
	w.schedule(workerListInterval, w.updateWorkers)
}

// drive passes new jobs to the leader's core, sends the calls that the core returns and
// appends its batch.
func (w *Simulation) drive() {
	ldr := w.leader
	for _, id := range w.ledger.TakeUpdated() {
		if e, ok := w.ledger.Find(id); ok && e.Job != nil && e.Ended == nil {
			ldr.core.AddJob(w.clock(), e.Job, nil)
			if e.Cancelled {
				ldr.core.CancelJob(w.clock(), id)
			}
		}
	}
	actions := ldr.core.TakeActions(w.clock())
	for _, s := range actions.Starts {
		w.send(ldr, s.Worker, s.Incarnation, func(k *Worker) dispatch.Outcome { return w.startRun(k, s, ldr.epoch) },
			func(o dispatch.Outcome) { ldr.core.Started(w.clock(), s, o) })
	}
	for _, s := range actions.Stops {
		w.send(ldr, s.Worker, s.Incarnation, func(k *Worker) dispatch.Outcome { return w.stopRun(k, s, ldr.epoch) },
			func(o dispatch.Outcome) { ldr.core.Stopped(w.clock(), s, o) })
	}
	for _, p := range actions.Probes {
		w.probe(ldr, p)
	}
	w.append(ldr)
	if at := ldr.core.Wake(); at > w.now && at != ldr.wake {
		ldr.wake = at
		w.schedule(at-w.now, func() {})
	}
}

// send sends an order to a worker. Depending on w.Faults, the answer may be lost or the order
// executed late.
func (w *Simulation) send(ldr *leader, id string, incarnation int64, execute func(*Worker) dispatch.Outcome, answer func(dispatch.Outcome)) {
	reply := func(after time.Duration, o dispatch.Outcome) {
		w.schedule(after, func() {
			if !ldr.fenced && o != dispatch.Fenced {
				answer(o)
			}
		})
	}
	k := w.worker(id)
	if k == nil || k.Down || k.Partitioned {
		reply(callTimeout, dispatch.Unanswered)
		return
	}
	switch chance := w.rand.Float64(); {
	case chance < w.Faults.Late:
		late := time.Duration(w.rand.Float64() * float64(maxLateness))
		w.schedule(late, func() {
			if !k.Down && k.Info.Incarnation == incarnation {
				execute(k)
			}
		})
		reply(callTimeout, dispatch.Unanswered)
	case chance < w.Faults.Late+w.Faults.LostAnswer:
		w.schedule(callDelay, func() { execute(k) })
		reply(callTimeout, dispatch.Unanswered)
	default:
		w.schedule(callDelay, func() {
			if k.Down || k.Partitioned {
				reply(callTimeout, dispatch.Unanswered)
				return
			}
			reply(callDelay, execute(k))
		})
	}
}

func (w *Simulation) worker(id string) *Worker {
	i := slices.IndexFunc(w.Workers, func(k *Worker) bool { return k.Info.ID == id })
	if i < 0 {
		return nil
	}
	return w.Workers[i]
}

func (w *Simulation) addViolation(format string, args ...any) {
	w.Violations = append(w.Violations, fmt.Sprintf("%v: ", w.now)+fmt.Sprintf(format, args...))
}

// append appends the open batch to the log, one batch at a time.
func (w *Simulation) append(ldr *leader) {
	if ldr.appending {
		return
	}
	b := ldr.core.TakeBatch()
	if b == nil {
		return
	}
	ldr.appending = true
	w.schedule(appendDelay, func() {
		if ldr.fenced {
			return
		}
		ldr.appending = false
		w.applyBatch(b)
		ldr.core.Recorded(w.clock(), b)
	})
}

func (w *Simulation) applyBatch(b *dispatch.Batch) {
	var records []sharedlog.Record
	add := func(r sharedlog.Record, err error) {
		if err != nil {
			w.addViolation("encode record: %v", err)
		}
		records = append(records, r)
	}
	for _, t := range b.Tasks {
		add(ledger.TaskRecord(t.ID, t.Record))
		if t.Record.Done {
			w.recordedDone[t.ID.String()] = true
		}
	}
	for _, e := range b.Ends {
		add(ledger.EndRecord(e.ID, ledger.Ended{State: e.State, AtMs: e.AtMs}))
		if sj := w.jobs[e.ID]; sj != nil {
			sj.state, sj.endedAt = e.State, w.now
		}
	}
	for _, id := range b.Dropped {
		records = append(records, ledger.TaskTombstone(id))
	}
	if err := w.ledger.Apply(records); err != nil {
		w.addViolation("apply batch: %v", err)
	}
}

func (w *Simulation) crash() {
	k := w.Workers[w.rand.IntN(len(w.Workers))]
	if k.Down {
		return
	}
	for _, e := range sortedRuns(k.runs) {
		w.countWaste(e)
		w.memberLost(k, e)
	}
	k.Down = true
	k.runs = map[runKey]*execution{}
	w.schedule(restartDelay, func() { k.Down = false; k.startIncarnation(w.now) })
}

func (w *Simulation) partition() {
	k := w.Workers[w.rand.IntN(len(w.Workers))]
	k.Partitioned = true
	w.schedule(partitionDuration, func() { k.Partitioned = false })
}

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
