// Package sharedlog defines the interface to the platform's log of keyed records, independent of
// the platform's protocol. Package entry uses it. The log of gates and schedulers, whose streams
// have no keys, is in package internal/platform.
package sharedlog

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"time"
)

// Topic identifies one partition of a topic. Each partition has its own order of records and may
// be unavailable on its own.
type Topic struct {
	Name string
	Part int
}

// String returns the topic's name and partition.
func (t Topic) String() string { return t.Name + "/" + strconv.Itoa(t.Part) }

// Record is one record of a topic. A record with an empty value is a tombstone: it deletes its key.
type Record struct {
	Key    string
	Value  []byte
	Offset int64
}

// Fence holds a writer's epoch, which is its fencing token, and the sequence number of an append.
// The log refuses an epoch below the highest that it has seen, and answers a repeated sequence
// number of an epoch as it did the first time.
type Fence struct {
	Epoch    int64
	Sequence int64
}

// AppendOptions holds the conditions of an append.
type AppendOptions struct {
	// ExpectedEnd, if set, is the offset at which the topic has to end for the append to succeed.
	ExpectedEnd *int64
	// Fence, if set, is checked and recorded by the log.
	Fence *Fence
}

// ReadResult is the result of a read.
type ReadResult struct {
	Records []Record
	// End is the offset after the last record of the topic.
	End int64
}

// Errors returned by a Log.
var (
	// ErrRefused means that the call had no effect.
	ErrRefused = errors.New("the call to the log failed without effect")
	// ErrUnknown means that the call may have taken effect, or may still do so.
	ErrUnknown = errors.New("the call to the log failed and may have taken effect")
	// ErrFenced means that the log has seen a higher epoch than that of the append.
	ErrFenced = errors.New("the log refused the append: it has seen a higher epoch")
	// ErrTrimmed means that the read began before the topic's first retained record.
	ErrTrimmed = errors.New("the log no longer retains the requested records")
)

// ConflictError means that the topic did not end at the offset that the append expected.
type ConflictError struct{ End int64 }

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("conditional append failed: the topic ends at %d", e.End)
}

// SequenceError means that the sequence number of an append did not follow the last one.
type SequenceError struct{ Expected int64 }

// Error implements error.
func (e *SequenceError) Error() string {
	return fmt.Sprintf("append out of sequence: sequence %d was expected", e.Expected)
}

// Log is the platform's log.
type Log interface {
	// Append appends all of the records or none, and returns the offset of the first one. It fails
	// with ErrFenced, *SequenceError or *ConflictError if the log refuses it for a condition of
	// opt, with ErrRefused if it had no effect for another reason, and with ErrUnknown if it is
	// not known whether it took effect.
	Append(ctx context.Context, topic Topic, records []Record, opt AppendOptions) (int64, error)
	// Read returns the records from offset from on. If there are none, it waits up to wait for
	// the first one. It fails with ErrTrimmed if the record at from is no longer retained, and
	// with ErrRefused or ErrUnknown if the log cannot be read.
	Read(ctx context.Context, topic Topic, from int64, wait time.Duration) (ReadResult, error)
	// Newest returns the newest record of each key, and the offset from which to continue
	// reading.
	Newest(ctx context.Context, topic Topic) ([]Record, int64, error)
}
