package config

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"agatewinch/internal/core"
	"agatewinch/internal/errkind"
	"agatewinch/internal/platform"
	"agatewinch/internal/platform/fakelog"
	_ "agatewinch/test/rapidseed"
)

const (
	followerCount   = 3
	applyTimeout    = 60 * time.Millisecond
	convergeTimeout = 20 * time.Second
	snapshotPeriod  = 20 * time.Millisecond
)

// followerGroup runs several followers of one log with injected faults.
type followerGroup struct {
	t          *rapid.T
	set        *Set
	log        *fakelog.Log
	followers  []*Follower
	stop       context.CancelFunc
	goroutines sync.WaitGroup

	mu sync.Mutex
	// regression describes a follower whose generation decreased, if there is one.
	regression string
	// inForce maps each generation seen in force to the ID of its proposal.
	inForce map[core.Generation]string
	// accepted and rejected hold the results that Apply returned, by proposal ID.
	accepted  map[string]core.Generation
	rejected  map[string]bool
	proposals int
}

func newFollowerGroup(t *rapid.T, set *Set) *followerGroup {
	ctx, stop := context.WithCancel(context.Background())
	g := &followerGroup{
		t: t, set: set, log: fakelog.New(), stop: stop,
		inForce: map[core.Generation]string{}, accepted: map[string]core.Generation{}, rejected: map[string]bool{},
	}
	for i := range followerCount {
		f := NewFollower(g.log)
		f.SnapshotInterval = snapshotPeriod
		g.followers = append(g.followers, f)
		g.goroutines.Go(func() { _ = f.Run(ctx) })
		g.goroutines.Go(func() { g.watch(ctx, i, f) })
	}
	return g
}

// watch records the generations of a follower, and any decrease as a regression.
func (g *followerGroup) watch(ctx context.Context, i int, f *Follower) {
	var highest core.Generation
	for ctx.Err() == nil {
		changed := f.Changed()
		cur := f.Current()
		g.mu.Lock()
		if cur.Generation < highest {
			g.regression = fmt.Sprintf("follower %d went from generation %d to %d", i, highest, cur.Generation)
		}
		highest = cur.Generation
		if rec, ok := decodeRecord(cur.Record); ok && rec.Kind == RecordApply {
			g.inForce[cur.Generation] = rec.ID
		}
		g.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

func (g *followerGroup) apply(f *Follower, force bool) error {
	g.proposals++
	id := fmt.Sprint(g.proposals)
	ctx, cancel := context.WithTimeout(context.Background(), applyTimeout)
	defer cancel()
	gen, err := f.Apply(ctx, Proposal{ID: id, Base: f.Current().Generation, Force: force, Set: g.set})
	if err == nil {
		g.accepted[id] = gen
	}
	if errkind.Is(err, errkind.Conflict) || errkind.Is(err, errkind.LogUnavailable) {
		g.rejected[id] = true
	}
	return err
}

func (g *followerGroup) converged() bool {
	want := g.followers[0].Current().Generation
	for _, f := range g.followers {
		if f.Current().Generation != want || f.Gap() || !f.Ready() {
			return false
		}
	}
	return want > 0
}

// converge ends the outage and applies sets until all followers agree. If every follower
// has a gap, only a forced set can end it.
func (g *followerGroup) converge() {
	g.log.SetDown(false)
	for end := time.Now().Add(convergeTimeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if g.converged() {
			return
		}
		gaps := 0
		for _, f := range g.followers {
			if f.Gap() {
				gaps++
			}
		}
		if g.followers[0].Current().Generation == 0 || gaps == followerCount {
			_ = g.apply(g.followers[0], gaps == followerCount)
		}
	}
	for i, f := range g.followers {
		g.t.Logf("follower %d: generation %d, gap %v, ready %v", i, f.Current().Generation, f.Gap(), f.Ready())
	}
	g.t.Fatal("the followers did not all become ready with the same generation and without a gap")
}

func (g *followerGroup) check() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.regression != "" {
		g.t.Fatal(g.regression)
	}
	final := g.followers[0].Current().Generation
	for id, gen := range g.accepted {
		if gen > final {
			g.t.Fatalf("proposal %s was accepted as generation %d, but the older generation %d is in force", id, gen, final)
		}
		if seen, ok := g.inForce[gen]; ok && seen != id {
			g.t.Fatalf("generation %d was set by proposal %s, but Apply of proposal %s returned it", gen, seen, id)
		}
	}
	for gen, id := range g.inForce {
		if g.rejected[id] {
			g.t.Fatalf("Apply of proposal %s returned that it was rejected, but it was in force as generation %d", id, gen)
		}
	}
}

// TestFollowersAgreeThroughOutagesLostAnswersTrimsAndOffers runs concurrent followers of
// one log through outages, lost calls and answers, trims and offers. They must agree in the
// end, a follower's generation must never decrease, and the results of Apply must be correct.
// The checks must hold for any scheduling of the goroutines.
func TestFollowersAgreeThroughOutagesLostAnswersTrimsAndOffers(t *testing.T) {
	set := mustDecode(t)
	rapid.Check(t, func(t *rapid.T) {
		g := newFollowerGroup(t, set)
		defer func() {
			g.stop()
			g.goroutines.Wait()
		}()
		for range rapid.IntRange(1, 8).Draw(t, "steps") {
			f := g.followers[rapid.IntRange(0, followerCount-1).Draw(t, "follower")]
			switch rapid.SampledFrom([]string{"apply", "refused", "answer lost", "call lost", "outage", "trim", "offer"}).Draw(t, "step") {
			case "apply":
				g.log.SetDown(false)
				_ = g.apply(f, false)
			case "refused":
				g.log.SetFault(func() fakelog.Fault { return fakelog.Refused })
				_ = g.apply(f, false)
			case "answer lost":
				g.log.SetFault(func() fakelog.Fault { return fakelog.AnswerLost })
				_ = g.apply(f, false)
			case "call lost":
				g.log.SetFault(func() fakelog.Fault { return fakelog.CallLost })
				err := g.apply(f, false)
				if err == nil || errors.Is(err, context.DeadlineExceeded) {
					t.Fatalf("Apply of a proposal that never reached the log returned %v", err)
				}
			case "outage":
				g.log.SetDown(true)
			case "trim":
				records := g.log.Records(platform.StreamConfig)
				if n := len(records); n > 0 {
					g.log.Trim(platform.StreamConfig, records[0].Offset+platform.Offset(rapid.IntRange(0, n).Draw(t, "records")))
				}
			case "offer":
				cur := f.Current()
				for _, other := range g.followers {
					other.Offer(cur.Record, cur.Generation)
				}
			}
		}
		g.converge()
		g.check()
	})
}

// TestForcedSetIsAcceptedAfterUnreadRecordsWereTrimmed guards against a follower that can
// never apply a set again: records that it has not read are trimmed during an outage, so that
// the log cannot show the generation in force. It must keep its configuration, and a forced
// set must be accepted.
func TestForcedSetIsAcceptedAfterUnreadRecordsWereTrimmed(t *testing.T) {
	log := fakelog.New()
	f := startFollower(t, log, time.Hour)
	gen, err := apply(t, f, 0)
	assert.NilError(t, err)
	log.SetDown(true)
	eventually(t, "reads of the log fail", func() bool {
		_, err := log.Read(context.Background(), platform.StreamConfig, 0, 1, 0)
		return err != nil
	})
	log.SetFault(func() fakelog.Fault { return fakelog.NoFault })
	for range lostRecords {
		_, err := log.Append(context.Background(), platform.StreamConfig, [][]byte{[]byte("{}")})
		assert.NilError(t, err)
	}
	f.update(func(r *reader) { r.skipTrimmed(lostRecords) })
	log.Trim(platform.StreamConfig, lostRecords)
	log.SetDown(false)
	eventually(t, "the follower reports the gap", f.Gap)
	assert.Equal(t, f.Current().Generation, gen, "the gap changed the configuration that the follower uses")
	ctx, cancel := context.WithTimeout(context.Background(), convergeTimeout)
	defer cancel()
	next, err := f.Apply(ctx, Proposal{Force: true, Set: mustDecode(t)})
	assert.NilError(t, err)
	assert.Assert(t, next > gen && !f.Gap())
}
