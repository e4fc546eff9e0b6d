package dispatch

import (
	"time"

	"agatewinch/internal/core/job"
)

// Tasks that fill disturb the tasks beside them that serve callers, by amounts that nobody
// can tell beforehand. What is filled is therefore slowed by the tails that the serving
// tasks show: halved near the target, stopped beyond it, and let on step by step.
const (
	// tailHigh and tailLow are the parts of its target above which a serving task's tail
	// has what fills slowed, and below which it is let on.
	tailHigh = 0.85
	tailLow  = 0.6
	// fullPace is what a task starts with, in percent.
	fullPace = 100
	// firstPace is given to what fills as it comes to stand beside a serving task.
	firstPace = 30
	// paceStep is added at a time.
	paceStep = 15
	// paceSettle is how long a tail takes to show a change of pace: the time until it is in
	// force, and the half second that the figures are taken over.
	paceSettle = 700 * time.Millisecond
	// shareWait is how long a look waits at a worker that both serves and fills: an eighth
	// of the time for which a target may be missed.
	shareWait = 500 * time.Millisecond
	// unknownPace is that of a run which another decider may have slowed.
	unknownPace = -1
	// besideScore keeps tasks that fill and tasks that serve on different workers where
	// there is room on others.
	besideScore = 12.0
	// idleWeight is how strongly tasks that fill go where processors are idle.
	idleWeight = 6.0
)

// Pace orders a run to work at a share of its speed.
type Pace struct {
	Target
	Task    job.TaskID
	Run     int
	Percent int
	run     *run
}

// pacing is what is known of a run's speed.
type pacing struct {
	percent int
	// ordered says that an order is on its way.
	ordered bool
	at      time.Duration
}

// serves reports whether the step's tasks have callers of their own.
func (s *step) serves() bool { return s.spec.LongRunning && s.spec.TailTarget > 0 }

// countKinds counts n more runs of s on w.
func (w *worker) countKinds(s *step, n int) {
	if s.serves() {
		w.serving += n
	}
	if s.spec.Fills {
		w.filling += n
	}
}

// worstTail returns the highest tail of w's serving tasks as a part of its target. It is
// not known until each of them has shown one.
func (w *worker) worstTail() (worst float64, known bool) {
	known = true
	for r := range w.runs {
		if !r.task.step.serves() || r.phase != running {
			continue
		}
		known = known && r.load > 0
		worst = max(worst, r.load/float64(r.task.step.spec.TailTarget.Milliseconds()))
	}
	return worst, known
}

// balance sets the pace of what fills w by what its serving tasks show.
func (c *Core) balance(now Now, w *worker) {
	if w.filling == 0 {
		return
	}
	tail, known := w.worstTail()
	for _, r := range c.runsOf(w) {
		if !r.task.step.spec.Fills || r.phase != running || r.pacing.ordered {
			continue
		}
		want := fullPace
		if w.serving > 0 {
			want = r.nextPace(now, tail, known)
		}
		disobeys := r.pacing.percent == 0 && r.load > 0 && now.Mono >= r.pacing.at+paceSettle
		if want != r.pacing.percent || want == 0 && disobeys {
			c.orderPace(now, r, want, tail)
		}
	}
}

// nextPace returns the pace of a run that fills beside tasks that serve.
func (r *run) nextPace(now Now, tail float64, known bool) int {
	p := r.pacing.percent
	switch {
	case tail >= 1:
		return 0
	case p == unknownPace:
		return firstPace
	case now.Mono < r.pacing.at+paceSettle:
		return p
	case tail > tailHigh:
		return p / 2
	case known && tail < tailLow:
		return min(fullPace, p+paceStep)
	}
	return p
}

func (c *Core) orderPace(now Now, r *run, percent int, tail float64) {
	r.pacing.ordered = true
	c.note(Note{What: "pace", Task: r.task.id.String(), Run: r.number, Worker: r.worker.ID, Why: paceInputs(percent, r.pacing.percent, tail)})
	c.out.Paces = append(c.out.Paces, Pace{Target: r.worker.target(), Task: r.task.id, Run: r.number, Percent: percent, run: r})
}

// slowAtStart slows what fills w as a run joins it.
func (c *Core) slowAtStart(now Now, joined *run) {
	w := joined.worker
	if w.serving == 0 || w.filling == 0 {
		return
	}
	for _, r := range c.runsOf(w) {
		if r.task.step.spec.Fills && r.phase == running && !r.pacing.ordered && r.pacing.percent > firstPace {
			c.orderPace(now, r, firstPace, 0)
		}
	}
}

// Paced takes in the outcome of an order to change a run's pace.
func (c *Core) Paced(now Now, p Pace, o Outcome) {
	r := p.run
	if !r.worker.runs[r] || r.worker.Born != p.Born {
		return
	}
	r.pacing = pacing{percent: p.Percent, at: now.Mono}
	if o != Accepted {
		r.pacing.percent = unknownPace // the next look has it ordered again
	}
}

// sharing is what a task of s adds to a worker's score for what it would stand beside.
func (s *step) sharing(w *worker) float64 {
	if !s.spec.Fills && !s.serves() {
		return 0
	}
	score := 0.0
	if s.spec.Fills && w.serving > 0 || s.serves() && w.filling > 0 {
		score = besideScore
	}
	if s.spec.Fills {
		busy := w.used.CPU + s.spec.Need.CPU
		for r := range w.runs {
			if r.task.step.spec.Fills {
				busy += r.task.step.spec.Need.CPU
			}
		}
		score += idleWeight * share(busy, w.Capacity.CPU)
	}
	return score
}
