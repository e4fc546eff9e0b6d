package dispatch

import "time"

const (
	// idleProbeRetry is the delay between probes of a worker that does not answer and has no
	// runs left. It is longer than probeRetry because each probe is charged for.
	idleProbeRetry = time.Second
	// suspectAfter is how old a worker's last answer may be for the worker to count as
	// reachable when others of its zone stop answering. Workers with runs answer a probe every
	// two seconds.
	suspectAfter = 500 * time.Millisecond
	// suspectInterval is the least time after which a zone may be suspected again; it bounds
	// how often all of its workers are probed.
	suspectInterval = 2 * time.Second
)

// unreachable reports whether the last call to w was not answered, or suspectZone has marked w. w
// then gets no new work until it answers. A single unanswered call is enough, because a healthy
// worker answers the probe that follows within milliseconds.
func (w *worker) unreachable() bool { return w.unansweredCalls > 0 }

// answers reports whether w is reachable and its last answer is recent. An answer becomes old before a
// call is known to be unanswered while a probe waits for a run to end, or while probes are held back
// until ends are recorded.
func (w *worker) answers(now Now) bool {
	return !w.unreachable() && now.Mono <= w.lastAnswerAt+maxAnswerAge
}

// recordUnanswered counts a call that w did not answer. The first one in a row makes w unreachable
// and schedules a probe immediately.
func (c *Core) recordUnanswered(now Now, w *worker, o Outcome) {
	w.unansweredCalls++
	if w.unansweredCalls > 1 {
		return
	}
	w.nextProbeAt = now.Mono
	c.note(Note{Kind: "worker unreachable", Worker: w.ID, Why: o.String()})
	c.suspectZone(now, w)
	c.endFirstEndedOn(now, w)
}

// recordAnswer records that w has answered, and makes it reachable again.
func (c *Core) recordAnswer(now Now, w *worker) {
	w.lastAnswerAt = now.Mono
	if !w.unreachable() {
		return
	}
	w.unansweredCalls = 0
	c.inputsChanged = true
	c.note(Note{Kind: "worker reachable", Worker: w.ID})
}

// markEpochAccepted records that w has accepted a call with this leader's epoch, so that former
// leaders can no longer renew its lease.
func (c *Core) markEpochAccepted(now Now, w *worker) {
	if w.epochAccepted {
		return
	}
	w.epochAccepted = true
	w.inheritedUntil = min(w.inheritedUntil, now.Mono+c.settings.longestLease())
}

// suspectZone marks all workers of a zone without a recent answer as unreachable, and schedules
// probes of them, when a second worker of the zone does not answer. In a partitioned zone, each
// start on a worker that is not yet known to be unreachable would delay its gang by a whole lease.
func (c *Core) suspectZone(now Now, missing *worker) {
	if at, ok := c.zoneSuspectedAt[missing.Zone]; ok && now.Mono < at+suspectInterval {
		return
	}
	others := 0
	for _, w := range c.sortedWorkers {
		if w != missing && w.Zone == missing.Zone && w.unreachable() {
			others++
		}
	}
	if others == 0 {
		return
	}
	c.zoneSuspectedAt[missing.Zone] = now.Mono
	c.note(Note{Kind: "zone suspected unreachable", Worker: missing.ID, Why: missing.Zone})
	for _, w := range c.sortedWorkers {
		if w.Zone == missing.Zone && w.listed && !w.unreachable() && now.Mono-w.lastAnswerAt > suspectAfter {
			w.unansweredCalls = 1
			w.nextProbeAt = now.Mono
		}
	}
}

// CountReachable returns how many of the listed workers that are neither draining nor in an evacuated zone
// are reachable, and how many such workers there are.
func (c *Core) CountReachable() (reachable, listed int) {
	for _, w := range c.sortedWorkers {
		if !w.listed || w.Draining || c.evacuated(w) {
			continue
		}
		listed++
		if !w.unreachable() {
			reachable++
		}
	}
	return reachable, listed
}
