// Package scheduler runs the scheduling core of an availability zone. The active scheduler, which
// holds the zone's leader role, passes events from gates, workers and the log to the core, and
// executes the actions that the core returns.
package scheduler

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"

	"agatewinch/internal/config"
	"agatewinch/internal/core"
	"agatewinch/internal/election"
	"agatewinch/internal/event"
	"agatewinch/internal/journal"
	"agatewinch/internal/platform"
	"agatewinch/internal/wire"
)

const (
	tickInterval  = 250 * time.Millisecond
	hostsInterval = time.Second
	inboxSize     = 4096
)

// Options configures a scheduler.
type Options struct {
	Host string
	Zone core.ZoneID
	// Addr is the address on which this process serves its peers.
	Addr     string
	Core     core.Options
	Journal  journal.Options
	Election election.Options
}

// DefaultOptions returns options with the default settings of journal and election, and a
// process ID that is unique to this process.
func DefaultOptions(host string, zone core.ZoneID, opts core.Options) Options {
	processID := host + "." + strconv.FormatUint(rand.Uint64(), 36)
	return Options{
		Host: host, Zone: zone, Core: opts,
		Journal: journal.Options{
			Writer: processID, Zone: zone, Linger: journal.DefaultLinger, BatchRecords: journal.DefaultBatchRecords,
			SnapshotInterval: journal.DefaultSnapshotInterval, EndedKept: journal.DefaultEndedKept,
		},
		Election: election.DefaultOptions(zone, host, processID),
	}
}

// Peers is the part of the membership that a scheduler uses.
type Peers interface {
	// LivePeers returns the last heartbeats of the zone's other processes that were heard
	// within the heartbeat timeout.
	LivePeers(zone core.ZoneID) []wire.Heartbeat
	// HandleHeartbeat records a peer's heartbeat and returns this process's own.
	HandleHeartbeat(hb wire.Heartbeat) wire.Heartbeat
}

// Scheduler runs one zone's core while it is the leader, and follows the log as a warm
// standby otherwise.
type Scheduler struct {
	opts      Options
	logger    logr.Logger
	hosts     platform.HostList
	backend   platform.Backend
	config    *config.Follower
	journal   *journal.Journal
	election  *election.Election
	peers     Peers
	startedAt time.Time
	inbox     chan func()
	outcomes  chan pendingOutcome
	metrics   *counters
	stats     atomic.Pointer[core.Stats]
	// loopDone is closed when the event loop has ended.
	loopDone chan struct{}
	// stopping is closed when a graceful shutdown begins.
	stopping        chan struct{}
	stopOnce        sync.Once
	callsInProgress atomic.Int64
	// serving is true while there is an activation, whose core admits jobs.
	serving atomic.Bool
	// outcomesInFlight counts the outcomes that are queued for the log or being written.
	outcomesInFlight atomic.Int64

	// The fields below are accessed only by the event loop.
	act  *activation
	jobs map[core.JobID]*trackedJob
	// endedJobs lists the ended jobs until dropEnded removes them from jobs.
	endedJobs endedQueue
	// pendingAdmissions counts the admissions that this process is writing, by job.
	pendingAdmissions map[core.JobID]int
	lastHosts         []platform.Host
	drainRequested    map[core.WorkerID]bool
}

// activation is one period during which this process is the leader. Its work ends with its
// context, and events for an activation that has ended are dropped.
type activation struct {
	ctx       context.Context
	cancel    context.CancelFunc
	startedAt time.Time
	// holder identifies this process to workers as the holder of their leases.
	holder   platform.Holder
	core     *core.Core
	sessions map[core.WorkerID]*session
}

// New returns a scheduler that is not running yet. It has no peers unless SetPeers sets them
// before Run.
func New(opts Options, logger logr.Logger, log platform.Log, hosts platform.HostList, backend platform.Backend) *Scheduler {
	s := &Scheduler{
		opts: opts, logger: logger, hosts: hosts, backend: backend,
		config: config.NewFollower(log), journal: journal.New(opts.Journal, logger, log), peers: noPeers{},
		startedAt: time.Now(), inbox: make(chan func(), inboxSize), outcomes: make(chan pendingOutcome, outcomeQueueSize),
		metrics: newCounters(), loopDone: make(chan struct{}), stopping: make(chan struct{}),
		jobs: map[core.JobID]*trackedJob{}, pendingAdmissions: map[core.JobID]int{}, drainRequested: map[core.WorkerID]bool{},
	}
	s.stats.Store(&core.Stats{})
	s.journal.OnChange = s.journalChanged
	s.election = election.New(opts.Election, logger, log, lazyPeers{s}, s)
	return s
}

// noPeers is the membership of a process without peers.
type noPeers struct{}

func (noPeers) LivePeers(core.ZoneID) []wire.Heartbeat               { return nil }
func (noPeers) HandleHeartbeat(wire.Heartbeat) (none wire.Heartbeat) { return none }

// lazyPeers looks up the scheduler's peers on each call, because SetPeers sets them after New.
type lazyPeers struct{ s *Scheduler }

func (p lazyPeers) LivePeers(zone core.ZoneID) []wire.Heartbeat { return p.s.peers.LivePeers(zone) }

// SetPeers sets the membership. It must be called before Run.
func (s *Scheduler) SetPeers(peers Peers) { s.peers = peers }

// Config returns the follower of the configuration, for configurations offered by peers.
func (s *Scheduler) Config() *config.Follower { return s.config }

// Run runs the scheduler until ctx ends.
func (s *Scheduler) Run(ctx context.Context) error {
	// The loop ends after the other goroutines, because they use it to give up the leader
	// role.
	loopCtx, stopLoop := context.WithCancel(context.WithoutCancel(ctx))
	go s.loop(loopCtx)
	defer func() {
		stopLoop()
		<-s.loopDone
	}()
	group, ctx := errgroup.WithContext(ctx)
	for _, run := range []func(context.Context) error{
		s.config.Run, s.journal.Run, s.election.Run, s.watchConfig, s.watchHosts, s.writeOutcomes, s.maintainJournal,
	} {
		group.Go(func() error { return run(ctx) })
	}
	if err := group.Wait(); err != nil && ctx.Err() == nil {
		return trace.Wrap(err)
	}
	return nil
}

// loop owns the core: all access to it runs here, sequentially. Code on the loop must not block
// on the inbox, which only the loop empties, or on a remote call.
func (s *Scheduler) loop(ctx context.Context) {
	defer close(s.loopDone)
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		select {
		case f := <-s.inbox:
			f()
		case <-tick.C:
			s.tick()
		case <-ctx.Done():
			return
		}
	}
}

func (s *Scheduler) tick() {
	s.dropEnded()
	if s.act == nil {
		s.stats.Store(&core.Stats{})
		return
	}
	s.applyEvent(s.act, core.Tick{})
	stats := s.act.core.Stats()
	s.stats.Store(&stats)
}

// post queues f to run on the loop. It drops f when ctx or the loop ends first, and must not
// be called from the loop.
func (s *Scheduler) post(ctx context.Context, f func()) {
	select {
	case s.inbox <- f:
	case <-ctx.Done():
	case <-s.loopDone:
	}
}

// callOnLoop runs f on the loop and returns its result. It must not be called from the loop.
func callOnLoop[T any](ctx context.Context, s *Scheduler, f func() (T, error)) (T, error) {
	type result struct {
		value T
		err   error
	}
	ch := make(chan result, 1)
	s.post(ctx, func() {
		v, err := f()
		ch <- result{v, err}
	})
	var zero T
	select {
	case r := <-ch:
		return r.value, r.err
	case <-ctx.Done():
		return zero, trace.Wrap(ctx.Err())
	case <-s.loopDone:
		return zero, trace.Wrap(context.Canceled)
	}
}

// postEvent queues an event for the core of an activation.
func (s *Scheduler) postEvent(act *activation, ev core.Event) {
	s.post(act.ctx, func() { s.applyEvent(act, ev) })
}

// now returns the time since the scheduler was created, which the core uses as its clock.
func (s *Scheduler) now() core.Instant { return core.Instant(time.Since(s.startedAt)) }

// applyEvent applies an event to the core and executes the resulting actions, unless the
// activation has ended. It runs on the loop.
func (s *Scheduler) applyEvent(act *activation, ev core.Event) {
	if s.act != act || act == nil {
		return
	}
	for _, a := range act.core.Step(s.now(), ev) {
		s.execute(act, a)
	}
}

// execute performs one action of the core.
func (s *Scheduler) execute(act *activation, action core.Action) {
	switch a := action.(type) {
	case core.RecordPlacement:
		go s.recordPlacement(act, a)
	case core.Reserve:
		job := a.Job
		s.send(act, a.Placement.Worker, platform.Op{
			Kind: platform.OpReserve, Task: a.Placement.Task, Cell: a.Placement.Cell, Job: &job, TTL: s.opts.Core.ReserveTTL,
		})
	case core.Start:
		s.onJobStarting(a.Task.Job)
		s.send(act, a.Worker, platform.Op{Kind: platform.OpStart, Task: a.Task, Resume: a.Resume, Members: a.Members})
	case core.Release:
		s.send(act, a.Worker, platform.Op{Kind: platform.OpRelease, Task: a.Task})
	case core.Stop:
		s.send(act, a.Worker, platform.Op{Kind: platform.OpStop, Task: a.Task})
	case core.Preempt:
		s.send(act, a.Worker, platform.Op{Kind: platform.OpPreempt, Task: a.Task})
	case core.JobRefused:
		s.onJobRefused(act, a)
	case core.JobStarted:
		s.onJobStarted(a)
	case core.JobEnded:
		s.onJobEnded(act, a.Job, a.Outcome)
	case core.Note:
		event.Info(s.logger, event.CoreDecision, "code", a.Code, "job", a.Job, "worker", a.Worker)
	}
}

// watchConfig passes each new configuration to the core and logs configurations that cannot
// be read.
func (s *Scheduler) watchConfig(ctx context.Context) error {
	var current, unreadable core.Generation
	for {
		changed := s.config.Changed()
		if cur := s.config.Current(); cur.Generation > current {
			current = cur.Generation
			event.Info(s.logger, event.ConfigInForce, "generation", cur.Generation)
			cfg := cur.Set.Core(cur.Generation)
			s.post(ctx, func() {
				s.applyEvent(s.act, core.ConfigChanged{Config: cfg})
				s.updateSessions()
			})
		}
		if gen, err := s.config.Unreadable(); gen > unreadable {
			unreadable = gen
			event.Error(s.logger, err, event.ConfigUnreadable, "generation", gen)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return trace.Wrap(ctx.Err())
		}
	}
}

// watchHosts polls the host list and keeps the last one that could be read. Standbys do so
// too, so that a new leader knows the workers' addresses when the platform is unavailable.
func (s *Scheduler) watchHosts(ctx context.Context) error {
	tick := time.NewTicker(hostsInterval)
	defer tick.Stop()
	for {
		hosts, err := s.hosts.Hosts(ctx)
		if err == nil {
			s.post(ctx, func() {
				s.lastHosts = hosts
				s.updateSessions()
			})
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return trace.Wrap(ctx.Err())
		}
	}
}
