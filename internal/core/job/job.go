// Package job holds the product's jobs: what a caller submits, and what is recorded of
// each task. It does no I/O.
package job

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Resources is an amount of what a worker has.
type Resources struct {
	// CPU is in thousandths of a core.
	CPU int64 `cbor:"1,keyasint,omitempty"`
	// MemMB is in megabytes.
	MemMB int64 `cbor:"2,keyasint,omitempty"`
	// Accelerators is a number of devices.
	Accelerators int64 `cbor:"3,keyasint,omitempty"`
}

// Plus returns r and o together.
func (r Resources) Plus(o Resources) Resources {
	return Resources{r.CPU + o.CPU, r.MemMB + o.MemMB, r.Accelerators + o.Accelerators}
}

// Minus returns r without o.
func (r Resources) Minus(o Resources) Resources {
	return Resources{r.CPU - o.CPU, r.MemMB - o.MemMB, r.Accelerators - o.Accelerators}
}

// Fits reports whether need can be taken from r.
func (r Resources) Fits(need Resources) bool {
	return need.CPU <= r.CPU && need.MemMB <= r.MemMB && need.Accelerators <= r.Accelerators
}

// acceleratorCores is the worth of an accelerator in cores, as the operators price it.
const acceleratorCores = 8

// Cores returns r in cores, an accelerator counted as several.
func (r Resources) Cores() float64 {
	return float64(r.CPU)/1000 + acceleratorCores*float64(r.Accelerators)
}

// Step is one stage of a job.
type Step struct {
	Count    int           `cbor:"1,keyasint"`
	Need     Resources     `cbor:"2,keyasint"`
	Estimate time.Duration `cbor:"3,keyasint,omitempty"`
	// After lists earlier steps that have to be done first.
	After []int `cbor:"4,keyasint,omitempty"`
	// Gang tasks work and end only together.
	Gang bool `cbor:"5,keyasint,omitempty"`
	// SameRack tasks are several times slower on more than one rack.
	SameRack bool `cbor:"6,keyasint,omitempty"`
	// Label is one that the worker must have.
	Label string `cbor:"7,keyasint,omitempty"`
	// DataRack is the rack that holds the data; elsewhere the task is slower.
	DataRack string `cbor:"8,keyasint,omitempty"`
	// MaxPerWorker bounds the tasks of the step on one worker; zero is no bound.
	MaxPerWorker int `cbor:"9,keyasint,omitempty"`
	// Copies says that several runs of a task may go on at once.
	Copies      bool `cbor:"10,keyasint,omitempty"`
	Checkpoints bool `cbor:"11,keyasint,omitempty"`
	// LongRunning tasks run until the job is cancelled.
	LongRunning bool `cbor:"12,keyasint,omitempty"`
	// Fills says that the step's processors are not counted against a worker.
	Fills bool   `cbor:"13,keyasint,omitempty"`
	Image string `cbor:"14,keyasint,omitempty"`
	// TailTarget is the response time that a serving task has to stay below.
	TailTarget time.Duration `cbor:"15,keyasint,omitempty"`
	// MayMiss is how many tasks may be away at once through the scheduler's doing.
	MayMiss int `cbor:"16,keyasint,omitempty"`
}

// Charge returns what a task of s takes of a worker's capacity.
func (s *Step) Charge() Resources {
	if s.Fills {
		return Resources{MemMB: s.Need.MemMB, Accelerators: s.Need.Accelerators}
	}
	return s.Need
}

// Job is what was accepted from a caller, with what its queue said at that time.
type Job struct {
	ID    string `cbor:"1,keyasint"`
	Queue string `cbor:"2,keyasint"`
	Org   string `cbor:"3,keyasint"`
	// Service names the workers that run the job.
	Service  string  `cbor:"4,keyasint"`
	Priority int     `cbor:"5,keyasint,omitempty"`
	Attempts int     `cbor:"6,keyasint,omitempty"`
	Stretch  float64 `cbor:"7,keyasint,omitempty"`
	// Objective is what the latency objective allows beyond the stretched work.
	Objective time.Duration `cbor:"8,keyasint,omitempty"`
	Payload   string        `cbor:"9,keyasint"`
	Steps     []Step        `cbor:"10,keyasint"`
	// FirstDueMs and IntervalMs say when occurrences are due, in Unix milliseconds.
	FirstDueMs int64 `cbor:"11,keyasint,omitempty"`
	IntervalMs int64 `cbor:"12,keyasint,omitempty"`
	// Times is the number of occurrences; zero is a job that runs once, at once.
	Times int `cbor:"13,keyasint,omitempty"`
	// AcceptedMs is when a host took the job, in Unix milliseconds.
	AcceptedMs int64 `cbor:"14,keyasint"`
	// Advised says that only the advisory service knows which workers may run a step.
	Advised bool `cbor:"15,keyasint,omitempty"`
	// TicketValidity is how long the advisory service's tickets are valid.
	TicketValidity time.Duration `cbor:"16,keyasint,omitempty"`
}

// Occurrences returns how many times the job's steps run.
func (j *Job) Occurrences() int { return max(1, j.Times) }

// Lasts reports whether the job runs until it is cancelled.
func (j *Job) Lasts() bool {
	for i := range j.Steps {
		if j.Steps[i].LongRunning {
			return true
		}
	}
	return false
}

// StepName returns the name of a step in an occurrence.
func StepName(job string, occurrence, step int) string {
	return job + "." + strconv.Itoa(occurrence) + "." + strconv.Itoa(step)
}

// TaskID names one task.
type TaskID struct {
	Job        string
	Occurrence int
	Step       int
	Index      int
}

// String returns the task's name.
func (t TaskID) String() string {
	return StepName(t.Job, t.Occurrence, t.Step) + "." + strconv.Itoa(t.Index)
}

// ParseTaskID reads a task's name.
func ParseTaskID(s string) (TaskID, error) {
	parts := strings.Split(s, ".")
	if len(parts) != 4 {
		return TaskID{}, fmt.Errorf("task name %q: want four parts", s)
	}
	var n [3]int
	for i := range n {
		v, err := strconv.Atoi(parts[i+1])
		if err != nil || v < 0 {
			return TaskID{}, fmt.Errorf("task name %q: part %d is no number", s, i+1)
		}
		n[i] = v
	}
	return TaskID{parts[0], n[0], n[1], n[2]}, nil
}

// TaskRecord is what the log keeps of a task.
type TaskRecord struct {
	// Run is the number of the newest run.
	Run int `cbor:"1,keyasint"`
	// Worker and Born name the life of the worker on which that run may be.
	Worker string `cbor:"2,keyasint,omitempty"`
	Born   int64  `cbor:"3,keyasint,omitempty"`
	// Active says that the run has been placed and its end is not known.
	Active bool `cbor:"4,keyasint,omitempty"`
	Done   bool `cbor:"5,keyasint,omitempty"`
	// Fails counts the runs that ended as failed.
	Fails int `cbor:"6,keyasint,omitempty"`
	// Checkpoint is what the next run resumes from.
	Checkpoint string `cbor:"7,keyasint,omitempty"`
	// Began says that a run of the task has been seen at work.
	Began bool `cbor:"8,keyasint,omitempty"`
}

// State is what a caller is shown of a job.
type State string

// The states of a job.
const (
	Pending   State = "pending"
	Running   State = "running"
	Succeeded State = "succeeded"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

// End is how a run ended.
type End string

// The ways in which a run ends.
const (
	EndDone    End = "done"
	EndFailed  End = "failed"
	EndStopped End = "stopped"
	EndLapsed  End = "lapsed"
	EndBroken  End = "broken"
	EndAlone   End = "alone"
	// EndVoid is a run that never began and never will.
	EndVoid End = "void"
	// EndLost is a run that went with its worker's life or lease.
	EndLost End = "lost"
)
