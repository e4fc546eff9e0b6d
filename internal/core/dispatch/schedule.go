package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// urgentPriority is the highest priority. Only its jobs preempt as soon as capacity is short; gangs
// of other priorities preempt lower ones only when they would otherwise be late.
const urgentPriority = 0

const (
	// largeBacklog is the number of waiting steps at which cycles become expensive enough to be
	// rate-limited.
	largeBacklog = 24
	// minCycleInterval is the minimum interval between such cycles, unless urgent work may start.
	// It is short compared with the delay that other work tolerates.
	minCycleInterval = 20 * time.Millisecond
)

// cycleKind says which steps a scheduling cycle considers.
type cycleKind uint8

const (
	noCycle cycleKind = iota
	// urgentCycle considers urgent steps only. It runs between full cycles while these are
	// rate-limited.
	urgentCycle
	fullCycle
)

// maxCycleShare bounds the share of time that scheduling cycles take: where a cycle is expensive, the
// rest is left to renewing leases, to ends of runs and to callers.
const maxCycleShare = 1.0 / 3

// cycleDue returns which scheduling cycle should run now. Rate-limiting matters when the queue is long
// and a run ends every few milliseconds.
func (c *Core) cycleDue(now Now) cycleKind {
	woken := c.wake > 0 && now.Mono >= c.wake
	if !woken && !c.inputsChanged {
		return noCycle
	}
	if earliest := c.lastCycleAt + time.Duration(float64(c.meanCycleTime)/maxCycleShare); now.Mono < earliest {
		if woken || c.wake == 0 || earliest < c.wake {
			c.wake = earliest
		}
		return noCycle
	}
	nextFull := c.lastFullCycleAt + minCycleInterval
	switch {
	case woken, c.backlog < largeBacklog, now.Mono >= nextFull:
		return fullCycle
	case c.urgentMayStart:
		return urgentCycle
	}
	c.wakeAt(now, nextFull)
	return noCycle
}

// cycleTimeWeight is the weight of the newest cycle in the moving average of the time of a cycle.
const cycleTimeWeight = 0.25

// CycleTook tells the core how long a call of TakeActions took in which a cycle ran.
func (c *Core) CycleTook(d time.Duration) {
	if c.meanCycleTime == 0 {
		c.meanCycleTime = d
	}
	c.meanCycleTime += time.Duration(cycleTimeWeight * float64(d-c.meanCycleTime))
}

// Wake returns the monotonic time (Now.Mono) at which TakeActions must be called even if no event
// occurs before, or zero.
func (c *Core) Wake() time.Duration { return c.wake }

// schedule runs one scheduling cycle: it first executes preemption plans whose capacity has
// become free, then places the other ready steps in order of priority. An urgent cycle ends with the
// urgent steps, and a full one follows.
func (c *Core) schedule(now Now, kind cycleKind) {
	c.wake = 0
	c.cycle = newCycle()
	c.indexRacks()
	c.refreshSpeeds(now)
	c.applyGuarantees()
	steps := c.readySteps(now)
	c.backlog = len(steps)
	if len(steps) > 0 {
		c.wakeForWorkers(now)
	}
	for _, s := range steps {
		if s.plan != nil {
			c.runPlan(now, s)
		}
	}
	for _, s := range steps {
		c.requestAdvice(now, s)
	}
	full := fullShapes{}
	if kind == fullCycle {
		c.renewReservations(now)
	}
	for _, s := range steps {
		if kind == urgentCycle && s.job.spec.Priority != urgentPriority {
			break
		}
		if s.plan != nil || s.spec.Gang && s.advice.inFlight {
			continue
		}
		if s.spec.Gang {
			c.placeGang(now, s, full)
		} else {
			c.placeTasks(now, s, full)
		}
	}
	c.askFurther(now, steps)
	if kind == fullCycle {
		c.reviewStragglers(now, steps)
	}
	c.explainEvacuation(steps)
}

// wakeForWorkers schedules a cycle for when a paused or quarantined worker becomes usable
// again.
func (c *Core) wakeForWorkers(now Now) {
	for _, w := range c.sortedWorkers {
		if until := max(w.pausedUntil, w.health.quarantinedUntil); until > now.Mono {
			c.wakeAt(now, until)
		}
	}
}

// readySteps returns the steps that are due and whose dependencies are done, in the order
// of byPriority. It schedules a wake-up for occurrences that are not due yet.
func (c *Core) readySteps(now Now) []*step {
	var ready []*step
	for _, j := range c.jobs {
		if j.cancelledOrEnded() {
			continue
		}
		for _, o := range j.occurrences {
			if o.dueMs > now.UnixMs {
				c.wakeAt(now, now.Mono+time.Duration(o.dueMs-now.UnixMs)*time.Millisecond)
				continue
			}
			if !o.ready {
				o.ready, o.readySince = true, now.Mono
				if o.dueMs == 0 {
					o.readySince -= time.Duration(now.UnixMs-j.spec.ArrivedMs()) * time.Millisecond
				}
			}
			for _, s := range o.steps {
				if s.done < len(s.tasks) && s.dependenciesDone() {
					if !s.ready {
						s.ready, s.readySince = true, now.Mono
					}
					if s.hasWaiting() {
						ready = append(ready, s)
					}
				}
			}
		}
	}
	slices.SortFunc(ready, c.byPriority(now))
	return ready
}

// wakeAt requests a cycle at the given time, or a millisecond from now if that time has passed. An
// earlier request stays in force.
func (c *Core) wakeAt(now Now, at time.Duration) {
	if at <= now.Mono {
		at = now.Mono + time.Millisecond
	}
	if c.wake == 0 || at < c.wake {
		c.wake = at
	}
}

// dependenciesDone reports whether the steps that s depends on are done.
func (s *step) dependenciesDone() bool {
	for _, i := range s.spec.After {
		if dep := s.occurrence.steps[i]; dep.done < len(dep.tasks) {
			return false
		}
	}
	return true
}

// hasWaiting reports whether s has a task that is not done and has no run.
func (s *step) hasWaiting() bool {
	if s.done+s.activeRuns-s.copies >= len(s.tasks) {
		return false // a run of a task that is already done ends soon and triggers another cycle
	}
	for _, t := range s.tasks {
		if t.current == nil && !t.done {
			return true
		}
	}
	return false
}

// applyGuarantees marks the urgent jobs that are within the guarantee of their
// organisation: in order of arrival, as long as their accelerators fit into it.
func (c *Core) applyGuarantees() {
	var urgent []*trackedJob
	for _, j := range c.jobs {
		if j.spec.Priority == urgentPriority && !j.cancelledOrEnded() {
			urgent = append(urgent, j)
		}
	}
	slices.SortFunc(urgent, func(a, b *trackedJob) int { return cmp.Compare(a.seq, b.seq) })
	used := map[string]int64{}
	for _, j := range urgent {
		need := j.peakAccelerators()
		j.withinGuarantee = used[j.spec.Org]+need <= c.guaranteed[j.spec.Org]
		if j.withinGuarantee {
			used[j.spec.Org] += need
		}
	}
}

// peakAccelerators returns the accelerators that the largest step of the job needs.
func (j *trackedJob) peakAccelerators() int64 {
	most := int64(0)
	for i := range j.spec.Steps {
		s := &j.spec.Steps[i]
		most = max(most, int64(s.Count)*s.Need.Accelerators)
	}
	return most
}

// slack returns how long s can still wait without its job missing the latency objective, based
// on the expected run times of the remaining steps.
func (c *Core) slack(now Now, s *step) time.Duration {
	j := s.job
	remaining, total := time.Duration(0), time.Duration(0)
	for _, o := range s.occurrence.steps {
		expected := c.expectedRunTime(now, o, nil)
		total += expected
		if o.done < len(o.tasks) {
			remaining += expected
		}
	}
	due := s.occurrence.readySince + time.Duration(j.spec.Stretch*float64(total)) + j.spec.Objective
	return due - remaining - now.Mono
}

// guaranteeRank ranks the steps of jobs within a guarantee before others.
func guaranteeRank(s *step) int {
	if s.job.withinGuarantee {
		return 0
	}
	return 1
}

// byPriority orders steps by priority, then by guarantee, then those last whose jobs are useless, then by
// finish time and arrival of the job. The steps of a job are ordered by occurrence and index.
func (c *Core) byPriority(now Now) func(a, b *step) int {
	return func(a, b *step) int {
		return cmp.Or(
			cmp.Compare(a.job.spec.Priority, b.job.spec.Priority),
			cmp.Compare(guaranteeRank(a), guaranteeRank(b)),
			cmp.Compare(c.uselessRank(now, a), c.uselessRank(now, b)),
			compareFinishTimes(a.job, b.job),
			cmp.Compare(a.job.seq, b.job.seq),
			cmp.Compare(a.occurrence.index, b.occurrence.index),
			cmp.Compare(a.index, b.index))
	}
}
