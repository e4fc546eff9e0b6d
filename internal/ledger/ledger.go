// Package ledger folds the records of the log into the state of all jobs. Every host
// holds one; a host that takes over the deciding role goes on from it.
package ledger

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"sync"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"

	"agatewinch/internal/core/job"
	"agatewinch/internal/sharedlog"
)

// The topics of the product.
var (
	// TopicsJobs hold submissions and cancellations; every host appends to the first of
	// them that takes the records.
	TopicsJobs = []sharedlog.Topic{{Name: "keyed.jobs"}, {Name: "keyed.jobs", Part: 1}, {Name: "keyed.jobs", Part: 2}}
	// TopicState holds the deciding role, tasks and ends; only its holder appends to it.
	TopicState = sharedlog.Topic{Name: "keyed.state"}
)

// The kinds of key.
const (
	keyJob    = "j/"
	keyCancel = "c/"
	keyTask   = "t/"
	keyEnd    = "e/"
	keyRole   = "role"
	keyHost   = "h/"
)

// Role is the record of the deciding role.
type Role struct {
	Epoch int64 `cbor:"1,keyasint"`
	// Holder names the host, and Incarnation one life of its process.
	Holder      string `cbor:"2,keyasint"`
	Incarnation int64  `cbor:"3,keyasint"`
	// Released says that the holder gave the role up.
	Released bool `cbor:"4,keyasint,omitempty"`
}

// HostEntry is what a host writes of itself when it starts.
type HostEntry struct {
	// Address is where peers reach it.
	Address string `cbor:"1,keyasint"`
	Zone    string `cbor:"2,keyasint"`
}

// Ended is the record of a job's end.
type Ended struct {
	State job.State `cbor:"1,keyasint"`
	// AtMs is in Unix milliseconds.
	AtMs int64 `cbor:"2,keyasint"`
}

// Entry is what the ledger holds of one job.
type Entry struct {
	Job       *job.Job
	Cancelled bool
	Ended     *Ended
	// Tasks holds the records of tasks by name.
	Tasks map[string]job.TaskRecord
	began bool
}

// Ledger is the folded state. It is safe for concurrent use.
type Ledger struct {
	mu      sync.RWMutex
	entries map[string]*Entry
	hosts   map[string]HostEntry
	role    Role
	// changes counts the state records that were folded.
	changes uint64
	added   []string
}

// New returns an empty ledger.
func New() *Ledger { return &Ledger{entries: map[string]*Entry{}, hosts: map[string]HostEntry{}} }

// JobRecord returns the record of a submission.
func JobRecord(j *job.Job) (sharedlog.Record, error) { return encode(keyJob+j.ID, j) }

// CancelRecord returns the record of a cancellation.
func CancelRecord(id string) sharedlog.Record {
	return sharedlog.Record{Key: keyCancel + id, Value: []byte{1}}
}

// TaskRecord returns the record of a task.
func TaskRecord(id job.TaskID, r job.TaskRecord) (sharedlog.Record, error) {
	return encode(keyTask+id.String(), r)
}

// EndRecord returns the record of a job's end.
func EndRecord(id string, e Ended) (sharedlog.Record, error) { return encode(keyEnd+id, e) }

// RoleRecord returns the record of the deciding role.
func RoleRecord(r Role) (sharedlog.Record, error) { return encode(keyRole, r) }

// HostRecord returns the record of a host.
func HostRecord(name string, e HostEntry) (sharedlog.Record, error) { return encode(keyHost+name, e) }

// DropTask returns the record that drops a task's key.
func DropTask(id job.TaskID) sharedlog.Record { return sharedlog.Record{Key: keyTask + id.String()} }

// DropJob returns the records that drop a job from the topic of jobs.
func DropJob(id string) []sharedlog.Record {
	return []sharedlog.Record{{Key: keyJob + id}, {Key: keyCancel + id}}
}

// DropEnd returns the record that drops a job's end.
func DropEnd(id string) sharedlog.Record { return sharedlog.Record{Key: keyEnd + id} }

func encode(key string, v any) (sharedlog.Record, error) {
	b, err := cbor.Marshal(v)
	if err != nil {
		return sharedlog.Record{}, trace.Wrap(err, "encode %s", key)
	}
	return sharedlog.Record{Key: key, Value: b}, nil
}

// Apply folds records in the order of the log. It returns the first error met; records
// that cannot be read are passed over.
func (l *Ledger) Apply(records []sharedlog.Record) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	var first error
	for _, r := range records {
		if err := l.apply(r); err != nil && first == nil {
			first = trace.Wrap(err, "record %d (%s)", r.Offset, r.Key)
		}
	}
	return first
}

func (l *Ledger) apply(r sharedlog.Record) error {
	drop := len(r.Value) == 0
	switch {
	case r.Key == keyRole:
		if drop {
			return nil
		}
		var role Role
		if err := cbor.Unmarshal(r.Value, &role); err != nil {
			return err
		}
		if role.Epoch >= l.role.Epoch {
			l.role = role
		}
		l.changes++
	case strings.HasPrefix(r.Key, keyJob):
		return l.applyJob(r.Key[len(keyJob):], r.Value, drop)
	case strings.HasPrefix(r.Key, keyCancel):
		id := r.Key[len(keyCancel):]
		if !drop {
			l.entry(id).Cancelled = true
			l.added = append(l.added, id)
		}
	case strings.HasPrefix(r.Key, keyHost):
		var e HostEntry
		if drop {
			delete(l.hosts, r.Key[len(keyHost):])
			return nil
		}
		if err := cbor.Unmarshal(r.Value, &e); err != nil {
			return err
		}
		l.hosts[r.Key[len(keyHost):]] = e
	case strings.HasPrefix(r.Key, keyTask):
		l.changes++
		return l.applyTask(r.Key[len(keyTask):], r.Value, drop)
	case strings.HasPrefix(r.Key, keyEnd):
		l.changes++
		id := r.Key[len(keyEnd):]
		if drop {
			delete(l.entries, id)
			return nil
		}
		var e Ended
		if err := cbor.Unmarshal(r.Value, &e); err != nil {
			return err
		}
		l.entry(id).Ended = &e
	}
	return nil
}

func (l *Ledger) entry(id string) *Entry {
	e := l.entries[id]
	if e == nil {
		e = &Entry{Tasks: map[string]job.TaskRecord{}}
		l.entries[id] = e
	}
	return e
}

func (l *Ledger) applyJob(id string, value []byte, drop bool) error {
	if drop {
		if e := l.entries[id]; e != nil && e.Ended == nil {
			delete(l.entries, id)
		}
		return nil
	}
	e := l.entry(id)
	if e.Job != nil {
		return nil // a repeat of the submission: the first one stands
	}
	var j job.Job
	if err := cbor.Unmarshal(value, &j); err != nil {
		return err
	}
	e.Job = &j
	l.added = append(l.added, id)
	return nil
}

func (l *Ledger) applyTask(name string, value []byte, drop bool) error {
	id, err := job.ParseTaskID(name)
	if err != nil {
		return err
	}
	if drop {
		if e := l.entries[id.Job]; e != nil {
			delete(e.Tasks, name)
		}
		return nil
	}
	var r job.TaskRecord
	if err := cbor.Unmarshal(value, &r); err != nil {
		return err
	}
	e := l.entry(id.Job)
	e.Tasks[name] = r
	e.began = e.began || r.Began || r.Done
	return nil
}

// Role returns the newest record of the deciding role.
func (l *Ledger) Role() Role {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.role
}

// Hosts returns the hosts that have written of themselves, by name.
func (l *Ledger) Hosts() map[string]HostEntry {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return maps.Clone(l.hosts)
}

// Changes counts the records of the deciding role's holder that were folded.
func (l *Ledger) Changes() uint64 {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.changes
}

// TakeAdded returns the jobs that were submitted or cancelled since the last call.
func (l *Ledger) TakeAdded() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	added := l.added
	l.added = nil
	return added
}

// Find returns a copy of a job's entry without its tasks.
func (l *Ledger) Find(id string) (Entry, bool) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	e := l.entries[id]
	if e == nil {
		return Entry{}, false
	}
	c := *e
	c.Tasks = nil
	return c, true
}

// Tasks returns a copy of the records of a job's tasks.
func (l *Ledger) Tasks(id string) map[string]job.TaskRecord {
	l.mu.RLock()
	defer l.mu.RUnlock()
	e := l.entries[id]
	if e == nil {
		return nil
	}
	return maps.Clone(e.Tasks)
}

// Complete reports whether the submission of every job with tasks has been read. They come
// from other partitions, which may be away alone; without them nobody knows what the tasks take.
func (l *Ledger) Complete() bool {
	l.mu.RLock()
	defer l.mu.RUnlock()
	for _, e := range l.entries {
		if e.Job == nil && len(e.Tasks) > 0 {
			return false
		}
	}
	return true
}

// StateOf returns what a caller is shown of a job.
func (l *Ledger) StateOf(id string) (state job.State, queue string, ok bool) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	e := l.entries[id]
	if e == nil || e.Job == nil {
		return "", "", false
	}
	return e.state(), e.Job.Queue, true
}

func (e *Entry) state() job.State {
	switch {
	case e.Ended != nil:
		return e.Ended.State
	case e.Cancelled:
		return job.Cancelled
	case e.began:
		return job.Running
	}
	return job.Pending
}

// Waiting counts a queue's accepted jobs of which no task has begun.
func (l *Ledger) Waiting(queue string) int {
	l.mu.RLock()
	defer l.mu.RUnlock()
	n := 0
	for _, e := range l.entries {
		if e.Job != nil && e.Job.Queue == queue && e.state() == job.Pending {
			n++
		}
	}
	return n
}

// Each calls f with every entry, under the ledger's lock; f must not keep the maps.
func (l *Ledger) Each(f func(id string, e *Entry)) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	for id, e := range l.entries {
		f(id, e)
	}
}

// EachByArrival calls f with every entry in the order in which the jobs were accepted.
func (l *Ledger) EachByArrival(f func(id string, e *Entry)) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	ids := slices.SortedFunc(maps.Keys(l.entries), func(a, b string) int {
		return cmp.Or(cmp.Compare(l.entries[a].arrived(), l.entries[b].arrived()), cmp.Compare(a, b))
	})
	for _, id := range ids {
		f(id, l.entries[id])
	}
}

func (e *Entry) arrived() int64 {
	if e.Job == nil {
		return 0
	}
	return e.Job.AcceptedMs
}
