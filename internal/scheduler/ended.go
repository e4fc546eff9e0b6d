package scheduler

import (
	"time"

	"agatewinch/internal/core"
)

const (
	// endedKept is how long the outcome of a job stays in memory; that of a logged job is
	// answered from the journal afterwards.
	endedKept = 10 * time.Minute
	// endedMax bounds the outcomes in memory, so that a flood of small jobs does not fill
	// it: the oldest go first.
	endedMax = 50_000
)

// endedQueue holds the jobs that have ended, the oldest first.
type endedQueue struct {
	items []endedItem
}

type endedItem struct {
	id core.JobID
	at time.Time
}

func (q *endedQueue) add(id core.JobID, at time.Time) {
	q.items = append(q.items, endedItem{id: id, at: at})
}

// due takes out the jobs whose outcomes need not be kept any more.
func (q *endedQueue) due(now time.Time) []core.JobID {
	var ids []core.JobID
	for len(q.items) > 0 && (len(q.items) > endedMax || now.Sub(q.items[0].at) > endedKept) {
		ids = append(ids, q.items[0].id)
		q.items = q.items[1:]
	}
	return ids
}

// setOutcome ends a job's record and wakes those who wait for it.
func (s *Scheduler) setOutcome(r *record, outcome core.Outcome) {
	r.state, r.outcome = outcome.State, &outcome
	close(r.ended)
	s.endedJobs.add(r.job.ID, time.Now())
}

// forgetEnded drops old outcomes. One that is not in the log yet is looked at again later.
func (s *Scheduler) forgetEnded() {
	now := time.Now()
	for _, id := range s.endedJobs.due(now) {
		r, ok := s.jobs[id]
		if !ok || r.outcome == nil {
			continue
		}
		if r.unwritten {
			s.endedJobs.add(id, now)
			continue
		}
		delete(s.jobs, id)
	}
}
