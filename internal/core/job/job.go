// Package job defines jobs as callers submit them, and the records that the log (package sharedlog)
// keeps of their tasks. It does no I/O.
package job

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Resources is an amount of CPU, memory and accelerators.
type Resources struct {
	// CPU is the processor time in thousandths of a core.
	CPU int64 `cbor:"1,keyasint,omitempty"`
	// MemMB is the memory in megabytes.
	MemMB int64 `cbor:"2,keyasint,omitempty"`
	// Accelerators is the number of devices.
	Accelerators int64 `cbor:"3,keyasint,omitempty"`
}

// Plus returns the sum of r and o.
func (r Resources) Plus(o Resources) Resources {
	return Resources{r.CPU + o.CPU, r.MemMB + o.MemMB, r.Accelerators + o.Accelerators}
}

// Minus returns the difference of r and o.
func (r Resources) Minus(o Resources) Resources {
	return Resources{r.CPU - o.CPU, r.MemMB - o.MemMB, r.Accelerators - o.Accelerators}
}

// Fits reports whether need fits into r.
func (r Resources) Fits(need Resources) bool {
	return need.CPU <= r.CPU && need.MemMB <= r.MemMB && need.Accelerators <= r.Accelerators
}

// acceleratorCores is the number of cores that an accelerator counts for in the operators' pricing.
const acceleratorCores = 8

// Cores returns the CPU and accelerators of r in cores, at acceleratorCores per accelerator.
func (r Resources) Cores() float64 {
	return float64(r.CPU)/1000 + acceleratorCores*float64(r.Accelerators)
}

// Step is one stage of a job: a number of equal tasks.
type Step struct {
	Count int `cbor:"1,keyasint"`
	// Need is what each task needs.
	Need Resources `cbor:"2,keyasint"`
	// Estimate is the caller's estimate of the duration of a task.
	Estimate time.Duration `cbor:"3,keyasint,omitempty"`
	// After lists the indexes of the earlier steps that must be done before this one starts.
	After []int `cbor:"4,keyasint,omitempty"`
	// Gang is set if the tasks of the step must all run at the same time and end together.
	Gang bool `cbor:"5,keyasint,omitempty"`
	// SameRack is set if the tasks are several times slower when spread over several racks.
	SameRack bool `cbor:"6,keyasint,omitempty"`
	// Label is a label that the worker must have; empty for none.
	Label string `cbor:"7,keyasint,omitempty"`
	// DataRack is the rack that holds the data; tasks are slower on other racks.
	DataRack string `cbor:"8,keyasint,omitempty"`
	// MaxPerWorker limits the tasks of the step on one worker; zero means no limit.
	MaxPerWorker int `cbor:"9,keyasint,omitempty"`
	// Speculative permits several runs of a task at the same time (speculative execution).
	Speculative bool `cbor:"10,keyasint,omitempty"`
	// Checkpoints is set if the tasks write checkpoints from which a later run can resume.
	Checkpoints bool `cbor:"11,keyasint,omitempty"`
	// LongRunning is set if the tasks run until the job is cancelled.
	LongRunning bool `cbor:"12,keyasint,omitempty"`
	// BestEffort marks best-effort tasks: they use idle CPU, and their CPU is not charged to the
	// worker's capacity.
	BestEffort bool   `cbor:"13,keyasint,omitempty"`
	Image      string `cbor:"14,keyasint,omitempty"`
	// TailLatencyTarget is the tail latency that a serving task has to stay below.
	TailLatencyTarget time.Duration `cbor:"15,keyasint,omitempty"`
	// MaxUnavailable is how many tasks of the step may be unavailable at once, for any reason, when
	// the scheduler stops one of them for an upkeep; zero means no limit.
	MaxUnavailable int `cbor:"16,keyasint,omitempty"`
}

// Charge returns what a task of s uses of a worker's capacity.
func (s *Step) Charge() Resources {
	if s.BestEffort {
		return Resources{MemMB: s.Need.MemMB, Accelerators: s.Need.Accelerators}
	}
	return s.Need
}

// Job is a job as it was accepted from a caller, with the settings of its queue at that time.
type Job struct {
	ID    string `cbor:"1,keyasint"`
	Queue string `cbor:"2,keyasint"`
	Org   string `cbor:"3,keyasint"`
	// Service is the service of the workers that run the job.
	Service string `cbor:"4,keyasint"`
	// Priority is the job's priority; zero is the highest.
	Priority int `cbor:"5,keyasint,omitempty"`
	// Attempts is how many failed runs of a task or gang end the job as failed; zero counts as
	// one. Long-running steps have no such limit.
	Attempts int `cbor:"6,keyasint,omitempty"`
	// The latency objective of the job is Stretch times the estimated duration of its steps, plus
	// Objective.
	Stretch   float64       `cbor:"7,keyasint,omitempty"`
	Objective time.Duration `cbor:"8,keyasint,omitempty"`
	Payload   string        `cbor:"9,keyasint"`
	Steps     []Step        `cbor:"10,keyasint"`
	// FirstDueMs is when the first occurrence is due, in Unix milliseconds, and IntervalMs the
	// time between occurrences.
	FirstDueMs int64 `cbor:"11,keyasint,omitempty"`
	IntervalMs int64 `cbor:"12,keyasint,omitempty"`
	// OccurrenceCount is the number of occurrences; zero means that the job runs once, immediately.
	OccurrenceCount int `cbor:"13,keyasint,omitempty"`
	// AcceptedMs is when a host accepted the job, in Unix milliseconds.
	AcceptedMs int64 `cbor:"14,keyasint"`
	// Advised is set if the advisory service decides which workers may run a step.
	Advised bool `cbor:"15,keyasint,omitempty"`
	// TicketValidity is how long the advisory service's tickets are valid.
	TicketValidity time.Duration `cbor:"16,keyasint,omitempty"`
	// Zone is the availability zone of the host that accepted the job, which is normally the caller's.
	Zone string `cbor:"17,keyasint,omitempty"`
	// FirstRefusedMs is when the job was first refused for want of room, in Unix milliseconds; zero if
	// it was not.
	FirstRefusedMs int64 `cbor:"18,keyasint,omitempty"`
}

// ArrivedMs returns since when the caller has waited, in Unix milliseconds: since the job was accepted or,
// if it was refused before, first refused.
func (j *Job) ArrivedMs() int64 {
	if j.FirstRefusedMs > 0 && j.FirstRefusedMs < j.AcceptedMs {
		return j.FirstRefusedMs
	}
	return j.AcceptedMs
}

// Occurrences returns how many times the steps of the job run.
func (j *Job) Occurrences() int { return max(1, j.OccurrenceCount) }

// IsLongRunning reports whether the job has a long-running step and thus runs until it is
// cancelled.
func (j *Job) IsLongRunning() bool {
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

// TaskID identifies a task.
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

// ParseTaskID parses a task's name as String returns it. It returns an error if s has another form.
func ParseTaskID(s string) (TaskID, error) {
	parts := strings.Split(s, ".")
	if len(parts) != 4 {
		return TaskID{}, fmt.Errorf("task name %q: want four parts separated by dots", s)
	}
	var n [3]int
	for i := range n {
		v, err := strconv.Atoi(parts[i+1])
		if err != nil || v < 0 {
			return TaskID{}, fmt.Errorf("task name %q: part %d after the job ID: want a non-negative integer", s, i+1)
		}
		n[i] = v
	}
	return TaskID{parts[0], n[0], n[1], n[2]}, nil
}

// TaskRecord is the state of a task as the log keeps it.
type TaskRecord struct {
	// Run is the number of the latest run.
	Run int `cbor:"1,keyasint"`
	// Worker and Incarnation identify the worker incarnation on which an active run may be. If the
	// worker has restarted, it may be a later incarnation than the run was placed on.
	Worker      string `cbor:"2,keyasint,omitempty"`
	Incarnation int64  `cbor:"3,keyasint,omitempty"`
	// Active is set if the run has been placed and is not known to have ended.
	Active bool `cbor:"4,keyasint,omitempty"`
	Done   bool `cbor:"5,keyasint,omitempty"`
	// Failures counts the runs that ended as failed.
	Failures int `cbor:"6,keyasint,omitempty"`
	// Checkpoint is what the next run resumes from.
	Checkpoint string `cbor:"7,keyasint,omitempty"`
	// Started is set if a run of the task is known to have started.
	Started bool `cbor:"8,keyasint,omitempty"`
	// Presumed lists the runs that were presumed to have ended and whose worker may still list how
	// they ended.
	Presumed []PresumedEnd `cbor:"9,keyasint,omitempty"`
	// FailedRuns are the numbers of the failed runs of a task's gang, which count once however many of
	// its tasks fail in them.
	FailedRuns []int `cbor:"10,keyasint,omitempty"`
	// LeaseLimited is set once the recorded incarnation of the worker has listed the active run, and every
	// lease of that incarnation ends within the lease limit of the leaders that granted it (see
	// ledger.Role).
	LeaseLimited bool `cbor:"11,keyasint,omitempty"`
	// Copy is the second active run of a task that may have several at the same time; nil if there is none.
	// Older versions ignore it, and LatestRun.
	Copy *CopyRecord `cbor:"12,keyasint,omitempty"`
	// LatestRun is the number of the latest run, if that is not Run: then Run is the number of the first
	// active run.
	LatestRun int `cbor:"13,keyasint,omitempty"`
}

// CopyRecord is an active run as a task's record holds the second one.
type CopyRecord struct {
	// Run is the number of the run.
	Run int `cbor:"1,keyasint"`
	// Worker, Incarnation and LeaseLimited are those of the run, as in TaskRecord.
	Worker       string `cbor:"2,keyasint"`
	Incarnation  int64  `cbor:"3,keyasint,omitempty"`
	LeaseLimited bool   `cbor:"4,keyasint,omitempty"`
}

// PresumedEnd is a run whose end was inferred and not listed by its worker.
type PresumedEnd struct {
	// Run is the number of the run.
	Run int `cbor:"1,keyasint"`
	// Worker and Incarnation identify the worker incarnation that may still list the end.
	Worker      string `cbor:"2,keyasint"`
	Incarnation int64  `cbor:"3,keyasint,omitempty"`
	// Listed is set if that incarnation is known to have had the run. Otherwise the next one may have it.
	Listed bool `cbor:"4,keyasint,omitempty"`
}

// State is the state of a job as callers see it.
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

// The ways in which a run ends. The values appear in log lines and, for runs that ended on a worker,
// in the worker's answers.
const (
	EndDone    End = "done"
	EndFailed  End = "failed"
	EndStopped End = "stopped"
	// EndLeaseExpired is a run that ended because its worker's lease expired.
	EndLeaseExpired End = "lapsed"
	// EndBroken is a gang member's run that ended because another member's run had ended without
	// being done.
	EndBroken End = "broken"
	// EndGangTimeout is a gang member's run that ended because the other members did not start in
	// time.
	EndGangTimeout End = "alone"
	// EndNotStarted is a run that never started and never will.
	EndNotStarted End = "void"
	// EndLost is a run that was lost with its worker's incarnation or lease.
	EndLost End = "lost"
)
