package config

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"

	"agatewinch/internal/core"
	"agatewinch/internal/platform"
)

const (
	readLimit   = 64
	readWait    = 20 * time.Second
	retryLowest = 100 * time.Millisecond
	retryHigh   = time.Second
	// DefaultSnapshotInterval is how often the set in force is appended again; it must
	// be well under the log's retention.
	DefaultSnapshotInterval = 5 * time.Minute
	snapshotChecks          = 10
)

// Follower reads the configuration stream and holds what is in force.
type Follower struct {
	// SnapshotInterval is set before Run; zero means DefaultSnapshotInterval.
	SnapshotInterval time.Duration

	log platform.Log

	mu        sync.Mutex
	reader    *reader
	consulted bool
	oldest    platform.Offset
	// anchoredAt is when the reader's anchor last grew.
	anchoredAt time.Time
	changed    chan struct{}
}

// NewFollower returns a follower that has read nothing yet.
func NewFollower(log platform.Log) *Follower {
	return &Follower{log: log, reader: newReader(), changed: make(chan struct{})}
}

// Run reads the stream, and appends the set in force again before the log's retention
// ends, until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return f.follow(ctx) })
	group.Go(func() error { return f.keepSnapshot(ctx) })
	return trace.Wrap(group.Wait())
}

func (f *Follower) follow(ctx context.Context) error {
	wait := &backoff.ExponentialBackOff{InitialInterval: retryLowest, MaxInterval: retryHigh, Multiplier: 2, RandomizationFactor: 0.5}
	for ctx.Err() == nil {
		from, hold := f.position()
		page, err := f.log.Read(ctx, platform.StreamConfig, from, readLimit, hold)
		var trimmed *platform.TrimmedError
		switch {
		case errors.As(err, &trimmed):
			f.update(func(r *reader) { r.trimmed(trimmed.Oldest) })
		case err != nil:
			sleep(ctx, wait.NextBackOff())
		default:
			wait.Reset()
			f.readPage(page)
		}
	}
	return trace.Wrap(ctx.Err())
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// position returns where to read on and how long to wait there: not at all before the
// end of the stream was reached.
func (f *Follower) position() (platform.Offset, time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := f.reader
	switch {
	case r.caught:
		return r.next, readWait
	case r.known, !r.scanned:
		return r.next, 0
	default:
		// A snapshot or a peer's offer may tell the generation soon.
		return r.next, retryHigh
	}
}

func (f *Follower) readPage(page platform.Page) {
	f.update(func(r *reader) {
		before := r.anchor
		r.page(page)
		f.oldest = page.Oldest
		if r.anchor > before || f.anchoredAt.IsZero() {
			f.anchoredAt = time.Now()
		}
	})
}

// update changes the reader and wakes those who wait for a change.
func (f *Follower) update(change func(r *reader)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f.reader)
	close(f.changed)
	f.changed = make(chan struct{})
}

// Current returns the configuration in force; its Set is nil before the first.
func (f *Follower) Current() Accepted {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reader.current
}

// Unreadable returns an accepted generation that this build cannot use, and why; zero
// when there is none. Such a host keeps what it has and is not ready.
func (f *Follower) Unreadable() (core.Generation, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reader.unreadable, f.reader.reason
}

// Gap reports whether records were trimmed before they were read, and no snapshot has
// told yet what is in force.
func (f *Follower) Gap() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reader.scanned && !f.reader.known
}

// Ready reports whether the host may serve: it has read to the stream's end or, with
// the log away, has taken the highest generation that its peers hold.
func (f *Follower) Ready() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.reader.unreadable > f.reader.current.Generation {
		return false
	}
	return f.reader.caught || f.consulted && f.reader.current.Set != nil
}

// Changed returns a channel that is closed at the next change.
func (f *Follower) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// Offer takes a configuration that a peer holds as accepted with generation gen, as
// its Accepted has it. It reports whether it is newer and now in force.
func (f *Follower) Offer(record []byte, gen core.Generation) bool {
	rec, ok := decodeRecord(record)
	if !ok || !rec.mayStandFor(gen) {
		return false
	}
	var taken bool
	f.update(func(r *reader) {
		r.use(gen, record)
		taken = r.current.Generation == gen
	})
	return taken
}

// PeersConsulted notes that every peer that can be reached was asked for its
// configuration and that its answer was offered.
func (f *Follower) PeersConsulted() {
	f.update(func(*reader) { f.consulted = true })
}

// keepSnapshot appends the set in force again when no record seen lately lets a new
// reader start, or when the log no longer holds that record.
func (f *Follower) keepSnapshot(ctx context.Context) error {
	interval := f.SnapshotInterval
	if interval <= 0 {
		interval = DefaultSnapshotInterval
	}
	// The spread keeps hosts from appending at once: the first one's record sets back
	// all others.
	interval += rand.N(interval/2 + 1)
	tick := time.NewTicker(max(interval/snapshotChecks, time.Millisecond))
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			f.snapshotIfDue(ctx, interval)
		case <-ctx.Done():
			return trace.Wrap(ctx.Err())
		}
	}
}

func (f *Follower) snapshotIfDue(ctx context.Context, interval time.Duration) {
	f.mu.Lock()
	r := f.reader
	current := r.current
	complete := r.known && r.caught && r.unreadable == 0 && current.Set != nil && r.gen == current.Generation
	due := time.Since(f.anchoredAt) >= interval || r.anchor < f.oldest
	rec := Record{Kind: RecordSnapshot, ID: NewID(), AsOf: r.next, Generation: r.gen}
	f.mu.Unlock()
	if !complete || !due {
		return
	}
	data, err := encodeRecord(rec, current.Set)
	if err != nil {
		return
	}
	// A failed append is tried again at the next check.
	_, _ = f.log.Append(ctx, platform.StreamConfig, [][]byte{data})
}
