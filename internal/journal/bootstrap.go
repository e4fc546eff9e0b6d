package journal

import (
	"context"
	"errors"

	"github.com/gravitational/trace"

	"agatewinch/internal/platform"
)

// Sizes of reads, in records.
const (
	readLimit    = 1000
	firstWindow  = 2048
	windowGrowth = 2
)

// Bootstrapped is the result of reading the stream from scratch.
type Bootstrapped struct {
	State *State
	// Covers is the offset that the snapshot in use covers; zero when there was none.
	Covers platform.Offset
	// Gap is true when records between the newest snapshot and the oldest record that
	// the log holds are lost.
	Gap bool
	// Read is the number of records that were read.
	Read int
}

// Bootstrap finds the newest complete snapshot from the stream's end backwards and
// applies the records after it, so that the cost follows the live state and not the
// length of the stream.
func Bootstrap(ctx context.Context, log platform.Log) (Bootstrapped, error) {
	for {
		b, err := tryBootstrap(ctx, log)
		var trimmed *platform.TrimmedError
		if errors.As(err, &trimmed) {
			// Retention overtook the read; the range has to be taken anew.
			continue
		}
		return b, trace.Wrap(err)
	}
}

func tryBootstrap(ctx context.Context, log platform.Log) (Bootstrapped, error) {
	bounds, err := readBounds(ctx, log)
	if err != nil {
		return Bootstrapped{}, err
	}
	var records []located
	var snapshot *collected
	start, window := bounds.End, platform.Offset(firstWindow)
	for snapshot == nil && start > bounds.Oldest {
		from := bounds.Oldest
		if start-bounds.Oldest > window {
			from = start - window
		}
		part, err := readRange(ctx, log, from, start)
		if err != nil {
			return Bootstrapped{}, err
		}
		records = append(part, records...)
		start, window = from, window*windowGrowth
		snapshot = newest(records)
	}
	state := NewState()
	if snapshot != nil {
		state = snapshot.state()
	}
	if state.next < start && start > bounds.Oldest {
		part, err := readRange(ctx, log, max(state.next, bounds.Oldest), start)
		if err != nil {
			return Bootstrapped{}, err
		}
		records = append(part, records...)
	}
	b := Bootstrapped{State: state, Covers: state.next, Gap: state.next < bounds.Oldest, Read: len(records)}
	for _, r := range records {
		state.Apply(r.at, r.Record)
	}
	state.next = max(state.next, bounds.End)
	return b, nil
}

// readBounds asks for the stream's oldest offset and its end.
func readBounds(ctx context.Context, log platform.Log) (platform.Page, error) {
	page, err := log.Read(ctx, platform.StreamJobs, 0, 1, 0)
	var trimmed *platform.TrimmedError
	if errors.As(err, &trimmed) {
		page, err = log.Read(ctx, platform.StreamJobs, trimmed.Oldest, 1, 0)
	}
	return page, trace.Wrap(err)
}

func readRange(ctx context.Context, log platform.Log, from, to platform.Offset) ([]located, error) {
	var records []located
	for from < to {
		page, err := log.Read(ctx, platform.StreamJobs, from, min(readLimit, int(to-from)), 0)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		if page.Next <= from {
			return nil, trace.Wrap(platform.ErrUnknown)
		}
		records = append(records, locate(page.Records)...)
		from = page.Next
	}
	return records, nil
}
