// Package platform declares the ports through which agatewinch meets the platform:
// its append-only log, its list of hosts and the backend servers on its workers.
// Nothing outside the adapters knows how a platform carries them.
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

// Stream names one stream of the log.
type Stream string

// The streams that agatewinch keeps.
const (
	// StreamConfig carries accepted and rejected configurations.
	StreamConfig Stream = "config"
	// StreamJobs carries admitted jobs, placements, outcomes and snapshots.
	StreamJobs Stream = "jobs"
)

// claimsPrefix begins the name of each zone's stream of claims.
const claimsPrefix = "claims-"

// StreamClaims is the stream of the claims of a zone's active role. Each zone has its
// own, so that a scheduler reads nothing of the other zones' renewals.
func StreamClaims(zone core.ZoneID) Stream { return claimsPrefix + Stream(zone) }

// Record is one record of a stream.
type Record struct {
	Offset Offset `json:"offset"`
	Data   []byte `json:"data"`
}

// Page is the result of one read.
type Page struct {
	Records []Record `json:"records"`
	// Next is where the next read goes on.
	Next Offset `json:"next"`
	// Oldest is the first offset that the log still holds.
	Oldest Offset `json:"oldest"`
	// End is the offset after the newest record.
	End Offset `json:"end"`
}

// Errors of the log and the backend servers. An error that is none of these means
// that the call's effect is unknown.
var (
	// ErrNotApplied means that the call took no effect and never will.
	ErrNotApplied = errors.New("call took no effect")
	// ErrUnknown means that the call may have taken effect.
	ErrUnknown = errors.New("effect of the call is unknown")
)

// TrimmedError reports a read below the oldest record that the log holds.
type TrimmedError struct{ Oldest Offset }

// Error names the oldest offset.
func (e *TrimmedError) Error() string {
	return fmt.Sprintf("records before offset %d are no longer held", e.Oldest)
}

// Log is the platform's append-only log.
type Log interface {
	// Append adds records to a stream, all or none, at consecutive offsets, and
	// returns the first. It fails with ErrNotApplied or ErrUnknown.
	Append(ctx context.Context, stream Stream, records [][]byte) (Offset, error)
	// Read returns records from an offset on, waiting up to wait for the first. It
	// fails with *TrimmedError when the offset is no longer held.
	Read(ctx context.Context, stream Stream, from Offset, limit int, wait time.Duration) (Page, error)
}

// HostKind tells entry hosts from backend server hosts.
type HostKind string

// The kinds of host.
const (
	EntryHost   HostKind = "entry"
	BackendHost HostKind = "backend"
)

// HostState is a host's state in the platform's list.
type HostState string

// The states of a listed host.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
)

// Host is an entry of the platform's host list, which lags behind reality.
type Host struct {
	ID    string      `json:"id"`
	Kind  HostKind    `json:"kind"`
	Zone  core.ZoneID `json:"zone"`
	Addr  string      `json:"addr"`
	State HostState   `json:"state"`
}

// HostList is the platform's list of live and leaving hosts.
type HostList interface {
	// Hosts returns the list as the platform knows it now.
	Hosts(ctx context.Context) ([]Host, error)
}

// Holder identifies a holder of a zone's leases on workers.
type Holder struct {
	ID   string    `json:"id"`
	Term core.Term `json:"term"`
}

// OpKind is the kind of one operation on a worker.
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
	// Cell, Job and TTL go with a reservation; TTL is its life until the start.
	Cell core.Cell     `json:"cell,omitempty"`
	Job  *core.Job     `json:"job,omitempty"`
	TTL  time.Duration `json:"ttl,omitempty"`
	// Resume goes with a start that continues from a checkpoint.
	Resume bool `json:"resume,omitempty"`
}

// OpResult is a worker's answer to one operation.
type OpResult struct {
	OK     bool               `json:"ok"`
	Reason core.RefusalReason `json:"reason,omitempty"`
	// Checkpointed and Lost go with a stop or preemption.
	Checkpointed bool          `json:"checkpointed,omitempty"`
	Lost         time.Duration `json:"lost,omitempty"`
}

// Batch is a list of operations for one worker, carried out in order.
type Batch struct {
	Holder Holder `json:"holder"`
	// TTL is the life of the holder's lease on the worker after this call.
	TTL time.Duration `json:"ttl"`
	Ops []Op          `json:"ops"`
}

// TaskReportKind is the kind of a worker's report on a task.
type TaskReportKind string

// The kinds of report.
const (
	ReportEnded  TaskReportKind = "ended"
	ReportLapsed TaskReportKind = "lapsed"
	ReportUsage  TaskReportKind = "usage"
)

// TaskReport is a worker's report on a task, numbered for each worker.
type TaskReport struct {
	Seq    uint64         `json:"seq"`
	Kind   TaskReportKind `json:"kind"`
	Task   core.TaskRef   `json:"task"`
	OK     bool           `json:"ok,omitempty"`
	Output []byte         `json:"output,omitempty"`
	Ran    time.Duration  `json:"ran,omitempty"`
	Lag    time.Duration  `json:"lag,omitempty"`
	// Started is false when only a reservation lapsed.
	Started bool `json:"started,omitempty"`
}

// HeldTask is one task or reservation on a worker.
type HeldTask struct {
	Task    core.TaskRef `json:"task"`
	Cell    core.Cell    `json:"cell"`
	Started bool         `json:"started"`
	Job     core.Job     `json:"job"`
}

// RenewRequest renews the holder's lease on a worker and waits for reports.
type RenewRequest struct {
	Holder Holder        `json:"holder"`
	TTL    time.Duration `json:"ttl"`
	// After is the highest report number received; reports up to it may be dropped.
	After uint64 `json:"after"`
	// Wait is how long to hold the call when there is nothing to report.
	Wait time.Duration `json:"wait"`
	// List asks for all held tasks in the answer.
	List bool `json:"list,omitempty"`
	// Usage asks for usage reports in the answer. They do not cut the wait short.
	Usage bool `json:"usage,omitempty"`
}

// RenewReply answers a renewal.
type RenewReply struct {
	OK bool `json:"ok"`
	// Reason and Term tell why a renewal was refused and the term that the worker knows.
	Reason  core.RefusalReason `json:"reason,omitempty"`
	Term    core.Term          `json:"term"`
	Reports []TaskReport       `json:"reports,omitempty"`
	Tasks   []HeldTask         `json:"tasks,omitempty"`
	Leaving bool               `json:"leaving,omitempty"`
	// Boot changes when the worker has restarted and lost all that it held.
	Boot uint64 `json:"boot,omitempty"`
}

// Backend is the backend server of a worker. Every call names its holder; a worker
// refuses a term below the highest it has seen, and a second holder of that term.
type Backend interface {
	// Do carries out a batch. Without an error there is one result for each operation;
	// it fails with ErrNotApplied or ErrUnknown.
	Do(ctx context.Context, addr string, batch Batch) ([]OpResult, error)
	// Renew renews the lease and returns reports as soon as there are any.
	Renew(ctx context.Context, addr string, req RenewRequest) (RenewReply, error)
}
