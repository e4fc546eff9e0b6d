package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// Wave asks for the upkeep of machines, a few of them at a time.
type Wave struct {
	Number   int64
	Machines []string
	// DueMs is when the last machine has to be back, in Unix milliseconds.
	DueMs int64
	// AtOnce is how many machines may be down for the wave at a time.
	AtOnce int
}

// Machine is what a worker runs on; each upkeep gives it another worker.
type Machine struct {
	ID, Worker string
	// Up is false while the machine is down, moving or at its upkeep.
	Up bool
}

// Upkeep orders a machine's upkeep; what runs on it ends at once.
type Upkeep struct {
	Wave    int64
	Machine string
}

// WaveReport tells the operators how far a wave is.
type WaveReport struct {
	Wave int64
	Done bool
}

const (
	// upkeepRetry is the pause after an order for an upkeep that was not carried out.
	upkeepRetry = 500 * time.Millisecond
	// upkeepOverhead is added to each round of upkeeps when the time that is left is
	// reckoned: orders, lists and the new worker's entry.
	upkeepOverhead = 1500 * time.Millisecond
	// reportRetry is the pause after a report that was not taken.
	reportRetry = time.Second
)

type upkeepPhase uint8

const (
	// upkeepWaiting machines go on as before.
	upkeepWaiting upkeepPhase = iota
	// upkeepEmptying machines get no new work.
	upkeepEmptying
	// upkeepOrdered machines may have begun.
	upkeepOrdered
	// upkeepBegun machines are down until they are listed as up again.
	upkeepBegun
	upkeepDone
)

type upkeep struct {
	machine string
	phase   upkeepPhase
	// worker and born name the life of the worker that the upkeep ends.
	worker string
	born   int64
	// ordered says that an order is on its way.
	ordered bool
	retryAt time.Duration
	begunAt time.Duration
}

func (u *upkeep) down() bool { return u.phase == upkeepOrdered || u.phase == upkeepBegun }

type wave struct {
	Wave
	upkeeps []*upkeep
	// reported is the newest report that was taken, reporting one on its way.
	reported  *WaveReport
	reporting bool
	retryAt   time.Duration
}

func (v *wave) count(f func(*upkeep) bool) int {
	n := 0
	for _, u := range v.upkeeps {
		if f(u) {
			n++
		}
	}
	return n
}

func (v *wave) done() bool {
	return v.count(func(u *upkeep) bool { return u.phase != upkeepDone }) == 0
}

// AddWave takes in a wave that has not been reported as done.
func (c *Core) AddWave(w Wave) {
	if slices.ContainsFunc(c.waves, func(v *wave) bool { return v.Number == w.Number }) {
		return
	}
	v := &wave{Wave: w}
	for _, m := range w.Machines {
		v.upkeeps = append(v.upkeeps, &upkeep{machine: m})
	}
	c.waves = append(c.waves, v)
	slices.SortFunc(c.waves, func(a, b *wave) int { return cmp.Compare(a.Number, b.Number) })
}

// WavesOpen reports whether a wave waits for machines or for its last report.
func (c *Core) WavesOpen() bool {
	return slices.ContainsFunc(c.waves, func(v *wave) bool { return v.reported == nil || !v.reported.Done })
}

// SetMachines takes in the list of machines as it was asked for at a time.
func (c *Core) SetMachines(now Now, askedAt time.Duration, list []Machine) {
	c.machines = make(map[string]Machine, len(list))
	for _, m := range list {
		c.machines[m.ID] = m
	}
	for _, v := range c.waves {
		for _, u := range v.upkeeps {
			m, listed := c.machines[u.machine]
			// A machine that has left needs no upkeep, and is not waited for after one.
			left := !listed && u.phase < upkeepOrdered
			back := u.phase == upkeepBegun && askedAt > u.begunAt && (m.Up || !listed)
			if left || back {
				u.phase = upkeepDone
				c.dirty = true
			}
		}
	}
	c.advanceWaves(now)
}

// advanceWaves empties machines and orders their upkeep.
func (c *Core) advanceWaves(now Now) {
	if c.machines == nil {
		return
	}
	for _, v := range c.waves {
		for _, u := range c.next(now, v) {
			u.phase = upkeepEmptying
			c.note(Note{What: "worker emptied for upkeep", Worker: c.machines[u.machine].Worker})
		}
		late := c.mustBegin(now, v)
		for _, u := range v.upkeeps {
			c.advance(now, v, u, late)
		}
		c.report(now, v)
	}
}

// next returns the machines to empty now, those that lose least first.
func (c *Core) next(now Now, v *wave) []*upkeep {
	var waiting []*upkeep
	for _, u := range v.upkeeps {
		if u.phase == upkeepWaiting && c.machines[u.machine].Up {
			waiting = append(waiting, u)
		}
	}
	loss := map[*upkeep]float64{}
	for _, u := range waiting {
		if w := c.workerOf(u); w != nil {
			for r := range w.runs {
				loss[u] += c.lossOf(now, r)
			}
		}
	}
	slices.SortStableFunc(waiting, func(a, b *upkeep) int { return cmp.Compare(loss[a], loss[b]) })
	busy := v.count(func(u *upkeep) bool { return u.down() || u.phase == upkeepEmptying })
	return waiting[:min(len(waiting), max(0, v.AtOnce-busy))]
}

// mustBegin reports whether what runs on emptied machines has to be stopped, so that all
// rounds of the wave end in time.
func (c *Core) mustBegin(now Now, v *wave) bool {
	left := v.count(func(u *upkeep) bool { return u.phase < upkeepOrdered })
	rounds := (left + v.AtOnce - 1) / max(1, v.AtOnce)
	need := time.Duration(rounds)*(c.set.UpkeepTime+upkeepOverhead) + c.set.StopTime
	return now.UnixMs+need.Milliseconds() >= v.DueMs
}

func (c *Core) workerOf(u *upkeep) *worker { return c.workers[c.machines[u.machine].Worker] }

func (c *Core) advance(now Now, v *wave, u *upkeep, late bool) {
	if u.phase != upkeepEmptying && u.phase != upkeepOrdered || u.ordered || now.Mono < u.retryAt {
		return
	}
	w := c.workerOf(u)
	if w != nil && u.phase == upkeepEmptying {
		u.worker, u.born = w.ID, w.Born
		c.empty(now, w, late)
		if len(w.runs) > 0 {
			return
		}
	}
	if u.phase == upkeepEmptying && v.count((*upkeep).down) >= v.AtOnce {
		return
	}
	u.phase, u.ordered = upkeepOrdered, true
	c.note(Note{What: "upkeep", Worker: c.machines[u.machine].Worker, Why: u.machine})
	c.out.Upkeeps = append(c.out.Upkeeps, Upkeep{Wave: v.Number, Machine: u.machine})
}

// empty stops what would not end by itself, or not in time.
func (c *Core) empty(now Now, w *worker, late bool) {
	for _, r := range c.runsOf(w) {
		if r.phase == stopping || !late && !r.task.step.spec.LongRunning || !mayMiss(r) {
			continue
		}
		c.stop(now, r, "upkeep")
		if r.task.step.spec.Gang {
			c.breakGang(now, r.task.step, r.number)
		}
	}
}

// mayMiss reports whether so few other tasks of a step are away that r may be stopped.
func mayMiss(r *run) bool {
	s := r.task.step
	if s.spec.MayMiss == 0 {
		return true
	}
	away := 0
	for _, t := range s.tasks {
		if t != r.task && (t.cur == nil || t.cur.phase != running || t.cur.percent < atWork) {
			away++
		}
	}
	return away < s.spec.MayMiss
}

// atWork is the percent that a task which lasts shows once it is at work.
const atWork = 100

// takesWork reports whether new work may be placed on w, whose life may be about to end
// with its machine's upkeep.
func (c *Core) takesWork(now Now, w *worker) bool {
	if !w.usable(now.Mono) {
		return false
	}
	for _, v := range c.waves {
		if slices.ContainsFunc(v.upkeeps, func(u *upkeep) bool { return u.worker == w.ID && u.born == w.Born }) {
			return false
		}
	}
	return true
}

// UpkeepAnswered takes in the outcome of an order. Orders are idempotent: one that may
// have been carried out is repeated.
func (c *Core) UpkeepAnswered(now Now, o Upkeep, outcome Outcome) {
	for _, v := range c.waves {
		for _, u := range v.upkeeps {
			if v.Number != o.Wave || u.machine != o.Machine || u.phase != upkeepOrdered {
				continue
			}
			u.ordered = false
			switch outcome {
			case Accepted:
				u.phase, u.begunAt = upkeepBegun, now.Mono
			case Refused:
				u.phase, u.worker = upkeepDone, "" // it is not of this wave, or is gone
			default:
				u.retryAt = now.Mono + upkeepRetry
			}
			c.dirty = true
		}
	}
}

// report tells the operators of a wave that has begun, or that is done.
func (c *Core) report(now Now, v *wave) {
	r := WaveReport{Wave: v.Number, Done: v.done()}
	if v.reporting || v.reported != nil && v.reported.Done == r.Done || now.Mono < v.retryAt {
		return
	}
	v.reporting = true
	c.out.Reports = append(c.out.Reports, r)
}

// WaveReported says whether a report was taken.
func (c *Core) WaveReported(now Now, r WaveReport, err error) {
	for _, v := range c.waves {
		if v.Number != r.Wave {
			continue
		}
		v.reporting = false
		if err != nil {
			v.retryAt = now.Mono + reportRetry
			continue
		}
		v.reported = &r
	}
}
