package dispatch

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"agatewinch/internal/core/job"
)

// upkeepHarness simulates the machines of a fleet: worker wN runs on machine mN.
type upkeepHarness struct {
	*harness
	upkeepTime time.Duration
	// upkeepCounts counts the upkeeps of each machine, and downUntil is when the latest one ends. had
	// holds the machines that have begun the upkeep of a wave.
	upkeepCounts map[string]int64
	downUntil    map[string]time.Duration
	had          map[Upkeep]bool
	started      []string
	reports      []WaveReport
	mostDown     int
	workers      int
	// loseAnswers is how many further orders are executed but not answered, and refuseOrders
	// how many are refused as unhealthy.
	loseAnswers, refuseOrders int
	// crashed is the worker that answers no probe, and failsAfter how long until a probe of it fails.
	crashed    string
	failsAfter time.Duration
}

func newUpkeepHarness(t *testing.T, workers int) *upkeepHarness {
	h := &upkeepHarness{harness: newHarness(t), upkeepTime: 2 * time.Second, upkeepCounts: map[string]int64{}, downUntil: map[string]time.Duration{}, had: map[Upkeep]bool{}, workers: workers}
	h.core.settings.UpkeepTime = h.upkeepTime
	h.refreshLists()
	return h
}

// refreshLists passes the current lists of workers and machines to the core.
func (h *upkeepHarness) refreshLists() {
	infos := h.fleet(h.workers, job.Resources{CPU: 32000, MemMB: 64000, Accelerators: 8})
	var listed []WorkerInfo
	var machines []Machine
	down := 0
	for i, info := range infos {
		m := Machine{ID: fmt.Sprintf("m%d", i), Worker: info.ID, Up: h.now >= h.downUntil[fmt.Sprintf("m%d", i)]}
		info.Incarnation = 1 + h.upkeepCounts[m.ID]
		if m.Up {
			listed = append(listed, info)
		} else {
			down++
		}
		machines = append(machines, m)
	}
	h.mostDown = max(h.mostDown, down)
	h.core.SetWorkers(h.clock(), listed)
	h.core.SetMachines(h.clock(), h.now, machines)
}

// run advances the time and executes the core's orders as the platform does.
func (h *upkeepHarness) run(d time.Duration) {
	for end := h.now + d; h.now < end; {
		h.now += 100 * time.Millisecond
		h.accept()
		for _, s := range h.stops {
			h.core.StopAnswered(h.clock(), s, Accepted)
			h.endStopped(s)
		}
		h.stops = nil
		h.core.Tick(h.clock())
		h.flush()
		h.answerProbes()
		h.execute()
		h.refreshLists()
		h.flush()
	}
}

func (h *upkeepHarness) endStopped(s Stop) {
	w := h.core.workers[s.Worker]
	for _, r := range h.core.runsOf(w) {
		if r.task.id == s.Task && r.number == s.Run {
			h.core.endRun(h.clock(), r, job.EndStopped, "")
		}
	}
}

func (h *upkeepHarness) answerProbes() {
	for _, p := range append([]Probe(nil), h.probes...) {
		w := h.core.workers[p.Worker]
		if p.Worker == h.crashed {
			if h.now >= p.sentAt+h.failsAfter {
				h.failProbe(p, Unanswered)
			}
			continue
		}
		if h.now < p.sentAt+500*time.Millisecond {
			continue
		}
		rep := WorkerReport{Incarnation: w.Incarnation, ClockMs: h.now.Milliseconds() + 1, Running: []RunInProgress{}}
		for r := range w.runs {
			if r.confirmed {
				rep.Running = append(rep.Running, RunInProgress{Task: r.task.id.String(), Run: r.number, Percent: 100})
			}
		}
		h.answerProbe(p.Worker, rep)
	}
}

// begin begins the upkeep of a machine.
func (h *upkeepHarness) begin(u Upkeep) {
	h.had[u] = true
	h.upkeepCounts[u.Machine]++
	h.downUntil[u.Machine] = h.now + h.upkeepTime
	h.started = append(h.started, u.Machine)
}

func (h *upkeepHarness) execute() {
	a := h.core.TakeActions(h.clock())
	h.starts, h.stops, h.probes = append(h.starts, a.Starts...), append(h.stops, a.Stops...), append(h.probes, a.Probes...)
	for _, r := range append(h.harness.reports, a.WaveReports...) {
		h.reports = append(h.reports, r)
		h.core.WaveReported(h.clock(), r, nil)
	}
	h.harness.reports = nil
	for _, u := range append(h.harness.upkeeps, a.Upkeeps...) {
		switch {
		case h.refuseOrders > 0:
			h.refuseOrders--
			h.core.UpkeepAnswered(h.clock(), u, RefusedUnhealthy)
			continue
		case h.had[u]: // the order has no effect
		default:
			h.begin(u)
		}
		if h.loseAnswers > 0 {
			h.loseAnswers--
			h.core.UpkeepAnswered(h.clock(), u, Unanswered)
			continue
		}
		h.core.UpkeepAnswered(h.clock(), u, Accepted)
	}
	h.harness.upkeeps = nil
}

func (h *upkeepHarness) addWave(maxUnavailable int, within time.Duration, machines ...string) {
	h.core.AddWave(Wave{Number: 1, Machines: machines, MaxUnavailable: maxUnavailable, DueMs: (h.now + within).Milliseconds()}, WaveProgress{})
}

func TestAWaveIsCarriedOutAFewMachinesAtATime(t *testing.T) {
	h := newUpkeepHarness(t, 6)
	h.addWave(2, time.Minute, "m0", "m1", "m2", "m3", "m4")
	h.run(15 * time.Second)
	assert.Equal(t, len(h.started), 5)
	assert.Assert(t, h.mostDown <= 2, "%d machines down at once", h.mostDown)
	assert.DeepEqual(t, h.reports, []WaveReport{{1, false}, {1, true}})
}

func TestIdleMachinesAreDrainedFirstAndRunsMayFinish(t *testing.T) {
	h := newUpkeepHarness(t, 3)
	h.add(single("j", 1, 1, wholeWorkerNeed))
	busy := h.starts[0].Worker
	h.addWave(1, time.Minute, "m0", "m1", "m2")
	h.run(20 * time.Second)
	assert.Equal(t, len(h.started), 2)
	for _, m := range h.started {
		assert.Assert(t, m != "m"+busy[1:], "the upkeep of the busy machine was ordered before its run ended")
	}
	assert.Equal(t, len(h.core.runsOf(h.core.workers[busy])), 1)
}

func TestRunsAreStoppedToMeetTheWaveDeadline(t *testing.T) {
	h := newUpkeepHarness(t, 2)
	h.add(single("j", 1, 2, wholeWorkerNeed))
	h.addWave(1, 20*time.Second, "m0", "m1")
	h.run(20 * time.Second)
	assert.Equal(t, len(h.started), 2)
	assert.Assert(t, h.reports[len(h.reports)-1].Done)
}

func TestNothingIsPlacedOnADrainingMachine(t *testing.T) {
	h := newUpkeepHarness(t, 2)
	h.add(single("j", 1, 1, wholeWorkerNeed))
	h.accept()
	h.addWave(2, time.Minute, "m0", "m1")
	h.refreshLists()
	h.core.Tick(h.clock())
	h.add(single("k", 1, 1, wholeWorkerNeed))
	assert.Equal(t, len(h.starts), 0)
	h.run(10 * time.Second)
	assert.Equal(t, len(h.started), 1)
	assert.Assert(t, len(h.core.jobs["k"].occurrences) > 0 && h.core.jobs["k"].activeRuns == 1, "job k does not run on the machine that is up again")
}

func TestLongRunningTasksMoveWithinTheUnavailabilityLimit(t *testing.T) {
	h := newUpkeepHarness(t, 4)
	longRunning := single("s", 1, 3, wholeWorkerNeed)
	longRunning.Steps[0].LongRunning, longRunning.Steps[0].MaxUnavailable = true, 1
	h.add(longRunning)
	h.run(5 * time.Second)
	h.addWave(3, time.Minute, "m0", "m1", "m2", "m3")
	mostUnavailable := 0
	for range 250 {
		h.run(100 * time.Millisecond)
		n := 0
		for _, task := range h.core.jobs["s"].occurrences[0].steps[0].tasks {
			if task.current == nil || task.current.phase != running {
				n++
			}
		}
		mostUnavailable = max(mostUnavailable, n)
	}
	assert.Assert(t, mostUnavailable <= 1, "%d tasks unavailable at once", mostUnavailable)
	assert.Equal(t, len(h.started), 4)
}

// Guards against an upkeep that stops a task while another of its step is lost with a crashed worker, whose
// lease has not expired.
func TestUpkeepKeepsTheLimitBesideATaskOnACrashedWorker(t *testing.T) {
	for name, failsAfter := range map[string]time.Duration{"refuses connections": 0, "is silent": 5 * time.Second} {
		t.Run(name, func(t *testing.T) {
			h := newUpkeepHarness(t, 5)
			longRunning := single("s", 1, 3, wholeWorkerNeed)
			longRunning.Steps[0].LongRunning, longRunning.Steps[0].MaxUnavailable = true, 1
			h.add(longRunning)
			h.run(5 * time.Second)
			tasks := h.core.jobs["s"].occurrences[0].steps[0].tasks
			lost := tasks[0].current
			h.crashed, h.failsAfter = lost.worker.ID, failsAfter
			h.run(maxAnswerAge + 500*time.Millisecond)
			h.addWave(1, time.Minute, "m"+tasks[1].current.worker.ID[1:], "m"+tasks[2].current.worker.ID[1:])
			for tasks[0].current == lost {
				h.run(100 * time.Millisecond)
				for _, o := range tasks[1:] {
					assert.Assert(t, o.current != nil && o.current.phase == running, "task %s was stopped", o.id)
				}
			}
			h.run(20 * time.Second)
			assert.Equal(t, len(h.started), 2)
		})
	}
}

// Guards against an upkeep that stops a gang, and with it more tasks at once than its step allows.
func TestUpkeepStopsAGangOnlyIfAllItsTasksMayBeUnavailable(t *testing.T) {
	for maxUnavailable, started := range map[int]int{1: 1, 2: 3} {
		h := newUpkeepHarness(t, 3)
		lasting := gang("g", 1, 2, wholeWorkerNeed)
		lasting.Steps[0].LongRunning, lasting.Steps[0].MaxUnavailable = true, maxUnavailable
		h.add(lasting)
		h.run(2 * time.Second)
		h.addWave(1, 10*time.Second, "m0", "m1", "m2")
		h.run(20 * time.Second)
		assert.Equal(t, len(h.started), started, "with a limit of %d", maxUnavailable)
	}
}

func TestLostOrRefusedOrdersAreRepeatedWithinTheUnavailabilityLimit(t *testing.T) {
	h := newUpkeepHarness(t, 4)
	h.loseAnswers, h.refuseOrders = 2, 2
	h.addWave(1, time.Minute, "m0", "m1", "m2")
	h.run(20 * time.Second)
	assert.Assert(t, h.mostDown <= 1, "%d machines down at once", h.mostDown)
	assert.Assert(t, h.reports[len(h.reports)-1].Done)
}

// takeOver replaces the core with that of a new leader, which knows the same workers and machines.
func (h *upkeepHarness) takeOver() {
	settings := h.core.settings
	h.harness.upkeeps, h.harness.reports, h.probes = nil, nil, nil
	h.core = New(h.clock(), settings)
	h.refreshLists()
}

// Guards against workers that get no work for good after a new leader has repeated the upkeeps of the
// former one, which have no effect.
func TestWorkersTakeWorkAfterANewLeaderHasRepeatedTheirUpkeeps(t *testing.T) {
	h := newUpkeepHarness(t, 4)
	machines := []string{"m0", "m1", "m2", "m3"}
	h.addWave(2, time.Minute, machines...)
	for len(h.started) < len(machines) {
		h.run(100 * time.Millisecond)
	}
	h.takeOver()
	h.addWave(2, time.Minute, machines...)
	h.run(20 * time.Second)
	assert.Equal(t, len(h.started), len(machines))
	assert.DeepEqual(t, h.reports[len(h.reports)-1], WaveReport{1, true})
	h.add(single("j", 1, 4, wholeWorkerNeed))
	assert.Equal(t, len(h.starts), 4)
}

// resumeWave adds wave 1 to the core of a new leader, with the recorded progress.
func (h *upkeepHarness) resumeWave(maxUnavailable int, machines ...string) {
	h.core.AddWave(Wave{Number: 1, Machines: machines, MaxUnavailable: maxUnavailable, DueMs: (h.now + time.Minute).Milliseconds()}, h.waves[1])
}

// Guards against more machines being down at a time than a wave allows: an order of the former leader was
// not answered and is executed late.
func TestUpkeepThatTheFormerLeaderOrderedCountsAgainstTheLimit(t *testing.T) {
	h := newUpkeepHarness(t, 3)
	machines := []string{"m0", "m1", "m2"}
	h.addWave(1, time.Minute, machines...)
	h.core.Tick(h.clock())
	h.flush()
	assert.Equal(t, len(h.harness.upkeeps), 1)
	h.begin(h.harness.upkeeps[0]) // late, and without an answer
	h.takeOver()
	h.resumeWave(1, machines...)
	h.run(20 * time.Second)
	assert.Equal(t, len(h.started), len(machines))
	assert.Assert(t, h.mostDown <= 1, "%d machines down at once", h.mostDown)
}

// Guards against workers that a new leader drains for upkeeps that are over.
func TestUpkeepsThatAreOverAreNotRepeatedByANewLeader(t *testing.T) {
	h := newUpkeepHarness(t, 4)
	machines := []string{"m0", "m1", "m2", "m3"}
	h.addWave(2, time.Minute, machines...)
	for len(h.waves[1].Done) < 2 {
		h.run(100 * time.Millisecond)
	}
	over := h.waves[1].Done
	h.takeOver()
	h.resumeWave(2, machines...)
	h.notes = nil
	h.run(20 * time.Second)
	for _, n := range h.notes {
		assert.Assert(t, n.Kind != "upkeep" || !slices.Contains(over, n.Why), "the upkeep of %s was ordered again", n.Why)
	}
	assert.Equal(t, len(h.started), len(machines))
	assert.Assert(t, h.waves[1].Dropped)
}

// An order whose record is not in the log could not be known to a new leader.
func TestUpkeepIsOrderedOnlyOnceItIsRecorded(t *testing.T) {
	h := newUpkeepHarness(t, 1)
	h.addWave(1, time.Minute, "m0")
	h.core.Tick(h.clock())
	assert.Equal(t, len(h.core.TakeActions(h.clock()).Upkeeps), 0)
	batch := h.core.TakeBatch()
	assert.DeepEqual(t, batch.Waves, []WaveProgress{{Wave: 1, Ordered: []string{"m0"}}})
	h.core.Recorded(h.clock(), batch)
	assert.Equal(t, len(h.core.TakeActions(h.clock()).Upkeeps), 1)
}

// Guards against a worker that gets no work for good after its machine was missing from a list before its
// upkeep was ordered.
func TestWorkerOfAMachineThatNeedsNoUpkeepTakesWork(t *testing.T) {
	h := newUpkeepHarness(t, 1)
	h.add(single("j", 1, 1, one))
	h.accept()
	h.addWave(1, time.Minute, "m0")
	h.core.Tick(h.clock())
	h.core.SetMachines(h.clock(), h.now, []Machine{})
	h.flush()
	h.add(single("k", 1, 1, one))
	assert.Equal(t, len(h.starts), 1)
}

// Guards against an upkeep that ends tasks at work: its order is repeated until it is known to have been
// executed, and the worker has restarted in the meantime.
func TestNothingIsPlacedOnARestartedWorkerWhileItsUpkeepIsOrdered(t *testing.T) {
	h := newUpkeepHarness(t, 1)
	h.refuseOrders = 20
	h.addWave(1, time.Minute, "m0")
	h.run(time.Second)
	h.upkeepCounts["m0"]++ // the worker restarts by itself
	h.refreshLists()
	h.add(single("j", 1, 1, one))
	h.run(2 * time.Second)
	assert.Equal(t, len(h.core.runsOf(h.core.workers["w0"])), 0)
	h.run(20 * time.Second)
	assert.Equal(t, len(h.started), 1)
	assert.Equal(t, len(h.core.runsOf(h.core.workers["w0"])), 1)
}

func TestALostWaveReportIsRepeated(t *testing.T) {
	h := newUpkeepHarness(t, 1)
	h.addWave(1, time.Minute, "m0")
	h.core.Tick(h.clock())
	a := h.core.TakeActions(h.clock())
	assert.DeepEqual(t, a.WaveReports, []WaveReport{{1, false}})
	h.core.WaveReported(h.clock(), a.WaveReports[0], errors.New("no answer"))
	h.now += reportRetry
	h.core.Tick(h.clock())
	assert.DeepEqual(t, h.core.TakeActions(h.clock()).WaveReports, []WaveReport{{1, false}})
}

func TestAMachineRemovedDuringItsUpkeepIsNotWaitedFor(t *testing.T) {
	h := newUpkeepHarness(t, 2)
	h.addWave(1, time.Minute, "m0", "m1")
	h.core.Tick(h.clock())
	h.flush()
	first := h.harness.upkeeps
	assert.Equal(t, len(first), 1)
	h.core.UpkeepAnswered(h.clock(), first[0], Accepted)
	h.now += time.Second
	other := Machine{ID: "m0", Worker: "w0", Up: true}
	if first[0].Machine == "m0" {
		other = Machine{ID: "m1", Worker: "w1", Up: true}
	}
	h.core.SetMachines(h.clock(), h.now, []Machine{other})
	h.harness.upkeeps = nil
	h.flush()
	second := h.harness.upkeeps
	assert.Equal(t, len(second), 1)
	assert.Equal(t, second[0].Machine, other.ID)
}
