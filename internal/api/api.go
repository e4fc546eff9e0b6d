// Package api declares the JSON bodies of the HTTP interfaces for callers and operators, and
// a client for these interfaces. An Answer type is the body of a response. Durations are in
// seconds, sizes in bytes.
package api

import (
	"encoding/json"

	"agatewinch/internal/core"
	"agatewinch/internal/errkind"
	"agatewinch/internal/wire"
)

// Paths of the HTTP interfaces; api/openapi.yaml describes them.
const (
	PathJobs          = "/v1/jobs"
	PathConfig        = "/v1/config"
	PathStatus        = "/v1/status"
	PathOrganisations = "/v1/organisations"
	PathDrains        = "/v1/drains"
	PathReady         = "/readyz"
	PathVars          = "/debug/vars"
)

// HeaderRequestID is the header with the caller's request ID: set in responses, optional
// in requests.
const HeaderRequestID = "Request-Id"

// MaxWaitSeconds is the longest time for which a call may wait for a job to end.
const MaxWaitSeconds = 30

// SubmitRequest submits a job. A repeated request with the same request ID and body refers
// to the job of the first one.
type SubmitRequest struct {
	RequestID string `json:"request_id" validate:"request_id"`
	// Organisation is optional; it is implied by the API key.
	Organisation string     `json:"organisation,omitempty" validate:"max=64"`
	Caller       string     `json:"caller" validate:"required,printascii,max=64"`
	Class        string     `json:"class" validate:"required,max=64"`
	Shape        core.Shape `json:"shape"`
	// Idempotent means that the job may be run more than once.
	Idempotent bool `json:"idempotent"`
	// DeclaredRunSeconds is the caller's estimate of the run time.
	DeclaredRunSeconds float64 `json:"declared_run_seconds" validate:"gte=0,lte=31536000"`
	// DeadlineSeconds is the maximum time until the job starts; zero means no deadline.
	DeadlineSeconds float64 `json:"deadline_seconds" validate:"gte=0,lte=31536000"`
	// WaitSeconds is how long the call waits for the job to end, at most MaxWaitSeconds.
	WaitSeconds float64 `json:"wait_seconds" validate:"gte=0,lte=30"`
	// Payload is passed to every task without being interpreted.
	Payload json.RawMessage `json:"payload,omitempty" validate:"max=262144"`
}

// JobAnswer describes the state of a job.
type JobAnswer struct {
	RequestID string          `json:"request_id"`
	JobID     core.JobID      `json:"job_id"`
	State     core.JobState   `json:"state"`
	Workers   []core.WorkerID `json:"workers,omitempty"`
	Outputs   []Output        `json:"outputs,omitempty"`
	Error     *ErrorBody      `json:"error,omitempty"`
}

// Output is the result of one task.
type Output struct {
	Worker core.WorkerID `json:"worker"`
	Text   string        `json:"text"`
}

// ListAnswer lists jobs that have not ended. Unreachable names the schedulers whose jobs
// are missing.
type ListAnswer struct {
	Jobs        []JobSummary `json:"jobs"`
	Unreachable []string     `json:"unreachable,omitempty"`
}

// JobSummary is one job of a ListAnswer.
type JobSummary struct {
	JobID        core.JobID     `json:"job_id"`
	Organisation core.OrgID     `json:"organisation"`
	Caller       core.CallerID  `json:"caller"`
	Class        core.ClassName `json:"class"`
	State        core.JobState  `json:"state"`
	Shape        core.Shape     `json:"shape"`
}

// NewJobSummary converts a scheduler's JobSummary to that of the API.
func NewJobSummary(j wire.JobSummary) JobSummary {
	return JobSummary{JobID: j.Job, Organisation: j.Org, Caller: j.Caller, Class: j.Class, State: j.State, Shape: j.Shape}
}

// ErrorBody describes a failed request or job. Retryable is a property of the kind. So is
// Ran for a request; for a failed job it is taken from the job's outcome.
type ErrorBody struct {
	Kind              errkind.Kind `json:"kind"`
	Message           string       `json:"message"`
	Retryable         bool         `json:"retryable"`
	Ran               errkind.Ran  `json:"ran"`
	RetryAfterSeconds float64      `json:"retry_after_seconds,omitempty"`
}

// ErrorAnswer is the body of every error response, except that of a failed job.
type ErrorAnswer struct {
	RequestID string    `json:"request_id,omitempty"`
	Error     ErrorBody `json:"error"`
}

// NewErrorBody returns the body for e, with the properties of its kind from errkind's table.
func NewErrorBody(e *errkind.Error) ErrorBody {
	p := errkind.PropertiesOf(e.Kind)
	return ErrorBody{Kind: e.Kind, Message: e.Message, Retryable: p.Retryable, Ran: p.Ran, RetryAfterSeconds: e.RetryAfterSeconds}
}
