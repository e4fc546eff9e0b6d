package dispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"agatewinch/internal/core/job"
)

const (
	closedZone = "zone-r0"
	openZone   = "zone-r1"
)

// zonedHarness has the workers w0 to w5 in closedZone, and from w6 on the others in openZone.
func zonedHarness(t *testing.T, workers int) *harness {
	t.Helper()
	h := newHarness(t)
	h.core.SetGuarantees(map[string]int64{"org": 16})
	h.core.SetWorkers(h.clock(), h.fleetWithZones(workers, whole))
	return h
}

func (h *harness) evacuate(zones ...string) {
	h.core.SetEvacuatedZones(h.clock(), zones)
	h.flush()
}

// startsIn counts the collected starts in a zone.
func (h *harness) startsIn(zone string) int {
	n := 0
	for _, s := range h.starts {
		if s.Zone == zone {
			n++
		}
	}
	return n
}

func TestNothingStartsInAnEvacuatedZoneWhateverItIs(t *testing.T) {
	fills := single("j", 1, 20, one)
	fills.Steps[0].BestEffort = true
	lasting := single("j", 1, 20, one)
	lasting.Steps[0].LongRunning = true
	repeated := single("j", 1, 20, one)
	repeated.OccurrenceCount, repeated.FirstDueMs, repeated.IntervalMs = 2, 1000, 1000
	rack := gang("j", 1, 8, one)
	rack.Steps[0].SameRack = true
	for name, j := range map[string]*job.Job{
		"tasks": single("j", 1, 20, one), "urgent tasks": single("j", 0, 20, one), "gang": gang("j", 1, 8, one), "urgent gang": gang("j", 0, 8, one),
		"gang for one rack": rack, "best effort": fills, "long-running": lasting, "occurrences": repeated,
	} {
		t.Run(name, func(t *testing.T) {
			h := zonedHarness(t, 7)
			h.evacuate(closedZone)
			h.add(j)
			h.advance(20 * time.Second)
			assert.Equal(t, h.startsIn(closedZone), 0)
			assert.Assert(t, h.startsIn(openZone) >= 8, "%d starts", len(h.starts))
		})
	}
}

func TestWorkersOfAnEvacuatedZoneAreNotNamedToTheAdvisoryService(t *testing.T) {
	h := zonedHarness(t, 12)
	h.evacuate(closedZone)
	h.add(advised(single("j", 1, 2, one)))
	for _, id := range h.adviceRequests[0].Workers {
		assert.Equal(t, h.core.workers[id].Zone, openZone)
	}
}

// The evacuation is read while the record of a gang's placement is being appended: that of the zone of its
// first member, or of others.
func TestStartIsDroppedWhenItsZoneIsEvacuatedBeforeTheRecord(t *testing.T) {
	for _, zone := range []string{closedZone, openZone} {
		h := zonedHarness(t, 12)
		h.core.AddJob(h.clock(), gang("g", 1, 12, whole), nil)
		h.core.TakeActions(h.clock())
		batch := h.core.TakeBatch()
		h.core.SetEvacuatedZones(h.clock(), []string{zone})
		h.core.Recorded(h.clock(), batch)
		h.flush()
		h.advance(5 * time.Second)
		assert.Equal(t, len(h.starts), 0, "%s: the rest of the gang is not started for nothing", zone)
	}
}

func TestPlanAndReservationsInAnEvacuatedZoneAreDropped(t *testing.T) {
	h := zonedHarness(t, 6)
	h.add(single("low", 2, 48, one))
	h.accept()
	h.add(single("urgent", 0, 1, whole))
	assert.Equal(t, len(h.stops), 8)
	waits := gang("waits", 1, 2, whole)
	waits.Steps[0].Checkpoints = true
	h.add(waits)
	h.advance(500 * time.Millisecond)
	assert.Assert(t, len(h.core.reservations) > 0)
	h.stops = nil
	h.evacuate(closedZone)
	assert.Equal(t, len(h.core.reservations), 0)
	for _, w := range h.core.sortedWorkers {
		assert.Equal(t, w.reserved, job.Resources{})
	}
	h.advance(5 * time.Second)
	assert.Assert(t, slices.IndexFunc(h.stops, func(s Stop) bool { return s.Task.Job != "low" }) < 0)
	assert.Equal(t, len(h.starts), 0)
}

// With a long queue reservations are kept between cycles, unless the zones change.
func TestReservationsInAnEvacuatedZoneAreDroppedBehindALongQueue(t *testing.T) {
	h := zonedHarness(t, 2)
	h.add(single("busy", 1, 2, whole))
	h.accept()
	h.add(gang("gang", 1, 2, whole))
	for i := range largeBacklog {
		h.core.AddJob(h.clock(), single(fmt.Sprintf("flood%d", i), 2, 4, one), nil)
	}
	h.flush()
	h.now += minCycleInterval
	assert.Equal(t, len(h.core.reservations), 2)
	h.evacuate(closedZone)
	assert.Equal(t, len(h.core.reservations), 0)
}

func TestTaskDoesNotWaitForItsDataInAnEvacuatedZone(t *testing.T) {
	h := zonedHarness(t, 12)
	h.evacuate(closedZone)
	j := single("j", 1, 1, one)
	j.Steps[0].DataRack = "r0"
	h.add(j)
	assert.Equal(t, h.startsIn(openZone), 1)
}

func TestRacksAreKeptForUrgentWorkAmongThoseOutsideEvacuatedZones(t *testing.T) {
	h := zonedHarness(t, 30)
	h.evacuate(closedZone)
	assert.Equal(t, h.core.workers["w6"].rackPosition, 0.0)
	assert.Equal(t, h.core.workers["w12"].rackPosition, 0.25)
	h.evacuate()
	assert.Equal(t, h.core.workers["w0"].rackPosition, 0.0)
	assert.Equal(t, h.core.workers["w6"].rackPosition, 0.2)
}

func TestRunsInAnEvacuatedZoneGoOnAndAreNotPreemptedForIt(t *testing.T) {
	h := zonedHarness(t, 6)
	h.add(gang("low", 2, 6, whole))
	started := h.accept()
	h.evacuate(closedZone)
	h.add(single("urgent", 0, 1, whole))
	h.advance(2 * time.Second)
	assert.Equal(t, len(h.stops), 0)
	assert.Equal(t, len(h.core.workers["w0"].runs), 1)
	assert.Assert(t, slices.ContainsFunc(h.notes, func(n Note) bool { return n.Job == "urgent" && n.Why == "zone evacuated: "+closedZone }))
	h.endRun(started[0], job.EndDone)
	assert.Equal(t, len(h.starts), 0)
	h.evacuate()
	assert.Equal(t, len(h.starts), 1)
}

func TestGangThatLosesAMemberInAnEvacuatedZoneStartsElsewhere(t *testing.T) {
	h := zonedHarness(t, 12)
	h.add(gang("g", 1, 6, whole))
	started := h.accept()
	h.evacuate(started[0].Zone)
	h.endRun(started[0], job.EndFailed)
	for _, s := range started[1:] {
		h.endRun(s, job.EndBroken)
	}
	h.advance(2 * time.Second)
	assert.Equal(t, len(h.starts), 6)
	assert.Equal(t, h.startsIn(started[0].Zone), 0)
}

func TestGuaranteesAreReclaimedInOpenZonesAndTheirShortfallIsKnown(t *testing.T) {
	h := zonedHarness(t, 7)
	h.add(single("low", 2, 56, one))
	h.accept()
	assert.Equal(t, h.core.GuaranteeShortfall(), int64(0))
	h.evacuate(closedZone)
	assert.Equal(t, h.core.GuaranteeShortfall(), int64(8))
	h.add(single("urgent", 0, 1, whole))
	assert.Equal(t, len(h.stops), 8)
	for _, s := range h.stops {
		assert.Equal(t, s.Worker, "w6")
	}
	h.evacuate()
	assert.Equal(t, h.core.GuaranteeShortfall(), int64(0))
}

func TestWorkWaitsWhileAllZonesAreEvacuatedAndStartsAtOnceAfterwards(t *testing.T) {
	h := zonedHarness(t, 12)
	h.evacuate(closedZone, openZone)
	h.add(gang("g", 1, 12, whole))
	h.add(single("urgent", 0, 3, one))
	h.advance(10 * time.Second)
	assert.Equal(t, len(h.starts)+len(h.stops), 0)
	reachable, listed := h.core.CountReachable()
	assert.Equal(t, reachable+listed, 0)
	h.evacuate(closedZone)
	assert.Equal(t, len(h.starts), 3)
	assert.Equal(t, h.startsIn(closedZone), 0)
}

// A zone is evacuated that is also cut off. Its idle workers are probed for use only after the evacuation.
func TestIdleWorkersOfAnEvacuatedZoneAreNotProbed(t *testing.T) {
	h := zonedHarness(t, 7)
	h.add(single("j", 1, 1, whole))
	h.evacuate(closedZone)
	s := h.starts[0]
	assert.Equal(t, s.Zone, closedZone)
	h.core.StartAnswered(h.clock(), s, NoConnection)
	h.probes = nil
	h.advance(5 * time.Second)
	assert.Equal(t, len(h.probes), 0)
	assert.Equal(t, h.startsIn(openZone), 1)
	h.evacuate()
	assert.Equal(t, h.probes[0].Worker, s.Worker)
}

func TestNothingStartsAnywhereWhileStartsAreHeld(t *testing.T) {
	h := zonedHarness(t, 12)
	h.core.HoldStarts(h.clock(), true)
	h.add(single("j", 0, 2, one))
	h.add(gang("g", 1, 2, one))
	h.advance(3 * time.Second)
	assert.Equal(t, len(h.starts), 0)
	h.core.HoldStarts(h.clock(), false)
	h.flush()
	assert.Equal(t, len(h.starts), 4)
}

// A new leader adopts placements in an evacuated zone. Those that the former leader had not started yet
// start elsewhere.
func TestPlacementThatTheFormerLeaderDidNotStartLeavesTheEvacuatedZone(t *testing.T) {
	h := zonedHarness(t, 12)
	h.evacuate(closedZone)
	started, unsent := job.TaskID{Job: "j"}, job.TaskID{Job: "j", Index: 1}
	h.core.AddJob(h.clock(), single("j", 1, 2, one), map[string]job.TaskRecord{
		started.String(): {Run: 1, Worker: "w0", Incarnation: 1, Active: true}, unsent.String(): {Run: 1, Worker: "w0", Incarnation: 1, Active: true},
	})
	h.flush()
	h.answerProbe("w0", WorkerReport{Incarnation: 1, ClockMs: 10, Running: []RunInProgress{{Task: started.String(), Run: 1, Percent: 40}}})
	assert.Equal(t, len(h.stops), 0)
	assert.Equal(t, len(h.starts), 1)
	assert.Equal(t, h.starts[0].Zone, openZone)
	assert.Equal(t, h.starts[0].Task, unsent)
}

// The machines of an evacuated zone have their upkeep as well; the tasks that are moved for it start elsewhere.
func TestUpkeepInAnEvacuatedZoneMovesTasksToOpenZones(t *testing.T) {
	h := zonedHarness(t, 7)
	h.add(lastingJob("lasting", 1, one))
	s := h.accept()[0]
	h.advance(time.Second)
	h.answerProbe(s.Worker, h.allRunning(s.Worker, servingPercent))
	h.evacuate(s.Zone)
	h.core.AddWave(Wave{Number: 1, Machines: []string{"m"}, DueMs: 60000, MaxUnavailable: 1}, WaveProgress{})
	h.core.SetMachines(h.clock(), h.now, []Machine{{ID: "m", Worker: s.Worker, Up: true}})
	h.flush()
	assert.Equal(t, len(h.stops), 1)
	h.endRun(s, job.EndStopped)
	assert.Equal(t, len(h.starts), 1)
	assert.Assert(t, h.starts[0].Zone != s.Zone)
}

// Workers may be cold when an evacuation is taken back.
func TestWarmWorkersArePreferredToColdOnesUntilTheseAreWarm(t *testing.T) {
	h := newHarness(t)
	fleet := h.fleet(2, whole)
	fleet[0].ColdRemaining = 2 * time.Second
	h.core.SetWorkers(h.clock(), fleet)
	h.add(single("a", 1, 1, one))
	assert.Equal(t, h.starts[0].Worker, "w1")
	h.add(single("b", 1, 8, one))
	assert.Equal(t, h.starts[8].Worker, "w0", "a cold worker is better than none")
	h.now += 3 * time.Second
	h.core.SetWorkers(h.clock(), fleet)
	assert.Assert(t, !h.core.workers["w0"].cold)
}
