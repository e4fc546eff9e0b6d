package journal

import (
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/gravitational/trace"

	"agatewinch/internal/event"
	"agatewinch/internal/platform"
)

const (
	readWait    = 5 * time.Second
	retryLowest = 50 * time.Millisecond
	retryHigh   = 500 * time.Millisecond
)

// endedMark is the time at which this process had read the outcomes before an offset.
type endedMark struct {
	before platform.Offset
	at     time.Time
}

func newBackOff() *backoff.ExponentialBackOff {
	return &backoff.ExponentialBackOff{InitialInterval: retryLowest, MaxInterval: retryHigh, Multiplier: 2, RandomizationFactor: 0.5}
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// readLoop bootstraps and then follows the stream. A gap left by retention sends it back
// to the newest snapshot.
func (j *Journal) readLoop(ctx context.Context) error {
	wait := newBackOff()
	bootstrapped := false
	for ctx.Err() == nil {
		var err error
		if bootstrapped {
			err = j.readOnce(ctx)
		} else {
			err = j.bootstrap(ctx)
		}
		var trimmed *platform.TrimmedError
		switch {
		case err == nil:
			bootstrapped = true
			wait.Reset()
		case errors.As(err, &trimmed):
			bootstrapped = false
		default:
			pause(ctx, wait.NextBackOff())
		}
	}
	return trace.Wrap(ctx.Err())
}

func (j *Journal) bootstrap(ctx context.Context) error {
	b, err := Bootstrap(ctx, j.log)
	if err != nil {
		return err
	}
	if b.Gap {
		event.Error(j.logger, trace.NotFound("no snapshot reaches the oldest record"), event.JournalGap, "oldest", b.Covers)
	}
	event.Info(j.logger, event.JournalLoaded, "records", b.Read, "next", b.State.next)
	j.mu.Lock()
	j.state, j.covers, j.ready = b.State, b.Covers, true
	j.lastRead, j.end = time.Now(), b.State.next
	j.open = newCollector()
	j.endedLog = []endedMark{{before: b.State.next, at: time.Now()}}
	j.settleAfterRestart()
	j.mu.Unlock()
	j.OnChange(Change{})
	return nil
}

// settleAfterRestart answers the records whose fate the snapshot shows; the others are
// appended again.
func (j *Journal) settleAfterRestart() {
	for id, p := range j.pending {
		if j.state.stands(p.rec) {
			j.settle(id, p)
		} else if p.again() {
			j.requeue(p)
		}
	}
}

// requeue hands a record back to the writer; with a full queue its caller waits in vain
// and learns that the record's fate is unknown.
func (j *Journal) requeue(p *pending) {
	select {
	case j.queue <- p:
	default:
	}
}

func (j *Journal) readOnce(ctx context.Context) error {
	j.mu.Lock()
	from := j.state.next
	j.mu.Unlock()
	page, err := j.log.Read(ctx, platform.StreamJobs, from, readLimit, readWait)
	if err != nil {
		return trace.Wrap(err)
	}
	for _, r := range locate(page.Records) {
		j.apply(r)
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.lastRead, j.end, j.oldest = time.Now(), page.End, page.Oldest
	return nil
}

func (j *Journal) apply(r located) {
	j.mu.Lock()
	j.state.Apply(r.at, r.Record)
	counts := j.state.stands(r.Record)
	if r.Snapshot != nil {
		j.noteSnapshot(r.Snapshot)
	}
	if r.Ended != nil {
		j.noteEnded(r.at)
	}
	if p, ok := j.pending[r.ID]; ok {
		j.settle(r.ID, p)
	}
	j.mu.Unlock()
	j.OnChange(Change{Record: &r.Record, Counts: counts})
}

func (j *Journal) noteSnapshot(p *SnapshotPart) {
	if done := j.open.add(p); done != nil && done.covers >= j.covers {
		j.covers, j.snapped = done.covers, time.Now()
	}
}

// endedStep is how finely the times of outcomes are kept.
const endedStep = 5 * time.Second

func (j *Journal) noteEnded(at platform.Offset) {
	now := time.Now()
	if n := len(j.endedLog); n > 0 && now.Sub(j.endedLog[n-1].at) < endedStep {
		// Outcomes of one step share a mark; expiry adds a step, so that none goes early.
		j.endedLog[n-1].before = at + 1
		return
	}
	j.endedLog = append(j.endedLog, endedMark{before: at + 1, at: now})
}
