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
	maxReadRecords = 64
	maxReadWait    = 20 * time.Second
	minRetryDelay  = 100 * time.Millisecond
	maxRetryDelay  = time.Second
	// DefaultSnapshotInterval is how often a snapshot of the set in force is appended. It
	// must be well under the log's retention, so that the log always holds a record from
	// which a new reader can start.
	DefaultSnapshotInterval   = 5 * time.Minute
	snapshotChecksPerInterval = 10
)

// Follower reads the configuration stream and holds the configuration in force.
type Follower struct {
	// SnapshotInterval must be set before Run; zero means DefaultSnapshotInterval.
	SnapshotInterval time.Duration

	log platform.Log

	mu             sync.Mutex
	reader         *reader
	peersConsulted bool
	// oldest is the offset of the oldest record that the log held at the last read.
	oldest platform.Offset
	// bootstrapOffsetAdvancedAt is when the reader's bootstrapOffset last grew, or when the
	// first page was read.
	bootstrapOffsetAdvancedAt time.Time
	// changed is closed and replaced at every update.
	changed chan struct{}
}

// NewFollower returns a follower of the log's configuration stream; Run starts it.
func NewFollower(log platform.Log) *Follower {
	return &Follower{log: log, reader: newReader(), changed: make(chan struct{})}
}

// Run reads the stream until ctx is done. It also appends snapshots of the set in force,
// so that the set outlasts the log's retention.
func (f *Follower) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return f.readLoop(ctx) })
	group.Go(func() error { return f.snapshotLoop(ctx) })
	return trace.Wrap(group.Wait())
}

func (f *Follower) readLoop(ctx context.Context) error {
	wait := &backoff.ExponentialBackOff{InitialInterval: minRetryDelay, MaxInterval: maxRetryDelay, Multiplier: 2, RandomizationFactor: 0.5}
	for ctx.Err() == nil {
		from, maxWait := f.position()
		page, err := f.log.Read(ctx, platform.StreamConfig, from, maxReadRecords, maxWait)
		var trimmed *platform.TrimmedError
		switch {
		case errors.As(err, &trimmed):
			f.update(func(r *reader) { r.skipTrimmed(trimmed.Oldest) })
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

// position returns the next offset to read and how long to wait for a record there. The
// wait is zero until the end of the stream is first reached, and again after the reader has
// gone back to a known generation, so that Read returns at once at the end.
func (f *Follower) position() (platform.Offset, time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := f.reader
	switch {
	case r.caughtUp:
		return r.next, maxReadWait
	case r.genKnown, !r.reachedEnd:
		return r.next, 0
	default:
		// The generation in force is unknown because records were trimmed before they were
		// read. A snapshot or a peer's offer may supply it soon, so the wait is short.
		return r.next, maxRetryDelay
	}
}

func (f *Follower) readPage(page platform.Page) {
	f.update(func(r *reader) {
		before := r.bootstrapOffset
		r.applyPage(page)
		f.oldest = page.Oldest
		if r.bootstrapOffset > before || f.bootstrapOffsetAdvancedAt.IsZero() {
			f.bootstrapOffsetAdvancedAt = time.Now()
		}
	})
}

// update runs change on the reader under the lock and closes the channel of Changed.
func (f *Follower) update(change func(r *reader)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f.reader)
	close(f.changed)
	f.changed = make(chan struct{})
}

// Current returns the configuration that this host uses; Set is nil before the first.
func (f *Follower) Current() Accepted {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reader.current
}

// Unreadable returns an accepted generation that this build cannot use, and why: its format
// is not supported, its set cannot be decoded, or the set fails the checks of this build. The
// host then keeps its current configuration and is not ready. Unreadable returns zero if there
// is no such generation.
func (f *Follower) Unreadable() (core.Generation, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reader.unreadable, f.reader.unreadableErr
}

// Gap reports whether records were trimmed before they were read and the generation in
// force could not yet be determined from the log.
func (f *Follower) Gap() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reader.reachedEnd && !f.reader.genKnown
}

// Ready reports whether the host may serve: it has read to the end of the stream or, if
// the log is unavailable, has the highest generation that its reachable peers offered. It
// is not ready while a newer accepted generation is unreadable.
func (f *Follower) Ready() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.reader.unreadable > f.reader.current.Generation {
		return false
	}
	return f.reader.caughtUp || f.peersConsulted && f.reader.current.Set != nil
}

// Changed returns a channel that is closed at the next update of the follower's state.
func (f *Follower) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// Offer makes a peer's accepted configuration current if its generation gen is newer than
// the current one. record and gen are the Record and Generation of the peer's Accepted. Offer
// reports whether gen is then this host's current generation; a record that cannot belong to
// gen is rejected.
func (f *Follower) Offer(record []byte, gen core.Generation) bool {
	rec, ok := decodeRecord(record)
	if !ok || !rec.canProduceGeneration(gen) {
		return false
	}
	var isCurrent bool
	f.update(func(r *reader) {
		r.activate(gen, record)
		isCurrent = r.current.Generation == gen
	})
	return isCurrent
}

// PeersConsulted records that every reachable peer was asked for its configuration and
// that the answers were passed to Offer.
func (f *Follower) PeersConsulted() {
	f.update(func(*reader) { f.peersConsulted = true })
}

// snapshotLoop appends a snapshot whenever one is due, until ctx is done.
func (f *Follower) snapshotLoop(ctx context.Context) error {
	interval := f.SnapshotInterval
	if interval <= 0 {
		interval = DefaultSnapshotInterval
	}
	// The jitter keeps hosts from appending at the same time: the first snapshot resets
	// the interval of every host that reads it.
	interval += rand.N(interval/2 + 1)
	tick := time.NewTicker(max(interval/snapshotChecksPerInterval, time.Millisecond))
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

// snapshotIfDue appends a snapshot if the reader's bootstrapOffset has not advanced for
// the interval or is below the oldest record that the log holds. Only a follower that has
// read the whole stream and uses the generation in force appends one.
func (f *Follower) snapshotIfDue(ctx context.Context, interval time.Duration) {
	f.mu.Lock()
	r := f.reader
	current := r.current
	complete := r.genKnown && r.caughtUp && r.unreadable == 0 && current.Set != nil && r.gen == current.Generation
	due := time.Since(f.bootstrapOffsetAdvancedAt) >= interval || r.bootstrapOffset < f.oldest
	rec := Record{Kind: RecordSnapshot, ID: NewID(), AsOf: r.next, Generation: r.gen}
	f.mu.Unlock()
	if !complete || !due {
		return
	}
	data, err := encodeRecord(rec, current.Set)
	if err != nil {
		return
	}
	// A failed append is retried at the next check.
	_, _ = f.log.Append(ctx, platform.StreamConfig, [][]byte{data})
}
