package dispatch

import (
	"errors"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"agatewinch/internal/core/job"
)

// advised makes j a job that needs the advisory service.
func advised(j *job.Job) *job.Job {
	j.Advised, j.TicketValidity = true, 4*time.Second
	return j
}

// answerAdvice answers the oldest open request: the named workers are eligible for the step.
func (b *harness) answerAdvice(eligible ...string) AdviceRequest {
	b.t.Helper()
	assert.Assert(b.t, len(b.adviceRequests) > 0, "no advice request is open")
	ask := b.adviceRequests[0]
	b.adviceRequests = b.adviceRequests[1:]
	var tickets []Ticket
	for _, id := range eligible {
		if slices.Contains(ask.Workers, id) {
			tickets = append(tickets, Ticket{Worker: id, Value: ask.Step + "/" + id})
		}
	}
	b.core.Advised(b.clock(), ask, tickets, nil)
	b.flush()
	return ask
}

func advisedHarness(t *testing.T) *harness {
	b := newHarness(t)
	b.core.SetWorkers(b.clock(), b.fleet(6, job.Resources{CPU: 32000, MemMB: 64000, Accelerators: 8}))
	return b
}

var wholeWorkerNeed = job.Resources{CPU: 32000, MemMB: 1000, Accelerators: 8}

func TestAdvisedTasksStartOnlyOnEligibleWorkers(t *testing.T) {
	b := advisedHarness(t)
	b.add(advised(single("j", 1, 2, wholeWorkerNeed)))
	assert.Equal(t, len(b.starts), 0)
	ask := b.answerAdvice("w3", "w5")
	assert.Equal(t, ask.Step, "j.0.0")
	assert.Equal(t, len(ask.Workers), 6)
	assert.Equal(t, len(b.starts), 2)
	for _, s := range b.starts {
		assert.Assert(t, s.Worker == "w3" || s.Worker == "w5", s.Worker)
		assert.Equal(t, s.Ticket, "j.0.0/"+s.Worker)
	}
}

func TestAnAdvisedGangWaitsForTicketsAndStartsWhole(t *testing.T) {
	b := advisedHarness(t)
	b.add(advised(gang("g", 1, 3, wholeWorkerNeed)))
	b.answerAdvice("w0", "w2", "w4")
	assert.Equal(t, len(b.starts), 3)
}

func TestAnExpiredTicketIsRequestedAgain(t *testing.T) {
	b := advisedHarness(t)
	b.add(advised(single("j", 1, 2, wholeWorkerNeed)))
	b.answerAdvice("w1")
	first := b.accept()
	assert.Equal(t, len(first), 1)
	b.advance(5 * time.Second) // the ticket expires while the worker is full
	b.endRun(first[0], job.EndDone)
	assert.Equal(t, len(b.starts), 0)
	ask := b.answerAdvice("w1")
	assert.DeepEqual(t, ask.Workers, []string{"w1"}) // the verdicts on the other workers remain valid
	assert.Equal(t, len(b.starts), 1)
	assert.Equal(t, b.starts[0].Worker, "w1")
}

func TestARefusedTicketIsRequestedAgainAndCountsAsNoAttempt(t *testing.T) {
	b := advisedHarness(t)
	b.add(advised(single("j", 1, 1, wholeWorkerNeed)))
	b.answerAdvice("w1")
	for range 5 {
		s := b.starts[0]
		b.starts = nil
		b.core.Started(b.clock(), s, RefusedTicket)
		b.advance(time.Second)
		b.answerAdvice("w1")
		assert.Equal(t, len(b.starts), 1)
	}
	assert.Equal(t, b.starts[0].Run, 6)
}

func TestAFailedAdviceRequestIsRepeatedAndDelaysNoOtherJob(t *testing.T) {
	b := advisedHarness(t)
	b.add(advised(single("j", 1, 1, wholeWorkerNeed)))
	b.add(single("other", 1, 1, wholeWorkerNeed))
	assert.Equal(t, len(b.starts), 1)
	for range 3 {
		assert.Equal(t, len(b.adviceRequests), 1)
		b.core.Advised(b.clock(), b.adviceRequests[0], nil, errors.New("no answer"))
		b.adviceRequests = nil
		b.advance(adviceRetry)
	}
	b.answerAdvice("w2")
	assert.Equal(t, len(b.starts), 2)
}

func TestOpenAdviceRequestsAreBounded(t *testing.T) {
	b := advisedHarness(t)
	for _, id := range []string{"a", "b", "c", "d", "e", "f"} {
		b.add(advised(single(id, 1, 1, wholeWorkerNeed)))
	}
	assert.Equal(t, len(b.adviceRequests), maxOpenAdvice)
	b.answerAdvice("w0")
	assert.Equal(t, len(b.adviceRequests), maxOpenAdvice)
}

func TestANewIncarnationNeedsATicketOfItsOwn(t *testing.T) {
	b := advisedHarness(t)
	b.add(advised(single("j", 1, 2, wholeWorkerNeed)))
	b.answerAdvice("w1")
	b.accept()
	b.answerProbe("w1", WorkerReport{Incarnation: 1, ClockMs: 10})
	list := b.fleet(6, job.Resources{CPU: 32000, MemMB: 64000, Accelerators: 8})
	list[1].Incarnation = 2
	b.core.SetWorkers(b.clock(), list)
	b.advance(time.Second)
	assert.Equal(t, len(b.starts), 0)
	assert.DeepEqual(t, b.answerAdvice("w1").Workers, []string{"w1"})
	assert.Equal(t, len(b.starts), 1)
}

func TestUrgentAdvisedWorkPreemptsOnEligibleWorkers(t *testing.T) {
	b := advisedHarness(t)
	b.add(single("low", 2, 6, wholeWorkerNeed))
	b.accept()
	urgent := advised(single("u", 0, 1, wholeWorkerNeed))
	b.core.SetGuarantees(map[string]int64{"org": 8})
	b.add(urgent)
	b.answerAdvice("w4")
	assert.Equal(t, len(b.stops), 1)
	assert.Equal(t, b.stops[0].Worker, "w4")
}
