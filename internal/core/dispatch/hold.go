package dispatch

import (
	"time"

	"agatewinch/internal/core/job"
)

// HoldFailed says that a look at a worker was not answered.
func (c *Core) HoldFailed(now Now, h Hold, o Outcome) {
	w := c.workers[h.Worker]
	if w == nil {
		return
	}
	w.holding = false
	w.holdAt = now.Mono + holdRetry
	if w.Born != h.Born {
		return
	}
	c.missed(now, w, o)
	if len(w.runs) == 0 {
		w.holdAt = now.Mono + probeRetry
	}
}

// Held takes in a worker's answer to a hold.
func (c *Core) Held(now Now, h Hold, rep Report) {
	w := c.workers[h.Worker]
	if w == nil {
		return
	}
	w.holding = false
	w.holdAt = now.Mono
	if rep.Born > w.Born {
		c.newLife(now, w, rep.Born)
	}
	if rep.Born != w.Born {
		return
	}
	c.answered(now, w)
	if h.Born != rep.Born && h.Ack > 0 {
		return // the acknowledgement was for another life, and hides ends of this one
	}
	if !w.heard {
		w.heard = true
		c.dirty = true
	}
	c.noteFenced(now, w)
	if rep.ClockMs > w.clockAtLeast(now.Mono) {
		w.ClockMs, w.clockAt = rep.ClockMs, now.Mono
	}
	w.acked = max(w.acked, h.Ack)
	c.takeEnds(now, w, rep.Ended)
	listed := c.takeRunning(now, w, rep.Running)
	c.balance(now, w)
	if len(rep.Ended) < maxListedEnds {
		c.takeAbsent(now, w, h, listed)
	}
}

func (c *Core) takeEnds(now Now, w *worker, ended []EndedTask) {
	for _, e := range ended {
		if e.Number <= w.settled {
			continue
		}
		w.settled = e.Number
		c.batch.acks[life{w, w.Born}] = e.Number
		t := c.tasks[e.Task]
		if t == nil {
			continue
		}
		if t.cur != nil && t.cur.number == e.Run && t.cur.worker == w {
			c.settle(now, t.cur, e.How, e.Checkpoint)
			continue
		}
		// An end of a run that was taken as over: what it did still counts.
		c.lateEnd(now, t, e)
	}
}

func (c *Core) lateEnd(now Now, t *task, e EndedTask) {
	c.note(Note{What: "late end", Task: e.Task, Run: e.Run, Why: string(e.How)})
	if e.How == job.EndDone && !t.done && !t.step.spec.Gang && !t.step.job.closed() {
		if t.cur != nil {
			c.stop(now, t.cur, "done by another run")
		}
		c.markDone(now, t)
		c.record(t) // the end is acknowledged with this batch
		c.checkDone(now, t.step.job)
	}
}

func (c *Core) takeRunning(now Now, w *worker, rows []RunningTask) map[*run]bool {
	listed := make(map[*run]bool, len(rows))
	for _, row := range rows {
		t := c.tasks[row.Task]
		if t == nil || t.cur == nil || t.cur.number != row.Run || t.cur.worker != w {
			c.stray(now, w, row)
			continue
		}
		r := t.cur
		listed[r], r.listed = true, true
		if row.Checkpoint != "" {
			r.saved = row.Checkpoint
		}
		if row.Percent != r.percent {
			r.percent, r.percentAt = row.Percent, now.Mono
		}
		r.load = row.Load
		c.beginRun(now, r)
		switch {
		case r.phase != running:
		case t.step.job.closed() && !t.done:
			c.stop(now, r, "job over")
		case t.done && !t.step.spec.Gang:
			c.stop(now, r, "done by another run")
		}
	}
	return listed
}

// stray stops a run that nobody wants, such as a start that was carried out late.
func (c *Core) stray(now Now, w *worker, row RunningTask) {
	id, err := job.ParseTaskID(row.Task)
	if err != nil {
		return
	}
	c.note(Note{What: "stop", Task: row.Task, Run: row.Run, Worker: w.ID, Why: "not wanted"})
	c.out.Stops = append(c.out.Stops, Stop{Target: w.target(), Task: id, Run: row.Run})
}

// takeAbsent ends runs that an answer proves not to be on the worker.
func (c *Core) takeAbsent(now Now, w *worker, h Hold, listed map[*run]bool) {
	for _, r := range c.runsOf(w) {
		if listed[r] {
			continue
		}
		switch {
		case r.phase == adopted, r.phase == stopping && r.inherited && !r.seen:
			// The hold carried this decider's epoch: an older start is refused now.
			c.settle(now, r, job.EndVoid, r.task.saved)
		case r.phase == stopping && r.stopAcked && r.stopAckedAt <= h.sentAt:
			c.settle(now, r, job.EndVoid, r.task.saved)
		case r.phase == running && r.seenAt < h.sentAt:
			c.settle(now, r, job.EndLost, r.saved)
		}
	}
}

// emitHolds looks at the workers on which something runs, or may.
func (c *Core) emitHolds(now Now) {
	for _, w := range c.sorted {
		if w.holding || now.Mono < w.holdAt || w.Address == "" || w.recordingEnds(now, c.set.Lease) {
			continue
		}
		wait, need := c.holdNeed(w)
		if !need {
			continue
		}
		w.holding = true
		until := w.leaseMs
		if w.misses == 0 || until == 0 {
			// A worker that does not answer gets no longer lease: what it runs has to end
			// some time, so that it can be started elsewhere.
			until = c.lease(now, w, c.set.Lease)
		}
		c.out.Holds = append(c.out.Holds, Hold{Target: w.target(), LeaseUntilMs: until, Ack: w.noted, Wait: wait, sentAt: now.Mono})
	}
}

// recordingEnds reports whether a look would only list ends again that are on their way
// into the log. The lease is renewed all the same when half of it is over.
func (w *worker) recordingEnds(now Now, lease time.Duration) bool {
	return w.settled > w.noted && w.leaseMs-w.clockAtLeast(now.Mono) > lease.Milliseconds()/2
}

func (c *Core) holdNeed(w *worker) (time.Duration, bool) {
	if w.unreachable() && w.listed && !w.Draining {
		return 0, true // only an answer tells that it can be used again
	}
	wait, need := c.set.HoldWait, false
	for r := range w.runs {
		switch {
		case r.phase == adopted:
			return 0, true
		case r.phase == stopping && !r.stopSent, r.phase == recording, r.phase == starting:
		default:
			need = true
		}
	}
	if !need && w.noted > w.acked {
		return 0, true
	}
	if w.serving > 0 && w.filling > 0 {
		wait = min(wait, shareWait)
	}
	return wait, need
}
