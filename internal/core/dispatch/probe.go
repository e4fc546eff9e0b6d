package dispatch

import (
	"time"

	"agatewinch/internal/core/job"
)

// ProbeFailed handles a probe that was not accepted. Whatever its outcome, it counts as an
// unanswered call unless the worker has restarted in the meantime.
func (c *Core) ProbeFailed(now Now, p Probe, o Outcome) {
	w := c.workers[p.Worker]
	if w == nil {
		return
	}
	w.probing = false
	w.nextProbeAt = now.Mono + probeRetry
	if w.Incarnation != p.Incarnation {
		return
	}
	c.recordUnanswered(now, w, o)
	if len(w.runs) == 0 {
		w.nextProbeAt = now.Mono + idleProbeRetry
	}
}

// ProbeAnswered handles a worker's answer to a probe.
func (c *Core) ProbeAnswered(now Now, p Probe, rep WorkerReport) {
	w := c.workers[p.Worker]
	if w == nil {
		return
	}
	w.probing = false
	w.nextProbeAt = now.Mono
	if rep.Incarnation > w.Incarnation {
		c.beginIncarnation(now, w, rep.Incarnation)
	}
	if rep.Incarnation != w.Incarnation {
		return
	}
	c.recordAnswer(now, w)
	if p.Incarnation != rep.Incarnation && p.Ack > 0 {
		return // the acknowledged number was another incarnation's, so the answer may omit ends of this one
	}
	if !w.answered {
		w.answered = true
		c.inputsChanged = true
	}
	c.markEpochAccepted(now, w)
	if latest := rep.ClockMs + (now.Mono - p.sentAt).Milliseconds() + 1; w.clockAtLeast(now.Mono) > latest {
		c.resetClock(now, w, rep.ClockMs)
	}
	if rep.ClockMs > w.clockAtLeast(now.Mono) {
		w.ClockMs, w.clockAt = rep.ClockMs, now.Mono
	}
	w.ackedEnd = max(w.ackedEnd, p.Ack)
	c.applyEnds(now, w, rep.Ended)
	listed := c.applyRunning(now, w, rep.Running)
	c.adjustPace(now, w)
	if len(rep.Ended) < maxListedEnds {
		c.endAbsent(now, w, p, listed)
		c.resolveAbsent(w, p)
	}
}

// applyEnds applies the ends that a worker lists and that were not applied before.
func (c *Core) applyEnds(now Now, w *worker, ended []EndedRun) {
	for _, e := range ended {
		if e.Number <= w.appliedEnd {
			continue
		}
		w.appliedEnd = e.Number
		c.batch.acks[workerIncarnation{w, w.Incarnation}] = e.Number
		t := c.tasks[e.Task]
		if t == nil {
			continue
		}
		if r := t.runOn(w, e.Run); r != nil {
			c.endRun(now, r, e.End, e.Checkpoint)
			continue
		}
		c.applyLateEnd(now, t, w, e)
	}
}

// applyLateEnd handles the end of a run that was already considered ended. The failure of a run whose
// end was presumed is counted. Outside a gang, a success still counts: the task is done, and its
// current run is stopped.
func (c *Core) applyLateEnd(now Now, t *task, w *worker, e EndedRun) {
	c.note(Note{Kind: "late end", Task: e.Task, Run: e.Run, Worker: w.ID, Why: string(e.End)})
	if c.applyPresumedEnd(now, t, w, e) {
		return
	}
	if e.End == job.EndDone && !t.done && !t.step.spec.Gang && !t.step.job.cancelledOrEnded() {
		c.stopRuns(now, t, "done by another run")
		c.markDone(now, t)
		c.record(t) // the batch that acknowledges the end has to contain the result
		c.checkDone(now, t.step.job)
	}
}

// applyRunning applies the runs that a worker lists as running, and stops those that are orphans or
// no longer needed. It returns the listed runs that are part of the state.
func (c *Core) applyRunning(now Now, w *worker, rows []RunInProgress) map[*run]bool {
	listed := make(map[*run]bool, len(rows))
	for _, row := range rows {
		t := c.tasks[row.Task]
		var r *run
		if t != nil {
			r = t.runOn(w, row.Run)
		}
		if r == nil {
			c.stopOrphan(now, w, row)
			continue
		}
		if !r.listed {
			r.firstPercent, r.firstPercentAt = row.Percent, now.Mono
		}
		listed[r], r.listed = true, true
		r.applyCheckpoint(now.Mono, row.Checkpoint)
		if row.Percent != r.percent {
			r.percent, r.percentAt = row.Percent, now.Mono
		}
		r.load = row.Load
		c.markRunning(now, r)
		c.markLeaseLimited(now, r)
		c.observeProgress(now, r)
		switch {
		case r.phase != running:
		case t.step.job.cancelledOrEnded() && !t.done:
			c.stop(now, r, "job ended")
		case t.done && !t.step.spec.Gang:
			c.stop(now, r, "done by another run")
		}
	}
	return listed
}

// stopOrphan stops an orphan run: one that is not part of the state, for example because its
// start was executed late.
func (c *Core) stopOrphan(now Now, w *worker, row RunInProgress) {
	id, err := job.ParseTaskID(row.Task)
	if err != nil {
		return
	}
	c.note(Note{Kind: "stop", Task: row.Task, Run: row.Run, Worker: w.ID, Why: "orphan run"})
	c.pendingActions.Stops = append(c.pendingActions.Stops, Stop{Target: w.target(), Task: id, Run: row.Run})
}

// endAbsent ends the runs that an answer proves to be absent from the worker. listed holds the
// runs that the answer lists as running.
func (c *Core) endAbsent(now Now, w *worker, p Probe, listed map[*run]bool) {
	for _, r := range c.runsOf(w) {
		if listed[r] {
			continue
		}
		switch {
		case r.phase == adopted, r.phase == stopping && r.inherited && !r.confirmed:
			// The probe carried this leader's epoch, so the worker now refuses starts of former
			// leaders.
			c.endRun(now, r, job.EndNotStarted, r.task.checkpoint)
		case r.phase == stopping && r.stopAcked && r.stopAckedAt <= p.sentAt:
			c.endRun(now, r, job.EndNotStarted, r.task.checkpoint)
		case r.phase == running && r.confirmedAt < p.sentAt:
			c.endRun(now, r, job.EndLost, r.checkpoint)
		}
	}
}

// emitProbes sends a probe to each worker that needs one, unless one is in flight, the delay after
// the last one is not over, or the worker's ends are still being recorded.
func (c *Core) emitProbes(now Now) {
	for _, w := range c.sortedWorkers {
		if w.probing || now.Mono < w.nextProbeAt || w.Address == "" || w.recordingEnds(now, c.settings.LeaseTTL) {
			continue
		}
		wait, need := c.probeNeed(w)
		if !need {
			continue
		}
		w.probing = true
		until := int64(0)
		if !w.unreachable() && !w.hasAdopted() {
			// The lease of a worker that does not answer is not extended: it has to expire,
			// so that its tasks can be started elsewhere.
			until = c.extendLease(now, w, c.settings.LeaseTTL)
			wait = min(wait, c.leaseLeft(now)/probesPerLease)
		}
		c.pendingActions.Probes = append(c.pendingActions.Probes, Probe{Target: w.target(), LeaseUntilMs: until, Ack: w.recordedEnd, MaxWait: wait, sentAt: now.Mono})
	}
}

// recordingEnds reports whether a probe now would only return ends that are still being
// written to the log. It is false once half of the lease is over, so that the lease is still
// renewed in time.
func (w *worker) recordingEnds(now Now, ttl time.Duration) bool {
	return w.appliedEnd > w.recordedEnd && w.leaseUntilMs-w.clockAtLeast(now.Mono) > ttl.Milliseconds()/2
}

// probeNeed reports whether a worker needs a probe, and how long its answer may be delayed until
// a run ends. A worker needs one while it is listed but unreachable and not draining, unless it is idle in
// an evacuated zone, while it may have runs whose start was sent and is no longer in flight, and to
// acknowledge recorded ends.
func (c *Core) probeNeed(w *worker) (time.Duration, bool) {
	if w.unreachable() && w.listed && !w.Draining && (!c.evacuated(w) || len(w.runs) > 0) {
		return 0, true // it gets no new work until it answers a probe
	}
	if len(w.presumed) > 0 {
		return 0, true // its answer tells how the runs have ended
	}
	wait, need := c.settings.ProbeWait, false
	for r := range w.runs {
		switch {
		case r.phase == adopted:
			return 0, true
		case r.phase == stopping && !r.stopSent, r.phase == recording, r.phase == starting:
		default:
			need = true
		}
	}
	if !need && w.recordedEnd > w.ackedEnd {
		return 0, true
	}
	if w.serving > 0 && w.bestEffort > 0 {
		wait = min(wait, sharedProbeWait)
	}
	return wait, need
}
