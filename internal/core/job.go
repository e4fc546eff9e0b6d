package core

import (
	"time"

	"agatewinch/internal/errkind"
)

// job is the scheduling state of a job, with its current attempt.
type job struct {
	Job
	class   Class
	org     *org
	caller  *caller
	seq     uint64
	arrived Instant
	state   JobState
	attempt int
	tasks   []*task
	// outcome is the result to report once every task is confirmed gone.
	outcome *Outcome
	// earlierStart says whether a task of an earlier attempt started.
	earlierStart startStatus
	// fullyStarted is true once all tasks of an attempt started; Timeout then no longer applies.
	fullyStarted bool
	// resume is true when the next start continues from a checkpoint.
	resume bool
	// recorded is true when the placement of the current attempt is recorded in the log.
	recorded bool
	retries  int
	// losses counts the attempts that ended early after a task may have started, other
	// than by an eviction.
	losses int
	// evicted is true from an eviction until the evicted attempt is resolved.
	evicted bool
	// failures counts the failed tasks of all attempts.
	failures int
	// checkedGeneration is the configuration generation for which neverFitsReason was last evaluated.
	checkedGeneration Generation
	// failedOn lists the workers on which a task of the job failed.
	failedOn []WorkerID
	// restoring is true until it is decided whether the tasks that a former leader placed for the
	// job are adopted or stopped.
	restoring bool
	// placementKnown is true when a restored job has a recorded placement.
	placementKnown bool
	// partial is true when some parts of a restored job were never found.
	partial bool
	// reportsComplete is true once every worker that may hold a task of the job has
	// listed its tasks.
	reportsComplete bool
	// decisionDue is true once the wait for reports is over: a restored job is then
	// resolved with the tasks found so far.
	decisionDue bool
	// orphan is true for a job known only from tasks found on workers: it was neither
	// restored nor submitted to this leader yet.
	orphan bool
	ended  bool
	queued *entry
	claim  *claim
	// callerCharge is the usage charged to the caller in advance while the job is placed.
	callerCharge float64
	isCharged    bool
	placedAt     Instant
	// chargedResources holds the resources charged to the organisation while the job is placed.
	chargedResources resources
	// urgentUnits is what the placed job counts against the urgent quota, in accelerators.
	urgentUnits float64
	// guaranteeMissed is true once a missed guarantee of the job was reported.
	guaranteeMissed bool
	// startedAt is when the starts of the current attempt were sent, or the job was adopted.
	startedAt Instant
	reason    string
	shortages []Shortage
}

// startStatus says whether a task has started, as far as is known. The values are ordered, so
// that the maximum says whether any of several tasks has started.
type startStatus int

const (
	startNo startStatus = iota
	startUnknown
	startYes
)

func (s startStatus) ran() errkind.Ran {
	switch s {
	case startNo:
		return errkind.RanNo
	case startYes:
		return errkind.RanYes
	default:
		return errkind.RanUnknown
	}
}

type taskState int

const (
	taskReserving taskState = iota
	taskReserved
	taskStarting
	taskRunning
	taskStopping
	// taskUnreported is a task of a recorded placement that its worker has not listed.
	taskUnreported
	// taskDone is a task that succeeded.
	taskDone
	// taskGone is a task that is confirmed not to run and can never start.
	taskGone
)

// task is one run of one part of a job on one worker.
type task struct {
	Placement
	job     *job
	shape   Shape
	state   taskState
	started startStatus
	// detached is true when the outcome of the job no longer depends on the task.
	detached     bool
	checkpointed bool
	// reported is true once the worker has listed its tasks or is known to run none.
	reported  bool
	output    []byte
	startedAt Instant
	ran       time.Duration
	stopKind  stopKind
	stopTries int
	stopSince Instant
	// timerStamp identifies the pending call or stop timer; timers with another stamp are void.
	timerStamp int
}

// held reports whether the worker may hold the task.
func (t *task) held() bool { return t.state != taskDone && t.state != taskGone }

// taskKey distinguishes placements of the same TaskRef on different workers.
type taskKey struct {
	ref    TaskRef
	worker WorkerID
}

func (t *task) key() taskKey { return taskKey{t.Task, t.Worker} }

// preemptible reports whether the job can be preempted and run again: it can be
// checkpointed, or it is idempotent.
func (j *job) preemptible() bool { return j.Idempotent || j.class.Checkpoint }

// everStarted says whether any task of any attempt started.
func (j *job) everStarted() startStatus {
	started := j.earlierStart
	for _, t := range j.tasks {
		started = max(started, t.started)
	}
	return started
}

func (j *job) held() bool {
	for _, t := range j.tasks {
		if t.held() {
			return true
		}
	}
	return false
}

// allTasksIn reports whether the tasks of all parts of the job are known and in state s.
func (j *job) allTasksIn(s taskState) bool {
	if j.partial {
		return false
	}
	for _, t := range j.tasks {
		if t.state != s {
			return false
		}
	}
	return len(j.tasks) > 0
}

func (j *job) hasFailedOn(id WorkerID) bool {
	for _, f := range j.failedOn {
		if f == id {
			return true
		}
	}
	return false
}
