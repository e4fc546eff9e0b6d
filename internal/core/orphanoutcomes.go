package core

import "time"

const (
	// unclaimedTTL is the age beyond which the outcome of a job that was neither submitted nor
	// restored is dropped, when another such outcome is added.
	orphanOutcomeTTL = 10 * time.Minute
	// maxUnclaimed bounds the number of such outcomes; the oldest is dropped first.
	maxOrphanOutcomes = 10000
)

// unclaimed keeps the outcomes of jobs that were found running on workers and ended before
// they were submitted or restored under this leader. The outcome is delivered once
// that happens, so that the job is not run again and its outcome is not lost.
type orphanOutcomes struct {
	outcomes map[JobID]Outcome
	order    []endedOrphan
}

type endedOrphan struct {
	job     JobID
	endedAt Instant
}

func (u *orphanOutcomes) add(now Instant, id JobID, out Outcome) {
	if u.outcomes == nil {
		u.outcomes = map[JobID]Outcome{}
	}
	u.outcomes[id] = out
	u.order = append(u.order, endedOrphan{job: id, endedAt: now})
	for len(u.order) > maxOrphanOutcomes || now.Sub(u.order[0].endedAt) > orphanOutcomeTTL {
		delete(u.outcomes, u.order[0].job)
		u.order = u.order[1:]
	}
}

// emitUnclaimed emits the outcome of a job that ended before it was submitted or restored
// here; false when there is none.
func (c *Core) emitOrphanOutcome(id JobID) bool {
	out, ok := c.orphanOutcomes.outcomes[id]
	if !ok {
		return false
	}
	delete(c.orphanOutcomes.outcomes, id)
	c.emit(JobEnded{Job: id, Outcome: out})
	return true
}
