package dispatch

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"agatewinch/internal/core/job"
)

// shape is what a placement depends on, to try each kind of task once a cycle.
type shape struct {
	service, label, rack string
	need                 job.Resources
	most                 int
	// priority, spare and estimate decide what reservations leave to the task.
	priority int
	spare    bool
	estimate time.Duration
}

// fullShapes remembers the shapes for which no worker had room in this cycle.
type fullShapes map[shape]bool

func (c *Core) shapeOf(now Now, s *step) shape {
	return shape{
		service: s.job.spec.Service, label: s.spec.Label, rack: s.spec.DataRack, need: s.spec.Charge(), most: s.spec.MaxPerWorker,
		priority: s.job.spec.Priority, spare: c.hasSpare(now, s), estimate: s.spec.Estimate,
	}
}

// fits reports whether w may run tasks of s at all.
func (w *worker) fits(s *step) bool {
	return w.Service == s.job.spec.Service && (s.spec.Label == "" || w.labels[s.spec.Label])
}

// onWorker counts the runs of s on w.
func (s *step) onWorker(w *worker) int {
	n := 0
	for r := range w.runs {
		if r.task.step == s {
			n++
		}
	}
	return n
}

func (t *task) failedAt(w *worker) bool { return slices.Contains(t.failedOn, w.ID) }

// waiting returns the tasks of s that may be placed now.
func (c *Core) waiting(now Now, s *step) []*task {
	var ts []*task
	for _, t := range s.tasks {
		if t.cur != nil || t.done {
			continue
		}
		if t.notBefore > now.Mono {
			c.wakeAt(now, t.notBefore)
			continue
		}
		ts = append(ts, t)
	}
	return ts
}

// placeTasks places the tasks of a step that are independent of each other.
func (c *Core) placeTasks(now Now, s *step, full fullShapes) {
	kind := c.shapeOf(now, s)
	if full[kind] {
		return
	}
	waiting := c.waiting(now, s)
	for i, t := range waiting {
		w := c.bestWorker(now, s, t)
		if w == nil {
			if s.job.spec.Priority == firstPriority {
				c.preempt(now, s, waiting[i:])
				return
			}
			if len(t.failedOn) == 0 && s.spec.DataRack == "" {
				full[kind] = true
			}
			return
		}
		c.place(now, t, w, t.number+1)
	}
}

// offRackWait is how long a task waits for its data's rack, in parts of its estimate:
// elsewhere it takes several times as long.
func (c *Core) offRackWait(s *step) time.Duration {
	return min(time.Duration(float64(s.spec.Estimate)*(c.set.SpreadFactor-1)), maxRackWait)
}

// maxRackWait bounds the wait for a rack; estimates are often wrong.
const maxRackWait = 6 * time.Second

func (c *Core) bestWorker(now Now, s *step, t *task) *worker {
	var best *worker
	var bestScore float64
	need := s.spec.Charge()
	anyRack := s.spec.DataRack == "" || now.Mono-s.readySince >= c.offRackWait(s)
	if !anyRack {
		c.wakeAt(now, s.readySince+c.offRackWait(s))
	}
	avoid := c.elsewhere(now, s, t)
	for _, w := range c.sorted {
		if !w.fits(s) || !w.free().Fits(need) || !w.usable(now.Mono) || !c.mayUse(now, s, w) {
			continue
		}
		near := s.spec.DataRack == "" || w.Rack == s.spec.DataRack
		if !near && !anyRack {
			continue
		}
		if s.spec.MaxPerWorker > 0 && s.onWorker(w) >= s.spec.MaxPerWorker {
			continue
		}
		if avoid && t.failedAt(w) {
			continue
		}
		score := s.score(w, need)
		if !near {
			score += offRackScore
		}
		if best == nil || score < bestScore {
			best, bestScore = w, score
		}
	}
	return best
}

// offRackScore puts workers away from the data behind all others.
const offRackScore = 100

// elsewhere reports whether some worker could run t on which it has not failed. A worker
// that fails at once always has room: without this it would use up a task's attempts.
func (c *Core) elsewhere(now Now, s *step, t *task) bool {
	if len(t.failedOn) == 0 {
		return false
	}
	return slices.ContainsFunc(c.usableFor(now, s), func(w *worker) bool {
		return w.Capacity.Fits(s.spec.Charge()) && !t.failedAt(w)
	})
}

// packWeight is how strongly urgent work keeps together. It goes before best fit: an
// urgent task on a worker that others fill would keep a whole worker from urgent gangs,
// which can stop everything but urgent work.
const packWeight = 8.0

// score orders workers for a task of s; the lowest is best.
func (s *step) score(w *worker, need job.Resources) float64 {
	score := leftover(w, need) + s.bias(w)
	if s.job.spec.Priority == firstPriority {
		score += packWeight * w.urgentLeft(need)
	}
	return score
}

// urgentLeft is the share of w's accelerators that urgent work could still take.
func (w *worker) urgentLeft(need job.Resources) float64 {
	return share(w.Capacity.Accelerators-w.urgent.Accelerators-need.Accelerators, w.Capacity.Accelerators)
}

// sideWeight is how strongly work keeps to its side of the fleet, beside best fit.
const sideWeight = 4.0

// bias keeps urgent work, and work that loses little when it is stopped, on one side of
// the fleet, and work that would lose all on the other: the answer to urgent bursts, which
// then stop work that has checkpoints.
func (s *step) bias(w *worker) float64 {
	if s.job.spec.Priority == firstPriority || s.spec.Checkpoints {
		return sideWeight * w.side
	}
	return sideWeight * (1 - w.side)
}

// leastRacks is the smallest fleet that is parted into sides: below it a rack is too
// large a part to be left to urgent work.
const leastRacks = 4

// setSides gives each worker its side, by rack: from zero to one.
func (c *Core) setSides() {
	groups := byRack(c.sorted)
	for i, g := range groups {
		for _, w := range g {
			w.side = 1
			if len(groups) >= leastRacks {
				w.side = float64(i) / float64(len(groups))
			}
		}
	}
}

// leftover is best fit: what would stay free, accelerators first since large tasks need
// whole workers.
func leftover(w *worker, need job.Resources) float64 {
	f := w.free().Minus(need)
	return 4*share(f.Accelerators, w.Capacity.Accelerators) + share(f.MemMB, w.Capacity.MemMB) + 0.5*share(f.CPU, w.Capacity.CPU)
}

func share(part, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// mayUse reports whether a reservation leaves w to a task of s.
func (c *Core) mayUse(now Now, s *step, w *worker) bool {
	if s.job.spec.Priority == firstPriority {
		return true
	}
	if w.side < urgentSide && c.hasSpare(now, s) {
		return false
	}
	return c.holds[w].allows(now, s)
}

// hasSpare reports whether s can wait and still be done in time.
func (c *Core) hasSpare(now Now, s *step) bool {
	return c.slack(now, s) > time.Duration(slackMargin*float64(s.spec.Estimate))
}

// urgentSide is the part of the fleet that work with time to spare leaves to urgent work,
// which then begins without having to stop anything.
const urgentSide = 0.375

// slackMargin is kept of the time to spare, as a share of the estimate, which may be short
// by a fifth.
const slackMargin = 0.3

// place decides a run; its order goes out once the record is in the log.
func (c *Core) place(now Now, t *task, w *worker, number int) {
	t.number = number
	c.holds[w].take(now, t.step)
	r := &run{task: t, number: number, worker: w, phase: recording, need: t.step.spec.Charge(), began: now.Mono, percentAt: now.Mono, saved: t.saved}
	c.put(r)
	c.record(t)
	c.batch.starts = append(c.batch.starts, r)
	c.note(Note{What: "placed", Task: t.id.String(), Run: number, Worker: w.ID, Why: t.step.inputs(now, w)})
}

// inputs tells what a placement was decided on.
func (s *step) inputs(now Now, w *worker) string {
	return fmt.Sprintf("priority %d, covered %t, waited %v, estimate %v, gang %t, one rack %t, data %q, label %q, rack %s", s.job.spec.Priority, s.job.covered, (now.Mono - s.readySince).Round(time.Millisecond), s.spec.Estimate, s.spec.Gang, s.spec.SameRack, s.spec.DataRack, s.spec.Label, w.Rack)
}

// placeGang places all tasks of a gang or none.
func (c *Core) placeGang(now Now, s *step, full fullShapes) {
	for _, t := range s.tasks {
		if t.cur != nil {
			return // an earlier run is not over everywhere
		}
	}
	waiting := c.waiting(now, s)
	if len(waiting) < len(s.tasks) {
		return
	}
	at := c.findGang(now, s)
	if at == nil {
		if s.job.spec.Priority == firstPriority {
			c.preempt(now, s, waiting)
		} else {
			c.reserve(now, s, c.holds)
		}
		return
	}
	c.startGang(now, s, at)
}

func (c *Core) startGang(now Now, s *step, at []*worker) {
	for _, t := range s.tasks {
		s.number = max(s.number, t.number)
	}
	s.number++
	saved := ""
	for _, t := range s.tasks {
		if t.saved != "" {
			saved = t.saved // any member's checkpoint is valid for the gang
		}
	}
	for i, t := range s.tasks {
		t.saved = saved
		c.place(now, t, at[i], s.number)
	}
}

// findGang returns a worker for each task of s, or nil. It takes a worker on which the gang
// has failed only if there is no other way.
func (c *Core) findGang(now Now, s *step) []*worker {
	var sound, all []*worker
	for _, w := range c.usableFor(now, s) {
		if !c.mayUse(now, s, w) {
			continue
		}
		all = append(all, w)
		if !s.failedAt(w) {
			sound = append(sound, w)
		}
	}
	if roomFor(s, sound) >= len(s.tasks) {
		return c.findGangIn(now, s, sound)
	}
	return c.findGangIn(now, s, all)
}

func (s *step) failedAt(w *worker) bool {
	return s.fails > 0 && slices.ContainsFunc(s.tasks, func(t *task) bool { return t.failedAt(w) })
}

func (c *Core) findGangIn(now Now, s *step, usable []*worker) []*worker {
	if s.spec.DataRack != "" {
		if at := assign(s, onRack(usable, s.spec.DataRack)); at != nil {
			return at
		}
		if roomFor(s, onRack(usable, s.spec.DataRack)) >= len(s.tasks) && c.waitsForRack(now, s) {
			return nil
		}
	}
	if !s.spec.SameRack {
		return assign(s, usable)
	}
	var best []*worker
	bestFree := 0.0
	possible := false
	for _, group := range byRack(usable) {
		if roomFor(s, group) >= len(s.tasks) {
			possible = true
		}
		at := assign(s, group)
		if at == nil {
			continue
		}
		free := 0.0
		for _, w := range group {
			free += s.score(w, job.Resources{})
		}
		if best == nil || free < bestFree {
			best, bestFree = at, free
		}
	}
	if best != nil {
		return best
	}
	if possible && c.waitsForRack(now, s) {
		return nil
	}
	return assign(s, usable)
}

// waitsForRack reports whether a gang still waits for a rack that could hold it.
func (c *Core) waitsForRack(now Now, s *step) bool {
	until := s.readySince + c.spreadWait(s)
	if now.Mono >= until {
		return false
	}
	c.wakeAt(now, until)
	return true
}

// onRack returns the workers of one rack.
func onRack(workers []*worker, rack string) []*worker {
	var out []*worker
	for _, w := range workers {
		if w.Rack == rack {
			out = append(out, w)
		}
	}
	return out
}

// spreadWait is how long a gang waits for one rack before it runs on several, where it
// takes several times as long.
func (c *Core) spreadWait(s *step) time.Duration {
	if s.job.spec.Priority == firstPriority {
		return urgentSpreadWait
	}
	return min(time.Duration(float64(s.spec.Estimate)*(c.set.SpreadFactor-1)), maxSpreadWait)
}

const (
	// urgentSpreadWait leaves most of the reclaim time for the start itself.
	urgentSpreadWait = time.Second
	// maxSpreadWait bounds the wait of other gangs for one rack.
	maxSpreadWait = 12 * time.Second
)

// byRack groups workers by rack, in the order of rack names.
func byRack(workers []*worker) [][]*worker {
	groups := map[string][]*worker{}
	for _, w := range workers {
		groups[w.Rack] = append(groups[w.Rack], w)
	}
	names := make([]string, 0, len(groups))
	for n := range groups {
		names = append(names, n)
	}
	slices.Sort(names)
	out := make([][]*worker, 0, len(names))
	for _, n := range names {
		out = append(out, groups[n])
	}
	return out
}

// roomFor counts the tasks of s that a group could hold if it were empty.
func roomFor(s *step, group []*worker) int {
	n := 0
	for _, w := range group {
		n += timesFit(w.Capacity, s.spec.Charge(), s.spec.MaxPerWorker)
	}
	return n
}

func timesFit(room, need job.Resources, most int) int {
	n := 1 << 20
	for _, d := range [3][2]int64{{room.CPU, need.CPU}, {room.MemMB, need.MemMB}, {room.Accelerators, need.Accelerators}} {
		if d[1] > 0 {
			n = min(n, int(max(0, d[0])/d[1]))
		}
	}
	if most > 0 {
		n = min(n, most)
	}
	return n
}

// assign fills the workers with least room first; it returns nil if not all tasks fit.
func assign(s *step, group []*worker) []*worker {
	need := s.spec.Charge()
	order := slices.Clone(group)
	slices.SortStableFunc(order, func(a, b *worker) int {
		return cmp.Compare(s.score(a, job.Resources{}), s.score(b, job.Resources{}))
	})
	var at []*worker
	for _, w := range order {
		n := timesFit(w.free(), need, s.spec.MaxPerWorker)
		for range n {
			at = append(at, w)
			if len(at) == len(s.tasks) {
				return at
			}
		}
	}
	return nil
}
