package dispatch

import (
	"time"

	"agatewinch/internal/core/job"
)

// Target addresses one incarnation of a worker.
type Target struct {
	Worker      string
	Address     string
	Incarnation int64
}

// Start orders a worker to start a run.
type Start struct {
	Target
	// Zone is the worker's availability zone.
	Zone       string
	Task       job.TaskID
	Run        int
	Payload    string
	Checkpoint string
	// Ticket is the advisory service's ticket, if the queue requires one.
	Ticket string
	// LeaseUntilMs is the end of the lease by the worker's clock, in milliseconds.
	LeaseUntilMs int64
	run          *run
}

// Stop orders a worker to end a run and to refuse any later start of it.
type Stop struct {
	Target
	Task job.TaskID
	Run  int
	run  *run
}

// Probe renews a worker's lease, acknowledges recorded ends and asks which runs are on the
// worker. The worker may delay its answer by up to MaxWait until a run ends.
type Probe struct {
	Target
	// LeaseUntilMs is the end of the lease by the worker's clock, in milliseconds; zero if the lease is not
	// extended.
	LeaseUntilMs int64
	// Ack is the number of the last end that is recorded.
	Ack     int64
	MaxWait time.Duration
	sentAt  time.Duration
}

// Note describes a decision or an observation, for a log line.
type Note struct {
	// Kind names the decision or observation.
	Kind   string
	Task   string
	Job    string
	Run    int
	Worker string
	Why    string
}

// Actions are the calls that the process running the core has to send, and the notes that it has
// to write as log lines.
type Actions struct {
	// Scheduled is set if a scheduling cycle has run.
	Scheduled bool

	Starts         []Start
	Stops          []Stop
	Probes         []Probe
	AdviceRequests []AdviceRequest
	Paces          []Pace
	// Upkeeps are the orders of upkeep waves, and WaveReports the reports on their progress.
	Upkeeps     []Upkeep
	WaveReports []WaveReport
	Notes       []Note
	// Losses is the work lost with the runs that have ended, and Interruptions the number of
	// interrupted runs of each task of the jobs that are finished.
	Losses        []Loss
	Interruptions []int
}

// TaskChange is a task record to be written.
type TaskChange struct {
	ID     job.TaskID
	Record job.TaskRecord
}

// JobEnd is the final state of a job, to be written. AtMs is the time of the end in Unix
// milliseconds.
type JobEnd struct {
	ID    string
	State job.State
	AtMs  int64
}

// Batch holds changes that are recorded together, before the orders that depend on them are
// sent.
type Batch struct {
	Tasks []TaskChange
	Ends  []JobEnd
	// Dropped lists tasks of ended jobs whose records are no longer needed.
	Dropped []job.TaskID
	// Waves holds the progress of upkeep waves that has changed.
	Waves []WaveProgress

	// starts holds the runs whose start is sent once the batch is recorded.
	starts []*run
	// upkeeps holds the upkeeps that are ordered once the batch is recorded.
	upkeeps []waveUpkeep
	// acks holds, for each worker incarnation, the number of the last end that the batch
	// records.
	acks map[workerIncarnation]int64
}

func (b *Batch) empty() bool {
	return len(b.Tasks) == 0 && len(b.Ends) == 0 && len(b.Dropped) == 0 && len(b.Waves) == 0 && len(b.acks) == 0
}

// WorkerReport is a worker's answer to a probe.
type WorkerReport struct {
	Incarnation int64
	// ClockMs is the worker's monotonic clock when it answered, in milliseconds.
	ClockMs int64
	Running []RunInProgress
	// Ended lists the ends after the one that the probe acknowledged, at most maxListedEnds of
	// them.
	Ended []EndedRun
}

// RunInProgress describes a run on a worker that has not ended.
type RunInProgress struct {
	Task       string
	Run        int
	Checkpoint string
	// Percent is the progress of the run.
	Percent int
	// Load is the tail latency of a serving task in milliseconds, or the number of processor
	// cores that another task uses.
	Load float64
}

// EndedRun describes a run that ended on a worker. Number is its position among the ends of the
// worker's incarnation.
type EndedRun struct {
	Number     int64
	Task       string
	Run        int
	End        job.End
	Checkpoint string
}

// Outcome is the result of a call to a worker or to the machine service: of an order (a start,
// stop, pace or upkeep) or of a probe.
type Outcome uint8

// The outcomes of a call.
const (
	// Accepted orders were executed.
	Accepted Outcome = iota
	// Unanswered orders may have been executed, or may still be executed later.
	Unanswered
	// Refused orders have not been executed and will not be.
	Refused
	// RefusedCapacity means that the worker lacks free capacity for the run.
	RefusedCapacity
	// RefusedUnhealthy means that the worker is unhealthy or overloaded, or its machine is busy.
	RefusedUnhealthy
	// OtherIncarnation means that the worker has restarted: the order was for another incarnation.
	OtherIncarnation
	// Fenced means that the receiver knows a higher epoch than that of the order.
	Fenced
	// NoConnection means that the worker could not be reached: nothing was sent.
	NoConnection
	// RefusedTicket means that the ticket was missing or not valid.
	RefusedTicket
	// Withheld means that nothing was sent, because this process may give no orders now.
	Withheld
)
