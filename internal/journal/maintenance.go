package journal

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"agatewinch/internal/core"
	"agatewinch/internal/platform"
)

// Limits of the tail: the records after those that the newest snapshot covers.
const (
	// minTail is the number of records up to which the tail alone makes no snapshot due.
	minTail = 2000
	// entriesPerTailRecord is the number of state entries for each allowed record of the tail.
	// Outcomes still kept are entries too, so it has to be above the fraction of records
	// that end a job: otherwise the limit would grow as fast as the tail.
	entriesPerTailRecord = 2
	// oldestDivisor divides the retained range of offsets. A snapshot is due when the offset
	// that the newest one covers is in the oldest 1/oldestDivisor of that range: retention
	// would soon trim records that no snapshot covers.
	oldestDivisor = 4
)

// SnapshotDue reports whether a new snapshot should be written.
func (j *Journal) SnapshotDue() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	if !j.ready {
		return false
	}
	if tailTooLong(j.state, j.snapshotCovers) {
		return true
	}
	if j.oldest > 0 && j.snapshotCovers < j.oldest+(j.end-min(j.oldest, j.end))/oldestDivisor {
		return true
	}
	return time.Since(j.snapshotAt) > j.opts.SnapshotInterval
}

// tailTooLong reports whether the records after the offset that the newest snapshot covers
// exceed the limit for the size of the state.
func tailTooLong(s *State, covers platform.Offset) bool {
	return int(s.next-covers) > max(minTail, len(s.entries)/entriesPerTailRecord)
}

// WriteSnapshot appends a snapshot of the present state. It fails when a part could not be
// appended; the parts appended before it are ignored by readers.
func (j *Journal) WriteSnapshot(ctx context.Context, term core.Term) error {
	j.mu.Lock()
	parts := j.state.Parts(j.nextID())
	j.mu.Unlock()
	for i := range parts {
		if _, err := j.Write(ctx, term, Record{Snapshot: &parts[i]}); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

// Expire drops the outcomes that this process has known for longer than Options.EndedKept.
// It uses only this process's clock.
func (j *Journal) Expire(ctx context.Context, term core.Term) error {
	before, due := j.expirable(time.Now())
	if !due {
		return nil
	}
	if _, err := j.Write(ctx, term, Record{Expired: &Expired{Before: before}}); err != nil {
		return trace.Wrap(err)
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	for len(j.endedMarks) > 0 && j.endedMarks[0].before <= before {
		j.endedMarks = j.endedMarks[1:]
	}
	return nil
}

// expirable returns the offset before which outcomes can expire, and whether there are any.
func (j *Journal) expirable(now time.Time) (platform.Offset, bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	n := 0
	for n < len(j.endedMarks) && now.Sub(j.endedMarks[n].at) > j.opts.EndedKept+endedMarkInterval {
		n++
	}
	if n == 0 {
		return 0, false
	}
	return j.endedMarks[n-1].before, true
}
