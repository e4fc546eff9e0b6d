// Package dispatch decides which task runs on which worker. It is a state machine
// without I/O: events and the time go in, records and orders come out. An order that
// starts a run goes out only after the record of its placement is in the log.
package dispatch

import (
	"time"

	"agatewinch/internal/core/job"
)

// Now is the time of an event.
type Now struct {
	// Mono is the steady time since the process began.
	Mono time.Duration
	// UnixMs is the time of day.
	UnixMs int64
}

// Settings are the bounds that the decider keeps to.
type Settings struct {
	// Lease is how long a worker goes on without hearing from the decider.
	Lease time.Duration
	// MaxLease is the longest lease that a worker grants, whoever asks.
	MaxLease time.Duration
	// HoldWait is how long a look at a worker waits for an end.
	HoldWait time.Duration
	// UnheardLease bounds how long a former decider may go on renewing leases after
	// its successor took over; it is zero if the former one is known to have stopped.
	UnheardLease time.Duration
	// SpreadFactor is how much slower a task is away from its rack.
	SpreadFactor float64
	// StopTime is how long a stop takes at most.
	StopTime time.Duration
	// Beat is how often a worker writes its entry.
	Beat time.Duration
	// UpkeepTime is how long a machine's upkeep takes.
	UpkeepTime time.Duration
}

const (
	// slowestClock is the rate of the slowest worker's clock, by the platform's contract.
	slowestClock = 0.98
	// lapseMargin covers delays between the end of a lease and its effect.
	lapseMargin = 300 * time.Millisecond
	// holdRetry is the pause after a look that was not answered; a third of the
	// shortest lease leaves several tries.
	holdRetry = 300 * time.Millisecond
	// startLease is what a start leases for at least; the look that follows its answer
	// leases for longer. A start that stays unanswered holds its task up for no more. It
	// covers what a worker's clock may be ahead of what is known of it.
	startLease = 3 * time.Second
	// stopRetry is the pause after a stop that was not answered.
	stopRetry = 250 * time.Millisecond
	// unhealthyPause keeps work off a worker that refused a start.
	unhealthyPause = 2 * time.Second
	// placementPause keeps a task from being placed again at once after its run ended
	// without being at work.
	placementPause = 300 * time.Millisecond
	// maxListedEnds is how many ends a worker lists at a time.
	maxListedEnds = 500
)

// inheritedLease is how long after a takeover a lease that a former decider gave may last,
// on any worker: leases hold for a worker, not for a run, and no order makes them shorter.
func (s Settings) inheritedLease() time.Duration {
	return s.UnheardLease + s.longestLease()
}

// longestLease is how long a lease may last that somebody gives now. Its end is told by a
// worker's clock: one that was meant for a former life is granted for as long as may be.
func (s Settings) longestLease() time.Duration {
	return time.Duration(float64(max(s.Lease, s.MaxLease))/slowestClock) + lapseMargin
}

// WorkerInfo is what a worker says of itself.
type WorkerInfo struct {
	ID       string
	Address  string
	Service  string
	Zone     string
	Rack     string
	Labels   []string
	Capacity job.Resources
	// Born tells the lives of a worker apart, in Unix milliseconds.
	Born     int64
	Draining bool
	// ClockMs is the worker's steady clock when it wrote the entry.
	ClockMs int64
}

type phase uint8

// The phases of a run.
const (
	// recording runs wait for the record of their placement.
	recording phase = iota
	// starting runs have an order on its way.
	starting
	// running runs have been seen at work.
	running
	// stopping runs have been told to stop.
	stopping
	// adopted runs stand in the log and have not been heard of by this decider.
	adopted
)

type run struct {
	task   *task
	number int
	worker *worker
	phase  phase
	// inherited runs were ordered by a former decider.
	inherited bool
	need      job.Resources
	// began is when the run was placed, or adopted.
	began time.Duration
	// saved is the newest checkpoint that is known.
	saved   string
	percent int
	// load is the tail of a serving task in milliseconds, or the processors in use.
	load   float64
	pacing pacing
	// percentAt is when percent last grew.
	percentAt time.Duration
	// seen says that the run was listed or its start was answered.
	seen   bool
	seenAt time.Duration
	// listed says that the worker has listed the run in its present life.
	listed bool
	// stopSent, stopAcked and stopAckedAt follow the order to stop.
	stopSent    bool
	stopAcked   bool
	stopAckedAt time.Duration
	stopNext    time.Duration
}

type task struct {
	id   job.TaskID
	step *step
	// number is the newest run's number.
	number int
	done   bool
	began  bool
	fails  int
	saved  string
	cur    *run
	// notBefore holds the next placement back.
	notBefore time.Duration
	// failedOn lists workers on which the task failed.
	failedOn []string
}

type step struct {
	job   *jobRun
	occ   *occurrence
	index int
	spec  *job.Step
	tasks []*task
	done  int
	// live counts the runs of the step's tasks.
	live int
	// number is the newest run of the gang, and fails its failed runs.
	number int
	fails  int
	// failedRun is the gang run whose failure has been counted.
	failedRun int
	// plan holds the places that a preemption is freeing.
	plan *plan
	// preemptAt is when the step may look again for runs to stop.
	preemptAt time.Duration
	// readySince is when the step's turn came.
	readySince time.Duration
	ready      bool
	advice     advice
}

func (s *step) name() string { return job.StepName(s.job.spec.ID, s.occ.index, s.index) }

type occurrence struct {
	index int
	dueMs int64
	steps []*step
	// readySince is when the occurrence was due, or its job accepted.
	readySince time.Duration
	ready      bool
}

type jobRun struct {
	spec      *job.Job
	cancelled bool
	// end is the state that the job ends in, set once.
	end  job.State
	occ  []*occurrence
	live int
	// seq is the order in which the jobs came.
	seq int
	// covered says that the organisation's guarantee holds for the job.
	covered bool
	// work is the job's core-seconds by its estimates.
	work float64
}

func (j *jobRun) closed() bool { return j.cancelled || j.end != "" }

type worker struct {
	WorkerInfo
	listed bool
	labels map[string]bool
	used   job.Resources
	// urgent is the part of used that runs of the first priority take.
	urgent job.Resources
	// reserved is held for plans that wait for room.
	reserved job.Resources
	runs     map[*run]bool
	// serving and filling count the runs that serve callers of their own and that fill.
	serving, filling int
	// ends holds the runs in the order in which they are expected to end, until the runs
	// change.
	ends []*run
	// entryClockMs is the worker's clock as it wrote its newest entry.
	entryClockMs int64
	// clockAt is when the worker's clock was at least clockMs.
	clockAt time.Duration
	// leaseMs is the latest lease end that was sent, by the worker's clock.
	leaseMs int64
	// inheritedUntil bounds the leases that a former decider may have given to this life.
	inheritedUntil time.Duration
	// fenced says that the worker has taken an order of this decider in its present life, and
	// thus takes none of a former one.
	fenced bool
	// heard says that the worker answered this decider in its present life.
	heard bool
	// noted is the last end that is recorded, acked the last that the worker was told
	// of; settled the last that was taken into the state.
	settled int64
	noted   int64
	acked   int64
	holding bool
	holdAt  time.Duration
	// misses counts the calls in a row that were not answered, heardAt is the last answer.
	misses  int
	heardAt time.Duration
	pauseTo time.Duration
	health  health
	// lateStarts are starts that may yet be carried out.
	lateStarts []lateStart
	// side is where the worker stands between urgent work and work that must not stop.
	side float64
}

// life is one life of a worker; numbers of ends begin anew with each.
type life struct {
	worker *worker
	born   int64
}

func (w *worker) free() job.Resources {
	return w.Capacity.Minus(w.used).Minus(w.reserved)
}

// usable reports whether new work may be placed on w.
func (w *worker) usable(now time.Duration) bool {
	return w.listed && !w.Draining && now >= w.pauseTo && !w.unreachable() && !w.health.quarantined(now) && !w.hasAdopted()
}

func (w *worker) hasAdopted() bool {
	if w.heard || w.inheritedUntil == 0 {
		return false
	}
	for r := range w.runs {
		if r.phase == adopted {
			return true
		}
	}
	return false
}

// clockAtLeast returns a lower bound of the worker's clock.
func (w *worker) clockAtLeast(now time.Duration) int64 {
	return w.ClockMs + int64(float64((now-w.clockAt).Milliseconds())*slowestClock)
}

// lapsedAt returns when every lease that this decider gave has surely ended.
func (w *worker) lapsedAt() time.Duration {
	left := float64(w.leaseMs-w.ClockMs) / slowestClock
	at := w.clockAt + time.Duration(left*float64(time.Millisecond)) + lapseMargin
	return max(at, w.inheritedUntil)
}
