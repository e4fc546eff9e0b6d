package core

import (
	"math"
	"time"
)

// The parameters of run time estimates.
const (
	// estimateGain is the minimum weight of a new observation; the nth observation has 1/n
	// if that is more.
	estimateGain = 0.1
	// estimateRange bounds the base-2 logarithm of the learned ratio in both directions.
	estimateRange = 5.0
	// defaultRunTime is assumed for a job that declares no run time.
	defaultRunTime = time.Minute
)

// estimateKey identifies the jobs that share an estimate.
type estimateKey struct {
	org   OrgID
	class ClassName
}

// estimate is the learned ratio of actual to declared run time, kept as the smoothed
// mean and mean deviation of its logarithm, like the round-trip time estimate of TCP
// (Jacobson, SIGCOMM 1988).
type estimate struct {
	observations int
	mean         float64
	dev          float64
}

// runEstimate is an estimated run time. It is used to order callers, to reserve and backfill
// cells, and to weigh the gain of preempting or moving jobs; no correctness property depends on it.
type runEstimate struct {
	// likely follows from the mean of the learned ratio.
	likely time.Duration
	// upper is two mean deviations above likely on the logarithmic scale, bounded by
	// estimateRange; without any observation it is twice likely.
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
		e = &estimate{}
		c.estimates[key] = e
	}
	e.observe(math.Log2(float64(ran) / float64(declaredRunTime(j))))
}

func (e *estimate) observe(logRatio float64) {
	logRatio = min(max(logRatio, -estimateRange), estimateRange)
	e.observations++
	gain := max(estimateGain, 1/float64(e.observations))
	e.dev += gain * (math.Abs(logRatio-e.mean) - e.dev)
	e.mean += gain * (logRatio - e.mean)
}

// estimate returns the likely run time of j and its upper estimate.
func (c *Core) estimate(j *job) runEstimate {
	d := float64(declaredRunTime(j))
	e := c.estimates[estimateKey{j.Org, j.Class}]
	if e == nil {
		return runEstimate{likely: time.Duration(d), upper: time.Duration(2 * d)}
	}
	upper := min(e.mean+2*e.dev, estimateRange)
	return runEstimate{likely: time.Duration(d * math.Exp2(e.mean)), upper: time.Duration(d * math.Exp2(upper))}
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
