// Package wire declares the messages between agatewinch's own processes. They travel
// as CBOR in WebSocket binary messages, one Envelope in each.
package wire

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"agatewinch/internal/core"
	"agatewinch/internal/errkind"
	"agatewinch/internal/metrics"
)

// Version is the protocol version that this build speaks.
const Version = 1

// MaxMessageBytes bounds one message, envelope included.
const MaxMessageBytes = 4 << 20

// Kind names a message type.
type Kind string

// The kinds of request.
const (
	KindSubmit    Kind = "submit"
	KindWait      Kind = "wait"
	KindCancel    Kind = "cancel"
	KindList      Kind = "list"
	KindExplain   Kind = "explain"
	KindStatus    Kind = "status"
	KindHeartbeat Kind = "heartbeat"
	KindConfig    Kind = "config"
	KindDrain     Kind = "drain"
	KindRelay     Kind = "relay"
	KindSucceed   Kind = "succeed"
)

// Envelope carries one request or one reply. A reply has the ID of its request.
type Envelope struct {
	Version int             `cbor:"1,keyasint"`
	ID      uint64          `cbor:"2,keyasint"`
	Kind    Kind            `cbor:"3,keyasint"`
	Reply   bool            `cbor:"4,keyasint,omitempty"`
	Body    cbor.RawMessage `cbor:"5,keyasint,omitempty"`
	Error   *Error          `cbor:"6,keyasint,omitempty"`
}

// Error is a kinded error on the wire.
type Error struct {
	Kind              errkind.Kind `cbor:"1,keyasint"`
	Message           string       `cbor:"2,keyasint"`
	RetryAfterSeconds float64      `cbor:"3,keyasint,omitempty"`
}

// Submit hands a job to a zone's active scheduler and waits for its end.
type Submit struct {
	Job core.Job
	// Digest is a hash of the caller's request, to tell a retry from another request
	// with the same ID.
	Digest uint64
	// Wait bounds the wait for the job's end; zero answers at admission.
	Wait time.Duration
}

// Wait asks for a job's end.
type Wait struct {
	Job  core.JobID
	Wait time.Duration
}

// JobReply tells a job's state; Outcome is set when the job has ended.
type JobReply struct {
	Job     core.JobID
	State   core.JobState
	Workers []core.WorkerID
	Outcome *core.Outcome
	// Zone is the availability zone that owns the job.
	Zone core.ZoneID
	// Elsewhere is true when the answering scheduler does not serve the job, or no
	// longer does: the job is admitted, and the active scheduler of Zone is to be asked
	// again, with the same Submit where the job is idempotent and with Wait otherwise.
	Elsewhere bool
}

// Cancel asks for a job's end; answered by JobReply.
type Cancel struct{ Job core.JobID }

// List asks for an organisation's live jobs; an empty Org asks for all.
type List struct {
	Org   core.OrgID
	Limit int
}

// ListReply answers List.
type ListReply struct{ Jobs []JobSummary }

// JobSummary is one line of a list of jobs.
type JobSummary struct {
	Job    core.JobID
	Org    core.OrgID
	Caller core.CallerID
	Class  core.ClassName
	State  core.JobState
	Shape  core.Shape
}

// Explain asks why a job waits; answered by core.Explanation.
type Explain struct{ Job core.JobID }

// Drain marks a worker as leaving, or takes the mark back.
type Drain struct {
	Worker core.WorkerID
	Undo   bool
}

// Roles of the processes that exchange heartbeats.
const (
	RoleGate      = "gate"
	RoleScheduler = "scheduler"
)

// Heartbeat tells a peer about the sender; it is answered by the receiver's own.
type Heartbeat struct {
	Host       string          `cbor:"1,keyasint" json:"host"`
	Role       string          `cbor:"2,keyasint" json:"role"`
	Zone       core.ZoneID     `cbor:"3,keyasint" json:"zone"`
	Addr       string          `cbor:"4,keyasint,omitempty" json:"addr,omitempty"`
	Active     bool            `cbor:"5,keyasint,omitempty" json:"active,omitempty"`
	Term       core.Term       `cbor:"6,keyasint,omitempty" json:"term,omitempty"`
	Leaving    bool            `cbor:"7,keyasint,omitempty" json:"leaving,omitempty"`
	Generation core.Generation `cbor:"8,keyasint,omitempty" json:"generation,omitempty"`
	Load       core.Stats      `cbor:"9,keyasint,omitempty" json:"load,omitempty"`
	// Incarnation is drawn anew at each start of a process.
	Incarnation uint64 `cbor:"10,keyasint,omitempty" json:"incarnation,omitempty"`
	// Seq grows with each heartbeat of an incarnation, so that a late one is told apart.
	Seq uint64 `cbor:"11,keyasint,omitempty" json:"seq,omitempty"`
	// Hears is true when the sender has heard the receiver within its timeout.
	Hears bool `cbor:"12,keyasint,omitempty" json:"hears,omitempty"`
}

// StatusReply describes one process to operators, who get it as JSON too.
type StatusReply struct {
	Host       string          `json:"host"`
	Zone       core.ZoneID     `json:"zone"`
	Active     bool            `json:"active"`
	Term       core.Term       `json:"term"`
	LogUp      bool            `json:"log_up"`
	Generation core.Generation `json:"generation"`
	Load       core.Stats      `json:"load"`
	Workers    []WorkerStatus  `json:"workers"`
	Peers      []Heartbeat     `json:"peers,omitempty"`
	// Metrics are the times measured by the process.
	Metrics []metrics.Row `json:"metrics,omitempty"`
}

// WorkerStatus describes one worker to operators.
type WorkerStatus struct {
	Worker core.WorkerID     `json:"worker"`
	Rack   core.RackID       `json:"rack"`
	Health core.WorkerHealth `json:"health"`
	Tasks  int               `json:"tasks"`
}

// Config asks for the accepted configuration if it is newer than Have.
type Config struct{ Have core.Generation }

// ConfigReply carries the sender's accepted configuration as it stands in the log.
type ConfigReply struct {
	Generation core.Generation
	Record     []byte
}

// Empty is the body of a message that carries nothing.
type Empty struct{}
