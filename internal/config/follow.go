package config

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/gravitational/trace"

	"agatewinch/internal/core"
	"agatewinch/internal/errkind"
	"agatewinch/internal/platform"
)

const (
	readLimit   = 64
	readWait    = 20 * time.Second
	retryLowest = 100 * time.Millisecond
	retryHigh   = time.Second
)

// Accepted is a configuration in force.
type Accepted struct {
	Generation core.Generation
	Set        *Set
	// Record is the log record's data, as peers pass it on.
	Record []byte
}

// Follower reads the configuration stream and holds what is in force. A record is
// accepted when its base is the newest accepted generation; its own generation is
// then its offset plus one, so all readers agree and generations only grow.
type Follower struct {
	log platform.Log

	mu      sync.Mutex
	current Accepted
	next    platform.Offset
	results map[string]core.Generation
	changed chan struct{}
	caught  bool
}

// NewFollower returns a follower that has read nothing yet.
func NewFollower(log platform.Log) *Follower {
	return &Follower{log: log, results: map[string]core.Generation{}, changed: make(chan struct{})}
}

// Run reads the stream until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	wait := &backoff.ExponentialBackOff{InitialInterval: retryLowest, MaxInterval: retryHigh, Multiplier: 2, RandomizationFactor: 0.5}
	for ctx.Err() == nil {
		page, err := f.log.Read(ctx, platform.StreamConfig, f.position(), readLimit, f.waitTime())
		var trimmed *platform.TrimmedError
		if errors.As(err, &trimmed) {
			f.skipTo(trimmed.Oldest)
			continue
		}
		if err != nil {
			sleep(ctx, wait.NextBackOff())
			continue
		}
		wait.Reset()
		f.apply(page)
	}
	return trace.Wrap(ctx.Err())
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

func (f *Follower) position() platform.Offset {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.next
}

// waitTime does not wait before the end of the stream was reached once.
func (f *Follower) waitTime() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.caught {
		return 0
	}
	return readWait
}

func (f *Follower) skipTo(oldest platform.Offset) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.next = oldest
}

func (f *Follower) apply(page platform.Page) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range page.Records {
		f.applyRecord(r)
	}
	f.next = page.Next
	f.caught = f.caught || page.Next >= page.End
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *Follower) applyRecord(r platform.Record) {
	var rec Record
	if json.Unmarshal(r.Data, &rec) != nil || len(rec.Set.Check()) > 0 {
		return
	}
	if rec.Base != f.current.Generation {
		f.results[rec.ID] = 0
		return
	}
	f.current = Accepted{Generation: core.Generation(r.Offset) + 1, Set: &rec.Set, Record: r.Data}
	f.results[rec.ID] = f.current.Generation
}

// Current returns the configuration in force; its Set is nil before the first.
func (f *Follower) Current() Accepted {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current
}

// Ready reports whether the follower has read to the stream's end.
func (f *Follower) Ready() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.caught
}

// Changed returns a channel that is closed at the next change.
func (f *Follower) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// Apply appends a set that builds on base and waits until the stream shows whether it
// was accepted. It fails with a conflict when another set came first.
func (f *Follower) Apply(ctx context.Context, id string, base core.Generation, set Set) (core.Generation, error) {
	data, err := json.Marshal(Record{ID: id, Base: base, Set: set})
	if err != nil {
		return 0, trace.Wrap(err)
	}
	_, err = f.log.Append(ctx, platform.StreamConfig, [][]byte{data})
	if errors.Is(err, platform.ErrNotApplied) {
		return 0, errkind.New(errkind.LogUnavailable, "the log refused the configuration")
	}
	for {
		changed := f.Changed()
		gen, seen := f.result(id)
		if seen && gen == 0 {
			return 0, errkind.New(errkind.Conflict, "built on generation %d, but generation %d is in force", base, f.Current().Generation)
		}
		if seen {
			return gen, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return 0, errkind.New(errkind.OutcomeUnknown, "the log did not confirm the configuration in time")
		}
	}
}

func (f *Follower) result(id string) (core.Generation, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	gen, ok := f.results[id]
	return gen, ok
}
