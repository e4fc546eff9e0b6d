package dispatch

import (
	"time"

	"agatewinch/internal/core/job"
)

// Best-effort tasks (job.Step.BestEffort) use idle CPU and slow down the serving tasks on the same
// worker, by an amount that can't be predicted. Their pace is therefore controlled by the
// measured tail latency of the serving tasks: it is halved near the latency target, set to zero
// above it, and raised step by step well below it.
const (
	// tailLatencyHigh and tailLatencyLow are fractions of a serving task's latency target:
	// best-effort tasks are slowed down above tailLatencyHigh and sped up below tailLatencyLow.
	tailLatencyHigh = 0.85
	tailLatencyLow  = 0.6
	// fullPace is the pace that a task starts with, in percent.
	fullPace = 100
	// initialSharedPace is the pace, in percent, of a best-effort task that begins to share a
	// worker with a serving task, or that shares one and whose pace is unknown.
	initialSharedPace = 30
	// paceIncrement is the largest increase of the pace at a time, in percentage points, while
	// serving tasks share the worker.
	paceIncrement = 15
	// paceSettleTime is how long it takes for a pace change to show in the tail latency: the
	// time until the change takes effect, and the half second over which latency is measured.
	paceSettleTime = 700 * time.Millisecond
	// sharedProbeWait is how long a worker with both serving and best-effort tasks may delay its
	// answer to a probe. It is an eighth of the time for which a latency target may be missed.
	sharedProbeWait = 500 * time.Millisecond
	// unknownPace is the pace of a run that another leader may have slowed down, or whose
	// last pace order was not confirmed.
	unknownPace = -1
	// colocationPenalty is added to the score of a worker where best-effort and serving tasks
	// would share it, so that they share one only if there is no capacity elsewhere.
	colocationPenalty = 12.0
	// cpuLoadWeight is how strongly best-effort tasks prefer workers with idle CPU.
	cpuLoadWeight = 6.0
)

// Pace orders a worker to let a run work at a percentage of its full speed.
type Pace struct {
	Target
	Task    job.TaskID
	Run     int
	Percent int
	run     *run
}

// pacing is the known pace of a run, as a percentage, and the state of the order to change it.
type pacing struct {
	percent int
	// orderInFlight is true while an order has been sent and not answered.
	orderInFlight bool
	setAt         time.Duration
	// lateUntil is when the last unanswered order can no longer be executed; zero if there is none. The
	// pace is then ordered once more, because that order may have replaced it.
	lateUntil time.Duration
}

// serves reports whether the step's tasks are serving tasks: they answer requests and have a
// latency target.
func (s *step) serves() bool { return s.spec.LongRunning && s.spec.TailLatencyTarget > 0 }

// adjustRunCounts adds n runs of s to the numbers of serving and best-effort runs on w.
func (w *worker) adjustRunCounts(s *step, n int) {
	if s.serves() {
		w.serving += n
	}
	if s.spec.BestEffort {
		w.bestEffort += n
	}
}

// worstTailLatency returns the highest tail latency of w's serving tasks as a fraction of their
// target. known is false until each of them has reported one.
func (w *worker) worstTailLatency() (worst float64, known bool) {
	known = true
	for r := range w.runs {
		if !r.task.step.serves() || r.phase != running {
			continue
		}
		known = known && r.load > 0
		worst = max(worst, r.load/float64(r.task.step.spec.TailLatencyTarget.Milliseconds()))
	}
	return worst, known
}

// adjustPace adjusts the pace of the best-effort tasks on w to the tail latency of its serving
// tasks.
func (c *Core) adjustPace(now Now, w *worker) {
	if w.bestEffort == 0 {
		return
	}
	tail, known := w.worstTailLatency()
	for _, r := range c.runsOf(w) {
		if !r.task.step.spec.BestEffort || r.phase != running || r.pacing.orderInFlight {
			continue
		}
		want := fullPace
		if w.serving > 0 {
			want = r.nextPace(now, tail, known)
		}
		// A run that still uses CPU after it was paused is sent the order again.
		notPaused := r.pacing.percent == 0 && r.load > 0 && now.Mono >= r.pacing.setAt+paceSettleTime
		replaced := r.pacing.lateUntil > 0 && now.Mono >= r.pacing.lateUntil
		if want != r.pacing.percent || want == 0 && notPaused || replaced {
			c.orderPace(now, r, want, tail)
		}
	}
}

// nextPace returns the next pace of a best-effort run that shares its worker with serving tasks.
func (r *run) nextPace(now Now, tail float64, known bool) int {
	p := r.pacing.percent
	switch {
	case tail >= 1:
		return 0
	case p == unknownPace:
		return initialSharedPace
	case now.Mono < r.pacing.setAt+paceSettleTime:
		return p
	case tail > tailLatencyHigh:
		return p / 2
	case known && tail < tailLatencyLow:
		return min(fullPace, p+paceIncrement)
	}
	return p
}

// orderPace sends an order to change the pace of r.
func (c *Core) orderPace(now Now, r *run, percent int, tail float64) {
	r.pacing.orderInFlight = true
	c.note(Note{Kind: "pace", Task: r.task.id.String(), Run: r.number, Worker: r.worker.ID, Why: paceInputs(percent, r.pacing.percent, tail)})
	c.pendingActions.Paces = append(c.pendingActions.Paces, Pace{Target: r.worker.target(), Task: r.task.id, Run: r.number, Percent: percent, run: r})
}

// slowBestEffort slows down the best-effort tasks on the worker on which joined has started, if
// serving tasks share that worker.
func (c *Core) slowBestEffort(now Now, joined *run) {
	w := joined.worker
	if w.serving == 0 || w.bestEffort == 0 {
		return
	}
	for _, r := range c.runsOf(w) {
		if r.task.step.spec.BestEffort && r.phase == running && !r.pacing.orderInFlight && r.pacing.percent > initialSharedPace {
			c.orderPace(now, r, initialSharedPace, 0)
		}
	}
}

// PaceAnswered handles the outcome of an order to change a run's pace.
func (c *Core) PaceAnswered(now Now, p Pace, o Outcome) {
	r := p.run
	if !r.worker.runs[r] || r.worker.Incarnation != p.Incarnation {
		return
	}
	lateUntil := r.pacing.lateUntil
	if now.Mono >= lateUntil {
		lateUntil = 0
	}
	r.pacing = pacing{percent: p.Percent, setAt: now.Mono, lateUntil: lateUntil}
	if o != Accepted {
		r.pacing.percent = unknownPace // the answer to the next probe causes another order
	}
	if o == Unanswered {
		r.pacing.lateUntil = now.Mono + maxOrderDelay
	}
}

// colocationScore returns the part of w's score for a task of s that depends on the tasks with
// which it would share the worker.
func (s *step) colocationScore(w *worker) float64 {
	if !s.spec.BestEffort && !s.serves() {
		return 0
	}
	score := 0.0
	if s.spec.BestEffort && w.serving > 0 || s.serves() && w.bestEffort > 0 {
		score = colocationPenalty
	}
	if s.spec.BestEffort {
		busy := w.used.CPU + s.spec.Need.CPU
		for r := range w.runs {
			if r.task.step.spec.BestEffort {
				busy += r.task.step.spec.Need.CPU
			}
		}
		score += cpuLoadWeight * fraction(busy, w.Capacity.CPU)
	}
	return score
}
