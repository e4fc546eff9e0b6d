// Package lease tracks a lease on a worker from the side of the lease holder, the leader that
// package election has elected. All times are readings of the holder's own monotonic clock,
// which keeps running while the process is stopped; the worker's clock is never read (Gray and
// Cheriton, "Leases", SOSP 1989).
package lease

import (
	"sync"
	"time"
)

// Lease records when a lease on one worker was last renewed, and when a call may last have
// renewed it.
type Lease struct {
	ttl    time.Duration
	margin time.Duration

	mu sync.Mutex
	// renewedAt is the time read before the last successful renewal was sent.
	renewedAt time.Time
	// lastContact is the time read after the last call that may have reached the worker.
	lastContact time.Time
}

// marginDivisor sets the safety margin to ttl/marginDivisor. The margin allows for clocks
// that run at slightly different rates.
const marginDivisor = 20

// New returns a lease that is not held. since is the latest time at which any holder may
// have renewed the worker's lease: the lease does not count as expired until ttl and the
// margin have passed since then.
func New(ttl time.Duration, since time.Time) *Lease {
	return &Lease{ttl: ttl, margin: ttl / marginDivisor, lastContact: since}
}

// Renewed records a successful renewal. sent was read before the request was sent, and now
// after the answer arrived.
func (l *Lease) Renewed(sent, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if sent.After(l.renewedAt) {
		l.renewedAt = sent
	}
	l.noteContact(now)
}

// Unanswered records a call without an answer, which may have renewed the lease at any time
// up to now.
func (l *Lease) Unanswered(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.noteContact(now)
}

func (l *Lease) noteContact(now time.Time) {
	if now.After(l.lastContact) {
		l.lastContact = now
	}
}

// Held reports whether the lease is certainly held.
func (l *Lease) Held(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.renewedAt.IsZero() && now.Before(l.renewedAt.Add(l.ttl-l.margin))
}

// Expired reports whether the lease has certainly expired, by the worker's clock too.
func (l *Lease) Expired(now time.Time) bool { return l.UntilExpired(now) <= 0 }

// UntilExpired returns the time until the lease has certainly expired, provided that no
// further call reaches the worker. It is negative or zero once the lease has expired.
func (l *Lease) UntilExpired(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lastContact.Add(l.ttl + l.margin).Sub(now)
}
