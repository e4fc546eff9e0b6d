package dispatch

import (
	"slices"
	"time"

	"agatewinch/internal/core/job"
)

// presumedEnd is a run whose end was inferred while its worker did not answer. The run is over, but
// only its worker knows whether it failed, and lists that once it can be reached again. A failure
// that the worker lists before its lease has expired counts as an attempt. Until the outcome is
// known, the run is counted as if it had failed when a further run is started, so that a task is
// never started more often than its job allows.
type presumedEnd struct {
	task   *task
	run    int
	worker *worker
	// listed is set if the incarnation on which the run was placed is known to have had it. Otherwise its start
	// may have reached the next one, which then lists the end.
	listed bool
	// at is when the end was inferred or, after a takeover, when it was read from the log.
	at time.Duration
}

// addPresumed adds the presumed end of a run on w.
func (t *task) addPresumed(now Now, w *worker, number int, listed bool) {
	p := &presumedEnd{task: t, run: number, worker: w, listed: listed, at: now.Mono}
	t.presumed = append(t.presumed, p)
	w.presumed = append(w.presumed, p)
}

// restorePresumed adds the presumed ends that the record of t lists, except those of runs that were on
// incarnations that are over: nobody lists these any more.
func (c *Core) restorePresumed(now Now, t *task, ends []job.PresumedEnd) {
	for _, e := range ends {
		if w, ended := c.workerFor(now, e.Worker, e.Incarnation); !ended || !e.Listed {
			t.addPresumed(now, w, e.Run, e.Listed)
		}
	}
}

// presumedRecords returns the presumed ends of t as the log holds them.
func (t *task) presumedRecords() []job.PresumedEnd {
	var out []job.PresumedEnd
	for _, p := range t.presumed {
		out = append(out, job.PresumedEnd{Run: p.run, Worker: p.worker.ID, Incarnation: p.worker.Incarnation, Listed: p.listed})
	}
	return out
}

// resolve removes a presumed end, because its outcome is known or does not count any more.
func (c *Core) resolve(p *presumedEnd) {
	is := func(o *presumedEnd) bool { return o == p }
	p.task.presumed = slices.DeleteFunc(p.task.presumed, is)
	p.worker.presumed = slices.DeleteFunc(p.worker.presumed, is)
	c.inputsChanged = true // its step may have waited for the outcome
}

// resolveListed resolves the presumed ends of runs that the previous incarnation of w is known to have had.
func (c *Core) resolveListed(w *worker) {
	for _, p := range slices.Clone(w.presumed) {
		if p.listed {
			c.resolve(p)
		}
	}
}

// resolveAll resolves the presumed ends on w: its lease has expired.
func (c *Core) resolveAll(w *worker) {
	for _, p := range slices.Clone(w.presumed) {
		c.resolve(p)
	}
}

// resolveAbsent resolves the presumed ends that a complete answer of w does not list.
func (c *Core) resolveAbsent(w *worker, p Probe) {
	for _, e := range slices.Clone(w.presumed) {
		if e.at < p.sentAt {
			c.resolve(e)
		}
	}
}

// applyPresumedEnd applies the listed end of a run that was presumed to have ended. It reports false if
// the end of the run was not presumed.
func (c *Core) applyPresumedEnd(now Now, t *task, w *worker, e EndedRun) bool {
	i := slices.IndexFunc(t.presumed, func(p *presumedEnd) bool { return p.run == e.Run && p.worker == w })
	if i < 0 {
		return false
	}
	c.resolve(t.presumed[i])
	if e.End == job.EndFailed {
		c.recordFailure(now, t, w, e.Run)
	}
	c.record(t) // the batch that acknowledges the end has to contain the count
	c.failIfExhausted(now, t)
	return true
}

// mayExhaustAttempts reports whether s has failed as often as its job allows if the runs with a
// presumed end have failed. Their outcome is then waited for: a further run might be one too many.
func (s *step) mayExhaustAttempts() bool {
	open := map[int]bool{}
	for _, t := range s.tasks {
		for _, p := range t.presumed {
			open[p.run] = true
		}
	}
	return len(open) > 0 && !s.spec.LongRunning && s.failures+len(open) >= s.job.attempts()
}
