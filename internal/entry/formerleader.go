package entry

import (
	"time"

	"agatewinch/internal/core/dispatch"
	"agatewinch/internal/ledger"
)

// formerTimes bounds what former leaders may still do after a claim.
type formerTimes struct {
	// renewals is how long they may go on renewing leases of workers.
	renewals time.Duration
	// leases is how long leases that they granted to worker incarnations that they knew may last.
	leases time.Duration
	// none is set if there has never been another leader.
	none bool
}

// renewalTimeAfter returns how long other leaders may go on renewing leases after a claim that follows the
// given record, which was the newest at the last check: none does for longer than maxTimeWithoutLog after
// the newest record. A holder that has given up the role, or that was this host, renews none any more, but
// leaders before it may: it may have held the role for a moment only, or, if the answer to its claim
// was lost, not at all.
func (r *role) renewalTimeAfter(former ledger.Role) time.Duration {
	left := max(0, maxTimeWithoutLog-r.recordAge())
	if former.Epoch != 0 && !former.Released && former.Holder != r.host.settings.Host {
		return left
	}
	return min(max(0, time.Duration(former.FormerRenewalMs)*time.Millisecond), left)
}

// leaseTimeAfter returns how long leases of other leaders may last after a claim that follows the given
// record, which was the newest at the last check. They last longest from the newest record on, for the
// time that the record of the role names. If it names none, its holder ran an older version, which renewed
// leases for their full time.
func (r *role) leaseTimeAfter(former ledger.Role) time.Duration {
	if former.Epoch == 0 {
		return 0
	}
	limit := time.Duration(former.LeaseLimitMs) * time.Millisecond
	if limit <= 0 {
		limit = maxTimeWithoutLog + dispatch.LongestLease(r.host.settings.MaxLeaseTTL)
	}
	return max(0, limit-r.recordAge())
}

// recordAge returns the time since this host saw the newest record of a leader, which the log had accepted
// before.
func (r *role) recordAge() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.host.sinceBoot() - r.recordSeenAt
}

// limitAfter returns the lease limit that a record of the role names, in milliseconds: that of the holder
// or, if it is longer, the given time for which leases of former leaders may still last.
func limitAfter(formerLeases time.Duration) int64 {
	return max(leaseLimit, formerLeases).Milliseconds() + 1
}
