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
	// Writer is unique for each process; it names the process in its records.
	Writer string
	Zone   core.ZoneID
	// Linger is how long an append waits for further records.
	Linger time.Duration
	// BatchRecords bounds the records of one append.
	BatchRecords int
	// SnapshotInterval is the longest time between snapshots; it has to be well below
	// the log's retention.
	SnapshotInterval time.Duration
	// EndedKept is how long an outcome stays known after it was recorded.
	EndedKept time.Duration
}

// Defaults of the options.
const (
	DefaultLinger           = 2 * time.Millisecond
	DefaultBatchRecords     = 256
	DefaultSnapshotInterval = 10 * time.Minute
	DefaultEndedKept        = 10 * time.Minute
)

// Change tells what one record, or a restart from a snapshot, changed.
type Change struct {
	// Record is the applied record; nil after a restart.
	Record *Record
	// Counts is true when the record took effect.
	Counts bool
}

// Verdict is the fate of a written record once the stream has shown it.
type Verdict struct {
	// Counts is true when the record took effect as written.
	Counts bool
	// Entry is what the log says of the record's job.
	Entry Entry
	// Holder holds the zone's highest term.
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
	// after each restart. It has to be set before Run and may block.
	OnChange func(Change)

	mu       sync.Mutex
	state    *State
	ready    bool
	lastRead time.Time
	end      platform.Offset
	oldest   platform.Offset
	pending  map[string]*pending
	open     *collector
	covers   platform.Offset
	snapped  time.Time
	endedLog []endedMark
}

// New returns a journal that does not run yet.
func New(opts Options, logger logr.Logger, log platform.Log) *Journal {
	if opts.BatchRecords < 1 {
		opts.BatchRecords = DefaultBatchRecords
	}
	return &Journal{
		opts: opts, log: log, logger: logger, queue: make(chan *pending, queueSize),
		state: NewState(), pending: map[string]*pending{}, open: newCollector(), snapped: time.Now(),
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

// Ready reports whether the stream was read to its end once.
func (j *Journal) Ready() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.ready
}

// Lag returns the number of records not yet read, as of the last read, and the time
// since that read.
func (j *Journal) Lag() (records int, age time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.end > j.state.next {
		records = int(j.end - j.state.next)
	}
	return records, time.Since(j.lastRead)
}

// Lookup returns what the log says of a job.
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

// Len returns the number of live jobs and of ended ones still held, of all zones.
func (j *Journal) Len() (live, ended int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.state.Len()
}

// Holder returns the holder of a zone's highest term, as the stream shows it.
func (j *Journal) Holder(zone core.ZoneID) ZoneHolder {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.state.Holder(zone)
}

func (j *Journal) nextID() string {
	return fmt.Sprintf("%s.%d", j.opts.Writer, j.seq.Add(1))
}
