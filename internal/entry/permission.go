package entry

import (
	"sync/atomic"
	"time"
)

// permission is the leader's permission to send orders and to renew the leases of workers. Each record
// that the log accepts from the leader renews it, counted from when the record was first sent: orders may
// be sent for leaderTimeout, because another host claims the role no sooner, and leases renewed for
// maxTimeWithoutLog, which a successor allows for. It is measured by a clock that also counts the time
// for which the process was paused or its machine suspended. It is safe for concurrent use.
type permission struct {
	// sinceBoot is the clock.
	sinceBoot func() time.Duration
	// sentAt is when the last accepted record was first sent, in nanoseconds by sinceBoot.
	sentAt atomic.Int64
	// withdrawn is set if no orders may be sent until the log accepts another record.
	withdrawn atomic.Bool
}

func newPermission(sinceBoot func() time.Duration, sentAt time.Duration) *permission {
	p := &permission{sinceBoot: sinceBoot}
	p.renew(sentAt)
	return p
}

// renew extends the permission after the log has accepted a record that was sent at sentAt.
func (p *permission) renew(sentAt time.Duration) {
	p.sentAt.Store(int64(sentAt))
	p.withdrawn.Store(false)
}

// withdraw ends the permission to send orders until the log accepts another record.
func (p *permission) withdraw() { p.withdrawn.Store(true) }

func (p *permission) age() time.Duration {
	return p.sinceBoot() - time.Duration(p.sentAt.Load())
}

// valid reports whether orders may be sent now.
func (p *permission) valid() bool { return !p.withdrawn.Load() && p.age() < leaderTimeout }

// leaseLeft returns for how long leases may be granted now.
func (p *permission) leaseLeft() time.Duration { return max(0, leaseLimit-p.age()) }

// mayRenewLeases reports whether the leases of workers may be renewed now.
func (p *permission) mayRenewLeases() bool { return p.age() < maxTimeWithoutLog }
