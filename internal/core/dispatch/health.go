package dispatch

import (
	"fmt"
	"slices"
	"time"
)

const (
	// quarantineFailures is how many failed runs, without a run that is done between them, put a
	// worker into quarantine. They have to belong to at least two jobs.
	quarantineFailures = 3
	// minQuarantine is the length of the first quarantine; each further one is twice as long,
	// up to maxQuarantine. A run that is done resets the length. A worker may be the only one that
	// can run some long-running tasks, and the operators allow these 9 s without a run.
	minQuarantine = 4 * time.Second
	maxQuarantine = 8 * time.Second
)

// health tracks the runs of a worker that have failed since one was last done, to distinguish a
// faulty worker from a job that fails on every worker. Only the first worker on which a task or a gang
// fails is charged with its failures: further ones speak against the job.
type health struct {
	failures         int
	jobs             map[string]bool
	quarantinedUntil time.Duration
	// lastQuarantine is the length of the latest quarantine, or zero.
	lastQuarantine time.Duration
}

// failedElsewhere reports whether t or, in a gang, any member has failed or stalled on another worker
// than w.
func (s *step) failedElsewhere(t *task, w *worker) bool {
	other := func(id string) bool { return id != w.ID }
	if !s.spec.Gang {
		return slices.ContainsFunc(t.failedOn, other)
	}
	return slices.ContainsFunc(s.tasks, func(m *task) bool { return slices.ContainsFunc(m.failedOn, other) })
}

func (h *health) quarantined(now time.Duration) bool { return now < h.quarantinedUntil }

// recordSuccess resets the count of failures and ends a quarantine.
func (h *health) recordSuccess() { *h = health{} }

// recordFailure counts a failed run and reports whether it put the worker into quarantine. After a
// quarantine only jobs count that have not failed on the worker before.
func (h *health) recordFailure(now time.Duration, jobID string) (quarantined bool) {
	if h.lastQuarantine > 0 && h.jobs[jobID] {
		return false
	}
	if h.jobs == nil {
		h.jobs = map[string]bool{}
	}
	h.failures++
	h.jobs[jobID] = true
	if h.failures < quarantineFailures || len(h.jobs) < 2 {
		return false
	}
	return h.quarantine(now)
}

// quarantine starts a quarantine. It always returns true.
func (h *health) quarantine(now time.Duration) bool {
	if h.lastQuarantine == 0 {
		h.lastQuarantine = minQuarantine
	} else {
		h.lastQuarantine = min(2*h.lastQuarantine, maxQuarantine)
	}
	h.quarantinedUntil = now + h.lastQuarantine
	h.failures = quarantineFailures - 1 // one further failure is enough if the failed runs belong to at least two jobs
	return true
}

const (
	// stallTimeout is the least time without progress after which a run is stalled. Workers are
	// probed every two seconds, so it takes two probes without progress to find a run stalled.
	stallTimeout = 3500 * time.Millisecond
	// stalledPercents is how many times the expected time of a percent a run may take for one
	// before it is stalled.
	stalledPercents = 2
	// maxStallTimeout bounds the timeout before the backoff, since estimates may be far too high.
	maxStallTimeout = time.Hour
	// maxStallBackoff bounds the exponent of the backoff of stall timeouts.
	maxStallBackoff = 12
)

// timePerPercent returns how long r is expected to take for a percent of its work: as long as for those it
// has reported or, before it has reported any, by its expected run time for a spread gang or away from its data.
func (r *run) timePerPercent(spreadFactor float64) time.Duration {
	if n := r.percent - r.firstPercent; n > 0 {
		return (r.percentAt - r.firstPercentAt) / time.Duration(n)
	}
	return time.Duration(float64(r.runTime()) / 100 * max(1, spreadFactor))
}

// stallTimeout returns the time without progress after which r is stalled. It doubles with each run of
// the task that was stopped as stalled, since estimates may be far too low: a slow task would otherwise
// be stopped again and again.
func (c *Core) stallTimeout(r *run) time.Duration {
	expected := min(r.timePerPercent(c.settings.SpreadFactor), maxStallTimeout/stalledPercents)
	return max(stallTimeout, stalledPercents*expected) << min(r.task.stalls, maxStallBackoff)
}

// stalled reports whether r makes no progress though its worker answers.
func (c *Core) stalled(r *run) bool {
	if r.phase != running || r.task.step.spec.LongRunning || r.task.step.spec.BestEffort || r.percent >= 100 {
		return false
	}
	// Without unanswered calls, nextProbeAt is normally when the last answer to a probe arrived.
	return r.worker.nextProbeAt > max(r.percentAt, r.confirmedAt)+c.stallTimeout(r)
}

// stopStalledRuns stops runs that make no progress, so that their tasks move to other workers. It
// quarantines the workers of tasks that have not been stalled elsewhere before.
func (c *Core) stopStalledRuns(now Now) {
	for _, w := range c.sortedWorkers {
		if w.unansweredCalls > 0 {
			continue
		}
		for _, r := range c.runsOf(w) {
			if c.stalled(r) {
				c.stopStalled(now, r)
			}
		}
	}
}

func (c *Core) stopStalled(now Now, r *run) {
	t, w := r.task, r.worker
	c.note(Note{Kind: "stalled", Task: t.id.String(), Run: r.number, Worker: w.ID, Why: fmt.Sprintf("no progress in %v", c.stallTimeout(r))})
	t.failedOn, t.failedAt = append(t.failedOn, w.ID), now.Mono
	if t.stalls == 0 {
		w.health.quarantine(now.Mono)
	}
	c.stop(now, r, "stalled")
	if !t.step.spec.Gang {
		t.stalls++
		return
	}
	for _, m := range t.step.tasks {
		m.stalls++
	}
	c.breakGang(now, t.step, r.number)
}
