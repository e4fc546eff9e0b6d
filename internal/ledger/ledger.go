// Package ledger keeps the state of all jobs in memory by applying the records of the shared
// log. Every host has a ledger; a host that takes over the leader role continues from its own.
//
// Package entry reads and appends the records. Package scheduler uses package journal instead. The
// ledger of package internal/standin, which lists what workers ran, is unrelated.
package ledger

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"

	"agatewinch/internal/core/admission"
	"agatewinch/internal/core/job"
	"agatewinch/internal/sharedlog"
)

// The topics of the shared log.
var (
	// TopicsJobs are the partitions of submissions, cancellations and host entries. A host appends
	// a record to one of them, and to another if that one refuses it or does not answer in time,
	// so that a record may be in any of them, or in several.
	TopicsJobs = []sharedlog.Topic{{Name: "keyed.jobs"}, {Name: "keyed.jobs", Part: 1}, {Name: "keyed.jobs", Part: 2}}
	// TopicState holds the leader role, tasks and the ends of jobs. Only the leader, or a host
	// claiming the role, appends to it.
	TopicState = sharedlog.Topic{Name: "keyed.state"}
)

// Record keys: the key of the leader role, and the key prefixes of the other kinds of records.
const (
	keyJob    = "j/"
	keyCancel = "c/"
	keyTask   = "t/"
	keyEnd    = "e/"
	keyRole   = "role"
	keyHost   = "h/"
	keyWave   = "w/"
	// keyForecast is the key of the leader's forecast.
	keyForecast = "forecast"
)

// Role is the record of the leader role.
type Role struct {
	Epoch int64 `cbor:"1,keyasint"`
	// Holder is the name of the leader's host, and Incarnation identifies one start of its
	// process.
	Holder      string `cbor:"2,keyasint"`
	Incarnation int64  `cbor:"3,keyasint"`
	// Released is set when the holder has given up the role.
	Released bool `cbor:"4,keyasint,omitempty"`
	// FormerRenewalMs is how long after this record, in milliseconds, leaders before the holder may
	// go on renewing the leases of workers.
	FormerRenewalMs int64 `cbor:"5,keyasint,omitempty"`
	// LeaseLimitMs is how long after their last record the leases of the holder, and of all leaders before it,
	// may last on worker incarnations that they knew, in milliseconds; zero in the records of older versions.
	LeaseLimitMs int64 `cbor:"6,keyasint,omitempty"`
}

// HostEntry is the record of a host, which the host writes when it starts.
type HostEntry struct {
	// Address is the address at which peers reach the host.
	Address string `cbor:"1,keyasint"`
	Zone    string `cbor:"2,keyasint"`
	// Cores is the number of processor cores that the host may use; zero if it is not known.
	Cores float64 `cbor:"3,keyasint,omitempty"`
}

// Wave is the record of an upkeep wave in progress: the names of the machines whose upkeep may have been
// ordered, and of those whose upkeep is over.
type Wave struct {
	Ordered []string `cbor:"1,keyasint,omitempty"`
	Done    []string `cbor:"2,keyasint,omitempty"`
}

// Ended is the record of a job's end.
type Ended struct {
	State job.State `cbor:"1,keyasint"`
	// AtMs is the time of the end in Unix milliseconds.
	AtMs int64 `cbor:"2,keyasint"`
}

// Entry is the ledger's state of one job. Job is nil until the submission has been read.
type Entry struct {
	Job       *job.Job
	Cancelled bool
	Ended     *Ended
	// Tasks holds the newest records of the job's tasks, by the tasks' names.
	Tasks map[string]job.TaskRecord
	// started is set once a task has started or is done; it outlives the task's record.
	started bool
	// earlyCancels holds the times of early cancellations, in Unix milliseconds, by the hash of the
	// organisation.
	earlyCancels map[uint64]int64
	// refusedMs is when the job was first refused for want of room, in Unix milliseconds; zero if it was
	// not.
	refusedMs int64
}

// Ledger is the state of all jobs, of the leader role and of the hosts. It is safe for
// concurrent use.
type Ledger struct {
	mu      sync.RWMutex
	entries map[string]*Entry
	hosts   map[string]HostEntry
	// waves holds the records of the waves in progress, by their numbers in decimal.
	waves map[string]Wave
	role  Role
	// forecast is the newest forecast of a leader; nil if there is none.
	forecast *admission.Forecast
	// stateRecords counts the records of the leader that were applied.
	stateRecords uint64
	// updated holds the IDs of jobs submitted or cancelled since the last TakeUpdated, while
	// tracking is set.
	updated  []string
	tracking bool
}

// New returns an empty ledger.
func New() *Ledger {
	return &Ledger{entries: map[string]*Entry{}, hosts: map[string]HostEntry{}, waves: map[string]Wave{}}
}

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

// RoleRecord returns the record of the leader role.
func RoleRecord(r Role) (sharedlog.Record, error) { return encode(keyRole, r) }

// HostRecord returns the record of a host.
func HostRecord(name string, e HostEntry) (sharedlog.Record, error) { return encode(keyHost+name, e) }

// TaskTombstone returns the tombstone of a task's record.
func TaskTombstone(id job.TaskID) sharedlog.Record {
	return sharedlog.Record{Key: keyTask + id.String()}
}

// EndTombstone returns the tombstone of a job's end.
func EndTombstone(id string) sharedlog.Record { return sharedlog.Record{Key: keyEnd + id} }

// WaveRecord returns the record of a wave in progress.
func WaveRecord(number int64, w Wave) (sharedlog.Record, error) { return encode(waveKey(number), w) }

// WaveTombstone returns the tombstone of a wave's record.
func WaveTombstone(number int64) sharedlog.Record { return sharedlog.Record{Key: waveKey(number)} }

func waveKey(number int64) string { return keyWave + strconv.FormatInt(number, 10) }

func encode(key string, v any) (sharedlog.Record, error) {
	b, err := cbor.Marshal(v)
	if err != nil {
		return sharedlog.Record{}, trace.Wrap(err, "encode %s", key)
	}
	return sharedlog.Record{Key: key, Value: b}, nil
}

// Apply applies records in log order. Records that cannot be decoded are skipped; Apply returns
// the first error.
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
	tombstone := len(r.Value) == 0
	switch {
	case r.Key == keyRole:
		if tombstone {
			return nil
		}
		var role Role
		if err := cbor.Unmarshal(r.Value, &role); err != nil {
			return err
		}
		if role.Epoch >= l.role.Epoch {
			l.role = role
		}
		l.stateRecords++
	case r.Key == keyForecast:
		return l.applyForecast(r.Value)
	case strings.HasPrefix(r.Key, keyJob):
		return l.applyJob(r.Key[len(keyJob):], r.Value, tombstone)
	case strings.HasPrefix(r.Key, keyCancel):
		id := r.Key[len(keyCancel):]
		if !tombstone {
			l.entry(id).Cancelled = true
			l.recordUpdate(id)
		}
	case strings.HasPrefix(r.Key, keyEarlyCancel):
		return l.applyEarlyCancel(r.Key[len(keyEarlyCancel):], r.Value, tombstone)
	case strings.HasPrefix(r.Key, keyRefusal):
		return l.applyRefusal(r.Key[len(keyRefusal):], r.Value)
	case strings.HasPrefix(r.Key, keyHost):
		var e HostEntry
		if tombstone {
			delete(l.hosts, r.Key[len(keyHost):])
			return nil
		}
		if err := cbor.Unmarshal(r.Value, &e); err != nil {
			return err
		}
		l.hosts[r.Key[len(keyHost):]] = e
	case strings.HasPrefix(r.Key, keyWave):
		l.stateRecords++
		number := r.Key[len(keyWave):]
		if tombstone {
			delete(l.waves, number)
			return nil
		}
		var w Wave
		if err := cbor.Unmarshal(r.Value, &w); err != nil {
			return err
		}
		l.waves[number] = w
	case strings.HasPrefix(r.Key, keyTask):
		l.stateRecords++
		return l.applyTask(r.Key[len(keyTask):], r.Value, tombstone)
	case strings.HasPrefix(r.Key, keyEnd):
		l.stateRecords++
		id := r.Key[len(keyEnd):]
		if tombstone {
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

func (l *Ledger) applyJob(id string, value []byte, tombstone bool) error {
	if tombstone {
		if e := l.entries[id]; e != nil && e.Ended == nil {
			delete(l.entries, id)
		}
		return nil
	}
	if e := l.entries[id]; e != nil && e.Job != nil {
		return nil // a repeated submission is ignored
	}
	var j job.Job
	if err := cbor.Unmarshal(value, &j); err != nil {
		return err
	}
	if j.ID != id {
		return trace.BadParameter("the record's key does not name its job")
	}
	if err := j.Validate(); err != nil {
		return trace.Wrap(err)
	}
	e := l.entry(id)
	e.Job = &j
	e.applyEarlyCancels()
	l.recordUpdate(id)
	return nil
}

func (l *Ledger) applyTask(name string, value []byte, tombstone bool) error {
	id, err := job.ParseTaskID(name)
	if err != nil {
		return err
	}
	if tombstone {
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
	e.started = e.started || r.Started || r.Done
	return nil
}

// Role returns the record of the leader role with the highest epoch.
func (l *Ledger) Role() Role {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.role
}

// Wave returns the record of a wave in progress; it is empty if there is none.
func (l *Ledger) Wave(number int64) Wave {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.waves[strconv.FormatInt(number, 10)]
}

// Hosts returns the entries of all hosts, by the hosts' names.
func (l *Ledger) Hosts() map[string]HostEntry {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return maps.Clone(l.hosts)
}

// MostCores returns the number of processor cores of the largest host.
func (l *Ledger) MostCores() float64 {
	l.mu.RLock()
	defer l.mu.RUnlock()
	most := 0.0
	for _, e := range l.hosts {
		most = max(most, e.Cores)
	}
	return most
}

// StateRecords returns the number of leader records that were applied.
func (l *Ledger) StateRecords() uint64 {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.stateRecords
}

// TrackUpdates turns the list of TakeUpdated, which only a leader takes, on or off. Turning it on
// again empties it.
func (l *Ledger) TrackUpdates(on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tracking, l.updated = on, nil
}

func (l *Ledger) recordUpdate(id string) {
	if l.tracking {
		l.updated = append(l.updated, id)
	}
}

// TakeUpdated returns the IDs of the jobs that were submitted or cancelled since the last call, or
// since TrackUpdates turned the list on.
func (l *Ledger) TakeUpdated() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	updated := l.updated
	l.updated = nil
	return updated
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

// HasJobsOfAllTasks reports whether the submission of every job with tasks has been read.
// Submissions come from other topics than tasks, and these may be unavailable on their own;
// without the submissions, the resources that the tasks use are unknown.
func (l *Ledger) HasJobsOfAllTasks() bool {
	l.mu.RLock()
	defer l.mu.RUnlock()
	for _, e := range l.entries {
		if e.Job == nil && len(e.Tasks) > 0 {
			return false
		}
	}
	return true
}

// StateOf returns the state of a job as callers see it, and the job's queue. ok is false if the
// job's submission has not been read.
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
	case e.started:
		return job.Running
	}
	return job.Pending
}

// Waiting returns the number of a queue's accepted jobs that are pending: no task has started, and
// the job has neither been cancelled nor ended.
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

// Each calls f with every entry while it holds the ledger's read lock; f must not retain the
// entries or their maps.
func (l *Ledger) Each(f func(id string, e *Entry)) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	for id, e := range l.entries {
		f(id, e)
	}
}

// EachByArrival calls f with every entry, in the order in which the jobs were accepted, while it
// holds the ledger's read lock.
func (l *Ledger) EachByArrival(f func(id string, e *Entry)) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	ids := slices.SortedFunc(maps.Keys(l.entries), func(a, b string) int {
		return cmp.Or(cmp.Compare(l.entries[a].acceptedMs(), l.entries[b].acceptedMs()), cmp.Compare(a, b))
	})
	for _, id := range ids {
		f(id, l.entries[id])
	}
}

func (e *Entry) acceptedMs() int64 {
	if e.Job == nil {
		return 0
	}
	return e.Job.AcceptedMs
}
