// Package lease keeps the holder's view of a lease on a worker. All times are readings of
// the holder's own monotonic clock, which also runs while the process is stopped; the
// worker's clock is never asked (Gray and Cheriton, "Leases", SOSP 1989).
package lease

import (
	"sync"
	"time"
)

// Lease is one lease on one worker.
type Lease struct {
	ttl    time.Duration
	margin time.Duration

	mu sync.Mutex
	// renewed is the time before the last successful renewal was sent.
	renewed time.Time
	// reached is the time after the last call that may have reached the worker.
	reached time.Time
}

// marginShare is the share of the lease's life kept as a margin for clocks that run at
// slightly different speeds.
const marginShare = 20

// New returns a lease that is not held. since is when the worker may last have been
// renewed by anyone: its lapse cannot be proven before since plus the life.
func New(ttl time.Duration, since time.Time) *Lease {
	return &Lease{ttl: ttl, margin: ttl / marginShare, reached: since}
}

// Renewed notes a successful renewal; sent was read before it was sent.
func (l *Lease) Renewed(sent, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if sent.After(l.renewed) {
		l.renewed = sent
	}
	l.reach(now)
}

// Unsure notes a call without an answer, which may have renewed the lease until now.
func (l *Lease) Unsure(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reach(now)
}

func (l *Lease) reach(now time.Time) {
	if now.After(l.reached) {
		l.reached = now
	}
}

// Held reports whether the lease is surely held.
func (l *Lease) Held(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.renewed.IsZero() && now.Before(l.renewed.Add(l.ttl-l.margin))
}

// Lapsed reports whether the lease has surely lapsed by the worker's clock too.
func (l *Lease) Lapsed(now time.Time) bool { return l.UntilLapsed(now) <= 0 }

// UntilLapsed returns how long no call may be made until the lapse is proven.
func (l *Lease) UntilLapsed(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reached.Add(l.ttl + l.margin).Sub(now)
}
