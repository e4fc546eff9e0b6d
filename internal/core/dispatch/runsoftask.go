package dispatch

import "agatewinch/internal/core/job"

// A task has one run at a time. Only a task of a step with Speculative may have a second one, its copy. Where
// the first run ends, the copy takes its place.

// attach adds a run to its task: as the current one or, if there is one, as its copy. It reports whether the
// task has a copy now.
func (t *task) attach(r *run) bool {
	if t.current == nil {
		t.current = r
		return false
	}
	t.copy = r
	t.step.copies++
	return true
}

// detach removes a run from its task. It reports whether the task had a copy.
func (t *task) detach(r *run) bool {
	if r != t.current && r != t.copy {
		return false
	}
	if r == t.current {
		t.current = t.copy
	}
	if t.copy == nil {
		return false
	}
	t.copy = nil
	t.step.copies--
	return true
}

// runs returns the runs of t, of which there are at most two.
func (t *task) runs() []*run {
	switch {
	case t.current == nil:
		return nil
	case t.copy == nil:
		return []*run{t.current}
	}
	return []*run{t.current, t.copy}
}

// runOn returns the run of t with the given number on w, or nil.
func (t *task) runOn(w *worker, number int) *run {
	for _, r := range t.runs() {
		if r.number == number && r.worker == w {
			return r
		}
	}
	return nil
}

// other returns the other run of r's task, or nil.
func (r *run) other() *run {
	for _, o := range r.task.runs() {
		if o != r {
			return o
		}
	}
	return nil
}

// stopRuns stops all runs of t.
func (c *Core) stopRuns(now Now, t *task, why string) {
	for _, r := range t.runs() {
		c.stop(now, r, why)
	}
}

// recordRuns adds the runs of t to its record. An older version reads the first run only.
func (t *task) recordRuns(r *job.TaskRecord) {
	if t.current == nil {
		return
	}
	r.Run, r.Active = t.current.number, true
	r.Worker, r.Incarnation, r.LeaseLimited = t.current.worker.ID, t.current.worker.Incarnation, t.current.leaseLimited
	if t.latestRun > r.Run {
		r.LatestRun = t.latestRun
	}
	if o := t.copy; o != nil {
		r.Copy = &job.CopyRecord{Run: o.number, Worker: o.worker.ID, Incarnation: o.worker.Incarnation, LeaseLimited: o.leaseLimited}
	}
}

// restoreRuns adopts the runs that the record of t shows as active, or stops those whose worker has restarted
// since.
func (c *Core) restoreRuns(now Now, t *task, r job.TaskRecord) {
	t.latestRun = max(r.Run, r.LatestRun)
	if r.Active {
		c.adopt(now, t, job.CopyRecord{Run: r.Run, Worker: r.Worker, Incarnation: r.Incarnation, LeaseLimited: r.LeaseLimited})
	}
	if r.Copy != nil {
		t.latestRun = max(t.latestRun, r.Copy.Run)
		c.adopt(now, t, *r.Copy)
	}
}

func (c *Core) adopt(now Now, t *task, rec job.CopyRecord) {
	w, ended := c.workerFor(now, rec.Worker, rec.Incarnation)
	r := &run{task: t, number: rec.Run, worker: w, phase: adopted, inherited: true, need: t.step.spec.Charge(), placedAt: now.Mono, percentAt: now.Mono, checkpoint: t.checkpoint, pacing: pacing{percent: unknownPace}}
	c.addRun(r)
	c.inheritLease(r, rec.LeaseLimited, ended)
	if ended {
		c.stop(now, r, "worker restarted")
	}
}
