package core

import "time"

const (
	// orphanOutcomeTTL is the age beyond which the outcome of a job that was neither submitted nor
	// restored is dropped, when another such outcome is added.
	orphanOutcomeTTL = 10 * time.Minute
	// maxOrphanOutcomes bounds the number of such outcomes; the oldest is dropped first.
	maxOrphanOutcomes = 10000
)

// orphanOutcomes keeps the outcomes of jobs that were found running on workers and ended before
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

func (o *orphanOutcomes) add(now Instant, id JobID, out Outcome) {
	if o.outcomes == nil {
		o.outcomes = map[JobID]Outcome{}
	}
	o.outcomes[id] = out
	o.order = append(o.order, endedOrphan{job: id, endedAt: now})
	for len(o.order) > maxOrphanOutcomes || now.Sub(o.order[0].endedAt) > orphanOutcomeTTL {
		delete(o.outcomes, o.order[0].job)
		o.order = o.order[1:]
	}
}

// emitOrphanOutcome emits the outcome of a job that ended before it was submitted or restored
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
