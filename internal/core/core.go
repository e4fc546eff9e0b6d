package core

import (
	"fmt"
	"sort"

	"agatewinch/internal/errkind"
)

// Core is the deciding state of one zone. It is not safe for concurrent use.
type Core struct {
	opts    Options
	cfg     *Config
	workers map[WorkerID]*worker
	jobs    map[JobID]*job
	queue   []*job
	out     []Action
}

type worker struct {
	def    Worker
	health WorkerHealth
	used   Cell
	cpu    int
	memory int64
	slots  int
}

type job struct {
	Job
	state   JobState
	arrived Instant
	attempt int
	tasks   []*task
	outcome *Outcome
	reason  string
	short   []Shortage
}

type taskState int

const (
	taskReserving taskState = iota
	taskReserved
	taskStarting
	taskRunning
	taskStopping
	taskDone
	taskGone
)

type task struct {
	Placement
	state  taskState
	output []byte
}

// New returns a core without workers or jobs.
func New(opts Options) *Core {
	return &Core{opts: opts, workers: map[WorkerID]*worker{}, jobs: map[JobID]*job{}}
}

// Step applies one event and returns the actions to carry out.
func (c *Core) Step(now Instant, ev Event) []Action {
	c.out = nil
	switch e := ev.(type) {
	case ConfigChanged:
		c.configure(e.Config)
	case WorkerChanged:
		c.workerChanged(e)
	case JobSubmitted:
		c.submit(now, e.Job)
	case JobCancelled:
		c.cancel(e.Job)
	case ReserveDone:
		c.reserveDone(e)
	case StartDone:
		c.startDone(e)
	case StopDone:
		c.stopDone(e.Task, e.Result)
	case TaskEnded:
		c.taskEnded(e)
	case TaskLapsed:
		c.taskLapsed(e)
	case PlacementRecorded:
		c.placementRecorded(e)
	}
	c.expire(now)
	c.schedule()
	return c.out
}

func (c *Core) emit(a Action) { c.out = append(c.out, a) }

func (c *Core) configure(cfg *Config) {
	if c.cfg != nil && cfg.Generation <= c.cfg.Generation {
		return
	}
	c.cfg = cfg
	for _, def := range cfg.Workers {
		if def.Zone != c.opts.Zone {
			continue
		}
		if w, ok := c.workers[def.ID]; ok {
			w.def = def
			continue
		}
		c.workers[def.ID] = &worker{def: def, health: WorkerUnreachable}
	}
}

func (c *Core) workerChanged(e WorkerChanged) {
	if w, ok := c.workers[e.Worker]; ok {
		w.health = e.Health
	}
}

func (c *Core) submit(now Instant, j Job) {
	if _, ok := c.jobs[j.ID]; ok {
		return
	}
	if !c.everFits(j.Shape) {
		c.emit(JobRefused{Job: j.ID, Kind: errkind.NeverRunnable, Message: "no set of workers can hold the shape"})
		return
	}
	jb := &job{Job: j, state: Queued, arrived: now}
	c.jobs[j.ID] = jb
	c.queue = append(c.queue, jb)
}

func (c *Core) everFits(s Shape) bool {
	n := 0
	for _, w := range c.workers {
		empty := &worker{def: w.def}
		n += empty.capacity(s)
	}
	return n >= s.Cells
}

func (w *worker) capacity(s Shape) int {
	trial := *w
	n := 0
	for {
		cell, ok := trial.find(s)
		if !ok {
			return n
		}
		trial.take(cell, s)
		n++
	}
}

func (w *worker) find(s Shape) (Cell, bool) {
	if w.slots >= w.def.Slots || w.cpu+s.CPU > w.def.CPU || w.memory+s.MemoryBytes > w.def.MemoryBytes {
		return 0, false
	}
	if s.CellSize == 0 {
		return 0, true
	}
	mask := Cell(1)<<s.CellSize - 1
	for off := 0; off+s.CellSize <= w.def.Accelerators; off += s.CellSize {
		if w.used&(mask<<off) == 0 {
			return mask << off, true
		}
	}
	return 0, false
}

func (w *worker) take(cell Cell, s Shape) {
	w.used |= cell
	w.cpu += s.CPU
	w.memory += s.MemoryBytes
	w.slots++
}

func (w *worker) give(cell Cell, s Shape) {
	w.used &^= cell
	w.cpu -= s.CPU
	w.memory -= s.MemoryBytes
	w.slots--
}

func (c *Core) expire(now Instant) {
	for _, j := range append([]*job(nil), c.queue...) {
		if j.Timeout > 0 && now.Sub(j.arrived) > j.Timeout {
			c.end(j, Outcome{State: Failed, Kind: errkind.DeadlineExceeded, Ran: errkind.RanNo, Message: "deadline passed while queued"})
		}
	}
}

func (c *Core) schedule() {
	for len(c.queue) > 0 {
		j := c.queue[0]
		if !c.place(j) {
			return
		}
		c.queue = c.queue[1:]
	}
}

func (c *Core) place(j *job) bool {
	ids := make([]WorkerID, 0, len(c.workers))
	for id, w := range c.workers {
		if w.health == WorkerLive {
			ids = append(ids, id)
		}
	}
	sort.Slice(ids, func(a, b int) bool { return ids[a] < ids[b] })
	var tasks []*task
	for _, id := range ids {
		w := c.workers[id]
		for len(tasks) < j.Shape.Cells {
			cell, ok := w.find(j.Shape)
			if !ok {
				break
			}
			w.take(cell, j.Shape)
			ref := TaskRef{Job: j.ID, Attempt: j.attempt + 1, Index: len(tasks)}
			tasks = append(tasks, &task{Placement: Placement{Task: ref, Worker: id, Cell: cell}})
		}
	}
	if len(tasks) < j.Shape.Cells {
		for _, t := range tasks {
			c.workers[t.Worker].give(t.Cell, j.Shape)
		}
		j.reason = fmt.Sprintf("%d of %d cells of %d accelerators are free", len(tasks), j.Shape.Cells, j.Shape.CellSize)
		return false
	}
	j.attempt++
	j.tasks = tasks
	j.state = Placing
	if !j.Idempotent {
		placements := make([]Placement, len(tasks))
		for i, t := range tasks {
			placements[i] = t.Placement
		}
		c.emit(RecordPlacement{Job: j.ID, Attempt: j.attempt, Placements: placements})
		return true
	}
	c.reserveAll(j)
	return true
}

func (c *Core) reserveAll(j *job) {
	for _, t := range j.tasks {
		c.emit(Reserve{Placement: t.Placement, Job: j.Job})
	}
}

func (c *Core) placementRecorded(e PlacementRecorded) {
	j := c.jobs[e.Job]
	if j == nil || j.attempt != e.Attempt || j.state != Placing {
		return
	}
	if e.OK {
		c.reserveAll(j)
		return
	}
	for _, t := range j.tasks {
		c.free(j, t)
	}
	c.end(j, Outcome{State: Failed, Kind: errkind.LogUnavailable, Ran: errkind.RanNo, Message: "placement could not be recorded"})
}

func (c *Core) find(ref TaskRef) (*job, *task) {
	j := c.jobs[ref.Job]
	if j == nil || j.attempt != ref.Attempt || ref.Index >= len(j.tasks) {
		return nil, nil
	}
	return j, j.tasks[ref.Index]
}

func (c *Core) free(j *job, t *task) {
	if t.state == taskGone || t.state == taskDone {
		return
	}
	t.state = taskGone
	c.workers[t.Worker].give(t.Cell, j.Shape)
}

func (j *job) all(s taskState) bool {
	for _, t := range j.tasks {
		if t.state != s {
			return false
		}
	}
	return true
}

func (c *Core) reserveDone(e ReserveDone) {
	j, t := c.find(e.Task)
	if j == nil || t.state != taskReserving {
		return
	}
	switch e.Result {
	case CallDone:
		t.state = taskReserved
	case CallRefused:
		c.free(j, t)
		j.state = Stopping
	case CallUnknown:
		t.state = taskReserved
		j.state = Stopping
	}
	if j.state == Stopping {
		c.stopAll(j)
		return
	}
	if j.all(taskReserved) {
		for _, t := range j.tasks {
			t.state = taskStarting
			c.emit(Start{Task: t.Task, Worker: t.Worker})
		}
	}
}

func (c *Core) startDone(e StartDone) {
	j, t := c.find(e.Task)
	if j == nil || t.state != taskStarting {
		return
	}
	if e.Result == CallRefused {
		c.free(j, t)
		j.state = Stopping
		c.stopAll(j)
		return
	}
	t.state = taskRunning
	if j.state == Placing && j.all(taskRunning) {
		j.state = Running
		workers := make([]WorkerID, len(j.tasks))
		for i, t := range j.tasks {
			workers[i] = t.Worker
		}
		c.emit(JobStarted{Job: j.ID, Workers: workers})
	}
}

// stopAll ends what remains of a job that cannot run whole.
func (c *Core) stopAll(j *job) {
	for _, t := range j.tasks {
		switch t.state {
		case taskReserved:
			t.state = taskStopping
			c.emit(Release{Task: t.Task, Worker: t.Worker})
		case taskStarting, taskRunning:
			t.state = taskStopping
			c.emit(Stop{Task: t.Task, Worker: t.Worker})
		}
	}
	c.settle(j)
}

func (c *Core) settle(j *job) {
	for _, t := range j.tasks {
		if t.state != taskGone && t.state != taskDone {
			return
		}
	}
	if j.outcome != nil {
		c.finish(j)
		return
	}
	if !j.Idempotent {
		c.end(j, Outcome{State: Failed, Kind: errkind.OutcomeUnknown, Ran: errkind.RanUnknown, Message: "a task was lost"})
		return
	}
	j.state = Queued
	j.tasks = nil
	c.queue = append([]*job{j}, c.queue...)
}

func (c *Core) stopDone(ref TaskRef, result CallResult) {
	j, t := c.find(ref)
	if j == nil || t.state != taskStopping || result == CallUnknown {
		return
	}
	c.free(j, t)
	c.settle(j)
}

func (c *Core) taskEnded(e TaskEnded) {
	j, t := c.find(e.Task)
	if j == nil || t.state == taskGone || t.state == taskDone {
		return
	}
	t.output = e.Output
	c.free(j, t)
	t.state = taskDone
	if !e.OK && j.outcome == nil {
		j.outcome = &Outcome{State: Failed, Kind: errkind.TaskFailed, Ran: errkind.RanYes, Message: string(e.Output)}
		j.state = Stopping
		c.stopAll(j)
		return
	}
	if j.all(taskDone) {
		outputs := make([]TaskOutput, len(j.tasks))
		for i, t := range j.tasks {
			outputs[i] = TaskOutput{Worker: t.Worker, Output: t.output}
		}
		j.outcome = &Outcome{State: Succeeded, Ran: errkind.RanYes, Outputs: outputs}
	}
	c.settle(j)
}

func (c *Core) taskLapsed(e TaskLapsed) {
	j, t := c.find(e.Task)
	if j == nil {
		return
	}
	c.free(j, t)
	j.state = Stopping
	c.stopAll(j)
}

func (c *Core) cancel(id JobID) {
	j := c.jobs[id]
	if j == nil || j.outcome != nil {
		return
	}
	ran := errkind.RanNo
	if j.state == Running {
		ran = errkind.RanYes
	} else if j.state != Queued {
		ran = errkind.RanUnknown
	}
	out := Outcome{State: Failed, Kind: errkind.Cancelled, Ran: ran, Message: "cancelled by the caller"}
	if j.state == Queued {
		c.end(j, out)
		return
	}
	j.outcome = &out
	j.state = Stopping
	c.stopAll(j)
}

func (c *Core) end(j *job, out Outcome) {
	j.outcome = &out
	c.finish(j)
}

func (c *Core) finish(j *job) {
	for i, q := range c.queue {
		if q == j {
			c.queue = append(c.queue[:i], c.queue[i+1:]...)
			break
		}
	}
	delete(c.jobs, j.ID)
	c.emit(JobEnded{Job: j.ID, Outcome: *j.outcome})
}

// Explain says why a job is where it is; false means that the job is not known.
func (c *Core) Explain(id JobID) (Explanation, bool) {
	j := c.jobs[id]
	if j == nil {
		return Explanation{}, false
	}
	ex := Explanation{Job: id, State: j.state, Reason: j.reason, Shortages: j.short}
	for i, q := range c.queue {
		if q == j {
			ex.Position = i
		}
	}
	return ex, true
}

// Stats summarises the core for heartbeats, status pages and metrics.
type Stats struct {
	Queued           int        `json:"queued"`
	Running          int        `json:"running"`
	FreeAccelerators int        `json:"free_accelerators"`
	LargestFreeCell  int        `json:"largest_free_cell"`
	Generation       Generation `json:"generation"`
}

// Stats returns the core's present summary.
func (c *Core) Stats() Stats {
	s := Stats{Queued: len(c.queue), Running: len(c.jobs) - len(c.queue)}
	if c.cfg != nil {
		s.Generation = c.cfg.Generation
	}
	for _, w := range c.workers {
		if w.health != WorkerLive {
			continue
		}
		for i := 0; i < w.def.Accelerators; i++ {
			if w.used&(1<<i) == 0 {
				s.FreeAccelerators++
			}
		}
	}
	return s
}
