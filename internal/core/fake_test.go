package core

import (
	"fmt"
	"time"
)

// reporter is the part of testing.TB that the checks use.
type reporter interface {
	Fatalf(format string, args ...any)
}

// fakeTask is a task or reservation on a fake worker.
type fakeTask struct {
	ref     TaskRef
	cell    Cell
	job     Job
	started bool
}

// fakeCall is a call in transit to a fake worker. answered is true once its
// result has been reported to the core as unknown.
type fakeCall struct {
	action   Action
	answered bool
}

// fakeWorker executes calls in order. refused holds the tasks that it must not accept again.
type fakeWorker struct {
	id      WorkerID
	calls   []*fakeCall
	tasks   map[TaskRef]*fakeTask
	refused map[TaskRef]bool
	health  WorkerHealth
}

// jobRecord is what actually happened to a job on the fake workers.
type jobRecord struct {
	job Job
	// freshStarts counts the starts of each part that did not resume from a checkpoint.
	freshStarts map[int]int
	started     bool
	ended       int
	finished    map[int]bool
	// reportedNotRun is true once the core has reported that the job did not run.
	reportedNotRun bool
	outcome        *Outcome
}

// step is one recorded step of the core.
type step struct {
	at      Instant
	event   Event
	actions []Action
}

// fake drives a core against fake workers and checks every step.
type fake struct {
	t       reporter
	core    *Core
	now     Instant
	workers map[WorkerID]*fakeWorker
	order   []WorkerID
	jobs    map[JobID]*jobRecord
	ids     []JobID
	answers []Event
	history []step
	cfg     *Config
	// leaderChanged is true when tasks of a former leader may remain on the workers.
	leaderChanged bool
	// leaderSince is the index of the first step of the current leader.
	leaderSince int
	// loggedPlacements is the last recorded placement of each job.
	loggedPlacements map[JobID][]Placement
	// configuredAt is when the configuration last changed. Jobs placed before keep their
	// cells, so the checks of quotas and guarantees skip them.
	configuredAt Instant
}

func newFake(t reporter, opts Options, cfg *Config, m mutation) *fake {
	f := &fake{t: t, core: New(opts), workers: map[WorkerID]*fakeWorker{}, jobs: map[JobID]*jobRecord{}, cfg: cfg, loggedPlacements: map[JobID][]Placement{}}
	f.core.mutation = m
	f.step(ConfigChanged{Config: cfg})
	for _, w := range cfg.Workers {
		f.workers[w.ID] = &fakeWorker{id: w.ID, tasks: map[TaskRef]*fakeTask{}, refused: map[TaskRef]bool{}, health: WorkerLive}
		f.order = append(f.order, w.ID)
		f.step(TasksFound{Worker: w.ID})
		f.step(WorkerChanged{Worker: w.ID, Health: WorkerLive})
	}
	return f
}

// step passes one event to the core, handles its actions and checks the invariants.
func (f *fake) step(ev Event) {
	out := f.core.Step(f.now, ev)
	f.history = append(f.history, step{f.now, ev, out})
	for _, a := range out {
		f.handle(a)
	}
	f.check()
}

func (f *fake) handle(action Action) {
	switch a := action.(type) {
	case RecordPlacement:
		f.loggedPlacements[a.Job] = a.Placements
		f.answers = append(f.answers, PlacementRecorded{Job: a.Job, Attempt: a.Attempt, OK: true})
	case Reserve:
		f.call(a.Placement.Worker, a)
	case Start:
		f.checkGangReserved(a)
		f.call(a.Worker, a)
	case Release:
		f.call(a.Worker, a)
	case Stop:
		f.call(a.Worker, a)
	case Preempt:
		f.call(a.Worker, a)
	case JobRefused:
		f.jobs[a.Job].ended++
		f.jobs[a.Job].reportedNotRun = true
	case JobEnded:
		f.jobEnded(a)
	}
}

func (f *fake) call(id WorkerID, a Action) {
	w := f.workers[id]
	w.calls = append(w.calls, &fakeCall{action: a})
}

func (f *fake) submit(j Job) {
	j.Request = RequestID(j.ID)
	f.jobs[j.ID] = &jobRecord{job: j, freshStarts: map[int]int{}, finished: map[int]bool{}}
	f.ids = append(f.ids, j.ID)
	f.step(JobSubmitted{Job: j})
}

// deliver executes the next call of the worker. Unless answer is set, the result is
// reported to the core as unknown.
func (f *fake) deliver(w *fakeWorker, answer bool) {
	if len(w.calls) == 0 {
		return
	}
	c := w.calls[0]
	w.calls = w.calls[1:]
	ev := f.execute(w, c.action)
	if c.answered {
		return
	}
	if !answer {
		ev = unknown(ev)
	}
	f.answers = append(f.answers, ev)
}

// stall reports the result of the next unanswered call as unknown; the call takes effect later.
func (f *fake) stall(w *fakeWorker) {
	for _, c := range w.calls {
		if !c.answered {
			c.answered = true
			f.answers = append(f.answers, unknown(answerTo(c.action, CallUnknown)))
			return
		}
	}
}

// drop discards the next call of the worker: it never takes effect, and its result is
// reported as unknown.
func (f *fake) drop(w *fakeWorker) {
	if len(w.calls) == 0 {
		return
	}
	c := w.calls[0]
	w.calls = w.calls[1:]
	if !c.answered {
		f.answers = append(f.answers, unknown(answerTo(c.action, CallUnknown)))
	}
}

// repeatLate delivers an answer or report of an earlier step once more.
func (f *fake) repeatLate(i int) {
	switch ev := f.history[i].event.(type) {
	case ReserveDone, StartDone, StopDone, TaskEnded, TaskExpired, PlacementRecorded:
		f.step(ev)
	}
}

func answerTo(action Action, r CallResult) Event {
	switch a := action.(type) {
	case Reserve:
		return ReserveDone{Task: a.Placement.Task, Worker: a.Placement.Worker, Result: r, Reason: RefusedBusy}
	case Start:
		return StartDone{Task: a.Task, Worker: a.Worker, Result: r, Reason: RefusedUnknown}
	case Release:
		return StopDone{Task: a.Task, Worker: a.Worker, Result: r}
	case Stop:
		return StopDone{Task: a.Task, Worker: a.Worker, Result: r}
	case Preempt:
		return StopDone{Task: a.Task, Worker: a.Worker, Result: r}
	}
	return Tick{}
}

func unknown(ev Event) Event {
	switch e := ev.(type) {
	case ReserveDone:
		e.Result = CallUnknown
		return e
	case StartDone:
		e.Result = CallUnknown
		return e
	case StopDone:
		e.Result, e.Checkpointed = CallUnknown, false
		return e
	}
	return ev
}

func (f *fake) execute(w *fakeWorker, action Action) Event {
	switch a := action.(type) {
	case Reserve:
		return f.reserve(w, a)
	case Start:
		return f.start(w, a)
	case Release:
		return f.stop(w, a.Task, action, false)
	case Stop:
		return f.stop(w, a.Task, action, false)
	case Preempt:
		return f.stop(w, a.Task, action, true)
	}
	return Tick{}
}

func (f *fake) reserve(w *fakeWorker, a Reserve) Event {
	ref := a.Placement.Task
	if w.refused[ref] || w.health == WorkerLeaving {
		w.refused[ref] = true
		return answerTo(a, CallRefused)
	}
	for _, t := range w.tasks {
		if t.cell&a.Placement.Cell == 0 {
			continue
		}
		if !f.leaderChanged {
			f.t.Fatalf("two holders: tasks %v and %v share an accelerator of worker %s", t.ref, ref, w.id)
		}
		w.refused[ref] = true
		return answerTo(a, CallRefused)
	}
	w.tasks[ref] = &fakeTask{ref: ref, cell: a.Placement.Cell, job: a.Job}
	return answerTo(a, CallDone)
}

func (f *fake) start(w *fakeWorker, a Start) Event {
	t := w.tasks[a.Task]
	if t == nil {
		return answerTo(a, CallRefused)
	}
	if t.started {
		return answerTo(a, CallDone)
	}
	t.started = true
	rec := f.jobs[a.Task.Job]
	rec.started = true
	if rec.reportedNotRun {
		f.t.Fatalf("false not-run: job %s started after it was reported as not run", a.Task.Job)
	}
	if !a.Resume {
		rec.freshStarts[a.Task.Index]++
	}
	if !rec.job.Idempotent && rec.freshStarts[a.Task.Index] > 1 {
		f.t.Fatalf("duplicate run: a part of the non-idempotent job %s started twice without a checkpoint", a.Task.Job)
	}
	return answerTo(a, CallDone)
}

func (f *fake) stop(w *fakeWorker, ref TaskRef, a Action, checkpoint bool) Event {
	t := w.tasks[ref]
	delete(w.tasks, ref)
	w.refused[ref] = true
	ev := answerTo(a, CallDone).(StopDone)
	ev.Checkpointed = checkpoint && t != nil && t.started
	return ev
}

// end ends a started task on its worker.
func (f *fake) end(w *fakeWorker, ref TaskRef, ok bool) {
	t := w.tasks[ref]
	delete(w.tasks, ref)
	w.refused[ref] = true
	if ok {
		f.jobs[ref.Job].finished[ref.Index] = true
	}
	out := fmt.Sprintf("%s/%d", ref.Job, ref.Index)
	f.answers = append(f.answers, TaskEnded{Task: t.ref, Worker: w.id, OK: ok, Output: []byte(out), Ran: time.Second})
}

// expire makes the worker drop a task because its lease expired.
func (f *fake) expire(w *fakeWorker, ref TaskRef) {
	t := w.tasks[ref]
	delete(w.tasks, ref)
	w.refused[ref] = true
	f.answers = append(f.answers, TaskExpired{Task: ref, Worker: w.id, Started: t.started})
}

// loseWorker ends all tasks of the worker and reports it to the core as gone.
func (f *fake) loseWorker(w *fakeWorker) {
	for ref := range w.tasks {
		w.refused[ref] = true
	}
	w.tasks = map[TaskRef]*fakeTask{}
	for _, c := range w.calls {
		if r, ok := c.action.(Reserve); ok {
			w.refused[r.Placement.Task] = true
		}
	}
	w.health = WorkerGone
	f.step(WorkerChanged{Worker: w.id, Health: WorkerGone})
}

func (f *fake) answer(i int, twice bool) {
	ev := f.answers[i]
	f.answers = append(f.answers[:i:i], f.answers[i+1:]...)
	f.step(ev)
	if twice {
		f.step(ev)
	}
}

// runToCompletion makes all workers live, and delivers calls and ends tasks until no job is left.
func (f *fake) runToCompletion() {
	f.reviveAll()
	for range 400 {
		f.drain(true)
		f.now = f.now.Add(2 * time.Second)
		f.step(Tick{})
		if len(f.core.jobs) == 0 {
			return
		}
	}
	for _, j := range f.core.jobs {
		ex, _ := f.core.Explain(j.ID)
		f.t.Fatalf("job %s has not ended: %+v", j.ID, ex)
	}
}

func (f *fake) reviveAll() {
	for _, id := range f.order {
		f.workers[id].health = WorkerLive
		f.step(WorkerChanged{Worker: id, Health: WorkerLive})
	}
}

// drain delivers every call and answer. If end is set, running tasks succeed.
func (f *fake) drain(end bool) {
	for range 200 {
		for _, id := range f.order {
			w := f.workers[id]
			for len(w.calls) > 0 {
				f.deliver(w, true)
			}
			for _, ref := range w.startedRefs() {
				if end {
					f.end(w, ref, true)
				}
			}
		}
		if len(f.answers) == 0 {
			return
		}
		for len(f.answers) > 0 {
			f.answer(0, false)
		}
	}
}

// startedRefs returns the started tasks in a fixed order.
func (w *fakeWorker) startedRefs() []TaskRef { return w.refs(true) }

// refs returns the tasks, or only the started ones, in a fixed order.
func (w *fakeWorker) refs(started bool) []TaskRef {
	var refs []TaskRef
	for ref, t := range w.tasks {
		if t.started || !started {
			refs = append(refs, ref)
		}
	}
	sortRefs(refs)
	return refs
}
