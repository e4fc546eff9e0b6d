// Package sim is a discrete-event simulation that runs loads and faults against the real
// dispatch core in virtual time. It models only what the leader interacts with: workers, the
// log and the calls between them. It uses no network, no processes and no wall clock.
package sim

import (
	"time"

	"agatewinch/internal/core/dispatch"
	"agatewinch/internal/core/job"
)

// runKey identifies one run of a task.
type runKey struct {
	task string
	run  int
}

// execution is the state of a run on a worker. stopAt is the time at which a stop order ends the run; it
// is zero until one arrives.
type execution struct {
	key       runKey
	id        job.TaskID
	need      job.Resources
	startedAt time.Duration
	stopAt    time.Duration
	gang      bool
	// saved is the part of the work that was done before the run, from 0 to 1: what the checkpoint
	// that it resumed from has saved. checkpoints is set if the run saves its own progress.
	saved       float64
	checkpoints bool
	// runTime is how long the whole run takes at its worker's present speed. It is zero while a gang
	// member waits for the others to start and on a hanging worker. share is the share of the work that
	// was done at the time at.
	runTime time.Duration
	share   float64
	at      time.Duration
	// finish ends the run once all of its work is done, and finished is set then: a gang member waits for
	// the others.
	finish   func()
	finished bool
}

// doneAt is the time at which the work of a run that makes progress is done.
func (e *execution) doneAt() time.Duration {
	return e.at + time.Duration((1-e.share)*float64(e.runTime))
}

// Worker is a simulated worker.
type Worker struct {
	Info dispatch.WorkerInfo
	// RunTimeFactor multiplies run times; it is below 1 for fast workers. slowness multiplies them too, for
	// a time; it is zero if the worker has its usual speed.
	RunTimeFactor, slowness float64
	// Fails makes every run on the worker fail. Hangs keeps runs from making progress.
	Fails, Hangs bool
	// Calls to Partitioned workers fail; their tasks keep running until the lease expires.
	Partitioned bool
	// Down workers have crashed and not restarted yet.
	Down bool

	startedAt time.Duration
	// epoch is the highest epoch of the calls so far.
	epoch int64
	// leaseUntilMs is the end of the lease by the worker's clock, in milliseconds.
	leaseUntilMs int64
	runs         map[runKey]*execution
	// lastRun is the highest run of each task that has ended or been stopped. The worker
	// refuses to start that run or an earlier one.
	lastRun map[string]int
	ended   []dispatch.EndedRun
	// lastEndNumber is the number of the last end, ackedEnd that of the last acknowledged end.
	lastEndNumber int64
	ackedEnd      int64
	waitingProbes []func()
}

// clockMs returns the worker's clock in milliseconds; it starts at 1 in every incarnation.
func (w *Worker) clockMs(now time.Duration) int64 { return (now - w.startedAt).Milliseconds() + 1 }

func (w *Worker) used() job.Resources {
	var sum job.Resources
	for _, e := range w.runs {
		sum = sum.Plus(e.need)
	}
	return sum
}

// startIncarnation resets the state of w, as a start of its process does.
func (w *Worker) startIncarnation(now time.Duration) {
	w.startedAt = now
	w.Info.Incarnation = now.Milliseconds() + 1
	w.epoch, w.leaseUntilMs, w.lastEndNumber, w.ackedEnd = 0, 0, 0, 0
	w.runs, w.lastRun, w.ended = map[runKey]*execution{}, map[string]int{}, nil
}

// acceptEpoch reports whether a call with the given epoch may be executed. It remembers the
// highest epoch, which fences off calls of former leaders.
func (w *Worker) acceptEpoch(epoch int64) bool {
	if epoch < w.epoch {
		return false
	}
	w.epoch = epoch
	return true
}

// extendLease extends the lease to untilMs, by the worker's clock, but to at most limit from now.
func (w *Worker) extendLease(untilMs int64, now time.Duration, limit time.Duration) {
	w.leaseUntilMs = max(w.leaseUntilMs, min(untilMs, w.clockMs(now)+limit.Milliseconds()))
}

// endRun removes a run, adds its end to the worker's report and answers the waiting probes.
func (w *Worker) endRun(e *execution, end job.End, checkpoint string) {
	delete(w.runs, e.key)
	w.lastEndNumber++
	w.lastRun[e.key.task] = max(w.lastRun[e.key.task], e.key.run)
	w.ended = append(w.ended, dispatch.EndedRun{Number: w.lastEndNumber, Task: e.key.task, Run: e.key.run, End: end, Checkpoint: checkpoint})
	waiting := w.waitingProbes
	w.waitingProbes = nil
	for _, f := range waiting {
		f()
	}
}

// report returns the answer to a probe.
func (w *Worker) report(now time.Duration) dispatch.WorkerReport {
	r := dispatch.WorkerReport{Incarnation: w.Info.Incarnation, ClockMs: w.clockMs(now)}
	for _, e := range sortedRuns(w.runs) {
		r.Running = append(r.Running, dispatch.RunInProgress{Task: e.key.task, Run: e.key.run, Percent: e.percent(now, w), Checkpoint: e.checkpoint(now)})
	}
	for _, e := range w.ended {
		if e.Number > w.ackedEnd {
			r.Ended = append(r.Ended, e)
		}
	}
	return r
}

func (e *execution) percent(now time.Duration, w *Worker) int {
	if w.Hangs || e.runTime == 0 {
		return 0
	}
	return int(100 * e.progress(now))
}
