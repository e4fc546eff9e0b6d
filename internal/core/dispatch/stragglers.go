package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// A straggler is a run that takes far longer than its kind does, or whose worker is slow, does not answer or
// leaves. Its task gets a copy (copies.go) or is moved (move.go).
type straggler struct {
	run *run
	why stragglerReason
	// rest is how much longer its task is expected to take without a copy or a move.
	rest time.Duration
}

type stragglerReason string

const (
	workerSilent  stragglerReason = "its worker does not answer"
	workerLeaving stragglerReason = "its worker leaves before its end"
	workerSlow    stragglerReason = "its worker is slow"
	runLate       stragglerReason = "it takes far longer than its kind"
)

const (
	// silentAfter is how long after its last answer a worker that does not answer counts as silent: several
	// probes have then failed.
	silentAfter = time.Second
	// lateQuantile and lateFactor say what takes far longer: lateFactor times what nine of ten runs of the
	// kind take at most.
	lateQuantile = 0.9
	lateFactor   = 1.5
)

// stragglers returns the stragglers among the runs for whose tasks a second run or a move may be considered,
// in the order of priority, those that are expected to take longest first.
func (c *Core) stragglers(now Now) (found []straggler) {
	for _, w := range c.sortedWorkers {
		for _, r := range w.orderedRuns() {
			if r.mayStraggle() {
				if s, ok := c.straggler(now, r); ok {
					found = append(found, s)
				}
			}
		}
	}
	slices.SortStableFunc(found, func(a, b straggler) int {
		return cmp.Or(cmp.Compare(a.run.task.step.job.spec.Priority, b.run.task.step.job.spec.Priority), cmp.Compare(b.rest, a.rest))
	})
	return found
}

// mayStraggle reports whether a copy or a move may be considered for r: it is its task's only run, and the
// step permits several or its runs can continue from a checkpoint. Gangs, long-running and best-effort tasks
// have neither.
func (r *run) mayStraggle() bool {
	s := r.task.step.spec
	if s.Gang || s.LongRunning || s.BestEffort || !s.Speculative && !s.Checkpoints {
		return false
	}
	if s.Speculative && r.task.failures+2 > r.task.step.job.attempts() {
		return false // two runs might use up more attempts than are left
	}
	return r.task.copy == nil && !r.task.done && !r.task.step.job.cancelledOrEnded() && (r.phase == running || r.phase == adopted)
}

// straggler returns whether, and why, r is a straggler.
func (c *Core) straggler(now Now, r *run) (straggler, bool) {
	w, s := r.worker, r.task.step
	if !s.spec.Speculative {
		return straggler{r, workerSlow, r.expectedEnd() - now.Mono}, r.phase == running && r.task.moves < maxMoves && !w.unreachable() && c.slowdown(now, w) >= slowFrom
	}
	again := c.expectedRunTime(now, s, nil)
	left := r.expectedEnd() - now.Mono
	switch {
	case w.unreachable():
		if now.Mono < max(w.lastAnswerAt, r.placedAt)+silentAfter {
			return straggler{}, false
		}
		return straggler{r, workerSilent, max(0, max(w.leasesExpireAt(), r.inheritedUntil)-now.Mono) + again}, true
	case w.Draining && w.leavesAt > 0 && !r.endsBefore(w.leavesAt):
		return straggler{r, workerLeaving, max(0, w.leavesAt-now.Mono) + again}, true
	case r.phase != running:
	case c.slowdown(now, w) >= slowFrom:
		return straggler{r, workerSlow, left}, true
	case now.Mono-r.confirmedAt >= time.Duration(lateFactor*float64(c.runTimeQuantile(now, s, w, lateQuantile))):
		return straggler{r, runLate, left}, true
	}
	return straggler{}, false
}
