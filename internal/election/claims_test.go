package election

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"agatewinch/internal/platform"
)

func page(t *testing.T, all ...Claim) platform.Page {
	var p platform.Page
	for _, claim := range all {
		data, err := cbor.Marshal(claim)
		assert.NilError(t, err)
		p.Records = append(p.Records, platform.Record{Offset: p.Next, Data: data})
		p.Next++
	}
	p.End = p.Next
	return p
}

// TestSlowReadDoesNotMakeClaimStale guards against counting the duration of a slow read as
// time without renewal: a read that returns records shows nothing about the time after it was
// sent.
func TestSlowReadDoesNotMakeClaimStale(t *testing.T) {
	c := newClaims("a", nil, time.Millisecond)
	sent := time.Now().Add(-time.Minute)
	c.applyPage(page(t, Claim{Zone: "a", Holder: "x", Term: 1}), sent, time.Second)
	v := c.view()
	assert.Assert(t, claimAge(v, v.newestReadAt, time.Now(), true) <= 0)
	assert.Assert(t, claimAge(v, v.newestReadAt, v.newestReadAt.Add(time.Hour), false) == time.Hour)
	c.applyPage(page(t), v.newestReadAt, time.Hour)
	v = c.view()
	assert.Assert(t, claimAge(v, v.newestReadAt, time.Now(), true) < time.Minute)
}

func TestTakeoversAreCountedAndReleasesAreNot(t *testing.T) {
	c := newClaims("a", nil, time.Millisecond)
	c.applyPage(page(t,
		Claim{Zone: "a", Holder: "x", Term: 1}, Claim{Zone: "a", Holder: "x", Term: 1, Released: true},
		Claim{Zone: "a", Holder: "y", Term: 2}, Claim{Zone: "a", Holder: "y", Term: 2},
	), time.Now(), 0)
	assert.Equal(t, c.view().takeovers, 0)
	c.applyPage(page(t, Claim{Zone: "a", Holder: "z", Term: 3}, Claim{Zone: "a", Holder: "x", Term: 4}), time.Now(), 0)
	assert.Equal(t, c.view().takeovers, 2)
	assert.Equal(t, c.recentTakeovers(time.Now().Add(2*takeoverWindow)), 0)
}

func TestStaleAgeDoublesWithEachTakeoverButTheFirst(t *testing.T) {
	var ages []time.Duration
	for takeovers := range 7 {
		ages = append(ages, staleAfter(time.Second, takeovers))
	}
	assert.DeepEqual(t, ages, []time.Duration{
		time.Second, time.Second, 2 * time.Second, 4 * time.Second, 8 * time.Second, 8 * time.Second, 8 * time.Second,
	})
}
