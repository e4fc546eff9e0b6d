package core

import (
	"time"

	"agatewinch/internal/errkind"
)

// job is a job with its present attempt.
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
	// outcome is the answer that is given once every task is proved gone.
	outcome *Outcome
	// ever says whether a task of an earlier attempt started.
	ever began
	// startedWhole is true once all tasks of an attempt ran; the deadline then no longer counts.
	startedWhole bool
	// resume is true when the next start continues from a checkpoint.
	resume bool
	// recorded is true when this attempt's placement stands in the log.
	recorded bool
	retries  int
	// losses counts the attempts that were lost after they may have started, other than
	// by an eviction.
	losses  int
	evicted bool
	// failures counts the attempts that ended with a failed task.
	failures int
	// checked is the configuration's generation for which the job is known to fit.
	checked Generation
	// failedOn lists the workers on which a task of the job failed.
	failedOn []WorkerID
	// restoring is true until the tasks of a job of an earlier holder are known.
	restoring bool
	placed    bool
	// partial is true when some parts of a restored job were never found.
	partial  bool
	settling bool
	due      bool
	// orphan is true for tasks found on workers whose job nobody has named yet.
	orphan bool
	ended  bool
	queued *entry
	claim  *claim
	// charged is what the caller is counted with while the job is placed.
	charged   float64
	isCharged bool
	placedAt  Instant
	holding   resources
	units     float64
	missed    bool
	began     Instant
	reason    string
	short     []Shortage
}

// began says whether a task has started.
type began int

const (
	beganNo began = iota
	beganMaybe
	beganYes
)

func (b began) ran() errkind.Ran {
	switch b {
	case beganNo:
		return errkind.RanNo
	case beganYes:
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
	// taskUnheard is a task of a recorded placement whose worker has not answered yet.
	taskUnheard
	taskDone
	taskGone
)

// task is one start of one part of a job on one worker.
type task struct {
	Placement
	job   *job
	shape Shape
	state taskState
	began began
	// detached is true when the job no longer counts on the task.
	detached     bool
	checkpointed bool
	heard        bool
	output       []byte
	startedAt    Instant
	ran          time.Duration
	stopKind     stopKind
	stopTries    int
	stopSince    Instant
	stamp        int
}

// held reports whether the worker may hold the task.
func (t *task) held() bool { return t.state != taskDone && t.state != taskGone }

// taskKey tells two placements of one TaskRef on different workers apart.
type taskKey struct {
	ref    TaskRef
	worker WorkerID
}

func (t *task) key() taskKey { return taskKey{t.Task, t.Worker} }

// stoppable reports whether the job can be ended and run again: it keeps its progress
// in a checkpoint, or it may run twice.
func (j *job) stoppable() bool { return j.Idempotent || j.class.Checkpoint }

// beganNow says whether any task of any attempt started.
func (j *job) beganNow() began {
	b := j.ever
	for _, t := range j.tasks {
		b = max(b, t.began)
	}
	return b
}

func (j *job) held() bool {
	for _, t := range j.tasks {
		if t.held() {
			return true
		}
	}
	return false
}

func (j *job) all(s taskState) bool {
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
