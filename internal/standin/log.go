// Package standin simulates the platform of gates and schedulers for tests and the quickstart:
// a log with offsets, a host list, workers with backend servers, and a ledger of what ran.
// Faults are set over HTTP, under PathAdmin. Package agatewinch/platform/standin simulates the
// operators' platform.
package standin

import (
	"context"
	"sync"
	"time"

	"agatewinch/internal/platform"
)

// logStore keeps the streams in memory. Records beyond the retention limits are trimmed
// when their stream is read; limits of zero mean unlimited.
type logStore struct {
	mu         sync.Mutex
	streams    map[platform.Stream]*stream
	maxRecords int
	maxAge     time.Duration
}

// stream is one stream of the log. appended is closed, and replaced, at every append.
type stream struct {
	oldest      platform.Offset
	records     []platform.Record
	appendTimes []time.Time
	appended    chan struct{}
}

func newLogStore() *logStore { return &logStore{streams: map[platform.Stream]*stream{}} }

func (l *logStore) getOrCreate(name platform.Stream) *stream {
	s, ok := l.streams[name]
	if !ok {
		s = &stream{appended: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}

// setRetention limits the number and the age of the records kept of each stream; zero
// means unlimited.
func (l *logStore) setRetention(records int, maxAge time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.maxRecords, l.maxAge = records, maxAge
}

func (s *stream) end() platform.Offset { return s.oldest + platform.Offset(len(s.records)) }

func (l *logStore) append(name platform.Stream, data [][]byte) platform.Offset {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.getOrCreate(name)
	first := s.end()
	now := time.Now()
	for _, d := range data {
		s.records = append(s.records, platform.Record{Offset: s.end(), Data: d})
		s.appendTimes = append(s.appendTimes, now)
	}
	close(s.appended)
	s.appended = make(chan struct{})
	return first
}

// trim removes the oldest records of s until it is within the retention limits.
func (l *logStore) trim(s *stream) {
	drop := 0
	if l.maxRecords > 0 {
		drop = max(0, len(s.records)-l.maxRecords)
	}
	if l.maxAge > 0 {
		limit := time.Now().Add(-l.maxAge)
		for drop < len(s.appendTimes) && s.appendTimes[drop].Before(limit) {
			drop++
		}
	}
	s.records = s.records[drop:]
	s.appendTimes = s.appendTimes[drop:]
	s.oldest += platform.Offset(drop)
}

// read reads a page. If it is empty, read waits for the next append, up to wait or until ctx
// ends. It fails with platform.TrimmedError or with the error of ctx.
func (l *logStore) read(ctx context.Context, name platform.Stream, from platform.Offset, limit int, wait time.Duration) (platform.Page, error) {
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		page, appended, err := l.tryRead(name, from, limit)
		if err != nil || len(page.Records) > 0 || wait <= 0 {
			return page, err
		}
		select {
		case <-appended:
		case <-timeout.C:
			return page, nil
		case <-ctx.Done():
			return page, ctx.Err()
		}
	}
}

// tryRead reads a page without waiting. The returned channel is closed at the stream's next
// append.
func (l *logStore) tryRead(name platform.Stream, from platform.Offset, limit int) (platform.Page, chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.getOrCreate(name)
	l.trim(s)
	page := platform.Page{Next: from, Oldest: s.oldest, End: s.end()}
	if from < s.oldest {
		return page, s.appended, &platform.TrimmedError{Oldest: s.oldest}
	}
	if from >= s.end() {
		return page, s.appended, nil
	}
	start := int(from - s.oldest)
	stop := min(start+limit, len(s.records))
	page.Records = append(page.Records, s.records[start:stop]...)
	page.Next = from + platform.Offset(stop-start)
	return page, s.appended, nil
}
