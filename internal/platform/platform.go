// Package platform declares the interfaces through which gates and schedulers use the platform:
// its append-only log, its host list and the backend servers on its workers. Only the
// adapters that implement them know the platform's protocols. Package agatewinch/platform is
// another package: it adapts package entry to the operators' platform.
package platform

import (
	"context"
	"errors"
	"fmt"
	"time"

	"agatewinch/internal/core"
)

// Offset is a record's position in a stream; the first record has offset 0.
type Offset uint64

// Stream is the name of a stream of the log.
type Stream string

// The streams that agatewinch writes.
const (
	// StreamConfig carries proposed configurations, whether accepted or not, and snapshots
	// of the one in force.
	StreamConfig Stream = "config"
	// StreamJobs carries admitted jobs, placements, outcomes and snapshots.
	StreamJobs Stream = "jobs"
)

// claimsPrefix is the prefix of the names of the zones' claim streams.
const claimsPrefix = "claims-"

// StreamClaims returns the stream of the claims to a zone's leader role. Each zone has its
// own stream, so that a scheduler does not read the renewals of other zones.
func StreamClaims(zone core.ZoneID) Stream { return claimsPrefix + Stream(zone) }

// Record is one record of a stream.
type Record struct {
	Offset Offset `json:"offset"`
	Data   []byte `json:"data"`
}

// Page is the result of one read.
type Page struct {
	Records []Record `json:"records"`
	// Next is the offset at which the next read continues.
	Next Offset `json:"next"`
	// Oldest is the first offset that the log still holds.
	Oldest Offset `json:"oldest"`
	// End is the offset after the newest record of the stream.
	End Offset `json:"end"`
}

// Errors of the log and the backend servers. Any other error also means that the call's
// effect is unknown.
var (
	// ErrNotApplied means that the call had no effect and never will.
	ErrNotApplied = errors.New("the call to the platform failed without effect")
	// ErrUnknown means that the call may have taken effect.
	ErrUnknown = errors.New("the call to the platform failed and may have taken effect")
)

// TrimmedError reports a read below the oldest record that the log holds.
type TrimmedError struct{ Oldest Offset }

// Error returns a message with the oldest offset.
func (e *TrimmedError) Error() string {
	return fmt.Sprintf("records before offset %d were trimmed from the log", e.Oldest)
}

// Log is the platform's append-only log.
type Log interface {
	// Append appends records to a stream atomically, at consecutive offsets, and returns
	// the first offset. It fails with ErrNotApplied or ErrUnknown.
	Append(ctx context.Context, stream Stream, records [][]byte) (Offset, error)
	// Read returns at most limit records from an offset on, and waits up to wait for the
	// first. It fails with *TrimmedError if the record at the offset was trimmed.
	Read(ctx context.Context, stream Stream, from Offset, limit int, wait time.Duration) (Page, error)
}

// HostKind distinguishes entry hosts from hosts of backend servers.
type HostKind string

// The kinds of host.
const (
	EntryHost   HostKind = "entry"
	BackendHost HostKind = "backend"
)

// HostState is a host's state in the platform's host list.
type HostState string

// The states of a listed host.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
)

// Host is an entry of the platform's host list. The list lags behind the actual state of
// the hosts.
type Host struct {
	ID    string      `json:"id"`
	Kind  HostKind    `json:"kind"`
	Zone  core.ZoneID `json:"zone"`
	Addr  string      `json:"addr"`
	State HostState   `json:"state"`
}

// HostList reads the platform's list of live and leaving hosts.
type HostList interface {
	// Hosts returns the platform's current list.
	Hosts(ctx context.Context) ([]Host, error)
}

// Holder identifies the holder of a zone's leases on workers: the zone's leader. Term is its
// fencing token.
type Holder struct {
	ID   string    `json:"id"`
	Term core.Term `json:"term"`
}

// OpKind is the kind of an operation on a worker.
type OpKind string

// The operations on a worker.
const (
	OpReserve  OpKind = "reserve"
	OpStart    OpKind = "start"
	OpRelease  OpKind = "release"
	OpStop     OpKind = "stop"
	OpPreempt  OpKind = "preempt"
	OpThrottle OpKind = "throttle"
)

// Op is one operation on a worker.
type Op struct {
	Kind OpKind       `json:"kind"`
	Task core.TaskRef `json:"task"`
	// Cell, Job and TTL are set for OpReserve; a reservation that is not started within
	// TTL expires.
	Cell core.Cell     `json:"cell,omitempty"`
	Job  *core.Job     `json:"job,omitempty"`
	TTL  time.Duration `json:"ttl,omitempty"`
	// Resume is set for an OpStart that continues from a checkpoint.
	Resume bool `json:"resume,omitempty"`
	// Members is set for an OpStart of a gang member: the number of tasks of the attempt that
	// start together. The workers begin none of them before all of these starts have arrived.
	Members int `json:"members,omitempty"`
}

// OpResult is a worker's reply to one operation.
type OpResult struct {
	OK     bool               `json:"ok"`
	Reason core.RefusalReason `json:"reason,omitempty"`
	// Checkpointed and Lost are set for OpStop and OpPreempt: whether the task saved a
	// checkpoint, and how much run time was lost.
	Checkpointed bool          `json:"checkpointed,omitempty"`
	Lost         time.Duration `json:"lost,omitempty"`
}

// Batch is a list of operations that one worker executes in order.
type Batch struct {
	Holder Holder `json:"holder"`
	// TTL is how long the holder's lease on the worker lasts after this call.
	TTL time.Duration `json:"ttl"`
	Ops []Op          `json:"ops"`
}

// TaskReportKind is the kind of a worker's report on a task.
type TaskReportKind string

// The kinds of report.
const (
	ReportEnded   TaskReportKind = "ended"
	ReportExpired TaskReportKind = "lapsed"
	ReportUsage   TaskReportKind = "usage"
)

// TaskReport is a worker's report on a task. Seq numbers the reports of each worker. OK and
// Output are set in a ReportEnded: whether the task succeeded, and its output. Ran is the
// task's run time; in a ReportUsage it is the run time as of Lag ago.
type TaskReport struct {
	Seq    uint64         `json:"seq"`
	Kind   TaskReportKind `json:"kind"`
	Task   core.TaskRef   `json:"task"`
	OK     bool           `json:"ok,omitempty"`
	Output []byte         `json:"output,omitempty"`
	Ran    time.Duration  `json:"ran,omitempty"`
	Lag    time.Duration  `json:"lag,omitempty"`
	// Started is false in a ReportExpired for a task that never began to run: its start, or that
	// of another member of its gang, did not arrive in time.
	Started bool `json:"started,omitempty"`
}

// HeldTask is a task or reservation that a worker holds.
type HeldTask struct {
	Task    core.TaskRef `json:"task"`
	Cell    core.Cell    `json:"cell"`
	Started bool         `json:"started"`
	Job     core.Job     `json:"job"`
}

// RenewRequest renews the holder's lease on a worker and long-polls for reports.
type RenewRequest struct {
	Holder Holder `json:"holder"`
	// TTL is how long the lease lasts after this call.
	TTL time.Duration `json:"ttl"`
	// After is the highest report number received; reports up to it may be dropped.
	After uint64 `json:"after"`
	// Wait is how long the worker delays its reply while it has nothing to report.
	Wait time.Duration `json:"wait"`
	// List asks for all held tasks in the reply.
	List bool `json:"list,omitempty"`
	// Usage asks for usage reports in the reply. They do not end the wait early.
	Usage bool `json:"usage,omitempty"`
}

// RenewReply is a worker's reply to a RenewRequest.
type RenewReply struct {
	OK bool `json:"ok"`
	// Reason is why a renewal was refused. Term is the highest term the worker has seen.
	Reason  core.RefusalReason `json:"reason,omitempty"`
	Term    core.Term          `json:"term"`
	Reports []TaskReport       `json:"reports,omitempty"`
	Tasks   []HeldTask         `json:"tasks,omitempty"`
	Leaving bool               `json:"leaving,omitempty"`
	// Incarnation is the worker's incarnation. It changes when the worker has restarted and lost
	// all tasks and reservations.
	Incarnation uint64 `json:"boot,omitempty"`
}

// Backend calls the backend servers of workers. Every call names its holder, whose term is
// a fencing token: a worker refuses a term below the highest it has seen, and a second
// holder of that term.
type Backend interface {
	// Do executes a batch and returns one result per operation. It fails with
	// ErrNotApplied or ErrUnknown.
	Do(ctx context.Context, addr string, batch Batch) ([]OpResult, error)
	// Renew renews the lease and returns as soon as there are reports, or after req.Wait.
	Renew(ctx context.Context, addr string, req RenewRequest) (RenewReply, error)
}
