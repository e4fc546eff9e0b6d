// Package errkind holds the closed list of error kinds that callers, operators
// and peers can receive, and the one table from kind to answer. Every error that
// leaves a process carries one of these kinds; anything else is Internal.
package errkind

import (
	"errors"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"

	"github.com/gravitational/trace"
)

// Kind names one error kind. The text form is part of the public API.
type Kind string

// The closed list of error kinds.
const (
	None             Kind = ""
	InvalidRequest   Kind = "invalid_request"
	UnknownOrg       Kind = "unknown_organisation"
	UnknownClass     Kind = "unknown_class"
	LimitExceeded    Kind = "limit_exceeded"
	RateLimited      Kind = "rate_limited"
	Overloaded       Kind = "overloaded"
	NoConfiguration  Kind = "no_configuration"
	Unauthenticated  Kind = "unauthenticated"
	Forbidden        Kind = "forbidden"
	NotFound         Kind = "not_found"
	JobUnknown       Kind = "job_unknown"
	RequestMismatch  Kind = "request_mismatch"
	TooLarge         Kind = "too_large"
	NeverRunnable    Kind = "never_runnable"
	QueueFull        Kind = "queue_full"
	QuotaExceeded    Kind = "quota_exceeded"
	DeadlineExceeded Kind = "deadline_exceeded"
	Cancelled        Kind = "cancelled"
	TaskFailed       Kind = "task_failed"
	OutcomeUnknown   Kind = "outcome_unknown"
	NoScheduler      Kind = "no_scheduler"
	LogUnavailable   Kind = "log_unavailable"
	Draining         Kind = "draining"
	Conflict         Kind = "generation_conflict"
	InvalidConfig    Kind = "invalid_configuration"
	Internal         Kind = "internal"
)

// Ran says whether the work of a failed request took effect.
type Ran string

// The three possible answers to "did it run".
const (
	RanNo      Ran = "no"
	RanYes     Ran = "yes"
	RanUnknown Ran = "unknown"
)

// Answer is the row of the table for one kind.
type Answer struct {
	// Status is the HTTP status code.
	Status int
	// Retryable says whether the same request may be sent again.
	Retryable bool
	// Ran says whether the work took effect.
	Ran Ran
	// Meaning is one sentence for callers.
	Meaning string
}

var table = map[Kind]Answer{
	InvalidRequest:   {http.StatusBadRequest, false, RanNo, "The request is malformed or a field is out of range."},
	UnknownOrg:       {http.StatusNotFound, false, RanNo, "The organisation is not in the configuration in force."},
	UnknownClass:     {http.StatusUnprocessableEntity, false, RanNo, "The class is not in the configuration in force."},
	LimitExceeded:    {http.StatusUnprocessableEntity, false, RanNo, "The request is over a limit of its class or organisation; the message names the limit."},
	RateLimited:      {http.StatusTooManyRequests, true, RanNo, "The organisation sends more requests a second than it may; Retry-After says when to come back."},
	Overloaded:       {http.StatusServiceUnavailable, true, RanNo, "This host has as many open requests as it takes; Retry-After says when to come back."},
	NoConfiguration:  {http.StatusServiceUnavailable, true, RanNo, "No configuration is in force on this host yet."},
	Unauthenticated:  {http.StatusUnauthorized, false, RanNo, "The API key is missing or wrong."},
	Forbidden:        {http.StatusForbidden, false, RanNo, "The API key does not allow this action."},
	NotFound:         {http.StatusNotFound, false, RanUnknown, "No such job is known here; it may have ended long ago."},
	JobUnknown:       {http.StatusGone, false, RanUnknown, "No job of this ID is known; it was never accepted, or it ended long ago."},
	RequestMismatch:  {http.StatusConflict, false, RanNo, "The request ID was used before with a different body; this body did not run."},
	TooLarge:         {http.StatusRequestEntityTooLarge, false, RanNo, "The request body is over the limit."},
	NeverRunnable:    {http.StatusUnprocessableEntity, false, RanNo, "No set of workers could ever hold this job; the message names the missing resource."},
	QueueFull:        {http.StatusTooManyRequests, true, RanNo, "The queue for this organisation and class is full; Retry-After says when to come back."},
	QuotaExceeded:    {http.StatusTooManyRequests, true, RanNo, "The organisation is at its limit for this class."},
	DeadlineExceeded: {http.StatusGatewayTimeout, false, RanNo, "The deadline passed before the job started."},
	Cancelled:        {http.StatusConflict, false, RanUnknown, "The job was cancelled; the job's state says whether it had started."},
	TaskFailed:       {http.StatusBadGateway, false, RanYes, "The job ran and failed."},
	OutcomeUnknown:   {http.StatusBadGateway, false, RanUnknown, "The job may have run; its outcome cannot be established."},
	NoScheduler:      {http.StatusServiceUnavailable, true, RanNo, "No active scheduler can be reached; nothing was sent."},
	LogUnavailable:   {http.StatusServiceUnavailable, true, RanNo, "The platform's log cannot be written, and this request needs it."},
	Draining:         {http.StatusServiceUnavailable, true, RanNo, "This host is stopping; another one will take the request."},
	Conflict:         {http.StatusConflict, true, RanNo, "The configuration changed meanwhile; the message names both generations."},
	InvalidConfig:    {http.StatusUnprocessableEntity, false, RanNo, "The configuration is refused; every fault is listed."},
	Internal:         {http.StatusInternalServerError, false, RanUnknown, "An unexpected fault in the system; the event log holds the cause."},
}

// Kinds returns every kind, by name.
func Kinds() []Kind {
	return slices.Sorted(maps.Keys(table))
}

// Table returns the table as rows of Markdown.
func Table() string {
	var b strings.Builder
	b.WriteString("| kind | HTTP status | retryable | did it run | meaning |\n|---|---|---|---|---|\n")
	for _, k := range Kinds() {
		a := table[k]
		fmt.Fprintf(&b, "| `%s` | %d | %t | %s | %s |\n", k, a.Status, a.Retryable, a.Ran, a.Meaning)
	}
	return b.String()
}

// AnswerFor returns the table's row for k; an unlisted kind answers as Internal.
func AnswerFor(k Kind) Answer {
	if a, ok := table[k]; ok {
		return a
	}
	return table[Internal]
}

// Error is an error with a kind and a message meant for its receiver.
type Error struct {
	Kind    Kind
	Message string
	// RetryAfterSeconds tells when to come back; zero means no advice.
	RetryAfterSeconds float64
}

// Error returns the kind and the message.
func (e *Error) Error() string { return string(e.Kind) + ": " + e.Message }

// New returns a traced error of kind k.
func New(k Kind, format string, args ...any) error {
	return trace.Wrap(&Error{Kind: k, Message: fmt.Sprintf(format, args...)})
}

// Of returns the kinded error inside err; an error without a kind becomes Internal.
func Of(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return &Error{Kind: Internal, Message: "internal error"}
}

// Is reports whether err carries kind k.
func Is(err error, k Kind) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == k
}
