package scheduler

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"agatewinch/internal/core"
)

func TestEndedJobsAreForgottenByAgeAndByNumber(t *testing.T) {
	now := time.Now()
	var q endedQueue
	q.add("old", now.Add(-endedKept-time.Second))
	q.add("young", now)
	assert.DeepEqual(t, q.due(now), []core.JobID{"old"})
	for n := range endedMax {
		q.add(core.JobID(fmt.Sprint(n)), now)
	}
	assert.DeepEqual(t, q.due(now), []core.JobID{"young"})
}
