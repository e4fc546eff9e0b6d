// Package core decides what runs where in one availability zone. It is a
// deterministic state machine: Step(now, event) returns the actions to carry out.
// It does no I/O, reads no clock and uses no random source, so that a recorded list
// of events replays to the same actions.
package core

import (
	"time"

	"agatewinch/internal/errkind"
)

// Instant is a point on the caller's monotonic clock, as time since its start.
// Instants of two processes are never compared.
type Instant time.Duration

// Add returns the instant d later.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Sub returns the time from other to i.
func (i Instant) Sub(other Instant) time.Duration { return time.Duration(i - other) }

// Identifiers. All are opaque to the core and unique within the configuration;
// a JobID is unique for an organisation and its request ID.
type (
	OrgID     string
	ClassName string
	CallerID  string
	RequestID string
	JobID     string
	WorkerID  string
	RackID    string
	ZoneID    string
)

// Term numbers the holders of a zone's active role; it only grows.
type Term uint64

// Generation numbers accepted configurations; it only grows.
type Generation uint64

// MakeJobID returns the ID of the job that org submitted as request. The same
// request ID always names the same job, so a retry joins the first submission.
func MakeJobID(org OrgID, request RequestID) JobID {
	return JobID(string(org) + ":" + string(request))
}

// Shape is what a job needs: Cells cells, each on one worker, or on whole workers
// of one rack when CellSize is larger than a worker.
type Shape struct {
	// Cells is the number of cells, at least 1.
	Cells int `json:"cells"`
	// CellSize is the number of adjacent accelerators in a cell; 0 asks for none.
	CellSize int `json:"cell_size"`
	// CPU is processor cores for each task.
	CPU int `json:"cpu"`
	// MemoryBytes is memory for each task.
	MemoryBytes int64 `json:"memory_bytes"`
}

// Accelerators returns the total number of accelerators in s.
func (s Shape) Accelerators() int { return s.Cells * s.CellSize }

// Job is a caller's unit of work; it runs whole or not at all.
type Job struct {
	ID       JobID
	Request  RequestID
	Org      OrgID
	Caller   CallerID
	Class    ClassName
	Shape    Shape
	Declared time.Duration
	// Timeout bounds the wait for a start, from admission; zero means none.
	Timeout    time.Duration
	Idempotent bool
	// Logged is true when the job's admission stands in the log.
	Logged bool
	// Waiting is true when a caller holds a connection open for the answer.
	Waiting bool
	// Payload is passed to every task unread.
	Payload []byte
}

// Cell is a set of accelerators on one worker; bit i is accelerator i.
type Cell uint64

// TaskRef names one start of one part of a job. Attempt grows with each placement
// of the job, so that a late answer for an earlier placement is told apart.
type TaskRef struct {
	Job     JobID `json:"job"`
	Attempt int   `json:"attempt"`
	Index   int   `json:"index"`
}

// Placement is where one task goes.
type Placement struct {
	Task   TaskRef
	Worker WorkerID
	Cell   Cell
	// Resume is true when the task is to continue from a checkpoint.
	Resume bool `json:",omitempty"`
}

// JobState is a job's place in its life cycle.
type JobState string

// The states of a job, in order.
const (
	Queued    JobState = "queued"
	Placing   JobState = "placing"
	Running   JobState = "running"
	Stopping  JobState = "stopping"
	Succeeded JobState = "succeeded"
	Failed    JobState = "failed"
)

// Ended reports whether s is final.
func (s JobState) Ended() bool { return s == Succeeded || s == Failed }

// TaskOutput is what one task of a succeeded job returned.
type TaskOutput struct {
	Worker WorkerID `json:"worker"`
	Output []byte   `json:"output"`
}

// Outcome is the final answer to a job.
type Outcome struct {
	State JobState
	// Kind is the error kind of a failed job.
	Kind errkind.Kind
	// Ran says whether any task started; for a failed job it may differ from the
	// table's row where the kind leaves it open.
	Ran     errkind.Ran
	Message string
	// Outputs holds one entry for each task of a succeeded job, in task order.
	Outputs []TaskOutput
}

// Explanation says why a job is where it is.
type Explanation struct {
	Job   JobID    `json:"job"`
	State JobState `json:"state"`
	// Position counts the waiting jobs considered before this one.
	Position int `json:"position"`
	// Reason is the result of the core's last attempt to place the job.
	Reason string `json:"reason"`
	// Shortages name the resource that was short, by worker or rack.
	Shortages []Shortage `json:"shortages,omitempty"`
}

// Shortage is a resource that was short in one place.
type Shortage struct {
	Where    string `json:"where"`
	Resource string `json:"resource"`
	Free     int64  `json:"free"`
	Needed   int64  `json:"needed"`
}
