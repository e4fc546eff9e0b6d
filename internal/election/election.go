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

// Peers lists live peers; membership.Membership implements it.
type Peers interface {
	// LivePeers returns the last heartbeats of the zone's other processes that were heard
	// within the heartbeat timeout.
	LivePeers(zone core.ZoneID) []wire.Heartbeat
}

// Role is notified when the leader role is won and lost.
type Role interface {
	// Activate starts work as the leader of a term; after an error the role is given up.
	Activate(ctx context.Context, term core.Term) error
	// Deactivate ends all work as the leader before it returns.
	Deactivate(ctx context.Context)
	// Ready reports whether the process could take the role.
	Ready() bool
}

// Options are an election's fixed parameters.
type Options struct {
	Zone core.ZoneID
	Host string
	// Holder identifies this process and is unique to it.
	Holder string
	// RenewInterval is the interval at which the leader renews its claim.
	RenewInterval time.Duration
	// PollInterval is the interval at which the claims stream is read.
	PollInterval time.Duration
	// StaleAfter is the age from which an unrenewed claim can be superseded. Repeated takeovers
	// lengthen it for a while; see takeoverWindow.
	StaleAfter time.Duration
	// LogTimeout is the time without a successful read after which the log counts as unavailable.
	LogTimeout time.Duration
	// RankDelay is the additional delay of a claim for each better-ranked standby.
	RankDelay time.Duration
	// InitialListen is how long a new process listens for peers before it may take the role without
	// the log.
	InitialListen time.Duration
}

// Defaults of the options.
const (
	DefaultRenewInterval = 500 * time.Millisecond
	DefaultPollInterval  = 300 * time.Millisecond
	DefaultStaleAfter    = 1100 * time.Millisecond
	DefaultLogTimeout    = 2 * time.Second
	DefaultRankDelay     = 300 * time.Millisecond
	DefaultInitialListen = 2 * time.Second
)

// DefaultOptions returns options with the default times.
func DefaultOptions(zone core.ZoneID, host, holder string) Options {
	return Options{
		Zone: zone, Host: host, Holder: holder, RenewInterval: DefaultRenewInterval, PollInterval: DefaultPollInterval, StaleAfter: DefaultStaleAfter,
		LogTimeout: DefaultLogTimeout, RankDelay: DefaultRankDelay, InitialListen: DefaultInitialListen,
	}
}

const (
	stepInterval = 100 * time.Millisecond
	claimTimeout = 2 * time.Second
	// initialBackoffFactor is the first backoff of a process that was superseded with the
	// log unavailable, as a multiple of Options.InitialListen; maxBackoff limits later ones.
	initialBackoffFactor = 2
	maxBackoff           = time.Minute
)

// Election takes part in the leader election of a zone.
type Election struct {
	opts      Options
	logger    logr.Logger
	claims    *claims
	peers     Peers
	role      Role
	startedAt time.Time

	mu sync.Mutex
	// holding, term, knownTerm, otherLeader and stopping have the meaning of the fields of view.
	holding     bool
	term        core.Term
	knownTerm   core.Term
	otherLeader bool
	stopping    bool
	// confirmed is the time of the last step that found no newer or conflicting leader.
	confirmed time.Time
	// resumed is when the last pause of this process was detected.
	resumed time.Time
	// backoff is the base of the last backoff, and backoffUntil its randomised end.
	backoff      time.Duration
	backoffUntil time.Time
	wakeup       chan struct{}
}

// New returns an election that is not running yet.
func New(opts Options, logger logr.Logger, log platform.Log, peers Peers, role Role) *Election {
	return &Election{
		opts: opts, logger: logger, claims: newClaims(opts.Zone, log, opts.PollInterval), peers: peers, role: role,
		startedAt: time.Now(), wakeup: make(chan struct{}, 1),
	}
}

// Run takes part in the election until ctx ends.
func (e *Election) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return e.claims.run(ctx) })
	group.Go(func() error { return e.renewLoop(ctx) })
	group.Go(func() error { return e.stepLoop(ctx) })
	return trace.Wrap(group.Wait())
}

// Active reports whether this process is the leader, and the term in which it is or last was.
func (e *Election) Active() (bool, core.Term) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.holding, e.term
}

// LogUp reports whether the claims stream was read within Options.LogTimeout.
func (e *Election) LogUp() bool {
	v := e.claims.view()
	return !v.readSent.IsZero() && time.Since(v.readSent) < e.opts.LogTimeout
}

// Confirmed reports whether this process is the leader and an election step confirmed it
// within Options.StaleAfter. After a pause of the process it is false until the claims have been
// read again or Options.LogTimeout has passed.
func (e *Election) Confirmed() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.holding && time.Since(e.confirmed) < e.opts.StaleAfter
}

// Observe records a term reported by a worker, a peer or the jobs stream; other is true when
// another process leads in it.
func (e *Election) Observe(term core.Term, other bool) {
	e.mu.Lock()
	e.knownTerm = max(e.knownTerm, term)
	if e.holding && other && term == e.term {
		e.otherLeader = true
	}
	e.mu.Unlock()
	e.wake()
}

// Stop keeps this process from taking the leader role again. A leader keeps the role until
// another process supersedes it or Run ends.
func (e *Election) Stop() {
	e.mu.Lock()
	e.stopping = true
	e.mu.Unlock()
	e.wake()
}

func (e *Election) wake() {
	select {
	case e.wakeup <- struct{}{}:
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
		case <-e.wakeup:
		case <-ctx.Done():
			e.giveUp(context.WithoutCancel(ctx))
			return trace.Wrap(ctx.Err())
		}
		now := time.Now()
		if now.Sub(last) > e.opts.StaleAfter {
			e.notePause(now, now.Sub(last))
		}
		e.step(ctx)
		// Activation and deactivation can be slow; their time does not count as a pause.
		last = time.Now()
	}
}

// notePause records that the process did not run for length.
func (e *Election) notePause(now time.Time, length time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.resumed = now
	if e.holding {
		event.Info(e.logger, event.RolePaused, "term", e.term, "paused", length.String())
	}
}

// step makes one decision and executes it.
func (e *Election) step(ctx context.Context) {
	v := e.collectView()
	limits := timeLimits{staleAfter: staleAfter(e.opts.StaleAfter, v.takeovers), rankDelay: e.opts.RankDelay, initialListen: e.opts.InitialListen}
	switch decide(v, limits) {
	case claimInLog:
		if e.claim(ctx, v.knownTerm+1) {
			e.win(ctx, v.knownTerm+1)
		}
	case takeByRank:
		e.win(ctx, v.knownTerm+1)
	case stepDown:
		event.Info(e.logger, event.RoleSuperseded, "term", v.term, "known_term", v.knownTerm)
		e.noteSuperseded(v.logUp)
		e.giveUp(ctx)
	case stay:
		if v.holding {
			e.confirm()
		}
	}
}

// noteSuperseded starts a backoff, longer each time, if the process was superseded while it
// could not read the log. The other leader may be one whose heartbeats it does not receive but
// whose workers it shares, and without a backoff the two would keep superseding each other.
func (e *Election) noteSuperseded(logUp bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if logUp {
		e.backoff = 0
		return
	}
	e.backoff = min(max(2*e.backoff, initialBackoffFactor*e.opts.InitialListen), maxBackoff)
	e.backoffUntil = time.Now().Add(e.backoff/2 + rand.N(e.backoff))
}

// collectView collects the inputs of a decision.
func (e *Election) collectView() view {
	c := e.claims.view()
	peers := e.liveSchedulers()
	logUp := e.LogUp()
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.knownTerm = max(e.knownTerm, c.newest.Term)
	for _, p := range peers {
		e.knownTerm = max(e.knownTerm, p.Term)
		if e.holding && p.Active && p.Term == e.term {
			e.otherLeader = true
		}
	}
	if e.holding && c.newest.Term == e.term && c.newest.Holder != e.opts.Holder {
		e.otherLeader = true
	}
	return view{
		self: e.opts.Host, holder: e.opts.Holder, holding: e.holding, term: e.term, knownTerm: e.knownTerm, otherLeader: e.otherLeader,
		ready: e.role.Ready(), stopping: e.stopping, uptime: now.Sub(e.startedAt), logUp: logUp,
		backingOff: now.Before(e.backoffUntil), claim: c.newest, claimAge: claimAge(c, later(c.newestReadAt, e.startedAt), now, logUp), takeovers: c.takeovers, peers: peers,
	}
}

// claimAge returns the time for which the claim is known not to have been renewed. While the
// log is available only the time covered by completed reads counts, so that a delay of the
// reader does not make a claim stale.
func claimAge(c claimsView, readAt, now time.Time, logUp bool) time.Duration {
	if logUp {
		return c.completeUntil.Sub(readAt)
	}
	return now.Sub(readAt)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// liveSchedulers returns the last heartbeats of the zone's other live schedulers.
func (e *Election) liveSchedulers() []wire.Heartbeat {
	var out []wire.Heartbeat
	for _, p := range e.peers.LivePeers(e.opts.Zone) {
		if p.Role == wire.RoleScheduler && p.Host != e.opts.Host {
			out = append(out, p)
		}
	}
	return out
}

// confirm records that this process is still the leader. After a pause it does so only once
// the claims have been read again or Options.LogTimeout has passed: without a read in that time
// the log counts as unavailable.
func (e *Election) confirm() {
	c := e.claims.view()
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	if !c.readSent.After(e.resumed) && now.Sub(e.resumed) < e.opts.LogTimeout {
		return
	}
	e.confirmed = now
}

// claim appends a claim of term and reports whether it took effect.
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
		case <-time.After(e.opts.PollInterval):
		case <-ctx.Done():
			return false
		}
	}
}

// win takes the leader role in term and activates it.
func (e *Election) win(ctx context.Context, term core.Term) {
	e.mu.Lock()
	e.holding, e.term, e.otherLeader, e.confirmed = true, term, false, time.Now()
	e.knownTerm = max(e.knownTerm, term)
	e.mu.Unlock()
	if err := e.role.Activate(ctx, term); err != nil {
		event.Error(e.logger, err, event.RoleSuperseded, "term", term)
		e.giveUp(ctx)
	}
}

// giveUp gives up the leader role and releases the claim if it is still the newest.
func (e *Election) giveUp(ctx context.Context) {
	e.mu.Lock()
	held, term := e.holding, e.term
	e.holding, e.otherLeader = false, false
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

// renewLoop renews the claim while this process is the confirmed leader.
func (e *Election) renewLoop(ctx context.Context) error {
	for ctx.Err() == nil {
		sleep(ctx, e.opts.RenewInterval)
		holding, term := e.Active()
		if !holding || !e.Confirmed() {
			continue
		}
		// A failed renewal needs no handling: the claim ages and the next renewal retries.
		_ = e.claims.append(ctx, Claim{Zone: e.opts.Zone, Host: e.opts.Host, Holder: e.opts.Holder, Term: term})
	}
	return trace.Wrap(ctx.Err())
}
