// Package fakelog is an in-memory platform.Log for tests with fault injection: outages,
// lost calls and answers, delays, and records trimmed by retention.
package fakelog

import (
	"context"
	"sync"
	"time"

	"agatewinch/internal/platform"
)

// Fault is the injected outcome of an append.
type Fault int

// The outcomes of an append.
const (
	// NoFault appends the records and returns their offset.
	NoFault Fault = iota
	// Refused appends nothing and returns platform.ErrNotApplied.
	Refused
	// AnswerLost appends the records but returns platform.ErrUnknown.
	AnswerLost
	// CallLost appends nothing and returns platform.ErrUnknown, so that the caller cannot
	// tell it from AnswerLost.
	CallLost
)

// Log is an in-memory platform.Log. Use New to create one.
type Log struct {
	mu      sync.Mutex
	streams map[platform.Stream]*stream
	// appendFault returns the outcome of each append; it is called with mu held.
	appendFault func() Fault
	// readErr is what Read returns while the log is down.
	readErr error
	appends int
	delay   time.Duration
}

// stream is one stream of a Log; oldest is the offset of the first record that it holds.
type stream struct {
	oldest  platform.Offset
	records []platform.Record
	// grown is closed and replaced at every append.
	grown chan struct{}
}

// New returns an empty log without faults.
func New() *Log {
	return &Log{streams: map[platform.Stream]*stream{}, appendFault: func() Fault { return NoFault }}
}

// SetFault sets the function that returns the outcome of each append. It is called with
// the log locked.
func (l *Log) SetFault(f func() Fault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.appendFault = f
}

// SetDown starts an outage, in which appends and reads fail with platform.ErrNotApplied, or
// ends it. It replaces the function set by SetFault.
func (l *Log) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.appendFault, l.readErr = func() Fault { return NoFault }, nil
	if down {
		l.appendFault, l.readErr = func() Fault { return Refused }, platform.ErrNotApplied
	}
}

// SetDelay delays each append by the given time.
func (l *Log) SetDelay(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay = d
}

// Appends returns the number of appends that took effect.
func (l *Log) Appends() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends
}

// Trim removes the records before an offset, as retention does.
func (l *Log) Trim(name platform.Stream, before platform.Offset) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.getStream(name)
	for len(s.records) > 0 && s.oldest < before {
		s.records = s.records[1:]
		s.oldest++
	}
}

// Records returns a copy of the records that a stream holds.
func (l *Log) Records(name platform.Stream) []platform.Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]platform.Record(nil), l.getStream(name).records...)
}

// getStream returns a stream and creates it if needed. The caller holds mu.
func (l *Log) getStream(name platform.Stream) *stream {
	s, ok := l.streams[name]
	if !ok {
		s = &stream{grown: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}

func (s *stream) end() platform.Offset { return s.oldest + platform.Offset(len(s.records)) }

// Append implements platform.Log.
func (l *Log) Append(ctx context.Context, name platform.Stream, data [][]byte) (platform.Offset, error) {
	l.mu.Lock()
	delay := l.delay
	l.mu.Unlock()
	if delay > 0 {
		select {
		case <-time.After(delay):
		case <-ctx.Done():
			return 0, platform.ErrUnknown
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	switch l.appendFault() {
	case Refused:
		return 0, platform.ErrNotApplied
	case CallLost:
		return 0, platform.ErrUnknown
	case AnswerLost:
		l.appendRecords(name, data)
		return 0, platform.ErrUnknown
	default:
		return l.appendRecords(name, data), nil
	}
}

// appendRecords appends to a stream and wakes its waiting readers. The caller holds mu.
func (l *Log) appendRecords(name platform.Stream, data [][]byte) platform.Offset {
	s := l.getStream(name)
	first := s.end()
	for _, d := range data {
		s.records = append(s.records, platform.Record{Offset: s.end(), Data: d})
	}
	l.appends++
	close(s.grown)
	s.grown = make(chan struct{})
	return first
}

// Read implements platform.Log.
func (l *Log) Read(ctx context.Context, name platform.Stream, from platform.Offset, limit int, wait time.Duration) (platform.Page, error) {
	timeout := time.After(wait)
	for {
		page, grown, err := l.readOnce(name, from, limit)
		if err != nil || len(page.Records) > 0 || wait <= 0 {
			return page, err
		}
		select {
		case <-grown:
		case <-timeout:
			return page, nil
		case <-ctx.Done():
			return page, ctx.Err()
		}
	}
}

// readOnce reads without waiting. It also returns a channel that is closed at the stream's
// next append.
func (l *Log) readOnce(name platform.Stream, from platform.Offset, limit int) (platform.Page, chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.getStream(name)
	page := platform.Page{Next: from, Oldest: s.oldest, End: s.end()}
	if l.readErr != nil {
		return page, s.grown, l.readErr
	}
	if from < s.oldest {
		return page, s.grown, &platform.TrimmedError{Oldest: s.oldest}
	}
	if from >= s.end() {
		return page, s.grown, nil
	}
	start := int(from - s.oldest)
	stop := min(start+limit, len(s.records))
	page.Records = append(page.Records, s.records[start:stop]...)
	page.Next = from + platform.Offset(stop-start)
	return page, s.grown, nil
}
