// Package standin is the platform in small, for tests and the quickstart: a log with
// offsets, a host list, workers with backend servers, and a ledger of what ran.
package standin

import (
	"context"
	"sync"
	"time"

	"agatewinch/internal/platform"
)

// logStore holds the streams in memory.
type logStore struct {
	mu      sync.Mutex
	streams map[platform.Stream]*stream
}

type stream struct {
	oldest  platform.Offset
	records []platform.Record
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

func (s *stream) end() platform.Offset { return s.oldest + platform.Offset(len(s.records)) }

func (l *logStore) append(name platform.Stream, data [][]byte) platform.Offset {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.get(name)
	first := s.end()
	for _, d := range data {
		s.records = append(s.records, platform.Record{Offset: s.end(), Data: d})
	}
	close(s.grown)
	s.grown = make(chan struct{})
	return first
}

func (l *logStore) read(ctx context.Context, name platform.Stream, from platform.Offset, limit int, wait time.Duration) (platform.Page, error) {
	timeout := time.After(wait)
	for {
		page, grown, err := l.tryRead(name, from, limit)
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

func (l *logStore) tryRead(name platform.Stream, from platform.Offset, limit int) (platform.Page, chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.get(name)
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
