package dispatch

import (
	"math"
	"slices"
	"time"
)

// Speed classes are the steps in which placement distinguishes the slowdowns of workers.
const (
	// speedClasses is the number of classes, and usualClass that of a worker of usual speed.
	speedClasses = 49
	usualClass   = 16
	// classesPerOctave is the number of classes in which the slowdown doubles: one is nine percent.
	classesPerOctave = 8
	// speedRefresh is how long the class of a worker is kept between two reports of its runs.
	speedRefresh = 100 * time.Millisecond
)

// slowdownOf returns the slowdown in the middle of a class.
func slowdownOf(class int) float64 {
	return math.Exp2(float64(class-usualClass) / classesPerOctave)
}

// refreshSpeed updates the slowdown and the speed class of w if that is due, and notes what it shows.
func (c *Core) refreshSpeed(now Now, w *worker) {
	if w.slowdown > 0 && now.Mono < w.speedAt+speedRefresh {
		return
	}
	w.slowdown, w.speedAt = c.estimates.Slowdown(now.Mono, w.ID), now.Mono
	w.speedClass = min(max(usualClass+int(math.Round(classesPerOctave*math.Log2(w.slowdown))), 0), speedClasses-1)
	c.noteSpeed(w)
}

// slowdown returns by which factor runs on w take longer now than on a worker of usual speed.
func (c *Core) slowdown(now Now, w *worker) float64 {
	c.refreshSpeed(now, w)
	return w.slowdown
}

// speeds says how the slowdown of a worker affects a step, by speed class.
type speeds struct {
	// expected is the expected run time on a worker of usual speed.
	expected time.Duration
	// risk is the probability that a task which starts now makes its job miss the latency objective, and
	// spare, for work that is not urgent, the part of the time allowed for it that it would not need.
	risk, spare [speedClasses]float64
	// lateScore is the score of a place where the task makes its job late for certain.
	lateScore float64
}

// rateSpeeds determines, once in a cycle, how the slowdowns of workers affect s. While nothing is known
// of run times, or all workers are equally fast, they do not.
func (c *Core) rateSpeeds(now Now, s *step) {
	if s.speedsIn == c.cycle {
		return
	}
	s.speeds, s.speedsIn = nil, c.cycle
	if len(c.cycle.speedClasses) < 2 || s.spec.LongRunning || s.spec.BestEffort {
		return
	}
	times, known := c.estimates.RunTimes(s.kind(), s.spec.Estimate)
	if !known {
		return
	}
	expected := times.Median()
	allowed := c.slack(now, s) + expected
	sp := &speeds{expected: expected, lateScore: scoreOfLoss * c.lateLoss(now, s)}
	for _, class := range c.cycle.speedClasses {
		slowdown := slowdownOf(class)
		sp.risk[class] = times.Risk(time.Duration(float64(allowed) / slowdown))
		if allowed > 0 && s.job.spec.Priority != urgentPriority {
			sp.spare[class] = max(0, 1-slowdown*float64(expected)/float64(allowed))
		}
	}
	s.speeds = sp
}

// lateLoss is what is accepted as a loss to others, in core-seconds, to keep a task of s from being late.
func (c *Core) lateLoss(now Now, s *step) float64 {
	if s.job.spec.Priority == urgentPriority {
		return urgentLoss
	}
	return maxLossWhenLate * s.spec.Need.Cores() * c.expectedRunTime(now, s, nil).Seconds()
}

// scoreOfLoss is the score of a loss of one core-second: that at which packing urgent work is weighed
// against the loss of runs.
const scoreOfLoss = packWeight / packingLoss

// speedScore is the part of the score of w that follows from its slowdown: the risk of being late and,
// as in best fit, the time to spare, so that slow workers get the work that can wait.
func (s *step) speedScore(w *worker) float64 {
	if s.speeds == nil {
		return 0
	}
	return s.speeds.score(w.speedClass)
}

func (sp *speeds) score(class int) float64 { return sp.lateScore*sp.risk[class] + sp.spare[class] }

// refreshSpeeds updates the speed classes of all workers at the beginning of a cycle.
func (c *Core) refreshSpeeds(now Now) {
	var present [speedClasses]bool
	for _, w := range c.sortedWorkers {
		if w.listed {
			c.refreshSpeed(now, w)
			present[w.speedClass] = true
		}
	}
	for class, p := range present {
		if p {
			c.cycle.speedClasses = append(c.cycle.speedClasses, class)
		}
	}
}

// assignAtLikeSpeed returns a worker for each task of a gang from workers in the order of their scores,
// or nil if not all fit. A gang is as slow as the slowest of them: it considers only workers of like
// speed, or only those that are not slower than some of them, and weighs what the others would waste.
func (s *step) assignAtLikeSpeed(order []scored, classes []int) []*worker {
	var best []*worker
	bestCost := math.Inf(1)
	for _, slowest := range classes {
		for _, fastest := range [2]int{0, slowest - 1} {
			workers, score := s.fill(order, fastest, slowest)
			if workers == nil {
				continue
			}
			if cost := score + s.speeds.score(slowest) + acceleratorWeight*wasted(workers, slowest); cost < bestCost {
				best, bestCost = workers, cost
			}
		}
	}
	return best
}

// wasted returns the share of the time of some workers that a gang wastes which is as slow as the given
// class.
func wasted(workers []*worker, slowest int) float64 {
	sum := 0.0
	for _, w := range workers {
		sum += 1 - slowdownOf(w.speedClass)/slowdownOf(slowest)
	}
	return sum / float64(len(workers))
}

// fill returns a worker for each task of s and their mean score, from those of the given speed classes
// in the order of their scores; nil if not all tasks fit.
func (s *step) fill(order []scored, fastest, slowest int) (workers []*worker, score float64) {
	need := s.spec.Charge()
	for _, o := range order {
		if o.worker.speedClass < fastest || o.worker.speedClass > slowest {
			continue
		}
		for range timesFit(o.worker.free(), need, s.spec.MaxPerWorker) {
			workers = append(workers, o.worker)
			score += o.score
			if len(workers) == len(s.tasks) {
				return workers, score / float64(len(workers))
			}
		}
	}
	return nil, 0
}

// slowestClass returns the speed class of the slowest of some workers.
func slowestClass(workers []*worker) int {
	class := 0
	for _, w := range workers {
		class = max(class, w.speedClass)
	}
	return class
}

// isSlow reports whether runs on w take several times longer than usual.
func (w *worker) isSlow() bool { return slowdownOf(w.speedClass) >= slowFrom }

// worthWaiting reports whether tasks of s that could start now, the slowest on a worker of the given
// class, are expected to end sooner on workers that are not slow, though these may first have to come free.
// On a quiet fleet nothing waits.
func (c *Core) worthWaiting(now Now, s *step, class, tasks int) bool {
	if s.speeds == nil || slowdownOf(class) < slowFrom || c.quiet(now) {
		return false
	}
	at := c.soonestFree(now, s, tasks)
	lost := time.Duration(float64(s.speeds.expected) * (slowdownOf(class) - slowFrom))
	if at == never || at-now.Mono >= lost {
		return false
	}
	c.wakeAt(now, max(at, now.Mono+holdBackInterval))
	return true
}

// soonestFree returns when a number of tasks of s are expected to fit on workers that are not slow, or
// never.
func (c *Core) soonestFree(now Now, s *step, tasks int) time.Duration {
	var ends []time.Duration
	for _, w := range c.poolOf(now, s).usable {
		if !w.isSlow() {
			for _, slot := range w.freeSlots(now, s) {
				ends = append(ends, slot.at)
			}
		}
	}
	if len(ends) < tasks {
		return never
	}
	slices.Sort(ends)
	return ends[tasks-1]
}
