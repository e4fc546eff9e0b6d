package core

import (
	"fmt"

	"agatewinch/internal/errkind"
)

// stopKind is the way in which a task is stopped.
type stopKind int

const (
	// stopRelease cancels reservations and stops tasks that were started.
	stopRelease stopKind = iota
	// stopNow stops tasks without saving their progress.
	stopNow
	// stopPreempt checkpoints started tasks before it stops them.
	stopPreempt
)

// abort stops all remaining tasks of the current attempt. resolveAttempt decides how the job
// continues once every task is confirmed gone.
func (c *Core) abort(now Instant, j *job, kind stopKind) {
	j.state = Stopping
	for _, t := range j.tasks {
		c.stopTask(now, t, kind)
	}
	c.resolveAttempt(now, j)
}

// stopTask asks the worker to release or stop the task, depending on its state.
func (c *Core) stopTask(now Instant, t *task, kind stopKind) {
	switch t.state {
	case taskReserving:
		if !t.job.Idempotent && !t.job.recorded && !t.detached {
			// No reservation was sent: the placement is not recorded yet.
			t.state = taskStopping
			c.confirmGone(now, t)
			return
		}
		t.stopKind = stopRelease
	case taskReserved:
		t.stopKind = stopRelease
	case taskStarting, taskRunning, taskUnreported:
		t.stopKind = kind
		if kind == stopRelease {
			t.stopKind = stopNow
		}
	default:
		return
	}
	t.state = taskStopping
	t.stopSince = now
	c.sendStop(now, t)
}

func (c *Core) sendStop(now Instant, t *task) {
	switch t.stopKind {
	case stopRelease:
		c.emit(Release{Task: t.Task, Worker: t.Worker})
	case stopPreempt:
		c.emit(Preempt{Task: t.Task, Worker: t.Worker})
	default:
		c.emit(Stop{Task: t.Task, Worker: t.Worker})
	}
	t.timerStamp++
	c.addTimer(timer{at: now.Add(stopTimeout), kind: timerStop, task: t, stamp: t.timerStamp})
}

// stopTimedOut retries a stop that was not answered or whose result is unknown. After
// abandonStopLeases the job is finished without waiting any longer.
func (c *Core) stopTimedOut(now Instant, due timer) {
	t := due.task
	if t.timerStamp != due.stamp || t.state != taskStopping {
		return
	}
	t.stopTries++
	if !t.detached && now.Sub(t.stopSince) > abandonStopLeases*c.opts.LeaseTTL {
		c.abandonStop(now, t.job)
	}
	c.sendStop(now, t)
}

// abandonStop finishes a job whose tasks are not confirmed to have stopped. Their cells
// stay held, and the stops are retried, until there is a confirmation.
func (c *Core) abandonStop(now Instant, j *job) {
	for _, t := range j.tasks {
		if t.held() {
			t.detached = true
		}
	}
	if j.outcome == nil {
		j.outcome = &Outcome{State: Failed, Kind: errkind.OutcomeUnknown, Message: "a worker did not confirm that its task has stopped"}
	}
	c.finish(now, j, *j.outcome)
}

func (c *Core) stopDone(now Instant, e StopDone) {
	t := c.findTask(e.Task, e.Worker)
	if t == nil || t.state != taskStopping {
		return
	}
	if e.Result == CallUnknown && c.mutation != mutationNoStopConfirmation {
		t.timerStamp++
		c.addTimer(timer{at: now.Add(backoff(t.Task.Job, t.stopTries)), kind: timerStop, task: t, stamp: t.timerStamp})
		return
	}
	if e.Checkpointed && t.stopKind == stopPreempt {
		t.checkpointed = true
	}
	c.confirmGone(now, t)
}

// confirmGone handles the confirmation that the worker no longer holds the task and never will
// again.
func (c *Core) confirmGone(now Instant, t *task) { c.finishTask(now, t, taskGone) }

// finishTask moves the task to a final state and frees its cell.
func (c *Core) finishTask(now Instant, t *task, s taskState) {
	if !t.held() {
		return
	}
	t.state = s
	delete(c.tasks, t.key())
	w := c.worker(t.Worker)
	overdue := w.stopOverdue
	w.remove(t)
	c.recordFreedOn(w)
	if c.displaced > 0 && (overdue != w.stopOverdue || !t.job.preemptible()) {
		c.rebind()
	}
	if t.detached {
		return
	}
	if t.job.restoring {
		c.resolveRestored(now, t.job)
		return
	}
	c.resolveAttempt(now, t.job)
}

// taskLost handles the confirmation that a task no longer runs and left no result.
func (c *Core) taskLost(now Instant, t *task) {
	switch t.state {
	case taskRunning:
		t.started = startYes
	case taskStarting, taskUnreported:
		t.started = max(t.started, startUnknown)
	}
	c.memberLost(now, t)
}

// memberLost frees the task and stops the rest of its gang, which runs only as a whole.
func (c *Core) memberLost(now Instant, t *task) {
	j := t.job
	active := j.state == Placing || j.state == Running
	t.state = taskStopping
	if t.detached || !active || j.restoring {
		c.confirmGone(now, t)
		return
	}
	if len(j.tasks) > 1 {
		c.emit(Note{Code: NoteGangBroken, Job: j.ID, Worker: t.Worker})
	}
	j.reason = fmt.Sprintf("the task on worker %s was lost", t.Worker)
	c.abort(now, j, stopRelease)
	c.confirmGone(now, t)
}

func (c *Core) taskExpired(now Instant, e TaskExpired) {
	t := c.findTask(e.Task, e.Worker)
	if t == nil {
		return
	}
	switch {
	case e.Started:
		t.started = startYes
	case t.started == startUnknown:
		// The reservation expired before the start arrived.
		t.started = startNo
	}
	c.memberLost(now, t)
}

func (c *Core) usageReported(now Instant, e UsageReported) {
	for _, w := range c.workersOf(e.Task) {
		t := c.tasks[taskKey{e.Task, w}]
		if t == nil {
			continue
		}
		t.ran = max(t.ran, e.Ran+e.Lag)
		if t.started == startUnknown {
			t.started = startYes
		}
	}
}

// workersOf returns the worker of the task with this reference if it belongs to the
// current attempt of its job.
func (c *Core) workersOf(ref TaskRef) []WorkerID {
	j := c.jobs[ref.Job]
	if j == nil || ref.Index >= len(j.tasks) || j.tasks[ref.Index].Task != ref {
		return nil
	}
	return []WorkerID{j.tasks[ref.Index].Worker}
}

func (c *Core) taskEnded(now Instant, e TaskEnded) {
	t := c.findTask(e.Task, e.Worker)
	if t == nil {
		t = c.addEndedTask(e)
	}
	if t == nil {
		return
	}
	t.started = startYes
	t.output = e.Output
	t.ran = e.Ran
	j := t.job
	if t.detached {
		c.confirmGone(now, t)
		return
	}
	c.recordTaskResult(now, c.worker(t.Worker), j, e.OK)
	if e.OK {
		if j.state == Placing {
			// The report of the end arrived before the answer to the start.
			c.finishTask(now, t, taskDone)
			c.reportStarted(now, j)
			return
		}
		c.finishTask(now, t, taskDone)
		return
	}
	c.taskFailed(now, t)
}

// taskFailed stops the attempt after a failed task. An idempotent job is retried, on other
// workers if possible, until maxJobFailures of its tasks have failed; any other job fails.
func (c *Core) taskFailed(now Instant, t *task) {
	j := t.job
	j.failures++
	if !j.hasFailedOn(t.Worker) {
		j.failedOn = append(j.failedOn, t.Worker)
	}
	if j.outcome == nil && !c.mayRetryFailure(j) {
		j.outcome = &Outcome{State: Failed, Kind: errkind.TaskFailed, Message: string(t.output)}
		c.discountFailures(j)
	}
	t.state = taskStopping
	if j.state != Stopping && !j.restoring {
		c.abort(now, j, stopRelease)
	}
	c.confirmGone(now, t)
}

func (c *Core) mayRetryFailure(j *job) bool {
	return j.Idempotent && j.failures < maxJobFailures
}
