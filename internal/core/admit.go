package core

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"agatewinch/internal/errkind"
)

// The bounds of the advice when to come back.
const (
	retryAfterMin = time.Second
	retryAfterMax = 5 * time.Minute
	// drainShare is the part of the queue that has to drain before a refused caller comes back.
	drainShare = 0.125
	// drainHalfLife is the time in which the measured drain rate forgets half.
	drainHalfLife = 30 * time.Second
)

// classCount is an organisation's jobs of one class.
type classCount struct {
	waiting int
	// drained is the decayed count of jobs that left the queue, as of at.
	drained float64
	at      Instant
}

func (o *org) count(name ClassName) *classCount {
	n, ok := o.classes[name]
	if !ok {
		n = &classCount{}
		o.classes[name] = n
	}
	return n
}

// submit admits a job, joins it to the one that is there, or refuses it.
func (c *Core) submit(now Instant, submitted Job) {
	if j := c.jobs[submitted.ID]; j != nil {
		if j.orphan {
			c.claimOrphan(j, submitted)
		}
		return
	}
	if c.tellUnclaimed(submitted.ID) {
		return
	}
	if refusal, refused := c.refusal(now, submitted); refused {
		c.emit(refusal)
		return
	}
	j := c.newJob(now, submitted)
	j.checked = c.cfg.Generation
	c.enqueue(now, j)
}

// newJob books a job that has not ended.
func (c *Core) newJob(now Instant, submitted Job) *job {
	c.jobSeq++
	j := &job{Job: submitted, state: Queued, arrived: now, seq: c.jobSeq}
	j.org = c.org(j.Org)
	j.class = c.class(j.org, j.Class)
	j.caller = j.org.caller(j.Caller)
	j.caller.jobs++
	c.jobs[j.ID] = j
	if j.Timeout > 0 {
		c.after(timer{at: now.Add(j.Timeout), kind: timerDeadline, job: j})
	}
	return j
}

// refusal is the answer to a job that is not admitted.
func (c *Core) refusal(now Instant, submitted Job) (JobRefused, bool) {
	r := JobRefused{Job: submitted.ID}
	if c.cfg == nil {
		r.Kind, r.Message = errkind.NoScheduler, "no configuration is in force yet"
		r.RetryAfterSeconds = retryAfterMin.Seconds()
		return r, true
	}
	if why := c.neverFits(submitted); why != "" {
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
	r.Message = fmt.Sprintf("%d jobs of organisation %s and class %s wait, the most that may", n.waiting, submitted.Org, submitted.Class)
	r.RetryAfterSeconds = n.retryAfter(now, submitted.ID).Seconds()
	return r, true
}

// left counts a job that left the queue.
func (n *classCount) left(now Instant) {
	n.drained = n.drainedAt(now) + 1
	n.at = now
}

func (n *classCount) drainedAt(now Instant) float64 {
	return n.drained / (1 + now.Sub(n.at).Seconds()/drainHalfLife.Seconds())
}

// retryAfter is the time in which a part of the queue drains at the measured rate,
// spread by the job's hash so that refused callers do not come back together.
func (n *classCount) retryAfter(now Instant, id JobID) time.Duration {
	rate := n.drainedAt(now) / drainHalfLife.Seconds()
	wait := retryAfterMax
	if rate > 0 {
		wait = time.Duration(min(float64(n.waiting)*drainShare/rate, retryAfterMax.Seconds()) * float64(time.Second))
	}
	return time.Duration(float64(max(wait, retryAfterMin)) * spread(id))
}

// spread returns a factor between three and five quarters that depends on the job alone.
func spread(id JobID) float64 {
	const steps = 1 << 16
	return 0.75 + 0.5*float64(xxhash.Sum64String(string(id))%steps)/steps
}
