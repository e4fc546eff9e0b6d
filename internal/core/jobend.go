package core

import (
	"fmt"

	"agatewinch/internal/errkind"
)

// resolveAttempt finishes, requeues or retries the job once no worker may hold a task of it.
func (c *Core) resolveAttempt(now Instant, j *job) {
	if j.ended || j.restoring || len(j.tasks) == 0 || j.held() || j.state == Queued {
		return
	}
	if j.allTasksIn(taskDone) {
		c.succeed(now, j)
		return
	}
	if j.state != Stopping {
		return
	}
	c.uncharge(now, j)
	if j.attemptStarted() != startNo && !j.evicted {
		j.losses++
	}
	j.evicted = false
	switch {
	case j.orphan && j.outcome == nil:
		c.dropOrphan(j)
	case j.outcome != nil:
		c.finish(now, j, *j.outcome)
	case j.losses >= maxJobLosses:
		c.finish(now, j, Outcome{
			State: Failed, Kind: errkind.OutcomeUnknown,
			Message: fmt.Sprintf("%d attempts were lost after a task may have started; the last one: %s", j.losses, j.reason),
		})
	case j.allCheckpointed():
		c.resumeLater(now, j)
	case j.Idempotent, j.attemptStarted() == startNo:
		c.retry(now, j)
	default:
		c.finish(now, j, Outcome{
			State: Failed, Kind: errkind.OutcomeUnknown,
			Message: "a task was lost after it may have started: " + j.reason,
		})
	}
}

// attemptStarted says whether any task of the current attempt started.
func (j *job) attemptStarted() startStatus {
	started := startNo
	for _, t := range j.tasks {
		// Parts that succeeded in an earlier attempt do not count.
		if t.Task.Attempt == j.attempt || t.state != taskDone {
			started = max(started, t.started)
		}
	}
	return started
}

// allCheckpointed reports whether every part succeeded or saved its progress.
func (j *job) allCheckpointed() bool {
	if j.partial {
		return false
	}
	for _, t := range j.tasks {
		if !t.checkpointed && t.state != taskDone {
			return false
		}
	}
	return true
}

func (c *Core) succeed(now Instant, j *job) {
	outputs := make([]TaskOutput, len(j.tasks))
	for i, t := range j.tasks {
		outputs[i] = TaskOutput{Worker: t.Worker, Output: t.output}
	}
	c.uncharge(now, j)
	c.recordRunTime(j)
	c.finish(now, j, Outcome{State: Succeeded, Outputs: outputs})
}

// resumeLater requeues a preempted job; its next attempt continues from the checkpoint.
func (c *Core) resumeLater(now Instant, j *job) {
	j.resume = true
	j.earlierStart = max(j.earlierStart, j.attemptStarted())
	j.state = Queued
	c.enqueue(now, j)
}

// retry requeues the job after a delay. The results of parts that succeeded before a
// preemption are kept only if no task has started since.
func (c *Core) retry(now Instant, j *job) {
	started := j.attemptStarted()
	j.earlierStart = max(j.earlierStart, started)
	if started != startNo || !j.resume {
		j.tasks = nil
		j.resume = false
		j.partial = false
	}
	j.state = Queued
	if j.expired(now) {
		c.deadline(now, j)
		return
	}
	delay := backoff(j.ID, j.retries)
	j.retries++
	c.queue.delayed++
	c.addTimer(timer{at: now.Add(delay), kind: timerRequeue, job: j})
}

// expired reports whether the job did not start within its timeout.
func (j *job) expired(now Instant) bool {
	return j.Timeout > 0 && !j.fullyStarted && now >= j.arrived.Add(j.Timeout)
}

func (c *Core) enqueueDelayed(now Instant, j *job) {
	c.queue.delayed--
	if j.ended || j.state != Queued || j.queued != nil {
		return
	}
	c.enqueue(now, j)
}

// finish ends the job and reports its outcome. Later calls have no effect.
func (c *Core) finish(now Instant, j *job, out Outcome) {
	if j.ended {
		return
	}
	out.Ran = c.ran(j, out)
	if out.Ran != errkind.RanNo && errkind.PropertiesOf(out.Kind).Ran == errkind.RanNo {
		out.Kind = errkind.OutcomeUnknown // the kind would say that the job was not run
	}
	j.state = out.State
	j.ended = true
	c.uncharge(now, j)
	c.leaveQueue(now, j)
	c.dropHead(j)
	delete(c.jobs, j.ID)
	j.caller.jobs--
	switch {
	case !j.orphan:
		c.emit(JobEnded{Job: j.ID, Outcome: out})
	case out.State == Succeeded || out.Kind == errkind.TaskFailed:
		c.orphanOutcomes.add(now, j.ID, out)
	}
}

func (c *Core) ran(j *job, out Outcome) errkind.Ran {
	if out.State == Succeeded || out.Kind == errkind.TaskFailed {
		return errkind.RanYes
	}
	if out.Kind == errkind.OutcomeUnknown {
		return errkind.RanUnknown
	}
	return j.everStarted().ran()
}

// dropOrphan removes an orphan job without reporting an outcome.
func (c *Core) dropOrphan(j *job) {
	j.ended = true
	j.caller.jobs--
	delete(c.jobs, j.ID)
}

func (c *Core) cancel(now Instant, id JobID) {
	j := c.jobs[id]
	if j == nil || j.outcome != nil {
		return
	}
	c.endEarly(now, j, Outcome{State: Failed, Kind: errkind.Cancelled, Message: "cancelled by the caller"})
}

// endEarly finishes a waiting job at once. A placed job is stopped first.
func (c *Core) endEarly(now Instant, j *job, out Outcome) {
	if j.state == Queued && !j.restoring {
		c.finish(now, j, out)
		return
	}
	j.outcome = &out
	if j.restoring {
		c.resolveRestored(now, j)
		return
	}
	if j.state != Stopping {
		c.abort(now, j, stopRelease)
	}
}

// deadline ends a job that has not started in time, unless its starts are already sent.
func (c *Core) deadline(now Instant, j *job) {
	if j.ended || j.outcome != nil || j.fullyStarted || j.restoring {
		return
	}
	if j.state == Placing && j.attemptStarted() != startNo {
		return
	}
	c.endEarly(now, j, Outcome{State: Failed, Kind: errkind.DeadlineExceeded, Message: "the deadline passed before the job started"})
}
