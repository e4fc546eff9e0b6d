package core

import (
	"fmt"
	"time"

	"agatewinch/internal/core/admission"
	"agatewinch/internal/errkind"
)

// The parameters of the retry delay sent with a refusal.
const (
	retryAfterMin = admission.MinRetryAfter
	retryAfterMax = admission.MaxRetryAfter
	// departureFraction is the fraction of the waiting jobs that should have left the queue before a
	// refused caller retries.
	departureFraction = 0.125
	// departureHalfLife is the time in which the count of departures decays to half.
	departureHalfLife = 30 * time.Second
)

// classCount counts the jobs of one class of an organisation.
type classCount struct {
	waiting int
	// departures is the decayed number of jobs that have left the queue, as of at.
	departures float64
	at         Instant
}

func (o *org) count(name ClassName) *classCount {
	n, ok := o.classes[name]
	if !ok {
		n = &classCount{}
		o.classes[name] = n
	}
	return n
}

// submit admits or refuses a job. A submission of a known job joins the existing one.
func (c *Core) submit(now Instant, submitted Job) {
	if j := c.jobs[submitted.ID]; j != nil {
		if j.orphan {
			c.identifyOrphan(j, submitted)
		}
		return
	}
	if c.emitOrphanOutcome(submitted.ID) {
		return
	}
	if refusal, refused := c.refusal(now, submitted); refused {
		c.emit(refusal)
		return
	}
	j := c.newJob(now, submitted)
	j.checkedGeneration = c.cfg.Generation
	c.enqueue(now, j)
}

// newJob registers a job and sets the timer of its deadline.
func (c *Core) newJob(now Instant, submitted Job) *job {
	c.jobSeq++
	j := &job{Job: submitted, state: Queued, arrived: now, seq: c.jobSeq}
	j.org = c.org(j.Org)
	j.class = c.class(j.org, j.Class)
	j.caller = j.org.caller(j.Caller)
	j.caller.jobs++
	c.jobs[j.ID] = j
	if j.Timeout > 0 {
		c.addTimer(timer{at: now.Add(j.Timeout), kind: timerDeadline, job: j})
	}
	return j
}

// refusal returns the answer to a job that cannot be admitted; false when it can be.
func (c *Core) refusal(now Instant, submitted Job) (JobRefused, bool) {
	r := JobRefused{Job: submitted.ID}
	if c.cfg == nil {
		r.Kind, r.Message = errkind.NoScheduler, "no configuration is in force yet"
		r.RetryAfterSeconds = retryAfterMin.Seconds()
		return r, true
	}
	if why := c.neverFitsReason(submitted); why != "" {
		r.Kind, r.Message = errkind.NeverRunnable, why
		return r, true
	}
	o := c.org(submitted.Org)
	n := o.count(submitted.Class)
	limit := o.def.MaxQueued
	if limit <= 0 {
		limit = c.opts.MaxQueued
	}
	if n.waiting < limit {
		return r, false
	}
	r.Kind = errkind.QueueFull
	r.Message = fmt.Sprintf("%d jobs of organisation %s and class %s are waiting, which is the limit", n.waiting, submitted.Org, submitted.Class)
	r.RetryAfterSeconds = n.retryAfter(now, submitted.ID).Seconds()
	return r, true
}

// countDeparture counts a job that leaves the queue.
func (n *classCount) countDeparture(now Instant) {
	n.departures = n.departuresAt(now) + 1
	n.at = now
}

// departuresAt returns the count of departures, decayed to now.
func (n *classCount) departuresAt(now Instant) float64 {
	return n.departures / (1 + now.Sub(n.at).Seconds()/departureHalfLife.Seconds())
}

// retryAfter returns the time in which departureFraction of the waiting jobs leave the queue at
// the measured rate, within the bounds of admission.RetryAfter and with its jitter.
func (n *classCount) retryAfter(now Instant, id JobID) time.Duration {
	rate := n.departuresAt(now) / departureHalfLife.Seconds()
	wait := retryAfterMax
	if rate > 0 {
		wait = time.Duration(min(float64(n.waiting)*departureFraction/rate, retryAfterMax.Seconds()) * float64(time.Second))
	}
	return admission.RetryAfter(wait, string(id))
}
