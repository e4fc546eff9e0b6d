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
	readWait      = 5 * time.Second
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 500 * time.Millisecond
)

// endedMark pairs an offset with a time: this process had read all outcomes before the offset
// no later than endedMarkInterval after the time.
type endedMark struct {
	before platform.Offset
	at     time.Time
}

func newBackoff() *backoff.ExponentialBackOff {
	return &backoff.ExponentialBackOff{InitialInterval: minRetryDelay, MaxInterval: maxRetryDelay, Multiplier: 2, RandomizationFactor: 0.5}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// readLoop bootstraps and then reads new records. It bootstraps again when retention has
// trimmed records that it had not read.
func (j *Journal) readLoop(ctx context.Context) error {
	wait := newBackoff()
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
			sleep(ctx, wait.NextBackOff())
		}
	}
	return trace.Wrap(ctx.Err())
}

// bootstrap replaces the state with the one that Bootstrap reads.
func (j *Journal) bootstrap(ctx context.Context) error {
	b, err := Bootstrap(ctx, j.log)
	if err != nil {
		return err
	}
	if b.Gap {
		event.Error(j.logger, trace.NotFound("records before the oldest retained one are lost: no snapshot covers them"), event.JournalGap, "oldest", b.Covers)
	}
	event.Info(j.logger, event.JournalLoaded, "records", b.Read, "next", b.State.next)
	j.mu.Lock()
	j.state, j.snapshotCovers, j.ready = b.State, b.Covers, true
	j.lastRead, j.end = time.Now(), b.State.next
	j.collector = newCollector()
	j.endedMarks = []endedMark{{before: b.State.next, at: time.Now()}}
	j.resolveAfterReload()
	j.mu.Unlock()
	j.OnChange(Change{})
	return nil
}

// resolveAfterReload completes the pending records that the reloaded state shows to have
// taken effect. Of the others, those whose append succeeded are appended again.
func (j *Journal) resolveAfterReload() {
	for id, p := range j.pending {
		if j.state.isEffective(p.rec) {
			j.resolve(id, p)
		} else if p.resetAppended() {
			j.requeue(p)
		}
	}
}

// requeue returns a record to the write queue. If the queue is full the record is dropped
// and its Write fails with platform.ErrUnknown when its context ends.
func (j *Journal) requeue(p *pending) {
	select {
	case j.queue <- p:
	default:
	}
}

// readOnce reads and applies one page of records.
func (j *Journal) readOnce(ctx context.Context) error {
	j.mu.Lock()
	from := j.state.next
	j.mu.Unlock()
	page, err := j.log.Read(ctx, platform.StreamJobs, from, maxReadRecords, readWait)
	if err != nil {
		return trace.Wrap(err)
	}
	for _, r := range decodeRecords(page.Records) {
		j.apply(r)
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.lastRead, j.end, j.oldest = time.Now(), page.End, page.Oldest
	return nil
}

// apply applies one record to the state and completes the Write that is waiting for it.
func (j *Journal) apply(r offsetRecord) {
	j.mu.Lock()
	j.state.Apply(r.offset, r.Record)
	effective := j.state.isEffective(r.Record)
	if r.Snapshot != nil {
		j.noteSnapshot(r.Snapshot)
	}
	if r.Ended != nil {
		j.noteEnded(r.offset)
	}
	if p, ok := j.pending[r.ID]; ok {
		j.resolve(r.ID, p)
	}
	j.mu.Unlock()
	j.OnChange(Change{Record: &r.Record, Effective: effective})
}

// noteSnapshot records a snapshot once all its parts have been read.
func (j *Journal) noteSnapshot(p *SnapshotPart) {
	if done := j.collector.add(p); done != nil && done.covers >= j.snapshotCovers {
		j.snapshotCovers, j.snapshotAt = done.covers, time.Now()
	}
}

// endedMarkInterval is the time resolution of ended marks.
const endedMarkInterval = 5 * time.Second

// noteEnded records when the outcome at an offset was read.
func (j *Journal) noteEnded(at platform.Offset) {
	now := time.Now()
	if n := len(j.endedMarks); n > 0 && now.Sub(j.endedMarks[n-1].at) < endedMarkInterval {
		// Outcomes of one interval share a mark, which has the time of the first; expirable
		// adds an interval so that none expires early.
		j.endedMarks[n-1].before = at + 1
		return
	}
	j.endedMarks = append(j.endedMarks, endedMark{before: at + 1, at: now})
}
