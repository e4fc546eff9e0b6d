package core

import "time"

// Event is something that happened outside the core.
type Event interface{ isEvent() }

// ConfigChanged installs an accepted configuration. A generation at or below the
// current one is ignored.
type ConfigChanged struct{ Config *Config }

// WorkerHealth is what is known of a worker.
type WorkerHealth string

// The states of a worker as the core sees it.
const (
	// WorkerLive takes new tasks.
	WorkerLive WorkerHealth = "live"
	// WorkerLeaving finishes its tasks and takes no new ones.
	WorkerLeaving WorkerHealth = "leaving"
	// WorkerUnreachable has not answered lately; its tasks may still run.
	WorkerUnreachable WorkerHealth = "unreachable"
	// WorkerGone is known to run nothing: its leases have lapsed by its own clock.
	WorkerGone WorkerHealth = "gone"
)

// WorkerChanged reports a worker's health.
type WorkerChanged struct {
	Worker WorkerID
	Health WorkerHealth
}

// JobSubmitted admits a job. A known ID joins the job that is already there.
type JobSubmitted struct{ Job Job }

// JobRestored brings back a job read from the log by a new holder. Placed is its
// last recorded placement; it is empty when none was recorded.
type JobRestored struct {
	Job    Job
	Placed []Placement
}

// JobCancelled asks for a job's end.
type JobCancelled struct{ Job JobID }

// CallResult is what became of a call to a worker.
type CallResult int

// The results of a call to a worker.
const (
	// CallDone took effect.
	CallDone CallResult = iota
	// CallRefused took no effect and never will.
	CallRefused
	// CallUnknown had no answer and may have taken effect or may yet do so.
	CallUnknown
)

// RefusalReason says why a worker refused.
type RefusalReason string

// Reasons for a worker's refusal.
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

// StopDone answers a Stop, Preempt or Release action: after CallDone or CallRefused the
// task does not run and can never start. Lost is the work that must be repeated.
type StopDone struct {
	Task   TaskRef
	Worker WorkerID
	Result CallResult
	// Checkpointed is true when the task's progress was kept.
	Checkpointed bool
	Lost         time.Duration
}

// TaskEnded reports that a task ran to its end.
type TaskEnded struct {
	Task   TaskRef
	Worker WorkerID
	OK     bool
	Output []byte
	// Ran is how long the task ran.
	Ran time.Duration
}

// TaskLapsed reports that a worker ended a task because its lease lapsed.
type TaskLapsed struct {
	Task   TaskRef
	Worker WorkerID
	// Started is false when only a reservation lapsed.
	Started bool
}

// TasksFound lists all that a worker holds under the zone's lease, as read by a new
// holder. Running tasks are adopted, not restarted.
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
	// Job describes the task's job, as it was passed with the reservation.
	Job Job
}

// UsageReported is a worker's lagging report on a running task.
type UsageReported struct {
	Task TaskRef
	// Ran is the time run, as of Lag ago.
	Ran time.Duration
	Lag time.Duration
}

// PlacementRecorded answers a RecordPlacement action. OK is false when the log
// refused it for certain; an unknown result is read back before this event.
type PlacementRecorded struct {
	Job     JobID
	Attempt int
	OK      bool
}

// Tick lets time pass.
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
func (TaskLapsed) isEvent()        {}
func (TasksFound) isEvent()        {}
func (UsageReported) isEvent()     {}
func (PlacementRecorded) isEvent() {}
func (Tick) isEvent()              {}
