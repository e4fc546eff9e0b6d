package dispatch

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Wave is an operator's request for a rolling upkeep (maintenance) of machines, a bounded
// number of them at a time.
type Wave struct {
	Number   int64
	Machines []string
	// DueMs is the deadline for the last machine to be back, in Unix milliseconds.
	DueMs int64
	// MaxUnavailable is the maximum number of machines that the wave may make unavailable at a time.
	MaxUnavailable int
}

// Machine hosts a worker. Each upkeep replaces the worker with a new one.
type Machine struct {
	ID, Worker string
	// Up is false while the machine is unavailable, being moved or under upkeep.
	Up bool
}

// Upkeep orders the upkeep of a machine. Tasks that still run on it end at once.
type Upkeep struct {
	Wave    int64
	Machine string
}

// WaveReport tells the operators that a wave is in progress or done.
type WaveReport struct {
	Wave int64
	Done bool
}

// WaveProgress is what the log holds of a wave in progress. A new leader goes on from it.
type WaveProgress struct {
	Wave int64
	// Ordered are the machines whose upkeep may have been ordered, and Done those whose upkeep is over.
	Ordered, Done []string
	// Dropped is set once the end of the wave has been reported: its record is no longer needed.
	Dropped bool
}

const (
	// upkeepOrderRetry is the delay before an upkeep order that was not executed is repeated.
	upkeepOrderRetry = 500 * time.Millisecond
	// upkeepOverhead is added to the estimate for each round of upkeeps. It covers the order,
	// the next machine list and the registration of the new worker.
	upkeepOverhead = 1500 * time.Millisecond
	// reportRetry is the delay before a report that was not accepted is repeated.
	reportRetry = time.Second
)

type upkeepPhase uint8

const (
	// upkeepWaiting machines still run and receive tasks.
	upkeepWaiting upkeepPhase = iota
	// upkeepDraining machines receive no new tasks.
	upkeepDraining
	// upkeepRecording machines wait until their order is in the log.
	upkeepRecording
	// upkeepOrdered machines may have started their upkeep.
	upkeepOrdered
	// upkeepStarted machines count as unavailable until they are listed as up again.
	upkeepStarted
	upkeepDone
)

type upkeep struct {
	machine string
	phase   upkeepPhase
	// worker and incarnation identify the worker process that the upkeep ends.
	worker      string
	incarnation int64
	// orderInFlight is true while an order has been sent and not answered.
	orderInFlight bool
	retryAt       time.Duration
	startedAt     time.Duration
}

// down reports whether the machine counts as unavailable because of its upkeep.
func (u *upkeep) down() bool { return u.phase >= upkeepRecording && u.phase < upkeepDone }

// waveUpkeep is an upkeep of a wave.
type waveUpkeep struct {
	wave   *wave
	upkeep *upkeep
}

type wave struct {
	Wave
	upkeeps []*upkeep
	// reported is the last accepted report; reportInFlight is true while one is being sent.
	reported       *WaveReport
	reportInFlight bool
	retryAt        time.Duration
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

// AddWave adds a wave whose completion has not been reported, with the progress that former leaders have
// recorded. An upkeep that may have been ordered is ordered again. A wave that is already known is
// ignored.
func (c *Core) AddWave(w Wave, progress WaveProgress) {
	if slices.ContainsFunc(c.waves, func(v *wave) bool { return v.Number == w.Number }) {
		return
	}
	v := &wave{Wave: w}
	for _, m := range w.Machines {
		u := &upkeep{machine: m}
		switch {
		case slices.Contains(progress.Done, m):
			u.phase = upkeepDone
		case slices.Contains(progress.Ordered, m):
			u.phase = upkeepOrdered
		}
		v.upkeeps = append(v.upkeeps, u)
	}
	c.waves = append(c.waves, v)
	slices.SortFunc(c.waves, func(a, b *wave) int { return cmp.Compare(a.Number, b.Number) })
}

// recordWave adds the progress of v to the open batch.
func (c *Core) recordWave(v *wave) {
	p := WaveProgress{Wave: v.Number, Dropped: v.reported != nil && v.reported.Done}
	for _, u := range v.upkeeps {
		switch {
		case u.phase == upkeepDone:
			p.Done = append(p.Done, u.machine)
		case u.down():
			p.Ordered = append(p.Ordered, u.machine)
		}
	}
	c.batch.Waves = slices.DeleteFunc(c.batch.Waves, func(o WaveProgress) bool { return o.Wave == v.Number })
	c.batch.Waves = append(c.batch.Waves, p)
}

// HasOpenWaves reports whether any wave still has machines to process or its final report to
// deliver.
func (c *Core) HasOpenWaves() bool {
	return slices.ContainsFunc(c.waves, func(v *wave) bool { return v.reported == nil || !v.reported.Done })
}

// SetMachines updates the machine list. askedAt is when the list was requested: a list that was
// requested before an upkeep started can't show that it is over.
func (c *Core) SetMachines(now Now, askedAt time.Duration, list []Machine) {
	c.keepSpeeds(list)
	c.machines = make(map[string]Machine, len(list))
	for _, m := range list {
		c.machines[m.ID] = m
	}
	for _, v := range c.waves {
		for _, u := range v.upkeeps {
			m, listed := c.machines[u.machine]
			// A machine that is no longer listed needs no upkeep, and the wave doesn't wait for
			// it to come back from one.
			removed := !listed && u.phase < upkeepOrdered
			back := u.phase == upkeepStarted && askedAt > u.startedAt && (m.Up || !listed)
			if removed || back {
				u.phase = upkeepDone
				c.note(Note{Kind: "upkeep over", Worker: m.Worker, Why: fmt.Sprintf("%s, drained worker %q", u.machine, u.worker)})
				if removed || m.Worker == u.worker {
					u.worker = "" // no order has ended it: the upkeep was done before, or needs not be done
				}
				c.recordWave(v)
				c.inputsChanged = true
			}
		}
	}
	c.advanceWaves(now)
}

// advanceWaves drains machines, orders their upkeep and reports progress.
func (c *Core) advanceWaves(now Now) {
	if c.machines == nil {
		return
	}
	open := filter(c.sortedWorkers, func(w *worker) bool { return c.takesWork(now, w) })
	for _, v := range c.waves {
		stopAll := c.mustStopRuns(now, v)
		open = c.drainNext(now, v, open, stopAll)
		for _, u := range v.upkeeps {
			c.advanceUpkeep(now, v, u, open, stopAll)
		}
		c.reportWave(now, v)
	}
}

// mustStopRuns reports whether the runs on draining machines have to be stopped for the
// remaining rounds of the wave to meet its deadline.
func (c *Core) mustStopRuns(now Now, v *wave) bool {
	left := v.count(func(u *upkeep) bool { return u.phase < upkeepStarted })
	rounds := (left + v.MaxUnavailable - 1) / max(1, v.MaxUnavailable)
	need := time.Duration(rounds)*(c.settings.UpkeepTime+upkeepOverhead) + c.settings.MaxStopTime
	return now.UnixMs+need.Milliseconds() >= v.DueMs
}

func (c *Core) upkeepWorker(u *upkeep) *worker { return c.workers[c.machines[u.machine].Worker] }

// advanceUpkeep drains a machine and orders its upkeep as soon as nothing runs on it and the wave's
// limit of unavailable machines allows it. It also repeats orders that may not have been executed. open are
// the workers that take work. stopAll is set if the wave would otherwise miss its deadline.
func (c *Core) advanceUpkeep(now Now, v *wave, u *upkeep, open []*worker, stopAll bool) {
	if u.phase != upkeepDraining && u.phase != upkeepOrdered || u.orderInFlight || now.Mono < u.retryAt {
		return
	}
	if w := c.upkeepWorker(u); w != nil {
		if c.putOff(now, u, w, open) {
			return
		}
		u.worker, u.incarnation = w.ID, w.Incarnation
		c.drainWorker(now, w, open, stopAll)
		if len(w.runs) > 0 {
			return
		}
	}
	if u.phase == upkeepOrdered {
		c.orderUpkeep(v, u)
		return
	}
	if v.count((*upkeep).down) < v.MaxUnavailable {
		u.phase = upkeepRecording
		c.recordWave(v)
		c.batch.upkeeps = append(c.batch.upkeeps, waveUpkeep{v, u})
	}
}

// orderUpkeep sends the order of an upkeep that is recorded.
func (c *Core) orderUpkeep(v *wave, u *upkeep) {
	u.phase, u.orderInFlight = upkeepOrdered, true
	c.note(Note{Kind: "upkeep", Worker: c.machines[u.machine].Worker, Why: u.machine})
	c.pendingActions.Upkeeps = append(c.pendingActions.Upkeeps, Upkeep{Wave: v.Number, Machine: u.machine})
}

// mayBeUnavailable reports whether r may be stopped without exceeding its step's limit of
// unavailable tasks. Runs for which stops, if not nil, returns true count as unavailable.
func mayBeUnavailable(now Now, r *run, stops func(*run) bool) bool {
	s := r.task.step
	switch {
	case s.spec.MaxUnavailable == 0:
		return true
	case s.spec.Gang:
		return len(s.tasks) <= s.spec.MaxUnavailable // the whole gang stops
	}
	unavailable := 0
	for _, t := range s.tasks {
		if t == r.task {
			continue
		}
		if o := t.current; o == nil || !o.available(now) || stops != nil && stops(o) {
			unavailable++
		}
	}
	return unavailable < s.spec.MaxUnavailable
}

// available reports whether r is known to be at work. The last progress of a run on a worker that does
// not answer says nothing: the worker may have crashed, and the run stays in its phase until the
// worker's lease has expired.
func (r *run) available(now Now) bool {
	return r.phase == running && r.percent >= servingPercent && r.worker.answers(now)
}

// servingPercent is the progress in percent that a long-running task reports once it has
// finished starting.
const servingPercent = 100

// takesWork reports whether new tasks may be placed on w. This excludes workers of evacuated zones, and
// those that will end with the upkeep of their machine.
func (c *Core) takesWork(now Now, w *worker) bool {
	if !w.usable(now.Mono) || c.closed(w) {
		return false
	}
	for _, v := range c.waves {
		if slices.ContainsFunc(v.upkeeps, func(u *upkeep) bool { return c.endsWith(w, u) }) {
			return false
		}
	}
	return true
}

// endsWith reports whether w ends, or has ended, with the upkeep u. An order that may still be executed
// ends the worker that is on the machine by then, even if that is not the one that was drained.
func (c *Core) endsWith(w *worker, u *upkeep) bool {
	drained := u.worker == w.ID && u.incarnation == w.Incarnation
	return drained || (u.phase == upkeepRecording || u.phase == upkeepOrdered) && c.machines[u.machine].Worker == w.ID
}

// UpkeepAnswered handles the outcome of an upkeep order. Orders are idempotent, so an order that
// may or may not have been executed is repeated.
func (c *Core) UpkeepAnswered(now Now, o Upkeep, outcome Outcome) {
	for _, v := range c.waves {
		for _, u := range v.upkeeps {
			if v.Number != o.Wave || u.machine != o.Machine || u.phase != upkeepOrdered {
				continue
			}
			u.orderInFlight = false
			switch outcome {
			case Accepted:
				u.phase, u.startedAt = upkeepStarted, now.Mono
			case Refused:
				u.phase, u.worker = upkeepDone, "" // the machine is not part of this wave, or no longer exists
				c.recordWave(v)
			default:
				u.retryAt = now.Mono + upkeepOrderRetry
			}
			c.inputsChanged = true
		}
	}
}

// reportWave tells the operators that a wave has begun or is done.
func (c *Core) reportWave(now Now, v *wave) {
	r := WaveReport{Wave: v.Number, Done: v.done()}
	if v.reportInFlight || v.reported != nil && v.reported.Done == r.Done || now.Mono < v.retryAt {
		return
	}
	v.reportInFlight = true
	c.pendingActions.WaveReports = append(c.pendingActions.WaveReports, r)
}

// WaveReported handles the outcome of a report: one that failed is repeated.
func (c *Core) WaveReported(now Now, r WaveReport, err error) {
	for _, v := range c.waves {
		if v.Number != r.Wave {
			continue
		}
		v.reportInFlight = false
		if err != nil {
			v.retryAt = now.Mono + reportRetry
			continue
		}
		v.reported = &r
		if r.Done {
			c.recordWave(v)
		}
	}
}
