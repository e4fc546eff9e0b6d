package dispatch

import (
	"fmt"
	"slices"
	"time"

	"agatewinch/internal/core/job"
)

// endRunsIfDeparted ends the runs of a draining worker whose entry was removed earlier than
// missing heartbeats would remove it: the worker has shut down and nothing runs on it any more.
// Without this, each planned reduction of capacity would delay the tasks until the worker's lease
// has expired.
func (c *Core) endRunsIfDeparted(now Now, w *worker) {
	age := time.Duration(w.clockAtLeast(now.Mono)-w.entryClockMs) * time.Millisecond
	if !w.Draining || w.lastAnswerAt == 0 || now.Mono > w.lastAnswerAt+maxAnswerAge || age >= departedHeartbeats*c.settings.HeartbeatInterval {
		return
	}
	c.note(Note{Kind: "worker left", Worker: w.ID, Why: fmt.Sprintf("entry %v old", age)})
	for _, r := range c.runsOf(w) {
		c.endRun(now, r, job.EndLost, r.checkpoint)
	}
}

const (
	// maxAnswerAge is the maximum age of a worker's last answer for the estimate of its clock, and the
	// state of its runs, to be used. A worker with runs answers a probe every two seconds.
	maxAnswerAge = 3 * time.Second
	// departedHeartbeats is the age, in heartbeat intervals, below which a removed entry shows
	// that its worker has shut down: missing heartbeats remove an entry after three.
	departedHeartbeats = 2
)

// beginIncarnation replaces a worker's incarnation and ends the runs of the previous one. The worker gets
// no work until the new incarnation's entry has been read, since it may be of another kind. Orders
// address the worker by its ID, which the new incarnation may share. A start that the previous
// incarnation is not known to have executed may therefore run, now or later, in the new one, and
// is stopped there.
func (c *Core) beginIncarnation(now Now, w *worker, incarnation int64) {
	c.note(Note{Kind: "worker restarted", Worker: w.ID})
	w.Incarnation, w.entryRead = incarnation, false
	w.Draining, w.leavesAt = false, 0
	w.ClockMs, w.clockAt, w.leaseUntilMs = 0, now.Mono, 0
	// Orders to the previous incarnation may have granted leases to this one, and a previous
	// leader may still be active.
	w.inheritedUntil = max(c.inheritedUntil, now.Mono+c.settings.longestLease())
	w.appliedEnd, w.recordedEnd, w.ackedEnd = 0, 0, 0
	w.answered, w.epochAccepted, w.unansweredCalls = false, false, 0
	c.inputsChanged = true
	c.resolveAll(w)
	for _, r := range c.runsOf(w) {
		unsent := r.phase == recording || r.phase == stopping && !r.stopSent
		if r.listed || r.leaseLimited || unsent {
			c.endRun(now, r, job.EndLost, r.checkpoint)
			continue
		}
		if r.phase == stopping {
			r.stopAcked = false
			c.sendStop(now, r)
			continue
		}
		c.stop(now, r, "worker restarted")
	}
	c.stopLateStarts(now, w)
}

// lateStart is a start order that was not answered and may still be executed, by the current
// incarnation of the worker or the next.
type lateStart struct {
	task  job.TaskID
	run   int
	until time.Duration
}

// maxOrderDelay is how long after it was sent an unanswered order may still be executed,
// according to the platform's contract.
const maxOrderDelay = 13 * time.Second

// addLateStart adds the unanswered start of r to the late starts and removes those that can no
// longer be executed.
func (w *worker) addLateStart(now Now, r *run) {
	w.lateStarts = slices.DeleteFunc(w.lateStarts, func(l lateStart) bool { return now.Mono > l.until })
	w.lateStarts = append(w.lateStarts, lateStart{r.task.id, r.number, now.Mono + maxOrderDelay})
}

// stopLateStarts sends stops for late starts to a worker's new incarnation, which knows nothing
// of the stops that the previous one received.
func (c *Core) stopLateStarts(now Now, w *worker) {
	for _, l := range w.lateStarts {
		if now.Mono <= l.until {
			c.pendingActions.Stops = append(c.pendingActions.Stops, Stop{Target: w.target(), Task: l.task, Run: l.run})
		}
	}
}
