// Package sharedlog is the port to the platform's log of keyed records: what the
// product needs of it, without saying how the platform speaks.
package sharedlog

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"time"
)

// Topic is one partition of a topic; each is ordered by itself, and may be away alone.
type Topic struct {
	Name string
	Part int
}

// String returns the topic's name and partition.
func (t Topic) String() string { return t.Name + "/" + strconv.Itoa(t.Part) }

// Record is one record of a topic. An empty value drops its key.
type Record struct {
	Key    string
	Value  []byte
	Offset int64
}

// Fence orders the appends of one writer. The log refuses an epoch below one that it
// has seen, and answers a repeated sequence number as it did the first time.
type Fence struct {
	Epoch    int64
	Sequence int64
}

// AppendOptions makes an append conditional.
type AppendOptions struct {
	// At, if set, is the offset at which the topic has to end.
	At *int64
	// Fence, if set, is checked and remembered by the log.
	Fence *Fence
}

// ReadResult is what a read found.
type ReadResult struct {
	Records []Record
	// End is the offset after the last record of the topic.
	End int64
}

// The ways in which the log does not do what it was asked.
var (
	// ErrRefused says that the log did nothing.
	ErrRefused = errors.New("the log refused the call")
	// ErrUnknown says that the call may have taken effect, or may yet.
	ErrUnknown = errors.New("the log's answer was lost")
	// ErrFenced says that a higher epoch has been used.
	ErrFenced = errors.New("a higher epoch has been used")
	// ErrTrimmed says that records before the topic's first were asked for.
	ErrTrimmed = errors.New("the records asked for are no longer kept")
)

// ConflictError says that the topic did not end where the append wanted it to.
type ConflictError struct{ End int64 }

// Error names the end of the topic.
func (e *ConflictError) Error() string { return fmt.Sprintf("the topic ends at %d", e.End) }

// SequenceError says that a sequence number did not follow the one before it.
type SequenceError struct{ Expected int64 }

// Error names the expected number.
func (e *SequenceError) Error() string { return fmt.Sprintf("sequence %d was expected", e.Expected) }

// Log is the platform's log.
type Log interface {
	// Append adds records, all or nothing, and returns the offset of the first one.
	Append(ctx context.Context, topic Topic, records []Record, opt AppendOptions) (int64, error)
	// Read returns the records from an offset on. It waits up to wait for the first one.
	Read(ctx context.Context, topic Topic, from int64, wait time.Duration) (ReadResult, error)
	// Newest returns the newest record of each key, and an offset to go on reading from.
	Newest(ctx context.Context, topic Topic) ([]Record, int64, error)
}
