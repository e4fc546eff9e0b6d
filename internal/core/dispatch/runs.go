package dispatch

import (
	"slices"

	"agatewinch/internal/core/job"
)

// SetWorkers updates the workers from the platform's list.
func (c *Core) SetWorkers(now Now, list []WorkerInfo) {
	present := make(map[string]bool, len(list))
	before := len(c.sortedWorkers)
	unreadable := map[string]bool{}
	for _, info := range list {
		if info.Unreadable {
			unreadable[info.ID] = true
			continue
		}
		present[info.ID] = true
		c.setWorker(now, info)
	}
	if before != len(c.sortedWorkers) {
		c.setRackPositions()
	}
	c.racksIndexed = false
	c.stopLeaving(now)
	for _, w := range c.sortedWorkers {
		if w.listed && !present[w.ID] {
			w.listed = false
			c.inputsChanged = true
			if unreadable[w.ID] {
				c.note(Note{Kind: "worker unlisted", Worker: w.ID, Why: "its entry cannot be read"})
				continue // the worker itself has not removed its entry
			}
			c.note(Note{Kind: "worker unlisted", Worker: w.ID})
			c.endRunsIfDeparted(now, w)
		}
	}
}

// setWorker updates a worker from its entry in the list, or adds it.
func (c *Core) setWorker(now Now, info WorkerInfo) {
	w := c.workers[info.ID]
	if w == nil {
		w = c.addWorker(info)
		w.clockAt = now.Mono
	}
	if w.Incarnation != 0 && info.Incarnation < w.Incarnation {
		return // the entry is from an earlier incarnation
	}
	if info.Incarnation > w.Incarnation && w.Incarnation != 0 {
		c.beginIncarnation(now, w, info.Incarnation)
	}
	if !w.listed || !w.entryRead || w.Draining != info.Draining || w.Capacity != info.Capacity {
		c.inputsChanged = true
	}
	if w.listed && !w.Draining && info.Draining {
		c.note(Note{Kind: "worker draining", Worker: w.ID})
	}
	if w.entryRead && info.ClockMs < w.entryClockMs {
		c.resetClock(now, w, info.ClockMs) // a clock never goes back: the entry before was not the worker's
	}
	clockMs, clockAt := w.ClockMs, w.clockAt
	if clockMs == 0 || info.ClockMs > w.clockAtLeast(now.Mono) {
		clockMs, clockAt = info.ClockMs, now.Mono
	}
	w.WorkerInfo = info
	w.entryClockMs = info.ClockMs
	w.ClockMs, w.clockAt = clockMs, clockAt
	w.listed, w.entryRead = true, true
	w.setLeaveTime(now)
	w.setCold(now)
	clear(w.labels)
	for _, l := range info.Labels {
		w.labels[l] = true
	}
	w.labels[info.Rack] = true
}

// runsOf returns the runs on w in a reproducible order. The caller may add and remove runs while it
// goes through them.
func (c *Core) runsOf(w *worker) []*run { return slices.Clone(w.orderedRuns()) }

// orderedRuns returns the runs on w in a reproducible order, as a slice that is shared.
func (w *worker) orderedRuns() []*run {
	if w.runsByTask == nil {
		w.runsByTask = make([]*run, 0, len(w.runs))
		for r := range w.runs {
			w.runsByTask = append(w.runsByTask, r)
		}
		sortRuns(w.runsByTask)
	}
	return w.runsByTask
}

// StartAnswered handles the outcome of a start order. If it is Fenced, the run is left as it is,
// because the process running the core gives up the leader role.
func (c *Core) StartAnswered(now Now, s Start, o Outcome) {
	r := s.run
	r.startPending = false
	if !r.worker.runs[r] || r.worker.Incarnation != s.Incarnation {
		return
	}
	if o != Unanswered && o != NoConnection && o != Withheld {
		c.recordAnswer(now, r.worker)
	}
	c.note(Note{Kind: "start answered", Task: s.Task.String(), Run: s.Run, Worker: s.Worker, Why: o.String()})
	switch o {
	case Accepted:
		c.markEpochAccepted(now, r.worker)
		c.markRunning(now, r)
	case Unanswered:
		c.recordUnanswered(now, r.worker, o)
		r.worker.addLateStart(now, r)
		c.stop(now, r, "start unanswered")
	case NoConnection:
		c.recordUnanswered(now, r.worker, o)
		c.endRun(now, r, job.EndNotStarted, r.task.checkpoint)
	case Withheld:
		c.endRun(now, r, job.EndNotStarted, r.task.checkpoint)
	case RefusedTicket:
		r.task.step.forgetTicket(r.worker)
		r.task.notBefore = now.Mono + placementDelay
		c.endRun(now, r, job.EndNotStarted, r.task.checkpoint)
	case RefusedCapacity, Refused, RefusedUnhealthy, OtherIncarnation:
		// Pausing the worker lets the task be placed elsewhere without a delay.
		r.worker.pausedUntil = now.Mono + refusalPause
		c.endRun(now, r, job.EndNotStarted, r.task.checkpoint)
	}
}

// markRunning records that a run is known to have started on its worker.
func (c *Core) markRunning(now Now, r *run) {
	if !r.confirmed {
		r.confirmed, r.confirmedAt, r.percentAt = true, now.Mono, now.Mono
	}
	if r.phase == starting || r.phase == adopted {
		r.phase = running
		c.slowBestEffort(now, r)
	}
	if !r.task.started {
		r.task.started = true
		if r.task.id.Index == 0 || !r.task.step.spec.Gang {
			c.record(r.task) // the record lets callers see the job as running
		}
	}
}

// StopAnswered handles the outcome of a stop order. A failed stop is repeated by Tick, except for
// orphan runs and late starts, whose stops refer to no run of the state.
func (c *Core) StopAnswered(now Now, s Stop, o Outcome) {
	r := s.run
	if r == nil || !r.worker.runs[r] || r.worker.Incarnation != s.Incarnation {
		return
	}
	if o == Accepted {
		c.recordAnswer(now, r.worker)
		r.stopAcked, r.stopAckedAt = true, now.Mono
		return
	}
	if o == Unanswered || o == NoConnection {
		c.recordUnanswered(now, r.worker, o)
	}
	r.nextStopAt = now.Mono + stopRetry
}

// endRun applies the end of a run: it frees its capacity, updates the task and its job and
// records the result.
func (c *Core) endRun(now Now, r *run, end job.End, checkpoint string) {
	t, s, j := r.task, r.task.step, r.task.step.job
	c.countLoss(now, r, end, checkpoint)
	c.removeRun(r)
	if r.startPending && !r.listed {
		r.worker.addLateStart(now, r)
	}
	if checkpoint != "" && (t.current == nil || t.current.percent <= r.percent) {
		t.checkpoint = checkpoint
	}
	c.note(Note{Kind: "run ended", Task: t.id.String(), Run: r.number, Worker: r.worker.ID, Why: string(end)})
	c.countCopy(r, end)
	switch end {
	case job.EndDone:
		c.countDone(now, r)
		r.worker.trust.recordDone(now.Mono)
		r.worker.health.recordSuccess()
		c.observeDone(now, r)
		c.markDone(now, t)
		c.stopSuperseded(now, t)
	case job.EndFailed:
		c.recordFailure(now, t, r.worker, r.number)
		c.doubt(now, r)
	case job.EndLeaseExpired, job.EndGangTimeout:
		t.notBefore = now.Mono + placementDelay
	}
	c.forgetProgress(r)
	if s.spec.Gang && end != job.EndDone && !t.done {
		s.gangEnds.record(r.number, end)
		c.breakGang(now, s, r.number)
		c.endFirstEnded(now, s)
	}
	c.record(t)
	c.failIfExhausted(now, t)
	if !j.cancelledOrEnded() {
		c.checkDone(now, j)
	}
	c.removeIfFinished(j)
}

// recordFailure counts the failure of a run of t on w, for the job and, unless the work has failed on
// another worker before, for w.
func (c *Core) recordFailure(now Now, t *task, w *worker, number int) {
	elsewhere := t.step.failedElsewhere(t, w)
	t.failedOn, t.failedAt = append(t.failedOn, w.ID), now.Mono
	if !elsewhere && w.health.recordFailure(now.Mono, t.step.job.spec.ID) {
		c.note(Note{Kind: "worker quarantined", Worker: w.ID})
	}
	c.countFailure(t.step, t, number)
}

// failIfExhausted ends the job of t as failed if t, or its gang, has failed as often as the job
// allows.
func (c *Core) failIfExhausted(now Now, t *task) {
	s, j := t.step, t.step.job
	if j.cancelledOrEnded() || s.spec.LongRunning || !c.attemptsExhausted(s, t) {
		return
	}
	c.stopJob(now, j, "job failed")
	c.finishJob(now, j, job.Failed)
}

// markDone marks a task as done or, if it belongs to a gang, all tasks of the gang.
func (c *Core) markDone(now Now, t *task) {
	if t.done {
		return
	}
	if t.step.spec.LongRunning {
		return // a long-running task that has ended must be started again
	}
	members := []*task{t}
	if t.step.spec.Gang {
		members = t.step.tasks // a gang is done as soon as one of its members is
	}
	for _, m := range members {
		if m.done {
			continue
		}
		m.done = true
		m.step.done++
		if m != t {
			c.record(m)
		}
	}
	c.inputsChanged = true
}

// countFailure counts a failed run of a task. A gang's run counts once, however many of its
// members fail.
func (c *Core) countFailure(s *step, t *task, number int) {
	t.failures++
	if s.spec.Gang && !slices.Contains(s.failedRuns, number) { // the end of an earlier run may be listed late
		s.failedRuns = append(s.failedRuns, number)
		s.failures++
	}
}

// attemptsExhausted reports whether t, or its gang, has failed as often as its job allows.
func (c *Core) attemptsExhausted(s *step, t *task) bool {
	if s.spec.Gang {
		return s.failures >= s.job.attempts()
	}
	return t.failures >= s.job.attempts()
}

// attempts is how many runs of a task, or of a gang, may fail before the job does.
func (j *trackedJob) attempts() int { return max(1, j.spec.Attempts) }

// breakGang stops the remaining members of a gang's run.
func (c *Core) breakGang(now Now, s *step, number int) {
	for _, m := range s.tasks {
		m.notBefore = max(m.notBefore, now.Mono)
		if m.current != nil && m.current.number == number && !m.done {
			c.stop(now, m.current, gangBroken)
		}
	}
}

// Tick handles what becomes due without an event: expired leases, stops to repeat, stalled runs
// and upkeep waves.
func (c *Core) Tick(now Now) {
	c.recordLeaseLimits()
	c.expireLeases(now)
	for _, w := range c.sortedWorkers {
		for _, r := range w.orderedRuns() {
			if r.phase == stopping && r.stopSent && !r.stopAcked && now.Mono >= r.nextStopAt {
				c.sendStop(now, r)
			}
		}
	}
	c.stopStalledRuns(now)
	c.lookForStragglers(now)
	c.stopLeaving(now)
	c.advanceWaves(now)
	c.noteRunTimes(now)
}
