package lease

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const ttl = 6 * time.Second

func TestLeaseTTLStartsWhenTheRenewalIsSent(t *testing.T) {
	start := time.Now()
	l := New(ttl, start)
	assert.Assert(t, !l.Held(start))
	l.Renewed(start, start.Add(5*time.Second))
	assert.Assert(t, l.Held(start.Add(5*time.Second)))
	assert.Assert(t, !l.Held(start.Add(ttl)), "the lease is counted from its answer, not from when the renewal was sent")
}

func TestLeaseExpiryIsCountedFromTheLastCallThatMayHaveArrived(t *testing.T) {
	start := time.Now()
	l := New(ttl, start)
	l.Renewed(start, start)
	l.Unanswered(start.Add(4 * time.Second))
	assert.Assert(t, !l.Expired(start.Add(ttl+time.Second)))
	assert.Assert(t, !l.Expired(start.Add(4*time.Second+ttl)))
	assert.Assert(t, l.Expired(start.Add(4*time.Second+ttl+ttl/marginDivisor)))
}

func TestLeaseIsNeverHeldAndExpiredAtTheSameTime(t *testing.T) {
	start := time.Now()
	l := New(ttl, start)
	l.Renewed(start, start.Add(time.Second))
	for at := time.Duration(0); at < 3*ttl; at += 10 * time.Millisecond {
		assert.Assert(t, !l.Held(start.Add(at)) || !l.Expired(start.Add(at)))
	}
}

func TestNewLeaseIsNotExpiredWhileAFormerHoldersLeaseMayLast(t *testing.T) {
	start := time.Now()
	l := New(ttl, start)
	assert.Assert(t, !l.Expired(start.Add(ttl-time.Millisecond)))
}
