package dispatch

import (
	"time"

	"agatewinch/internal/core/job"
)

// Target names one life of a worker.
type Target struct {
	Worker  string
	Address string
	Born    int64
}

// Start orders a run to begin.
type Start struct {
	Target
	Task       job.TaskID
	Run        int
	Payload    string
	Checkpoint string
	// Pass is the advisory service's ticket, where the queue asks for one.
	Ticket       string
	LeaseUntilMs int64
	run          *run
}

// Stop orders a run to end, and makes a later start of it impossible.
type Stop struct {
	Target
	Task job.TaskID
	Run  int
	run  *run
}

// Hold renews a worker's lease, tells it which ends are recorded and asks what runs.
type Hold struct {
	Target
	LeaseUntilMs int64
	Ack          int64
	Wait         time.Duration
	sentAt       time.Duration
}

// Note is one decision, for the log.
type Note struct {
	// What names the decision.
	What   string
	Task   string
	Job    string
	Run    int
	Worker string
	Why    string
}

// Actions are what the process round the core has to carry out.
type Actions struct {
	Starts []Start
	Stops  []Stop
	Holds  []Hold
	Asks   []Ask
	Paces  []Pace
	// Upkeeps and Reports carry waves out.
	Upkeeps []Upkeep
	Reports []WaveReport
	Notes   []Note
}

// TaskChange is a task's record to be written.
type TaskChange struct {
	ID     job.TaskID
	Record job.TaskRecord
}

// JobEnd is a job's end to be written.
type JobEnd struct {
	ID    string
	State job.State
	AtMs  int64
}

// Batch is what has to be recorded together before the orders that depend on it go out.
type Batch struct {
	Tasks []TaskChange
	Ends  []JobEnd
	// Dropped lists tasks of ended jobs whose keys are no longer needed.
	Dropped []job.TaskID

	starts []*run
	// acks holds the last end of each life that the batch records.
	acks map[life]int64
}

func (b *Batch) empty() bool {
	return len(b.Tasks) == 0 && len(b.Ends) == 0 && len(b.Dropped) == 0 && len(b.acks) == 0
}

// Report is what a worker answered to a hold.
type Report struct {
	Born    int64
	ClockMs int64
	Running []RunningTask
	Ended   []EndedTask
}

// RunningTask is a row of what runs on a worker.
type RunningTask struct {
	Task       string
	Run        int
	Checkpoint string
	// Percent is how far the run is.
	Percent int
	// Load is the tail of a serving task in milliseconds, or the processors in use.
	Load float64
}

// EndedTask is a row of what ended on a worker.
type EndedTask struct {
	Number     int64
	Task       string
	Run        int
	How        job.End
	Checkpoint string
}

// Outcome is what became of an order.
type Outcome uint8

// The outcomes of an order.
const (
	// Accepted orders were carried out.
	Accepted Outcome = iota
	// Unanswered orders may have been carried out, or may yet be.
	Unanswered
	// Refused orders have not been carried out and will not be.
	Refused
	// RefusedRoom is a refusal for want of room.
	RefusedRoom
	// RefusedUnhealthy is a refusal by a worker that is not well.
	RefusedUnhealthy
	// OtherLife says that the worker began a new life.
	OtherLife
	// Fenced says that a higher epoch has been seen.
	Fenced
	// NoConnection says that the worker could not be reached: nothing was sent.
	NoConnection
	// RefusedTicket is a refusal for want of a valid ticket.
	RefusedTicket
)
