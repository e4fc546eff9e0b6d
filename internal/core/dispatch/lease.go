package dispatch

import (
	"fmt"
	"time"

	"agatewinch/internal/core/job"
)

// probesPerLease is how many probes that wait as long as they may fit into the rest of a lease, so that it is
// extended in time after one that was not answered.
const probesPerLease = 3

// LimitLeases limits the leases that are granted from now on to the given time, by Now.Mono. The process
// counts it from the last record that the log accepted from this leader. A successor knows that record,
// and the limit, and so when all leases of this leader have expired. A worker may grant a longer lease only
// to a new incarnation of which this leader does not know.
func (c *Core) LimitLeases(until time.Duration) { c.leasesUntil = until }

// LongestLease is the longest time for which a lease of the given TTL may keep runs on a worker, whose clock
// may be slow.
func LongestLease(ttl time.Duration) time.Duration {
	return time.Duration(float64(ttl)/minClockRate) + leaseExpiryMargin
}

// leaseLeft returns for how long a lease may be granted now.
func (c *Core) leaseLeft(now Now) time.Duration {
	return max(0, min(c.settings.LeaseTTL, c.leasesUntil-now.Mono))
}

// extendLease extends a worker's lease and returns its end by the worker's clock, in milliseconds. The
// clock may be slow, so that the lease is requested for less than the time that is left. A lease never gets
// shorter.
func (c *Core) extendLease(now Now, w *worker, ttl time.Duration) int64 {
	ttl = min(ttl, time.Duration(float64(c.leaseLeft(now))*minClockRate))
	w.leaseUntilMs = max(w.leaseUntilMs, w.clockAtLeast(now.Mono)+ttl.Milliseconds())
	return w.leaseUntilMs
}

// resetClock replaces the lower bound of w's clock, which has proved too high, with a time that its clock has
// reached, in milliseconds. Leases by the former bound last for as long as the worker grants any.
func (c *Core) resetClock(now Now, w *worker, clockMs int64) {
	c.note(Note{Kind: "worker clock reset", Worker: w.ID, Why: fmt.Sprintf("at least %d ms was assumed, %d ms is known", w.clockAtLeast(now.Mono), clockMs)})
	w.ClockMs, w.clockAt, w.leaseUntilMs = clockMs, now.Mono, 0
	w.inheritedUntil = max(w.inheritedUntil, now.Mono+c.settings.longestLease())
}

// inheritLease sets how long the leases of former leaders may cover an adopted run. limited is set if the
// run is known to be on the recorded incarnation, under leases with a limit, and ended if that incarnation
// has ended.
func (c *Core) inheritLease(r *run, limited, ended bool) {
	r.inheritedUntil = c.inheritedUntil
	if limited && !ended {
		r.leaseLimited, r.inheritedUntil = true, c.knownLeasesUntil
		r.worker.inheritedUntil = min(r.worker.inheritedUntil, c.knownLeasesUntil)
	}
}

// markLeaseLimited records that every lease on a run that its worker has just listed is subject to the
// leaders' limit, once no other lease can be left on the worker: one of a leader before the limits, or one
// that was meant for a previous incarnation.
func (c *Core) markLeaseLimited(now Now, r *run) {
	r.inheritedUntil = 0
	if r.leaseLimited || r.phase != running || now.Mono <= r.worker.inheritedUntil {
		return
	}
	r.leaseLimited = true
	c.unrecorded = append(c.unrecorded, r.task)
}

// recordLeaseLimits adds the tasks whose runs were found to be subject to the limit to the open batch. They
// wait for a tick or for other records, since an append for each would multiply the calls at the log.
func (c *Core) recordLeaseLimits() {
	for _, t := range c.unrecorded {
		if t.current != nil {
			c.record(t)
		}
	}
	c.unrecorded = nil
}

// leasesExpireAt returns when every lease that may cover r has certainly expired.
func (r *run) leasesExpireAt() time.Duration {
	if r.worker.leaseUntilMs == 0 && r.worker.inheritedUntil == 0 {
		return never // its start has not been sent
	}
	return max(r.worker.leasesExpireAt(), r.inheritedUntil)
}

// expireLeases ends the runs whose leases have expired, and notes when the next ones do on workers that do
// not answer.
func (c *Core) expireLeases(now Now) {
	c.nextExpiry = 0
	for _, w := range c.sortedWorkers {
		if len(w.presumed) > 0 && (w.leaseUntilMs > 0 || w.inheritedUntil > 0) && now.Mono > w.leasesExpireAt() {
			c.resolveAll(w) // ends that a worker lists after its lease has expired do not count
		}
		for _, r := range c.runsOf(w) {
			switch at := r.leasesExpireAt(); {
			case r.phase == recording:
			case now.Mono > at:
				c.endRun(now, r, job.EndLost, r.checkpoint)
			case w.unreachable() && (c.nextExpiry == 0 || at < c.nextExpiry):
				c.nextExpiry = at
			}
		}
	}
	if c.nextExpiry > 0 {
		c.wakeAt(now, c.nextExpiry+time.Millisecond)
	}
}

// expireLeasesIfDue does so when the first leases expire, between two ticks.
func (c *Core) expireLeasesIfDue(now Now) {
	if c.nextExpiry > 0 && now.Mono > c.nextExpiry {
		c.expireLeases(now)
	}
}
