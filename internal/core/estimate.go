package core

import (
	"math"
	"time"
)

// The bounds of an estimate.
const (
	// estimateGain is the weight of a new observation.
	estimateGain = 0.1
	// estimateRange bounds the learned ratio, in powers of two each way.
	estimateRange = 5.0
	// unknownRun is the declared time of a job that declares none.
	unknownRun = time.Minute
)

// estimateKey names what is learned together.
type estimateKey struct {
	org   OrgID
	class ClassName
}

// estimate is the learned ratio of actual to declared run time, as a mean and a mean
// deviation of its logarithm, smoothed as TCP smooths its round-trip time
// (Jacobson, SIGCOMM 1988).
type estimate struct {
	n    int
	mean float64
	dev  float64
}

// span is an estimated run time. It orders and backfills; no safety rests on it.
type span struct {
	likely time.Duration
	upper  time.Duration
}

func declared(j *job) time.Duration {
	if j.Declared <= 0 {
		return unknownRun
	}
	return j.Declared
}

// learn takes the run time of a job that ended well.
func (c *Core) learn(j *job) {
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
	e.observe(math.Log2(float64(ran) / float64(declared(j))))
}

func (e *estimate) observe(ratio float64) {
	ratio = min(max(ratio, -estimateRange), estimateRange)
	e.n++
	gain := max(estimateGain, 1/float64(e.n))
	e.dev += gain * (math.Abs(ratio-e.mean) - e.dev)
	e.mean += gain * (ratio - e.mean)
}

// estimate returns how long j is expected to run.
func (c *Core) estimate(j *job) span {
	d := float64(declared(j))
	e := c.estimates[estimateKey{j.Org, j.Class}]
	if e == nil {
		return span{likely: time.Duration(d), upper: time.Duration(2 * d)}
	}
	upper := min(e.mean+2*e.dev, estimateRange)
	return span{likely: time.Duration(d * math.Exp2(e.mean)), upper: time.Duration(d * math.Exp2(upper))}
}

// endsBy is when the job's cells are expected to be free; an estimate that has passed
// counts as a tenth of the time run so far.
func (c *Core) endsBy(now Instant, j *job) Instant {
	if j.state != Running {
		return now.Add(c.estimate(j).likely)
	}
	end := j.began.Add(c.estimate(j).likely)
	if end <= now {
		return now.Add(now.Sub(j.began)/10 + time.Second)
	}
	return end
}
