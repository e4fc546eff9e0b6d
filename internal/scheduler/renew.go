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
	// renewalsPerLease is how often a lease is renewed in its life.
	renewalsPerLease = 3
	// renewalJitter is the share of the interval by which renewals are spread.
	renewalJitter = 5
	// renewalGap bounds the rate of renewals while reports keep coming.
	renewalGap = 10 * time.Millisecond
	retryPause = 200 * time.Millisecond
	// usageInterval lies between two requests for a worker's usage reports.
	usageInterval = time.Minute
	// answerTime is the time that a worker has for its answer beyond the wait asked for.
	answerTime = time.Second
)

// renewal is the state of the renewals of one session.
type renewal struct {
	req  platform.RenewRequest
	boot uint64
	// lastOK is the time of the last success.
	lastOK time.Time
	// usageAt is the time of the last answer with usage reports.
	usageAt time.Time
	gone    bool
}

func (s *Scheduler) renewLoop(act *activation, ses *session) {
	ttl := s.opts.Core.LeaseTTL
	r := &renewal{req: platform.RenewRequest{Holder: act.holder, TTL: ttl}, lastOK: time.Now(), usageAt: time.Now()}
	r.relist()
	for ses.ctx.Err() == nil {
		if s.awaitLapse(act, ses, r) || ses.addr == "" {
			pause(ses.ctx, retryPause)
			continue
		}
		s.renewOnce(act, ses, r)
	}
}

// relist has the next renewal ask for all tasks, without a wait.
func (r *renewal) relist() { r.req.List, r.req.Wait = true, 0 }

// awaitLapse keeps silent towards a worker that has not answered for a lease's life, for
// each call whose answer is lost may renew the lease. Once the lapse is proven the worker
// counts as gone and is probed again. It reports whether to keep silent for now.
func (s *Scheduler) awaitLapse(act *activation, ses *session, r *renewal) bool {
	now := time.Now()
	if r.gone || now.Sub(r.lastOK) < s.opts.Core.LeaseTTL {
		return false
	}
	if !ses.lease.Lapsed(now) {
		return true
	}
	r.gone = true
	r.relist()
	s.setDirect(act, ses, core.WorkerGone)
	return false
}

func (s *Scheduler) renewOnce(act *activation, ses *session, r *renewal) {
	if r.req.List {
		ses.list.Lock()
		defer ses.list.Unlock()
	}
	ctx, cancel := context.WithTimeout(ses.ctx, r.req.Wait+answerTime)
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
		pause(ses.ctx, retryPause)
	default:
		now := time.Now()
		ses.lease.Renewed(sent, now)
		r.lastOK, r.gone = now, false
		s.takeReply(act, ses, r, reply)
		pause(ses.ctx, renewalGap)
	}
}

func (s *Scheduler) renewFailed(act *activation, ses *session, r *renewal, err error) {
	if ses.ctx.Err() != nil {
		return
	}
	if !errors.Is(err, platform.ErrNotApplied) {
		ses.lease.Unsure(time.Now())
	}
	if !r.gone {
		s.setDirect(act, ses, core.WorkerUnreachable)
	}
	r.relist()
	pause(ses.ctx, retryPause+rand.N(retryPause))
}

func (s *Scheduler) takeReply(act *activation, ses *session, r *renewal, reply platform.RenewReply) {
	if reply.Boot != r.boot && r.boot != 0 && !r.req.List {
		// The worker has restarted and lost what it held; its reports follow the list.
		r.boot = reply.Boot
		r.relist()
		s.setDirect(act, ses, core.WorkerGone)
		return
	}
	r.boot = reply.Boot
	if r.req.List {
		s.feed(act, tasksFound(ses.worker, reply.Tasks))
	}
	for _, report := range reply.Reports {
		if report.Seq <= r.req.After {
			continue
		}
		r.req.After = report.Seq
		s.feed(act, reported(ses.worker, report))
	}
	health := core.WorkerLive
	if reply.Leaving {
		health = core.WorkerLeaving
	}
	s.setDirect(act, ses, health)
	r.req.List = false
	r.askUsage(time.Now())
	interval := s.opts.Core.LeaseTTL / renewalsPerLease
	r.req.Wait = interval - rand.N(interval/renewalJitter)
}

// askUsage has the next renewal ask for usage reports when the last ones are old.
func (r *renewal) askUsage(now time.Time) {
	if r.req.Usage {
		r.usageAt = now
	}
	r.req.Usage = now.Sub(r.usageAt) >= usageInterval
}

func tasksFound(id core.WorkerID, held []platform.HeldTask) core.TasksFound {
	found := core.TasksFound{Worker: id}
	for _, t := range held {
		found.Tasks = append(found.Tasks, core.FoundTask{Task: t.Task, Cell: t.Cell, Started: t.Started, Job: t.Job})
	}
	return found
}

func reported(id core.WorkerID, r platform.TaskReport) core.Event {
	switch r.Kind {
	case platform.ReportEnded:
		return core.TaskEnded{Task: r.Task, Worker: id, OK: r.OK, Output: r.Output, Ran: r.Ran}
	case platform.ReportLapsed:
		return core.TaskLapsed{Task: r.Task, Worker: id, Started: r.Started}
	default:
		return core.UsageReported{Task: r.Task, Ran: r.Ran, Lag: r.Lag}
	}
}
