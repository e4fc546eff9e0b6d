// Package core schedules the jobs of one availability zone. It is a deterministic
// state machine: Step(now, event) returns the actions to execute. It does no I/O,
// reads no clock and uses no random source, so that replaying a recorded sequence of
// events yields the same actions. Package scheduler runs it.
//
// An attempt is one placement of a whole job, and a task is the run of one part of the job in
// one attempt. The terms of package dispatch, the separate core of package entry, differ: there
// the part is a task and its execution a run.
package core

import (
	"time"

	"agatewinch/internal/errkind"
)

// Instant is a reading of the scheduler's monotonic clock, as the time since its start.
// Instants of different processes are not comparable.
type Instant time.Duration

// Add returns the instant i+d.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Sub returns the duration i-other.
func (i Instant) Sub(other Instant) time.Duration { return time.Duration(i - other) }

// Identifiers are opaque to the core. Those of configured objects are unique within the
// configuration; a JobID is unique for each pair of organisation and request ID.
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

// Term numbers the successive leaders of a zone; it only grows.
type Term uint64

// Generation numbers accepted configurations; it only grows.
type Generation uint64

// MakeJobID returns the ID of the job that org submitted as request. It is
// deterministic, so a retried submission refers to the same job, and unique, because
// neither part contains a colon.
func MakeJobID(org OrgID, request RequestID) JobID {
	return JobID(string(org) + ":" + string(request))
}

// Shape is the resource requirement of a job: a number of cells, each on one worker,
// or on whole workers of one rack when CellSize exceeds the accelerators of the widest
// worker.
type Shape struct {
	// Cells is the number of cells, at least 1.
	Cells int `json:"cells"`
	// CellSize is the number of adjacent accelerators in a cell; 0 requests none.
	CellSize int `json:"cell_size"`
	// CPU is the number of processor cores for each task.
	CPU int `json:"cpu"`
	// MemoryBytes is the memory for each task.
	MemoryBytes int64 `json:"memory_bytes"`
}

// Accelerators returns the total number of accelerators in s.
func (s Shape) Accelerators() int { return s.Cells * s.CellSize }

// Job is a unit of work submitted by a caller. Its tasks form a gang: they are
// started together or not at all.
type Job struct {
	ID      JobID
	Request RequestID
	Org     OrgID
	Caller  CallerID
	Class   ClassName
	Shape   Shape
	// Declared is the run time that the caller expects; zero means unknown.
	Declared time.Duration
	// Timeout bounds the time from admission to the start; zero means no bound.
	Timeout    time.Duration
	Idempotent bool
	// Logged is true when the job's admission is recorded in the log.
	Logged bool
	// Waiting is true when a caller holds a connection open for the answer.
	Waiting bool
	// Payload is passed to every task uninterpreted.
	Payload []byte
}

// Cell is a set of accelerators on one worker; bit i is accelerator i.
type Cell uint64

// TaskRef identifies one run of one part of a job. Attempt grows with each placement
// of the job, so that a late answer for an earlier placement can be recognised.
type TaskRef struct {
	Job     JobID `json:"job"`
	Attempt int   `json:"attempt"`
	Index   int   `json:"index"`
}

// Placement assigns one task to a cell of a worker.
type Placement struct {
	Task   TaskRef
	Worker WorkerID
	Cell   Cell
	// Resume is true when the task continues from a checkpoint.
	Resume bool `json:",omitempty"`
}

// JobState is a state in the life cycle of a job.
type JobState string

// The states of a job, in the order of its life cycle.
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

// TaskOutput is the result of one task of a succeeded job.
type TaskOutput struct {
	Worker WorkerID `json:"worker"`
	Output []byte   `json:"output"`
}

// Outcome is the final result of a job.
type Outcome struct {
	State JobState
	// Kind is the error kind of a failed job.
	Kind errkind.Kind
	// Ran says whether any task started. For a failed job it may be more specific than the
	// value of the errkind table for Kind.
	Ran     errkind.Ran
	Message string
	// Outputs holds one entry for each task of a succeeded job, in task order.
	Outputs []TaskOutput
}

// Explanation describes the state of a job and the reason for it.
type Explanation struct {
	Job   JobID    `json:"job"`
	State JobState `json:"state"`
	// Position counts the jobs of the same organisation and urgency that wait and
	// arrived before this one.
	Position int `json:"position"`
	// Reason says why the job is in this state, such as why it was not placed.
	Reason string `json:"reason"`
	// Shortages lists the insufficient resource of each worker that cannot take a task, for at
	// most maxShortages workers.
	Shortages []Shortage `json:"shortages,omitempty"`
}

// Shortage describes a resource of which one worker has too little.
type Shortage struct {
	Where    string `json:"where"`
	Resource string `json:"resource"`
	Free     int64  `json:"free"`
	Needed   int64  `json:"needed"`
}
