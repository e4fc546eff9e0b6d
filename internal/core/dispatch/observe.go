package dispatch

import (
	"slices"
	"strconv"
	"time"

	"agatewinch/internal/core/estimate"
)

// observable reports whether the time that r takes tells about run times and speeds. That of a
// best-effort task depends on its pace, and a long-running task never ends.
func (r *run) observable() bool {
	s := r.task.step.spec
	return !s.LongRunning && !s.BestEffort && r.confirmed
}

// resumed reports whether r began with the progress that a checkpoint had saved.
func (r *run) resumed() bool { return r.resumedFrom != "" }

// peers returns the runs that make progress together with r: those of its gang, or r alone.
func (r *run) peers() []*run {
	if !r.task.step.spec.Gang {
		return []*run{r}
	}
	var all []*run
	for _, t := range r.task.step.tasks {
		if t.current != nil && t.current.number == r.number && t.current != r {
			all = append(all, t.current)
		}
	}
	return append(all, r)
}

// beganAt returns when the work of some runs began: when the last of them was confirmed. It reports
// false if that is not known.
func beganAt(runs []*run) (time.Duration, bool) {
	at := time.Duration(0)
	for _, r := range runs {
		if !r.confirmed || r.inherited {
			return 0, false
		}
		at = max(at, r.confirmedAt)
	}
	return at, true
}

// machinesOf returns the workers of some runs, each once, in a fixed order.
func machinesOf(runs []*run) []string {
	ids := make([]string, len(runs))
	for i, r := range runs {
		ids[i] = r.worker.ID
	}
	slices.Sort(ids)
	return slices.Compact(ids)
}

// declaredThere returns the declared time of r where it runs: SpreadFactor times as long outside the rack
// with its data, and in a gang on several racks that should be on one.
func (c *Core) declaredThere(r *run, peers []*run) time.Duration {
	s := r.task.step.spec
	spread := s.DataRack != "" && r.worker.Rack != s.DataRack
	for _, p := range peers {
		spread = spread || s.SameRack && p.worker.Rack != r.worker.Rack
	}
	if spread {
		return time.Duration(float64(s.Estimate) * max(1, c.settings.SpreadFactor))
	}
	return s.Estimate
}

// longestDeclared returns the longest declared time of some runs where they run.
func (c *Core) longestDeclared(runs []*run) time.Duration {
	d := time.Duration(0)
	for _, r := range runs {
		d = max(d, c.declaredThere(r, runs))
	}
	return d
}

// group names the runs with which r is compared: those of its gang's run or of its step.
func (r *run) group() string {
	name := r.task.step.name()
	if r.task.step.spec.Gang {
		return name + "/" + strconv.Itoa(r.number)
	}
	return name
}

// observeDone tells the model that r is done. In a gang the first member that is done stands for all.
func (c *Core) observeDone(now Now, r *run) {
	s := r.task.step
	if r.task.done || !r.observable() || r.resumed() {
		return
	}
	peers := r.peers()
	began, ok := beganAt(peers)
	if !ok || s.spec.Gang && len(peers) < len(s.tasks) {
		return
	}
	c.estimates.Observe(now.Mono, estimate.End{Kind: s.kind(), Declared: c.longestDeclared(peers), Ran: now.Mono - began, Run: r.task.id.String(), Group: r.group(), Gang: s.spec.Gang, Machines: machinesOf(peers)})
}

// forgetProgress drops the progress of a run that has ended.
func (c *Core) forgetProgress(r *run) {
	if !r.observable() {
		return
	}
	c.estimates.ForgetRun(r.worker.ID, r.task.id.String())
	if r.task.step.spec.Gang {
		c.estimates.ForgetGroup(r.group())
	}
}

// observeProgress tells the model what a worker has reported of r.
func (c *Core) observeProgress(now Now, r *run) {
	s := r.task.step
	if !r.observable() || r.phase != running {
		return
	}
	peers := r.peers()
	p := estimate.Progress{Run: r.task.id.String(), Kind: s.kind(), Declared: c.declaredThere(r, peers), Percent: r.percent, StartedAt: -1, Group: r.group(), Gang: s.spec.Gang, Members: len(peers)}
	if began, ok := beganAt(peers); ok && !r.resumed() {
		p.StartedAt = began
	}
	c.estimates.ObserveProgress(now.Mono, r.worker.ID, p)
	c.extendOutlived(now, r)
	r.worker.speedAt = now.Mono - speedRefresh
	c.refreshSpeed(now, r.worker)
}

// extendOutlived raises the expected run time of a run that has reported no progress and has run for
// longer: the longer it has run, the longer it is expected to go on.
func (c *Core) extendOutlived(now Now, r *run) {
	ran := now.Mono - r.placedAt
	if r.percent > 0 || ran < r.runTime() {
		return
	}
	if times, known := c.estimates.RunTimes(r.task.step.kind(), r.task.step.spec.Estimate); known {
		slowdown := c.slowdown(now, r.worker)
		r.expected = ran + time.Duration(slowdown*float64(times.Remaining(time.Duration(float64(ran)/slowdown))))
		r.worker.runsByEnd = nil
	}
}

const (
	// slowFrom is the slowdown from which a worker is reported as slow, and slowUntil the one below which
	// it is reported as having recovered.
	slowFrom, slowUntil = 2.0, 1.5
)

// noteSpeed notes when w turns slow and when it has recovered.
func (c *Core) noteSpeed(w *worker) {
	switch {
	case !w.slow && w.slowdown >= slowFrom:
		w.slow = true
		c.note(Note{Kind: "worker slow", Worker: w.ID, Why: speedInputs(w.slowdown)})
	case w.slow && w.slowdown < slowUntil:
		w.slow = false
		c.note(Note{Kind: "worker recovered", Worker: w.ID, Why: speedInputs(w.slowdown)})
	}
}

// keepSpeeds makes what is known of the speeds of machines known under the names of their newest workers.
func (c *Core) keepSpeeds(list []Machine) {
	for _, m := range list {
		if old := c.machines[m.ID].Worker; old != "" && m.Worker != "" {
			c.estimates.Continue(old, m.Worker)
		}
	}
}

// runTimesInterval is the interval at which the learned run times are noted.
const runTimesInterval = time.Minute

// noteRunTimes notes from time to time what has been learned of the run times of each organisation and
// queue.
func (c *Core) noteRunTimes(now Now) {
	if now.Mono < c.runTimesNotedAt+runTimesInterval {
		return
	}
	c.runTimesNotedAt = now.Mono
	for _, l := range c.estimates.Learned() {
		c.note(Note{Kind: "run times learned", Why: learnedInputs(l)})
	}
}
