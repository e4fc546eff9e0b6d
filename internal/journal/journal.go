package journal

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"

	"agatewinch/internal/core"
	"agatewinch/internal/platform"
)

// Options are a journal's fixed parameters.
type Options struct {
	// Writer identifies this process in its records and is unique to it.
	Writer string
	Zone   core.ZoneID
	// Linger is how long a batch waits for further records before it is appended.
	Linger time.Duration
	// BatchRecords limits the number of records in one append.
	BatchRecords int
	// SnapshotInterval is the maximum time between snapshots; it has to be well below the
	// log's retention time.
	SnapshotInterval time.Duration
	// EndedKept is how long an outcome is kept after it was recorded.
	EndedKept time.Duration
}

// Defaults of the options.
const (
	DefaultLinger           = 2 * time.Millisecond
	DefaultBatchRecords     = 256
	DefaultSnapshotInterval = 10 * time.Minute
	DefaultEndedKept        = 10 * time.Minute
)

// Change describes an applied record or a reload of the state by Bootstrap.
type Change struct {
	// Record is the applied record; nil after a reload.
	Record *Record
	// Effective is true when the record took effect.
	Effective bool
}

// WriteResult is the effect of a written record, known once it has been read back.
type WriteResult struct {
	// Effective is true when the record took effect as written.
	Effective bool
	// Entry is the state of the record's job.
	Entry Entry
	// Holder is the leader of the zone's highest term.
	Holder ZoneHolder
}

// Journal reads and writes the jobs stream.
type Journal struct {
	opts   Options
	log    platform.Log
	logger logr.Logger
	seq    atomic.Uint64
	queue  chan *pending
	// OnChange is called by the reading goroutine for each applied record, in order, and
	// after each reload. It has to be set before Run and may block.
	OnChange func(Change)

	mu    sync.Mutex
	state *State
	ready bool
	// lastRead is the time of the last successful read; end and oldest are the last bounds of
	// the stream that reads returned.
	lastRead time.Time
	end      platform.Offset
	oldest   platform.Offset
	// pending holds the records that wait for their result, by record ID.
	pending   map[string]*pending
	collector *collector
	// snapshotCovers is the offset before which the newest snapshot covers all records.
	// snapshotAt is when readOnce last read a newest snapshot completely; before the first one
	// it is the time of New.
	snapshotCovers platform.Offset
	snapshotAt     time.Time
	endedMarks     []endedMark
}

// New returns a journal that is not running yet.
func New(opts Options, logger logr.Logger, log platform.Log) *Journal {
	if opts.BatchRecords < 1 {
		opts.BatchRecords = DefaultBatchRecords
	}
	return &Journal{
		opts: opts, log: log, logger: logger, queue: make(chan *pending, queueSize),
		state: NewState(), pending: map[string]*pending{}, collector: newCollector(), snapshotAt: time.Now(),
		OnChange: func(Change) {},
	}
}

// Run reads and writes until ctx ends.
func (j *Journal) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return j.readLoop(ctx) })
	group.Go(func() error { return j.writeLoop(ctx) })
	return trace.Wrap(group.Wait())
}

// Ready reports whether the stream has been read to its end once.
func (j *Journal) Ready() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.ready
}

// Lag returns the number of unread records as of the last read, and the time since that
// read.
func (j *Journal) Lag() (records int, age time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.end > j.state.next {
		records = int(j.end - j.state.next)
	}
	return records, time.Since(j.lastRead)
}

// Lookup returns a job's entry and whether there is one.
func (j *Journal) Lookup(id core.JobID) (Entry, bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.state.Entry(id)
}

// LiveJobs returns the live entries of a zone.
func (j *Journal) LiveJobs(zone core.ZoneID) []Entry {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.state.LiveJobs(zone)
}

// Len returns the numbers of live jobs and of ended jobs still kept, of all zones.
func (j *Journal) Len() (live, ended int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.state.Len()
}

// Holder returns the leader of a zone's highest term in the records read so far.
func (j *Journal) Holder(zone core.ZoneID) ZoneHolder {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.state.Holder(zone)
}

// nextID returns a new record or snapshot ID.
func (j *Journal) nextID() string {
	return fmt.Sprintf("%s.%d", j.opts.Writer, j.seq.Add(1))
}
