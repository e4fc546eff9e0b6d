package dispatch

import (
	"slices"
	"time"
)

// A worker that fails what it starts is free again at once and so attracts work: in the time that its
// quarantine takes to begin, it can use up the attempts of many jobs. Two measures bound that, both for runs
// that fail early: work that is at fault itself mostly fails when it has worked for a while. A worker is held
// for a short time after such a failure, and work that has one attempt left is tried only where work was done
// lately.

// trust is what the ends of a worker's runs say about it.
type trust struct {
	// doneAt is when a run was last done on the worker, and failedAt when one last failed; zero if
	// none has.
	doneAt, failedAt time.Duration
	// hold is the length of the latest hold; it begins anew once a run is done.
	hold time.Duration
}

const (
	// minHold is the length of the first hold: enough for the failures of the work that was started
	// together to be known. Each further one without a run that is done is twice as long, up to
	// minQuarantine.
	minHold = time.Second
	// maxHeldShare bounds the part of a service's workers that are held at a time.
	maxHeldShare = 0.25
	// provenFor is how long a run that was done speaks for its worker.
	provenFor = 10 * time.Second
	// lastAttemptWait bounds how long work with one attempt left waits for a worker that is proven.
	lastAttemptWait = 3 * time.Second
)

// recordDone records that a run was done.
func (t *trust) recordDone(now time.Duration) { t.doneAt, t.hold = now, 0 }

// proven reports whether the worker's newest end was a run that was done, within provenFor.
func (t *trust) proven(now time.Duration) bool {
	return t.doneAt > t.failedAt && now < t.doneAt+provenFor
}

// earlyFailure is the part of its expected run time within which a run fails early.
const earlyFailure = 0.25

// doubt holds the worker of r, which has failed there, if it failed early; unless its step has failed on more
// workers than its job has attempts: then the work is the likelier cause, and would hold one after another.
func (c *Core) doubt(now Now, r *run) {
	t, w := r.task, r.worker
	w.trust.failedAt = now.Mono
	t.failedEarly = float64(now.Mono-r.confirmedAt) < earlyFailure*float64(c.expectedRunTime(now, t.step, nil))
	if !t.failedEarly || t.step.spec.LongRunning || t.step.workersFailedOn() > t.step.job.attempts() || c.heldShare(now, w) > maxHeldShare {
		return
	}
	w.trust.hold = min(max(2*w.trust.hold, minHold), minQuarantine)
	w.pausedUntil = max(w.pausedUntil, now.Mono+w.trust.hold)
}

// workersFailedOn returns on how many workers tasks of s have failed.
func (s *step) workersFailedOn() int {
	on := map[string]bool{}
	for _, t := range s.tasks {
		for _, id := range t.failedOn {
			on[id] = true
		}
	}
	return len(on)
}

// heldShare returns the part of the listed workers of the service of another that are paused now, if that
// one is as well.
func (c *Core) heldShare(now Now, another *worker) float64 {
	held, all := 0, 0
	for _, w := range c.sortedWorkers {
		if w.Service != another.Service || !w.listed {
			continue
		}
		all++
		if w == another || now.Mono < w.pausedUntil {
			held++
		}
	}
	return float64(held) / float64(max(1, all))
}

// wantsProven reports whether work of s that has failed so often, last at failedAt, waits for workers that
// are proven. early says whether it failed early. It schedules a wake-up for when it does not wait any more.
func (c *Core) wantsProven(now Now, s *step, early bool, failures int, failedAt time.Duration) bool {
	if !early || s.spec.LongRunning || failures == 0 || failures < s.job.attempts()-1 {
		return false
	}
	until := failedAt + lastAttemptWait
	if now.Mono >= until || !slices.ContainsFunc(c.poolOf(now, s).usable, func(w *worker) bool { return w.trust.proven(now.Mono) }) {
		return false
	}
	c.wakeAt(now, until)
	return true
}

// failedEarly reports whether a task of s failed early when it last failed.
func (s *step) failedEarly() bool {
	return slices.ContainsFunc(s.tasks, func(t *task) bool { return t.failedEarly })
}
