package journal

import (
	"context"
	"errors"

	"github.com/gravitational/trace"

	"agatewinch/internal/platform"
)

// Sizes of reads, in records, and the factor by which the search window grows.
const (
	maxReadRecords = 1000
	initialWindow  = 2048
	windowGrowth   = 2
)

// BootstrapResult is the state read by Bootstrap and how it was obtained.
type BootstrapResult struct {
	State *State
	// Covers is the offset before which the used snapshot holds all records; zero without a
	// snapshot.
	Covers platform.Offset
	// Gap is true when records between the newest snapshot and the oldest retained record
	// are lost.
	Gap bool
	// Read is the number of records that were read.
	Read int
}

// Bootstrap searches backwards from the stream's end for the newest complete snapshot and
// applies the records after it, so that the cost depends on the size of the live state and
// not on the length of the stream.
func Bootstrap(ctx context.Context, log platform.Log) (BootstrapResult, error) {
	for {
		b, err := tryBootstrap(ctx, log)
		var trimmed *platform.TrimmedError
		if errors.As(err, &trimmed) {
			// Retention trimmed records during the read; retry with the new bounds.
			continue
		}
		return b, trace.Wrap(err)
	}
}

func tryBootstrap(ctx context.Context, log platform.Log) (BootstrapResult, error) {
	bounds, err := readBounds(ctx, log)
	if err != nil {
		return BootstrapResult{}, err
	}
	var records []offsetRecord
	var snapshot *snapshotParts
	start, window := bounds.End, platform.Offset(initialWindow)
	for snapshot == nil && start > bounds.Oldest {
		from := bounds.Oldest
		if start-bounds.Oldest > window {
			from = start - window
		}
		part, err := readRange(ctx, log, from, start)
		if err != nil {
			return BootstrapResult{}, err
		}
		records = append(part, records...)
		start, window = from, window*windowGrowth
		snapshot = newestSnapshot(records)
	}
	state := NewState()
	if snapshot != nil {
		state = snapshot.state()
	}
	if state.next < start && start > bounds.Oldest {
		part, err := readRange(ctx, log, max(state.next, bounds.Oldest), start)
		if err != nil {
			return BootstrapResult{}, err
		}
		records = append(part, records...)
	}
	b := BootstrapResult{State: state, Covers: state.next, Gap: state.next < bounds.Oldest, Read: len(records)}
	for _, r := range records {
		state.Apply(r.offset, r.Record)
	}
	state.next = max(state.next, bounds.End)
	return b, nil
}

// readBounds reads a page for the stream's oldest offset and its end.
func readBounds(ctx context.Context, log platform.Log) (platform.Page, error) {
	page, err := log.Read(ctx, platform.StreamJobs, 0, 1, 0)
	var trimmed *platform.TrimmedError
	if errors.As(err, &trimmed) {
		page, err = log.Read(ctx, platform.StreamJobs, trimmed.Oldest, 1, 0)
	}
	return page, trace.Wrap(err)
}

// readRange reads the records at offsets from <= n < to.
func readRange(ctx context.Context, log platform.Log, from, to platform.Offset) ([]offsetRecord, error) {
	var records []offsetRecord
	for from < to {
		page, err := log.Read(ctx, platform.StreamJobs, from, min(maxReadRecords, int(to-from)), 0)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		if page.Next <= from {
			return nil, trace.Wrap(platform.ErrUnknown)
		}
		records = append(records, decodeRecords(page.Records)...)
		from = page.Next
	}
	return records, nil
}
