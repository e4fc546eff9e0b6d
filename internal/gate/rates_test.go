package gate

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"agatewinch/internal/config"
	"agatewinch/internal/errkind"
)

const (
	floodRate    = 100
	smallCallers = 20
)

// flood makes one caller send ten times the rate for ten seconds while each small caller
// sends one request a second. It returns the number of allowed requests of the large
// caller and of all small ones.
func flood(t *testing.T, nameOf func(i int) string) (large, small int) {
	t.Helper()
	o := newOrgLimiter(floodRate, floodRate)
	start := time.Unix(0, 0)
	const perSecond = 10 * floodRate
	for i := range 10 * perSecond {
		now := start.Add(time.Duration(i) * time.Second / perSecond)
		if o.take("large", now) == 0 {
			large++
		}
		if every := perSecond / smallCallers; i%every == 0 && o.take(nameOf(i/every), now) == 0 {
			small++
		}
	}
	return large, small
}

func TestSmallCallersAreNotRefusedDuringAFlood(t *testing.T) {
	large, small := flood(t, func(i int) string { return fmt.Sprint("small", i%smallCallers) })
	assert.Equal(t, small, 10*smallCallers, "a request of a small caller was refused")
	assert.Assert(t, large+small <= floodRate*11, "%d requests were allowed, more than the rate and the burst permit", large+small)
	assert.Assert(t, large >= floodRate*10*6/10, "only %d requests of the large caller were allowed", large)
}

// TestCallerWithManyRequestsIsNotSmall guards against tokens reserved for small callers
// being given to a caller over smallCallerShare. It sends the small callers' requests under
// the name of the large caller, so that some of them must be refused.
func TestCallerWithManyRequestsIsNotSmall(t *testing.T) {
	_, small := flood(t, func(int) string { return "large" })
	assert.Assert(t, small < 10*smallCallers)
}

func TestTrackedCallersAreBounded(t *testing.T) {
	o := newOrgLimiter(1e6, 1e6)
	now := time.Unix(0, 0)
	for i := range 2 * maxTrackedCallers {
		o.take(fmt.Sprint(i), now)
	}
	assert.Equal(t, len(o.callers), maxTrackedCallers)
	o.take("later", now.Add(time.Hour))
	assert.Equal(t, len(o.callers), 1, "idle callers were not evicted for a new one")
}

func TestRatesFollowTheConfiguration(t *testing.T) {
	r := rateLimiter{defaults: Limits{RequestRate: 1, RequestBurst: 1}, orgs: map[string]*orgLimiter{}}
	now := time.Unix(0, 0)
	org := config.Organisation{Name: "o"}
	first := config.Accepted{Generation: 1, Set: &config.Set{Organisations: []config.Organisation{org}}}
	refused := 0
	for range 10 {
		if errkind.Is(r.take(first, org, "c", now), errkind.RateLimited) {
			refused++
		}
	}
	assert.Equal(t, refused, 9, "a caller that is not small took the reserved token")
	org.RequestRate = 1000
	second := config.Accepted{Generation: 2, Set: &config.Set{Organisations: []config.Organisation{org}}}
	assert.NilError(t, r.take(second, org, "c", now))
	third := config.Accepted{Generation: 3, Set: &config.Set{Organisations: []config.Organisation{{Name: "p"}}}}
	assert.NilError(t, r.take(third, config.Organisation{Name: "p"}, "c", now))
	assert.Equal(t, len(r.orgs), 1)
}

func BenchmarkTakeWithAFullCallerTable(b *testing.B) {
	o := newOrgLimiter(1e6, 1e6)
	now := time.Unix(0, 0)
	for i := range maxTrackedCallers {
		o.take(fmt.Sprint(i), now)
	}
	for b.Loop() {
		now = now.Add(time.Microsecond)
		o.take("unknown", now)
	}
}
