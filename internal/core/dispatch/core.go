package dispatch

import (
	"math"
	"slices"
	"time"

	"agatewinch/internal/core/estimate"
	"agatewinch/internal/core/job"
)

// Core is the scheduling state of the leader. It is not safe for concurrent use.
type Core struct {
	settings Settings
	// inheritedUntil is when the last lease that former leaders may have granted expires.
	inheritedUntil time.Duration
	// knownLeasesUntil is when the last lease expires that former leaders may have granted to incarnations
	// that they knew.
	knownLeasesUntil time.Duration
	// leasesUntil is the latest time to which leases may last; see LimitLeases.
	leasesUntil time.Duration
	// unrecorded are the tasks of runs that were found to be subject to the leaders' lease limit since the
	// last batch.
	unrecorded []*task
	// nextExpiry is when the next leases expire on workers that do not answer; zero if there are none.
	nextExpiry time.Duration
	jobs       map[string]*trackedJob
	// seq is the number of jobs added so far.
	seq     int
	workers map[string]*worker
	// sortedWorkers holds the workers sorted by ID, so that decisions are deterministic.
	sortedWorkers []*worker
	// racks is the number of racks. racksIndexed is set while it and the rackIndex of all workers
	// are up to date.
	racks          int
	racksIndexed   bool
	tasks          map[string]*task
	batch          *Batch
	pendingActions Actions
	// inputsChanged is set when an input of placement decisions has changed, and urgentMayStart
	// when that change may allow urgent work to start.
	inputsChanged, urgentMayStart bool
	// lastCycleAt is when the last scheduling cycle ran, lastFullCycleAt when the last one ran that
	// was not urgent, and backlog the number of steps that waited in the last one.
	lastCycleAt, lastFullCycleAt time.Duration
	backlog                      int
	// meanCycleTime is the moving average of the time that a cycle takes.
	meanCycleTime time.Duration
	// guaranteed is the number of accelerators that each organisation owns.
	guaranteed map[string]int64
	// lastUrgentArrival is when the newest job of urgent priority arrived; urgentArrived is
	// false until one has.
	lastUrgentArrival time.Duration
	urgentArrived     bool
	// finishTimes holds the latest finish times of the jobs that each part of the workers is for.
	finishTimes map[sharer]time.Duration
	// traffic measures the work that arrives and that is done.
	traffic traffic
	// hazard estimates how often running work is preempted.
	hazard hazard
	// lastArrival is when the newest job of any priority arrived.
	lastArrival time.Duration
	// meanUrgentWork is the moving average of the work of urgent jobs, in core-seconds.
	meanUrgentWork float64
	// copyResults counts how copies ended, by the reason for which they were placed.
	copyResults map[stragglerReason]copyResults
	// copies is the number of copies that run. stragglersDue is set if the next full cycle has to consider
	// stragglers.
	copies        int
	stragglersDue bool
	// workWaits is set if steps still waited for capacity after the last full cycle.
	workWaits bool
	// estimates is what has been learned of run times and of the speeds of workers.
	estimates *estimate.Model
	// runTimesNotedAt is when the learned run times were last noted.
	runTimesNotedAt time.Duration
	// cycle caches what the current scheduling cycle has computed.
	cycle *cycle
	// evacuation says where nothing may start.
	evacuation evacuation
	// zoneSuspectedAt is when the workers of each zone were last suspected to be unreachable
	// because some of them did not answer.
	zoneSuspectedAt map[string]time.Duration
	// reservationsComputedAt is when the reservations were last recomputed.
	reservationsComputedAt time.Duration
	// reservations is the capacity that is kept for waiting gangs, by worker, and
	// reservedGangs the number of gangs that it is kept for.
	reservations  map[*worker]*reservation
	reservedGangs int
	// waves are the operators' requests for upkeep. machines holds the latest list of
	// machines, by ID; it is nil until the first list has arrived.
	waves    []*wave
	machines map[string]Machine
	// openAdviceRequests counts the requests to the advisory service that are in flight.
	openAdviceRequests int
	// wake is when the next cycle has to run even without an event, for instance because an
	// occurrence becomes due or a delayed task may be placed; zero if there is no such time.
	wake time.Duration
}

// New returns a core without jobs and workers. This process becomes the leader at now: leases
// of former leaders are assumed to last for up to Settings.inheritedLease from then on.
func New(now Now, set Settings) *Core {
	c := &Core{
		settings: set, inheritedUntil: now.Mono + set.inheritedLease(), knownLeasesUntil: now.Mono + set.FormerLeaseTime + leaseExpiryMargin, leasesUntil: math.MaxInt64,
		jobs: map[string]*trackedJob{}, workers: map[string]*worker{}, tasks: map[string]*task{}, guaranteed: map[string]int64{}, zoneSuspectedAt: map[string]time.Duration{},
		traffic: newTraffic(), finishTimes: map[sharer]time.Duration{}, cycle: newCycle(), copyResults: map[stragglerReason]copyResults{}, estimates: estimate.NewModel(set.ProbeWait),
	}
	c.openBatch()
	return c
}

func (c *Core) openBatch() {
	c.batch = &Batch{acks: map[workerIncarnation]int64{}}
}

// SetGuarantees sets how many accelerators each organisation owns.
func (c *Core) SetGuarantees(g map[string]int64) { c.guaranteed = g }

// AddJob adds an accepted job with the records of its tasks from the log, by task name. A job that
// is already known is ignored.
func (c *Core) AddJob(now Now, spec *job.Job, tasks map[string]job.TaskRecord) {
	if c.jobs[spec.ID] != nil {
		return
	}
	j := c.newJob(now, spec, tasks)
	if len(tasks) == 0 {
		c.countArrival(now, j)
	}
	c.checkDone(now, j)
	c.inputsChanged = true
	c.urgentMayStart = c.urgentMayStart || spec.Priority == urgentPriority
}

func (c *Core) newJob(now Now, spec *job.Job, tasks map[string]job.TaskRecord) *trackedJob {
	c.seq++
	j := &trackedJob{spec: spec, seq: c.seq}
	c.jobs[spec.ID] = j
	c.lastArrival = now.Mono
	for k := range spec.Occurrences() {
		o := &occurrence{index: k}
		if spec.OccurrenceCount > 0 {
			o.dueMs = spec.FirstDueMs + int64(k)*spec.IntervalMs
		}
		for i := range spec.Steps {
			s := &step{job: j, occurrence: o, index: i, spec: &spec.Steps[i]}
			for n := range s.spec.Count {
				t := &task{id: job.TaskID{Job: spec.ID, Occurrence: k, Step: i, Index: n}, step: s}
				s.tasks = append(s.tasks, t)
				c.tasks[t.id.String()] = t
				c.restoreTask(now, t, tasks)
			}
			if k == 0 {
				j.work += float64(s.spec.Count) * s.spec.Need.Cores() * s.spec.Estimate.Seconds()
			}
			o.steps = append(o.steps, s)
		}
		j.occurrences = append(j.occurrences, o)
	}
	c.setFinishTime(now, j)
	if spec.Priority == urgentPriority {
		c.lastUrgentArrival, c.urgentArrived = now.Mono, true
		if c.meanUrgentWork == 0 {
			c.meanUrgentWork = j.work
		}
		c.meanUrgentWork += meanUrgentWorkWeight * (j.work - c.meanUrgentWork)
	}
	return j
}

// restoreTask applies the record of t, if there is one. A run that the record shows as active is
// adopted, or stopped if its worker has restarted since.
func (c *Core) restoreTask(now Now, t *task, records map[string]job.TaskRecord) {
	r, ok := records[t.id.String()]
	if !ok {
		return
	}
	t.failures, t.checkpoint, t.started = r.Failures, r.Checkpoint, r.Started
	if t.step.spec.Gang {
		t.step.latestRun = max(t.step.latestRun, r.Run)
		t.step.failures = max(t.step.failures, r.Failures)
		for _, number := range r.FailedRuns {
			if !slices.Contains(t.step.failedRuns, number) {
				t.step.failedRuns = append(t.step.failedRuns, number)
			}
		}
	}
	if r.Done {
		t.done = true
		t.step.done++
	}
	c.restorePresumed(now, t, r.Presumed)
	c.restoreRuns(now, t, r)
}

// AddEndedJob adds a job that has ended, if some of its runs have not.
func (c *Core) AddEndedJob(now Now, spec *job.Job, state job.State, tasks map[string]job.TaskRecord) {
	active := false
	for _, r := range tasks {
		active = active || r.Active
	}
	if !active || c.jobs[spec.ID] != nil {
		return
	}
	j := c.newJob(now, spec, tasks)
	j.end = state
	c.removeIfFinished(j)
}

// workerFor returns the worker that a recorded placement names, and whether the incarnation
// that was recorded has ended. The list of workers may lag behind the log, so a record may be
// the first to mention the current incarnation.
func (c *Core) workerFor(now Now, id string, incarnation int64) (w *worker, ended bool) {
	w = c.workers[id]
	if w == nil {
		w = c.addWorker(WorkerInfo{ID: id, Incarnation: incarnation})
	}
	switch {
	case w.Incarnation == 0 || incarnation == 0 || w.Incarnation == incarnation:
	case w.Incarnation > incarnation:
		return w, true
	default:
		c.beginIncarnation(now, w, incarnation)
	}
	return w, false
}

func (c *Core) addWorker(info WorkerInfo) *worker {
	w := &worker{WorkerInfo: info, inheritedUntil: c.inheritedUntil, runs: map[*run]bool{}, labels: map[string]bool{}}
	c.workers[info.ID] = w
	c.racksIndexed = false
	i, _ := slices.BinarySearchFunc(c.sortedWorkers, info.ID, func(w *worker, id string) int {
		if w.ID < id {
			return -1
		} else if w.ID > id {
			return 1
		}
		return 0
	})
	c.sortedWorkers = slices.Insert(c.sortedWorkers, i, w)
	return w
}

func (c *Core) addRun(r *run) {
	c.hazard.advance(r.placedAt)
	if r.task.attach(r) {
		c.copies++
	}
	r.worker.runs[r] = true
	r.worker.adjustRunCounts(r.task.step, 1)
	r.worker.used = r.worker.used.Plus(r.need)
	if r.task.step.job.spec.Priority == urgentPriority {
		r.worker.urgent = r.worker.urgent.Plus(r.need)
	}
	if r.task.step.spec.LongRunning {
		r.worker.longRunning = r.worker.longRunning.Plus(r.need)
	}
	r.task.step.job.activeRuns++
	r.task.step.activeRuns++
	c.countExposed(r.task.step, 1)
	r.worker.runsByEnd, r.worker.runsByTask = nil, nil
}

// removeRun removes a run from its worker and frees its resources.
func (c *Core) removeRun(r *run) {
	if !r.worker.runs[r] {
		return
	}
	delete(r.worker.runs, r)
	r.worker.adjustRunCounts(r.task.step, -1)
	r.worker.used = r.worker.used.Minus(r.need)
	if r.task.step.job.spec.Priority == urgentPriority {
		r.worker.urgent = r.worker.urgent.Minus(r.need)
	}
	if r.task.step.spec.LongRunning {
		r.worker.longRunning = r.worker.longRunning.Minus(r.need)
	}
	r.task.step.job.activeRuns--
	r.task.step.activeRuns--
	c.countExposed(r.task.step, -1)
	r.worker.runsByEnd, r.worker.runsByTask = nil, nil
	if r.task.detach(r) {
		c.copies--
	}
	c.inputsChanged = true
	c.urgentMayStart = c.urgentMayStart || r.phase == stopping // urgent work may be waiting for these resources
}

// CancelJob ends a job as cancelled: it stops the runs and places no further tasks.
func (c *Core) CancelJob(now Now, id string) {
	j := c.jobs[id]
	if j == nil || j.cancelled || j.end != "" {
		return
	}
	j.cancelled = true
	c.stopJob(now, j, "cancelled")
	c.finishJob(now, j, job.Cancelled)
}

func (c *Core) stopJob(now Now, j *trackedJob, why string) {
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			c.dropPlan(s)
			for _, t := range s.tasks {
				if !t.done {
					c.stopRuns(now, t, why)
				}
			}
		}
	}
}

// stop marks a run as stopping and sends a stop to its worker if its start was sent. The run
// keeps its resources until its end is known.
func (c *Core) stop(now Now, r *run, why string) {
	if r.phase == stopping {
		return
	}
	unsent := r.phase == recording
	r.phase, r.stopCause = stopping, why
	r.task.step.noteBreak(r.number, why)
	r.worker.runsByEnd = nil
	c.note(Note{Kind: "stop", Task: r.task.id.String(), Run: r.number, Worker: r.worker.ID, Why: why})
	if unsent {
		return // no start was sent: the run ends as EndNotStarted once its record is in the log
	}
	c.sendStop(now, r)
}

func (c *Core) sendStop(now Now, r *run) {
	r.stopSent = true
	r.nextStopAt = now.Mono + c.settings.MaxStopTime + time.Second
	c.pendingActions.Stops = append(c.pendingActions.Stops, Stop{Target: r.worker.target(), Task: r.task.id, Run: r.number, run: r})
}

func (w *worker) target() Target {
	return Target{Worker: w.ID, Address: w.Address, Incarnation: w.Incarnation}
}

func (c *Core) note(n Note) {
	if n.Job == "" && n.Task != "" {
		if id, err := job.ParseTaskID(n.Task); err == nil {
			n.Job = id.Job
		}
	}
	c.pendingActions.Notes = append(c.pendingActions.Notes, n)
}

// finishJob ends a job and adds its final state to the open batch.
func (c *Core) finishJob(now Now, j *trackedJob, state job.State) {
	if j.end != "" {
		return
	}
	j.end = state
	c.batch.Ends = append(c.batch.Ends, JobEnd{ID: j.spec.ID, State: state, AtMs: now.UnixMs})
	c.note(Note{Kind: "end", Job: j.spec.ID, Why: string(state)})
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			for _, t := range s.tasks {
				if t.current == nil && t.latestRun > 0 {
					c.batch.Dropped = append(c.batch.Dropped, t.id)
				}
			}
		}
	}
	c.removeIfFinished(j)
}

// removeIfFinished removes a job that has ended and has no runs left.
func (c *Core) removeIfFinished(j *trackedJob) {
	if j.end == "" || j.activeRuns > 0 {
		return
	}
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			c.dropPlan(s)
			c.countInterruptions(s)
			c.estimates.ForgetGroup(s.name())
			for _, t := range s.tasks {
				delete(c.tasks, t.id.String())
				for _, p := range slices.Clone(t.presumed) {
					c.resolve(p)
				}
			}
		}
	}
	delete(c.jobs, j.spec.ID)
}

// checkDone ends a job as succeeded if all its tasks are done.
func (c *Core) checkDone(now Now, j *trackedJob) {
	if j.end != "" {
		return
	}
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			if s.done < len(s.tasks) {
				return
			}
		}
	}
	c.finishJob(now, j, job.Succeeded)
}

// record adds a task's state to the open batch. If the task's job has ended and the task has no
// run, its record is dropped instead.
func (c *Core) record(t *task) {
	if t.step.job.end != "" && t.current == nil {
		c.batch.Dropped = append(c.batch.Dropped, t.id)
		return
	}
	c.batch.Tasks = append(c.batch.Tasks, TaskChange{ID: t.id, Record: t.record()})
}

// record returns the record of t for the log.
func (t *task) record() job.TaskRecord {
	r := job.TaskRecord{Run: t.latestRun, Done: t.done, Failures: t.failures, Checkpoint: t.checkpoint, Started: t.started, Presumed: t.presumedRecords()}
	if t.step.spec.Gang {
		r.Failures, r.FailedRuns = t.step.failures, slices.Clone(t.step.failedRuns)
	}
	t.recordRuns(&r)
	return r
}

// TakeBatch returns the changes that have to be written to the log, or nil.
func (c *Core) TakeBatch() *Batch {
	if c.batch.empty() {
		return nil
	}
	c.recordLeaseLimits()
	b := c.batch
	c.openBatch()
	return b
}

// Recorded handles the confirmation that a batch is in the log: the starts, acknowledgements and
// upkeep orders that depend on it may now be sent.
func (c *Core) Recorded(now Now, b *Batch) {
	for key, n := range b.acks {
		if key.worker.Incarnation == key.incarnation {
			key.worker.recordedEnd = max(key.worker.recordedEnd, n)
		}
	}
	for _, r := range b.starts {
		c.sendStart(now, r)
	}
	for _, o := range b.upkeeps {
		if o.upkeep.phase == upkeepRecording {
			c.orderUpkeep(o.wave, o.upkeep)
		}
	}
}

// sendStart sends a start, unless the conditions of its placement no longer hold: the run is
// stopping, its job has ended, its worker is draining or unlisted, it or a member of its gang is in an
// evacuated zone, or its ticket has expired. Such a run ends as EndNotStarted.
func (c *Core) sendStart(now Now, r *run) {
	if !r.worker.runs[r] {
		return
	}
	w := r.worker
	if r.phase == stopping || r.task.step.job.cancelledOrEnded() || !w.listed || w.Draining || c.startClosed(r) {
		c.endRun(now, r, job.EndNotStarted, r.task.checkpoint)
		return
	}
	ticket, allowed := r.task.step.ticketFor(now, w)
	if !allowed {
		c.endRun(now, r, job.EndNotStarted, r.task.checkpoint)
		return
	}
	r.phase, r.startPending = starting, true
	c.pendingActions.Starts = append(c.pendingActions.Starts, Start{
		Target: w.target(), Zone: w.Zone, Task: r.task.id, Run: r.number, Payload: r.task.step.job.spec.Payload,
		Checkpoint: r.checkpoint, Ticket: ticket, LeaseUntilMs: c.extendLease(now, w, startLeaseTTL), run: r,
	})
}

// TakeActions runs a scheduling cycle if one is due, and returns the calls to send.
func (c *Core) TakeActions(now Now) Actions {
	c.expireLeasesIfDue(now)
	kind := c.cycleDue(now)
	if kind != noCycle {
		c.urgentMayStart, c.lastCycleAt = false, now.Mono
		if kind == fullCycle {
			c.inputsChanged, c.lastFullCycleAt = false, now.Mono
		}
		c.schedule(now, kind)
	}
	if kind == urgentCycle {
		c.wakeAt(now, c.lastFullCycleAt+minCycleInterval)
	}
	c.emitProbes(now)
	out := c.pendingActions
	out.Scheduled = kind != noCycle
	c.pendingActions = Actions{}
	return out
}

// TakeProbes returns the probes that are due. It makes no decisions; orders and other calls that
// were decided before stay pending until TakeActions.
func (c *Core) TakeProbes(now Now) Actions {
	c.emitProbes(now)
	out := Actions{Probes: c.pendingActions.Probes, Notes: c.pendingActions.Notes}
	c.pendingActions.Probes, c.pendingActions.Notes = nil, nil
	return out
}
