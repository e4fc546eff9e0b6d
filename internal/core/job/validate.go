package job

import (
	"fmt"
	"time"
)

const (
	// MaxTasks limits the tasks of one job, over all occurrences. It is far above the size of the
	// largest jobs.
	MaxTasks = 10000
	// MaxAmount limits each resource of a task or a worker, in the units of Resources. It is far
	// above the size of any machine, and sums over all tasks of a job or all workers of a fleet
	// stay within 64 bits.
	MaxAmount = 1 << 40
	// MaxDuration limits the estimate of a task and other durations that callers name.
	MaxDuration = 366 * 24 * time.Hour
	// maxDueMs limits the due times of a job, in Unix milliseconds. The time until then, in
	// nanoseconds, stays within 64 bits.
	maxDueMs = 1 << 42
)

// Valid reports whether each amount is between zero and MaxAmount.
func (r Resources) Valid() bool {
	for _, v := range [3]int64{r.CPU, r.MemMB, r.Accelerators} {
		if v < 0 || v > MaxAmount {
			return false
		}
	}
	return true
}

// Validate returns an error that names the first field of j that is out of range. Sums and products
// over a valid job do not overflow, and its size is bounded.
func (j *Job) Validate() error {
	if len(j.Steps) == 0 {
		return fmt.Errorf("the number of steps is out of range: the job has none")
	}
	if j.OccurrenceCount < 0 || j.OccurrenceCount > MaxTasks {
		return fmt.Errorf("the number of occurrences is not between 0 and %d", MaxTasks)
	}
	last := int64(j.Occurrences() - 1)
	if j.FirstDueMs < 0 || j.FirstDueMs > maxDueMs || j.IntervalMs < 0 || last > 0 && j.IntervalMs > (maxDueMs-j.FirstDueMs)/last {
		return fmt.Errorf("the due time of an occurrence is out of range")
	}
	total := 0
	for i := range j.Steps {
		if err := j.Steps[i].validate(i); err != nil {
			return fmt.Errorf("step %d: %w", i, err)
		}
		total += j.Steps[i].Count * j.Occurrences() // at most MaxTasks squared
		if total > MaxTasks {
			return fmt.Errorf("the job has more than %d tasks", MaxTasks)
		}
	}
	return nil
}

// validate checks the step at the given index.
func (s *Step) validate(index int) error {
	switch {
	case s.Count < 1 || s.Count > MaxTasks:
		return fmt.Errorf("the number of tasks is not between 1 and %d", MaxTasks)
	case !s.Need.Valid():
		return fmt.Errorf("a resource is not between 0 and %d", int64(MaxAmount))
	case s.Estimate < 0 || s.Estimate > MaxDuration || s.TailLatencyTarget < 0 || s.TailLatencyTarget > MaxDuration:
		return fmt.Errorf("a duration is not between 0 and %v", MaxDuration)
	case s.MaxPerWorker < 0 || s.MaxUnavailable < 0:
		return fmt.Errorf("a limit of tasks is negative")
	}
	for _, a := range s.After {
		if a < 0 || a >= index {
			return fmt.Errorf("it depends on step %d, which is no earlier step", a)
		}
	}
	if len(s.After) > index {
		return fmt.Errorf("it names a step that it depends on more than once")
	}
	return nil
}
