package main

import (
	"errors"

	"github.com/gravitational/trace"

	"agatewinch/internal/api"
	"agatewinch/internal/errkind"
)

// Exit codes. They are part of the command's interface.
const (
	exitOK          = 0
	exitInternal    = 1
	exitUsage       = 2
	exitUnreachable = 3
	exitRefusedKey  = 4
	exitConflict    = 5
	exitNotFound    = 6
	exitTryAgain    = 7
	exitJobFailed   = 8
	exitUnknown     = 9
	exitDifferent   = 10
)

const exitCodesHelp = `Exit codes:
  0   done
  1   unexpected error
  2   wrong usage, invalid request or invalid configuration
  3   the gate cannot be reached
  4   the key is wrong or does not allow this
  5   the configuration changed meanwhile, or the request ID was used before
  6   no such job, organisation, class or host
  7   refused and nothing ran; try again later
  8   the job failed or can never run
  9   the outcome is unknown
  10  diff: the files differ from what is in force`

var exitCodes = map[errkind.Kind]int{
	errkind.InvalidRequest:   exitUsage,
	errkind.TooLarge:         exitUsage,
	errkind.InvalidConfig:    exitUsage,
	errkind.LimitExceeded:    exitUsage,
	errkind.Unauthenticated:  exitRefusedKey,
	errkind.Forbidden:        exitRefusedKey,
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
	errkind.OutcomeUnknown:   exitUnknown,
	errkind.Internal:         exitInternal,
}

// usageError is a fault in the command line or in the files it names.
type usageError struct{ error }

// Unwrap returns the fault.
func (e usageError) Unwrap() error { return e.error }

// errDifferent ends diff when there are differences; they were printed already.
var errDifferent = errors.New("the files differ from what is in force")

// jobError ends a command whose job has failed; its answer was printed already.
type jobError struct{ kind errkind.Kind }

// Error names the kind.
func (e jobError) Error() string { return "the job ended with " + string(e.kind) }

func isSilent(err error) bool {
	var job jobError
	return errors.Is(err, errDifferent) || errors.As(err, &job)
}

// exitCode returns the exit code for a command's result.
func exitCode(err error) int {
	var usage usageError
	var job jobError
	var unreachable *api.UnreachableError
	var kinded *errkind.Error
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
			return exitUnknown
		}
		return exitUnreachable
	case errors.As(err, &kinded):
		return kindExitCode(kinded.Kind)
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
	if errkind.AnswerFor(kind).Retryable {
		return exitTryAgain
	}
	return exitInternal
}
