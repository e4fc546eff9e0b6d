package dispatch

import (
	"fmt"
	"slices"
	"time"

	"agatewinch/internal/core/job"
)

// shape holds everything that determines whether a task can be placed. After one task of a shape
// has found no worker with capacity, the others are not tried in the same cycle.
type shape struct {
	pool         pool
	rack         string
	need         job.Resources
	maxPerWorker int
	// priority, avoidsUrgentRacks, estimate and restarts determine which racks and which reserved
	// capacity the task may use.
	priority          int
	avoidsUrgentRacks bool
	estimate          time.Duration
	restarts          bool
}

// fullShapes is the set of shapes for which no worker had capacity in this cycle.
type fullShapes map[shape]bool

func (c *Core) shapeOf(now Now, s *step) shape {
	return shape{
		pool: s.pool(), rack: s.spec.DataRack, need: s.spec.Charge(), maxPerWorker: s.spec.MaxPerWorker,
		priority: s.job.spec.Priority, avoidsUrgentRacks: c.avoidsUrgentRacks(now, s), estimate: c.expectedRunTime(now, s, nil),
		restarts: s.restartsLongRunning(),
	}
}

// fits reports whether w has the service and the label that s requires.
func (w *worker) fits(s *step) bool {
	return w.Service == s.job.spec.Service && (s.spec.Label == "" || w.labels[s.spec.Label])
}

// countOnWorker counts the runs of s on w.
func (s *step) countOnWorker(w *worker) int {
	n := 0
	for r := range w.runs {
		if r.task.step == s {
			n++
		}
	}
	return n
}

func (t *task) hasFailedOn(w *worker) bool { return slices.Contains(t.failedOn, w.ID) }

// waiting returns the tasks of s that are neither done nor placed and that may be placed now.
// It schedules a wake-up for tasks that are delayed.
func (c *Core) waiting(now Now, s *step) []*task {
	var ts []*task
	for _, t := range s.tasks {
		if t.current != nil || t.done {
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

// placeTasks places the tasks of a step that is not a gang, each independently of the others.
func (c *Core) placeTasks(now Now, s *step, full fullShapes) {
	key := c.shapeOf(now, s)
	if full[key] {
		return
	}
	if c.wouldBeLost(now, s) {
		return
	}
	waiting := c.waiting(now, s)
	anyFree := c.slotsFor(now, s).free > 0
	for i, t := range waiting {
		var w *worker
		atLimit := false
		if anyFree {
			w, atLimit = c.bestWorker(now, s, t)
		}
		switch {
		case w != nil:
			c.place(now, t, w, t.latestRun+1)
		case s.job.spec.Priority == urgentPriority:
			c.preempt(now, s, waiting[i:])
			return
		case len(t.failedOn) > 0: // the other tasks may use the workers that t avoids
		default:
			// A worker on which s has reached its limit may have capacity for other steps of the shape.
			if s.spec.DataRack == "" && !atLimit {
				full[key] = true
			}
			return
		}
	}
}

// offRackWait is how long a task waits for the rack with its data: the time that it would lose
// elsewhere, where it takes SpreadFactor times as long, but at most maxRackWait.
func (c *Core) offRackWait(now Now, s *step) time.Duration {
	return min(time.Duration(float64(c.expectedRunTime(now, s, nil))*(c.settings.SpreadFactor-1)), maxRackWait)
}

// maxRackWait bounds the wait for a rack, because estimates are often wrong.
const maxRackWait = 6 * time.Second

// bestWorker returns the worker with the lowest score for t, or nil if none may take it now. atLimit
// is set if a worker with enough free capacity was skipped because it already has as many tasks of s
// as s allows.
func (c *Core) bestWorker(now Now, s *step, t *task) (best *worker, atLimit bool) {
	var bestScore float64
	var fast *worker // the best that is not slow
	var fastScore float64
	need := s.spec.Charge()
	anyRack := s.spec.DataRack == "" || c.rackEvacuated(s.spec.DataRack)
	if !anyRack {
		wait := c.rackWait(now, c.offRackWait(now, s))
		if anyRack = now.Mono-s.readySince >= wait; !anyRack {
			c.wakeAt(now, s.readySince+wait)
		}
	}
	c.rateSpeeds(now, s)
	avoid := c.hasAlternative(now, s, t)
	proven := c.wantsProven(now, s, t.failedEarly, t.failures, t.failedAt)
	for _, w := range c.poolOf(now, s).usable {
		if !w.free().Fits(need) || !c.mayPlaceOn(now, s, w) {
			continue
		}
		inDataRack := s.spec.DataRack == "" || w.Rack == s.spec.DataRack
		if !inDataRack && !anyRack {
			continue
		}
		if s.spec.MaxPerWorker > 0 && s.countOnWorker(w) >= s.spec.MaxPerWorker {
			atLimit = true
			continue
		}
		if avoid && t.hasFailedOn(w) || proven && !w.trust.proven(now.Mono) {
			continue
		}
		score := s.score(w, need) + s.speedScore(w)
		if !inDataRack {
			score += offRackScore
		}
		if s.spec.LongRunning && !c.mayBackfill(now, s, w) {
			score += reservedScore
		}
		if best == nil || score < bestScore {
			best, bestScore = w, score
		}
		if !w.isSlow() && (fast == nil || score < fastScore) {
			fast, fastScore = w, score
		}
	}
	if best != fast && c.worthWaiting(now, s, best.speedClass, 1) {
		return fast, atLimit
	}
	return best, atLimit
}

// hasAlternative reports whether there is a worker on which t has not failed and that has, or will
// have, capacity for it. If so, t avoids the workers on which it has failed: a worker that fails its
// tasks immediately always has free capacity and would use up all attempts of a task.
func (c *Core) hasAlternative(now Now, s *step, t *task) bool {
	if len(t.failedOn) == 0 || !c.avoidsFailedWorkers(now, s, len(t.failedOn), t.failedAt) {
		return false
	}
	return slices.ContainsFunc(c.poolOf(now, s).usable, func(w *worker) bool {
		if t.hasFailedOn(w) || !w.transientCapacity().Fits(s.spec.Charge()) {
			return false
		}
		return !s.spec.LongRunning || s.spec.MaxPerWorker == 0 || s.countOnWorker(w) < s.spec.MaxPerWorker
	})
}

const (
	// minAvoidance is how long a task that has failed once avoids the worker on which it failed while
	// others have no capacity. It doubles with each further failure, up to maxAvoidance: a faulty worker
	// that has capacity must not use up the attempts of the task.
	minAvoidance = minQuarantine
	maxAvoidance = maxQuarantine
)

// avoidanceTime returns how long after its last failure a task of s, which has failed the given number
// of times, avoids the workers on which it failed.
func (s *step) avoidanceTime(failures int) time.Duration {
	if s.spec.LongRunning {
		return minAvoidance // its attempts are not limited
	}
	d := minAvoidance
	for i := 1; i < failures && d < maxAvoidance; i++ {
		d *= 2
	}
	return d
}

// avoidsFailedWorkers reports whether tasks of s that have failed the given number of times, last at
// failedAt, still avoid the workers on which they failed. The work that holds the other workers may
// take hours.
func (c *Core) avoidsFailedWorkers(now Now, s *step, failures int, failedAt time.Duration) bool {
	until := failedAt + s.avoidanceTime(failures)
	if now.Mono >= until {
		return false
	}
	c.wakeAt(now, until)
	return true
}

// avoids reports whether t, or its gang, still avoids w because it has failed there.
func (c *Core) avoids(now Now, t *task, w *worker) bool {
	s := t.step
	if s.spec.Gang {
		return s.hasFailedOn(w) && c.avoidsFailedWorkers(now, s, s.failures, s.lastFailedAt())
	}
	return t.hasFailedOn(w) && c.avoidsFailedWorkers(now, s, len(t.failedOn), t.failedAt)
}

// mayPlaceOn reports whether tasks of s may use w: it is not on a rack that s leaves free for
// urgent work and, unless the fleet is quiet, not reserved for a gang. Urgent work may use every
// worker, and so may long-running tasks that have run before: nothing bounds how long a gang keeps its
// reservation.
func (c *Core) mayPlaceOn(now Now, s *step, w *worker) bool {
	if s.job.spec.Priority == urgentPriority {
		return true
	}
	if w.rackPosition < urgentRackShare && c.avoidsUrgentRacks(now, s) {
		return false
	}
	return c.mayBackfill(now, s, w) || s.restartsLongRunning() || c.quiet(now)
}

// restartsLongRunning reports whether s has long-running tasks that have run before and wait to run again.
func (s *step) restartsLongRunning() bool {
	return s.spec.LongRunning && slices.ContainsFunc(s.tasks, func(t *task) bool { return t.current == nil && t.started })
}

const (
	// quietAfter is the time without new jobs after which the fleet may count as quiet:
	// several times the usual time between jobs.
	quietAfter = 5 * time.Second
	// quietUtilisation is the utilisation of the scarcest resource below which the fleet
	// counts as quiet.
	quietUtilisation = 0.6
	// quietRackWait is the longest wait for a rack on a quiet fleet.
	quietRackWait = 1500 * time.Millisecond
)

// quiet reports whether no jobs arrive and much of the fleet is idle, as at the end of a day.
// Waiting longer for a better placement, or for a gang's reservation, then only costs time.
func (c *Core) quiet(now Now) bool {
	if until := c.lastArrival + quietAfter; now.Mono < until {
		c.wakeAt(now, until)
		return false
	}
	return c.utilisation() < quietUtilisation
}

// utilisation returns the utilisation of the scarcest resource, computed once in a cycle.
func (c *Core) utilisation() float64 {
	if c.cycle.utilisation < 0 {
		var used, all job.Resources
		for _, w := range c.sortedWorkers {
			if w.listed && !c.evacuated(w) {
				used, all = used.Plus(w.used), all.Plus(w.Capacity)
			}
		}
		c.cycle.utilisation = max(fraction(used.CPU, all.CPU), fraction(used.MemMB, all.MemMB), fraction(used.Accelerators, all.Accelerators))
	}
	return c.cycle.utilisation
}

// rackWait returns the given wait for a rack, shortened on a quiet fleet.
func (c *Core) rackWait(now Now, wait time.Duration) time.Duration {
	if wait > quietRackWait && c.quiet(now) {
		return quietRackWait
	}
	return wait
}

// avoidsUrgentRacks reports whether s stays off the racks that are kept free for urgent work, computed
// once in a cycle.
func (c *Core) avoidsUrgentRacks(now Now, s *step) bool {
	if s.avoidsIn != c.cycle {
		s.avoidsUrgentRacks, s.avoidsIn = c.leavesUrgentRacks(now, s), c.cycle
	}
	return s.avoidsUrgentRacks
}

// leavesUrgentRacks reports whether s leaves racks free for urgent work: urgent jobs have arrived
// recently, and s can wait and still meet its objective. Without urgent work there is no reason to keep
// racks free. A long-running step has no slack, and one that can use no other rack would wait in vain.
func (c *Core) leavesUrgentRacks(now Now, s *step) bool {
	if !c.urgentArrived || s.spec.LongRunning {
		return false
	}
	spare := c.slack(now, s) - time.Duration(slackMargin*float64(c.expectedRunTime(now, s, nil)))
	until := min(now.Mono+spare, c.lastUrgentArrival+urgentRecent)
	if until <= now.Mono || c.slotsFor(now, s).ordinaryCapacity == 0 {
		return false
	}
	c.wakeAt(now, until)
	return true
}

// urgentRecent is how long after the newest urgent job racks are kept free for the next one.
// At both sites of package sim urgent jobs arrive more than once a second.
const urgentRecent = 4 * time.Second

// urgentRackShare is the part of the fleet, by rack position, that work with slack leaves free
// for urgent work, so that it can start without preemption.
const urgentRackShare = 0.375

// slackMargin is the fraction of the estimate that is subtracted from the slack, because the
// estimate may be too low by a fifth.
const slackMargin = 0.3

// place creates a run of t on w. Its start is sent once the record is in the log.
func (c *Core) place(now Now, t *task, w *worker, number int) {
	t.latestRun = number
	c.useReserved(now, t.step, w)
	r := &run{task: t, number: number, worker: w, phase: recording, need: t.step.spec.Charge(), placedAt: now.Mono, percentAt: now.Mono, checkpoint: t.checkpoint, resumedFrom: t.checkpoint, expected: c.expectedRunTime(now, t.step, w), pacing: pacing{percent: fullPace}}
	c.addRun(r)
	c.record(t)
	c.batch.starts = append(c.batch.starts, r)
	c.note(Note{Kind: "placed", Task: t.id.String(), Run: number, Worker: w.ID, Why: c.placementInputs(now, t.step, w)})
}

// placementInputs describes the inputs of a placement decision, for its log line.
func (c *Core) placementInputs(now Now, s *step, w *worker) string {
	return fmt.Sprintf("priority %d, within guarantee %t, waited %v, estimate %v, expected %v, slowdown %.2f, gang %t, same rack %t, data rack %q, label %q, rack %s", s.job.spec.Priority, s.job.withinGuarantee, (now.Mono - s.readySince).Round(time.Millisecond), s.spec.Estimate, c.expectedRunTime(now, s, w).Round(time.Millisecond), c.slowdown(now, w), s.spec.Gang, s.spec.SameRack, s.spec.DataRack, s.spec.Label, w.Rack)
}
