package entry

import (
	"context"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"agatewinch/internal/core/dispatch"
	"agatewinch/internal/event"
	"agatewinch/internal/ledger"
	"agatewinch/internal/sharedlog"
)

const (
	// tickInterval is how often the leader handles what becomes due without an event, such as
	// expired leases, stops to repeat and the renewal of the role.
	tickInterval = 250 * time.Millisecond
	// workerListInterval is how often the list of workers is read.
	workerListInterval = 500 * time.Millisecond
	// leaseLimit is how long after the last record that the log has accepted from a leader its leases
	// last: long enough for a takeover and for the log's usual outages, short enough that the tasks of a
	// worker that is lost together with the leader are soon started on another.
	leaseLimit = 7500 * time.Millisecond
	// probeWait is the longest time that a probe waits on the worker for a run to end. Workers
	// limit the wait to the same time.
	probeWait = 2 * time.Second
	// unreachableTimeout is how long most workers may fail to answer this host before it gives
	// up the role: time for a few probes of each worker that does not answer.
	unreachableTimeout = time.Second
	// minLeaderTime is how long a host holds the role before it may give it up because workers
	// are unreachable. It keeps the role from moving from host to host when no host reaches
	// the workers.
	minLeaderTime = 4 * time.Second
)

// leader runs the scheduling core while this host holds the leader role. One goroutine owns
// the core; outgoing calls run in goroutines of their own and post their results to it.
type leader struct {
	host      *Host
	epoch     int64
	core      *dispatch.Core
	events    chan func(dispatch.Now)
	startedAt time.Time

	permission     *permission
	sequence       int64
	appendInFlight bool
	// appendedAt is when the log last accepted a record of this leader, or when the leader
	// started.
	appendedAt time.Time
	// formerRenewalTime is how long after startedAt former leaders may go on renewing leases.
	formerRenewalTime time.Duration
	// formerLeaseTime is how long after startedAt the leases of former leaders may last.
	formerLeaseTime time.Duration
	// lossReason is the reason why the role was lost; empty while it is held.
	lossReason string
	sweptAt    time.Time
	// expired holds the IDs of ended jobs whose submissions have been dropped from the log and
	// whose end records are still to be dropped.
	expired        []string
	catalogVersion int64
	// claimedAt is when the claim of the role was sent, by sinceBoot.
	claimedAt time.Duration
	// evacuationChanges is the last change of the evacuated zones that was passed to the core, and
	// startsHeld is set while no starts may be sent because these zones are not known.
	evacuationChanges int
	startsHeld        bool
	// guaranteeShortfall is the last reported number of accelerators that are missing for guarantees.
	guaranteeShortfall int64
	// unreachableSince is when most workers stopped answering this host; zero while they
	// answer.
	unreachableSince time.Time
	// workersListed is set once the list of workers has been read.
	workersListed bool
	// forecastAt is when the leader last looked whether room is short, and forecastOpen set while its
	// last forecast says so.
	forecastAt   time.Time
	forecastOpen bool
	// wavesOpen is set while an upkeep wave is open, so that the machines have to be listed.
	wavesOpen atomic.Bool
}

// maxEvents bounds the number of results waiting for the core. It exceeds the number of calls in
// flight, so that posting a result does not block, even after run has returned.
const maxEvents = 4096

// newLeader returns the leader after a claim of the role that was sent at claimedAt, by sinceBoot.
func newLeader(h *Host, fence sharedlog.Fence, claimedAt time.Duration, former formerTimes) *leader {
	now := time.Now()
	return &leader{
		host: h, epoch: fence.Epoch, permission: newPermission(h.sinceBoot, claimedAt), sequence: fence.Sequence, events: make(chan func(dispatch.Now), maxEvents), startedAt: now, appendedAt: now, sweptAt: now, formerRenewalTime: former.renewals, formerLeaseTime: former.leases, claimedAt: claimedAt,
		core: dispatch.New(dispatch.Now{UnixMs: now.UnixMilli()}, dispatch.Settings{
			LeaseTTL: min(leaseLimit, h.settings.MaxLeaseTTL), MaxLeaseTTL: h.settings.MaxLeaseTTL, ProbeWait: probeWait,
			FormerRenewalTime: former.renewals, FormerLeaseTime: former.leases, NoFormerLeader: former.none, SpreadFactor: h.settings.SpreadFactor, MaxStopTime: h.settings.MaxStopTime, RestoreTime: h.settings.RestoreTime, HeartbeatInterval: h.settings.HeartbeatInterval, UpkeepTime: h.settings.UpkeepTime,
		}),
	}
}

func (l *leader) now() dispatch.Now {
	t := time.Now()
	return dispatch.Now{Mono: t.Sub(l.startedAt), UnixMs: t.UnixMilli()}
}

// run schedules jobs until the role is lost or given up, ctx ends or stop is closed. It returns
// the reason why it ended.
func (l *leader) run(ctx context.Context, stop <-chan struct{}) string {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	l.restore()
	go l.pollWorkerList(ctx)
	go l.pollWaves(ctx)
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	wake := time.NewTimer(tickInterval)
	defer wake.Stop()
	for {
		l.addNewJobs()
		l.dispatchActions(ctx)
		if at := l.core.Wake(); at > 0 && l.permission.valid() {
			wake.Reset(max(0, at-l.now().Mono))
		}
		select {
		case <-ctx.Done():
			return "the process is ending"
		case <-stop:
			return l.release(ctx, "planned stop")
		case f := <-l.events:
			f(l.now())
			l.drainEvents()
		case <-l.host.jobsSignal:
		case <-wake.C:
		case <-tick.C:
			l.core.Tick(l.now())
			l.reportShortfall()
			l.sweep(ctx)
			if why := l.cannotServe(); why != "" {
				l.host.role.suspendClaims()
				return l.release(ctx, why)
			}
		}
		if l.lossReason != "" {
			return l.lossReason
		}
		if !l.permission.mayRenewLeases() {
			return "the log accepts no appends"
		}
	}
}

// runGuarded is run, but an unexpected error in a decision costs only the role: the host goes on
// serving callers, and leaves the role to other hosts for some time.
func (l *leader) runGuarded(ctx context.Context, stop <-chan struct{}) (reason string) {
	defer func() {
		if v := recover(); v != nil {
			l.host.role.suspendClaims()
			event.Error(l.host.logger, trace.Errorf("%v", v), event.DecisionFailed, "epoch", l.epoch, "stack", string(debug.Stack()))
			reason = "a decision failed"
		}
	}()
	return l.run(ctx, stop)
}

// drainEvents handles the results that are waiting for the core, before the next scheduling cycle.
func (l *leader) drainEvents() {
	for {
		select {
		case f := <-l.events:
			f(l.now())
		default:
			return
		}
	}
}

// restore builds the core's state from the ledger and the list of workers. If the list cannot be
// read, the core has no workers until pollWorkerList has read it.
func (l *leader) restore() {
	now := l.now()
	l.host.ledger.TrackUpdates(true) // all earlier jobs are added below
	if list, err := l.host.workerList.List(context.Background()); err == nil {
		l.setWorkers(now, list)
	} else {
		event.Error(l.host.logger, err, event.LogLost, "topic", "workers")
	}
	l.updateGuarantees()
	n := 0
	l.host.ledger.EachByArrival(func(id string, e *ledger.Entry) {
		if e.Job == nil {
			return
		}
		if e.Ended != nil {
			l.core.AddEndedJob(now, e.Job, e.Ended.State, e.Tasks)
			return
		}
		n++
		l.core.AddJob(now, e.Job, e.Tasks)
		if e.Cancelled {
			l.core.CancelJob(now, id)
		}
	})
	event.Info(l.host.logger, event.JournalLoaded, "jobs", n, "epoch", l.epoch)
}

func (l *leader) updateGuarantees() {
	if c := l.host.newestCatalog(); c != nil && c.Version != l.catalogVersion {
		l.catalogVersion = c.Version
		l.core.SetGuarantees(c.Guarantees())
	}
}

// addNewJobs passes newly recorded jobs and cancellations, and the evacuated zones, to the core.
func (l *leader) addNewJobs() {
	l.updateGuarantees()
	now := l.now()
	l.updateEvacuations(now)
	for _, id := range l.host.ledger.TakeUpdated() {
		e, ok := l.host.ledger.Find(id)
		if !ok || e.Job == nil || e.Ended != nil {
			continue
		}
		l.core.AddJob(now, e.Job, l.host.ledger.Tasks(id))
		if e.Cancelled {
			l.core.CancelJob(now, id)
		}
	}
}

// post makes the goroutine that owns the core call f.
func (l *leader) post(f func(dispatch.Now)) {
	l.events <- f
}

// pollWorkerList reads the list of workers periodically and passes it to the core.
func (l *leader) pollWorkerList(ctx context.Context) {
	reads := dependency{topic: "workers"}
	for ctx.Err() == nil {
		sleep(ctx, workerListInterval)
		list, err := l.host.workerList.List(ctx)
		if !reads.observe(ctx, l.host.logger, err) {
			continue
		}
		l.post(func(now dispatch.Now) { l.setWorkers(now, list) })
	}
}

func (l *leader) setWorkers(now dispatch.Now, list []dispatch.WorkerInfo) {
	l.workersListed = true
	l.core.SetWorkers(now, list)
}

// cannotServe returns why this host should leave the role to another one, or the empty string. A
// leader that has never read the list of workers, or that most of them do not answer, places nothing.
func (l *leader) cannotServe() string {
	switch {
	case !l.workersListed && time.Since(l.startedAt) >= minLeaderTime:
		return "the list of workers cannot be read"
	case l.mostWorkersUnreachable():
		return "most workers do not answer this host"
	}
	return ""
}

// mostWorkersUnreachable reports whether most workers have not answered this host for
// unreachableTimeout. It covers a network partition around the leader's zone, while hosts in
// other zones still reach the workers.
func (l *leader) mostWorkersUnreachable() bool {
	answering, listed := l.core.CountReachable()
	if 2*answering >= listed {
		l.unreachableSince = time.Time{}
		return false
	}
	if l.unreachableSince.IsZero() {
		l.unreachableSince = time.Now()
	}
	return time.Since(l.unreachableSince) >= unreachableTimeout && time.Since(l.startedAt) >= minLeaderTime
}
