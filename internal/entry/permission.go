package entry

import (
	"sync/atomic"
	"time"
)

// permission is the leader's permission to send orders. Each record that the log accepts from the
// leader renews it until leaderTimeout after the record was first sent, because another host claims
// the role no sooner. It is measured by a clock that also counts the time for which the process was
// paused or its machine suspended. A leader without it only extends leases, which its successor
// allows for. It is safe for concurrent use.
type permission struct {
	// sinceBoot is the clock.
	sinceBoot func() time.Duration
	// until is the end of the permission in nanoseconds, by sinceBoot.
	until atomic.Int64
}

func newPermission(sinceBoot func() time.Duration, sentAt time.Duration) *permission {
	p := &permission{sinceBoot: sinceBoot}
	p.renew(sentAt)
	return p
}

// renew extends the permission after the log has accepted a record that was sent at sentAt.
func (p *permission) renew(sentAt time.Duration) { p.until.Store(int64(sentAt + leaderTimeout)) }

// withdraw ends the permission until the log accepts another record.
func (p *permission) withdraw() { p.until.Store(0) }

// valid reports whether orders may be sent now.
func (p *permission) valid() bool { return int64(p.sinceBoot()) < p.until.Load() }
