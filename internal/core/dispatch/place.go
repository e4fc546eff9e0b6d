package dispatch

import (
	"fmt"
	"slices"
	"time"

	"agatewinch/internal/core/job"
)

// shape is what a placement depends on, to try each kind of task once a cycle.
type shape struct {
	pool pool
	rack string
	need job.Resources
	most int
	// priority, spare and estimate decide what reservations leave to the task.
	priority int
	spare    bool
	estimate time.Duration
}

// fullShapes remembers the shapes for which no worker had room in this cycle.
type fullShapes map[shape]bool

func (c *Core) shapeOf(now Now, s *step) shape {
	return shape{
		pool: s.pool(), rack: s.spec.DataRack, need: s.spec.Charge(), most: s.spec.MaxPerWorker,
		priority: s.job.spec.Priority, spare: c.leavesRacks(now, s), estimate: s.spec.Estimate,
	}
}

// fits reports whether w may run tasks of s at all.
func (w *worker) fits(s *step) bool {
	return w.Service == s.job.spec.Service && (s.spec.Label == "" || w.labels[s.spec.Label])
}

// onWorker counts the runs of s on w.
func (s *step) onWorker(w *worker) int {
	n := 0
	for r := range w.runs {
		if r.task.step == s {
			n++
		}
	}
	return n
}

func (t *task) failedAt(w *worker) bool { return slices.Contains(t.failedOn, w.ID) }

// waiting returns the tasks of s that may be placed now.
func (c *Core) waiting(now Now, s *step) []*task {
	var ts []*task
	for _, t := range s.tasks {
		if t.cur != nil || t.done {
			continue
		}
		if t.notBefore > now.Mono {
			c.wakeAt(now, t.notBefore)
			continue
		}
		ts = append(ts, t)
	}
	return ts
}

// placeTasks places the tasks of a step that are independent of each other.
func (c *Core) placeTasks(now Now, s *step, full fullShapes) {
	kind := c.shapeOf(now, s)
	if full[kind] {
		return
	}
	waiting := c.waiting(now, s)
	some := c.slotsFor(now, s).free > 0
	for i, t := range waiting {
		var w *worker
		if some {
			w = c.bestWorker(now, s, t)
		}
		if w == nil {
			if s.job.spec.Priority == firstPriority {
				c.preempt(now, s, waiting[i:])
				return
			}
			if len(t.failedOn) == 0 && s.spec.DataRack == "" {
				full[kind] = true
			}
			return
		}
		c.place(now, t, w, t.number+1)
	}
}

// offRackWait is how long a task waits for its data's rack, in parts of its estimate:
// elsewhere it takes several times as long.
func (c *Core) offRackWait(s *step) time.Duration {
	return min(time.Duration(float64(s.spec.Estimate)*(c.set.SpreadFactor-1)), maxRackWait)
}

// maxRackWait bounds the wait for a rack; estimates are often wrong.
const maxRackWait = 6 * time.Second

func (c *Core) bestWorker(now Now, s *step, t *task) *worker {
	var best *worker
	var bestScore float64
	need := s.spec.Charge()
	anyRack := s.spec.DataRack == ""
	if !anyRack {
		wait := c.rackPatience(now, c.offRackWait(s))
		if anyRack = now.Mono-s.readySince >= wait; !anyRack {
			c.wakeAt(now, s.readySince+wait)
		}
	}
	avoid := c.elsewhere(now, s, t)
	for _, w := range c.poolOf(now, s).usable {
		if !w.free().Fits(need) || !c.mayUse(now, s, w) {
			continue
		}
		near := s.spec.DataRack == "" || w.Rack == s.spec.DataRack
		if !near && !anyRack {
			continue
		}
		if s.spec.MaxPerWorker > 0 && s.onWorker(w) >= s.spec.MaxPerWorker {
			continue
		}
		if avoid && t.failedAt(w) {
			continue
		}
		score := s.score(w, need)
		if !near {
			score += offRackScore
		}
		if best == nil || score < bestScore {
			best, bestScore = w, score
		}
	}
	return best
}

// elsewhere reports whether some worker could run t on which it has not failed. A worker
// that fails at once always has room: without this it would use up a task's attempts.
func (c *Core) elsewhere(now Now, s *step, t *task) bool {
	if len(t.failedOn) == 0 {
		return false
	}
	return slices.ContainsFunc(c.poolOf(now, s).usable, func(w *worker) bool {
		return w.Capacity.Fits(s.spec.Charge()) && !t.failedAt(w)
	})
}

// mayUse reports whether a reservation leaves w to a task of s.
func (c *Core) mayUse(now Now, s *step, w *worker) bool {
	if s.job.spec.Priority == firstPriority {
		return true
	}
	if w.side < urgentSide && c.leavesRacks(now, s) {
		return false
	}
	return c.reservations[w].allows(now, s) || c.quiet(now)
}

const (
	// quietAfter is how long no job may have come for the fleet to count as quiet: several
	// times the usual distance between jobs.
	quietAfter = 5 * time.Second
	// quietUse is the share of the fleet in use, of the scarcest resource, below which it
	// counts as quiet.
	quietUse = 0.6
	// quietRackWait is how long work waits for one rack on a quiet fleet.
	quietRackWait = 1500 * time.Millisecond
)

// quiet reports whether no new work comes and much of the fleet is idle. Nothing is then
// kept waiting for a better place for long: the load is the rest of a day, when what waits
// would only wait.
func (c *Core) quiet(now Now) bool {
	if until := c.arrivedAt + quietAfter; now.Mono < until {
		c.wakeAt(now, until)
		return false
	}
	var used, all job.Resources
	for _, w := range c.sorted {
		if w.listed {
			used, all = used.Plus(w.used), all.Plus(w.Capacity)
		}
	}
	return max(share(used.CPU, all.CPU), share(used.MemMB, all.MemMB), share(used.Accelerators, all.Accelerators)) < quietUse
}

// rackPatience shortens a wait for one rack on a quiet fleet.
func (c *Core) rackPatience(now Now, wait time.Duration) time.Duration {
	if wait > quietRackWait && c.quiet(now) {
		return quietRackWait
	}
	return wait
}

// leavesRacks reports whether s can wait and still be done in time, while urgent work comes.
// Without urgent work there is nothing to leave racks to.
func (c *Core) leavesRacks(now Now, s *step) bool {
	spare := c.slack(now, s) - time.Duration(slackMargin*float64(s.spec.Estimate))
	until := now.Mono + spare
	if !c.urgentSeen {
		return false
	}
	until = min(until, c.urgentAt+urgentRecent)
	if until <= now.Mono {
		return false
	}
	c.wakeAt(now, until)
	return true
}

// urgentRecent is how long after the newest urgent job racks are left to the next one: the
// urgent work of both sites comes more than once a second.
const urgentRecent = 4 * time.Second

// urgentSide is the part of the fleet that work with time to spare leaves to urgent work,
// which then begins without having to stop anything.
const urgentSide = 0.375

// slackMargin is kept of the time to spare, as a share of the estimate, which may be short
// by a fifth.
const slackMargin = 0.3

// place decides a run; its order goes out once the record is in the log.
func (c *Core) place(now Now, t *task, w *worker, number int) {
	t.number = number
	c.reservations[w].take(now, t.step)
	r := &run{task: t, number: number, worker: w, phase: recording, need: t.step.spec.Charge(), began: now.Mono, percentAt: now.Mono, saved: t.saved, pacing: pacing{percent: fullPace}}
	c.put(r)
	c.record(t)
	c.batch.starts = append(c.batch.starts, r)
	c.note(Note{What: "placed", Task: t.id.String(), Run: number, Worker: w.ID, Why: t.step.inputs(now, w)})
}

// inputs tells what a placement was decided on.
func (s *step) inputs(now Now, w *worker) string {
	return fmt.Sprintf("priority %d, covered %t, waited %v, estimate %v, gang %t, one rack %t, data %q, label %q, rack %s", s.job.spec.Priority, s.job.covered, (now.Mono - s.readySince).Round(time.Millisecond), s.spec.Estimate, s.spec.Gang, s.spec.SameRack, s.spec.DataRack, s.spec.Label, w.Rack)
}
