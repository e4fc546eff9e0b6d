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
	// upkeepInterval is how often the journal's snapshots and expiry are looked after.
	upkeepInterval = 2 * time.Second
	upkeepTimeout  = 30 * time.Second
	// handOverTimeout bounds the wait for a standby in a planned stop, which claims the
	// role at once when it hears that the holder leaves.
	handOverTimeout = 3 * time.Second
	// flushTimeout bounds the wait for outcomes on their way into the log.
	flushTimeout = 3 * time.Second
	stopPoll     = 20 * time.Millisecond
)

// Ready reports whether this process could take the active role: it has a view of the
// configuration and of the journal, unless the log is away.
func (s *Scheduler) Ready() bool {
	return s.follow.Ready() && (s.journal.Ready() || !s.election.LogUp())
}

// Activate takes the active role up: it fences former holders in the log and then starts
// a new core with the zone's live jobs.
func (s *Scheduler) Activate(ctx context.Context, term core.Term) error {
	if s.election.LogUp() {
		fenceCtx, cancel := context.WithTimeout(ctx, fenceTimeout)
		defer cancel()
		v, err := s.journal.Fence(fenceCtx, term)
		if err == nil && !v.Counts {
			s.election.Observe(v.Holder.Term, true)
			return errkind.New(errkind.Conflict, "term %d of %s stands in the log", v.Holder.Term, v.Holder.Holder)
		}
		// Without the fence a placement may prove void later; until then nothing that
		// needs the log can be placed at all.
	}
	_, err := ask(ctx, s, func() (struct{}, error) {
		s.takeUp(term)
		return struct{}{}, nil
	})
	return trace.Wrap(err)
}

// Deactivate ends all work under the role and lets waiting callers look elsewhere.
func (s *Scheduler) Deactivate(ctx context.Context) {
	_, _ = ask(ctx, s, func() (struct{}, error) {
		s.putDown()
		return struct{}{}, nil
	})
}

func (s *Scheduler) takeUp(term core.Term) {
	s.putDown()
	ctx, cancel := context.WithCancel(context.Background())
	act := &activation{
		ctx: ctx, cancel: cancel, began: time.Now(), core: core.New(s.opts.Core), sessions: map[core.WorkerID]*session{},
		holder: platform.Holder{ID: s.opts.Journal.Writer, Term: term},
	}
	s.act = act
	s.serving.Store(true)
	if cur := s.follow.Current(); cur.Set != nil {
		s.step(act, core.ConfigChanged{Config: cur.Set.Core(cur.Generation)})
	}
	restored := s.reconcile()
	// Logged before any worker can see the term, so that the logs of two schedulers tell
	// whether both held the role at one time.
	event.Info(s.logger, event.SchedulerActive, "term", term, "restored", restored)
	s.updateSessions()
}

func (s *Scheduler) putDown() {
	if s.act == nil {
		return
	}
	term := s.act.holder.Term
	s.act.cancel()
	s.act = nil
	s.serving.Store(false)
	for id, r := range s.jobs {
		if r.outcome != nil {
			continue
		}
		delete(s.jobs, id)
		r.elsewhere = true
		close(r.ended)
	}
	event.Info(s.logger, event.SchedulerStandby, "term", term)
}

// reconcile brings the zone's live jobs of the journal into the core and returns how many
// were new to it.
func (s *Scheduler) reconcile() int {
	n := 0
	for _, e := range s.journal.LiveJobs(s.opts.Zone) {
		if _, ok := s.jobs[e.Job.ID]; ok || s.expected[e.Job.ID] > 0 {
			continue
		}
		s.restore(e)
		n++
	}
	return n
}

// Stop begins a planned stop: nothing new is taken, long polls are answered early, and the
// role goes to a standby if there is one. The caller then lets calls in progress end and
// cancels Run's context.
func (s *Scheduler) Stop(ctx context.Context) {
	s.stopOnce.Do(func() { close(s.stopping) })
	s.election.Stop()
	s.waitUntil(ctx, handOverTimeout, func() bool {
		active, _ := s.election.Active()
		// The election lets go of the role before its work here has ended.
		return !active && !s.serving.Load() || !s.hasStandby()
	})
	s.waitUntil(ctx, flushTimeout, func() bool { return s.unwritten.Load() == 0 || !s.election.LogUp() })
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
		pause(ctx, stopPoll)
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
		Leaving: s.isStopping(), Generation: s.follow.Current().Generation, Load: *s.stats.Load(),
	}
}

// keepJournal writes snapshots and expires outcomes while this process is active. The
// zones' holders do so at different moments, so that seldom two do the same work.
func (s *Scheduler) keepJournal(ctx context.Context) error {
	for ctx.Err() == nil {
		pause(ctx, upkeepInterval/2+rand.N(upkeepInterval))
		active, term := s.election.Active()
		if !active || !s.election.Confirmed() || !s.election.LogUp() {
			continue
		}
		s.keepJournalOnce(ctx, term)
	}
	return trace.Wrap(ctx.Err())
}

func (s *Scheduler) keepJournalOnce(ctx context.Context, term core.Term) {
	ctx, cancel := context.WithTimeout(ctx, upkeepTimeout)
	defer cancel()
	err := s.journal.Expire(ctx, term)
	if err == nil && s.journal.SnapshotDue() {
		err = s.journal.WriteSnapshot(ctx, term)
	}
	if err != nil {
		event.Error(s.logger, err, event.LogWriteError, "upkeep", true)
	}
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
