package core

import (
	"sort"
)

// assignment is the cell on a worker chosen for one task.
type assignment struct {
	worker *worker
	cell   uint64
}

// startAttempt starts an attempt on the chosen cells: the placement of a job that is not idempotent
// is recorded first, then every worker is asked to reserve.
func (c *Core) startAttempt(now Instant, j *job, assignments []assignment) {
	j.attempt++
	j.state = Placing
	j.recorded = false
	j.reason, j.shortages = "", nil
	sort.SliceStable(assignments, func(a, b int) bool { return assignments[a].worker.def.ID < assignments[b].worker.def.ID })
	c.createTasks(j, assignments)
	c.charge(now, j)
	if j.Idempotent {
		c.reserveAll(now, j)
		return
	}
	placements := make([]Placement, len(j.tasks))
	for i, t := range j.tasks {
		placements[i] = t.Placement
	}
	c.emit(RecordPlacement{Job: j.ID, Attempt: j.attempt, Placements: placements})
}

// createTasks creates a task for each chosen cell; tasks that succeeded before a preemption
// stay as they are, with their output.
func (c *Core) createTasks(j *job, assignments []assignment) {
	tasks := make([]*task, c.taskCount(j.Shape))
	next := 0
	for i := range tasks {
		if i < len(j.tasks) && j.tasks[i].state == taskDone {
			tasks[i] = j.tasks[i]
			continue
		}
		a := assignments[next]
		next++
		ref := TaskRef{Job: j.ID, Attempt: j.attempt, Index: i}
		t := &task{Placement: Placement{Task: ref, Worker: a.worker.def.ID, Cell: Cell(a.cell), Resume: j.resume}, job: j, shape: j.Shape}
		tasks[i] = t
		c.trackTask(t)
	}
	j.tasks = tasks
}

// trackTask counts the task on its worker until the worker is confirmed to no longer hold it.
func (c *Core) trackTask(t *task) {
	c.tasks[t.key()] = t
	c.worker(t.Worker).add(t)
}

func (c *Core) placementRecorded(now Instant, e PlacementRecorded) {
	j := c.jobs[e.Job]
	if j == nil || j.attempt != e.Attempt || j.state != Placing || j.recorded || j.Idempotent {
		return
	}
	if e.OK {
		j.recorded = true
		c.reserveAll(now, j)
		return
	}
	// No worker was called, and the job stays admitted: it is placed again after a delay.
	j.reason = "recording the job's placement in the log failed"
	c.abort(now, j, stopRelease)
}

func (c *Core) reserveAll(now Instant, j *job) {
	for _, t := range j.tasks {
		if t.state != taskReserving {
			continue
		}
		c.emit(Reserve{Placement: t.Placement, Job: j.Job})
		c.startCallTimer(now, t)
	}
	if c.mutation == mutationNoReserve {
		c.startAll(now, j)
	}
}

// startCallTimer sets the time after which an unanswered call counts as unknown.
func (c *Core) startCallTimer(now Instant, t *task) {
	t.timerStamp++
	c.addTimer(timer{at: now.Add(callTimeout), kind: timerCall, task: t, stamp: t.timerStamp})
}

func (c *Core) callTimedOut(now Instant, due timer) {
	t := due.task
	if t.timerStamp != due.stamp {
		return
	}
	switch t.state {
	case taskReserving:
		c.reserveDone(now, ReserveDone{Task: t.Task, Worker: t.Worker, Result: CallUnknown})
	case taskStarting:
		c.startDone(now, StartDone{Task: t.Task, Worker: t.Worker, Result: CallUnknown})
	}
}

// findTask returns the task that an answer is for; nil when there is none, as for late answers
// to earlier attempts whose tasks are confirmed gone.
func (c *Core) findTask(ref TaskRef, id WorkerID) *task {
	if t := c.tasks[taskKey{ref, id}]; t != nil || c.mutation != mutationNoAttemptCheck {
		return t
	}
	j := c.jobs[ref.Job]
	if j == nil || ref.Index >= len(j.tasks) || !j.tasks[ref.Index].held() {
		return nil
	}
	return j.tasks[ref.Index]
}

func (c *Core) reserveDone(now Instant, e ReserveDone) {
	t := c.findTask(e.Task, e.Worker)
	if t == nil {
		return
	}
	if t.state == taskStopping && t.started == startNo && e.Result == CallRefused {
		// The refusal confirms that the worker does not hold the task.
		c.confirmGone(now, t)
		return
	}
	if t.state != taskReserving {
		return
	}
	switch e.Result {
	case CallDone:
		t.state = taskReserved
		c.worker(t.Worker).history.unanswered = 0
		if c.gangReserved(t.job) {
			c.startAll(now, t.job)
		}
	case CallRefused:
		t.state = taskReserved
		c.callRefused(now, t, e.Reason)
	case CallUnknown:
		c.callUnanswered(now, c.worker(t.Worker))
		c.abort(now, t.job, stopRelease)
	}
}

// callRefused handles the refusal of a reservation or start, which had no effect and never
// will have any.
func (c *Core) callRefused(now Instant, t *task, reason RefusalReason) {
	j := t.job
	j.reason = "worker " + string(t.Worker) + " refused a task of the job: " + string(reason)
	if reason == RefusedLeaving {
		c.workerChanged(now, WorkerChanged{Worker: t.Worker, Health: WorkerLeaving})
	}
	t.state = taskStopping
	if !t.detached {
		c.abort(now, j, stopRelease)
	}
	c.confirmGone(now, t)
}

// gangReserved reports whether every task of a job being placed is reserved or has ended already.
func (c *Core) gangReserved(j *job) bool {
	if j.state != Placing {
		return false
	}
	for _, t := range j.tasks {
		if t.state != taskReserved && t.state != taskDone {
			return false
		}
	}
	return true
}

func (c *Core) startAll(now Instant, j *job) {
	members := 0
	for _, t := range j.tasks {
		if t.state != taskDone {
			members++
		}
	}
	for _, t := range j.tasks {
		if t.state == taskDone {
			continue
		}
		t.state = taskStarting
		t.started = startUnknown
		c.emit(Start{Task: t.Task, Worker: t.Worker, Resume: j.resume, Members: members})
		c.startCallTimer(now, t)
	}
	j.startedAt = now
}

func (c *Core) startDone(now Instant, e StartDone) {
	t := c.findTask(e.Task, e.Worker)
	if t == nil {
		return
	}
	if t.state == taskStopping && e.Result == CallDone {
		t.started = startYes
	}
	if t.state != taskStarting {
		return
	}
	switch e.Result {
	case CallDone:
		t.state = taskRunning
		t.started = startYes
		t.startedAt = now
		c.reportStarted(now, t.job)
	case CallRefused:
		t.started = startNo
		c.callRefused(now, t, e.Reason)
	case CallUnknown:
		c.callUnanswered(now, c.worker(t.Worker))
		c.abort(now, t.job, stopNow)
	}
}

// reportStarted reports the job as started once every task runs or has ended.
func (c *Core) reportStarted(now Instant, j *job) {
	if j.state != Placing {
		return
	}
	for _, t := range j.tasks {
		if t.state != taskRunning && t.state != taskDone {
			return
		}
	}
	j.state = Running
	j.fullyStarted = true
	j.resume = false
	j.retries = 0
	for _, t := range j.tasks {
		// The job can be evicted from now on: waiting jobs of owners that could not reclaim its
		// cells before are tried again.
		c.recordFreedOn(c.worker(t.Worker))
	}
	c.emit(JobStarted{Job: j.ID, Workers: j.workerIDs()})
	if j.allTasksIn(taskDone) {
		c.resolveAttempt(now, j)
	}
}

func (j *job) workerIDs() []WorkerID {
	ids := make([]WorkerID, len(j.tasks))
	for i, t := range j.tasks {
		ids[i] = t.Worker
	}
	return ids
}
