// Package scheduler is the process round the deciding core: it feeds the core events
// from gates, workers and the log, and carries out its actions.
package scheduler

import (
	"context"
	"time"

	"github.com/go-logr/logr"
	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"

	"agatewinch/internal/config"
	"agatewinch/internal/core"
	"agatewinch/internal/event"
	"agatewinch/internal/platform"
)

const (
	tickInterval  = 250 * time.Millisecond
	hostsInterval = time.Second
	inboxSize     = 4096
	endedKept     = 10 * time.Minute
)

// Options are a scheduler's fixed parameters.
type Options struct {
	Host string
	Zone core.ZoneID
	Core core.Options
}

// Scheduler runs one zone's core while it holds the active role.
type Scheduler struct {
	opts    Options
	logger  logr.Logger
	log     platform.Log
	hosts   platform.HostList
	backend platform.Backend
	follow  *config.Follower
	began   time.Time
	inbox   chan func()

	// The fields below belong to the loop.
	core     *core.Core
	jobs     map[core.JobID]*record
	sessions map[core.WorkerID]*session
	holder   platform.Holder
	active   bool
}

// New returns a scheduler that does not run yet.
func New(opts Options, logger logr.Logger, log platform.Log, hosts platform.HostList, backend platform.Backend) *Scheduler {
	return &Scheduler{
		opts: opts, logger: logger, log: log, hosts: hosts, backend: backend,
		follow: config.NewFollower(log), began: time.Now(), inbox: make(chan func(), inboxSize),
		core: core.New(opts.Core), jobs: map[core.JobID]*record{}, sessions: map[core.WorkerID]*session{},
		holder: platform.Holder{ID: opts.Host},
	}
}

// Run serves until ctx ends.
func (s *Scheduler) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return s.follow.Run(ctx) })
	group.Go(func() error { return s.loop(ctx) })
	group.Go(func() error { return s.watchConfig(ctx) })
	group.Go(func() error { return s.watchHosts(ctx) })
	group.Go(func() error { return s.claim(ctx) })
	if err := group.Wait(); err != nil && ctx.Err() == nil {
		return trace.Wrap(err)
	}
	return nil
}

// loop owns the core: everything that touches it runs here, one after the other.
func (s *Scheduler) loop(ctx context.Context) error {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		select {
		case f := <-s.inbox:
			f()
		case <-tick.C:
			s.step(ctx, core.Tick{})
			s.forgetEnded()
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// post hands f to the loop.
func (s *Scheduler) post(ctx context.Context, f func()) {
	select {
	case s.inbox <- f:
	case <-ctx.Done():
	}
}

// feed hands an event to the core.
func (s *Scheduler) feed(ctx context.Context, ev core.Event) {
	s.post(ctx, func() { s.step(ctx, ev) })
}

func (s *Scheduler) now() core.Instant { return core.Instant(time.Since(s.began)) }

func (s *Scheduler) step(ctx context.Context, ev core.Event) {
	for _, a := range s.core.Step(s.now(), ev) {
		s.carryOut(ctx, a)
	}
}

func (s *Scheduler) carryOut(ctx context.Context, action core.Action) {
	switch a := action.(type) {
	case core.RecordPlacement:
		go s.recordPlacement(ctx, a)
	case core.Reserve:
		job := a.Job
		s.send(ctx, a.Placement.Worker, platform.Op{
			Kind: platform.OpReserve, Task: a.Placement.Task, Cell: a.Placement.Cell, Job: &job, TTL: s.opts.Core.ReserveTTL,
		})
	case core.Start:
		s.send(ctx, a.Worker, platform.Op{Kind: platform.OpStart, Task: a.Task, Resume: a.Resume})
	case core.Release:
		s.send(ctx, a.Worker, platform.Op{Kind: platform.OpRelease, Task: a.Task})
	case core.Stop:
		s.send(ctx, a.Worker, platform.Op{Kind: platform.OpStop, Task: a.Task})
	case core.Preempt:
		s.send(ctx, a.Worker, platform.Op{Kind: platform.OpPreempt, Task: a.Task})
	case core.JobRefused:
		s.refuse(a)
	case core.JobStarted:
		s.started(a)
	case core.JobEnded:
		s.ended(ctx, a)
	case core.Note:
		event.Info(s.logger, event.CoreNote, "code", a.Code, "job", a.Job, "worker", a.Worker)
	}
}

func (s *Scheduler) watchConfig(ctx context.Context) error {
	for {
		changed := s.follow.Changed()
		if cur := s.follow.Current(); cur.Set != nil {
			cfg := cur.Set.Core(cur.Generation)
			event.Info(s.logger, event.ConfigInForce, "generation", cur.Generation)
			s.feed(ctx, core.ConfigChanged{Config: cfg})
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// watchHosts keeps one session with each listed worker of the zone.
func (s *Scheduler) watchHosts(ctx context.Context) error {
	tick := time.NewTicker(hostsInterval)
	defer tick.Stop()
	for {
		hosts, err := s.hosts.Hosts(ctx)
		if err == nil {
			s.post(ctx, func() { s.updateSessions(ctx, hosts) })
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
