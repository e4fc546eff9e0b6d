// Package memlog implements the shared log in memory, with fault injection. Tests use it in
// place of the platform's log.
package memlog

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"agatewinch/internal/sharedlog"
)

// Log is a sharedlog.Log in memory.
type Log struct {
	mu     sync.Mutex
	topics map[sharedlog.Topic]*topic
	// appended is closed and replaced by each append.
	appended   chan struct{}
	faultFunc  func(call string, t sharedlog.Topic) error
	loseAnswer func(t sharedlog.Topic) bool
}

// SetFault makes the log call f before each operation, and again each time that a waiting read
// is woken. call is "append", "read" or "newest". The operation fails with f's error if it is not
// nil.
func (l *Log) SetFault(f func(call string, t sharedlog.Topic) error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faultFunc = f
}

// LoseAnswers makes the log call f after each append that took effect. If f returns true, the
// append returns sharedlog.ErrUnknown.
func (l *Log) LoseAnswers(f func(t sharedlog.Topic) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.loseAnswer = f
}

type topic struct {
	records []sharedlog.Record
	// first is the offset of the first retained record: zero, because records are never trimmed.
	first int64
	// epoch and sequence are those of the last fenced append.
	epoch    int64
	sequence int64
	// answers holds the offset of each fenced append, as the answer to its repeats.
	answers map[sharedlog.Fence]int64
}

// New returns an empty log.
func New() *Log {
	return &Log{topics: map[sharedlog.Topic]*topic{}, appended: make(chan struct{})}
}

func (l *Log) topic(t sharedlog.Topic) *topic {
	if l.topics[t] == nil {
		l.topics[t] = &topic{epoch: -1, answers: map[sharedlog.Fence]int64{}}
	}
	return l.topics[t]
}

func (l *Log) fault(call string, t sharedlog.Topic) error {
	l.mu.Lock()
	f := l.faultFunc
	l.mu.Unlock()
	if f == nil {
		return nil
	}
	return f(call, t)
}

func (t *topic) end() int64 { return t.first + int64(len(t.records)) }

// Append implements sharedlog.Log.
func (l *Log) Append(_ context.Context, name sharedlog.Topic, records []sharedlog.Record, opt sharedlog.AppendOptions) (int64, error) {
	if err := l.fault("append", name); err != nil {
		return 0, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.topic(name)
	if f := opt.Fence; f != nil {
		if at, ok := t.answers[*f]; ok {
			return at, nil // a repeat gets the first answer, whichever writer sends it
		}
		if f.Epoch < t.epoch {
			return 0, sharedlog.ErrFenced
		}
		if f.Epoch == t.epoch && f.Sequence != t.sequence+1 {
			return 0, &sharedlog.SequenceError{Expected: t.sequence + 1}
		}
	}
	if opt.ExpectedEnd != nil && *opt.ExpectedEnd != t.end() {
		return 0, &sharedlog.ConflictError{End: t.end()}
	}
	at := t.end()
	for i, r := range records {
		r.Offset = at + int64(i)
		t.records = append(t.records, r)
	}
	if f := opt.Fence; f != nil {
		t.epoch, t.sequence = f.Epoch, f.Sequence
		t.answers[*f] = at
	}
	close(l.appended)
	l.appended = make(chan struct{})
	if l.loseAnswer != nil && l.loseAnswer(name) {
		return 0, sharedlog.ErrUnknown
	}
	return at, nil
}

// Read implements sharedlog.Log.
func (l *Log) Read(ctx context.Context, name sharedlog.Topic, from int64, wait time.Duration) (sharedlog.ReadResult, error) {
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	for {
		if err := l.fault("read", name); err != nil {
			return sharedlog.ReadResult{}, err
		}
		l.mu.Lock()
		t := l.topic(name)
		end, first, appended := t.end(), t.first, l.appended
		var records []sharedlog.Record
		if from >= first && from < end {
			records = slices.Clone(t.records[from-first:])
		}
		l.mu.Unlock()
		if from < first {
			return sharedlog.ReadResult{}, sharedlog.ErrTrimmed
		}
		if len(records) > 0 || wait == 0 {
			return sharedlog.ReadResult{Records: records, End: end}, nil
		}
		select {
		case <-appended:
		case <-deadline.C:
			return sharedlog.ReadResult{End: end}, nil
		case <-ctx.Done():
			return sharedlog.ReadResult{}, sharedlog.ErrUnknown
		}
	}
}

// Newest implements sharedlog.Log.
func (l *Log) Newest(_ context.Context, name sharedlog.Topic) ([]sharedlog.Record, int64, error) {
	if err := l.fault("newest", name); err != nil {
		return nil, 0, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.topic(name)
	newest := map[string]sharedlog.Record{}
	for _, r := range t.records {
		newest[r.Key] = r
		if len(r.Value) == 0 {
			delete(newest, r.Key)
		}
	}
	var items []sharedlog.Record
	for _, k := range slices.Sorted(maps.Keys(newest)) {
		items = append(items, newest[k])
	}
	return items, t.end(), nil
}
