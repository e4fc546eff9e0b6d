package dispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"agatewinch/internal/core/estimate"
	"agatewinch/internal/core/job"
)

// speedHarness returns a harness with a fleet of 12 workers on which tasks of 5 s have run, off by up to a
// tenth. They took twice as long on the workers that slow names.
func speedHarness(t *testing.T, slow func(worker int) bool) *harness {
	t.Helper()
	h := newHarness(t)
	h.core.SetWorkers(h.clock(), h.fleet(12, whole))
	for i := range 600 {
		ran := 5 * time.Second * time.Duration(90+i%21) / 100
		if slow(i % 12) {
			ran *= 2
		}
		h.core.estimates.ObserveEnd(h.now, estimate.Kind{Org: "org"}, fmt.Sprintf("w%d", i%12), 5*time.Second, ran)
	}
	h.now += speedRefresh
	return h
}

// everyThird names every third worker.
func everyThird(worker int) bool { return worker%3 == 0 }

// startedOn returns the workers of the collected starts, each once.
func (h *harness) startedOn() []string {
	var ids []string
	for _, s := range h.accept() {
		ids = append(ids, s.Worker)
	}
	slices.Sort(ids)
	return slices.Compact(ids)
}

var slowThird = []string{"w0", "w3", "w6", "w9"}

func anySlow(ids []string) bool {
	return slices.ContainsFunc(ids, func(id string) bool { return slices.Contains(slowThird, id) })
}

func TestUrgentWorkUsesFastWorkers(t *testing.T) {
	for _, j := range []*job.Job{single("j", urgentPriority, 6, whole), gang("j", urgentPriority, 6, whole)} {
		h := speedHarness(t, everyThird)
		j.Stretch = 1.5
		h.add(j)
		on := h.startedOn()
		assert.Equal(t, len(on), 6)
		assert.Assert(t, !anySlow(on), "%v", on)
	}
}

func TestWorkThatCanWaitUsesSlowWorkers(t *testing.T) {
	h := speedHarness(t, everyThird)
	h.add(single("j", 1, 4, whole))
	assert.DeepEqual(t, h.startedOn(), slowThird)
}

// A gang that needs one worker more than there are slow ones would keep five fast workers for twice the
// time.
func TestGangUsesWorkersOfLikeSpeed(t *testing.T) {
	h := speedHarness(t, everyThird)
	h.add(gang("j", 1, 5, whole))
	on := h.startedOn()
	assert.Equal(t, len(on), 5)
	assert.Assert(t, !anySlow(on), "%v", on)
}

func TestGangPrefersTheRackWhoseSlowestWorkerIsFaster(t *testing.T) {
	h := speedHarness(t, func(worker int) bool { return worker == 1 })
	j := gang("j", urgentPriority, 6, whole)
	j.Steps[0].SameRack, j.Stretch = true, 1.5
	h.add(j)
	assert.DeepEqual(t, h.startedOn(), []string{"w10", "w11", "w6", "w7", "w8", "w9"})
}

// report answers a worker's probe with the given progress of all its runs.
func (h *harness) report(id string, percent int) {
	h.t.Helper()
	rep := WorkerReport{Incarnation: 1, ClockMs: h.now.Milliseconds() + 1, Running: []RunInProgress{}}
	for _, r := range h.core.workers[id].orderedRuns() {
		rep.Running = append(rep.Running, RunInProgress{Task: r.task.id.String(), Run: r.number, Percent: percent})
	}
	h.answerProbe(id, rep)
}

func (h *harness) countNotes(kind string) int {
	n := 0
	for _, note := range h.notes {
		if note.Kind == kind {
			n++
		}
	}
	return n
}

func TestWorkerThatTurnsSlowIsNotedOnceAndWhenItRecovers(t *testing.T) {
	h := speedHarness(t, func(int) bool { return false })
	j := gang("j", 1, 4, whole)
	j.Steps[0].Estimate = 20 * time.Second
	h.add(j)
	on := h.startedOn()
	for i, percent := range []int{2, 4, 14, 24} {
		h.now += 2 * time.Second
		for n, id := range on[1:] {
			h.report(id, 10*(i+1)+n%2)
		}
		h.report(on[0], percent)
	}
	assert.Equal(t, h.countNotes("worker slow"), 1)
	assert.Equal(t, h.countNotes("worker recovered"), 1)
}

// slowWorkers makes a run of 10 s on each of some workers report a fifth of its usual progress.
func (h *harness) slowWorkers(ids ...string) {
	for percent := 4; percent <= 8; percent += 4 {
		h.now += 2 * time.Second
		for _, id := range ids {
			h.core.estimates.ObserveProgress(h.now, id, estimate.Progress{Run: id, Kind: estimate.Kind{Org: "org"}, Declared: 10 * time.Second, Percent: percent, StartedAt: h.now - time.Duration(percent/2)*time.Second})
		}
	}
}

// All workers but slow ones are full. Starting on those takes five times as long, and the others come
// free much sooner.
func TestWorkWaitsForAWorkerThatIsNotSlow(t *testing.T) {
	for _, wait := range []time.Duration{2 * time.Second, time.Hour} {
		h := speedHarness(t, func(int) bool { return false })
		h.slowWorkers("w0", "w1", "w2")
		full := single("full", 1, 9, whole)
		full.Steps[0].Estimate = wait
		h.add(full)
		assert.Equal(t, len(h.startedOn()), 9)
		j := gang("j", 1, 3, whole)
		j.Steps[0].Estimate, j.Stretch = 10*time.Second, 20
		h.add(j)
		if wait < time.Hour {
			assert.Equal(t, len(h.starts), 0)
		} else {
			assert.Equal(t, len(h.starts), 3, "the others stay full")
		}
	}
}

// Guards against a task that waits for fast workers with free capacity on which its step has reached its limit of
// tasks per worker, while a slow one, on which it would end sooner, is idle.
func TestWorkDoesNotWaitForFastWorkersOnWhichItsStepIsAtItsLimit(t *testing.T) {
	h := newHarness(t)
	h.core.SetWorkers(h.clock(), h.fleet(2, whole))
	for i, ran := range []time.Duration{5 * time.Second, 13 * time.Second} {
		for range 50 {
			h.core.estimates.ObserveEnd(h.now, estimate.Kind{Org: "org"}, fmt.Sprintf("w%d", i), 5*time.Second, ran)
		}
	}
	h.now += speedRefresh
	j := single("j", 1, 2, one)
	j.Steps[0].MaxPerWorker = 1
	h.add(j)
	assert.DeepEqual(t, h.startedOn(), []string{"w0", "w1"})
}

func TestRunThatHasOutlivedItsKindsMedianIsExpectedToGoOn(t *testing.T) {
	h := speedHarness(t, func(int) bool { return false })
	h.add(single("j", 1, 1, whole))
	s := h.accept()[0]
	h.now += 8 * time.Second
	h.report(s.Worker, 0)
	assert.Assert(t, s.run.expectedEnd() > h.now, "%v at %v", s.run.expectedEnd(), h.now)
}

func TestResumedRunIsExpectedToEndByTheProgressSinceItResumed(t *testing.T) {
	h := newHarness(t)
	h.core.SetWorkers(h.clock(), h.fleet(1, whole))
	h.add(single("j", 1, 1, whole))
	s := h.accept()[0]
	s.run.resumedFrom = "checkpoint"
	h.now += time.Second
	h.report(s.Worker, 50)
	h.now += 2 * time.Second
	h.report(s.Worker, 60)
	assert.Equal(t, s.run.expectedEnd(), h.now+8*time.Second)
}

// The declared time of 5 s would end before the gang's start, but one run in ten takes far longer.
func TestWorkOnReservedCapacityEndsBeforeTheGangStartsAlsoIfItTakesLong(t *testing.T) {
	for _, tail := range []bool{false, true} {
		h := newHarness(t)
		h.core.SetWorkers(h.clock(), h.fleet(1, whole))
		for i := range 100 {
			ran := 5 * time.Second
			if tail && i%5 == 0 {
				ran *= 7
			}
			h.core.estimates.ObserveEnd(0, estimate.Kind{Org: "org"}, fmt.Sprint("elsewhere", i), 5*time.Second, ran)
		}
		long := single("long", 1, 1, one)
		long.Steps[0].Estimate = 8 * time.Second
		h.add(long)
		h.accept()
		h.add(gang("gang", 1, 1, whole))
		h.add(single("small", 2, 1, one))
		assert.Equal(t, len(h.starts) == 0, tail)
	}
}

func TestLearnedRunTimesAreNotedFromTimeToTime(t *testing.T) {
	h := speedHarness(t, func(int) bool { return false })
	h.advance(2*runTimesInterval + time.Second)
	assert.Equal(t, h.countNotes("run times learned"), 2)
}

func TestSpeedOfAMachineIsKeptAcrossItsUpkeep(t *testing.T) {
	h := speedHarness(t, everyThird)
	before := h.core.estimates.LastingSlowdown("w3")
	h.core.SetMachines(h.clock(), h.now, []Machine{{ID: "m3", Worker: "w3", Up: true}})
	h.core.SetMachines(h.clock(), h.now, []Machine{{ID: "m3", Worker: "next", Up: true}})
	assert.Assert(t, before > 1.4)
	assert.Equal(t, h.core.estimates.LastingSlowdown("next"), before)
}

// A new leader knows nothing of speeds. It learns them from the runs that it adopts.
func TestNewLeaderLearnsSpeedsFromAdoptedRuns(t *testing.T) {
	h := newHarness(t)
	h.core.SetWorkers(h.clock(), h.fleet(4, whole))
	j := gang("j", 1, 4, whole)
	records := map[string]job.TaskRecord{}
	for i := range 4 {
		id := job.TaskID{Job: "j", Index: i}
		records[id.String()] = job.TaskRecord{Run: 1, Worker: fmt.Sprintf("w%d", i), Incarnation: 1, Active: true, Started: true}
	}
	h.core.AddJob(h.clock(), j, records)
	h.flush()
	for percent := 20; percent <= 60; percent += 20 {
		h.now += 2 * time.Second
		h.report("w0", percent/2)
		for i := 1; i < 4; i++ {
			h.report(fmt.Sprintf("w%d", i), percent)
		}
	}
	assert.Assert(t, h.core.estimates.LastingSlowdown("w0") > 1.2*h.core.estimates.LastingSlowdown("w1"))
}
