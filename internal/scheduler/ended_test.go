package scheduler

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"agatewinch/internal/core"
)

func TestEndedJobsAreDroppedByAgeAndByNumber(t *testing.T) {
	now := time.Now()
	var q endedQueue
	q.add("old", now.Add(-endedRetention-time.Second))
	q.add("young", now)
	assert.DeepEqual(t, q.takeExpired(now), []core.JobID{"old"})
	for n := range maxEnded {
		q.add(core.JobID(fmt.Sprint(n)), now)
	}
	assert.DeepEqual(t, q.takeExpired(now), []core.JobID{"young"})
}
