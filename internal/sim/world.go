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

// Faults are the chances of what goes wrong with calls.
type Faults struct {
	// LostAnswer is the share of orders that are carried out and not answered.
	LostAnswer float64
	// Late is the share of orders that are carried out seconds later, unanswered.
	Late float64
	// Takeover is the mean time between changes of the decider; zero is never.
	Takeover time.Duration
	// Crash is the mean time between crashes of workers; zero is never.
	Crash time.Duration
	// CutTime is the mean time between cuts of workers; zero is never.
	CutTime time.Duration
}

// The delays of the model.
const (
	orderDelay   = 2 * time.Millisecond
	appendDelay  = 6 * time.Millisecond
	tickDelay    = 250 * time.Millisecond
	listDelay    = 500 * time.Millisecond
	answerLimit  = time.Second
	longestLease = 10 * time.Second
	latest       = 10 * time.Second
	restart      = 2 * time.Second
	cutLength    = 6 * time.Second
)

// World is one play.
type World struct {
	Settings dispatch.Settings
	Faults   Faults
	Workers  []*Worker
	// Broken lists what must never happen and did.
	Broken []string

	rand    *rand.Rand
	now     time.Duration
	queue   events
	order   int
	ledger  *ledger.Ledger
	decider *decider
	epoch   int64
	jobs    map[string]*played
	noted   map[string]bool
	gangs   map[string]*gangState
	// Wasted is the work in core-seconds that was thrown away.
	Wasted float64
	// Looks counts the looks at workers, and Runs the runs that began.
	Looks, Runs int
}

type event struct {
	at    time.Duration
	order int
	f     func()
}

type events []event

func (q events) Len() int { return len(q) }
func (q events) Less(i, k int) bool {
	return q[i].at < q[k].at || q[i].at == q[k].at && q[i].order < q[k].order
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

// decider is one holder of the deciding role.
type decider struct {
	core      *dispatch.Core
	epoch     int64
	appending bool
	fenced    bool
	// wake is when the core last asked to be driven.
	wake time.Duration
}

// played is one submitted job and what is true of it.
type played struct {
	job       *job.Job
	work      [][]time.Duration
	class     *Class
	at        time.Duration
	endedAt   time.Duration
	state     job.State
	cancelled bool
	poison    bool
	// flaky tasks fail in their first run by their own fault.
	flaky map[string]bool
}

type gangState struct {
	run     int
	members map[int]*Worker
}

// New returns a world that has not begun.
func New(seed uint64, set dispatch.Settings, workers []*Worker) *World {
	w := &World{
		Settings: set, Workers: workers, rand: rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15)),
		ledger: ledger.New(), jobs: map[string]*played{}, noted: map[string]bool{}, gangs: map[string]*gangState{},
	}
	for _, k := range workers {
		k.begin(0)
	}
	return w
}

func (w *World) at(d time.Duration, f func()) {
	w.order++
	heap.Push(&w.queue, event{w.now + d, w.order, f})
}

func (w *World) clock() dispatch.Now {
	return dispatch.Now{Mono: w.now, UnixMs: w.now.Milliseconds()}
}

// Run plays until the given time.
func (w *World) Run(until time.Duration) {
	if w.decider == nil {
		w.takeOver()
		w.at(tickDelay, w.tick)
		w.at(listDelay, w.list)
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

func (w *World) scheduleFaults() {
	if w.Faults.Takeover > 0 {
		w.at(w.wait(w.Faults.Takeover), func() { w.takeOver(); w.repeat(w.Faults.Takeover, w.takeOver) })
	}
	if w.Faults.Crash > 0 {
		w.repeat(w.Faults.Crash, w.crash)
	}
	if w.Faults.CutTime > 0 {
		w.repeat(w.Faults.CutTime, w.cut)
	}
}

func (w *World) repeat(mean time.Duration, f func()) {
	w.at(w.wait(mean), func() { f(); w.repeat(mean, f) })
}

func (w *World) wait(mean time.Duration) time.Duration {
	return time.Duration(w.rand.ExpFloat64() * float64(mean))
}

// takeOver lets a new decider begin from what the log holds. The former one goes on until
// it is refused.
func (w *World) takeOver() {
	w.epoch++
	d := &decider{core: dispatch.New(w.clock(), w.Settings), epoch: w.epoch}
	if w.decider != nil {
		w.decider.fenced = true
	}
	w.ledger.TakeAdded()
	d.core.SetWorkers(w.clock(), w.infos())
	d.core.SetGuarantees(w.guarantees())
	w.ledger.EachByArrival(func(id string, e *ledger.Entry) {
		switch {
		case e.Job == nil:
		case e.Ended != nil:
			d.core.AddEnded(w.clock(), e.Job, e.Ended.State, e.Tasks)
		default:
			d.core.AddJob(w.clock(), e.Job, e.Tasks)
			if e.Cancelled {
				d.core.CancelJob(w.clock(), id)
			}
		}
	})
	w.decider = d
}

func (w *World) guarantees() map[string]int64 {
	g := map[string]int64{}
	for i, n := range guaranteed {
		g[organisation(i)] = n
	}
	return g
}

func (w *World) infos() []dispatch.WorkerInfo {
	var list []dispatch.WorkerInfo
	for _, k := range w.Workers {
		if !k.Gone && !k.Cut {
			info := k.Info
			info.ClockMs = k.clockMs(w.now)
			list = append(list, info)
		}
	}
	return list
}

func (w *World) tick() {
	w.decider.core.Tick(w.clock())
	w.lapse()
	w.at(tickDelay, w.tick)
}

func (w *World) list() {
	w.decider.core.SetWorkers(w.clock(), w.infos())
	w.at(listDelay, w.list)
}

// drive carries out what the decider wants.
func (w *World) drive() {
	d := w.decider
	for _, id := range w.ledger.TakeAdded() {
		if e, ok := w.ledger.Find(id); ok && e.Job != nil && e.Ended == nil {
			d.core.AddJob(w.clock(), e.Job, nil)
			if e.Cancelled {
				d.core.CancelJob(w.clock(), id)
			}
		}
	}
	actions := d.core.TakeActions(w.clock())
	for _, s := range actions.Starts {
		w.send(d, s.Worker, s.Born, func(k *Worker) dispatch.Outcome { return w.start(k, s, d.epoch) },
			func(o dispatch.Outcome) { d.core.Started(w.clock(), s, o) })
	}
	for _, s := range actions.Stops {
		w.send(d, s.Worker, s.Born, func(k *Worker) dispatch.Outcome { return w.stop(k, s, d.epoch) },
			func(o dispatch.Outcome) { d.core.Stopped(w.clock(), s, o) })
	}
	for _, h := range actions.Holds {
		w.hold(d, h)
	}
	w.append(d)
	if at := d.core.Wake(); at > w.now && at != d.wake {
		d.wake = at
		w.at(at-w.now, func() {})
	}
}

// send makes an order: it may be lost, or be carried out late.
func (w *World) send(d *decider, id string, born int64, carryOut func(*Worker) dispatch.Outcome, answer func(dispatch.Outcome)) {
	reply := func(after time.Duration, o dispatch.Outcome) {
		w.at(after, func() {
			if !d.fenced && o != dispatch.Fenced {
				answer(o)
			}
		})
	}
	k := w.worker(id)
	if k == nil || k.Gone || k.Cut {
		reply(answerLimit, dispatch.Unanswered)
		return
	}
	switch chance := w.rand.Float64(); {
	case chance < w.Faults.Late:
		late := time.Duration(w.rand.Float64() * float64(latest))
		w.at(late, func() {
			if !k.Gone && k.Info.Born == born {
				carryOut(k)
			}
		})
		reply(answerLimit, dispatch.Unanswered)
	case chance < w.Faults.Late+w.Faults.LostAnswer:
		w.at(orderDelay, func() { carryOut(k) })
		reply(answerLimit, dispatch.Unanswered)
	default:
		w.at(orderDelay, func() {
			if k.Gone || k.Cut {
				reply(answerLimit, dispatch.Unanswered)
				return
			}
			reply(orderDelay, carryOut(k))
		})
	}
}

func (w *World) worker(id string) *Worker {
	i := slices.IndexFunc(w.Workers, func(k *Worker) bool { return k.Info.ID == id })
	if i < 0 {
		return nil
	}
	return w.Workers[i]
}

func (w *World) breakRule(format string, args ...any) {
	w.Broken = append(w.Broken, fmt.Sprintf("%v: ", w.now)+fmt.Sprintf(format, args...))
}

// append writes the open batch into the log.
func (w *World) append(d *decider) {
	if d.appending {
		return
	}
	b := d.core.TakeBatch()
	if b == nil {
		return
	}
	d.appending = true
	w.at(appendDelay, func() {
		if d.fenced {
			return
		}
		d.appending = false
		w.fold(b)
		d.core.Recorded(w.clock(), b)
	})
}

func (w *World) fold(b *dispatch.Batch) {
	var records []sharedlog.Record
	add := func(r sharedlog.Record, err error) {
		if err != nil {
			w.breakRule("record: %v", err)
		}
		records = append(records, r)
	}
	for _, t := range b.Tasks {
		add(ledger.TaskRecord(t.ID, t.Record))
		if t.Record.Done {
			w.noted[t.ID.String()] = true
		}
	}
	for _, e := range b.Ends {
		add(ledger.EndRecord(e.ID, ledger.Ended{State: e.State, AtMs: e.AtMs}))
		if p := w.jobs[e.ID]; p != nil {
			p.state, p.endedAt = e.State, w.now
		}
	}
	for _, id := range b.Dropped {
		records = append(records, ledger.DropTask(id))
	}
	if err := w.ledger.Apply(records); err != nil {
		w.breakRule("fold: %v", err)
	}
}

func (w *World) crash() {
	k := w.Workers[w.rand.IntN(len(w.Workers))]
	if k.Gone {
		return
	}
	for _, e := range sorted(k.runs) {
		w.waste(e)
		w.memberLost(k, e)
	}
	k.Gone = true
	k.runs = map[runKey]*execution{}
	w.at(restart, func() { k.Gone = false; k.begin(w.now) })
}

func (w *World) cut() {
	k := w.Workers[w.rand.IntN(len(w.Workers))]
	k.Cut = true
	w.at(cutLength, func() { k.Cut = false })
}

func sorted(runs map[runKey]*execution) []*execution {
	list := make([]*execution, 0, len(runs))
	for _, e := range runs {
		list = append(list, e)
	}
	slices.SortFunc(list, func(a, b *execution) int {
		return cmp.Or(cmp.Compare(a.key.task, b.key.task), cmp.Compare(a.key.run, b.key.run))
	})
	return list
}
