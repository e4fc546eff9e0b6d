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
	// EntryResumed is the start of a task from a checkpoint. It does not count as another start
	// of the job.
	EntryResumed EntryKind = "resumed"
	// EntryEnded is the end of a task that ran to completion or failed.
	EntryEnded EntryKind = "ended"
	// EntryStopped is an end requested by the lease holder; the progress is lost.
	EntryStopped EntryKind = "stopped"
	// EntryCheckpointed is an end requested by the lease holder; the progress is kept.
	EntryCheckpointed EntryKind = "checkpointed"
	// EntryLeaseExpired is an end because the lease expired.
	EntryLeaseExpired EntryKind = "lapsed"
	// EntryLost is an end because the worker restarted.
	EntryLost EntryKind = "lost"
	// EntryLeaving and EntryReturned mark that a worker starts leaving, and that it
	// accepts tasks again.
	EntryLeaving  EntryKind = "worker_leaving"
	EntryReturned EntryKind = "worker_returned"
)

// Starts reports whether an entry of kind k records the start of a task.
func (k EntryKind) Starts() bool { return k == EntryStarted || k == EntryResumed }

// Stops reports whether an entry of kind k records the end of a task.
func (k EntryKind) Stops() bool {
	switch k {
	case EntryEnded, EntryStopped, EntryCheckpointed, EntryLeaseExpired, EntryLost:
		return true
	}
	return false
}

// Entry is one entry of the ledger, about a task or a worker. The fields that describe
// the task and its job are set only in entries about tasks.
type Entry struct {
	// Seq numbers the entries from 1.
	Seq int `json:"seq"`
	// At is the time since the start of the stand-in, in nanoseconds.
	At time.Duration `json:"at"`
	// Unix is the wall-clock time in Unix nanoseconds. It can be compared with the
	// times of other processes on the same machine.
	Unix    int64          `json:"unix"`
	Kind    EntryKind      `json:"kind"`
	Worker  core.WorkerID  `json:"worker"`
	Task    core.TaskRef   `json:"task"`
	Org     core.OrgID     `json:"org,omitempty"`
	Request core.RequestID `json:"request,omitempty"`
	// Cells is the number of tasks of the complete job.
	Cells int `json:"cells,omitempty"`
	// Cell is the set of accelerators that the task holds.
	Cell       core.Cell `json:"cell,omitempty"`
	Idempotent bool      `json:"idempotent,omitempty"`
	// Digest is a hash of the payload.
	Digest string `json:"digest,omitempty"`
	// Holder is the lease holder that started the task.
	Holder platform.Holder `json:"holder"`
	// OK and Output are set only for EntryEnded.
	OK     bool   `json:"ok,omitempty"`
	Output string `json:"output,omitempty"`
}

// ledger records what the workers ran, in order.
type ledger struct {
	mu        sync.Mutex
	startTime time.Time
	entries   []Entry
}

func newLedger() *ledger { return &ledger{startTime: time.Now()} }

func (l *ledger) add(e Entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	e.At = now.Sub(l.startTime)
	e.Unix = now.UnixNano()
	e.Seq = len(l.entries) + 1
	l.entries = append(l.entries, e)
}

// addTask adds an entry about a task.
func (l *ledger) addTask(kind EntryKind, w core.WorkerID, t *heldTask, ok bool, output string) {
	l.add(Entry{
		Kind: kind, Worker: w, Task: t.Task, Org: t.Job.Org, Request: t.Job.Request, Cells: t.Job.Shape.Cells, Cell: t.Cell,
		Idempotent: t.Job.Idempotent, Digest: PayloadDigest(t.Job.Payload), Holder: t.holder, OK: ok, Output: output,
	})
}

// after returns the entries with numbers above seq.
func (l *ledger) after(seq int) []Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	seq = min(max(seq, 0), len(l.entries))
	return append([]Entry{}, l.entries[seq:]...)
}

// PayloadDigest returns the hash that identifies a payload in the ledger.
func PayloadDigest(payload []byte) string {
	return hex.EncodeToString(binary.BigEndian.AppendUint64(nil, xxhash.Sum64(payload)))
}
