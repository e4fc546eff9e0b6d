package standin

import (
	"sync"
	"time"

	"agatewinch/internal/core"
)

// Entry is one line of the ledger: a start, an end or a stop of a task.
type Entry struct {
	// At is the time since the stand-in's start.
	At time.Duration `json:"at"`
	// Unix is the wall clock in nanoseconds, for measurements on one machine.
	Unix   int64         `json:"unix"`
	Kind   string        `json:"kind"`
	Task   core.TaskRef  `json:"task"`
	Worker core.WorkerID `json:"worker"`
	// Cells is the number of tasks that make the job whole.
	Cells int `json:"cells,omitempty"`
	// Cell is the accelerators that the task holds.
	Cell       core.Cell `json:"cell,omitempty"`
	Idempotent bool      `json:"idempotent,omitempty"`
	OK         bool      `json:"ok,omitempty"`
}

// The kinds of ledger entry.
const (
	EntryStarted = "started"
	EntryEnded   = "ended"
	EntryStopped = "stopped"
)

type ledger struct {
	mu      sync.Mutex
	began   time.Time
	entries []Entry
}

func newLedger() *ledger { return &ledger{began: time.Now()} }

func (l *ledger) add(e Entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	e.At = now.Sub(l.began)
	e.Unix = now.UnixNano()
	l.entries = append(l.entries, e)
}

func (l *ledger) started(j core.Job, ref core.TaskRef, w core.WorkerID, cell core.Cell) {
	l.add(Entry{Kind: EntryStarted, Task: ref, Worker: w, Cell: cell, Cells: j.Shape.Cells, Idempotent: j.Idempotent})
}

func (l *ledger) ended(ref core.TaskRef, w core.WorkerID, ok bool) {
	l.add(Entry{Kind: EntryEnded, Task: ref, Worker: w, OK: ok})
}

func (l *ledger) stopped(ref core.TaskRef, w core.WorkerID) {
	l.add(Entry{Kind: EntryStopped, Task: ref, Worker: w})
}

func (l *ledger) all() []Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Entry(nil), l.entries...)
}
