package dispatch

import (
	"time"

	"agatewinch/internal/core/estimate"
)

// expectedRefresh is how long the expected run time of a step is kept: it changes little in that time, and
// there may be thousands of steps.
const expectedRefresh = 250 * time.Millisecond

// kind returns what the tasks of s have in common with others whose run times tell about theirs.
func (s *step) kind() estimate.Kind {
	j := s.job.spec
	return estimate.Kind{Org: j.Org, Queue: j.Queue, Image: s.spec.Image, Size: estimate.SizeOf(int64(len(s.tasks)) * max(1, s.spec.Need.Accelerators))}
}

// runTime returns the expected run time of r on its worker.
func (r *run) runTime() time.Duration {
	if r.expected > 0 {
		return r.expected
	}
	return r.task.step.spec.Estimate
}

// expectedRunTime returns the median run time of a task of s on w, or on a worker of usual speed if w
// is nil. While nothing is known it is the declared time.
func (c *Core) expectedRunTime(now Now, s *step, w *worker) time.Duration {
	if !s.expectedKnown || now.Mono >= s.expectedAt+expectedRefresh {
		s.expected, s.expectedAt, s.expectedKnown = c.estimates.RunTime(s.kind(), s.spec.Estimate, 0.5), now.Mono, true
	}
	if w == nil {
		return s.expected
	}
	return time.Duration(float64(s.expected) * c.slowdown(now, w))
}

// runTimeQuantile returns the quantile q (0 to 1) of the run time of a task of s on w, or on a worker
// of usual speed if w is nil. While nothing is known it is the declared time.
func (c *Core) runTimeQuantile(now Now, s *step, w *worker, q float64) time.Duration {
	d := c.estimates.RunTime(s.kind(), s.spec.Estimate, q)
	if w == nil {
		return d
	}
	return time.Duration(float64(d) * c.slowdown(now, w))
}
