package config

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"agatewinch/internal/core"
	"agatewinch/internal/errkind"
	"agatewinch/internal/platform"
)

// memoryLog is a platform.Log in memory whose faults can be switched on.
type memoryLog struct {
	mu     sync.Mutex
	stream streamModel
	grown  chan struct{}
	// down refuses everything; lose makes appends take effect without an answer.
	down, lose bool
}

func newMemoryLog() *memoryLog { return &memoryLog{grown: make(chan struct{})} }

func (l *memoryLog) set(change func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change()
	close(l.grown)
	l.grown = make(chan struct{})
}

func (l *memoryLog) Append(_ context.Context, _ platform.Stream, records [][]byte) (platform.Offset, error) {
	var first platform.Offset
	err := error(nil)
	l.set(func() {
		if l.down {
			err = platform.ErrNotApplied
			return
		}
		first = l.stream.end()
		for _, r := range records {
			l.stream.append(r)
		}
		if l.lose {
			err = platform.ErrUnknown
		}
	})
	return first, err
}

func (l *memoryLog) Read(ctx context.Context, _ platform.Stream, from platform.Offset, limit int, wait time.Duration) (platform.Page, error) {
	timeout := time.After(wait)
	for {
		page, grown, err := l.tryRead(from, limit)
		if err != nil || len(page.Records) > 0 || wait <= 0 {
			return page, err
		}
		select {
		case <-grown:
		case <-timeout:
			return page, nil
		case <-ctx.Done():
			return page, ctx.Err()
		}
	}
}

func (l *memoryLog) tryRead(from platform.Offset, limit int) (platform.Page, chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return platform.Page{}, nil, errors.New("log is down")
	}
	if from < l.stream.oldest {
		return platform.Page{}, nil, &platform.TrimmedError{Oldest: l.stream.oldest}
	}
	start := int(from - l.stream.oldest)
	stop := min(start+limit, len(l.stream.records))
	page := platform.Page{Records: l.stream.records[start:stop], Next: from + platform.Offset(stop-start), Oldest: l.stream.oldest, End: l.stream.end()}
	return page, l.grown, nil
}

// run starts a follower that ends with the test.
func run(t *testing.T, log platform.Log, interval time.Duration) *Follower {
	t.Helper()
	f := NewFollower(log)
	f.SnapshotInterval = interval
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = f.Run(ctx)
	}()
	t.Cleanup(func() { cancel(); <-done })
	return f
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if ok() {
			return poll.Success()
		}
		return poll.Continue("not yet: %s", what)
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(2*time.Millisecond))
}

func apply(t *testing.T, f *Follower, base core.Generation) (core.Generation, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	return f.Apply(ctx, Proposal{Base: base, Set: mustDecode(t)})
}

func TestAppliedSetIsInForceOnEveryFollower(t *testing.T) {
	log := newMemoryLog()
	a, b := run(t, log, time.Hour), run(t, log, time.Hour)
	gen, err := apply(t, a, 0)
	assert.NilError(t, err)
	eventually(t, "b has the generation", func() bool { return b.Current().Generation == gen })
}

func TestConflictNamesBothGenerations(t *testing.T) {
	f := run(t, newMemoryLog(), time.Hour)
	first, err := apply(t, f, 0)
	assert.NilError(t, err)
	second, err := apply(t, f, first)
	assert.NilError(t, err)
	assert.Assert(t, second > first)
	_, err = apply(t, f, first)
	assert.Assert(t, errkind.Is(err, errkind.Conflict))
	assert.ErrorContains(t, err, "built on generation 1, but generation 2 is in force")
}

func TestLostAnswerOfAnAppendIsFoundByReadingBack(t *testing.T) {
	log := newMemoryLog()
	log.lose = true
	gen, err := apply(t, run(t, log, time.Hour), 0)
	assert.NilError(t, err)
	assert.Equal(t, gen, core.Generation(1))
}

func TestRefusedAppendIsSaidToBeRefused(t *testing.T) {
	log := newMemoryLog()
	f := run(t, log, time.Hour)
	log.set(func() { log.down = true })
	_, err := apply(t, f, 0)
	assert.Assert(t, errkind.Is(err, errkind.LogUnavailable))
}

func TestOutageKeepsWhatIsInForce(t *testing.T) {
	log := newMemoryLog()
	f := run(t, log, time.Hour)
	gen, err := apply(t, f, 0)
	assert.NilError(t, err)
	log.set(func() { log.down = true })
	eventually(t, "the follower meets the outage", func() bool { _, err := log.Read(context.Background(), "", 0, 1, 0); return err != nil })
	assert.Equal(t, f.Current().Generation, gen)
	assert.Assert(t, f.Ready())
}

func TestHostCutOffFromTheLogServesWithWhatItsPeersHold(t *testing.T) {
	log := newMemoryLog()
	peer := run(t, log, time.Hour)
	gen, err := apply(t, peer, 0)
	assert.NilError(t, err)
	away := newMemoryLog()
	away.down = true
	f := run(t, away, time.Hour)
	assert.Assert(t, !f.Ready())
	cur := peer.Current()
	assert.Assert(t, f.Offer(cur.Record, cur.Generation))
	assert.Assert(t, !f.Ready(), "ready before all peers were asked")
	f.PeersConsulted()
	assert.Assert(t, f.Ready())
	assert.Equal(t, f.Current().Generation, gen)
	assert.Assert(t, !f.Offer(cur.Record, gen-1), "an older generation was taken")
	assert.Assert(t, !f.Offer([]byte("junk"), gen+1))
}

func TestSnapshotLetsANewHostStartOnATrimmedLog(t *testing.T) {
	log := newMemoryLog()
	f := run(t, log, 20*time.Millisecond)
	gen, err := apply(t, f, 0)
	assert.NilError(t, err)
	log.set(func() { log.stream.trim(log.stream.end()) })
	fresh := run(t, log, time.Hour)
	eventually(t, "the new host has the generation", func() bool { return fresh.Ready() && fresh.Current().Generation == gen })
	next, err := apply(t, fresh, gen)
	assert.NilError(t, err)
	eventually(t, "the old host follows", func() bool { return f.Current().Generation == next })
}

func TestForcedSetIsTakenOnlyWhereNoneIsInForce(t *testing.T) {
	log := newMemoryLog()
	log.stream.oldest = 9
	f := run(t, log, time.Hour)
	_, err := apply(t, f, 0)
	assert.Assert(t, errkind.Is(err, errkind.LogUnavailable), "%v", err)
	force := Proposal{Force: true, Set: mustDecode(t)}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	gen, err := f.Apply(ctx, force)
	assert.NilError(t, err)
	assert.Equal(t, gen, core.Generation(10))
	force.ID = "again"
	_, err = f.Apply(ctx, force)
	assert.Assert(t, errkind.Is(err, errkind.Conflict))
}
