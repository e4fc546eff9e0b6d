package core

import "time"

// Event is an input of the core.
type Event interface{ isEvent() }

// ConfigChanged installs an accepted configuration. A generation at or below the
// current one is ignored.
type ConfigChanged struct{ Config *Config }

// WorkerHealth is the last known state of a worker.
type WorkerHealth string

// The states of a worker.
const (
	// WorkerLive takes new tasks.
	WorkerLive WorkerHealth = "live"
	// WorkerLeaving finishes its tasks and takes no new ones.
	WorkerLeaving WorkerHealth = "leaving"
	// WorkerUnreachable does not answer; its tasks may still run.
	WorkerUnreachable WorkerHealth = "unreachable"
	// WorkerGone is known to run no tasks: its lease has expired by its own clock too, or it has
	// restarted.
	WorkerGone WorkerHealth = "gone"
)

// WorkerChanged reports the health of a worker.
type WorkerChanged struct {
	Worker WorkerID
	Health WorkerHealth
}

// JobSubmitted requests the admission of a job. A submission with the ID of a known job
// refers to that job.
type JobSubmitted struct{ Job Job }

// JobRestored restores a job that a new leader has read from the log. Placed is its
// last recorded placement, or empty when none was recorded.
type JobRestored struct {
	Job    Job
	Placed []Placement
}

// JobCancelled requests the cancellation of a job.
type JobCancelled struct{ Job JobID }

// CallResult is the result of a call to a worker.
type CallResult int

// The results of a call to a worker.
const (
	// CallDone means that the call took effect.
	CallDone CallResult = iota
	// CallRefused means that the call had no effect and never will have any.
	CallRefused
	// CallUnknown means that no answer was received: the call may have taken effect, or may
	// do so later.
	CallUnknown
)

// RefusalReason says why a worker refused a call.
type RefusalReason string

// The reasons for which a worker refuses a call.
const (
	RefusedBusy      RefusalReason = "busy"
	RefusedLeaving   RefusalReason = "leaving"
	RefusedLowTerm   RefusalReason = "low_term"
	RefusedUnknown   RefusalReason = "unknown_task"
	RefusedThrottled RefusalReason = "throttled"
)

// ReserveDone answers a Reserve action.
type ReserveDone struct {
	Task   TaskRef
	Worker WorkerID
	Result CallResult
	Reason RefusalReason
}

// StartDone answers a Start action.
type StartDone struct {
	Task   TaskRef
	Worker WorkerID
	Result CallResult
	Reason RefusalReason
}

// StopDone answers a Stop, Preempt or Release action. After CallDone or CallRefused the
// task does not run and can never start.
type StopDone struct {
	Task   TaskRef
	Worker WorkerID
	Result CallResult
	// Checkpointed is true when the progress of the task was saved.
	Checkpointed bool
	// Lost is the run time that must be repeated.
	Lost time.Duration
}

// TaskEnded reports that a task completed; OK is false when it failed.
type TaskEnded struct {
	Task   TaskRef
	Worker WorkerID
	OK     bool
	Output []byte
	// Ran is the run time of the task.
	Ran time.Duration
}

// TaskExpired reports that a worker dropped a task or reservation because its lease expired.
type TaskExpired struct {
	Task   TaskRef
	Worker WorkerID
	// Started is false when only a reservation expired.
	Started bool
}

// TasksFound lists all tasks and reservations that a worker holds under the zone's
// lease. A new leader requests the list from every worker, and again from a worker that left a
// renewal unanswered or restarted. Running tasks are adopted, not restarted.
type TasksFound struct {
	Worker WorkerID
	Tasks  []FoundTask
}

// FoundTask is one task or reservation that a worker holds.
type FoundTask struct {
	Task TaskRef
	Cell Cell
	// Started is false for a reservation.
	Started bool
	// Job is the job of the task, as it was sent with the reservation.
	Job Job
}

// UsageReported is a worker's delayed report on a running task.
type UsageReported struct {
	Task TaskRef
	// Ran is the run time as of Lag ago.
	Ran time.Duration
	Lag time.Duration
}

// PlacementRecorded answers a RecordPlacement action. OK is false when the record is
// certainly not in the log: an unknown result must be resolved by reading the log
// before this event is sent.
type PlacementRecorded struct {
	Job     JobID
	Attempt int
	OK      bool
}

// Tick advances the time without any other change.
type Tick struct{}

func (ConfigChanged) isEvent()     {}
func (WorkerChanged) isEvent()     {}
func (JobSubmitted) isEvent()      {}
func (JobRestored) isEvent()       {}
func (JobCancelled) isEvent()      {}
func (ReserveDone) isEvent()       {}
func (StartDone) isEvent()         {}
func (StopDone) isEvent()          {}
func (TaskEnded) isEvent()         {}
func (TaskExpired) isEvent()       {}
func (TasksFound) isEvent()        {}
func (UsageReported) isEvent()     {}
func (PlacementRecorded) isEvent() {}
func (Tick) isEvent()              {}
