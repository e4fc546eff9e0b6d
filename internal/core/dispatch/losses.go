package dispatch

import (
	"fmt"
	"time"

	"agatewinch/internal/core/job"
)

// Loss is the work of a run that ended before its task was done, in core-seconds, less what its
// checkpoints have saved.
type Loss struct {
	// Cause is why the run was stopped or, if no stop was ordered, how it ended.
	Cause       string
	CoreSeconds float64
}

// countLoss reports the work that is lost with a run that ends in the given way. checkpoint is the one
// that its worker listed with the end. Long-running tasks lose nothing: they have no progress.
func (c *Core) countLoss(now Now, r *run, end job.End, checkpoint string) {
	if end == job.EndDone {
		return
	}
	cause := r.lossCause(end)
	if r.task.done || !r.confirmed || r.task.step.spec.LongRunning {
		return
	}
	r.task.interruptions++
	saved := r.savedAt
	if checkpoint != "" && checkpoint != r.checkpoint {
		saved = now.Mono // the run has saved its progress as it ended
	}
	l := Loss{Cause: cause, CoreSeconds: (now.Mono - max(saved, r.confirmedAt)).Seconds() * r.need.Cores()}
	c.pendingActions.Losses = append(c.pendingActions.Losses, l)
	c.note(Note{Kind: "work lost", Task: r.task.id.String(), Run: r.number, Worker: r.worker.ID, Why: fmt.Sprintf("%s, %.0f core-seconds", l.Cause, l.CoreSeconds)})
}

// gangBreak is what broke a run of a gang: why the first of its members stopped or how it ended.
type gangBreak struct {
	run   int
	cause string
}

// gangBroken is the cause of the stops that follow when a member of a gang has ended.
const gangBroken = "gang broken"

// noteBreak records why a member of the given run of a gang stops or has ended, unless it follows
// another member.
func (s *step) noteBreak(run int, cause string) {
	if s.spec.Gang && cause != gangBroken && cause != string(job.EndBroken) && run > s.gangBreak.run {
		s.gangBreak = gangBreak{run, cause}
	}
}

// lossCause returns why r, which ends in the given way, is lost. For a member that only followed another
// one of its gang it is what happened to that one, if that is known.
func (r *run) lossCause(end job.End) string {
	s := r.task.step
	cause := r.stopCause
	if cause == "" {
		cause = string(end)
	}
	s.noteBreak(r.number, cause)
	if !s.spec.Gang {
		return cause
	}
	if s.gangBreak.run == r.number {
		return "gang: " + s.gangBreak.cause
	}
	return gangBroken
}

// countInterruptions reports how often the runs of each task of a finished job were interrupted.
func (c *Core) countInterruptions(s *step) {
	if s.spec.LongRunning || c.jobs[s.job.spec.ID] != s.job {
		return // the job has been removed before
	}
	for _, t := range s.tasks {
		c.pendingActions.Interruptions = append(c.pendingActions.Interruptions, t.interruptions)
	}
}

// applyCheckpoint records a checkpoint that the worker of r has listed.
func (r *run) applyCheckpoint(now time.Duration, checkpoint string) {
	if checkpoint == "" || checkpoint == r.checkpoint {
		return
	}
	r.checkpoint, r.savedAt = checkpoint, now
}
