package dispatch

import (
	"fmt"
	"time"

	"agatewinch/internal/core/job"
)

const (
	// copyShare is the largest share of all runs that copies may be; a single one is always permitted.
	copyShare = 0.1
	// copyGain is how many times as long as a copy a run on a worker that answers must be expected to take. A
	// copy throws away the work of one of the two.
	copyGain = 1.5
	// copyDelay is how long the stop of a run on a worker that leaves waits for a copy to be placed: the next
	// scheduling cycle, and the tick after it.
	copyDelay = 250 * time.Millisecond
	// minCopySuccess is the least share of the copies for one reason that have to be done first, so that
	// further ones are placed for it; copyPrior is the number of successes and failures assumed before.
	minCopySuccess = 0.2
	copyPrior      = 2
)

// copyResults counts the copies for one reason that ended first and those that did not.
type copyResults struct{ won, lost int }

// worthwhile reports whether enough of the copies ended first.
func (c copyResults) worthwhile() bool {
	return float64(c.won+copyPrior) >= minCopySuccess*float64(c.won+c.lost+2*copyPrior)
}

// reviewStragglers places copies and moves runs, if there may be stragglers, and withdraws copies from
// capacity that other work waits for. considered are the steps that a full scheduling cycle has considered.
func (c *Core) reviewStragglers(now Now, considered []*step) {
	waiting := stillWaiting(considered)
	c.workWaits = len(waiting) > 0
	c.withdrawCopies(now, waiting)
	if !c.stragglersDue {
		return
	}
	c.stragglersDue = false
	runs := c.countRuns()
	for _, s := range c.stragglers(now) {
		if !s.run.task.step.spec.Speculative {
			c.moveFromSlow(now, s, waiting)
			continue
		}
		if c.copies+1 > max(1, int(copyShare*float64(runs))) || !c.copyResults[s.why].worthwhile() {
			continue
		}
		if w := c.copyWorker(now, s, waiting); w != nil {
			c.placeCopy(now, s, w)
		}
	}
}

// countRuns returns the number of runs on all workers.
func (c *Core) countRuns() int {
	n := 0
	for _, w := range c.sortedWorkers {
		n += len(w.runs)
	}
	return n
}

// stillWaiting returns the steps that have tasks without a run.
func stillWaiting(steps []*step) []*step {
	var out []*step
	for _, s := range steps {
		if s.hasWaiting() {
			out = append(out, s)
		}
	}
	return out
}

// wanted reports whether any of the steps waits for capacity like that of w.
func (w *worker) wanted(waiting []*step) bool {
	for _, s := range waiting {
		if w.fits(s) && w.Capacity.Fits(s.spec.Charge()) {
			return true
		}
	}
	return false
}

// timeOn returns how long a run of a task that is saved to the given percentage is expected to take on w.
func (c *Core) timeOn(now Now, s *step, w *worker, saved int) time.Duration {
	d := float64(c.expectedRunTime(now, s, w)) * float64(100-saved) / 100
	if s.spec.DataRack != "" && w.Rack != s.spec.DataRack {
		d *= max(1, c.settings.SpreadFactor)
	}
	if saved > 0 {
		return time.Duration(d) + c.settings.RestoreTime
	}
	return time.Duration(d)
}

// savedPercent is the progress with which a run begins that resumes from the checkpoint of r.
func (r *run) savedPercent() int {
	if r.checkpoint == "" {
		return 0
	}
	return r.percent
}

// copyWorker returns the worker for a copy of a straggler: on another rack, idle, not slow, and nobody waits
// for its capacity. It returns nil if there is none, or if a copy would not end soon enough.
func (c *Core) copyWorker(now Now, f straggler, waiting []*step) *worker {
	t, s := f.run.task, f.run.task.step
	gain := copyGain
	if f.why == workerSilent || f.why == workerLeaving {
		gain = 1 // the first run is probably lost
	}
	c.rateSpeeds(now, s)
	var best *worker
	bestScore := 0.0
	for _, w := range c.poolOf(now, s).usable {
		if w.Rack == f.run.worker.Rack || !w.free().Fits(s.spec.Charge()) || !c.mayPlaceOn(now, s, w) || t.hasFailedOn(w) ||
			s.spec.MaxPerWorker > 0 && s.countOnWorker(w) >= s.spec.MaxPerWorker || slowdownOf(w.speedClass) >= slowFrom || w.wanted(waiting) {
			continue
		}
		took := c.timeOn(now, s, w, f.run.savedPercent())
		if float64(f.rest) <= gain*float64(took) {
			continue
		}
		score := s.score(w, s.spec.Charge()) + s.speedScore(w) + took.Seconds()
		if best == nil || score < bestScore {
			best, bestScore = w, score
		}
	}
	return best
}

// placeCopy creates the second run of a straggler's task on w.
func (c *Core) placeCopy(now Now, f straggler, w *worker) {
	t := f.run.task
	if f.run.checkpoint != "" {
		t.checkpoint = f.run.checkpoint
	}
	c.place(now, t, w, t.latestRun+1)
	t.copy.reason = f.why
	c.note(Note{Kind: "copy placed", Task: t.id.String(), Run: t.copy.number, Worker: w.ID, Why: fmt.Sprintf("run %d on %s: %s; expected to take %v more", f.run.number, f.run.worker.ID, f.why, f.rest.Round(time.Millisecond))})
}

// stopSuperseded stops the run that is left of a task that another run has done.
func (c *Core) stopSuperseded(now Now, t *task) {
	for _, r := range t.runs() {
		if r.phase != stopping && !t.step.spec.Gang {
			c.note(Note{Kind: "copy stopped: other run done", Task: t.id.String(), Run: r.number, Worker: r.worker.ID})
			c.stop(now, r, "other run done")
		}
	}
}

// countCopy counts how a copy ended: as the first of its task's runs that is done, or not.
func (c *Core) countCopy(r *run, end job.End) {
	if r.reason == "" {
		return
	}
	n := c.copyResults[r.reason]
	if end == job.EndDone && !r.task.done {
		n.won++
	} else {
		n.lost++
	}
	c.copyResults[r.reason] = n
}

// withdrawCopies stops copies on workers whose capacity is waited for, unless the copy's task would then have
// no run on a worker that answers and stays.
func (c *Core) withdrawCopies(now Now, waiting []*step) {
	if c.copies == 0 || len(waiting) == 0 {
		return
	}
	for _, w := range c.sortedWorkers {
		for _, r := range c.runsOf(w) {
			if r.task.copy != r || r.phase == stopping || !w.wanted(waiting) {
				continue
			}
			if first := r.task.current; first.phase == running && !first.worker.unreachable() && !first.worker.Draining {
				c.note(Note{Kind: "copy stopped: capacity needed", Task: r.task.id.String(), Run: r.number, Worker: w.ID})
				c.stop(now, r, "capacity needed")
			}
		}
	}
}

// waitForCopy reports whether a run on a worker that leaves need not be stopped: its task has another run, or
// may get one in the next scheduling cycle.
func (c *Core) waitForCopy(now Now, r *run) bool {
	if o := r.other(); o != nil {
		return o.phase != stopping && !o.worker.Draining
	}
	if !r.task.step.spec.Speculative || !r.mayStraggle() {
		return false
	}
	if r.leaveSeenAt == 0 {
		r.leaveSeenAt = now.Mono
		c.stragglersDue, c.inputsChanged = true, true
	}
	return now.Mono < r.leaveSeenAt+copyDelay
}

// lookForStragglers has the next full scheduling cycle consider stragglers, if there are any. It requests the
// cycle unless work waits: there is little capacity for copies then, and the next cycle is near.
func (c *Core) lookForStragglers(now Now) {
	if len(c.stragglers(now)) > 0 {
		c.stragglersDue = true
		c.inputsChanged = c.inputsChanged || !c.workWaits
	}
}
