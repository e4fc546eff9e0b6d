package scheduler

import (
	"time"

	"agatewinch/internal/core"
)

const (
	// endedRetention is how long the outcome of a job stays in memory. Afterwards the
	// outcome of a logged job is answered from the journal, as long as the journal keeps it.
	endedRetention = 10 * time.Minute
	// maxEnded limits the outcomes in memory, so that many small jobs do not exhaust it.
	// The oldest are dropped first.
	maxEnded = 50_000
)

// endedQueue lists the jobs that have ended, oldest first.
type endedQueue struct {
	items []endedItem
}

type endedItem struct {
	id      core.JobID
	endedAt time.Time
}

func (q *endedQueue) add(id core.JobID, at time.Time) {
	q.items = append(q.items, endedItem{id: id, endedAt: at})
}

// takeExpired removes and returns the jobs that have ended more than endedRetention ago or
// exceed maxEnded.
func (q *endedQueue) takeExpired(now time.Time) []core.JobID {
	var ids []core.JobID
	for len(q.items) > 0 && (len(q.items) > maxEnded || now.Sub(q.items[0].endedAt) > endedRetention) {
		ids = append(ids, q.items[0].id)
		q.items = q.items[1:]
	}
	return ids
}

// setOutcome stores a job's outcome and wakes the calls that wait for it.
func (s *Scheduler) setOutcome(j *trackedJob, outcome core.Outcome) {
	j.state, j.outcome = outcome.State, &outcome
	close(j.done)
	s.endedJobs.add(j.job.ID, time.Now())
}

// dropEnded removes old outcomes from memory. An outcome that is not in the log yet is put
// back into the queue.
func (s *Scheduler) dropEnded() {
	now := time.Now()
	for _, id := range s.endedJobs.takeExpired(now) {
		j, ok := s.jobs[id]
		if !ok || j.outcome == nil {
			continue
		}
		if j.outcomeUnwritten {
			s.endedJobs.add(id, now)
			continue
		}
		delete(s.jobs, id)
	}
}
