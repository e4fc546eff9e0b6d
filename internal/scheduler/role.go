package scheduler

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/gravitational/trace"

	"agatewinch/internal/core"
	"agatewinch/internal/errkind"
	"agatewinch/internal/event"
	"agatewinch/internal/platform"
	"agatewinch/internal/wire"
)

const (
	fenceTimeout = 2 * time.Second
	// maintenanceInterval is the mean interval of the journal's maintenance, which expires
	// outcomes and writes snapshots.
	maintenanceInterval = 2 * time.Second
	maintenanceTimeout  = 30 * time.Second
	// handoverTimeout limits the wait for a standby to take over in a graceful shutdown. The
	// standby claims the leader role as soon as a heartbeat shows that the leader is stopping.
	handoverTimeout = 3 * time.Second
	// flushTimeout limits the wait for outcomes that are not in the log yet.
	flushTimeout     = 3 * time.Second
	stopPollInterval = 20 * time.Millisecond
)

// Ready reports whether this process could take the leader role: it has read the
// configuration, and the journal too unless the log is unavailable.
func (s *Scheduler) Ready() bool {
	return s.config.Ready() && (s.journal.Ready() || !s.election.LogUp())
}

// Activate starts work as the zone's leader: it fences former leaders in the log, if the log is
// available, and then starts a new core with the zone's live jobs. It fails with
// errkind.Conflict if the log already has a higher term or another leader of this one.
func (s *Scheduler) Activate(ctx context.Context, term core.Term) error {
	if s.election.LogUp() {
		fenceCtx, cancel := context.WithTimeout(ctx, fenceTimeout)
		defer cancel()
		v, err := s.journal.Fence(fenceCtx, term)
		if err == nil && !v.Effective {
			s.election.Observe(v.Holder.Term, true)
			return errkind.New(errkind.Conflict, "cannot take the leader role: the log already has term %d of process %s", v.Holder.Term, v.Holder.Holder)
		}
		// A failed fence is not fatal: placements may turn out void later, and a job that
		// needs the log cannot be placed at all until the log accepts its placement.
	}
	_, err := callOnLoop(ctx, s, func() (struct{}, error) {
		s.startActivation(term)
		return struct{}{}, nil
	})
	return trace.Wrap(err)
}

// Deactivate ends all work as the leader and redirects waiting callers.
func (s *Scheduler) Deactivate(ctx context.Context) {
	_, _ = callOnLoop(ctx, s, func() (struct{}, error) {
		s.endActivation()
		return struct{}{}, nil
	})
}

// startActivation starts a core and the workers' sessions under a new term. It runs on the
// loop.
func (s *Scheduler) startActivation(term core.Term) {
	s.endActivation()
	ctx, cancel := context.WithCancel(context.Background())
	act := &activation{
		ctx: ctx, cancel: cancel, startedAt: time.Now(), core: core.New(s.opts.Core), sessions: map[core.WorkerID]*session{},
		holder: platform.Holder{ID: s.opts.Journal.Writer, Term: term},
	}
	s.act = act
	s.serving.Store(true)
	if cur := s.config.Current(); cur.Set != nil {
		s.applyEvent(act, core.ConfigChanged{Config: cur.Set.Core(cur.Generation)})
	}
	restored := s.restoreLiveJobs()
	// Logged before any worker can see the term, so that the logs of two schedulers show
	// whether both were leader at the same time.
	event.Info(s.logger, event.SchedulerActive, "term", term, "restored", restored)
	s.updateSessions()
}

// endActivation ends the current activation, if any, removes the unfinished jobs from memory and
// redirects the callers that wait for them. It runs on the loop.
func (s *Scheduler) endActivation() {
	if s.act == nil {
		return
	}
	term := s.act.holder.Term
	s.act.cancel()
	s.act = nil
	s.serving.Store(false)
	for id, j := range s.jobs {
		if j.outcome != nil {
			continue
		}
		delete(s.jobs, id)
		j.elsewhere = true
		close(j.done)
	}
	event.Info(s.logger, event.SchedulerStandby, "term", term)
}

// restoreLiveJobs adds the zone's live jobs from the journal to the core, except those already
// in memory or being admitted, and returns how many it added.
func (s *Scheduler) restoreLiveJobs() int {
	n := 0
	for _, e := range s.journal.LiveJobs(s.opts.Zone) {
		if _, ok := s.jobs[e.Job.ID]; ok || s.pendingAdmissions[e.Job.ID] > 0 {
			continue
		}
		s.restoreJob(e)
		n++
	}
	return n
}

// Stop performs a graceful shutdown: new jobs are refused, long polls are answered early, and the
// leader role passes to a standby if there is one. It waits up to handoverTimeout for the handover
// and up to flushTimeout for outcomes that are not in the log yet. The process then lets calls in
// progress end and cancels Run's context.
func (s *Scheduler) Stop(ctx context.Context) {
	s.stopOnce.Do(func() { close(s.stopping) })
	s.election.Stop()
	s.waitUntil(ctx, handoverTimeout, func() bool {
		active, _ := s.election.Active()
		// The election gives up the role before the activation has ended.
		return !active && !s.serving.Load() || !s.hasStandby()
	})
	s.waitUntil(ctx, flushTimeout, func() bool { return s.outcomesInFlight.Load() == 0 || !s.election.LogUp() })
}

func (s *Scheduler) hasStandby() bool {
	for _, p := range s.peers.LivePeers(s.opts.Zone) {
		if p.Role == wire.RoleScheduler && !p.Leaving && p.Host != s.opts.Host {
			return true
		}
	}
	return false
}

func (s *Scheduler) waitUntil(ctx context.Context, limit time.Duration, done func() bool) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for !done() && ctx.Err() == nil {
		sleep(ctx, stopPollInterval)
	}
}

func (s *Scheduler) isStopping() bool {
	select {
	case <-s.stopping:
		return true
	default:
		return false
	}
}

// Heartbeat describes this process to its peers.
func (s *Scheduler) Heartbeat() wire.Heartbeat {
	_, term := s.election.Active()
	return wire.Heartbeat{
		Host: s.opts.Host, Role: wire.RoleScheduler, Zone: s.opts.Zone, Addr: s.opts.Addr, Active: s.serving.Load(), Term: term,
		Leaving: s.isStopping(), Generation: s.config.Current().Generation, Load: *s.stats.Load(),
	}
}

// maintainJournal writes snapshots and expires outcomes while this process is the leader. Its
// interval is random, so that the leaders of different zones rarely repeat each other's work.
func (s *Scheduler) maintainJournal(ctx context.Context) error {
	for ctx.Err() == nil {
		sleep(ctx, maintenanceInterval/2+rand.N(maintenanceInterval))
		active, term := s.election.Active()
		if !active || !s.election.Confirmed() || !s.election.LogUp() {
			continue
		}
		s.maintainJournalOnce(ctx, term)
	}
	return trace.Wrap(ctx.Err())
}

func (s *Scheduler) maintainJournalOnce(ctx context.Context, term core.Term) {
	ctx, cancel := context.WithTimeout(ctx, maintenanceTimeout)
	defer cancel()
	err := s.journal.Expire(ctx, term)
	if err == nil && s.journal.SnapshotDue() {
		err = s.journal.WriteSnapshot(ctx, term)
	}
	if err != nil {
		event.Error(s.logger, err, event.LogWriteError, "upkeep", true)
	}
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
