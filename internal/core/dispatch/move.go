package dispatch

import (
	"fmt"
	"time"
)

// maxMoves is how often a task is moved from slow workers: each move costs a stop and a restart.
const maxMoves = 2

// moveFromSlow stops a run on a slow worker, so that its task continues from its checkpoint elsewhere, if
// that gains: a worker that is not slow has capacity that nobody waits for.
func (c *Core) moveFromSlow(now Now, f straggler, waiting []*step) {
	r, s := f.run, f.run.task.step
	cost := c.settings.MaxStopTime + c.settings.RestoreTime
	here := c.slowdown(now, r.worker)
	for _, w := range c.poolOf(now, s).usable {
		there := cost + time.Duration(float64(f.rest)*slowdownOf(w.speedClass)/here)
		if w == r.worker || !w.free().Fits(s.spec.Charge()) || !c.mayPlaceOn(now, s, w) || r.task.hasFailedOn(w) || slowdownOf(w.speedClass) >= slowFrom || w.wanted(waiting) || float64(f.rest) <= copyGain*float64(there) ||
			s.spec.DataRack != "" && r.worker.Rack == s.spec.DataRack && w.Rack != s.spec.DataRack {
			continue
		}
		r.task.moves++
		c.note(Note{Kind: "moved from a slow worker", Task: r.task.id.String(), Run: r.number, Worker: r.worker.ID, Why: fmt.Sprintf("expected to take %v more, %v elsewhere", f.rest.Round(time.Millisecond), there.Round(time.Millisecond))})
		c.stop(now, r, "slow worker")
		return
	}
}
