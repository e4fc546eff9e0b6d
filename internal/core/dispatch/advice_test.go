package dispatch

import (
	"errors"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"agatewinch/internal/core/job"
)

// advised makes j a job for which the advisory service decides where it may run.
func advised(j *job.Job) *job.Job {
	j.Advised, j.TicketValidity = true, 4*time.Second
	return j
}

// answerAdvice answers the oldest open request: of the workers that it names, the given ones are
// eligible for the step.
func (h *harness) answerAdvice(eligible ...string) AdviceRequest {
	h.t.Helper()
	assert.Assert(h.t, len(h.adviceRequests) > 0, "no advice request is open")
	req := h.adviceRequests[0]
	h.adviceRequests = h.adviceRequests[1:]
	var tickets []Ticket
	for _, id := range eligible {
		if slices.Contains(req.Workers, id) {
			tickets = append(tickets, Ticket{Worker: id, Value: req.Step + "/" + id})
		}
	}
	h.core.AdviceAnswered(h.clock(), req, tickets, nil)
	h.flush()
	return req
}

func advisedHarness(t *testing.T) *harness {
	h := newHarness(t)
	h.core.SetWorkers(h.clock(), h.fleet(6, job.Resources{CPU: 32000, MemMB: 64000, Accelerators: 8}))
	return h
}

var wholeWorkerNeed = job.Resources{CPU: 32000, MemMB: 1000, Accelerators: 8}

func TestAdvisedTasksStartOnlyOnEligibleWorkers(t *testing.T) {
	h := advisedHarness(t)
	h.add(advised(single("j", 1, 2, wholeWorkerNeed)))
	assert.Equal(t, len(h.starts), 0)
	req := h.answerAdvice("w3", "w5")
	assert.Equal(t, req.Step, "j.0.0")
	assert.Equal(t, len(req.Workers), 6)
	assert.Equal(t, len(h.starts), 2)
	for _, s := range h.starts {
		assert.Assert(t, s.Worker == "w3" || s.Worker == "w5", s.Worker)
		assert.Equal(t, s.Ticket, "j.0.0/"+s.Worker)
	}
}

func TestAnAdvisedGangWaitsForTicketsAndStartsWhole(t *testing.T) {
	h := advisedHarness(t)
	h.add(advised(gang("g", 1, 3, wholeWorkerNeed)))
	h.answerAdvice("w0", "w2", "w4")
	assert.Equal(t, len(h.starts), 3)
}

func TestAnExpiredTicketIsRequestedAgain(t *testing.T) {
	h := advisedHarness(t)
	h.add(advised(single("j", 1, 2, wholeWorkerNeed)))
	h.answerAdvice("w1")
	first := h.accept()
	assert.Equal(t, len(first), 1)
	h.advance(5 * time.Second) // the ticket expires while the worker is full
	h.endRun(first[0], job.EndDone)
	assert.Equal(t, len(h.starts), 0)
	req := h.answerAdvice("w1")
	assert.DeepEqual(t, req.Workers, []string{"w1"}) // the verdicts on the other workers remain valid
	assert.Equal(t, len(h.starts), 1)
	assert.Equal(t, h.starts[0].Worker, "w1")
}

func TestARefusedTicketIsRequestedAgainAndCountsAsNoAttempt(t *testing.T) {
	h := advisedHarness(t)
	h.add(advised(single("j", 1, 1, wholeWorkerNeed)))
	h.answerAdvice("w1")
	for range 5 {
		s := h.starts[0]
		h.starts = nil
		h.core.StartAnswered(h.clock(), s, RefusedTicket)
		h.advance(time.Second)
		h.answerAdvice("w1")
		assert.Equal(t, len(h.starts), 1)
	}
	assert.Equal(t, h.starts[0].Run, 6)
}

func TestAFailedAdviceRequestIsRepeatedAndDelaysNoOtherJob(t *testing.T) {
	h := advisedHarness(t)
	h.add(advised(single("j", 1, 1, wholeWorkerNeed)))
	h.add(single("other", 1, 1, wholeWorkerNeed))
	assert.Equal(t, len(h.starts), 1)
	for range 3 {
		assert.Equal(t, len(h.adviceRequests), 1)
		h.core.AdviceAnswered(h.clock(), h.adviceRequests[0], nil, errors.New("no answer"))
		h.adviceRequests = nil
		h.advance(adviceRetry)
	}
	h.answerAdvice("w2")
	assert.Equal(t, len(h.starts), 2)
}

func TestOpenAdviceRequestsAreBounded(t *testing.T) {
	h := advisedHarness(t)
	for _, id := range []string{"a", "b", "c", "d", "e", "f"} {
		h.add(advised(single(id, 1, 1, wholeWorkerNeed)))
	}
	assert.Equal(t, len(h.adviceRequests), maxOpenAdvice)
	h.answerAdvice("w0")
	assert.Equal(t, len(h.adviceRequests), maxOpenAdvice)
}

func TestANewIncarnationNeedsATicketOfItsOwn(t *testing.T) {
	h := advisedHarness(t)
	h.add(advised(single("j", 1, 2, wholeWorkerNeed)))
	h.answerAdvice("w1")
	h.accept()
	h.answerProbe("w1", WorkerReport{Incarnation: 1, ClockMs: 10})
	list := h.fleet(6, job.Resources{CPU: 32000, MemMB: 64000, Accelerators: 8})
	list[1].Incarnation = 2
	h.core.SetWorkers(h.clock(), list)
	h.advance(time.Second)
	assert.Equal(t, len(h.starts), 0)
	assert.DeepEqual(t, h.answerAdvice("w1").Workers, []string{"w1"})
	assert.Equal(t, len(h.starts), 1)
}

func TestUrgentAdvisedWorkPreemptsOnEligibleWorkers(t *testing.T) {
	h := advisedHarness(t)
	h.add(single("low", 2, 6, wholeWorkerNeed))
	h.accept()
	urgent := advised(single("u", 0, 1, wholeWorkerNeed))
	h.core.SetGuarantees(map[string]int64{"org": 8})
	h.add(urgent)
	h.answerAdvice("w4")
	assert.Equal(t, len(h.stops), 1)
	assert.Equal(t, h.stops[0].Worker, "w4")
}

// everywhere answers the oldest open request: all workers that it names are eligible.
func (h *harness) everywhere() AdviceRequest {
	h.t.Helper()
	assert.Assert(h.t, len(h.adviceRequests) > 0, "no advice request is open")
	return h.answerAdvice(h.adviceRequests[0].Workers...)
}

// lastingAdvised returns an advised job of long-running tasks with a limit per worker, of which each is small
// beside a worker. Its tickets outlive the test, unless it is about their end.
func lastingAdvised(count, maxPerWorker int) *job.Job {
	j := advised(single("lasting", 2, count, one))
	j.TicketValidity = time.Hour
	j.Steps[0].LongRunning, j.Steps[0].MaxPerWorker = true, maxPerWorker
	return j
}

// answerProbes lets all workers that are listed list the runs that they have.
func (h *harness) answerProbes() {
	for _, p := range slices.Clone(h.probes) {
		if !h.core.workers[p.Worker].listed {
			continue
		}
		h.answerProbe(p.Worker, WorkerReport{Incarnation: h.core.workers[p.Worker].Incarnation, ClockMs: h.now.Milliseconds() + 1})
	}
}

// Guards against a long-running task that never runs again after its worker has restarted: the workers with
// tickets were at the step's limit, their free capacity counted all the same, and nobody was asked about others.
func TestAdvisedTaskRunsAgainAfterItsWorkerRestarts(t *testing.T) {
	for _, maxPerWorker := range []int{1, 2} {
		h := newHarness(t)
		h.core.SetWorkers(h.clock(), h.fleet(4, whole))
		h.add(lastingAdvised(4*maxPerWorker, maxPerWorker))
		h.everywhere()
		assert.Equal(t, len(h.accept()), 4*maxPerWorker)
		h.answerProbes()
		list := h.fleet(6, whole)
		list[1].Incarnation = 2
		h.core.SetWorkers(h.clock(), list)
		h.flush()
		assert.Equal(t, len(h.everywhere().Workers), 3, "the restarted worker and the two new ones")
		assert.Equal(t, len(h.starts), maxPerWorker)
	}
}

// Guards against a long-running task whose worker has left for good, while new ones have joined that nobody was
// asked about.
func TestAdvisedTaskOfAWorkerThatHasLeftRunsElsewhere(t *testing.T) {
	h := newHarness(t)
	h.core.SetWorkers(h.clock(), h.fleet(4, whole))
	h.add(lastingAdvised(4, 1))
	h.everywhere()
	lost := h.accept()[0]
	h.answerProbes()
	list := slices.DeleteFunc(h.fleet(6, whole), func(w WorkerInfo) bool { return w.ID == lost.Worker })
	h.core.SetWorkers(h.clock(), list)
	for i := 0; i < 60 && len(h.adviceRequests) == 0; i++ {
		for _, p := range slices.Clone(h.probes) {
			if p.Worker == lost.Worker {
				h.failProbe(p, Unanswered)
			}
		}
		h.answerProbes()
		h.advance(250 * time.Millisecond)
	}
	h.everywhere()
	assert.Equal(t, len(h.starts), 1)
}

// Guards against tasks that never start because a request names a part of the workers only: those had reached the
// step's limit, and nobody was asked about the rest.
func TestAdvisedStepThatNeedsSeveralRequestsStartsWhole(t *testing.T) {
	h := newHarness(t)
	const count = 2*maxAdviceWorkers + 20
	h.core.SetWorkers(h.clock(), h.fleet(count, whole))
	h.add(lastingAdvised(count, 1))
	for _, n := range []int{maxAdviceWorkers, maxAdviceWorkers, 20} {
		h.everywhere()
		assert.Equal(t, len(h.accept()), n)
	}
}

// Guards against requests that name, again and again, workers whose tickets have expired and that have reached the
// step's limit, and never those that could run its task.
func TestWorkersAtTheLimitOfTheStepAreNotNamedForExpiredTickets(t *testing.T) {
	h := newHarness(t)
	const count = maxAdviceWorkers + 5
	h.core.SetWorkers(h.clock(), h.fleet(count, whole))
	j := lastingAdvised(count, 1)
	j.TicketValidity = 4 * time.Second
	h.add(j)
	h.everywhere()
	h.everywhere()
	assert.Equal(t, len(h.accept()), count)
	h.answerProbes()
	h.advance(5 * time.Second)
	list := h.fleet(count+1, whole)
	list[1].Incarnation = 2
	h.core.SetWorkers(h.clock(), list)
	h.flush()
	assert.Equal(t, len(h.everywhere().Workers), 2)
	assert.Equal(t, len(h.starts), 1)
}

// Guards against a task that waits for a worker with a ticket whose free capacity is reserved for a gang, while
// nobody is asked about another worker that is free.
func TestAdvisedTaskBesideAReservationAsksAboutOtherWorkers(t *testing.T) {
	h := newHarness(t)
	list := h.fleet(3, whole)
	list[2].Capacity.Accelerators = 4
	h.core.SetWorkers(h.clock(), list[:2])
	h.add(single("busy", 1, 2, whole))
	busy := h.accept()
	j := advised(single("j", 2, 1, one))
	j.TicketValidity, j.Steps[0].Estimate = time.Hour, time.Minute
	h.add(j)
	h.everywhere()
	h.core.AddJob(h.clock(), gang("g", 1, 2, whole), nil)
	h.core.SetWorkers(h.clock(), list)
	h.endRun(busy[0], job.EndDone)
	assert.Equal(t, len(h.starts), 0)
	assert.DeepEqual(t, h.everywhere().Workers, []string{"w2"})
	assert.Equal(t, len(h.starts), 1)
}

// Guards against a task that avoids the worker on which it has failed and waits for work on the only other one with
// a ticket to end, while nobody is asked about a third, which is free.
func TestAdvisedTaskThatAvoidsAWorkerAsksAboutOthers(t *testing.T) {
	h := newHarness(t)
	h.core.SetWorkers(h.clock(), h.fleet(2, whole))
	j := advised(single("j", 1, 1, one))
	j.TicketValidity = time.Hour
	h.add(j)
	h.everywhere()
	failing := h.accept()[0]
	h.add(single("busy", 1, 1, whole))
	h.accept()
	h.core.SetWorkers(h.clock(), h.fleet(3, whole))
	h.endRun(failing, job.EndFailed)
	assert.Equal(t, len(h.starts), 0)
	assert.DeepEqual(t, h.everywhere().Workers, []string{"w2"})
	assert.Equal(t, len(h.starts), 1)
}

// Guards against urgent work that waits for workers with tickets which other urgent work holds, for good or for a
// while, though it could preempt work on another one that nobody was asked about.
func TestUrgentAdvisedWorkPreemptsWhereItMayAndNotOnlyWhereItHasTickets(t *testing.T) {
	for _, longRunning := range []bool{true, false} {
		h := newHarness(t)
		h.core.SetWorkers(h.clock(), h.fleet(maxAdviceWorkers+1, whole))
		h.core.SetGuarantees(map[string]int64{"org": 8 * (maxAdviceWorkers + 1)})
		held := single("held", 0, maxAdviceWorkers, whole)
		held.Steps[0].LongRunning = longRunning
		h.add(held)
		h.add(single("low", 2, 1, whole))
		h.accept()
		urgent := advised(single("u", 0, 1, whole))
		urgent.TicketValidity = time.Hour
		h.add(urgent)
		h.everywhere()
		assert.Equal(t, len(h.stops), 1)
		assert.Equal(t, h.stops[0].Task.Job, "low")
	}
}

// Guards against a long-running task that waits for workers with tickets which other long-running tasks hold for
// good, while nobody is asked about one on which work will end.
func TestAdvisedWorkWaitsForWorkThatEnds(t *testing.T) {
	h := newHarness(t)
	h.core.SetWorkers(h.clock(), h.fleet(maxAdviceWorkers+1, whole))
	held := single("held", 1, maxAdviceWorkers, whole)
	held.Steps[0].LongRunning = true
	h.add(held)
	h.add(single("ends", 1, 1, whole))
	started := h.accept()
	h.add(lastingAdvised(1, 0))
	assert.DeepEqual(t, h.everywhere().Workers, []string{started[maxAdviceWorkers].Worker})
}

// Guards against a step that waits while its tickets expire and that asks again only after some other event: on a
// quiet system there is none.
func TestWaitingStepAsksAgainOnceItsTicketsHaveExpired(t *testing.T) {
	h := newHarness(t)
	h.core.SetWorkers(h.clock(), h.fleet(1, whole))
	h.add(advised(single("j", 1, 2, whole)))
	h.everywhere()
	h.accept()
	wake := h.core.Wake()
	assert.Assert(t, wake > h.now && wake <= h.now+4*time.Second, "%v", wake)
	h.now = wake
	h.flush()
	assert.DeepEqual(t, h.everywhere().Workers, []string{"w0"})
}
