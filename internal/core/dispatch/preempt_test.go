package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"agatewinch/internal/core/job"
)

// Urgent work beyond its organisation's guarantee preempts at once on a full fleet instead of
// waiting for a preemption with less loss: it has only 3 s of slack, and the job whose run it stops
// has 8 s.
func TestUrgentWorkDoesNotWaitForCheaperPreemption(t *testing.T) {
	h := newHarness(t)
	h.core.SetWorkers(h.clock(), h.fleet(2, whole))
	h.add(single("busy", 2, 2, whole))
	h.accept()
	h.advance(3 * time.Second)
	u := gang("urgent", 0, 1, job.Resources{CPU: 4000, MemMB: 1000, Accelerators: 4})
	u.Steps[0].Estimate = time.Second
	h.add(u)
	assert.Equal(t, len(h.stops), 1)
}

// A gang behind many running tasks of lower priority waits while it has slack. Then it preempts
// them if they lose little.
func TestGangPreemptsLowerPriorityWorkWhenItMustStart(t *testing.T) {
	runScenario := func(checkpoints bool) *harness {
		h := newHarness(t)
		h.core.SetWorkers(h.clock(), h.fleet(2, whole))
		flood := single("flood", 2, 16, one)
		flood.Steps[0].Estimate = time.Minute
		flood.Steps[0].Checkpoints = checkpoints
		h.add(flood)
		assert.Equal(t, len(h.accept()), 16)
		h.add(gang("gang", 1, 2, job.Resources{CPU: 4000, MemMB: 4000, Accelerators: 4}))
		// Its objective is three times its estimate of 5 s, plus one second.
		h.advanceAnsweringProbes(8 * time.Second)
		assert.Equal(t, len(h.stops), 0)
		h.advanceAnsweringProbes(3 * time.Second)
		return h
	}
	assert.Equal(t, runScenario(true).stoppedTasks(), 8)
	assert.Equal(t, runScenario(false).stoppedTasks(), 0, "work without checkpoints would lose more than the gang is worth")
}

// advanceAnsweringProbes advances the time while all workers answer their probes.
func (h *harness) advanceAnsweringProbes(d time.Duration) {
	for end := h.now + d; h.now < end; {
		h.advance(time.Second)
		for _, p := range append([]Probe(nil), h.probes...) {
			h.answerProbe(p.Worker, WorkerReport{Incarnation: p.Incarnation, ClockMs: h.now.Milliseconds() + 1})
		}
	}
}

// stoppedTasks counts the tasks with at least one stop.
func (h *harness) stoppedTasks() int {
	tasks := map[job.TaskID]bool{}
	for _, s := range h.stops {
		tasks[s.Task] = true
	}
	return len(tasks)
}

// What stopping a task with checkpoints costs follows the platform's times, not those of one site.
func TestLossOfWorkWithCheckpointsIsTheTimeToStopAndRestore(t *testing.T) {
	for _, restore := range []time.Duration{0, 100 * time.Millisecond, 2 * time.Second} {
		h := newHarness(t)
		h.core.settings.RestoreTime = restore
		h.core.SetWorkers(h.clock(), h.fleet(1, whole))
		j := single("j", 2, 1, one)
		j.Steps[0].Checkpoints = true
		h.add(j)
		h.accept()
		h.now += 10 * time.Second
		w := h.core.workers["w0"]
		want := stopCost + (h.core.settings.MaxStopTime+restore).Seconds()*one.Cores()
		assert.Equal(t, h.core.lossOf(h.clock(), h.core.runsOf(w)[0]), want)
	}
}

// lastingTasks runs one long-running task of another organisation on each of n workers.
func lastingTasks(t *testing.T, n, maxUnavailable int) *harness {
	t.Helper()
	h := newHarness(t)
	h.core.SetGuarantees(map[string]int64{"org": 16})
	h.core.SetWorkers(h.clock(), h.fleet(n, whole))
	lasting := single("lasting", 2, n, whole)
	lasting.Org = "borrower"
	lasting.Steps[0].LongRunning, lasting.Steps[0].MaxUnavailable = true, maxUnavailable
	h.add(lasting)
	assert.Equal(t, len(h.accept()), n)
	h.advance(time.Second)
	for _, p := range append([]Probe(nil), h.probes...) {
		h.answerProbe(p.Worker, h.allRunning(p.Worker, servingPercent))
	}
	return h
}

// allRunning reports the runs of a worker with the given progress in percent.
func (h *harness) allRunning(worker string, percent int) WorkerReport {
	rep := WorkerReport{Incarnation: 1, ClockMs: h.now.Milliseconds() + 1}
	for _, r := range h.core.runsOf(h.core.workers[worker]) {
		rep.Running = append(rep.Running, RunInProgress{Task: r.task.id.String(), Run: r.number, Percent: percent})
	}
	return rep
}

// Guards against an organisation that cannot reclaim its guaranteed accelerators because long-running
// tasks of another one, which do not end by themselves, hold the whole fleet.
func TestGuaranteedWorkReclaimsFromLongRunningTasks(t *testing.T) {
	h := lastingTasks(t, 3, 0)
	h.add(single("urgent", urgentPriority, 2, whole))
	assert.Equal(t, len(h.stops), 2)
	for _, s := range h.stops {
		h.answerProbe(s.Worker, WorkerReport{Incarnation: 1, ClockMs: h.now.Milliseconds() + 1, Ended: []EndedRun{{Number: 1, Task: s.Task.String(), Run: s.Run, End: job.EndStopped}}})
	}
	assert.Equal(t, len(h.starts), 2)
	for _, s := range h.starts {
		assert.Equal(t, s.Task.Job, "urgent")
	}
}

// Long-running tasks serve users of their own: work without a claim to their capacity waits.
func TestUrgentWorkBeyondAGuaranteeLeavesLongRunningTasksAlone(t *testing.T) {
	h := lastingTasks(t, 3, 0)
	h.add(single("urgent", urgentPriority, 3, whole))
	h.advance(2 * time.Second)
	assert.Equal(t, len(h.stops), 0)
}

// Guards against a reclaim that makes more tasks of a step unavailable at once than the step allows.
func TestReclaimKeepsTheLimitOfUnavailableTasks(t *testing.T) {
	h := lastingTasks(t, 3, 1)
	h.add(single("urgent", urgentPriority, 1, whole))
	assert.Equal(t, len(h.stops), 1)
	h.add(single("urgent too", urgentPriority, 1, whole))
	h.advance(time.Second)
	assert.Equal(t, h.stoppedTasks(), 1)
	both := lastingTasks(t, 3, 1)
	both.add(gang("urgent", urgentPriority, 2, whole))
	assert.Equal(t, both.stoppedTasks(), 0, "one task of the gang could not be placed")
	allowed := lastingTasks(t, 3, 2)
	allowed.add(gang("urgent", urgentPriority, 2, whole))
	assert.Equal(t, allowed.stoppedTasks(), 2)
}

// Guards against a reclaim that stops a task while another of its step is lost with a crashed worker, whose
// lease has not expired.
func TestReclaimKeepsTheLimitBesideATaskOnACrashedWorker(t *testing.T) {
	h := lastingTasks(t, 3, 1)
	h.failProbe(h.probes[0], NoConnection)
	h.add(single("urgent", urgentPriority, 1, whole))
	h.advance(time.Second)
	assert.Equal(t, h.stoppedTasks(), 0)
}

// Guards against a task that starts on a worker which has restarted as another kind, without the label that the task
// requires, while a preemption was freeing capacity for the task there.
func TestPlanIsDroppedWhenItsWorkerRestartsAsAnotherKind(t *testing.T) {
	h := newHarness(t)
	h.core.SetWorkers(h.clock(), h.fleet(1, whole))
	h.add(single("low", 2, 1, whole))
	h.reportRuns("w0", h.accept()...)
	urgent := single("urgent", 0, 1, whole)
	urgent.Steps[0].Label = "a"
	h.add(urgent)
	assert.Equal(t, len(h.stops), 1)
	list := h.fleet(1, whole)
	list[0].Incarnation, list[0].Labels = 2, []string{"b"}
	h.core.SetWorkers(h.clock(), list)
	h.flush()
	for _, s := range h.starts {
		assert.Assert(t, s.Task.Job != "urgent", "started without its label")
	}
}
