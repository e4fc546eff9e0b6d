// Package scheduler is the process round the deciding core: it feeds the core events
// from gates, workers and the log, and carries out its actions while it holds the active
// role of its availability zone.
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

// Options are a scheduler's fixed parameters.
type Options struct {
	Host string
	Zone core.ZoneID
	// Addr is where this process serves its peers.
	Addr     string
	Core     core.Options
	Journal  journal.Options
	Election election.Options
}

// DefaultOptions returns options with the default times of journal and election.
func DefaultOptions(host string, zone core.ZoneID, opts core.Options) Options {
	holder := host + "." + strconv.FormatUint(rand.Uint64(), 36)
	return Options{
		Host: host, Zone: zone, Core: opts,
		Journal: journal.Options{
			Writer: holder, Zone: zone, Linger: journal.DefaultLinger, BatchRecords: journal.DefaultBatchRecords,
			SnapshotInterval: journal.DefaultSnapshotInterval, EndedKept: journal.DefaultEndedKept,
		},
		Election: election.DefaultOptions(zone, host, holder),
	}
}

// Peers is what a scheduler needs of the membership.
type Peers interface {
	// LivePeers returns the zone's other processes heard within the heartbeat timeout.
	LivePeers(zone core.ZoneID) []wire.Heartbeat
	// HandleHeartbeat takes a peer's heartbeat and returns this process's own.
	HandleHeartbeat(hb wire.Heartbeat) wire.Heartbeat
}

// Scheduler runs one zone's core while it holds the active role, and follows the log as
// a warm standby otherwise.
type Scheduler struct {
	opts     Options
	logger   logr.Logger
	hosts    platform.HostList
	backend  platform.Backend
	follow   *config.Follower
	journal  *journal.Journal
	election *election.Election
	peers    Peers
	began    time.Time
	inbox    chan func()
	outcomes chan settled
	metrics  *counters
	stats    atomic.Pointer[core.Stats]
	// loopDone is closed when the loop has ended.
	loopDone chan struct{}
	// stopping is closed when a planned stop begins.
	stopping chan struct{}
	stopOnce sync.Once
	inCalls  atomic.Int64
	// serving is true while an activation's core takes jobs.
	serving atomic.Bool
	// unwritten counts the outcomes on their way into the log.
	unwritten atomic.Int64

	// The fields below belong to the loop.
	act  *activation
	jobs map[core.JobID]*record
	// endedJobs are the jobs of that map that have ended.
	endedJobs endedQueue
	// expected counts the admissions that this process is writing, by job.
	expected map[core.JobID]int
	listed   []platform.Host
	drained  map[core.WorkerID]bool
}

// activation is one time of holding the role. Its work ends with its context; events for
// an earlier one are dropped.
type activation struct {
	ctx      context.Context
	cancel   context.CancelFunc
	began    time.Time
	holder   platform.Holder
	core     *core.Core
	sessions map[core.WorkerID]*session
}

// New returns a scheduler that does not run yet. peers may be set by Join before Run.
func New(opts Options, logger logr.Logger, log platform.Log, hosts platform.HostList, backend platform.Backend) *Scheduler {
	s := &Scheduler{
		opts: opts, logger: logger, hosts: hosts, backend: backend,
		follow: config.NewFollower(log), journal: journal.New(opts.Journal, logger, log), peers: alone{},
		began: time.Now(), inbox: make(chan func(), inboxSize), outcomes: make(chan settled, outcomesQueued),
		metrics: newCounters(), loopDone: make(chan struct{}), stopping: make(chan struct{}),
		jobs: map[core.JobID]*record{}, expected: map[core.JobID]int{}, drained: map[core.WorkerID]bool{},
	}
	s.stats.Store(&core.Stats{})
	s.journal.OnChange = s.journalChanged
	s.election = election.New(opts.Election, logger, log, peersOf{s}, s)
	return s
}

// alone is the membership of a process without peers.
type alone struct{}

func (alone) LivePeers(core.ZoneID) []wire.Heartbeat               { return nil }
func (alone) HandleHeartbeat(wire.Heartbeat) (none wire.Heartbeat) { return none }

// peersOf reads the scheduler's peers when they are needed, since they are set late.
type peersOf struct{ s *Scheduler }

func (p peersOf) LivePeers(zone core.ZoneID) []wire.Heartbeat { return p.s.peers.LivePeers(zone) }

// Join sets the membership; it is called before Run.
func (s *Scheduler) Join(peers Peers) { s.peers = peers }

// Config returns the follower of the configuration, for peers that offer theirs.
func (s *Scheduler) Config() *config.Follower { return s.follow }

// Run serves until ctx ends.
func (s *Scheduler) Run(ctx context.Context) error {
	// The loop outlives the rest, which gives the role up through it.
	loopCtx, stopLoop := context.WithCancel(context.WithoutCancel(ctx))
	go s.loop(loopCtx)
	defer func() {
		stopLoop()
		<-s.loopDone
	}()
	group, ctx := errgroup.WithContext(ctx)
	for _, part := range []func(context.Context) error{
		s.follow.Run, s.journal.Run, s.election.Run, s.watchConfig, s.watchHosts, s.writeOutcomes, s.keepJournal,
	} {
		group.Go(func() error { return part(ctx) })
	}
	if err := group.Wait(); err != nil && ctx.Err() == nil {
		return trace.Wrap(err)
	}
	return nil
}

// loop owns the core: everything that touches it runs here, one after the other. Nothing
// that runs here may wait for the loop or for a call.
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
	s.forgetEnded()
	if s.act == nil {
		s.stats.Store(&core.Stats{})
		return
	}
	s.step(s.act, core.Tick{})
	stats := s.act.core.Stats()
	s.stats.Store(&stats)
}

// post hands f to the loop; it gives up when ctx or the loop ends. It must not be called
// from the loop.
func (s *Scheduler) post(ctx context.Context, f func()) {
	select {
	case s.inbox <- f:
	case <-ctx.Done():
	case <-s.loopDone:
	}
}

// ask runs f on the loop and waits for its result.
func ask[T any](ctx context.Context, s *Scheduler, f func() (T, error)) (T, error) {
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

// feed hands an event to the core of an activation.
func (s *Scheduler) feed(act *activation, ev core.Event) {
	s.post(act.ctx, func() { s.step(act, ev) })
}

func (s *Scheduler) now() core.Instant { return core.Instant(time.Since(s.began)) }

// step applies an event, unless the activation has ended.
func (s *Scheduler) step(act *activation, ev core.Event) {
	if s.act != act || act == nil {
		return
	}
	for _, a := range act.core.Step(s.now(), ev) {
		s.carryOut(act, a)
	}
}

func (s *Scheduler) carryOut(act *activation, action core.Action) {
	switch a := action.(type) {
	case core.RecordPlacement:
		go s.recordPlacement(act, a)
	case core.Reserve:
		job := a.Job
		s.send(act, a.Placement.Worker, platform.Op{
			Kind: platform.OpReserve, Task: a.Placement.Task, Cell: a.Placement.Cell, Job: &job, TTL: s.opts.Core.ReserveTTL,
		})
	case core.Start:
		s.starting(a.Task.Job)
		s.send(act, a.Worker, platform.Op{Kind: platform.OpStart, Task: a.Task, Resume: a.Resume})
	case core.Release:
		s.send(act, a.Worker, platform.Op{Kind: platform.OpRelease, Task: a.Task})
	case core.Stop:
		s.send(act, a.Worker, platform.Op{Kind: platform.OpStop, Task: a.Task})
	case core.Preempt:
		s.send(act, a.Worker, platform.Op{Kind: platform.OpPreempt, Task: a.Task})
	case core.JobRefused:
		s.refused(act, a)
	case core.JobStarted:
		s.started(a)
	case core.JobEnded:
		s.ended(act, a.Job, a.Outcome)
	case core.Note:
		event.Info(s.logger, event.CoreNote, "code", a.Code, "job", a.Job, "worker", a.Worker)
	}
}

func (s *Scheduler) watchConfig(ctx context.Context) error {
	var told, unreadable core.Generation
	for {
		changed := s.follow.Changed()
		if cur := s.follow.Current(); cur.Generation > told {
			told = cur.Generation
			event.Info(s.logger, event.ConfigInForce, "generation", cur.Generation)
			cfg := cur.Set.Core(cur.Generation)
			s.post(ctx, func() {
				s.step(s.act, core.ConfigChanged{Config: cfg})
				s.updateSessions()
			})
		}
		if gen, err := s.follow.Unreadable(); gen > unreadable {
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

// watchHosts keeps the last host list, also on a standby, so that a new holder knows the
// workers' addresses when the platform is away.
func (s *Scheduler) watchHosts(ctx context.Context) error {
	tick := time.NewTicker(hostsInterval)
	defer tick.Stop()
	for {
		hosts, err := s.hosts.Hosts(ctx)
		if err == nil {
			s.post(ctx, func() {
				s.listed = hosts
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
