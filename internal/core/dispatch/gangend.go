package dispatch

import "agatewinch/internal/core/job"

// gangEnds describes how members of a gang's run have ended. A member ends as broken only after
// another member has ended. If all members but one ended as broken, it was therefore the remaining
// one that ended first. On a worker that does not answer, this proves the end of the run long before
// the worker's lease expires: workers that crash or are reclaimed break the gangs they take part in.
type gangEnds struct {
	// run is the number of the gang's run.
	run int
	// broken counts the members that ended as broken. otherwise is set if a member ended in another
	// way, which may be what broke the gang.
	broken    int
	otherwise bool
}

// record adds the end of a member of the given run.
func (g *gangEnds) record(run int, end job.End) {
	if g.run != run {
		*g = gangEnds{run: run}
	}
	if end == job.EndBroken {
		g.broken++
		return
	}
	g.otherwise = true
}

// firstEnded returns the run of the member that must have ended first, or nil if that is not known.
func (s *step) firstEnded() *run {
	if s.gangEnds.otherwise || s.gangEnds.broken == 0 || s.gangEnds.broken != len(s.tasks)-1 {
		return nil
	}
	for _, t := range s.tasks {
		if r := t.current; r != nil && r.number == s.gangEnds.run && r.confirmed {
			return r
		}
	}
	return nil
}

// endFirstEnded ends the member of a broken gang that must have ended first, if its worker does not
// answer. A worker that answers lists how the member ended.
func (c *Core) endFirstEnded(now Now, s *step) {
	r := s.firstEnded()
	if r == nil || !r.worker.unreachable() {
		return
	}
	c.note(Note{Kind: "end inferred", Task: r.task.id.String(), Run: r.number, Worker: r.worker.ID, Why: "all other members of the gang ended as broken"})
	r.task.addPresumed(now, r.worker, r.number, r.listed || r.leaseLimited)
	c.endRun(now, r, job.EndLost, r.checkpoint)
}

// endFirstEndedOn does the same for all gangs with a member on w, which has just become unreachable.
func (c *Core) endFirstEndedOn(now Now, w *worker) {
	for _, r := range c.runsOf(w) {
		if r.task.step.spec.Gang {
			c.endFirstEnded(now, r.task.step)
		}
	}
}
