package core

import "time"

const (
	// unclaimedTTL is the age beyond which the outcome of a job that was neither submitted nor
	// restored is dropped, when another such outcome is added.
	unclaimedTTL = 10 * time.Minute
	// maxUnclaimed bounds the number of such outcomes; the oldest is dropped first.
	maxUnclaimed = 10000
)

// unclaimed keeps the outcomes of jobs that were found running on workers and ended before
// they were submitted or restored under this leader. The outcome is delivered once
// that happens, so that the job is not run again and its outcome is not lost.
type unclaimed struct {
	outcomes map[JobID]Outcome
	order    []unclaimedEntry
}

type unclaimedEntry struct {
	job     JobID
	endedAt Instant
}

func (u *unclaimed) add(now Instant, id JobID, out Outcome) {
	if u.outcomes == nil {
		u.outcomes = map[JobID]Outcome{}
	}
	u.outcomes[id] = out
	u.order = append(u.order, unclaimedEntry{job: id, endedAt: now})
	for len(u.order) > maxUnclaimed || now.Sub(u.order[0].endedAt) > unclaimedTTL {
		delete(u.outcomes, u.order[0].job)
		u.order = u.order[1:]
	}
}

// emitUnclaimed emits the outcome of a job that ended before it was submitted or restored
// here; false when there is none.
func (c *Core) emitUnclaimed(id JobID) bool {
	out, ok := c.unclaimed.outcomes[id]
	if !ok {
		return false
	}
	delete(c.unclaimed.outcomes, id)
	c.emit(JobEnded{Job: id, Outcome: out})
	return true
}
