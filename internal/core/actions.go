package core

import "agatewinch/internal/errkind"

// Action is an output of the core that the scheduler executes. The actions of a step
// are executed in order. Calls to the same worker keep their order; calls to
// different workers may overlap.
type Action interface{ isAction() }

// RecordPlacement writes the placement of a non-idempotent job to the log, before any of
// its reservations is sent. Answered by PlacementRecorded.
type RecordPlacement struct {
	Job        JobID
	Attempt    int
	Placements []Placement
}

// Reserve asks a worker to hold a cell for a task. Answered by ReserveDone.
type Reserve struct {
	Placement Placement
	Job       Job
}

// Start asks a worker to start a reserved task. Answered by StartDone.
type Start struct {
	Task   TaskRef
	Worker WorkerID
	// Resume is true when the task continues from a checkpoint.
	Resume bool
	// Members is the number of tasks of the attempt that start together.
	Members int
}

// Release cancels a reservation. Answered by StopDone.
type Release struct {
	Task   TaskRef
	Worker WorkerID
}

// Stop stops a task without saving its progress. Answered by StopDone.
type Stop struct {
	Task   TaskRef
	Worker WorkerID
}

// Preempt checkpoints a task and then stops it. Answered by StopDone.
type Preempt struct {
	Task   TaskRef
	Worker WorkerID
}

// JobRefused refuses a submission.
type JobRefused struct {
	Job  JobID
	Kind errkind.Kind
	// Message gives the reason, with the resource that is insufficient if there is one.
	Message string
	// RetryAfterSeconds is the time after which to retry; zero means that a retry is useless.
	RetryAfterSeconds float64
}

// JobStarted reports that all tasks of a job have started.
type JobStarted struct {
	Job     JobID
	Workers []WorkerID
}

// JobEnded reports the final outcome of a job.
type JobEnded struct {
	Job     JobID
	Outcome Outcome
}

// Note reports a scheduling decision for operators.
type Note struct {
	Code   NoteCode
	Job    JobID
	Worker WorkerID
	// Org is the organisation that the decision concerns, if there is one.
	Org OrgID
}

// NoteCode identifies the kind of a decision reported by Note.
type NoteCode string

// The decisions reported by Note.
const (
	// NoteReclaim reports a job evicted so that an owner gets its guaranteed cells.
	NoteReclaim NoteCode = "reclaim"
	// NoteQuarantined reports a worker that gets no new tasks for some time.
	NoteQuarantined NoteCode = "worker_quarantined"
	// NoteQuarantineEnded reports the end of a quarantine: the worker takes tasks again.
	NoteQuarantineEnded NoteCode = "worker_probed"
	// NoteGangBroken reports a lost task of a gang, whose other tasks are stopped.
	NoteGangBroken NoteCode = "gang_broken"
	// NoteMoved reports a job evicted to be placed elsewhere, so that the head job gets its cells.
	NoteMoved NoteCode = "task_moved"
	// NoteYielded reports a job evicted for a job of a class with a higher weight.
	NoteYielded NoteCode = "task_yielded"
	// NoteGuaranteeMissed reports a job within the guarantee of its organisation for which no
	// cells could be reclaimed.
	NoteGuaranteeMissed NoteCode = "guarantee_missed"
	// NoteAdopted reports a restored job that a new leader continues.
	NoteAdopted NoteCode = "task_adopted"
	// NoteOrphan reports a found task that is stopped because no job's outcome depends on it.
	NoteOrphan NoteCode = "orphan_stopped"
	// NoteHeadReservation reports a job that became the head job, with cells reserved for it.
	NoteHeadReservation NoteCode = "head_reservation"
)

func (RecordPlacement) isAction() {}
func (Reserve) isAction()         {}
func (Start) isAction()           {}
func (Release) isAction()         {}
func (Stop) isAction()            {}
func (Preempt) isAction()         {}
func (JobRefused) isAction()      {}
func (JobStarted) isAction()      {}
func (JobEnded) isAction()        {}
func (Note) isAction()            {}
