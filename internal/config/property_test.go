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
	followers      = 3
	applyWait      = 60 * time.Millisecond
	settleTime     = 20 * time.Second
	snapshotPeriod = 20 * time.Millisecond
)

// fleet is several followers of one log with faults.
type fleet struct {
	t    *rapid.T
	set  *Set
	log  *fakelog.Log
	all  []*Follower
	stop context.CancelFunc
	runs sync.WaitGroup

	mu sync.Mutex
	// fellBack names a follower whose generation went down.
	fellBack string
	// inForce holds the attempts seen in force, by generation.
	inForce map[core.Generation]string
	// accepted and refused are what writers were told.
	accepted map[string]core.Generation
	refused  map[string]bool
	attempts int
}

func newFleet(t *rapid.T, set *Set) *fleet {
	ctx, stop := context.WithCancel(context.Background())
	fl := &fleet{
		t: t, set: set, log: fakelog.New(), stop: stop,
		inForce: map[core.Generation]string{}, accepted: map[string]core.Generation{}, refused: map[string]bool{},
	}
	for i := range followers {
		f := NewFollower(fl.log)
		f.SnapshotInterval = snapshotPeriod
		fl.all = append(fl.all, f)
		fl.runs.Go(func() { _ = f.Run(ctx) })
		fl.runs.Go(func() { fl.watch(ctx, i, f) })
	}
	return fl
}

// watch checks each change of a follower.
func (fl *fleet) watch(ctx context.Context, i int, f *Follower) {
	var highest core.Generation
	for ctx.Err() == nil {
		changed := f.Changed()
		cur := f.Current()
		fl.mu.Lock()
		if cur.Generation < highest {
			fl.fellBack = fmt.Sprintf("follower %d went from %d to %d", i, highest, cur.Generation)
		}
		highest = cur.Generation
		if rec, ok := decodeRecord(cur.Record); ok && rec.Kind == RecordApply {
			fl.inForce[cur.Generation] = rec.ID
		}
		fl.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

func (fl *fleet) apply(f *Follower, force bool) error {
	fl.attempts++
	id := fmt.Sprint(fl.attempts)
	ctx, cancel := context.WithTimeout(context.Background(), applyWait)
	defer cancel()
	gen, err := f.Apply(ctx, Proposal{ID: id, Base: f.Current().Generation, Force: force, Set: fl.set})
	if err == nil {
		fl.accepted[id] = gen
	}
	if errkind.Is(err, errkind.Conflict) || errkind.Is(err, errkind.LogUnavailable) {
		fl.refused[id] = true
	}
	return err
}

func (fl *fleet) settled() bool {
	want := fl.all[0].Current().Generation
	for _, f := range fl.all {
		if f.Current().Generation != want || f.Gap() || !f.Ready() {
			return false
		}
	}
	return want > 0
}

// settle heals the log and lets operators apply until all followers agree. Where every
// follower has met a gap, only force helps.
func (fl *fleet) settle() {
	fl.log.SetDown(false)
	for end := time.Now().Add(settleTime); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if fl.settled() {
			return
		}
		gaps := 0
		for _, f := range fl.all {
			if f.Gap() {
				gaps++
			}
		}
		if fl.all[0].Current().Generation == 0 || gaps == followers {
			_ = fl.apply(fl.all[0], gaps == followers)
		}
	}
	for i, f := range fl.all {
		fl.t.Logf("follower %d: generation %d, gap %v, ready %v", i, f.Current().Generation, f.Gap(), f.Ready())
	}
	fl.t.Fatal("the followers do not agree")
}

func (fl *fleet) check() {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	if fl.fellBack != "" {
		fl.t.Fatal(fl.fellBack)
	}
	final := fl.all[0].Current().Generation
	for id, gen := range fl.accepted {
		if gen > final {
			fl.t.Fatalf("attempt %s was told generation %d, but %d is in force", id, gen, final)
		}
		if seen, ok := fl.inForce[gen]; ok && seen != id {
			fl.t.Fatalf("generation %d is attempt %s; attempt %s was told it was its own", gen, seen, id)
		}
	}
	for gen, id := range fl.inForce {
		if fl.refused[id] {
			fl.t.Fatalf("attempt %s was told that it was refused, but was in force as generation %d", id, gen)
		}
	}
}

// TestFollowersAgreeThroughOutagesLostAnswersTrimsAndOffers runs real followers; every
// check must hold under any scheduling of their goroutines.
func TestFollowersAgreeThroughOutagesLostAnswersTrimsAndOffers(t *testing.T) {
	set := mustDecode(t)
	rapid.Check(t, func(t *rapid.T) {
		fl := newFleet(t, set)
		defer func() {
			fl.stop()
			fl.runs.Wait()
		}()
		for range rapid.IntRange(1, 8).Draw(t, "steps") {
			f := fl.all[rapid.IntRange(0, followers-1).Draw(t, "follower")]
			switch rapid.SampledFrom([]string{"apply", "refused", "answer lost", "call lost", "outage", "trim", "offer"}).Draw(t, "step") {
			case "apply":
				fl.log.SetDown(false)
				_ = fl.apply(f, false)
			case "refused":
				fl.log.SetFault(func() fakelog.Fault { return fakelog.Refused })
				_ = fl.apply(f, false)
			case "answer lost":
				fl.log.SetFault(func() fakelog.Fault { return fakelog.AnswerLost })
				_ = fl.apply(f, false)
			case "call lost":
				fl.log.SetFault(func() fakelog.Fault { return fakelog.CallLost })
				err := fl.apply(f, false)
				if err == nil || errors.Is(err, context.DeadlineExceeded) {
					t.Fatalf("a proposal that never reached the log was answered with %v", err)
				}
			case "outage":
				fl.log.SetDown(true)
			case "trim":
				records := fl.log.Records(platform.StreamConfig)
				if n := len(records); n > 0 {
					fl.log.Trim(platform.StreamConfig, records[0].Offset+platform.Offset(rapid.IntRange(0, n).Draw(t, "records")))
				}
			case "offer":
				cur := f.Current()
				for _, other := range fl.all {
					other.Offer(cur.Record, cur.Generation)
				}
			}
		}
		fl.settle()
		fl.check()
	})
}

func TestForceIsAllowedWhereEveryRecordWasTrimmedUnread(t *testing.T) {
	log := fakelog.New()
	f := run(t, log, time.Hour)
	gen, err := apply(t, f, 0)
	assert.NilError(t, err)
	log.SetDown(true)
	eventually(t, "the follower is cut off", func() bool {
		_, err := log.Read(context.Background(), platform.StreamConfig, 0, 1, 0)
		return err != nil
	})
	log.SetFault(func() fakelog.Fault { return fakelog.Healthy })
	for range lostRecords {
		_, err := log.Append(context.Background(), platform.StreamConfig, [][]byte{[]byte("{}")})
		assert.NilError(t, err)
	}
	f.update(func(r *reader) { r.trimmed(lostRecords) })
	log.Trim(platform.StreamConfig, lostRecords)
	log.SetDown(false)
	eventually(t, "the gap is seen", f.Gap)
	assert.Equal(t, f.Current().Generation, gen, "what is in force stays")
	ctx, cancel := context.WithTimeout(context.Background(), settleTime)
	defer cancel()
	next, err := f.Apply(ctx, Proposal{Force: true, Set: mustDecode(t)})
	assert.NilError(t, err)
	assert.Assert(t, next > gen && !f.Gap())
}
