package dispatch

import (
	"fmt"
	"slices"
	"time"

	"agatewinch/internal/core/job"
)

// checkLeft ends the runs of a draining worker whose entry is gone sooner than silence would
// have it removed: the worker has left, and nothing runs on it any more. The load: planned
// reductions, where what ran would otherwise be waited for until its lease ends.
func (c *Core) checkLeft(now Now, w *worker) {
	age := time.Duration(w.clockAtLeast(now.Mono)-w.entryClockMs) * time.Millisecond
	if !w.Draining || w.heardAt == 0 || now.Mono > w.heardAt+heardLately || age >= leftBeats*c.set.Beat {
		return
	}
	c.note(Note{What: "worker left", Worker: w.ID, Why: fmt.Sprintf("entry %v old", age)})
	for _, r := range c.runsOf(w) {
		c.settle(now, r, job.EndLost, r.saved)
	}
}

const (
	// heardLately is how old the last answer may be by which a worker's clock is judged; a
	// look is answered every two seconds where something runs.
	heardLately = 3 * time.Second
	// leftBeats is how many beats after its last one an entry may be gone for its worker to
	// have left: silence removes it after three.
	leftBeats = 2
)

// newLife ends the runs of a worker's former life. Orders name the worker by its id, which
// the new life may share: a start that the former one is not known to have carried out may
// be, or may come to be, at work in the new one, and is stopped there.
func (c *Core) newLife(now Now, w *worker, born int64) {
	c.note(Note{What: "worker reborn", Worker: w.ID})
	w.Born = born
	w.ClockMs, w.clockAt, w.leaseMs = 0, now.Mono, 0
	// Orders to the former life may have given leases to this one, and a former decider may
	// still be at work.
	w.inheritedUntil = max(c.inheritedUntil, now.Mono+c.set.longestLease())
	w.settled, w.noted, w.acked = 0, 0, 0
	w.heard, w.fenced, w.misses = false, false, 0
	c.dirty = true
	for _, r := range c.runsOf(w) {
		unsent := r.phase == recording || r.phase == stopping && !r.stopSent
		if r.listed || unsent {
			c.settle(now, r, job.EndLost, r.saved)
			continue
		}
		if r.phase == stopping {
			r.stopAcked = false
			c.sendStop(now, r)
			continue
		}
		c.stop(now, r, "worker reborn")
	}
	c.stopLateStarts(now, w)
}

// lateStart is a start that was not answered and may be carried out later, by this life of
// the worker or the next.
type lateStart struct {
	task  job.TaskID
	run   int
	until time.Duration
}

// lateOrders is how long after its sending an order may be carried out, by the platform's
// contract for lost answers.
const lateOrders = 13 * time.Second

func (w *worker) noteLateStart(now Now, r *run) {
	w.lateStarts = slices.DeleteFunc(w.lateStarts, func(l lateStart) bool { return now.Mono > l.until })
	w.lateStarts = append(w.lateStarts, lateStart{r.task.id, r.number, now.Mono + lateOrders})
}

// stopLateStarts makes late starts impossible in a worker's new life, which knows nothing of
// the stops of the former one.
func (c *Core) stopLateStarts(now Now, w *worker) {
	for _, l := range w.lateStarts {
		if now.Mono <= l.until {
			c.out.Stops = append(c.out.Stops, Stop{Target: w.target(), Task: l.task, Run: l.run})
		}
	}
}
