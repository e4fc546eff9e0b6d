package scheduler

import (
	"context"
	"time"

	"agatewinch/internal/core"
	"agatewinch/internal/errkind"
	"agatewinch/internal/journal"
	"agatewinch/internal/metrics"
	"agatewinch/internal/wire"
)

// record is what the scheduler knows of a job beside the core: who waits for it and
// how it ended.
type record struct {
	job     core.Job
	digest  uint64
	zone    core.ZoneID
	state   core.JobState
	workers []core.WorkerID
	outcome *core.Outcome
	// ended is closed when nothing more comes from this process for the job.
	ended   chan struct{}
	refusal error
	// elsewhere is true when this process no longer serves the job.
	elsewhere bool
	// unwritten is true while the outcome is not yet in the log.
	unwritten bool
	// admittedAt is when this process admitted the job; zero for one that it took over.
	admittedAt time.Time
	// waited and ran are true once the job's wait and its start were measured.
	waited, ran bool
}

func newRecord(job core.Job, digest uint64, zone core.ZoneID) *record {
	return &record{job: job, digest: digest, zone: zone, state: core.Queued, ended: make(chan struct{})}
}

func (r *record) reply() wire.JobReply {
	return wire.JobReply{Job: r.job.ID, State: r.state, Workers: r.workers, Outcome: r.outcome, Zone: r.zone, Elsewhere: r.elsewhere}
}

// anyDigest joins a job whose submission's digest is not known: a running task that was
// adopted tells its job but not the request.
const anyDigest = 0

func checkDigest(job core.Job, have, got uint64) error {
	if have != got && have != anyDigest && got != anyDigest {
		return errkind.New(errkind.RequestMismatch, "request ID %s was used with another body", job.Request)
	}
	return nil
}

// known returns what this process knows of a job, from its own records or the journal.
// It runs on the loop.
func (s *Scheduler) known(id core.JobID) (*record, bool) {
	if r, ok := s.jobs[id]; ok {
		return r, true
	}
	e, ok := s.journal.Lookup(id)
	if !ok || s.expected[id] > 0 {
		return nil, false
	}
	return s.fromEntry(e), true
}

// fromEntry returns the record of a job in the journal that this process does not serve
// yet. A live job of the own zone is taken up when this process is active.
func (s *Scheduler) fromEntry(e journal.Entry) *record {
	if e.Live() && e.Zone == s.opts.Zone && s.act != nil {
		return s.restore(e)
	}
	r := newRecord(e.Job, e.Digest, e.Zone)
	close(r.ended)
	if e.Live() {
		r.elsewhere = true
		if e.Placed != nil {
			r.state = core.Placing
		}
		return r
	}
	r.state, r.outcome = e.Outcome.State, e.Outcome
	return r
}

// restore brings a job of the journal into the core.
func (s *Scheduler) restore(e journal.Entry) *record {
	job := e.Job
	job.Logged = true
	r := newRecord(job, e.Digest, e.Zone)
	s.jobs[job.ID] = r
	ev := core.JobRestored{Job: job}
	if e.Placed != nil {
		ev.Placed = e.Placed.Placements
	}
	s.step(s.act, ev)
	return r
}

// submit brings a new job into the core.
func (s *Scheduler) submit(job core.Job, digest uint64) (*record, error) {
	r := newRecord(job, digest, s.opts.Zone)
	r.admittedAt = time.Now()
	s.jobs[job.ID] = r
	s.step(s.act, core.JobSubmitted{Job: job})
	return r, r.refusal
}

// refused answers a submission that the core did not take. The admission of a logged job
// is taken back in the log, so that its request ID may be used again.
func (s *Scheduler) refused(act *activation, a core.JobRefused) {
	r, ok := s.jobs[a.Job]
	if !ok || r.outcome != nil {
		return
	}
	s.metrics.times.Error(a.Kind)
	r.refusal = &errkind.Error{Kind: a.Kind, Message: a.Message, RetryAfterSeconds: a.RetryAfterSeconds}
	if !r.job.Logged {
		close(r.ended)
		delete(s.jobs, a.Job)
		return
	}
	outcome := core.Outcome{State: core.Failed, Kind: a.Kind, Ran: errkind.RanNo, Message: a.Message}
	s.setOutcome(r, outcome)
	s.settle(act, r, outcome, true)
}

// starting notes that a job's tasks are being started.
func (s *Scheduler) starting(id core.JobID) {
	if r, ok := s.jobs[id]; ok {
		s.observeFirst(r, metrics.Wait, &r.waited)
	}
}

func (s *Scheduler) started(a core.JobStarted) {
	if r, ok := s.jobs[a.Job]; ok && r.outcome == nil {
		r.state = core.Running
		r.workers = a.Workers
		s.observeFirst(r, metrics.Start, &r.ran)
	}
}

func (s *Scheduler) ended(act *activation, id core.JobID, outcome core.Outcome) {
	r, ok := s.jobs[id]
	if !ok {
		// An adopted job whose caller has not come back yet: the answer is kept for it.
		r = newRecord(core.Job{ID: id}, anyDigest, s.opts.Zone)
		s.jobs[id] = r
	}
	if r.outcome != nil {
		return
	}
	s.setOutcome(r, outcome)
	s.observe(r, metrics.Completion)
	if r.job.Logged {
		s.settle(act, r, outcome, false)
	}
}

// endedElsewhere takes an outcome that another holder recorded first.
func (s *Scheduler) endedElsewhere(id core.JobID) {
	e, known := s.journal.Lookup(id)
	r, ok := s.jobs[id]
	if !ok || r.outcome != nil || !known || e.Live() {
		return
	}
	s.setOutcome(r, *e.Outcome)
	s.step(s.act, core.JobCancelled{Job: id})
}

// journalChanged follows what other processes write for this zone. It runs on the
// journal's reading goroutine.
func (s *Scheduler) journalChanged(c journal.Change) {
	active, _ := s.election.Active()
	if !active {
		return
	}
	post := func(f func()) { s.post(context.Background(), f) }
	r := c.Record
	if r == nil {
		post(func() {
			if s.act != nil {
				s.reconcile()
			}
		})
		return
	}
	if r.Zone != s.opts.Zone {
		return
	}
	other := r.Holder != s.opts.Journal.Writer
	if other {
		s.election.Observe(r.Term, true)
	}
	switch {
	case r.Admitted != nil && c.Counts:
		id := r.Admitted.Job.ID
		post(func() {
			if s.act != nil {
				s.known(id)
			}
		})
	case r.Ended != nil && c.Counts && other:
		id := r.Ended.Job
		post(func() { s.endedElsewhere(id) })
	}
}
