package dispatch

import "time"

// stopLeaving stops the runs on draining workers that are not expected to end before their worker may
// leave, so that their tasks start elsewhere at once. Left where they are they would be lost, a gang
// with all its members, and would be missed only when the worker's lease has expired.
func (c *Core) stopLeaving(now Now) {
	for _, w := range c.sortedWorkers {
		if !w.Draining || !w.listed || w.leavesAt == 0 || w.unreachable() {
			continue
		}
		for _, r := range c.runsOf(w) {
			if !r.endsBefore(w.leavesAt) && r.phase == running && !r.task.done {
				c.stop(now, r, "worker leaves")
				if r.task.step.spec.Gang {
					c.breakGang(now, r.task.step, r.number)
				}
			}
		}
	}
}

// endsBefore reports whether r is expected to end before the given time.
func (r *run) endsBefore(at time.Duration) bool {
	return !r.task.step.spec.LongRunning && r.expectedEnd() <= at
}

// setLeaveTime sets when a draining worker may leave, from its newest entry. The time that remained
// when it wrote the entry counts from then on, by its own clock.
func (w *worker) setLeaveTime(now Now) {
	w.leavesAt = 0
	if w.Draining && w.MinRemaining > 0 {
		age := time.Duration(w.clockAtLeast(now.Mono)-w.entryClockMs) * time.Millisecond
		w.leavesAt = max(1, now.Mono+w.MinRemaining-max(0, age))
	}
}
