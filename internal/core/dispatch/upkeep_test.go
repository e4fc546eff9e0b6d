package dispatch

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"agatewinch/internal/core/job"
)

// upkeepHarness simulates the machines of a fleet: worker wN runs on machine mN.
type upkeepHarness struct {
	*harness
	upkeepTime time.Duration
	// incarnations counts the upkeeps of each machine, and downUntil is when the latest one ends.
	incarnations map[string]int64
	downUntil    map[string]time.Duration
	started      []string
	reports      []WaveReport
	mostDown     int
	workers      int
	// loseAnswers is how many orders are executed without an answer, and refuseOrders how
	// many are refused as unhealthy.
	loseAnswers, refuseOrders int
}

func newUpkeepHarness(t *testing.T, workers int) *upkeepHarness {
	b := &upkeepHarness{harness: newHarness(t), upkeepTime: 2 * time.Second, incarnations: map[string]int64{}, downUntil: map[string]time.Duration{}, workers: workers}
	b.core.settings.UpkeepTime = b.upkeepTime
	b.refreshLists()
	return b
}

// refreshLists passes the current lists of workers and machines to the core.
func (b *upkeepHarness) refreshLists() {
	infos := b.fleet(b.workers, job.Resources{CPU: 32000, MemMB: 64000, Accelerators: 8})
	var listed []WorkerInfo
	var machines []Machine
	down := 0
	for i, info := range infos {
		m := Machine{ID: fmt.Sprintf("m%d", i), Worker: info.ID, Up: b.now >= b.downUntil[fmt.Sprintf("m%d", i)]}
		info.Incarnation = 1 + b.incarnations[m.ID]
		if m.Up {
			listed = append(listed, info)
		} else {
			down++
		}
		machines = append(machines, m)
	}
	b.mostDown = max(b.mostDown, down)
	b.core.SetWorkers(b.clock(), listed)
	b.core.SetMachines(b.clock(), b.now, machines)
}

// run advances the time and executes orders as the platform does.
func (b *upkeepHarness) run(d time.Duration) {
	for end := b.now + d; b.now < end; {
		b.now += 100 * time.Millisecond
		b.accept()
		for _, s := range b.stops {
			b.core.Stopped(b.clock(), s, Accepted)
			b.endStopped(s)
		}
		b.stops = nil
		b.core.Tick(b.clock())
		b.flush()
		b.answerProbes()
		b.execute()
		b.refreshLists()
		b.flush()
	}
}

func (b *upkeepHarness) endStopped(s Stop) {
	w := b.core.workers[s.Worker]
	for _, r := range b.core.runsOf(w) {
		if r.task.id == s.Task && r.number == s.Run {
			b.core.endRun(b.clock(), r, job.EndStopped, "")
		}
	}
}

func (b *upkeepHarness) answerProbes() {
	for _, h := range append([]Probe(nil), b.probes...) {
		w := b.core.workers[h.Worker]
		if b.now < h.sentAt+500*time.Millisecond {
			continue
		}
		rep := WorkerReport{Incarnation: w.Incarnation, ClockMs: b.now.Milliseconds() + 1, Running: []RunningTask{}}
		for r := range w.runs {
			if r.confirmed {
				rep.Running = append(rep.Running, RunningTask{Task: r.task.id.String(), Run: r.number, Percent: 100})
			}
		}
		b.answerProbe(h.Worker, rep)
	}
}

func (b *upkeepHarness) execute() {
	a := b.core.TakeActions(b.clock())
	b.starts, b.stops, b.probes = append(b.starts, a.Starts...), append(b.stops, a.Stops...), append(b.probes, a.Probes...)
	for _, r := range append(b.harness.reports, a.WaveReports...) {
		b.reports = append(b.reports, r)
		b.core.WaveReported(b.clock(), r, nil)
	}
	b.harness.reports = nil
	for _, u := range append(b.harness.upkeeps, a.Upkeeps...) {
		switch {
		case b.refuseOrders > 0:
			b.refuseOrders--
			b.core.UpkeepAnswered(b.clock(), u, RefusedUnhealthy)
			continue
		case b.now < b.downUntil[u.Machine]:
		default:
			b.incarnations[u.Machine]++
			b.downUntil[u.Machine] = b.now + b.upkeepTime
			b.started = append(b.started, u.Machine)
		}
		if b.loseAnswers > 0 {
			b.loseAnswers--
			b.core.UpkeepAnswered(b.clock(), u, Unanswered)
			continue
		}
		b.core.UpkeepAnswered(b.clock(), u, Accepted)
	}
	b.harness.upkeeps = nil
}

func (b *upkeepHarness) addWave(maxUnavailable int, within time.Duration, machines ...string) {
	b.core.AddWave(Wave{Number: 1, Machines: machines, MaxUnavailable: maxUnavailable, DueMs: (b.now + within).Milliseconds()})
}

func TestAWaveIsCarriedOutAFewMachinesAtATime(t *testing.T) {
	b := newUpkeepHarness(t, 6)
	b.addWave(2, time.Minute, "m0", "m1", "m2", "m3", "m4")
	b.run(15 * time.Second)
	assert.Equal(t, len(b.started), 5)
	assert.Assert(t, b.mostDown <= 2, "%d down at once", b.mostDown)
	assert.DeepEqual(t, b.reports, []WaveReport{{1, false}, {1, true}})
}

func TestIdleMachinesAreUpkeptFirstAndRunsMayFinish(t *testing.T) {
	b := newUpkeepHarness(t, 3)
	b.add(single("j", 1, 1, wholeWorkerNeed))
	busy := b.starts[0].Worker
	b.addWave(1, time.Minute, "m0", "m1", "m2")
	b.run(20 * time.Second)
	assert.Equal(t, len(b.started), 2)
	for _, m := range b.started {
		assert.Assert(t, m != "m"+busy[1:], "the busy machine must not be ordered to its upkeep")
	}
	assert.Equal(t, len(b.core.runsOf(b.core.workers[busy])), 1)
}

func TestRunsAreStoppedToMeetTheWaveDeadline(t *testing.T) {
	b := newUpkeepHarness(t, 2)
	b.add(single("j", 1, 2, wholeWorkerNeed))
	b.addWave(1, 20*time.Second, "m0", "m1")
	b.run(20 * time.Second)
	assert.Equal(t, len(b.started), 2)
	assert.Assert(t, b.reports[len(b.reports)-1].Done)
}

func TestNothingIsPlacedOnADrainingMachine(t *testing.T) {
	b := newUpkeepHarness(t, 2)
	b.add(single("j", 1, 1, wholeWorkerNeed))
	b.accept()
	b.addWave(2, time.Minute, "m0", "m1")
	b.refreshLists()
	b.core.Tick(b.clock())
	b.add(single("k", 1, 1, wholeWorkerNeed))
	assert.Equal(t, len(b.starts), 0)
	b.run(10 * time.Second)
	assert.Equal(t, len(b.started), 1)
	assert.Assert(t, len(b.core.jobs["k"].occurrences) > 0 && b.core.jobs["k"].activeRuns == 1, "job k must run on the machine that is back up")
}

func TestLongRunningTasksMoveWithinTheUnavailabilityLimit(t *testing.T) {
	b := newUpkeepHarness(t, 4)
	longRunning := single("s", 1, 3, wholeWorkerNeed)
	longRunning.Steps[0].LongRunning, longRunning.Steps[0].MaxUnavailable = true, 1
	b.add(longRunning)
	b.run(5 * time.Second)
	b.addWave(3, time.Minute, "m0", "m1", "m2", "m3")
	mostUnavailable := 0
	for range 250 {
		b.run(100 * time.Millisecond)
		n := 0
		for _, task := range b.core.jobs["s"].occurrences[0].steps[0].tasks {
			if task.current == nil || task.current.phase != running {
				n++
			}
		}
		mostUnavailable = max(mostUnavailable, n)
	}
	assert.Assert(t, mostUnavailable <= 1, "%d tasks unavailable at once", mostUnavailable)
	assert.Equal(t, len(b.started), 4)
}

func TestLostOrRefusedOrdersAreRepeatedWithinTheBound(t *testing.T) {
	b := newUpkeepHarness(t, 4)
	b.loseAnswers, b.refuseOrders = 2, 2
	b.addWave(1, time.Minute, "m0", "m1", "m2")
	b.run(20 * time.Second)
	assert.Assert(t, b.mostDown <= 1, "%d down at once", b.mostDown)
	assert.Assert(t, b.reports[len(b.reports)-1].Done)
}

func TestALostWaveReportIsRepeated(t *testing.T) {
	b := newUpkeepHarness(t, 1)
	b.addWave(1, time.Minute, "m0")
	b.core.Tick(b.clock())
	a := b.core.TakeActions(b.clock())
	assert.DeepEqual(t, a.WaveReports, []WaveReport{{1, false}})
	b.core.WaveReported(b.clock(), a.WaveReports[0], errors.New("no answer"))
	b.now += reportRetry
	b.core.Tick(b.clock())
	assert.DeepEqual(t, b.core.TakeActions(b.clock()).WaveReports, []WaveReport{{1, false}})
}

func TestAMachineRemovedDuringItsUpkeepIsNotWaitedFor(t *testing.T) {
	b := newUpkeepHarness(t, 2)
	b.addWave(1, time.Minute, "m0", "m1")
	b.core.Tick(b.clock())
	first := b.core.TakeActions(b.clock()).Upkeeps
	assert.Equal(t, len(first), 1)
	b.core.UpkeepAnswered(b.clock(), first[0], Accepted)
	b.now += time.Second
	other := Machine{ID: "m0", Worker: "w0", Up: true}
	if first[0].Machine == "m0" {
		other = Machine{ID: "m1", Worker: "w1", Up: true}
	}
	b.core.SetMachines(b.clock(), b.now, []Machine{other})
	second := b.core.TakeActions(b.clock()).Upkeeps
	assert.Equal(t, len(second), 1)
	assert.Equal(t, second[0].Machine, other.ID)
}
