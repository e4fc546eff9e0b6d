package core

import "time"

// record is a worker's recent results.
type record struct {
	// failures counts jobs that failed in a row here.
	failures    int
	quarantined bool
	// silent counts calls in a row without an answer.
	silent int
	// tries counts the quarantines since the last success.
	tries int
}

// workerResult counts a task's end for its worker. A worker on which several jobs in
// a row fail takes nothing more until a pause has passed.
func (c *Core) workerResult(now Instant, w *worker, j *job, ok bool) {
	if ok {
		w.record = record{quarantined: w.record.quarantined}
		return
	}
	if j.hasFailedOn(w.def.ID) {
		return
	}
	w.record.failures++
	if w.record.quarantined || w.record.failures < c.failuresAllowed(w) || !c.spare(w) {
		return
	}
	w.record.tries++
	c.quarantine(now, w, quarantinePause<<min(w.record.tries-1, maxProbeDoublings))
}

// quarantine gives the worker nothing new until the pause has passed.
func (c *Core) quarantine(now Instant, w *worker, pause time.Duration) {
	w.record.quarantined = true
	c.emit(Note{Code: NoteQuarantined, Worker: w.def.ID})
	c.after(timer{at: now.Add(pause), kind: timerProbe, worker: w})
	c.rebind()
}

// workerSilent counts a reservation or start without an answer. A worker with several
// in a row takes nothing new for a while, before its health is known to have changed.
func (c *Core) workerSilent(now Instant, w *worker) {
	w.record.silent++
	if w.record.silent < silencesPerWorker || w.record.quarantined || !c.spare(w) {
		return
	}
	w.record.silent = 0
	c.quarantine(now, w, silencePause)
}

// failuresAllowed is smaller for a worker that was in quarantine and has not had a success since.
func (c *Core) failuresAllowed(w *worker) int {
	if w.record.tries > 0 {
		return 1
	}
	return failuresPerWorker
}

// spare reports whether most workers remain without w: where everything fails, the
// jobs are at fault.
func (c *Core) spare(w *worker) bool {
	usable := 0
	for _, other := range c.ordered {
		if other != w && other.usable() {
			usable++
		}
	}
	return 2*usable >= len(c.ordered)
}

// probe lets a quarantined worker take work again; its next failure sends it back for longer.
func (c *Core) probe(w *worker) {
	if !w.record.quarantined {
		return
	}
	w.record.quarantined = false
	w.record.failures = 0
	c.emit(Note{Code: NoteProbed, Worker: w.def.ID})
	c.rebind()
}

// blame ends the suspicion against workers on which a job failed that fails everywhere.
func (c *Core) blame(j *job) {
	if len(j.failedOn) < failuresPerJob {
		return
	}
	for _, id := range j.failedOn {
		w := c.worker(id)
		w.record.failures = max(w.record.failures-1, 0)
	}
}
