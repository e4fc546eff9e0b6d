package scheduler

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"agatewinch/internal/core"
	"agatewinch/internal/event"
	"agatewinch/internal/platform"
)

const (
	// renewalsPerLease is the number of renewals within one lease TTL.
	renewalsPerLease = 3
	// renewalJitterDivisor limits the random jitter that spreads renewals over time to the
	// renewal interval divided by it.
	renewalJitterDivisor = 5
	// minRenewalInterval limits the rate of renewals while every renewal returns reports.
	minRenewalInterval = 10 * time.Millisecond
	retryDelay         = 200 * time.Millisecond
	// usageInterval is the interval between requests for a worker's usage reports.
	usageInterval = time.Minute
	// answerTimeout is the time allowed for an answer in addition to the requested wait.
	answerTimeout = time.Second
)

// renewal is the state of the lease renewals of one session.
type renewal struct {
	req platform.RenewRequest
	// incarnation is the worker's incarnation in its last answer; 0 before the first one.
	incarnation uint64
	// lastSuccess is the time of the last successful renewal; before the first one, the time
	// at which the renewals began.
	lastSuccess time.Time
	// lastUsage is the time of the last answer to a request for usage reports; before the
	// first one, the time at which the renewals began.
	lastUsage time.Time
	// gone is true from the certain expiry of the lease to the next successful renewal.
	gone bool
}

// renewLoop renews the lease on a worker until its session ends.
func (s *Scheduler) renewLoop(act *activation, ses *session) {
	ttl := s.opts.Core.LeaseTTL
	r := &renewal{req: platform.RenewRequest{Holder: act.holder, TTL: ttl}, lastSuccess: time.Now(), lastUsage: time.Now()}
	r.requestList()
	for ses.ctx.Err() == nil {
		if s.withholdRenewals(act, ses, r) || ses.addr == "" {
			sleep(ses.ctx, retryDelay)
			continue
		}
		s.renewOnce(act, ses, r)
	}
}

// requestList makes the next renewal ask for all tasks and return at once.
func (r *renewal) requestList() { r.req.List, r.req.Wait = true, 0 }

// withholdRenewals reports whether the next renewal has to wait. A worker that has not
// answered for the lease TTL gets no calls until its lease has certainly expired, because a
// call whose answer is lost may still renew the lease. withholdRenewals then reports the worker
// as gone, and renewals are tried again.
func (s *Scheduler) withholdRenewals(act *activation, ses *session, r *renewal) bool {
	now := time.Now()
	if r.gone || now.Sub(r.lastSuccess) < s.opts.Core.LeaseTTL {
		return false
	}
	if !ses.lease.Expired(now) {
		return true
	}
	r.gone = true
	r.requestList()
	s.setObservedHealth(act, ses, core.WorkerGone)
	return false
}

func (s *Scheduler) renewOnce(act *activation, ses *session, r *renewal) {
	if r.req.List {
		ses.listMu.Lock()
		defer ses.listMu.Unlock()
	}
	ctx, cancel := context.WithTimeout(ses.ctx, r.req.Wait+answerTimeout)
	defer cancel()
	sent := time.Now()
	reply, err := s.backend.Renew(ctx, ses.addr, r.req)
	s.metrics.workerCalls.Add("renew", 1)
	switch {
	case err != nil:
		s.renewFailed(act, ses, r, err)
	case !reply.OK:
		event.Info(s.logger, event.LeaseRefused, "worker", ses.worker, "term", reply.Term, "reason", reply.Reason)
		s.election.Observe(reply.Term, true)
		sleep(ses.ctx, retryDelay)
	default:
		now := time.Now()
		ses.lease.Renewed(sent, now)
		r.lastSuccess, r.gone = now, false
		s.applyReply(act, ses, r, reply)
		sleep(ses.ctx, minRenewalInterval)
	}
}

func (s *Scheduler) renewFailed(act *activation, ses *session, r *renewal, err error) {
	if ses.ctx.Err() != nil {
		return
	}
	if !errors.Is(err, platform.ErrNotApplied) {
		ses.lease.Unanswered(time.Now())
	}
	if !r.gone {
		s.setObservedHealth(act, ses, core.WorkerUnreachable)
	}
	r.requestList()
	sleep(ses.ctx, retryDelay+rand.N(retryDelay))
}

func (s *Scheduler) applyReply(act *activation, ses *session, r *renewal, reply platform.RenewReply) {
	if reply.Incarnation != r.incarnation && r.incarnation != 0 && !r.req.List {
		// The worker has restarted and lost its tasks. Its reports are processed only after
		// it has listed its tasks.
		r.incarnation = reply.Incarnation
		r.requestList()
		s.setObservedHealth(act, ses, core.WorkerGone)
		return
	}
	r.incarnation = reply.Incarnation
	if r.req.List {
		s.postEvent(act, tasksFound(ses.worker, reply.Tasks))
	}
	for _, report := range reply.Reports {
		if report.Seq <= r.req.After {
			continue
		}
		r.req.After = report.Seq
		s.postEvent(act, reportEvent(ses.worker, report))
	}
	health := core.WorkerLive
	if reply.Leaving {
		health = core.WorkerLeaving
	}
	s.setObservedHealth(act, ses, health)
	r.req.List = false
	r.updateUsageRequest(time.Now())
	interval := s.opts.Core.LeaseTTL / renewalsPerLease
	r.req.Wait = interval - rand.N(interval/renewalJitterDivisor)
}

// updateUsageRequest makes the next renewal ask for usage reports when usageInterval has
// passed since the last ones.
func (r *renewal) updateUsageRequest(now time.Time) {
	if r.req.Usage {
		r.lastUsage = now
	}
	r.req.Usage = now.Sub(r.lastUsage) >= usageInterval
}

func tasksFound(id core.WorkerID, held []platform.HeldTask) core.TasksFound {
	found := core.TasksFound{Worker: id}
	for _, t := range held {
		found.Tasks = append(found.Tasks, core.FoundTask{Task: t.Task, Cell: t.Cell, Started: t.Started, Job: t.Job})
	}
	return found
}

func reportEvent(id core.WorkerID, r platform.TaskReport) core.Event {
	switch r.Kind {
	case platform.ReportEnded:
		return core.TaskEnded{Task: r.Task, Worker: id, OK: r.OK, Output: r.Output, Ran: r.Ran}
	case platform.ReportExpired:
		return core.TaskExpired{Task: r.Task, Worker: id, Started: r.Started}
	default:
		return core.UsageReported{Task: r.Task, Ran: r.Ran, Lag: r.Lag}
	}
}
