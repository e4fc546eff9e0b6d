package core

import "time"

const (
	// unclaimedLife is how long the outcome of a job that nobody has named is kept.
	unclaimedLife = 10 * time.Minute
	// maxUnclaimed bounds the number of such outcomes; the oldest goes first.
	maxUnclaimed = 10000
)

// unclaimed keeps the outcomes of adopted jobs that ended before their callers came back
// to this holder. The end is told once the job is named again, so that it is neither run
// again nor answered to nobody.
type unclaimed struct {
	outcomes map[JobID]Outcome
	order    []unclaimedEnd
}

type unclaimedEnd struct {
	job JobID
	at  Instant
}

func (u *unclaimed) add(now Instant, id JobID, out Outcome) {
	if u.outcomes == nil {
		u.outcomes = map[JobID]Outcome{}
	}
	u.outcomes[id] = out
	u.order = append(u.order, unclaimedEnd{job: id, at: now})
	for len(u.order) > maxUnclaimed || now.Sub(u.order[0].at) > unclaimedLife {
		delete(u.outcomes, u.order[0].job)
		u.order = u.order[1:]
	}
}

// tellUnclaimed answers a job that has ended before it was named; false when there is none.
func (c *Core) tellUnclaimed(id JobID) bool {
	out, ok := c.unclaimed.outcomes[id]
	if !ok {
		return false
	}
	delete(c.unclaimed.outcomes, id)
	c.emit(JobEnded{Job: id, Outcome: out})
	return true
}
