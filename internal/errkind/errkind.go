// Package errkind defines the complete set of error kinds that callers, operators and
// peers can receive, and the table of their properties. Every error that leaves a process
// has one of these kinds; an error without a kind becomes Internal.
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

// Kind is an error kind. Its text is part of the public API.
type Kind string

// All error kinds.
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

// Ran tells whether the work of a failed request took effect.
type Ran string

// The values of Ran.
const (
	RanNo      Ran = "no"
	RanYes     Ran = "yes"
	RanUnknown Ran = "unknown"
)

// Properties holds the properties of one error kind.
type Properties struct {
	// Status is the HTTP status code.
	Status int
	// Retryable tells whether the same request may be sent again.
	Retryable bool
	// Ran tells whether the work took effect.
	Ran Ran
	// Meaning explains the kind to callers in one sentence.
	Meaning string
}

var table = map[Kind]Properties{
	InvalidRequest:   {http.StatusBadRequest, false, RanNo, "The request is malformed or a field is out of range."},
	UnknownOrg:       {http.StatusNotFound, false, RanNo, "The organisation is not in the configuration in force."},
	UnknownClass:     {http.StatusUnprocessableEntity, false, RanNo, "The class is not in the configuration in force."},
	LimitExceeded:    {http.StatusUnprocessableEntity, false, RanNo, "The request exceeds a limit of its class or organisation; the message names the limit."},
	RateLimited:      {http.StatusTooManyRequests, true, RanNo, "The organisation exceeds its limit of requests a second; Retry-After says when to retry."},
	Overloaded:       {http.StatusServiceUnavailable, true, RanNo, "This host is at its limit of open requests, of bytes that it holds for them, or of requests that wait for the log, or the body arrived too slowly; Retry-After says when to retry."},
	NoConfiguration:  {http.StatusServiceUnavailable, true, RanNo, "No configuration is in force on this host yet."},
	Unauthenticated:  {http.StatusUnauthorized, false, RanNo, "The API key is missing or wrong."},
	Forbidden:        {http.StatusForbidden, false, RanNo, "The API key does not allow this action."},
	NotFound:         {http.StatusNotFound, false, RanUnknown, "No such job, worker or queue is known here; a job may have ended long ago."},
	JobUnknown:       {http.StatusGone, false, RanUnknown, "No job with this ID is known; it was never accepted, or it ended long ago."},
	RequestMismatch:  {http.StatusConflict, false, RanNo, "The request ID was used before with a different body; the request with this body was not run."},
	TooLarge:         {http.StatusRequestEntityTooLarge, false, RanNo, "The request body exceeds the size limit."},
	NeverRunnable:    {http.StatusUnprocessableEntity, false, RanNo, "No set of workers can ever run this job; the message names the missing resource."},
	QueueFull:        {http.StatusTooManyRequests, true, RanNo, "The queue for this organisation and class is full; Retry-After says when to retry."},
	QuotaExceeded:    {http.StatusTooManyRequests, true, RanNo, "The organisation has too many requests in progress at this gate; Retry-After says when to retry."},
	DeadlineExceeded: {http.StatusGatewayTimeout, false, RanNo, "The deadline passed before the job started."},
	Cancelled:        {http.StatusConflict, false, RanUnknown, "The job was cancelled; the job's state says whether it had started."},
	TaskFailed:       {http.StatusBadGateway, false, RanYes, "The job ran and failed."},
	OutcomeUnknown:   {http.StatusBadGateway, false, RanUnknown, "The job may have run; its outcome cannot be established."},
	NoScheduler:      {http.StatusServiceUnavailable, true, RanNo, "No active scheduler can be reached, or none accepted the request."},
	LogUnavailable:   {http.StatusServiceUnavailable, true, RanNo, "The platform's log cannot be read or written, and this request needs it."},
	Draining:         {http.StatusServiceUnavailable, true, RanNo, "This host is shutting down; retry at another host."},
	Conflict:         {http.StatusConflict, true, RanNo, "The request does not build on the configuration in force; the message names the generation in force."},
	InvalidConfig:    {http.StatusUnprocessableEntity, false, RanNo, "The configuration is invalid and was rejected; every fault is listed."},
	Internal:         {http.StatusInternalServerError, false, RanUnknown, "An unexpected fault in the system; the event log holds the cause."},
}

// Kinds returns all kinds except None, sorted by name.
func Kinds() []Kind {
	return slices.Sorted(maps.Keys(table))
}

// Table returns the kinds and their properties as a Markdown table.
func Table() string {
	var b strings.Builder
	b.WriteString("| kind | HTTP status | retryable | did it run | meaning |\n|---|---|---|---|---|\n")
	for _, k := range Kinds() {
		p := table[k]
		fmt.Fprintf(&b, "| `%s` | %d | %t | %s | %s |\n", k, p.Status, p.Retryable, p.Ran, p.Meaning)
	}
	return b.String()
}

// PropertiesOf returns the properties of k, or those of Internal if k is unknown.
func PropertiesOf(k Kind) Properties {
	if p, ok := table[k]; ok {
		return p
	}
	return table[Internal]
}

// Error is an error with a kind and a message for its receiver.
type Error struct {
	Kind    Kind
	Message string
	// RetryAfterSeconds is the delay after which to retry; zero means that none is given.
	RetryAfterSeconds float64
}

// Error returns the kind and the message.
func (e *Error) Error() string { return string(e.Kind) + ": " + e.Message }

// New returns an error of kind k with a stack trace.
func New(k Kind, format string, args ...any) error {
	return trace.Wrap(&Error{Kind: k, Message: fmt.Sprintf(format, args...)})
}

// Of returns the Error in err's chain. An error without a kind becomes Internal, and its
// text is not disclosed.
func Of(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return &Error{Kind: Internal, Message: "internal error"}
}

// Is reports whether err's chain contains an Error of kind k.
func Is(err error, k Kind) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == k
}
