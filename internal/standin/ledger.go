package standin

import (
	"encoding/binary"
	"encoding/hex"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"agatewinch/internal/core"
	"agatewinch/internal/platform"
)

// EntryKind is the kind of a ledger entry.
type EntryKind string

// The kinds of ledger entry.
const (
	// EntryStarted is the start of a task from its beginning.
	EntryStarted EntryKind = "started"
	// EntryResumed is a start that goes on from a checkpoint: the same run.
	EntryResumed EntryKind = "resumed"
	// EntryEnded is a task's own end.
	EntryEnded EntryKind = "ended"
	// EntryStopped is an end on the holder's order, without the progress.
	EntryStopped EntryKind = "stopped"
	// EntryCheckpointed is an end on the holder's order with the progress kept.
	EntryCheckpointed EntryKind = "checkpointed"
	// EntryLapsed is an end because the lease lapsed.
	EntryLapsed EntryKind = "lapsed"
	// EntryLost is an end because the worker restarted.
	EntryLost EntryKind = "lost"
	// EntryLeaving and EntryReturned mark a worker that leaves or serves again.
	EntryLeaving  EntryKind = "worker_leaving"
	EntryReturned EntryKind = "worker_returned"
)

// Starts reports whether k begins a stretch of running.
func (k EntryKind) Starts() bool { return k == EntryStarted || k == EntryResumed }

// Stops reports whether k ends a stretch of running.
func (k EntryKind) Stops() bool {
	switch k {
	case EntryEnded, EntryStopped, EntryCheckpointed, EntryLapsed, EntryLost:
		return true
	}
	return false
}

// Entry is one line of the ledger. Job's parts are set for entries of tasks.
type Entry struct {
	// Seq numbers the entries from 1.
	Seq int `json:"seq"`
	// At is the time since the stand-in's start, in nanoseconds.
	At time.Duration `json:"at"`
	// Unix is the wall clock in nanoseconds, for measurements on one machine.
	Unix    int64          `json:"unix"`
	Kind    EntryKind      `json:"kind"`
	Worker  core.WorkerID  `json:"worker"`
	Task    core.TaskRef   `json:"task"`
	Org     core.OrgID     `json:"org,omitempty"`
	Request core.RequestID `json:"request,omitempty"`
	// Cells is the number of tasks that make the job whole.
	Cells int `json:"cells,omitempty"`
	// Cell is the accelerators that the task holds.
	Cell       core.Cell `json:"cell,omitempty"`
	Idempotent bool      `json:"idempotent,omitempty"`
	// Digest is a hash of the payload.
	Digest string `json:"digest,omitempty"`
	// Holder gave the order to start.
	Holder platform.Holder `json:"holder"`
	// OK and Output go with EntryEnded.
	OK     bool   `json:"ok,omitempty"`
	Output string `json:"output,omitempty"`
}

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
	e.Seq = len(l.entries) + 1
	l.entries = append(l.entries, e)
}

// task adds an entry of a task.
func (l *ledger) task(kind EntryKind, w core.WorkerID, t *heldTask, ok bool, output string) {
	l.add(Entry{
		Kind: kind, Worker: w, Task: t.Task, Org: t.Job.Org, Request: t.Job.Request, Cells: t.Job.Shape.Cells, Cell: t.Cell,
		Idempotent: t.Job.Idempotent, Digest: PayloadDigest(t.Job.Payload), Holder: t.holder, OK: ok, Output: output,
	})
}

// after returns the entries above seq.
func (l *ledger) after(seq int) []Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	seq = min(max(seq, 0), len(l.entries))
	return append([]Entry{}, l.entries[seq:]...)
}

// PayloadDigest returns the hash by which the ledger names a payload.
func PayloadDigest(payload []byte) string {
	return hex.EncodeToString(binary.BigEndian.AppendUint64(nil, xxhash.Sum64(payload)))
}
