package core

import (
	"time"

	"agatewinch/internal/core/estimate"
)

// defaultRunTime is assumed for a job that declares no run time.
const defaultRunTime = time.Minute

// estimateKey identifies the jobs that share an estimate.
type estimateKey struct {
	org   OrgID
	class ClassName
}

// runEstimate is an estimated run time. It is used to order callers, to reserve and backfill
// cells, and to weigh the gain of preempting or moving jobs; no correctness property depends on it.
type runEstimate struct {
	// likely follows from the mean of the learned ratio.
	likely time.Duration
	// upper is two mean deviations above likely on the logarithmic scale; without any observation
	// it is twice likely.
	upper time.Duration
}

func declaredRunTime(j *job) time.Duration {
	if j.Declared <= 0 {
		return defaultRunTime
	}
	return j.Declared
}

// recordRunTime adds the run time of a succeeded job to the estimate for its organisation and
// class.
func (c *Core) recordRunTime(j *job) {
	var ran time.Duration
	for _, t := range j.tasks {
		ran = max(ran, t.ran)
	}
	if ran <= 0 {
		return
	}
	key := estimateKey{j.Org, j.Class}
	e := c.estimates[key]
	if e == nil {
		e = &estimate.Ratio{}
		c.estimates[key] = e
	}
	e.Observe(declaredRunTime(j), ran)
}

// estimate returns the likely run time of j and its upper estimate.
func (c *Core) estimate(j *job) runEstimate {
	d := declaredRunTime(j)
	e := c.estimates[estimateKey{j.Org, j.Class}]
	if e == nil {
		return runEstimate{likely: d, upper: 2 * d}
	}
	return runEstimate{likely: e.Likely(d), upper: e.Upper(d)}
}

// expectedEnd returns when the cells of the job are expected to be free. A job that has
// outrun its estimate is expected to run for another tenth of its time so far, plus a
// second.
func (c *Core) expectedEnd(now Instant, j *job) Instant {
	if j.state != Running {
		return now.Add(c.estimate(j).likely)
	}
	end := j.startedAt.Add(c.estimate(j).likely)
	if end <= now {
		return now.Add(now.Sub(j.startedAt)/10 + time.Second)
	}
	return end
}
