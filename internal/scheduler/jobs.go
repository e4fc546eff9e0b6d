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

// record is the scheduler's state of a job outside the core: the state and outcome that
// callers receive, and the channel on which they wait.
type record struct {
	job     core.Job
	digest  uint64
	zone    core.ZoneID
	state   core.JobState
	workers []core.WorkerID
	outcome *core.Outcome
	// done is closed when this process has nothing further to report about the job.
	done    chan struct{}
	refusal error
	// elsewhere is true when this process does not serve the job, or no longer does.
	elsewhere bool
	// outcomeUnwritten is true while the outcome is not yet in the log.
	outcomeUnwritten bool
	// admittedAt is when this process admitted the job; zero for a job taken over from
	// another process.
	admittedAt time.Time
	// waitMeasured and startMeasured are true once the job's wait and start have been
	// added to the histograms.
	waitMeasured, startMeasured bool
}

func newRecord(job core.Job, digest uint64, zone core.ZoneID) *record {
	return &record{job: job, digest: digest, zone: zone, state: core.Queued, done: make(chan struct{})}
}

func (r *record) reply() wire.JobReply {
	return wire.JobReply{Job: r.job.ID, State: r.state, Workers: r.workers, Outcome: r.outcome, Zone: r.zone, Elsewhere: r.elsewhere}
}

// unknownDigest is the digest of a job whose submission is not known; it matches every
// digest. An adopted running task identifies its job but not the request.
const unknownDigest = 0

// checkDigest refuses a submission whose body differs from the one that used the same
// request ID before.
func checkDigest(job core.Job, have, got uint64) error {
	if have != got && have != unknownDigest && got != unknownDigest {
		return errkind.New(errkind.RequestMismatch, "request ID %s was used with another body", job.Request)
	}
	return nil
}

// findRecord returns the record of a job from memory or from the journal. A live job of this
// zone that is only in the journal is restored if this process is the leader. While this
// process is writing an admission of the job, its journal entry is ignored: finishAdmission
// applies it. It runs on the loop.
func (s *Scheduler) findRecord(id core.JobID) (*record, bool) {
	if r, ok := s.jobs[id]; ok {
		return r, true
	}
	e, ok := s.journal.Lookup(id)
	if !ok || s.pendingAdmissions[id] > 0 {
		return nil, false
	}
	return s.recordFromEntry(e), true
}

// recordFromEntry returns the record of a job that is in the journal but not in memory. If
// this process is the leader, it restores a live job of its own zone.
func (s *Scheduler) recordFromEntry(e journal.Entry) *record {
	if e.Live() && e.Zone == s.opts.Zone && s.act != nil {
		return s.restoreJob(e)
	}
	r := newRecord(e.Job, e.Digest, e.Zone)
	close(r.done)
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

// restoreJob adds a job from the journal, with its last recorded placement, to the core.
func (s *Scheduler) restoreJob(e journal.Entry) *record {
	job := e.Job
	job.Logged = true
	r := newRecord(job, e.Digest, e.Zone)
	s.jobs[job.ID] = r
	ev := core.JobRestored{Job: job}
	if e.Placed != nil {
		ev.Placed = e.Placed.Placements
	}
	s.applyEvent(s.act, ev)
	return r
}

// submitJob adds a new job to the core.
func (s *Scheduler) submitJob(job core.Job, digest uint64) (*record, error) {
	r := newRecord(job, digest, s.opts.Zone)
	r.admittedAt = time.Now()
	s.jobs[job.ID] = r
	s.applyEvent(s.act, core.JobSubmitted{Job: job})
	return r, r.refusal
}

// onJobRefused answers a submission that the core refused. The admission of a logged job
// is revoked in the log, so that its request ID can be used again.
func (s *Scheduler) onJobRefused(act *activation, a core.JobRefused) {
	r, ok := s.jobs[a.Job]
	if !ok || r.outcome != nil {
		return
	}
	s.metrics.histograms.Error(a.Kind)
	r.refusal = &errkind.Error{Kind: a.Kind, Message: a.Message, RetryAfterSeconds: a.RetryAfterSeconds}
	if !r.job.Logged {
		close(r.done)
		delete(s.jobs, a.Job)
		return
	}
	outcome := core.Outcome{State: core.Failed, Kind: a.Kind, Ran: errkind.RanNo, Message: a.Message}
	s.setOutcome(r, outcome)
	s.queueOutcome(act, r, outcome, true)
}

// onJobStarting measures a job's wait when its tasks are about to be started.
func (s *Scheduler) onJobStarting(id core.JobID) {
	if r, ok := s.jobs[id]; ok {
		s.observeFirst(r, metrics.Wait, &r.waitMeasured)
	}
}

// onJobStarted marks a job as running on its workers.
func (s *Scheduler) onJobStarted(a core.JobStarted) {
	if r, ok := s.jobs[a.Job]; ok && r.outcome == nil {
		r.state = core.Running
		r.workers = a.Workers
		s.observeFirst(r, metrics.Start, &r.startMeasured)
	}
}

// onJobEnded stores the outcome that the core reports for a job.
func (s *Scheduler) onJobEnded(act *activation, id core.JobID, outcome core.Outcome) {
	r, ok := s.jobs[id]
	if !ok {
		// The core reports outcomes only of submitted and restored jobs, which have records.
		// Should one be missing, the outcome is kept for a caller that submits the job again.
		r = newRecord(core.Job{ID: id}, unknownDigest, s.opts.Zone)
		s.jobs[id] = r
	}
	if r.outcome != nil {
		return
	}
	s.setOutcome(r, outcome)
	s.observe(r, metrics.Completion)
	if r.job.Logged {
		s.queueOutcome(act, r, outcome, false)
	}
}

// applyRemoteOutcome adopts an outcome that another process recorded in the log first.
func (s *Scheduler) applyRemoteOutcome(id core.JobID) {
	e, known := s.journal.Lookup(id)
	r, ok := s.jobs[id]
	if !ok || r.outcome != nil || !known || e.Live() {
		return
	}
	s.setOutcome(r, *e.Outcome)
	s.applyEvent(s.act, core.JobCancelled{Job: id})
}

// journalChanged applies what other processes write to the log for this zone, while this
// process is the leader. It runs on the journal's reading goroutine.
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
				s.restoreLiveJobs()
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
	case r.Admitted != nil && c.Effective:
		id := r.Admitted.Job.ID
		post(func() {
			if s.act != nil {
				s.findRecord(id)
			}
		})
	case r.Ended != nil && c.Effective && other:
		id := r.Ended.Job
		post(func() { s.applyRemoteOutcome(id) })
	}
}
