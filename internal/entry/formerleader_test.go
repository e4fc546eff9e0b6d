package entry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"agatewinch/internal/ledger"
	"agatewinch/internal/sharedlog"
	"agatewinch/internal/sharedlog/memlog"
)

// The leases of a former leader are counted from its last record, by the limit that the record of the role
// names. An older version names none, and renewed leases for their full time.
func TestLeasesOfFormerLeadersCountFromTheLastRecord(t *testing.T) {
	for _, c := range []struct {
		former ledger.Role
		limit  time.Duration
	}{
		{ledger.Role{Epoch: 1, Holder: "former", LeaseLimitMs: 7500}, 7500 * time.Millisecond},
		{ledger.Role{Epoch: 1, Holder: "former", LeaseLimitMs: 7500, Released: true}, 7500 * time.Millisecond},
		{ledger.Role{Epoch: 1, Holder: "former"}, maxTimeWithoutLog + 10*time.Second},
	} {
		clock := &pausableClock{}
		h := claimingHost(t, memlog.New(), c.former)
		h.sinceBoot = clock.now
		left := h.role.leaseTimeAfter(c.former)
		assert.Assert(t, left > c.limit-time.Second && left < c.limit+time.Second, "%v", left)
		clock.skip(3 * time.Second)
		assert.Assert(t, h.role.leaseTimeAfter(c.former) <= left-3*time.Second)
		clock.skip(time.Minute)
		assert.Equal(t, h.role.leaseTimeAfter(c.former), time.Duration(0))
	}
	h := claimingHost(t, memlog.New(), ledger.Role{})
	assert.Equal(t, h.role.leaseTimeAfter(ledger.Role{}), time.Duration(0), "nobody has led before")
}

// Guards against a leader of the new version that holds the role for a moment after one of an older version.
func TestRoleRecordsNameTheLongestLeaseThatMayBeLeft(t *testing.T) {
	h := newHost(memlog.New(), &workers{}, "host")
	l := newLeader(h, sharedlog.Fence{Epoch: 2}, h.sinceBoot(), formerTimes{leases: 15 * time.Second})
	for elapsed, want := range map[time.Duration]time.Duration{0: 15 * time.Second, 5 * time.Second: 10 * time.Second, time.Minute: leaseLimit} {
		l.startedAt = time.Now().Add(-elapsed)
		rec, err := l.roleRecord(false)
		assert.NilError(t, err)
		view := ledger.New()
		assert.NilError(t, view.Apply([]sharedlog.Record{rec}))
		limit := time.Duration(view.Role().LeaseLimitMs) * time.Millisecond
		assert.Assert(t, limit <= want+time.Second && limit > want-time.Second, "%v after %v", limit, elapsed)
	}
}

// A leader whose records the log does not accept grants ever shorter leases.
func TestLeasesAreLimitedFromTheLastAcceptedRecord(t *testing.T) {
	l, _, clock := pausedLeader(t)
	l.permission.renew(l.host.sinceBoot())
	clock.skip(3 * time.Second)
	assert.Assert(t, l.permission.leaseLeft() <= leaseLimit-3*time.Second)
	clock.skip(leaseLimit)
	assert.Equal(t, l.permission.leaseLeft(), time.Duration(0))
}
