package dispatch

import (
	"time"

	"agatewinch/internal/core/estimate"
)

// kind returns what the tasks of s have in common with others whose run times tell about theirs.
func (s *step) kind() estimate.Kind {
	j := s.job.spec
	return estimate.Kind{Org: j.Org, Queue: j.Queue, Image: s.spec.Image, Size: estimate.SizeOf(int64(len(s.tasks)) * max(1, s.spec.Need.Accelerators))}
}

// expectedRunTime returns the median run time of a task of s on w, or on a worker of usual speed if w
// is nil. While nothing is known it is the declared time.
func (c *Core) expectedRunTime(now Now, s *step, w *worker) time.Duration {
	return c.runTimeQuantile(now, s, w, 0.5)
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

// slowdown returns by which factor runs on w take longer now than on a worker of usual speed.
func (c *Core) slowdown(now Now, w *worker) float64 {
	return c.estimates.Slowdown(now.Mono, w.ID)
}
