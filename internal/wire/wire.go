// Package wire declares the messages between agatewinch's own processes. They are sent as
// CBOR in WebSocket binary messages, one Envelope in each. The answer to a request is called a
// reply here; that of the HTTP interfaces, declared in package api, is called a response.
package wire

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"agatewinch/internal/core"
	"agatewinch/internal/errkind"
	"agatewinch/internal/metrics"
)

// Version is the protocol version that this build uses.
const Version = 1

// MaxMessageBytes is the maximum size of a message, including the envelope.
const MaxMessageBytes = 4 << 20

// Kind is the type of a message.
type Kind string

// The kinds of request. Entry hosts exchange KindRelay and KindTakeOver, whose bodies package
// relay declares: KindRelay passes on a caller's request, and KindTakeOver asks the receiver
// to take over the leader role.
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
	KindTakeOver  Kind = "succeed"
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

// Error is the encoded form of an errkind.Error.
type Error struct {
	Kind              errkind.Kind `cbor:"1,keyasint"`
	Message           string       `cbor:"2,keyasint"`
	RetryAfterSeconds float64      `cbor:"3,keyasint,omitempty"`
}

// Submit submits a job to a zone's active scheduler and waits for the job to end.
type Submit struct {
	Job core.Job
	// Digest is a hash of the caller's request. It distinguishes a retry from a different
	// request with the same ID.
	Digest uint64
	// Wait is the maximum time to wait for the job to end. Zero means that the request is
	// answered as soon as the job is admitted.
	Wait time.Duration
}

// Wait waits for a job to end, for at most the time in Wait; answered by JobReply.
type Wait struct {
	Job  core.JobID
	Wait time.Duration
}

// JobReply describes a job's state; Outcome is set if the job has ended.
type JobReply struct {
	Job     core.JobID
	State   core.JobState
	Workers []core.WorkerID
	Outcome *core.Outcome
	// Zone is the availability zone that owns the job.
	Zone core.ZoneID
	// Elsewhere is true if the answering scheduler does not serve the job, or no longer
	// does: the job is admitted, and the sender must repeat the request to the active
	// scheduler of Zone, with the same Submit if the job is idempotent and with Wait
	// otherwise.
	Elsewhere bool
}

// Cancel cancels a job; answered by JobReply.
type Cancel struct{ Job core.JobID }

// List requests the jobs of an organisation that have not ended, or of all organisations
// if Org is empty.
type List struct {
	Org   core.OrgID
	Limit int
}

// ListReply answers List.
type ListReply struct{ Jobs []JobSummary }

// JobSummary is one job of a ListReply.
type JobSummary struct {
	Job    core.JobID
	Org    core.OrgID
	Caller core.CallerID
	Class  core.ClassName
	State  core.JobState
	Shape  core.Shape
}

// Explain asks why a job is still waiting; answered by core.Explanation.
type Explain struct{ Job core.JobID }

// Drain marks a worker as leaving, so that it gets no new tasks, or removes the mark if Undo
// is true.
type Drain struct {
	Worker core.WorkerID
	Undo   bool
}

// Roles of the processes that exchange heartbeats.
const (
	RoleGate      = "gate"
	RoleScheduler = "scheduler"
)

// Heartbeat describes the sender to a peer, which replies with its own Heartbeat. Addr is the
// address at which the sender accepts peers' connections. Active is true for a zone's active
// scheduler.
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
	// Incarnation is a random number that is drawn at each start of a process.
	Incarnation uint64 `cbor:"10,keyasint,omitempty" json:"incarnation,omitempty"`
	// Seq increases with each heartbeat of an incarnation, so that a heartbeat that
	// arrives late is recognised as older.
	Seq uint64 `cbor:"11,keyasint,omitempty" json:"seq,omitempty"`
	// ReceivesHeartbeats is true if the sender has received a heartbeat from the receiver
	// within the heartbeat timeout.
	ReceivesHeartbeats bool `cbor:"12,keyasint,omitempty" json:"hears,omitempty"`
}

// StatusReply describes one process to operators, who also receive it as JSON.
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
	// Metrics are the histograms of times that the process has measured.
	Metrics []metrics.Row `json:"metrics,omitempty"`
}

// WorkerStatus describes one worker to operators.
type WorkerStatus struct {
	Worker core.WorkerID     `json:"worker"`
	Rack   core.RackID       `json:"rack"`
	Health core.WorkerHealth `json:"health"`
	Tasks  int               `json:"tasks"`
}

// Config requests the accepted configuration. Have is the sender's own generation.
type Config struct{ Have core.Generation }

// ConfigReply answers Config with the peer's accepted configuration. Record is the record as
// stored in the log; it may be missing if Generation is not newer than Have.
type ConfigReply struct {
	Generation core.Generation
	Record     []byte
}

// Empty is the body of a message without content.
type Empty struct{}
