package dispatch

import "time"

const (
	// probeRetry is the pause between looks at a worker that does not answer and on which
	// nothing can run any more: each look is priced.
	probeRetry = time.Second
	// doubtAfter is how old a worker's last answer may be when others of its zone stop
	// answering; a look is answered every two seconds where something runs.
	doubtAfter = 500 * time.Millisecond
	// doubtPause bounds how often a zone's workers are all looked at.
	doubtPause = 2 * time.Second
)

// unreachable workers get no new work until they answer a look. One call without an answer
// is enough: a sound worker answers the look that follows within milliseconds.
func (w *worker) unreachable() bool { return w.misses > 0 }

// missed counts a call that a worker did not answer.
func (c *Core) missed(now Now, w *worker, o Outcome) {
	w.misses++
	if w.misses > 1 {
		return
	}
	w.holdAt = now.Mono
	c.note(Note{What: "worker unreachable", Worker: w.ID, Why: o.String()})
	c.doubtZone(now, w)
}

// answered takes note that a worker was heard.
func (c *Core) answered(now Now, w *worker) {
	w.heardAt = now.Mono
	if !w.unreachable() {
		return
	}
	w.misses = 0
	c.dirty = true
	c.note(Note{What: "worker reachable", Worker: w.ID})
}

// noteFenced takes note that w has taken an order with this decider's epoch: former ones
// cannot renew its lease any more.
func (c *Core) noteFenced(now Now, w *worker) {
	if w.fenced {
		return
	}
	w.fenced = true
	w.inheritedUntil = min(w.inheritedUntil, now.Mono+c.set.longestLease())
}

// doubtZone has all workers of a zone looked at once a second one of them does not answer.
// The load: a zone that is cut off, where each start on a worker that is not yet known to
// be unreachable would hold its gang up for a whole lease.
func (c *Core) doubtZone(now Now, missing *worker) {
	if at, ok := c.doubted[missing.Zone]; ok && now.Mono < at+doubtPause {
		return
	}
	others := 0
	for _, w := range c.sorted {
		if w != missing && w.Zone == missing.Zone && w.unreachable() {
			others++
		}
	}
	if others == 0 {
		return
	}
	c.doubted[missing.Zone] = now.Mono
	c.note(Note{What: "zone doubted", Worker: missing.ID, Why: missing.Zone})
	for _, w := range c.sorted {
		if w.Zone == missing.Zone && w.listed && !w.unreachable() && now.Mono-w.heardAt > doubtAfter {
			w.misses = 1
			w.holdAt = now.Mono
		}
	}
}

// Reach counts the listed workers and those of them that answer.
func (c *Core) Reach() (answering, listed int) {
	for _, w := range c.sorted {
		if !w.listed || w.Draining {
			continue
		}
		listed++
		if !w.unreachable() {
			answering++
		}
	}
	return answering, listed
}
