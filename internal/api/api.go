// Package api declares the bodies of the callers' and operators' HTTP interfaces, in
// JSON, and a client for them. Durations are in seconds, sizes in bytes.
package api

import (
	"encoding/json"

	"agatewinch/internal/config"
	"agatewinch/internal/core"
	"agatewinch/internal/errkind"
	"agatewinch/internal/wire"
)

// Paths of the HTTP interfaces.
const (
	PathJobs   = "/v1/jobs"
	PathConfig = "/v1/config"
	PathStatus = "/v1/status"
	PathReady  = "/readyz"
)

// SubmitRequest asks for a job to run.
type SubmitRequest struct {
	RequestID  string     `json:"request_id" validate:"required,max=64"`
	Caller     string     `json:"caller" validate:"required,max=64"`
	Class      string     `json:"class" validate:"required,max=64"`
	Shape      core.Shape `json:"shape"`
	Idempotent bool       `json:"idempotent"`
	// DeclaredRunSeconds is the caller's estimate of the run time.
	DeclaredRunSeconds float64 `json:"declared_run_seconds" validate:"gte=0"`
	// DeadlineSeconds bounds the wait for a start; zero means none.
	DeadlineSeconds float64 `json:"deadline_seconds" validate:"gte=0"`
	// WaitSeconds holds the call until the job ends, at most 30.
	WaitSeconds float64 `json:"wait_seconds" validate:"gte=0,lte=30"`
	// Payload is passed to every task unread.
	Payload json.RawMessage `json:"payload,omitempty"`
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

// ConfigAnswer is the configuration in force.
type ConfigAnswer struct {
	Generation core.Generation `json:"generation"`
	Set        *config.Set     `json:"set,omitempty"`
}

// ApplyRequest replaces the whole configuration.
type ApplyRequest struct {
	// ID names the attempt; the same ID again finds the first attempt's result.
	ID string `json:"id,omitempty" validate:"max=64"`
	// Base is the generation that the set builds on.
	Base core.Generation `json:"base"`
	Set  config.Set      `json:"set"`
	// DryRun only checks the set.
	DryRun bool `json:"dry_run,omitempty"`
	// Force is for a log that has lost the configuration.
	Force bool `json:"force,omitempty"`
}

// ApplyAnswer tells the accepted generation; zero for a dry run.
type ApplyAnswer struct {
	Generation core.Generation `json:"generation"`
}

// StatusAnswer describes all schedulers that a gate reaches.
type StatusAnswer struct {
	Gate       string             `json:"gate"`
	Generation core.Generation    `json:"generation"`
	Schedulers []wire.StatusReply `json:"schedulers"`
	// Unreachable lists the addresses that did not answer.
	Unreachable []string `json:"unreachable,omitempty"`
}
