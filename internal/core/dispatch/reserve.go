package dispatch

import (
	"cmp"
	"slices"
	"time"

	"agatewinch/internal/core/job"
)

// maxReservations bounds the gangs for which room is kept at a time. More would keep
// most of the fleet waiting.
const maxReservations = 6

// reservation keeps room on a worker for a gang that waits: the answer to a flood of small tasks,
// which would take each place that becomes free long before a gang's last one is.
type reservation struct {
	// step is the gang that the room is kept for.
	step *step
	// at is when the gang is expected to begin.
	at time.Duration
	// slack is what other work may take beyond that time.
	slack job.Resources
}

// reservationTime is how long reservations stand before they are worked out anew, where many
// steps wait; expected ends change little in it.
const reservationTime = 250 * time.Millisecond

// renewReservations drops the reservations that are to be worked out in this cycle.
func (c *Core) renewReservations(now Now) {
	if c.backlog < largeBacklog || now.Mono >= c.reservedAt+reservationTime {
		c.reservations, c.reserved, c.reservedAt = map[*worker]*reservation{}, 0, now.Mono
		return
	}
	for w, r := range c.reservations {
		if !r.step.hasWaiting() || r.step.job.closed() {
			delete(c.reservations, w)
		}
	}
}

// reserve keeps room for a gang where it will fit first.
func (c *Core) reserve(now Now, s *step, kept map[*worker]*reservation) {
	if len(s.tasks) == 0 || c.reserved >= maxReservations || c.reservedAt != now.Mono {
		return
	}
	p := c.poolOf(now, s)
	groups := [][]*worker{p.usable}
	if s.spec.SameRack {
		var racks [][]*worker
		for _, g := range p.racks {
			if roomFor(s, g) >= len(s.tasks) {
				racks = append(racks, g)
			}
		}
		if len(racks) > 0 {
			groups = racks
		}
	}
	var best []place
	for _, g := range groups {
		places := c.firstPlaces(now, s, g, kept)
		if places != nil && (best == nil || places[len(places)-1].at < best[len(best)-1].at) {
			best = places
		}
	}
	if best == nil {
		return
	}
	c.reserved++
	at := best[len(best)-1].at
	taken := map[*worker]job.Resources{}
	for _, p := range best {
		taken[p.worker] = taken[p.worker].Plus(s.spec.Charge())
	}
	for w, need := range taken {
		kept[w] = &reservation{step: s, at: at, slack: w.freeAt(at).Minus(need)}
	}
}

// place is a worker that will have room for one more task at a time.
type place struct {
	worker *worker
	at     time.Duration
}

// firstPlaces returns where the tasks of s would fit first, in order of time, or nil.
func (c *Core) firstPlaces(now Now, s *step, group []*worker, kept map[*worker]*reservation) []place {
	var all []place
	for _, w := range group {
		if kept[w] == nil {
			all = append(all, w.places(now, s)...)
		}
	}
	if len(all) < len(s.tasks) {
		return nil
	}
	slices.SortStableFunc(all, func(a, b place) int { return cmp.Compare(a.at, b.at) })
	return all[:len(s.tasks)]
}

// places returns when each further task of s would fit on w, if nothing else came.
func (w *worker) places(now Now, s *step) []place {
	need := s.spec.Charge()
	free := w.free()
	var out []place
	had := 0
	add := func(at time.Duration) {
		for n := timesFit(free, need, s.spec.MaxPerWorker); had < n && had < len(s.tasks); had++ {
			out = append(out, place{w, at})
		}
	}
	add(now.Mono)
	for _, r := range w.byEnd() {
		free = free.Plus(r.need)
		add(max(now.Mono, r.expectedEnd()))
	}
	return out
}

// byEnd returns the runs of w in the order in which they are expected to end.
func (w *worker) byEnd() []*run {
	if w.ends != nil {
		return w.ends
	}
	runs := make([]*run, 0, len(w.runs))
	for r := range w.runs {
		runs = append(runs, r)
	}
	sortRuns(runs)
	slices.SortStableFunc(runs, func(a, b *run) int { return cmp.Compare(a.expectedEnd(), b.expectedEnd()) })
	w.ends = runs
	return runs
}

// freeAt is the room of w at a time, as far as is known now.
func (w *worker) freeAt(at time.Duration) job.Resources {
	free := w.free()
	for r := range w.runs {
		if r.expectedEnd() <= at {
			free = free.Plus(r.need)
		}
	}
	return free
}

// expectedEnd is when a run should end, by its job's estimate or its own progress.
func (r *run) expectedEnd() time.Duration {
	if r.phase == stopping {
		return r.began
	}
	estimate := r.task.step.spec.Estimate
	if r.percent > 0 && r.seen {
		return r.seenAt + time.Duration(float64(r.percentAt-r.seenAt)*100/float64(r.percent))
	}
	return r.began + estimate
}

// allows reports whether a task of s may be placed on w beside a reservation.
func (r *reservation) allows(now Now, s *step) bool {
	return r == nil || r.step == s || now.Mono+s.spec.Estimate <= r.at || r.slack.Fits(s.spec.Charge())
}

// take counts a task that was placed beside a reservation.
func (r *reservation) take(now Now, s *step) {
	if r != nil && r.step != s && now.Mono+s.spec.Estimate > r.at {
		r.slack = r.slack.Minus(s.spec.Charge())
	}
}
