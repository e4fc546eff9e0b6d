package dispatch

import "time"

const (
	// quarantineFailures is how many failed runs, without a run that is done between them, put a
	// worker into quarantine. They have to belong to at least two jobs.
	quarantineFailures = 3
	// minQuarantine is the length of the first quarantine; each further one is twice as long,
	// up to maxQuarantine. A run that is done resets the length.
	minQuarantine = 4 * time.Second
	maxQuarantine = 16 * time.Second
)

// health tracks the runs of a worker that have failed since one was last done, to distinguish a
// faulty worker from a job that fails on every worker.
type health struct {
	failures         int
	jobs             map[string]bool
	quarantinedUntil time.Duration
	// lastQuarantine is the length of the latest quarantine, or zero.
	lastQuarantine time.Duration
}

func (h *health) quarantined(now time.Duration) bool { return now < h.quarantinedUntil }

// recordSuccess resets the count of failures and ends a quarantine.
func (h *health) recordSuccess() { *h = health{} }

// recordFailure counts a failed run and reports whether it put the worker into quarantine.
func (h *health) recordFailure(now time.Duration, jobID string) (quarantined bool) {
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

// stallTimeout is the time without progress after which a run is stalled. Workers are probed
// every two seconds, so it takes two probes without progress to find a run stalled.
const stallTimeout = 3500 * time.Millisecond

// stopStalledRuns stops runs that make no progress, so that their tasks move to other workers,
// and quarantines their workers.
func (c *Core) stopStalledRuns(now Now) {
	for _, w := range c.sortedWorkers {
		if w.unansweredCalls > 0 {
			continue
		}
		for _, r := range c.runsOf(w) {
			// Without unanswered calls, nextProbeAt is normally when the last answer to a probe arrived.
			if r.phase != running || r.task.step.spec.LongRunning || r.task.step.spec.BestEffort || w.nextProbeAt <= r.percentAt+stallTimeout || r.percent >= 100 || r.confirmedAt+stallTimeout > w.nextProbeAt {
				continue
			}
			c.note(Note{Kind: "stalled", Task: r.task.id.String(), Run: r.number, Worker: w.ID})
			r.task.failedOn, r.task.failedAt = append(r.task.failedOn, w.ID), now.Mono
			w.health.quarantine(now.Mono)
			c.stop(now, r, "stalled")
			if r.task.step.spec.Gang {
				c.breakGang(now, r.task.step, r.number)
			}
		}
	}
}
