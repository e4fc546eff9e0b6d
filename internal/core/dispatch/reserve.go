package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"agatewinch/internal/core/job"
)

// maxReservations bounds the number of gangs with reserved capacity. More of them would keep
// most of the fleet idle.
const maxReservations = 6

// reservation keeps capacity on a worker for a waiting gang. Without it, a stream of small
// tasks would take all capacity that becomes free before there is enough for the gang at once.
type reservation struct {
	// step is the gang that the capacity is reserved for.
	step *step
	// at is the expected start of the gang.
	at time.Duration
	// slack is the capacity that other work may occupy beyond that time.
	slack job.Resources
}

// reservationInterval is how long reservations are kept before they are recomputed while many
// steps wait. Expected ends change little in that time.
const reservationInterval = 250 * time.Millisecond

// renewReservations drops all reservations if this cycle has to recompute them, and otherwise
// those whose gang no longer waits.
func (c *Core) renewReservations(now Now) {
	if c.backlog < largeBacklog || now.Mono >= c.reservationsComputedAt+reservationInterval {
		c.reservations, c.reservedGangs, c.reservationsComputedAt = map[*worker]*reservation{}, 0, now.Mono
		return
	}
	for w, r := range c.reservations {
		if !r.step.hasWaiting() || r.step.job.cancelledOrEnded() {
			delete(c.reservations, w)
		}
	}
}

// reserve reserves capacity for a gang on the workers where all of it will fit soonest.
func (c *Core) reserve(now Now, s *step, reservations map[*worker]*reservation) {
	if len(s.tasks) == 0 || c.reservedGangs >= maxReservations || c.reservationsComputedAt != now.Mono {
		return
	}
	p := c.poolOf(now, s)
	groups := [][]*worker{p.usable}
	if s.spec.SameRack {
		var racks [][]*worker
		for _, g := range p.racks {
			if transientSlots(s, g) >= len(s.tasks) {
				racks = append(racks, g)
			}
		}
		if len(racks) > 0 {
			groups = racks
		}
	}
	var best []freeSlot
	for _, g := range groups {
		earliest := c.earliestSlots(now, s, g, reservations)
		if earliest != nil && (best == nil || earliest[len(earliest)-1].at < best[len(best)-1].at) {
			best = earliest
		}
	}
	if best == nil {
		return
	}
	c.reservedGangs++
	at := best[len(best)-1].at
	taken := map[*worker]job.Resources{}
	for _, slot := range best {
		taken[slot.worker] = taken[slot.worker].Plus(s.spec.Charge())
	}
	for w, need := range taken {
		reservations[w] = &reservation{step: s, at: at, slack: w.freeAt(at).Minus(need)}
	}
}

// freeSlot is the capacity for one task on a worker, and when it becomes free.
type freeSlot struct {
	worker *worker
	at     time.Duration
}

// earliestSlots returns the earliest slots for all tasks of s in a group, in the order of time,
// or nil if there are too few. It skips workers that already have a reservation.
func (c *Core) earliestSlots(now Now, s *step, group []*worker, reservations map[*worker]*reservation) []freeSlot {
	var all []freeSlot
	for _, w := range group {
		if reservations[w] == nil {
			all = append(all, w.freeSlots(now, s)...)
		}
	}
	if len(all) < len(s.tasks) {
		return nil
	}
	slices.SortStableFunc(all, func(a, b freeSlot) int { return cmp.Compare(a.at, b.at) })
	return all[:len(s.tasks)]
}

// freeSlots returns when each further task of s would fit on w, beside those that run there, if no other work
// were placed there.
func (w *worker) freeSlots(now Now, s *step) []freeSlot {
	need := s.spec.Charge()
	free, own := w.free(), s.countOnWorker(w)
	var out []freeSlot
	add := func(at time.Duration) {
		n := timesFit(free, need, 0)
		if s.spec.MaxPerWorker > 0 {
			n = min(n, s.spec.MaxPerWorker-own)
		}
		for len(out) < min(n, len(s.tasks)) {
			out = append(out, freeSlot{w, at})
		}
	}
	add(now.Mono)
	for _, r := range w.byEnd() {
		if r.expectedEnd() == never {
			break
		}
		free = free.Plus(r.need)
		if r.task.step == s {
			own--
		}
		add(max(now.Mono, r.expectedEnd()))
	}
	return out
}

// byEnd returns the runs of w in the order of their expected ends.
func (w *worker) byEnd() []*run {
	if w.runsByEnd != nil {
		return w.runsByEnd
	}
	runs := make([]*run, 0, len(w.runs))
	for r := range w.runs {
		runs = append(runs, r)
	}
	sortRuns(runs)
	slices.SortStableFunc(runs, func(a, b *run) int { return cmp.Compare(a.expectedEnd(), b.expectedEnd()) })
	w.runsByEnd = runs
	return runs
}

// freeAt returns the capacity of w that is expected to be free at a time if nothing more is
// placed on it.
func (w *worker) freeAt(at time.Duration) job.Resources {
	free := w.free()
	for r := range w.runs {
		if r.expectedEnd() <= at {
			free = free.Plus(r.need)
		}
	}
	return free
}

// never is the expected end of a run that does not end by itself.
const never = time.Duration(math.MaxInt64)

// expectedEnd returns when a run is expected to end: extrapolated from its progress or, before it
// reports any, by its expected run time. A stopping run counts as having ended, and a long-running one
// never ends.
func (r *run) expectedEnd() time.Duration {
	if r.phase == stopping {
		return r.placedAt
	}
	if r.task.step.spec.LongRunning {
		return never
	}
	if n := r.percent - r.firstPercent; r.resumed() && n > 0 {
		return r.percentAt + time.Duration(float64(r.percentAt-r.firstPercentAt)*float64(100-r.percent)/float64(n))
	}
	if r.percent > 0 && r.confirmed && !r.resumed() {
		return r.confirmedAt + time.Duration(float64(r.percentAt-r.confirmedAt)*100/float64(r.percent))
	}
	return r.placedAt + r.runTime()
}

// backfillQuantile is the probability with which a task on reserved capacity has to end before the gang
// starts.
const backfillQuantile = 0.9

// mayBackfill reports whether a task of s may be placed on w: it has no reservation or one for s itself,
// the task ends before the start of the gang that it is reserved for, or the task fits into the slack.
func (c *Core) mayBackfill(now Now, s *step, w *worker) bool {
	r := c.reservations[w]
	return r == nil || r.step == s || now.Mono+c.runTimeQuantile(now, s, w, backfillQuantile) <= r.at || r.slack.Fits(s.spec.Charge())
}

// useReserved subtracts a task of s that is placed on w from the slack of a reservation for another gang,
// if the task may run beyond the gang's start.
func (c *Core) useReserved(now Now, s *step, w *worker) {
	r := c.reservations[w]
	if r != nil && r.step != s && now.Mono+c.runTimeQuantile(now, s, w, backfillQuantile) > r.at {
		r.slack = r.slack.Minus(s.spec.Charge())
	}
}
