package core

import (
	"fmt"

	"agatewinch/internal/errkind"
)

// stopKind is the way a task is ended.
type stopKind int

const (
	// stopRelease gives up a reservation, and stops what was started.
	stopRelease stopKind = iota
	// stopNow ends a task without keeping its progress.
	stopNow
	// stopPreempt keeps the progress of tasks that support it.
	stopPreempt
)

// abort ends all that remains of the job's attempt. What follows is decided by settle
// once every task is proved gone.
func (c *Core) abort(now Instant, j *job, kind stopKind) {
	j.state = Stopping
	for _, t := range j.tasks {
		c.stopTask(now, t, kind)
	}
	c.settle(now, j)
}

// stopTask asks the worker to end the task, whatever its state.
func (c *Core) stopTask(now Instant, t *task, kind stopKind) {
	switch t.state {
	case taskReserving:
		if !t.job.Idempotent && !t.job.recorded && !t.detached {
			// Nothing was sent: the placement is not recorded yet.
			t.state = taskStopping
			c.gone(now, t)
			return
		}
		t.stopKind = stopRelease
	case taskReserved:
		t.stopKind = stopRelease
	case taskStarting, taskRunning, taskUnheard:
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
	t.stamp++
	c.after(timer{at: now.Add(stopPatience), kind: timerStop, task: t, stamp: t.stamp})
}

// stopDue repeats a stop that had no answer or an unknown one.
func (c *Core) stopDue(now Instant, due timer) {
	t := due.task
	if t.stamp != due.stamp || t.state != taskStopping {
		return
	}
	t.stopTries++
	if !t.detached && now.Sub(t.stopSince) > giveUpLeases*c.opts.LeaseTTL {
		c.giveUp(now, t.job)
	}
	c.sendStop(now, t)
}

// giveUp answers a job whose tasks cannot be proved stopped. Their cells stay held,
// and the stops go on, until there is a proof.
func (c *Core) giveUp(now Instant, j *job) {
	for _, t := range j.tasks {
		if t.held() {
			t.detached = true
		}
	}
	if j.outcome == nil {
		j.outcome = &Outcome{State: Failed, Kind: errkind.OutcomeUnknown, Message: "a worker does not confirm that its task has stopped"}
	}
	c.finish(now, j, *j.outcome)
}

func (c *Core) stopDone(now Instant, e StopDone) {
	t := c.find(e.Task, e.Worker)
	if t == nil || t.state != taskStopping {
		return
	}
	if e.Result == CallUnknown && c.mutation != mutationNoProof {
		t.stamp++
		c.after(timer{at: now.Add(backoff(t.Task.Job, t.stopTries)), kind: timerStop, task: t, stamp: t.stamp})
		return
	}
	if e.Checkpointed && t.stopKind == stopPreempt {
		t.checkpointed = true
	}
	c.gone(now, t)
}

// gone takes the proof that the worker holds the task no longer and never will.
func (c *Core) gone(now Instant, t *task) { c.finishTask(now, t, taskGone) }

// finishTask frees the task's cell.
func (c *Core) finishTask(now Instant, t *task, s taskState) {
	if !t.held() {
		return
	}
	t.state = s
	delete(c.tasks, t.key())
	w := c.worker(t.Worker)
	slow := w.slow
	w.remove(t)
	c.freedOn(w)
	if c.displaced > 0 && (slow != w.slow || !t.job.stoppable()) {
		c.rebind()
	}
	if t.detached {
		return
	}
	if t.job.restoring {
		c.resolve(now, t.job)
		return
	}
	c.settle(now, t.job)
}

// lost takes the proof that a task ended on its worker without an answer.
func (c *Core) lost(now Instant, t *task) {
	switch t.state {
	case taskRunning:
		t.began = beganYes
	case taskStarting, taskUnheard:
		t.began = max(t.began, beganMaybe)
	}
	c.lostMember(now, t)
}

// lostMember frees the task and stops the rest of its gang, which cannot run whole.
func (c *Core) lostMember(now Instant, t *task) {
	j := t.job
	whole := j.state == Placing || j.state == Running
	t.state = taskStopping
	if t.detached || !whole || j.restoring {
		c.gone(now, t)
		return
	}
	if len(j.tasks) > 1 {
		c.emit(Note{Code: NoteGangBroken, Job: j.ID, Worker: t.Worker})
	}
	j.reason = fmt.Sprintf("the task on worker %s was lost", t.Worker)
	c.abort(now, j, stopRelease)
	c.gone(now, t)
}

func (c *Core) taskLapsed(now Instant, e TaskLapsed) {
	t := c.find(e.Task, e.Worker)
	if t == nil {
		return
	}
	switch {
	case e.Started:
		t.began = beganYes
	case t.began == beganMaybe:
		// The reservation ran out before the start arrived.
		t.began = beganNo
	}
	c.lostMember(now, t)
}

func (c *Core) usageReported(now Instant, e UsageReported) {
	for _, w := range c.workersOf(e.Task) {
		t := c.tasks[taskKey{e.Task, w}]
		if t == nil {
			continue
		}
		t.ran = max(t.ran, e.Ran+e.Lag)
		if t.began == beganMaybe {
			t.began = beganYes
		}
	}
}

// workersOf returns the workers of the job's present task with this reference.
func (c *Core) workersOf(ref TaskRef) []WorkerID {
	j := c.jobs[ref.Job]
	if j == nil || ref.Index >= len(j.tasks) || j.tasks[ref.Index].Task != ref {
		return nil
	}
	return []WorkerID{j.tasks[ref.Index].Worker}
}

func (c *Core) taskEnded(now Instant, e TaskEnded) {
	t := c.find(e.Task, e.Worker)
	if t == nil {
		t = c.endedBeforeFound(e)
	}
	if t == nil {
		return
	}
	t.began = beganYes
	t.output = e.Output
	t.ran = e.Ran
	j := t.job
	if t.detached {
		c.gone(now, t)
		return
	}
	c.workerResult(now, c.worker(t.Worker), j, e.OK)
	if e.OK {
		if j.state == Placing {
			// The end overtook the answer to the start.
			c.finishTask(now, t, taskDone)
			c.startedWhole(now, j)
			return
		}
		c.finishTask(now, t, taskDone)
		return
	}
	c.taskFailed(now, t)
}

// taskFailed ends the job, or tries it elsewhere when it may run twice.
func (c *Core) taskFailed(now Instant, t *task) {
	j := t.job
	j.failures++
	if !j.hasFailedOn(t.Worker) {
		j.failedOn = append(j.failedOn, t.Worker)
	}
	if j.outcome == nil && !c.mayRetryFailure(j) {
		j.outcome = &Outcome{State: Failed, Kind: errkind.TaskFailed, Message: string(t.output)}
		c.blame(j)
	}
	t.state = taskStopping
	if j.state != Stopping && !j.restoring {
		c.abort(now, j, stopRelease)
	}
	c.gone(now, t)
}

func (c *Core) mayRetryFailure(j *job) bool {
	return j.Idempotent && j.failures < failuresPerJob
}
