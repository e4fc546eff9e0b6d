package dispatch

import (
	"cmp"
	"slices"
	"time"
)

const (
	// askSize is how many workers a question names: the advisory service's time grows with
	// them, and the operators' objectives allow for one question about 30 workers a step.
	askSize = 30
	// maxAsks bounds the open questions; the service answers a host's one after the other,
	// and refuses all hosts while 32 wait.
	maxAsks = 4
	// askRetry is the pause after a question that was not answered.
	askRetry = 300 * time.Millisecond
	// ticketMargin is kept of a ticket's validity for the record and the start, and at most
	// that part of it.
	ticketMargin     = 300 * time.Millisecond
	ticketMarginPart = 4
)

// Ask is a question to the advisory service: which of the workers may run a step.
type Ask struct {
	// Step is the step's name: job, occurrence and index.
	Step    string
	Workers []string

	step  *step
	lives []int64
}

// Ticket lets the tasks of a step start on a worker.
type Ticket struct{ Worker, Value string }

// advice is what the advisory service said of a step.
type advice struct {
	known   map[*worker]verdict
	asking  bool
	retryAt time.Duration
}

// verdict is what is known of one worker. Whether it may run the step does not change;
// its ticket expires.
type verdict struct {
	// born is the life of the worker that the verdict holds for.
	born   int64
	good   bool
	ticket string
	until  time.Duration
}

// verdictOn returns what is known of the present life of w.
func (s *step) verdictOn(w *worker) (verdict, bool) {
	v, ok := s.advice.known[w]
	return v, ok && v.born == w.Born
}

// ticketFor returns the ticket for a start on w; steps that need none are always allowed.
func (s *step) ticketFor(now Now, w *worker) (ticket string, allowed bool) {
	if !s.job.spec.Advised {
		return "", true
	}
	v, ok := s.verdictOn(w)
	return v.ticket, ok && v.good && now.Mono < v.until
}

// askAdvice asks which workers may run s where too few are known to have room for it.
func (c *Core) askAdvice(now Now, s *step) {
	if !s.job.spec.Advised || s.advice.asking || c.asks >= maxAsks {
		return
	}
	if now.Mono < s.advice.retryAt {
		c.wakeAt(now, s.advice.retryAt)
		return
	}
	named := c.toAsk(now, s)
	if len(named) == 0 {
		return
	}
	ask := Ask{Step: s.name(), step: s}
	for _, w := range named {
		ask.Workers = append(ask.Workers, w.ID)
		ask.lives = append(ask.lives, w.Born)
	}
	s.advice.asking = true
	c.asks++
	c.out.Asks = append(c.out.Asks, ask)
}

// toAsk returns the workers to ask about, those with room first. Workers without room are
// named only while fewer may run the step than it needs, for reservations and preemption.
func (c *Core) toAsk(now Now, s *step) []*worker {
	need, waiting := s.spec.Charge(), len(c.waiting(now, s))
	room, whole := 0, 0
	var free, full []*worker
	for _, w := range c.sorted {
		if !w.fits(s) || !c.takesWork(now, w) || !w.Capacity.Fits(need) {
			continue
		}
		fit := timesFit(w.free(), need, s.spec.MaxPerWorker)
		_, allowed := s.ticketFor(now, w)
		v, known := s.verdictOn(w)
		switch {
		case allowed:
			room += fit
			whole += timesFit(w.Capacity, need, s.spec.MaxPerWorker)
		case known && !v.good:
		case fit > 0:
			free = append(free, w)
		default:
			full = append(full, w)
		}
	}
	if room >= waiting {
		return nil
	}
	named := s.mostPromising(free)
	if len(named) == 0 && whole < waiting {
		named = s.mostPromising(full)
	}
	return named[:min(len(named), askSize)]
}

// mostPromising orders workers: those that may run the step, then by score.
func (s *step) mostPromising(group []*worker) []*worker {
	good := func(w *worker) int {
		if v, ok := s.verdictOn(w); ok && v.good {
			return 0
		}
		return 1
	}
	ordered := make([]*worker, 0, len(group))
	for _, o := range s.byScore(group) {
		ordered = append(ordered, o.worker)
	}
	slices.SortStableFunc(ordered, func(a, b *worker) int { return cmp.Compare(good(a), good(b)) })
	return ordered
}

// Advised takes in the answer to a question: a ticket for each worker that may run the step.
func (c *Core) Advised(now Now, a Ask, tickets []Ticket, err error) {
	s := a.step
	c.asks--
	c.dirty = true
	s.advice.asking = false
	if err != nil {
		s.advice.retryAt = now.Mono + askRetry
		c.note(Note{What: "no advice", Job: s.job.spec.ID, Why: err.Error()})
		return
	}
	values := make(map[string]string, len(tickets))
	for _, t := range tickets {
		values[t.Worker] = t.Value
	}
	if s.advice.known == nil {
		s.advice.known = map[*worker]verdict{}
	}
	validity := s.job.spec.TicketValidity
	until := now.Mono + validity - min(ticketMargin, validity/ticketMarginPart)
	for i, id := range a.Workers {
		if w := c.workers[id]; w != nil {
			ticket, good := values[id]
			s.advice.known[w] = verdict{born: a.lives[i], good: good, ticket: ticket, until: until}
		}
	}
	c.rush = c.rush || s.job.spec.Priority == firstPriority
}

// forgetTicket drops a ticket that a worker refused.
func (s *step) forgetTicket(w *worker) { delete(s.advice.known, w) }
