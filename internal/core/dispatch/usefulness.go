package dispatch

import (
	"time"

	"agatewinch/internal/core/admission"
)

// chain returns the expected run time of all steps of an occurrence and of those that are not done.
// Steps count as running one after the other.
func (c *Core) chain(now Now, o *occurrence) (total, remaining time.Duration) {
	for _, s := range o.steps {
		d := c.usualRunTime(now, s)
		total += d
		if s.done < len(s.tasks) {
			remaining += d
		}
	}
	return total, remaining
}

// runTimeKept is how long the expected run time of a step is kept for the order of waiting steps.
const runTimeKept = time.Second

// usualRunTime is expectedRunTime on a worker of usual speed, computed once in runTimeKept: it is asked for
// every waiting step in every cycle.
func (c *Core) usualRunTime(now Now, s *step) time.Duration {
	if s.usualRunTime == 0 || now.Mono >= s.usualRunTimeAt+runTimeKept {
		s.usualRunTime, s.usualRunTimeAt = c.expectedRunTime(now, s, nil), now.Mono
	}
	return s.usualRunTime
}

// objective returns within what time an occurrence of j should end whose steps take total.
func (j *trackedJob) objective(total time.Duration) time.Duration {
	return time.Duration(j.spec.Stretch*float64(total)) + j.spec.Objective
}

// uselessRank ranks steps last whose jobs have become useless to their callers by the time they can end:
// after admission.UsefulFactor times their objective. They were accepted, so they run all the same. Jobs of
// queues without an objective, and long-running ones, stay useful. It is computed once in a cycle.
func (c *Core) uselessRank(now Now, s *step) int {
	if s.rankedIn != c.cycle {
		s.rankedIn, s.useless = c.cycle, 0
		if j := s.job.spec; j.Stretch > 0 && !j.IsLongRunning() && c.isUseless(now, s) {
			s.useless = 1
		}
	}
	return s.useless
}

// isUseless reports whether the job of s is of no use any more by the time at which it ends if s starts now.
func (c *Core) isUseless(now Now, s *step) bool {
	total, remaining := c.chain(now, s.occurrence)
	return now.Mono-s.occurrence.readySince+remaining > admission.UsefulFactor*s.job.objective(total)
}
