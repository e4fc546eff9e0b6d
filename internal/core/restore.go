package core

import (
	"sort"
)

// restore brings back a job read from the log. It is neither queued nor started
// before the workers that may hold its tasks have answered.
func (c *Core) restore(now Instant, e JobRestored) {
	j := c.jobs[e.Job.ID]
	if j != nil && !j.orphan {
		return
	}
	if j == nil && c.tellUnclaimed(e.Job.ID) {
		return
	}
	if j == nil {
		j = c.newJob(now, e.Job)
		c.startRestoring(now, j)
	} else {
		c.claimOrphan(j, e.Job)
	}
	if !j.restoring {
		return
	}
	for _, p := range e.Placed {
		c.expect(j, p)
	}
	if j.Idempotent {
		// Attempts of such a job are not recorded: an earlier one may have run.
		j.ever = max(j.ever, beganMaybe)
	}
	c.awaitReports(now, j)
	c.resolve(now, j)
}

func (c *Core) startRestoring(now Instant, j *job) {
	j.restoring = true
	c.restoring = append(c.restoring, j)
	c.after(timer{at: now.Add(restoreLeases * c.opts.LeaseTTL), kind: timerRestore, job: j})
}

// claimOrphan names the job of tasks that were found before it.
func (c *Core) claimOrphan(j *job, named Job) {
	j.orphan = false
	j.Job = named
	if j.state == Running {
		c.emit(JobStarted{Job: j.ID, Workers: j.workerIDs()})
	}
}

// expect books a recorded placement until its worker tells what became of it.
func (c *Core) expect(j *job, p Placement) {
	j.placed = true
	if p.Resume {
		j.resume = true
		j.ever = beganYes
	}
	j.recorded = true
	j.attempt = max(j.attempt, p.Task.Attempt)
	if c.tasks[taskKey{p.Task, p.Worker}] != nil {
		return
	}
	t := &task{Placement: p, job: j, shape: j.Shape, state: taskUnheard, began: beganMaybe}
	t.heard = c.worker(p.Worker).heard
	j.tasks = append(j.tasks, t)
	c.hold(t)
}

func (c *Core) tasksFound(now Instant, e TasksFound) {
	w := c.worker(e.Worker)
	w.heard = true
	for _, f := range e.Tasks {
		c.found(now, w, f)
	}
	for _, t := range w.held {
		if t.state == taskUnheard {
			t.heard = true
		}
		if t.state == taskRunning && !e.lists(t.Task) {
			c.after(timer{at: now.Add(restoreSettle), kind: timerMissing, task: t})
		}
	}
	for _, j := range append([]*job(nil), c.restoring...) {
		c.awaitReports(now, j)
		c.resolve(now, j)
	}
}

func (e TasksFound) lists(ref TaskRef) bool {
	for _, f := range e.Tasks {
		if f.Task == ref {
			return true
		}
	}
	return false
}

// missing stops the job of a running task that its worker did not list and has not
// reported on since. The list may be older than the start, so the stop is the proof.
func (c *Core) missing(now Instant, t *task) {
	if t.state != taskRunning || t.detached || t.job.restoring {
		return
	}
	t.job.reason = "worker " + string(t.Worker) + " no longer lists its task"
	c.abort(now, t.job, stopNow)
}

func (c *Core) found(now Instant, w *worker, f FoundTask) {
	if t := c.tasks[taskKey{f.Task, w.def.ID}]; t != nil {
		if t.state == taskUnheard {
			t.take(now, f)
		}
		return
	}
	j := c.jobs[f.Task.Job]
	if j == nil {
		f.Job.ID = f.Task.Job
		j = c.newJob(now, f.Job)
		j.orphan = true
		c.startRestoring(now, j)
	}
	if !j.restoring || f.Task.Attempt < j.attempt || j.hasIndex(f.Task) {
		c.stray(now, w, j, f)
		return
	}
	if f.Task.Attempt > j.attempt {
		c.detachAll(now, j)
		j.attempt = f.Task.Attempt
	}
	t := &task{Placement: Placement{Task: f.Task, Worker: w.def.ID, Cell: f.Cell}, job: j, shape: j.Shape}
	t.take(now, f)
	j.tasks = append(j.tasks, t)
	c.hold(t)
}

// take copies what the worker says of the task.
func (t *task) take(now Instant, f FoundTask) {
	t.Cell = f.Cell
	t.heard = true
	if !f.Started {
		t.state, t.began = taskReserved, beganNo
		return
	}
	t.state, t.began, t.startedAt = taskRunning, beganYes, now
}

func (j *job) hasIndex(ref TaskRef) bool {
	for _, t := range j.tasks {
		if t.Task.Attempt == ref.Attempt && t.Task.Index == ref.Index {
			return true
		}
	}
	return false
}

// stray stops a found task that no job counts on.
func (c *Core) stray(now Instant, w *worker, j *job, f FoundTask) {
	t := &task{Placement: Placement{Task: f.Task, Worker: w.def.ID, Cell: f.Cell}, job: j, shape: f.Job.Shape, detached: true}
	t.take(now, f)
	c.hold(t)
	if t.began == beganYes {
		j.ever = beganYes
	}
	c.emit(Note{Code: NoteOrphan, Job: j.ID, Worker: w.def.ID})
	c.stopTask(now, t, stopNow)
}

func (c *Core) detachAll(now Instant, j *job) {
	old := j.tasks
	j.tasks = nil
	for _, t := range old {
		j.ever = max(j.ever, t.began)
		t.detached = true
		c.stopTask(now, t, stopNow)
	}
}

// endedBeforeFound books a task that ended before its worker listed what it holds.
func (c *Core) endedBeforeFound(e TaskEnded) *task {
	j := c.jobs[e.Task.Job]
	if j == nil || !j.restoring || j.placed || e.Task.Attempt < j.attempt || j.hasIndex(e.Task) {
		return nil
	}
	if len(j.tasks) > 0 && e.Task.Attempt != j.attempt {
		return nil
	}
	j.attempt = e.Task.Attempt
	t := &task{Placement: Placement{Task: e.Task, Worker: e.Worker}, job: j, shape: j.Shape, state: taskRunning}
	j.tasks = append(j.tasks, t)
	c.hold(t)
	return t
}

// awaitReports sets the time of the decision once every worker that matters has answered.
func (c *Core) awaitReports(now Instant, j *job) {
	if j.settling || !j.restoring || !c.expectedHeard(j) {
		return
	}
	j.settling = true
	c.after(timer{at: now.Add(restoreSettle), kind: timerRestore, job: j})
}

// expectedHeard reports whether every worker that may hold a task of j has answered.
func (c *Core) expectedHeard(j *job) bool {
	if !j.placed {
		for _, w := range c.ordered {
			if !w.heard {
				return false
			}
		}
		return len(c.ordered) > 0
	}
	for _, t := range j.tasks {
		if t.state == taskUnheard && !t.heard {
			return false
		}
	}
	return true
}

func (c *Core) restoreDue(now Instant, j *job) {
	j.due = true
	c.resolve(now, j)
}

// resolve decides on a restored job: a whole gang is adopted; anything less is stopped
// once it is known, or cannot be known in time.
func (c *Core) resolve(now Instant, j *job) {
	switch {
	case !j.restoring || j.ended:
	case j.outcome != nil && (j.placed || j.due):
		c.breakUp(now, j)
	case j.outcome == nil && c.foundWhole(j):
		c.adopt(now, j)
	case j.due:
		c.breakUp(now, j)
	}
}

func (c *Core) foundWhole(j *job) bool {
	for _, t := range j.tasks {
		if t.state != taskRunning && t.state != taskDone {
			return false
		}
	}
	return len(j.tasks) == c.parts(j.Shape)
}

func (c *Core) endRestoring(j *job) {
	j.restoring = false
	for i, r := range c.restoring {
		if r == j {
			c.restoring = append(c.restoring[:i], c.restoring[i+1:]...)
			break
		}
	}
	sort.SliceStable(j.tasks, func(a, b int) bool { return j.tasks[a].Task.Index < j.tasks[b].Task.Index })
}

func (c *Core) adopt(now Instant, j *job) {
	c.endRestoring(j)
	j.state = Running
	j.startedWhole = true
	j.began = now
	c.charge(now, j)
	c.emit(Note{Code: NoteAdopted, Job: j.ID, Worker: j.tasks[0].Worker})
	c.emit(JobStarted{Job: j.ID, Workers: j.workerIDs()})
	c.settle(now, j)
}

// breakUp stops what was found of a job that is not whole.
func (c *Core) breakUp(now Instant, j *job) {
	c.endRestoring(j)
	if len(j.tasks) == 0 {
		c.neverPlaced(now, j)
		return
	}
	j.state = Stopping
	if !j.Idempotent && !j.placed {
		// Without the record, what was found may not be all that ran.
		j.tasks[0].began = max(j.tasks[0].began, beganMaybe)
	}
	j.partial = len(j.tasks) < c.parts(j.Shape)
	for _, t := range append([]*task(nil), j.tasks...) {
		if t.state == taskUnheard && t.heard {
			t.state = taskStopping
			c.gone(now, t)
		}
	}
	if j.state == Stopping && !j.ended {
		c.abort(now, j, stopNow)
	}
}

func (c *Core) neverPlaced(now Instant, j *job) {
	switch {
	case j.outcome != nil:
		c.finish(now, j, *j.outcome)
	case j.orphan:
		c.forget(j)
	default:
		j.state = Queued
		c.enqueue(now, j)
	}
}
