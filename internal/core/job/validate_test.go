package job

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestJobsOutOfRangeAreInvalid(t *testing.T) {
	valid := func() *Job {
		return &Job{ID: "a", Steps: []Step{{Count: 2, Need: Resources{CPU: 1}}, {Count: 1, After: []int{0}}}}
	}
	assert.NilError(t, valid().Validate())
	for name, change := range map[string]func(*Job){
		"no steps":                         func(j *Job) { j.Steps = nil },
		"task count whose product is zero": func(j *Job) { j.Steps[0].Count, j.OccurrenceCount = 1<<62, 4 },
		"task count whose sum is negative": func(j *Job) { j.Steps[0].Count, j.Steps[1].Count = math.MaxInt, math.MaxInt },
		"too many tasks":                   func(j *Job) { j.Steps[0].Count = MaxTasks },
		"too many occurrences":             func(j *Job) { j.OccurrenceCount = math.MaxInt },
		"accelerators near the largest":    func(j *Job) { j.Steps[0].Need.Accelerators = math.MaxInt64 / 2 },
		"negative memory":                  func(j *Job) { j.Steps[0].Need.MemMB = -1 },
		"estimate":                         func(j *Job) { j.Steps[0].Estimate = MaxDuration + 1 },
		"negative tail latency":            func(j *Job) { j.Steps[0].TailLatencyTarget = -time.Second },
		"due time":                         func(j *Job) { j.FirstDueMs = math.MaxInt64 },
		"last due time":                    func(j *Job) { j.OccurrenceCount, j.IntervalMs = 100, 1<<41 },
		"dependency on itself":             func(j *Job) { j.Steps[1].After = []int{1} },
		"repeated dependency":              func(j *Job) { j.Steps[1].After = []int{0, 0} },
	} {
		j := valid()
		change(j)
		assert.Assert(t, j.Validate() != nil, name)
	}
}
