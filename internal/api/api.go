// Package api declares the bodies of the callers' and operators' HTTP interfaces, in
// JSON, and a client for them. Durations are in seconds, sizes in bytes.
package api

import (
	"encoding/json"

	"agatewinch/internal/core"
	"agatewinch/internal/errkind"
	"agatewinch/internal/wire"
)

// Paths of the HTTP interfaces; api/openapi.yaml describes them.
const (
	PathJobs    = "/v1/jobs"
	PathConfig  = "/v1/config"
	PathStatus  = "/v1/status"
	PathAllJobs = "/v1/organisations"
	PathDrains  = "/v1/drains"
	PathReady   = "/readyz"
	PathVars    = "/debug/vars"
)

// HeaderRequestID carries the caller's request ID in answers, and may in requests.
const HeaderRequestID = "Request-Id"

// MaxWaitSeconds bounds how long one call may be held.
const MaxWaitSeconds = 30

// SubmitRequest asks for a job to run. The same request ID with the same body joins
// the first submission.
type SubmitRequest struct {
	RequestID string `json:"request_id" validate:"request_id"`
	// Organisation may be left out: it is the key's.
	Organisation string     `json:"organisation,omitempty" validate:"max=64"`
	Caller       string     `json:"caller" validate:"required,printascii,max=64"`
	Class        string     `json:"class" validate:"required,max=64"`
	Shape        core.Shape `json:"shape"`
	// Idempotent says that the job may run more than once.
	Idempotent bool `json:"idempotent"`
	// DeclaredRunSeconds is the caller's estimate of the run time.
	DeclaredRunSeconds float64 `json:"declared_run_seconds" validate:"gte=0,lte=31536000"`
	// DeadlineSeconds bounds the wait for a start; zero means none.
	DeadlineSeconds float64 `json:"deadline_seconds" validate:"gte=0,lte=31536000"`
	// WaitSeconds holds the call until the job ends, at most MaxWaitSeconds.
	WaitSeconds float64 `json:"wait_seconds" validate:"gte=0,lte=30"`
	// Payload is passed to every task unread.
	Payload json.RawMessage `json:"payload,omitempty" validate:"max=262144"`
}

// JobAnswer tells a job's state.
type JobAnswer struct {
	RequestID string          `json:"request_id"`
	JobID     core.JobID      `json:"job_id"`
	State     core.JobState   `json:"state"`
	Workers   []core.WorkerID `json:"workers,omitempty"`
	Outputs   []Output        `json:"outputs,omitempty"`
	Error     *ErrorBody      `json:"error,omitempty"`
}

// Output is what one task returned.
type Output struct {
	Worker core.WorkerID `json:"worker"`
	Text   string        `json:"text"`
}

// ListAnswer lists live jobs. Unreachable names the schedulers whose jobs are missing.
type ListAnswer struct {
	Jobs        []JobSummary `json:"jobs"`
	Unreachable []string     `json:"unreachable,omitempty"`
}

// JobSummary is one live job.
type JobSummary struct {
	JobID        core.JobID     `json:"job_id"`
	Organisation core.OrgID     `json:"organisation"`
	Caller       core.CallerID  `json:"caller"`
	Class        core.ClassName `json:"class"`
	State        core.JobState  `json:"state"`
	Shape        core.Shape     `json:"shape"`
}

// NewJobSummary returns a scheduler's line as the API shows it.
func NewJobSummary(j wire.JobSummary) JobSummary {
	return JobSummary{JobID: j.Job, Organisation: j.Org, Caller: j.Caller, Class: j.Class, State: j.State, Shape: j.Shape}
}

// ErrorBody is the closed form of every error.
type ErrorBody struct {
	Kind              errkind.Kind `json:"kind"`
	Message           string       `json:"message"`
	Retryable         bool         `json:"retryable"`
	Ran               errkind.Ran  `json:"ran"`
	RetryAfterSeconds float64      `json:"retry_after_seconds,omitempty"`
}

// ErrorAnswer is the body of every answer that is not a success.
type ErrorAnswer struct {
	RequestID string    `json:"request_id,omitempty"`
	Error     ErrorBody `json:"error"`
}

// NewErrorBody fills the table's row for e.
func NewErrorBody(e *errkind.Error) ErrorBody {
	a := errkind.AnswerFor(e.Kind)
	return ErrorBody{Kind: e.Kind, Message: e.Message, Retryable: a.Retryable, Ran: a.Ran, RetryAfterSeconds: e.RetryAfterSeconds}
}
