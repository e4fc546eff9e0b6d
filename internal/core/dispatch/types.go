// Package dispatch decides which task runs on which worker. It is a state machine without I/O:
// its inputs are events with their times, and its outputs are records for the log and calls to
// send. The log is the platform's log of records (package sharedlog), which the next leader reads;
// log lines are made from notes. A start is sent only after the record of its placement is in the
// log. Package entry runs the state machine.
//
// A run is one execution of a task. Package core, which is independent of this package and run by
// package scheduler, calls it a task of an attempt.
package dispatch

import (
	"time"

	"agatewinch/internal/core/job"
)

// Now is the time of an event.
type Now struct {
	// Mono is the monotonic time since the process started.
	Mono time.Duration
	// UnixMs is the wall-clock time, in Unix milliseconds.
	UnixMs int64
}

// Settings are the time limits and factors that the leader works with.
type Settings struct {
	// LeaseTTL is how long a worker keeps running its tasks without a call from the leader.
	LeaseTTL time.Duration
	// MaxLeaseTTL is the longest TTL of a lease that a worker grants to any leader.
	MaxLeaseTTL time.Duration
	// ProbeWait is how long a probe waits on the worker for a run to end (long poll).
	ProbeWait time.Duration
	// FormerRenewalTime bounds how long a former leader may keep renewing leases after
	// its successor took over. It is zero if the former leader is known to have stopped.
	FormerRenewalTime time.Duration
	// NoFormerLeader is set if there has never been another leader.
	NoFormerLeader bool
	// FormerLeaseTime bounds how long after its successor took over a former leader's leases on an
	// incarnation that it knew last; see Core.LimitLeases.
	FormerLeaseTime time.Duration
	// SpreadFactor is how many times longer a task takes outside the rack with its data, or in a
	// gang that is spread over several racks.
	SpreadFactor float64
	// MaxStopTime is the longest time that a run takes to stop.
	MaxStopTime time.Duration
	// RestoreTime is the time that a run takes to resume from a checkpoint.
	RestoreTime time.Duration
	// HeartbeatInterval is the interval of a worker's heartbeats, each of which rewrites its entry.
	HeartbeatInterval time.Duration
	// UpkeepTime is the duration of a machine's upkeep.
	UpkeepTime time.Duration
}

const (
	// minClockRate is the lowest rate, relative to real time, that the platform's contract
	// allows a worker's clock to run at.
	minClockRate = 0.98
	// leaseExpiryMargin covers the delay between the expiry of a lease and the end of its runs.
	leaseExpiryMargin = 300 * time.Millisecond
	// probeRetry is the delay after a probe that was not answered. It allows several retries
	// within a third of startLeaseTTL, the shortest TTL of a lease.
	probeRetry = 300 * time.Millisecond
	// startLeaseTTL is the minimum TTL of the lease that a start requests; the probe that
	// follows its answer extends the lease. The TTL is short because a start that is never
	// answered delays its task until the lease has expired. It must exceed the amount by which a
	// worker's clock may be ahead of its known lower bound.
	startLeaseTTL = 3 * time.Second
	// stopRetry is the delay before a stop that was not accepted is repeated.
	stopRetry = 250 * time.Millisecond
	// refusalPause is how long a worker that refused a start gets no new work.
	refusalPause = 2 * time.Second
	// placementDelay keeps a task from being placed again at once after its ticket was refused,
	// or after its run ended because of an expired lease or of missing gang members.
	placementDelay = 300 * time.Millisecond
	// maxListedEnds is the maximum number of ended runs in one answer of a worker. An answer
	// with fewer is complete.
	maxListedEnds = 500
)

// inheritedLease is how long after a takeover a lease granted by a former leader may last on
// any worker: a lease covers a worker, not a run, and is never shortened. It allows for an incarnation
// that the former leader did not know of.
func (s Settings) inheritedLease() time.Duration {
	if s.NoFormerLeader {
		return 0
	}
	return s.FormerRenewalTime + s.longestLease()
}

// longestLease is the longest time that a lease granted now may last. Its end is measured by
// the worker's clock, and a lease meant for a previous incarnation may be granted to the
// current one for the full MaxLeaseTTL.
func (s Settings) longestLease() time.Duration {
	return LongestLease(max(s.LeaseTTL, s.MaxLeaseTTL))
}

// WorkerInfo is a worker's entry: what it publishes about itself.
type WorkerInfo struct {
	ID       string
	Address  string
	Service  string
	Zone     string
	Rack     string
	Labels   []string
	Capacity job.Resources
	// Incarnation identifies the worker's incarnation by a time in Unix milliseconds; a later
	// incarnation has a higher value.
	Incarnation int64
	Draining    bool
	// MinRemaining is the time, from the writing of the entry, for which a draining worker stays at
	// least. It is zero if that is not known.
	MinRemaining time.Duration
	// ColdRemaining is the time, from the writing of the entry, for which the worker stays slow after its
	// start.
	ColdRemaining time.Duration
	// ClockMs is the worker's monotonic clock when it wrote the entry, in milliseconds.
	ClockMs int64
	// Unreadable is set if the newest entry under the worker's ID cannot be read. All fields but
	// ID are then empty. Such an entry names no worker to use, and says nothing about a worker
	// of that ID.
	Unreadable bool
}

type phase uint8

// The phases of a run.
const (
	// recording runs wait until the record of their placement is in the log.
	recording phase = iota
	// starting runs have a start in flight.
	starting
	// running runs are confirmed: the start was accepted or the worker listed them.
	running
	// stopping runs have to end; their stop may not have been sent yet.
	stopping
	// adopted runs are in the log from a former leader; no worker has reported them to this
	// one yet.
	adopted
)

type run struct {
	task   *task
	number int
	worker *worker
	phase  phase
	// inherited runs were placed by a former leader.
	inherited bool
	// leaseLimited is set once the current incarnation of the worker has listed the run and every lease
	// on it is subject to the leaders' limit; see Core.LimitLeases.
	leaseLimited bool
	// inheritedUntil is when the last lease expires that may cover a run of a former leader; zero for
	// others.
	inheritedUntil time.Duration
	need           job.Resources
	// reason is why the run was placed as a copy; empty for others.
	reason stragglerReason
	// leaveSeenAt is when the run was first found to end too late for its worker, which leaves; zero if it
	// has not been.
	leaveSeenAt time.Duration
	// placedAt is when the run was placed or adopted.
	placedAt time.Duration
	// checkpoint is the newest known checkpoint.
	checkpoint string
	// savedAt is when the worker first listed that checkpoint; zero if it is that of an earlier run.
	savedAt time.Duration
	// stopCause is why the run was ordered to stop; empty if it was not.
	stopCause string
	// resumedFrom is the checkpoint with which the run was started.
	resumedFrom string
	// expected is the run time that was expected on the worker at the placement; zero for runs that
	// this leader has not placed.
	expected time.Duration
	percent  int
	// load is the tail latency of a serving task in milliseconds, or the number of
	// processor cores that another task uses.
	load   float64
	pacing pacing
	// percentAt is when percent last changed, or when the run was placed or confirmed.
	percentAt time.Duration
	// firstPercent is the first progress that the worker listed, at firstPercentAt. It is above zero
	// if the run resumed from a checkpoint.
	firstPercent   int
	firstPercentAt time.Duration
	// startPending is set while the start is in flight.
	startPending bool
	// confirmed is set once the worker has accepted the start or listed the run, at confirmedAt.
	confirmed   bool
	confirmedAt time.Duration
	// loss is the work that is lost if the run is stopped, in core-seconds, as byLoss computed it in
	// this scheduling cycle.
	loss float64
	// listed is set once the current incarnation of the worker has listed the run.
	listed bool
	// stopSent, stopAcked and stopAckedAt track the stop call; nextStopAt is when it may be
	// retried.
	stopSent    bool
	stopAcked   bool
	stopAckedAt time.Duration
	nextStopAt  time.Duration
}

type task struct {
	id   job.TaskID
	step *step
	// latestRun is the number of the newest run.
	latestRun  int
	done       bool
	started    bool
	failures   int
	checkpoint string
	current    *run
	// copy is the second run, of a task that may have several; nil if there is none.
	copy *run
	// moves counts the moves from slow workers.
	moves int
	// failedEarly is set if the task's last run that failed did so long before it could have been done.
	failedEarly bool
	// interruptions counts the runs that ended before the task was done, under this leader.
	interruptions int
	// notBefore is the earliest time of the next placement.
	notBefore time.Duration
	// failedOn lists the IDs of workers on which the task failed or stalled, and failedAt is when it
	// last failed.
	failedOn []string
	failedAt time.Duration
	// stalls counts the runs that were stopped as stalled.
	stalls int
	// presumed are the runs that were presumed to have ended and whose worker may still list how they
	// ended.
	presumed []*presumedEnd
}

type step struct {
	job        *trackedJob
	occurrence *occurrence
	index      int
	spec       *job.Step
	tasks      []*task
	done       int
	// activeRuns counts the runs of the step's tasks that have not ended.
	activeRuns int
	// copies counts those of them that are the second run of their task.
	copies int
	// latestRun is the number of the gang's newest run, and failures the count of its failed runs.
	latestRun int
	failures  int
	gangEnds  gangEnds
	// gangBreak is why the newest broken run of the gang broke.
	gangBreak gangBreak
	// failedRuns are the numbers of the gang's runs whose failure has been counted, so that further
	// failed members of them do not count.
	failedRuns []int
	// plan is the preemption that frees resources for the step, or nil.
	plan *plan
	// nextPreemptAt is when the step may next try to preempt.
	nextPreemptAt time.Duration
	// readySince is when the step was first found ready: its occurrence is due, and all steps that
	// it depends on are done.
	readySince time.Duration
	ready      bool
	advice     advice
	// expected is the expected run time of a task on a worker of usual speed as of expectedAt, once
	// expectedKnown is set.
	expected      time.Duration
	expectedAt    time.Duration
	expectedKnown bool
	// speeds says how slowdowns affect the step in the scheduling cycle speedsIn; nil if they do not.
	speeds   *speeds
	speedsIn *cycle
	// avoidsUrgentRacks caches Core.avoidsUrgentRacks for one scheduling cycle, avoidsIn.
	avoidsUrgentRacks bool
	avoidsIn          *cycle
	// useless caches Core.uselessRank for one scheduling cycle, rankedIn.
	useless  int
	rankedIn *cycle
	// usualRunTime and usualRunTimeAt cache Core.usualRunTime.
	usualRunTime   time.Duration
	usualRunTimeAt time.Duration
	// evacuationNoted is the change of the evacuated zones for which a note says that the step waits.
	evacuationNoted int
}

func (s *step) name() string { return job.StepName(s.job.spec.ID, s.occurrence.index, s.index) }

type occurrence struct {
	index int
	dueMs int64
	steps []*step
	// readySince is when the occurrence was first found due or, if it has no due time, when its job
	// was accepted.
	readySince time.Duration
	ready      bool
}

type trackedJob struct {
	spec      *job.Job
	cancelled bool
	// end is the job's final state, set once; it is empty before.
	end         job.State
	occurrences []*occurrence
	activeRuns  int
	// seq is the job's position in the order of arrival.
	seq int
	// withinGuarantee is set while the job is within its organisation's guarantee.
	withinGuarantee bool
	// finishTime is the job's finish time in the order of fair queueing.
	finishTime time.Duration
	// work is the estimated work of the job's first occurrence, in core-seconds.
	work float64
}

func (j *trackedJob) cancelledOrEnded() bool { return j.cancelled || j.end != "" }

type worker struct {
	WorkerInfo
	listed bool
	labels map[string]bool
	used   job.Resources
	// urgent is the part of used that belongs to runs of urgent priority, and longRunning that of
	// long-running tasks, which do not end by themselves.
	urgent, longRunning job.Resources
	// reserved is the capacity held for preemption plans that wait for runs to stop.
	reserved job.Resources
	runs     map[*run]bool
	// serving counts the serving runs, which answer requests, and bestEffort the best-effort runs,
	// which use idle CPU.
	serving, bestEffort int
	// runsByTask caches the runs in the order of sortRuns. It is nil after a run was added or removed.
	runsByTask []*run
	// rackIndex is the position of the worker's rack among the names of all racks.
	rackIndex int
	// runsByEnd caches the runs in the order of their expected ends. It is nil after a run was
	// added, removed or stopped; progress reports do not reset it.
	runsByEnd []*run
	// cold is set while the worker is slow after its start.
	cold bool
	// leavesAt is the earliest time at which a draining worker leaves; zero if that is not known.
	leavesAt time.Duration
	// entryRead is set once an entry of the current incarnation has been read. Before that the labels,
	// the capacity and the state are those of the previous one.
	entryRead bool
	// entryClockMs is the worker's clock when it wrote its newest entry.
	entryClockMs int64
	// clockAt is the local time at which the worker's clock was at least ClockMs. Both are taken
	// from the last entry or answer that raised the lower bound of the clock.
	clockAt time.Duration
	// leaseUntilMs is the latest lease end that was sent, by the worker's clock.
	leaseUntilMs int64
	// inheritedUntil is when the last lease expires that this incarnation may have been granted
	// by a former leader, or by calls meant for a previous incarnation.
	inheritedUntil time.Duration
	// epochAccepted is set once the current incarnation has accepted a call with this leader's epoch,
	// and therefore refuses calls of former leaders.
	epochAccepted bool
	// answered is set once the current incarnation has answered a probe of this leader.
	answered bool
	// appliedEnd is the number of the last ended run that was applied to the state, recordedEnd
	// that of the last one in the log, and ackedEnd that of the last one acknowledged to the
	// worker.
	appliedEnd  int64
	recordedEnd int64
	ackedEnd    int64
	probing     bool
	nextProbeAt time.Duration
	// unansweredCalls counts the consecutive calls without an answer, and lastAnswerAt is the
	// time of the last answer.
	unansweredCalls int
	lastAnswerAt    time.Duration
	// pausedUntil is when a worker that refused a start may get new work again.
	pausedUntil time.Duration
	health      health
	trust       trust
	// slow is set while the worker is reported as slow.
	slow bool
	// slowdown is by which factor runs on the worker take longer than on one of usual speed, as of
	// speedAt, and speedClass its class. It is zero before it has been computed.
	slowdown   float64
	speedClass int
	speedAt    time.Duration
	// lateStarts are unanswered starts that the worker may still execute.
	lateStarts []lateStart
	// presumed are the ends of runs on the current incarnation that were presumed and may still be
	// listed.
	presumed []*presumedEnd
	// rackPosition is the position of the worker's rack in the fleet, from 0 to 1. Urgent work
	// and work with checkpoints prefer low values; work that would lose everything when it is
	// stopped prefers high ones.
	rackPosition float64
}

// workerIncarnation is one incarnation of a worker. Each incarnation restarts the
// numbering of its ended runs.
type workerIncarnation struct {
	worker      *worker
	incarnation int64
}

func (w *worker) free() job.Resources {
	return w.Capacity.Minus(w.used).Minus(w.reserved)
}

// transientCapacity returns the capacity of w that is not held by long-running tasks: the most that can
// become free by itself.
func (w *worker) transientCapacity() job.Resources { return w.Capacity.Minus(w.longRunning) }

// usable reports whether w can be given new work in its current state.
func (w *worker) usable(now time.Duration) bool {
	return w.listed && w.entryRead && !w.Draining && now >= w.pausedUntil && !w.unreachable() && !w.health.quarantined(now) && !w.hasAdopted()
}

// hasAdopted reports whether w has adopted runs and has not answered a probe of this leader yet.
func (w *worker) hasAdopted() bool {
	if w.answered || w.inheritedUntil == 0 {
		return false
	}
	for r := range w.runs {
		if r.phase == adopted {
			return true
		}
	}
	return false
}

// clockAtLeast returns a lower bound of the worker's clock at the local time now.
func (w *worker) clockAtLeast(now time.Duration) int64 {
	return w.ClockMs + int64(float64((now-w.clockAt).Milliseconds())*minClockRate)
}

// leasesExpireAt returns when every lease on w, of this leader or inherited, has certainly expired.
func (w *worker) leasesExpireAt() time.Duration {
	left := float64(w.leaseUntilMs-w.ClockMs) / minClockRate
	at := w.clockAt + time.Duration(left*float64(time.Millisecond)) + leaseExpiryMargin
	return max(at, w.inheritedUntil)
}
