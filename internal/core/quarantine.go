package core

import "time"

// workerHistory counts the recent failures of a worker.
type workerHistory struct {
	// failures counts the consecutive jobs that failed on the worker.
	failures    int
	quarantined bool
	// unanswered counts consecutive unanswered calls.
	unanswered int
	// quarantines counts the quarantines for failed jobs since the last success.
	quarantines int
}

// recordTaskResult records the result of a task for its worker. A worker on which several
// consecutive jobs fail is quarantined, for longer each time.
func (c *Core) recordTaskResult(now Instant, w *worker, j *job, ok bool) {
	if ok {
		w.history = workerHistory{quarantined: w.history.quarantined}
		return
	}
	if j.hasFailedOn(w.def.ID) {
		return
	}
	w.history.failures++
	if w.history.quarantined || w.history.failures < c.failuresAllowed(w) || !c.enoughUsableWithout(w) {
		return
	}
	w.history.quarantines++
	c.quarantine(now, w, minQuarantine<<min(w.history.quarantines-1, maxQuarantineDoublings))
}

// quarantine keeps new tasks off the worker for the given duration.
func (c *Core) quarantine(now Instant, w *worker, duration time.Duration) {
	w.history.quarantined = true
	c.emit(Note{Code: NoteQuarantined, Worker: w.def.ID})
	c.addTimer(timer{at: now.Add(duration), kind: timerQuarantineEnd, worker: w})
	c.rebind()
}

// callUnanswered records an unanswered reservation or start. A worker that leaves several
// consecutive calls unanswered gets no new tasks for a while, even before its health
// is reported as changed.
func (c *Core) callUnanswered(now Instant, w *worker) {
	w.history.unanswered++
	if w.history.unanswered < maxUnansweredCalls || w.history.quarantined || !c.enoughUsableWithout(w) {
		return
	}
	w.history.unanswered = 0
	c.quarantine(now, w, unresponsivePause)
}

// failuresAllowed returns the number of failed jobs at which the worker is quarantined. It
// is 1 after a quarantine for failures until the next success.
func (c *Core) failuresAllowed(w *worker) int {
	if w.history.quarantines > 0 {
		return 1
	}
	return maxWorkerFailures
}

// enoughUsableWithout reports whether at least half of the workers are usable without w.
// When jobs fail on most workers, the jobs are at fault and no worker is quarantined.
func (c *Core) enoughUsableWithout(w *worker) bool {
	usable := 0
	for _, other := range c.ordered {
		if other != w && other.usable() {
			usable++
		}
	}
	return 2*usable >= len(c.ordered)
}

// endQuarantine lets a quarantined worker take tasks again. If it was quarantined for
// failures, the next failure quarantines it for longer.
func (c *Core) endQuarantine(w *worker) {
	if !w.history.quarantined {
		return
	}
	w.history.quarantined = false
	w.history.failures = 0
	c.emit(Note{Code: NoteQuarantineEnded, Worker: w.def.ID})
	c.rebind()
}

// discountFailures subtracts one from the failures of each worker on which the job failed, if
// there are at least maxJobFailures of them: a job that fails on so many is itself at fault.
func (c *Core) discountFailures(j *job) {
	if len(j.failedOn) < maxJobFailures {
		return
	}
	for _, id := range j.failedOn {
		w := c.worker(id)
		w.history.failures = max(w.history.failures-1, 0)
	}
}
