// Package fakelog is an in-memory platform.Log for tests, with faults that can be
// switched on: outages, lost answers, and records dropped by retention.
package fakelog

import (
	"context"
	"sync"
	"time"

	"agatewinch/internal/platform"
)

// Fault is what becomes of an append.
type Fault int

// The faults of appends.
const (
	// Healthy appends and answers.
	Healthy Fault = iota
	// Refused appends nothing and says so.
	Refused
	// AnswerLost appends, but the answer is lost.
	AnswerLost
	// CallLost appends nothing, and the caller cannot tell.
	CallLost
)

// Log is the fake. The zero value is not usable.
type Log struct {
	mu      sync.Mutex
	streams map[platform.Stream]*stream
	// fault decides the fate of the next append.
	fault   func() Fault
	readErr error
	appends int
	delay   time.Duration
}

type stream struct {
	oldest  platform.Offset
	records []platform.Record
	grown   chan struct{}
}

// New returns an empty healthy log.
func New() *Log {
	return &Log{streams: map[platform.Stream]*stream{}, fault: func() Fault { return Healthy }}
}

// SetFault sets the function that decides the fate of each append.
func (l *Log) SetFault(f func() Fault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fault = f
}

// SetDown makes all appends and reads fail without effect, or lets them work again.
func (l *Log) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fault, l.readErr = func() Fault { return Healthy }, nil
	if down {
		l.fault, l.readErr = func() Fault { return Refused }, platform.ErrNotApplied
	}
}

// SetDelay makes each append take the given time.
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

// Trim drops the records before an offset.
func (l *Log) Trim(name platform.Stream, before platform.Offset) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.get(name)
	for len(s.records) > 0 && s.oldest < before {
		s.records = s.records[1:]
		s.oldest++
	}
}

// Records returns what a stream holds.
func (l *Log) Records(name platform.Stream) []platform.Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]platform.Record(nil), l.get(name).records...)
}

func (l *Log) get(name platform.Stream) *stream {
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
	switch l.fault() {
	case Refused:
		return 0, platform.ErrNotApplied
	case CallLost:
		return 0, platform.ErrUnknown
	case AnswerLost:
		l.add(name, data)
		return 0, platform.ErrUnknown
	default:
		return l.add(name, data), nil
	}
}

func (l *Log) add(name platform.Stream, data [][]byte) platform.Offset {
	s := l.get(name)
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
		page, grown, err := l.try(name, from, limit)
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

func (l *Log) try(name platform.Stream, from platform.Offset, limit int) (platform.Page, chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.get(name)
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
