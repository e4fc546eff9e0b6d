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

// trackedJob is the scheduler's state of a job outside the core: the state and outcome that
// callers receive, and the channel on which they wait.
type trackedJob struct {
	job     core.Job
	digest  uint64
	zone    core.ZoneID
	state   core.JobState
	workers []core.WorkerID
	outcome *core.Outcome
	// done is closed when this process has nothing further to report about the job.
	done chan struct{}
	// refusal is the error with which the core refused the job, or nil.
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

func newTrackedJob(job core.Job, digest uint64, zone core.ZoneID) *trackedJob {
	return &trackedJob{job: job, digest: digest, zone: zone, state: core.Queued, done: make(chan struct{})}
}

func (j *trackedJob) reply() wire.JobReply {
	return wire.JobReply{Job: j.job.ID, State: j.state, Workers: j.workers, Outcome: j.outcome, Zone: j.zone, Elsewhere: j.elsewhere}
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

// findJob returns the tracked job from memory, or one built from the journal. A live job of this
// zone that is only in the journal is restored if this process is the leader. While this
// process is writing an admission of the job, its journal entry is ignored: finishAdmission
// applies it. It runs on the loop.
func (s *Scheduler) findJob(id core.JobID) (*trackedJob, bool) {
	if j, ok := s.jobs[id]; ok {
		return j, true
	}
	e, ok := s.journal.Lookup(id)
	if !ok || s.pendingAdmissions[id] > 0 {
		return nil, false
	}
	return s.jobFromEntry(e), true
}

// jobFromEntry returns the tracked job for a job that is in the journal but not in memory. If
// this process is the leader, it restores a live job of its own zone.
func (s *Scheduler) jobFromEntry(e journal.Entry) *trackedJob {
	if e.Live() && e.Zone == s.opts.Zone && s.act != nil {
		return s.restoreJob(e)
	}
	j := newTrackedJob(e.Job, e.Digest, e.Zone)
	close(j.done)
	if e.Live() {
		j.elsewhere = true
		if e.Placed != nil {
			j.state = core.Placing
		}
		return j
	}
	j.state, j.outcome = e.Outcome.State, e.Outcome
	return j
}

// restoreJob adds a job from the journal, with its last recorded placement, to the core.
func (s *Scheduler) restoreJob(e journal.Entry) *trackedJob {
	job := e.Job
	job.Logged = true
	j := newTrackedJob(job, e.Digest, e.Zone)
	s.jobs[job.ID] = j
	ev := core.JobRestored{Job: job}
	if e.Placed != nil {
		ev.Placed = e.Placed.Placements
	}
	s.applyEvent(s.act, ev)
	return j
}

// submitJob adds a new job to the core.
func (s *Scheduler) submitJob(job core.Job, digest uint64) (*trackedJob, error) {
	j := newTrackedJob(job, digest, s.opts.Zone)
	j.admittedAt = time.Now()
	s.jobs[job.ID] = j
	s.applyEvent(s.act, core.JobSubmitted{Job: job})
	return j, j.refusal
}

// onJobRefused answers a submission that the core refused. The admission of a logged job
// is revoked in the log, so that its request ID can be used again.
func (s *Scheduler) onJobRefused(act *activation, a core.JobRefused) {
	j, ok := s.jobs[a.Job]
	if !ok || j.outcome != nil {
		return
	}
	s.metrics.histograms.Error(a.Kind)
	j.refusal = &errkind.Error{Kind: a.Kind, Message: a.Message, RetryAfterSeconds: a.RetryAfterSeconds}
	if !j.job.Logged {
		close(j.done)
		delete(s.jobs, a.Job)
		return
	}
	outcome := core.Outcome{State: core.Failed, Kind: a.Kind, Ran: errkind.RanNo, Message: a.Message}
	s.setOutcome(j, outcome)
	s.queueOutcome(act, j, outcome, true)
}

// onJobStarting measures a job's wait when its tasks are about to be started.
func (s *Scheduler) onJobStarting(id core.JobID) {
	if j, ok := s.jobs[id]; ok {
		s.observeFirst(j, metrics.Wait, &j.waitMeasured)
	}
}

// onJobStarted marks a job as running on its workers.
func (s *Scheduler) onJobStarted(a core.JobStarted) {
	if j, ok := s.jobs[a.Job]; ok && j.outcome == nil {
		j.state = core.Running
		j.workers = a.Workers
		s.observeFirst(j, metrics.Start, &j.startMeasured)
	}
}

// onJobEnded stores the outcome that the core reports for a job.
func (s *Scheduler) onJobEnded(act *activation, id core.JobID, outcome core.Outcome) {
	j, ok := s.jobs[id]
	if !ok {
		// The core reports outcomes only of submitted and restored jobs, which are tracked.
		// The outcome of an untracked job is kept for a caller that submits the job again.
		j = newTrackedJob(core.Job{ID: id}, unknownDigest, s.opts.Zone)
		s.jobs[id] = j
	}
	if j.outcome != nil {
		return
	}
	s.setOutcome(j, outcome)
	s.observe(j, metrics.Completion)
	if j.job.Logged {
		s.queueOutcome(act, j, outcome, false)
	}
}

// applyRemoteOutcome adopts an outcome that another process recorded in the log first, and
// cancels the job in the core.
func (s *Scheduler) applyRemoteOutcome(id core.JobID) {
	e, known := s.journal.Lookup(id)
	j, ok := s.jobs[id]
	if !ok || j.outcome != nil || !known || e.Live() {
		return
	}
	s.setOutcome(j, *e.Outcome)
	s.applyEvent(s.act, core.JobCancelled{Job: id})
}

// journalChanged applies changes of this zone's state in the journal while this process is the
// leader: admissions by any process, outcomes and terms recorded by other processes, and all live
// jobs after a reload. It runs on the journal's reading goroutine.
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
				s.findJob(id)
			}
		})
	case r.Ended != nil && c.Effective && other:
		id := r.Ended.Job
		post(func() { s.applyRemoteOutcome(id) })
	}
}
