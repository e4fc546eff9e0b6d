package journal

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"agatewinch/internal/core"
	"agatewinch/internal/platform"
)

// Bounds of the tail after the newest snapshot.
const (
	// minTail is the number of records below which no snapshot is written for length.
	minTail = 2000
	// entriesPerTail is how many entries of the state allow one record of tail. Outcomes
	// still kept count as entries, so it has to be above the share of records that end a
	// job: otherwise the bound would grow as fast as the tail.
	entriesPerTail = 2
	// oldestShare is the part of the held range, from its oldest record, in which the
	// newest snapshot may not lie: retention would soon take it.
	oldestShare = 4
)

// SnapshotDue reports whether a new snapshot ought to be written.
func (j *Journal) SnapshotDue() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	if !j.ready {
		return false
	}
	if tailTooLong(j.state, j.covers) {
		return true
	}
	if j.oldest > 0 && j.covers < j.oldest+(j.end-min(j.oldest, j.end))/oldestShare {
		return true
	}
	return time.Since(j.snapped) > j.opts.SnapshotInterval
}

// tailTooLong reports whether the records after the newest snapshot outgrow the state.
func tailTooLong(s *State, covers platform.Offset) bool {
	return int(s.next-covers) > max(minTail, len(s.entries)/entriesPerTail)
}

// WriteSnapshot appends the present state. It fails when a part could not be appended;
// the parts that were are of no consequence.
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

// Expire drops the outcomes that this process has known for longer than they are kept.
// The time is this process's own: no clock of another host is asked.
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
	for len(j.endedLog) > 0 && j.endedLog[0].before <= before {
		j.endedLog = j.endedLog[1:]
	}
	return nil
}

func (j *Journal) expirable(now time.Time) (platform.Offset, bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	n := 0
	for n < len(j.endedLog) && now.Sub(j.endedLog[n].at) > j.opts.EndedKept+endedStep {
		n++
	}
	if n == 0 {
		return 0, false
	}
	return j.endedLog[n-1].before, true
}
