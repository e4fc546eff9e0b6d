package election

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"

	"agatewinch/internal/core"
	"agatewinch/internal/event"
	"agatewinch/internal/platform"
	"agatewinch/internal/wire"
)

// Peers is what an election needs of the membership.
type Peers interface {
	// LivePeers returns the zone's other processes heard within the heartbeat timeout.
	LivePeers(zone core.ZoneID) []wire.Heartbeat
}

// Role is told when the active role is won and lost.
type Role interface {
	// Activate takes the role up with a term; an error gives it back.
	Activate(ctx context.Context, term core.Term) error
	// Deactivate ends all work under the role before it returns.
	Deactivate(ctx context.Context)
	// Ready reports whether the process could take the role.
	Ready() bool
}

// Options are an election's fixed parameters.
type Options struct {
	Zone core.ZoneID
	Host string
	// Holder is unique for each process.
	Holder string
	// Renew is the interval of the holder's claims.
	Renew time.Duration
	// Poll is the interval of reads of the claims.
	Poll time.Duration
	// Stale is the age from which an unrenewed claim no longer protects its holder.
	Stale time.Duration
	// LogAway is the time without a successful read from which the log counts as away.
	LogAway time.Duration
	// RankDelay is the time that each better ranked standby is given.
	RankDelay time.Duration
	// Settle is how long a new process listens before it takes the role without the log.
	Settle time.Duration
}

// Defaults of the options.
const (
	DefaultRenew     = 500 * time.Millisecond
	DefaultPoll      = 300 * time.Millisecond
	DefaultStale     = 1100 * time.Millisecond
	DefaultLogAway   = 2 * time.Second
	DefaultRankDelay = 300 * time.Millisecond
	DefaultSettle    = 2 * time.Second
)

// DefaultOptions returns options with the default times.
func DefaultOptions(zone core.ZoneID, host, holder string) Options {
	return Options{
		Zone: zone, Host: host, Holder: holder, Renew: DefaultRenew, Poll: DefaultPoll, Stale: DefaultStale,
		LogAway: DefaultLogAway, RankDelay: DefaultRankDelay, Settle: DefaultSettle,
	}
}

const (
	stepInterval = 100 * time.Millisecond
	claimTimeout = 2 * time.Second
	// yieldFactor scales the first hold-back of a superseded process by the time that a
	// new one listens; yieldHighest bounds it.
	yieldFactor  = 2
	yieldHighest = time.Minute
)

// Election takes part in the choice of a zone's active scheduler.
type Election struct {
	opts   Options
	logger logr.Logger
	claims *claims
	peers  Peers
	role   Role
	began  time.Time

	mu       sync.Mutex
	holding  bool
	term     core.Term
	known    core.Term
	rival    bool
	stopping bool
	// confirmed is the time of the last step that found the role in order.
	confirmed time.Time
	// resumed is when the last pause of this process was noticed.
	resumed time.Time
	// yield is how long the last hold-back was, and yieldUntil its end.
	yield      time.Duration
	yieldUntil time.Time
	nudge      chan struct{}
}

// New returns an election that does not run yet.
func New(opts Options, logger logr.Logger, log platform.Log, peers Peers, role Role) *Election {
	return &Election{
		opts: opts, logger: logger, claims: newClaims(opts.Zone, log, opts.Poll), peers: peers, role: role,
		began: time.Now(), nudge: make(chan struct{}, 1),
	}
}

// Run takes part until ctx ends.
func (e *Election) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return e.claims.run(ctx) })
	group.Go(func() error { return e.renewLoop(ctx) })
	group.Go(func() error { return e.stepLoop(ctx) })
	return trace.Wrap(group.Wait())
}

// Active returns whether this process holds the role, and under which term.
func (e *Election) Active() (bool, core.Term) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.holding, e.term
}

// LogUp reports whether the claims stream was read lately.
func (e *Election) LogUp() bool {
	v := e.claims.view()
	return !v.readSent.IsZero() && time.Since(v.readSent) < e.opts.LogAway
}

// Confirmed reports whether the role was found in order just now. After a pause of the
// process it is false until the claims have been read again.
func (e *Election) Confirmed() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.holding && time.Since(e.confirmed) < e.opts.Stale
}

// Observe takes note of a term that a worker, a peer or the jobs stream shows; other is
// true when it is held by another process.
func (e *Election) Observe(term core.Term, other bool) {
	e.mu.Lock()
	e.known = max(e.known, term)
	if e.holding && other && term == e.term {
		e.rival = true
	}
	e.mu.Unlock()
	e.wake()
}

// Stop has the role given up as soon as another process can take it, and never taken
// again.
func (e *Election) Stop() {
	e.mu.Lock()
	e.stopping = true
	e.mu.Unlock()
	e.wake()
}

func (e *Election) wake() {
	select {
	case e.nudge <- struct{}{}:
	default:
	}
}

func (e *Election) stepLoop(ctx context.Context) error {
	tick := time.NewTicker(stepInterval)
	defer tick.Stop()
	last := time.Now()
	for {
		select {
		case <-tick.C:
		case <-e.nudge:
		case <-ctx.Done():
			e.lose(context.WithoutCancel(ctx))
			return trace.Wrap(ctx.Err())
		}
		now := time.Now()
		if now.Sub(last) > e.opts.Stale {
			e.notePause(now, now.Sub(last))
		}
		e.step(ctx)
		// Taking the role up or giving it back may take a while; that is no pause.
		last = time.Now()
	}
}

func (e *Election) notePause(now time.Time, length time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.resumed = now
	if e.holding {
		event.Info(e.logger, event.RolePaused, "term", e.term, "paused", length.String())
	}
}

// step takes one decision and carries it out.
func (e *Election) step(ctx context.Context) {
	v := e.look()
	r := rules{stale: staleAfter(e.opts.Stale, v.takeovers), rankDelay: e.opts.RankDelay, settle: e.opts.Settle}
	switch decide(v, r) {
	case claimInLog:
		if e.claim(ctx, v.known+1) {
			e.win(ctx, v.known+1)
		}
	case takeByRank:
		e.win(ctx, v.known+1)
	case standDown:
		event.Info(e.logger, event.RoleSuperseded, "term", v.term, "known_term", v.known)
		e.noteSuperseded(v.logUp)
		e.lose(ctx)
	case stay:
		if v.holding {
			e.confirm()
		}
	}
}

// noteSuperseded has a process that was superseded while it cannot read the log hold back,
// for longer each time: the other holder may be one that it cannot hear but whose workers
// it shares, and the two would go on displacing each other.
func (e *Election) noteSuperseded(logUp bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if logUp {
		e.yield = 0
		return
	}
	e.yield = min(max(2*e.yield, yieldFactor*e.opts.Settle), yieldHighest)
	e.yieldUntil = time.Now().Add(e.yield/2 + rand.N(e.yield))
}

// look gathers what a decision depends on.
func (e *Election) look() view {
	c := e.claims.view()
	peers := e.schedulers()
	logUp := e.LogUp()
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.known = max(e.known, c.newest.Term)
	for _, p := range peers {
		e.known = max(e.known, p.Term)
		if e.holding && p.Active && p.Term == e.term {
			e.rival = true
		}
	}
	if e.holding && c.newest.Term == e.term && c.newest.Holder != e.opts.Holder {
		e.rival = true
	}
	return view{
		self: e.opts.Host, holder: e.opts.Holder, holding: e.holding, term: e.term, known: e.known, rival: e.rival,
		ready: e.role.Ready(), stopping: e.stopping, running: now.Sub(e.began), logUp: logUp,
		yielding: now.Before(e.yieldUntil), claim: c.newest, claimAge: claimAge(c, later(c.seen, e.began), now, logUp), takeovers: c.takeovers, peers: peers,
	}
}

// claimAge is the time for which the claim is known not to have been renewed. While the
// log is up only what was read counts, so that a reader's own delay ends no claim.
func claimAge(c claimsView, seen, now time.Time, logUp bool) time.Duration {
	if logUp {
		return c.clearTo.Sub(seen)
	}
	return now.Sub(seen)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (e *Election) schedulers() []wire.Heartbeat {
	var out []wire.Heartbeat
	for _, p := range e.peers.LivePeers(e.opts.Zone) {
		if p.Role == wire.RoleScheduler && p.Host != e.opts.Host {
			out = append(out, p)
		}
	}
	return out
}

// confirm notes that the role is in order, but after a pause only once the claims have
// been read since, or the log is known to be away.
func (e *Election) confirm() {
	c := e.claims.view()
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	if !c.readSent.After(e.resumed) && now.Sub(e.resumed) < e.opts.LogAway {
		return
	}
	e.confirmed = now
}

// claim appends a claim of term and reports whether it is the first of that term.
func (e *Election) claim(ctx context.Context, term core.Term) bool {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	if err := e.claims.append(ctx, Claim{Zone: e.opts.Zone, Host: e.opts.Host, Holder: e.opts.Holder, Term: term}); err != nil {
		event.Error(e.logger, err, event.LogWriteError, "stream", platform.StreamClaims(e.opts.Zone))
	}
	for {
		if err := e.claims.read(ctx, 0); err != nil && ctx.Err() != nil {
			return false
		}
		v := e.claims.view()
		if v.newest.Term >= term {
			return v.newest.Term == term && v.newest.Holder == e.opts.Holder
		}
		select {
		case <-v.changed:
		case <-time.After(e.opts.Poll):
		case <-ctx.Done():
			return false
		}
	}
}

func (e *Election) win(ctx context.Context, term core.Term) {
	e.mu.Lock()
	e.holding, e.term, e.rival, e.confirmed = true, term, false, time.Now()
	e.known = max(e.known, term)
	e.mu.Unlock()
	if err := e.role.Activate(ctx, term); err != nil {
		event.Error(e.logger, err, event.RoleSuperseded, "term", term)
		e.lose(ctx)
	}
}

// lose gives the role up and tells the log so.
func (e *Election) lose(ctx context.Context) {
	e.mu.Lock()
	held, term := e.holding, e.term
	e.holding, e.rival = false, false
	e.mu.Unlock()
	if !held {
		return
	}
	e.role.Deactivate(ctx)
	if e.claims.view().newest.Holder != e.opts.Holder {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	_ = e.claims.append(ctx, Claim{Zone: e.opts.Zone, Host: e.opts.Host, Holder: e.opts.Holder, Term: term, Released: true})
}

// renewLoop repeats the claim while this process holds the role.
func (e *Election) renewLoop(ctx context.Context) error {
	for ctx.Err() == nil {
		pause(ctx, e.opts.Renew)
		holding, term := e.Active()
		if !holding || !e.Confirmed() {
			continue
		}
		// A failure shows in the age of the claim; the next renewal is the retry.
		_ = e.claims.append(ctx, Claim{Zone: e.opts.Zone, Host: e.opts.Host, Holder: e.opts.Holder, Term: term})
	}
	return trace.Wrap(ctx.Err())
}
