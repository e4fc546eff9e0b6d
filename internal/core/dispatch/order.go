package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// firstPriority is the priority that may stop others.
const firstPriority = 0

const (
	// largeBacklog is how many waiting steps make cycles cost enough to be spaced.
	largeBacklog = 24
	// cyclePause is the least time between such cycles, unless urgent work may begin: a
	// small part of what work without urgency can wait.
	cyclePause = 20 * time.Millisecond
)

// due reports whether a cycle should run now. The load: a long queue, and an end every few
// milliseconds.
func (c *Core) due(now Now) bool {
	switch {
	case c.wake > 0 && now.Mono >= c.wake:
		return true
	case !c.dirty:
		return false
	case c.rush || c.backlog < largeBacklog || now.Mono >= c.cycleAt+cyclePause:
		return true
	}
	c.wakeAt(now, c.cycleAt+cyclePause)
	return false
}

// Wake returns when TakeActions has to be called without an event, or zero.
func (c *Core) Wake() time.Duration { return c.wake }

// schedule places waiting work. It is one cycle: plans whose room has become free, then
// the steps whose turn has come, in order.
func (c *Core) schedule(now Now) {
	c.wake = 0
	c.cycle = newCycle()
	c.cover()
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
		c.askAdvice(now, s)
	}
	full := fullShapes{}
	c.renewReservations(now)
	for _, s := range steps {
		if s.plan != nil || s.spec.Gang && s.advice.asking {
			continue
		}
		if s.spec.Gang {
			c.placeGang(now, s, full)
		} else {
			c.placeTasks(now, s, full)
		}
	}
}

// wakeForWorkers has the next cycle run when a worker may be used again.
func (c *Core) wakeForWorkers(now Now) {
	for _, w := range c.sorted {
		if until := max(w.pauseTo, w.health.until); until > now.Mono {
			c.wakeAt(now, until)
		}
	}
}

// readySteps returns the steps whose turn has come, first things first.
func (c *Core) readySteps(now Now) []*step {
	var ready []*step
	for _, j := range c.jobs {
		if j.closed() {
			continue
		}
		for _, o := range j.occ {
			if o.dueMs > now.UnixMs {
				c.wakeAt(now, now.Mono+time.Duration(o.dueMs-now.UnixMs)*time.Millisecond)
				continue
			}
			if !o.ready {
				o.ready, o.readySince = true, now.Mono
				if o.dueMs == 0 {
					o.readySince -= time.Duration(now.UnixMs-j.spec.AcceptedMs) * time.Millisecond
				}
			}
			for _, s := range o.steps {
				if s.done < len(s.tasks) && s.turn() {
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
	slices.SortFunc(ready, c.compare(now))
	return ready
}

func (c *Core) wakeAt(now Now, at time.Duration) {
	if at <= now.Mono {
		at = now.Mono + time.Millisecond
	}
	if c.wake == 0 || at < c.wake {
		c.wake = at
	}
}

// turn reports whether the steps before s are done.
func (s *step) turn() bool {
	for _, i := range s.spec.After {
		if before := s.occ.steps[i]; before.done < len(before.tasks) {
			return false
		}
	}
	return true
}

func (s *step) hasWaiting() bool {
	if s.done+s.live >= len(s.tasks) {
		return false // a run of a task that is done is gone before long, and has this asked again
	}
	for _, t := range s.tasks {
		if t.cur == nil && !t.done {
			return true
		}
	}
	return false
}

// cover finds the jobs of the first priority that their organisations' guarantees hold
// for: in the order in which they came, while their accelerators are within it.
func (c *Core) cover() {
	var urgent []*jobRun
	for _, j := range c.jobs {
		if j.spec.Priority == firstPriority && !j.closed() {
			urgent = append(urgent, j)
		}
	}
	slices.SortFunc(urgent, func(a, b *jobRun) int { return cmp.Compare(a.seq, b.seq) })
	used := map[string]int64{}
	for _, j := range urgent {
		need := j.accelerators()
		j.covered = used[j.spec.Org]+need <= c.guaranteed[j.spec.Org]
		if j.covered {
			used[j.spec.Org] += need
		}
	}
}

// accelerators is what the job's widest step takes.
func (j *jobRun) accelerators() int64 {
	most := int64(0)
	for i := range j.spec.Steps {
		s := &j.spec.Steps[i]
		most = max(most, int64(s.Count)*s.Need.Accelerators)
	}
	return most
}

// slack is how long s can still wait so that its job ends within its objective, by the
// estimates of what is left of it.
func (c *Core) slack(now Now, s *step) time.Duration {
	j := s.job
	left, chain := time.Duration(0), time.Duration(0)
	for _, o := range s.occ.steps {
		chain += o.spec.Estimate
		if o.done < len(o.tasks) {
			left += o.spec.Estimate
		}
	}
	due := s.occ.readySince + time.Duration(j.spec.Stretch*float64(chain)) + j.spec.Objective
	return due - left - now.Mono
}

func uncovered(s *step) int {
	if s.job.covered {
		return 0
	}
	return 1
}

// compare orders steps: by priority, then by when the job came.
func (c *Core) compare(now Now) func(a, b *step) int {
	return func(a, b *step) int {
		return cmp.Or(
			cmp.Compare(a.job.spec.Priority, b.job.spec.Priority),
			cmp.Compare(uncovered(a), uncovered(b)),
			cmp.Compare(a.job.seq, b.job.seq),
			cmp.Compare(a.occ.index, b.occ.index),
			cmp.Compare(a.index, b.index))
	}
}
