package dispatch

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"agatewinch/internal/core/job"
)

const (
	// maxAdviceWorkers is how many workers one request may name. The advisory service's
	// response time grows with their number, and the operators' objectives allow for one
	// request naming 30 workers per step.
	maxAdviceWorkers = 30
	// maxOpenAdvice bounds the requests in flight. The service handles the requests of a host
	// one at a time, and refuses those of all hosts while 32 are queued.
	maxOpenAdvice = 4
	// adviceRetry is the delay before a failed request is repeated.
	adviceRetry = 300 * time.Millisecond
	// ticketMargin is the part of a ticket's validity that is reserved for recording the
	// placement and starting the run. It is at most 1/ticketMarginDivisor of the validity.
	ticketMargin        = 300 * time.Millisecond
	ticketMarginDivisor = 4
)

// AdviceRequest is a request to the advisory service: which of the workers may run a step.
type AdviceRequest struct {
	// Step is the step's name, composed of the job ID, the occurrence and the step's index.
	Step    string
	Workers []string

	step         *step
	incarnations []int64
}

// Ticket permits the tasks of a step to start on a worker.
type Ticket struct{ Worker, Value string }

// advice holds the advisory service's answers for a step.
type advice struct {
	verdicts map[*worker]verdict
	inFlight bool
	retryAt  time.Duration
	// withoutReason describes why no advice was requested when that was last noted.
	withoutReason string
}

// verdict is the advisory service's answer for one worker. A worker's eligibility to run the step
// does not change, but its ticket expires.
type verdict struct {
	// incarnation is the incarnation of the worker that the verdict applies to.
	incarnation int64
	eligible    bool
	ticket      string
	expiresAt   time.Duration
}

// verdictFor returns the verdict on the current incarnation of w, if there is one.
func (s *step) verdictFor(w *worker) (verdict, bool) {
	v, ok := s.advice.verdicts[w]
	return v, ok && v.incarnation == w.Incarnation
}

// ticketFor returns the ticket for a start on w, and whether the start is allowed. Steps of
// jobs that need no advice are always allowed.
func (s *step) ticketFor(now Now, w *worker) (ticket string, allowed bool) {
	if !s.job.spec.Advised {
		return "", true
	}
	v, ok := s.verdictFor(w)
	return v.ticket, ok && v.eligible && now.Mono < v.expiresAt
}

// requestAdvice asks the advisory service which workers may run s, if those with a ticket cannot take all of
// its waiting tasks.
func (c *Core) requestAdvice(now Now, s *step) {
	if !s.job.spec.Advised || s.advice.inFlight || c.openAdviceRequests >= maxOpenAdvice {
		return
	}
	if now.Mono < s.advice.retryAt {
		c.wakeAt(now, s.advice.retryAt)
		return
	}
	named, why := c.workersToAsk(now, s)
	if len(named) == 0 {
		c.noteNoAdvice(s, why)
		return
	}
	s.advice.withoutReason = ""
	c.note(Note{Kind: "advice requested", Job: s.job.spec.ID, Why: why})
	req := AdviceRequest{Step: s.name(), step: s}
	for _, w := range named {
		req.Workers = append(req.Workers, w.ID)
		req.incarnations = append(req.incarnations, w.Incarnation)
	}
	s.advice.inFlight = true
	c.openAdviceRequests++
	c.pendingActions.AdviceRequests = append(c.pendingActions.AdviceRequests, req)
}

// askFurther requests advice for the steps that still wait at the end of a cycle: other work and new
// reservations may have taken the workers with tickets. It schedules a wake-up for when the tickets expire.
func (c *Core) askFurther(now Now, steps []*step) {
	for _, s := range steps {
		if s.job.spec.Advised && s.plan == nil && s.hasWaiting() {
			c.requestAdvice(now, s)
			c.wakeForTickets(now, s)
		}
	}
}

// wakeForTickets schedules a cycle for when the first of the tickets of s expires.
func (c *Core) wakeForTickets(now Now, s *step) {
	for w, v := range s.advice.verdicts {
		if _, allowed := s.ticketFor(now, w); allowed {
			c.wakeAt(now, v.expiresAt)
		}
	}
}

// workersToAsk returns the workers to ask about: those that can take tasks of s now or, if there are none,
// those that could later. The latter are named only while the workers with tickets are too few for the step
// also later; reservations and preemption use them. why describes what the choice was based on; it is empty
// if no task waits.
func (c *Core) workersToAsk(now Now, s *step) (named []*worker, why string) {
	tasks := c.waiting(now, s)
	if len(tasks) == 0 {
		return nil, ""
	}
	v := c.surveyWorkers(now, s, tasks)
	if v.slots < len(tasks) {
		named = s.eligibleFirst(v.free)
		if len(named) == 0 && v.slotsLater < len(tasks) {
			named = s.eligibleFirst(v.full)
		}
		named = named[:min(len(named), maxAdviceWorkers)]
	}
	why = fmt.Sprintf("step %s: %d tasks wait, workers with a ticket have %d free slots of %d; without one: %d with free slots, %d without", s.name(), len(tasks), v.slots, v.slotsLater, len(v.free), len(v.full))
	return named, why
}

// survey says what the workers offer to a step of a job that needs advice.
type survey struct {
	// slots is how many of its waiting tasks the workers with a ticket can take now, and slotsLater how
	// many they could take later.
	slots, slotsLater int
	// free and full are the workers without a ticket that may be eligible and can take tasks now, or could
	// later.
	free, full []*worker
}

func (c *Core) surveyWorkers(now Now, s *step, tasks []*task) survey {
	var out survey
	for _, w := range c.sortedWorkers {
		if !w.fits(s) || !c.takesWork(now, w) {
			continue
		}
		later := s.slotsLater(w)
		if later == 0 {
			continue
		}
		fit := c.slotsNow(now, s, w, tasks)
		_, allowed := s.ticketFor(now, w)
		v, known := s.verdictFor(w)
		switch {
		case allowed:
			out.slots += fit
			out.slotsLater += later
		case known && !v.eligible:
		case fit > 0:
			out.free = append(out.free, w)
		default:
			out.full = append(out.full, w)
		}
	}
	return out
}

// slotsNow returns how many of the waiting tasks of s may be placed on w now.
func (c *Core) slotsNow(now Now, s *step, w *worker, tasks []*task) int {
	if !c.mayPlaceOn(now, s, w) {
		return 0
	}
	return min(c.willing(now, tasks, w), s.slotsWithin(w, w.free()))
}

// willing returns how many of some tasks of a step do not avoid w. A gang avoids workers as a whole.
func (c *Core) willing(now Now, tasks []*task, w *worker) int {
	if tasks[0].step.spec.Gang {
		if c.avoids(now, tasks[0], w) {
			return 0
		}
		return len(tasks)
	}
	n := 0
	for _, t := range tasks {
		if !c.avoids(now, t, w) {
			n++
		}
	}
	return n
}

// slotsLater returns how many more tasks of s w could take once all runs have ended that s can count on to end.
func (s *step) slotsLater(w *worker) int {
	capacity := w.Capacity
	for r := range w.runs {
		if r.heldAgainst(s) {
			capacity = capacity.Minus(r.need)
		}
	}
	if s.spec.LongRunning {
		return s.slotsWithin(w, capacity)
	}
	return timesFit(capacity, s.spec.Charge(), s.spec.MaxPerWorker)
}

// heldAgainst reports whether s cannot count on the end of r: it may not preempt r, and r never ends by itself, or
// s is urgent and must not wait for that.
func (r *run) heldAgainst(s *step) bool {
	if r.phase == stopping || mayPreempt(s, r) {
		return false
	}
	return r.task.step.spec.LongRunning || s.job.spec.Priority == urgentPriority
}

// slotsWithin returns how many more tasks of s fit into some of the capacity of w, within its limit per worker.
// A gang starts only once no member of an earlier run is left, so that those do not count.
func (s *step) slotsWithin(w *worker, capacity job.Resources) int {
	limit := s.spec.MaxPerWorker
	if limit > 0 && !s.spec.Gang {
		if limit -= s.countOnWorker(w); limit <= 0 {
			return 0
		}
	}
	return timesFit(capacity, s.spec.Charge(), limit)
}

// noteNoAdvice notes that tasks of s wait and no advice is requested, once for each reason.
func (c *Core) noteNoAdvice(s *step, why string) {
	if why != "" && why != s.advice.withoutReason {
		c.note(Note{Kind: "no advice requested", Job: s.job.spec.ID, Why: why})
	}
	s.advice.withoutReason = why
}

// eligibleFirst orders workers by score, with those known to be eligible first.
func (s *step) eligibleFirst(group []*worker) []*worker {
	rank := func(w *worker) int {
		if v, ok := s.verdictFor(w); ok && v.eligible {
			return 0
		}
		return 1
	}
	ordered := make([]*worker, 0, len(group))
	for _, o := range s.byScore(group) {
		ordered = append(ordered, o.worker)
	}
	slices.SortStableFunc(ordered, func(a, b *worker) int { return cmp.Compare(rank(a), rank(b)) })
	return ordered
}

// AdviceAnswered handles the answer to a request: a ticket for each worker that may run the step.
// If the request failed with err, it is repeated after adviceRetry.
func (c *Core) AdviceAnswered(now Now, a AdviceRequest, tickets []Ticket, err error) {
	s := a.step
	c.openAdviceRequests--
	c.inputsChanged = true
	s.advice.inFlight = false
	if err != nil {
		s.advice.retryAt = now.Mono + adviceRetry
		c.note(Note{Kind: "no advice", Job: s.job.spec.ID, Why: err.Error()})
		return
	}
	values := make(map[string]string, len(tickets))
	for _, t := range tickets {
		values[t.Worker] = t.Value
	}
	if s.advice.verdicts == nil {
		s.advice.verdicts = map[*worker]verdict{}
	}
	validity := s.job.spec.TicketValidity
	until := now.Mono + validity - min(ticketMargin, validity/ticketMarginDivisor)
	for i, id := range a.Workers {
		if w := c.workers[id]; w != nil {
			ticket, eligible := values[id]
			s.advice.verdicts[w] = verdict{incarnation: a.incarnations[i], eligible: eligible, ticket: ticket, expiresAt: until}
		}
	}
	c.note(Note{Kind: "advice received", Job: s.job.spec.ID, Why: fmt.Sprintf("step %s: %d of %d workers are eligible", a.Step, len(tickets), len(a.Workers))})
	c.urgentMayStart = c.urgentMayStart || s.job.spec.Priority == urgentPriority
}

// forgetTicket drops the verdict on a worker that refused its ticket.
func (s *step) forgetTicket(w *worker) { delete(s.advice.verdicts, w) }
