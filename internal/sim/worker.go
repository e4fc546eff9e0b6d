// Package sim plays loads and faults against the real deciding core in virtual time. It
// models the decider's world alone: workers, the log and the orders between them. There
// is no network, no process and no clock.
package sim

import (
	"time"

	"agatewinch/internal/core/dispatch"
	"agatewinch/internal/core/job"
)

// runKey names one run of a task on a worker.
type runKey struct {
	task string
	run  int
}

// execution is a run that a worker carries out.
type execution struct {
	key    runKey
	id     job.TaskID
	need   job.Resources
	began  time.Duration
	done   time.Duration
	stopAt time.Duration
	gang   bool
}

// Worker is the model of one worker.
type Worker struct {
	Info dispatch.WorkerInfo
	// Slow is how many times longer work takes; fast workers are below one.
	Slow float64
	// Fails workers fail what they start; Hangs ones make no progress.
	Fails, Hangs bool
	// Cut workers hear nothing, and go on.
	Cut bool
	// Gone workers have left for good.
	Gone bool

	born    time.Duration
	epoch   int64
	leaseMs int64
	runs    map[runKey]*execution
	lastRun map[string]int
	ended   []dispatch.EndedTask
	number  int64
	acked   int64
	waiting []func()
}

func (w *Worker) clockMs(now time.Duration) int64 { return (now - w.born).Milliseconds() + 1 }

func (w *Worker) used() job.Resources {
	var sum job.Resources
	for _, e := range w.runs {
		sum = sum.Plus(e.need)
	}
	return sum
}

// begin starts the life of w.
func (w *Worker) begin(now time.Duration) {
	w.born = now
	w.Info.Born = now.Milliseconds() + 1
	w.epoch, w.leaseMs, w.number, w.acked = 0, 0, 0, 0
	w.runs, w.lastRun, w.ended = map[runKey]*execution{}, map[string]int{}, nil
}

// check takes an order's epoch; it reports whether the order may be carried out.
func (w *Worker) check(epoch int64) bool {
	if epoch < w.epoch {
		return false
	}
	w.epoch = epoch
	return true
}

func (w *Worker) extend(untilMs int64, now time.Duration, longest time.Duration) {
	w.leaseMs = max(w.leaseMs, min(untilMs, w.clockMs(now)+longest.Milliseconds()))
}

// end lists the end of a run.
func (w *Worker) end(e *execution, how job.End, checkpoint string) {
	delete(w.runs, e.key)
	w.number++
	w.lastRun[e.key.task] = max(w.lastRun[e.key.task], e.key.run)
	w.ended = append(w.ended, dispatch.EndedTask{Number: w.number, Task: e.key.task, Run: e.key.run, How: how, Checkpoint: checkpoint})
	waiting := w.waiting
	w.waiting = nil
	for _, f := range waiting {
		f()
	}
}

// report is the answer to a look.
func (w *Worker) report(now time.Duration) dispatch.Report {
	r := dispatch.Report{Born: w.Info.Born, ClockMs: w.clockMs(now)}
	for _, e := range sorted(w.runs) {
		r.Running = append(r.Running, dispatch.RunningTask{Task: e.key.task, Run: e.key.run, Percent: e.percent(now, w)})
	}
	for _, e := range w.ended {
		if e.Number > w.acked {
			r.Ended = append(r.Ended, e)
		}
	}
	return r
}

func (e *execution) percent(now time.Duration, w *Worker) int {
	if w.Hangs || e.done == 0 || e.done <= e.began {
		return 0
	}
	return int(100 * float64(now-e.began) / float64(e.done-e.began))
}
