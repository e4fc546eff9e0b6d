package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"agatewinch/internal/core/job"
)

var (
	servingNeed    = job.Resources{CPU: 16000, MemMB: 1000, Accelerators: 4}
	bestEffortNeed = job.Resources{CPU: 16000, MemMB: 1000}
)

// serving returns a long-running job whose tail latency must stay below 100 ms.
func serving(id string, count int) *job.Job {
	j := single(id, 1, count, servingNeed)
	j.Steps[0].LongRunning, j.Steps[0].TailLatencyTarget = true, 100*time.Millisecond
	return j
}

// bestEffort returns a job whose tasks use idle CPU.
func bestEffort(id string, count int) *job.Job {
	j := single(id, 2, count, bestEffortNeed)
	j.Steps[0].BestEffort = true
	return j
}

// sharedFleet simulates workers on which each best-effort task at full pace adds latencyPerTask
// milliseconds to the tail latency of the serving tasks, which is baseLatency without them.
type sharedFleet struct {
	*harness
	latencyPerTask float64
	baseLatency    float64
	paces          map[string]int
	// obeyPace is false while workers do not execute orders to change the pace.
	obeyPace bool
	// timeOverTarget is how long each serving task has now been over its target, and
	// longestOver the longest such time.
	timeOverTarget map[string]time.Duration
	longestOver    time.Duration
	// bestEffortWork is the work that best-effort tasks have done, in seconds at full pace.
	bestEffortWork float64
	// tails holds the tail latency of each serving task in milliseconds.
	tails            map[string]float64
	unansweredOrders int
}

func newSharedFleet(t *testing.T, workers int) *sharedFleet {
	f := &sharedFleet{harness: newHarness(t), latencyPerTask: 60, baseLatency: 40, paces: map[string]int{}, obeyPace: true, timeOverTarget: map[string]time.Duration{}, tails: map[string]float64{}}
	f.core.SetWorkers(f.clock(), f.fleet(workers, job.Resources{CPU: 32000, MemMB: 64000, Accelerators: 8}))
	return f
}

// run advances the time. Probes are answered with the current tail latencies.
func (f *sharedFleet) run(d time.Duration) {
	const step = 100 * time.Millisecond
	for end := f.now + d; f.now < end; {
		f.now += step
		f.accept()
		f.execute()
		f.measure(step)
		f.core.Tick(f.clock())
		f.flush()
		f.answerProbes()
	}
}

func (f *sharedFleet) execute() {
	orders := f.harness.paces
	f.harness.paces = nil
	for _, p := range orders {
		if !f.obeyPace {
			f.unansweredOrders++
			f.core.PaceAnswered(f.clock(), p, Unanswered)
			continue
		}
		f.paces[p.Task.String()] = p.Percent
		f.core.PaceAnswered(f.clock(), p, Accepted)
	}
}

func (f *sharedFleet) paceOf(r *run) int {
	if p, ok := f.paces[r.task.id.String()]; ok {
		return p
	}
	return fullPace
}

func (f *sharedFleet) measure(step time.Duration) {
	for _, w := range f.core.sortedWorkers {
		tail := f.baseLatency
		for r := range w.runs {
			if r.confirmed && r.task.step.spec.BestEffort {
				tail += f.latencyPerTask * float64(f.paceOf(r)) / 100
				f.bestEffortWork += step.Seconds() * float64(f.paceOf(r)) / 100
			}
		}
		for r := range w.runs {
			if !r.confirmed || !r.task.step.serves() {
				continue
			}
			name := r.task.id.String()
			f.tails[name] = tail
			f.timeOverTarget[name] += step
			if tail <= 100 {
				f.timeOverTarget[name] = 0
			}
			f.longestOver = max(f.longestOver, f.timeOverTarget[name])
		}
	}
}

// answerProbes answers the probes whose wait is over.
func (f *sharedFleet) answerProbes() {
	for _, p := range append([]Probe(nil), f.probes...) {
		if f.now < p.sentAt+p.MaxWait {
			continue
		}
		w := f.core.workers[p.Worker]
		rep := WorkerReport{Incarnation: 1, ClockMs: f.now.Milliseconds() + 1}
		for r := range w.runs {
			if !r.confirmed {
				continue
			}
			row := RunInProgress{Task: r.task.id.String(), Run: r.number, Percent: 100}
			if r.task.step.serves() {
				row.Load = f.tails[row.Task]
			} else if f.paceOf(r) > 0 {
				row.Load = 16000
			}
			rep.Running = append(rep.Running, row)
		}
		f.answerProbe(p.Worker, rep)
	}
}

// maxOverTarget is how long a tail latency may exceed its target at both sites of package sim.
const maxOverTarget = 4 * time.Second

func TestServingAndBestEffortTasksAreSeparatedIfThereIsCapacity(t *testing.T) {
	f := newSharedFleet(t, 4)
	f.add(serving("s", 2))
	f.add(bestEffort("f", 4))
	for _, w := range f.core.sortedWorkers {
		assert.Assert(t, w.serving == 0 || w.bestEffort == 0, w.ID)
	}
}

func TestBestEffortTasksAreSlowedWhileTailLatencyIsNearItsTarget(t *testing.T) {
	for name, addedLatency := range map[string]float64{"mild": 20, "strong": 60, "any pace is too much": 5000} {
		t.Run(name, func(t *testing.T) {
			f := newSharedFleet(t, 1)
			f.latencyPerTask = addedLatency
			f.add(serving("s", 1))
			f.add(bestEffort("f", 3))
			f.run(60 * time.Second)
			assert.Assert(t, f.longestOver < maxOverTarget, "tail latency over its target for %v", f.longestOver)
			if addedLatency < 1000 {
				assert.Assert(t, f.bestEffortWork > 10, "only %v seconds of best-effort work", f.bestEffortWork)
			}
		})
	}
}

func TestBestEffortTasksArePausedAndResumedWithTheServingLoad(t *testing.T) {
	f := newSharedFleet(t, 1)
	f.latencyPerTask = 15
	f.add(serving("s", 1))
	f.add(bestEffort("f", 2))
	f.run(20 * time.Second)
	f.baseLatency = 95
	f.run(20 * time.Second)
	assert.Assert(t, f.longestOver < maxOverTarget, "tail latency over its target for %v", f.longestOver)
	f.baseLatency = 20
	before := f.bestEffortWork
	f.run(20 * time.Second)
	assert.Assert(t, f.bestEffortWork > before+20, "the best-effort tasks did not speed up: %v seconds of work", f.bestEffortWork-before)
}

func TestALostPaceOrderIsRepeated(t *testing.T) {
	f := newSharedFleet(t, 1)
	f.add(serving("s", 1))
	f.add(bestEffort("f", 2))
	f.obeyPace = false
	f.run(2 * time.Second)
	assert.Assert(t, f.unansweredOrders >= 2)
	f.obeyPace = true
	f.run(2 * time.Second)
	assert.Equal(t, f.timeOverTarget["s.0.0.0"], time.Duration(0))
}

// Guards against a best-effort task that stays paused for good: an order that was not answered is executed after
// later ones.
func TestAPaceOrderThatIsExecutedLateIsReplaced(t *testing.T) {
	f := newSharedFleet(t, 1)
	f.add(serving("s", 1))
	f.add(bestEffort("f", 1))
	f.obeyPace = false
	f.run(time.Second)
	f.obeyPace = true
	f.core.CancelJob(f.clock(), "s")
	f.flush()
	f.core.endRun(f.clock(), f.core.jobs["s"].occurrences[0].steps[0].tasks[0].current, job.EndStopped, "")
	f.run(2 * time.Second)
	assert.Equal(t, f.paces["f.0.0.0"], fullPace)
	f.paces["f.0.0.0"] = 0
	f.run(maxOrderDelay)
	assert.Equal(t, f.paces["f.0.0.0"], fullPace)
}

func TestAPausedTaskIsNotTakenAsStalled(t *testing.T) {
	f := newSharedFleet(t, 1)
	f.latencyPerTask = 5000
	f.add(serving("s", 1))
	f.add(bestEffort("f", 1))
	f.run(30 * time.Second)
	assert.Equal(t, len(f.stops), 0)
}

func TestThePaceSetByAFormerLeaderIsReset(t *testing.T) {
	f := newSharedFleet(t, 1)
	f.paces["f.0.0.0"] = 0
	spec := bestEffort("f", 1)
	f.core.AddJob(f.clock(), spec, map[string]job.TaskRecord{"f.0.0.0": {Run: 1, Worker: "w0", Incarnation: 1, Active: true, Started: true}})
	f.flush()
	for _, r := range f.core.runsOf(f.core.workers["w0"]) {
		r.confirmed = true
	}
	f.run(3 * time.Second)
	assert.Equal(t, f.paces["f.0.0.0"], fullPace)
}
