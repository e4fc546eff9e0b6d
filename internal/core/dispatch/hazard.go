package dispatch

import (
	"math"
	"time"
)

// hazard estimates how often running work is preempted from what was seen lately. Only work counts
// that loses its progress when it is stopped.
type hazard struct {
	// stops is the number of such runs that were stopped for other work, and exposure the time for
	// which such runs ran, in run-seconds. Both fade with hazardMemory.
	stops, exposure float64
	// runs is the number of such runs now, and at the time up to which they are counted.
	runs int
	at   time.Duration
}

const (
	// hazardMemory is the time after which an observation counts for 1/e: several bursts of urgent
	// work are then remembered.
	hazardMemory = 10 * time.Second
	// priorExposure is the exposure without a stop that is assumed before any observation, in
	// run-seconds for each worker. It keeps a single stop from holding back all work.
	priorExposure = 0.5
	// minCompletion is the least probability of completion with which work is started that would
	// lose its progress: below it, the expected loss (on average half of a run) exceeds the
	// expected work done.
	minCompletion = 1.0 / 3
)

// advance counts the time up to now.
func (h *hazard) advance(now time.Duration) {
	d := (now - h.at).Seconds()
	if d <= 0 {
		return
	}
	fade := math.Exp(-d / hazardMemory.Seconds())
	h.stops *= fade
	h.exposure = h.exposure*fade + float64(h.runs)*d
	h.at = now
}

// rate returns the expected number of preemptions of one run in a second, on a fleet of the given
// number of workers.
func (h *hazard) rate(workers int) float64 {
	return h.stops / (h.exposure + priorExposure*float64(max(1, workers)))
}

// exposed reports whether a run of s would lose its progress if other work preempted it.
func (s *step) exposed() bool {
	return s.job.spec.Priority != urgentPriority && !s.spec.Checkpoints && !s.spec.LongRunning
}

// countExposed counts a run of s that begins (1) or ends (-1).
func (c *Core) countExposed(s *step, delta int) {
	if s.exposed() {
		c.hazard.runs += delta
	}
}

// countPreemption counts a run that is stopped for other work.
func (c *Core) countPreemption(now Now, r *run) {
	if r.task.step.exposed() {
		c.hazard.advance(now.Mono)
		c.hazard.stops++
	}
}

// wouldBeLost reports whether a run of s that starts now would probably be preempted before it is
// done, so that starting it would only throw work away and delay the urgent work that preempts it.
// Work is never held back on a fleet with much idle capacity.
func (c *Core) wouldBeLost(now Now, s *step) bool {
	if !s.exposed() {
		return false
	}
	c.hazard.advance(now.Mono)
	if math.Exp(-c.hazard.rate(len(c.sortedWorkers))*c.expectedRunTime(now, s, nil).Seconds()) >= minCompletion || c.utilisation() < quietUtilisation {
		return false
	}
	c.wakeAt(now, now.Mono+holdBackInterval)
	return true
}

// holdBackInterval is the time after which work that is held back is considered again.
const holdBackInterval = 250 * time.Millisecond
