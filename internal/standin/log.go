// Package standin is the platform in small, for tests and the quickstart: a log with
// offsets, a host list, workers with backend servers, and a ledger of what ran. Its
// faults are switched over HTTP, under PathAdmin.
package standin

import (
	"context"
	"sync"
	"time"

	"agatewinch/internal/platform"
)

// logStore holds the streams in memory.
type logStore struct {
	mu       sync.Mutex
	streams  map[platform.Stream]*stream
	keep     int
	keepTime time.Duration
}

type stream struct {
	oldest  platform.Offset
	records []platform.Record
	written []time.Time
	grown   chan struct{}
}

func newLogStore() *logStore { return &logStore{streams: map[platform.Stream]*stream{}} }

func (l *logStore) get(name platform.Stream) *stream {
	s, ok := l.streams[name]
	if !ok {
		s = &stream{grown: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}

// retain sets how many records of a stream are kept and for how long; zero means
// without a bound.
func (l *logStore) retain(records int, life time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.keep, l.keepTime = records, life
}

func (s *stream) end() platform.Offset { return s.oldest + platform.Offset(len(s.records)) }

func (l *logStore) append(name platform.Stream, data [][]byte) platform.Offset {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.get(name)
	first := s.end()
	now := time.Now()
	for _, d := range data {
		s.records = append(s.records, platform.Record{Offset: s.end(), Data: d})
		s.written = append(s.written, now)
	}
	close(s.grown)
	s.grown = make(chan struct{})
	return first
}

// trim drops the records that are past their retention.
func (l *logStore) trim(s *stream) {
	drop := 0
	if l.keep > 0 {
		drop = max(0, len(s.records)-l.keep)
	}
	if l.keepTime > 0 {
		limit := time.Now().Add(-l.keepTime)
		for drop < len(s.written) && s.written[drop].Before(limit) {
			drop++
		}
	}
	s.records = s.records[drop:]
	s.written = s.written[drop:]
	s.oldest += platform.Offset(drop)
}

func (l *logStore) read(ctx context.Context, name platform.Stream, from platform.Offset, limit int, wait time.Duration) (platform.Page, error) {
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		page, grown, err := l.tryRead(name, from, limit)
		if err != nil || len(page.Records) > 0 || wait <= 0 {
			return page, err
		}
		select {
		case <-grown:
		case <-timeout.C:
			return page, nil
		case <-ctx.Done():
			return page, ctx.Err()
		}
	}
}

func (l *logStore) tryRead(name platform.Stream, from platform.Offset, limit int) (platform.Page, chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.get(name)
	l.trim(s)
	page := platform.Page{Next: from, Oldest: s.oldest, End: s.end()}
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
