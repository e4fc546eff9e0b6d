package election

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"agatewinch/internal/core"
	"agatewinch/internal/wire"
	_ "agatewinch/test/rapidseed"
)

var testLimits = timeLimits{staleAfter: time.Second, rankDelay: 300 * time.Millisecond, initialListen: time.Second}

func standby() view {
	return view{
		self: "host-2", holder: "host-2.x", ready: true, uptime: time.Minute, logUp: true,
		claim: Claim{Host: "host-1", Holder: "host-1.x", Term: 4}, knownTerm: 4, claimAge: time.Minute,
	}
}

func TestDecide(t *testing.T) {
	active := wire.Heartbeat{Host: "host-1", Active: true, Term: 4}
	leaving := wire.Heartbeat{Host: "host-1", Active: true, Leaving: true, Term: 4}
	better := wire.Heartbeat{Host: "host-0"}
	cases := []struct {
		name   string
		change func(v *view)
		want   decision
	}{
		{"claims when the leader is not heard and its claim is stale", func(*view) {}, claimInLog},
		{"waits while the claim is fresh", func(v *view) { v.claimAge = 100 * time.Millisecond }, stay},
		{"waits while the leader is heard although its claim is stale", func(v *view) { v.peers = []wire.Heartbeat{active} }, stay},
		{"claims at once when the leader is leaving", func(v *view) { v.claimAge, v.peers = 0, []wire.Heartbeat{leaving} }, claimInLog},
		{"claims at once when the claim is released", func(v *view) { v.claimAge, v.claim.Released = 0, true }, claimInLog},
		{"waits for a better-ranked peer to claim first", func(v *view) { v.claimAge, v.peers = 1100*time.Millisecond, []wire.Heartbeat{better} }, stay},
		{"claims after a better-ranked peer has not claimed in time", func(v *view) { v.claimAge, v.peers = 1400*time.Millisecond, []wire.Heartbeat{better} }, claimInLog},
		{"takes the role by rank when the log is unavailable", func(v *view) { v.logUp = false }, takeByRank},
		{"leaves the role to a better-ranked peer when the log is unavailable", func(v *view) { v.logUp, v.peers = false, []wire.Heartbeat{better} }, stay},
		{"backs off after it was superseded when the log is unavailable", func(v *view) { v.logUp, v.backingOff = false, true }, stay},
		{"claims in the log during a backoff", func(v *view) { v.backingOff = true }, claimInLog},
		{"listens first when the log is unavailable", func(v *view) { v.logUp, v.uptime = false, 0 }, stay},
		{"does not claim before it is ready", func(v *view) { v.ready = false }, stay},
		{"does not claim while it is stopping", func(v *view) { v.stopping = true }, stay},
		{"keeps the role", func(v *view) { v.holding, v.term = true, 5 }, stay},
		{"keeps the role while the log is unavailable", func(v *view) { v.holding, v.term, v.logUp = true, 5, false }, stay},
		{"steps down for a higher term", func(v *view) { v.holding, v.term, v.knownTerm = true, 5, 6 }, stepDown},
		{"steps down for another leader of its term", func(v *view) { v.holding, v.term, v.otherLeader = true, 5, true }, stepDown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			v := standby()
			c.change(&v)
			assert.Equal(t, decide(v, testLimits), c.want)
		})
	}
}

// TestAtMostOneOfManyStandbysTakesTheRoleByRank checks that, of the processes of a zone that
// hear each other with the log unavailable, exactly one takes the role if any is not leaving.
func TestAtMostOneOfManyStandbysTakesTheRoleByRank(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.SliceOfNDistinct(rapid.StringMatching("host-[a-e]"), 1, 4, rapid.ID).Draw(t, "hosts")
		leaving := make([]bool, len(hosts))
		for i := range leaving {
			leaving[i] = rapid.Bool().Draw(t, "leaving")
		}
		took := 0
		staying := false
		for i, self := range hosts {
			v := view{self: self, ready: true, stopping: leaving[i], uptime: time.Minute, claimAge: time.Minute, knownTerm: core.Term(3)}
			for k, other := range hosts {
				if k != i {
					v.peers = append(v.peers, wire.Heartbeat{Host: other, Leaving: leaving[k]})
				}
			}
			staying = staying || !leaving[i]
			if decide(v, testLimits) == takeByRank {
				took++
			}
		}
		assert.Equal(t, took, map[bool]int{true: 1, false: 0}[staying])
	})
}
