package main

import (
	"errors"

	"github.com/gravitational/trace"

	"agatewinch/internal/api"
	"agatewinch/internal/errkind"
)

// Exit codes. They are part of the command's public interface.
const (
	exitOK             = 0
	exitInternal       = 1
	exitUsage          = 2
	exitUnreachable    = 3
	exitAccessDenied   = 4
	exitConflict       = 5
	exitNotFound       = 6
	exitTryAgain       = 7
	exitJobFailed      = 8
	exitOutcomeUnknown = 9
	exitDifferent      = 10
)

const exitCodesHelp = `Exit codes:
  0   done
  1   unexpected error
  2   wrong usage, invalid request or invalid configuration
  3   the gate cannot be reached
  4   the key is invalid or lacks the permission
  5   the configuration has changed in the meantime, or the request ID was already used
  6   no such job, organisation, class or host
  7   refused and nothing ran; try again later
  8   the job failed or can never run
  9   the outcome is unknown
  10  diff: the files differ from the configuration in force`

var exitCodes = map[errkind.Kind]int{
	errkind.InvalidRequest:   exitUsage,
	errkind.TooLarge:         exitUsage,
	errkind.InvalidConfig:    exitUsage,
	errkind.LimitExceeded:    exitUsage,
	errkind.Unauthenticated:  exitAccessDenied,
	errkind.Forbidden:        exitAccessDenied,
	errkind.Conflict:         exitConflict,
	errkind.RequestMismatch:  exitConflict,
	errkind.NotFound:         exitNotFound,
	errkind.JobUnknown:       exitNotFound,
	errkind.UnknownOrg:       exitNotFound,
	errkind.UnknownClass:     exitNotFound,
	errkind.NeverRunnable:    exitJobFailed,
	errkind.DeadlineExceeded: exitJobFailed,
	errkind.Cancelled:        exitJobFailed,
	errkind.TaskFailed:       exitJobFailed,
	errkind.OutcomeUnknown:   exitOutcomeUnknown,
	errkind.Internal:         exitInternal,
}

// usageError is an error in the command line or in the files that it names.
type usageError struct{ error }

// Unwrap returns the underlying error.
func (e usageError) Unwrap() error { return e.error }

// errDifferent is returned by diff after it has printed differences.
var errDifferent = errors.New("the files differ from the configuration in force")

// jobError is returned for a failed job after its state has been printed.
type jobError struct{ kind errkind.Kind }

// Error returns a message with the error kind of the job.
func (e jobError) Error() string { return "the job ended with error kind " + string(e.kind) }

// isAlreadyPrinted reports whether the command has already printed what err says.
func isAlreadyPrinted(err error) bool {
	var job jobError
	return errors.Is(err, errDifferent) || errors.As(err, &job)
}

// exitCode maps the result of a command to its exit code.
func exitCode(err error) int {
	var usage usageError
	var job jobError
	var unreachable *api.UnreachableError
	var kindErr *errkind.Error
	switch {
	case err == nil:
		return exitOK
	case errors.Is(err, errDifferent):
		return exitDifferent
	case errors.As(err, &usage):
		return exitUsage
	case errors.As(err, &job):
		return kindExitCode(job.kind)
	case errors.As(err, &unreachable):
		if unreachable.Sent {
			return exitOutcomeUnknown
		}
		return exitUnreachable
	case errors.As(err, &kindErr):
		return kindExitCode(kindErr.Kind)
	case trace.IsNotFound(err), trace.IsBadParameter(err):
		return exitUsage
	default:
		return exitInternal
	}
}

func kindExitCode(kind errkind.Kind) int {
	if code, ok := exitCodes[kind]; ok {
		return code
	}
	if errkind.PropertiesOf(kind).Retryable {
		return exitTryAgain
	}
	return exitInternal
}
