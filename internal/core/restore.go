package core

import (
	"sort"
)

// restore adds a job that was read from the log. The job is not queued until the workers
// that may hold its tasks have listed them, or the wait for them has timed out.
func (c *Core) restore(now Instant, e JobRestored) {
	j := c.jobs[e.Job.ID]
	if j != nil && !j.orphan {
		return
	}
	if j == nil && c.emitOrphanOutcome(e.Job.ID) {
		return
	}
	if j == nil {
		j = c.newJob(now, e.Job)
		c.startRestoring(now, j)
	} else {
		c.identifyOrphan(j, e.Job)
	}
	if !j.restoring {
		return
	}
	for _, p := range e.Placed {
		c.addRecordedTask(j, p)
	}
	if j.Idempotent {
		// Placements of idempotent jobs are not recorded: an earlier attempt may have run.
		j.earlierStart = max(j.earlierStart, startUnknown)
	}
	c.awaitReports(now, j)
	c.resolveRestored(now, j)
}

func (c *Core) startRestoring(now Instant, j *job) {
	j.restoring = true
	c.restoring = append(c.restoring, j)
	c.addTimer(timer{at: now.Add(restoreTimeoutLeases * c.opts.LeaseTTL), kind: timerRestore, job: j})
}

// identifyOrphan replaces the description of an orphan job, which came with its tasks, by that
// of the restored or submitted job, and reports the job as started if it runs.
func (c *Core) identifyOrphan(j *job, submitted Job) {
	j.orphan = false
	j.Job = submitted
	if j.state == Running {
		c.emit(JobStarted{Job: j.ID, Workers: j.workerIDs()})
	}
}

// addRecordedTask adds the task of a recorded placement; its worker has yet to report its
// state.
func (c *Core) addRecordedTask(j *job, p Placement) {
	j.placementKnown = true
	if p.Resume {
		j.resume = true
		j.earlierStart = startYes
	}
	j.recorded = true
	j.attempt = max(j.attempt, p.Task.Attempt)
	if c.tasks[taskKey{p.Task, p.Worker}] != nil {
		return
	}
	t := &task{Placement: p, job: j, shape: j.Shape, state: taskUnreported, started: startUnknown}
	t.reported = c.worker(p.Worker).reported
	j.tasks = append(j.tasks, t)
	c.trackTask(t)
}

func (c *Core) tasksFound(now Instant, e TasksFound) {
	w := c.worker(e.Worker)
	w.reported = true
	for _, f := range e.Tasks {
		c.foundTask(now, w, f)
	}
	for _, t := range w.held {
		if t.state == taskUnreported {
			t.reported = true
		}
		if t.state == taskRunning && !e.lists(t.Task) {
			c.addTimer(timer{at: now.Add(restoreReportWait), kind: timerUnlisted, task: t})
		}
	}
	for _, j := range append([]*job(nil), c.restoring...) {
		c.awaitReports(now, j)
		c.resolveRestored(now, j)
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

// stopUnlisted stops the job of a running task that its worker did not list and whose end
// it has not reported since. The list may be older than the start of the task, so only
// the stop confirms that the task does not run.
func (c *Core) stopUnlisted(now Instant, t *task) {
	if t.state != taskRunning || t.detached || t.job.restoring {
		return
	}
	t.job.reason = "worker " + string(t.Worker) + " no longer lists its task"
	c.abort(now, t.job, stopNow)
}

// foundTask handles one task of a worker's list: it adds the task to its job, or stops it as
// an orphan.
func (c *Core) foundTask(now Instant, w *worker, f FoundTask) {
	if t := c.tasks[taskKey{f.Task, w.def.ID}]; t != nil {
		if t.state == taskUnreported {
			t.applyReport(now, f)
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
	if !j.restoring || f.Task.Attempt < j.attempt || j.hasTask(f.Task) {
		c.stopOrphan(now, w, j, f)
		return
	}
	if f.Task.Attempt > j.attempt {
		c.detachAll(now, j)
		j.attempt = f.Task.Attempt
	}
	t := &task{Placement: Placement{Task: f.Task, Worker: w.def.ID, Cell: f.Cell}, job: j, shape: j.Shape}
	t.applyReport(now, f)
	j.tasks = append(j.tasks, t)
	c.trackTask(t)
}

// applyReport sets the state of the task as its worker reports it.
func (t *task) applyReport(now Instant, f FoundTask) {
	t.Cell = f.Cell
	t.reported = true
	if !f.Started {
		t.state, t.started = taskReserved, startNo
		return
	}
	t.state, t.started, t.startedAt = taskRunning, startYes, now
}

func (j *job) hasTask(ref TaskRef) bool {
	for _, t := range j.tasks {
		if t.Task.Attempt == ref.Attempt && t.Task.Index == ref.Index {
			return true
		}
	}
	return false
}

// stopOrphan stops a found task on which the outcome of its job does not depend, such as one of
// an earlier attempt.
func (c *Core) stopOrphan(now Instant, w *worker, j *job, f FoundTask) {
	t := &task{Placement: Placement{Task: f.Task, Worker: w.def.ID, Cell: f.Cell}, job: j, shape: f.Job.Shape, detached: true}
	t.applyReport(now, f)
	c.trackTask(t)
	if t.started == startYes {
		j.earlierStart = startYes
	}
	c.emit(Note{Code: NoteOrphan, Job: j.ID, Worker: w.def.ID})
	c.stopTask(now, t, stopNow)
}

// detachAll detaches the job from the tasks of its earlier attempt and stops them.
func (c *Core) detachAll(now Instant, j *job) {
	old := j.tasks
	j.tasks = nil
	for _, t := range old {
		j.earlierStart = max(j.earlierStart, t.started)
		t.detached = true
		c.stopTask(now, t, stopNow)
	}
}

// addEndedTask adds a task whose end was reported before its worker listed its tasks; nil
// unless the task may belong to a job that is being restored without a recorded placement.
func (c *Core) addEndedTask(e TaskEnded) *task {
	j := c.jobs[e.Task.Job]
	if j == nil || !j.restoring || j.placementKnown || e.Task.Attempt < j.attempt || j.hasTask(e.Task) {
		return nil
	}
	if len(j.tasks) > 0 && e.Task.Attempt != j.attempt {
		return nil
	}
	j.attempt = e.Task.Attempt
	t := &task{Placement: Placement{Task: e.Task, Worker: e.Worker}, job: j, shape: j.Shape, state: taskRunning}
	j.tasks = append(j.tasks, t)
	c.trackTask(t)
	return t
}

// awaitReports schedules the decision on a restored job once every worker that may hold a
// task of it has listed its tasks.
func (c *Core) awaitReports(now Instant, j *job) {
	if j.reportsComplete || !j.restoring || !c.allReported(j) {
		return
	}
	j.reportsComplete = true
	c.addTimer(timer{at: now.Add(restoreReportWait), kind: timerRestore, job: j})
}

// allReported reports whether every worker that may hold a task of j has listed its tasks.
// Without a recorded placement, that is every worker of the zone.
func (c *Core) allReported(j *job) bool {
	if !j.placementKnown {
		for _, w := range c.ordered {
			if !w.reported {
				return false
			}
		}
		return len(c.ordered) > 0
	}
	for _, t := range j.tasks {
		if t.state == taskUnreported && !t.reported {
			return false
		}
	}
	return true
}

// restoreTimedOut handles the end of a wait for reports, either the one that startRestoring sets or
// the shorter one of awaitReports.
func (c *Core) restoreTimedOut(now Instant, j *job) {
	j.decisionDue = true
	c.resolveRestored(now, j)
}

// resolveRestored decides on a restored job. A gang of which all tasks were found is
// adopted. An incomplete one is stopped when the decision is due: restoreReportWait after every
// worker that may hold a task has listed its tasks, or when the wait for the workers times
// out. A job that already has an outcome is stopped at once if its placement is recorded,
// otherwise when the decision is due.
func (c *Core) resolveRestored(now Instant, j *job) {
	switch {
	case !j.restoring || j.ended:
	case j.outcome != nil && (j.placementKnown || j.decisionDue):
		c.stopIncomplete(now, j)
	case j.outcome == nil && c.allTasksFound(j):
		c.adopt(now, j)
	case j.decisionDue:
		c.stopIncomplete(now, j)
	}
}

// allTasksFound reports whether every part of the job runs or has succeeded.
func (c *Core) allTasksFound(j *job) bool {
	for _, t := range j.tasks {
		if t.state != taskRunning && t.state != taskDone {
			return false
		}
	}
	return len(j.tasks) == c.taskCount(j.Shape)
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

// adopt continues a restored job whose tasks were all found.
func (c *Core) adopt(now Instant, j *job) {
	c.endRestoring(j)
	j.state = Running
	j.fullyStarted = true
	j.startedAt = now
	c.charge(now, j)
	c.emit(Note{Code: NoteAdopted, Job: j.ID, Worker: j.tasks[0].Worker})
	c.emit(JobStarted{Job: j.ID, Workers: j.workerIDs()})
	c.resolveAttempt(now, j)
}

// stopIncomplete stops the tasks of a restored job that is not adopted. Recorded tasks that
// their workers did not list are confirmed gone without a stop.
func (c *Core) stopIncomplete(now Instant, j *job) {
	c.endRestoring(j)
	if len(j.tasks) == 0 {
		c.resolveUnplaced(now, j)
		return
	}
	j.state = Stopping
	if !j.Idempotent && !j.placementKnown {
		// Without a recorded placement, tasks that were not found may have run as well.
		j.tasks[0].started = max(j.tasks[0].started, startUnknown)
	}
	j.partial = len(j.tasks) < c.taskCount(j.Shape)
	for _, t := range append([]*task(nil), j.tasks...) {
		if t.state == taskUnreported && t.reported {
			t.state = taskStopping
			c.confirmGone(now, t)
		}
	}
	if j.state == Stopping && !j.ended {
		c.abort(now, j, stopNow)
	}
}

// resolveUnplaced decides on a restored job of which no task was found.
func (c *Core) resolveUnplaced(now Instant, j *job) {
	switch {
	case j.outcome != nil:
		c.finish(now, j, *j.outcome)
	case j.orphan:
		c.dropOrphan(j)
	default:
		j.state = Queued
		c.enqueue(now, j)
	}
}
