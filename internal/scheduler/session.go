package scheduler

import (
	"context"
	"errors"
	"time"

	"agatewinch/internal/core"
	"agatewinch/internal/event"
	"agatewinch/internal/platform"
)

const (
	opsQueued  = 1024
	opsPerCall = 64
	// renewalsPerLease is how often a lease is renewed in its life.
	renewalsPerLease = 3
	retryPause       = 200 * time.Millisecond
)

// session is the traffic with one worker: a queue of operations, sent in order, and a
// renewal that waits for reports.
type session struct {
	worker core.WorkerID
	addr   string
	ops    chan platform.Op
	health core.WorkerHealth
	cancel context.CancelFunc
}

func (s *Scheduler) updateSessions(ctx context.Context, hosts []platform.Host) {
	if !s.active {
		return
	}
	for _, h := range hosts {
		if h.Kind != platform.BackendHost || h.Zone != s.opts.Zone {
			continue
		}
		id := core.WorkerID(h.ID)
		if ses, ok := s.sessions[id]; ok && ses.addr == h.Addr {
			continue
		}
		s.openSession(ctx, id, h.Addr)
	}
}

func (s *Scheduler) openSession(ctx context.Context, id core.WorkerID, addr string) {
	if old, ok := s.sessions[id]; ok {
		old.cancel()
	}
	ctx, cancel := context.WithCancel(ctx)
	ses := &session{worker: id, addr: addr, ops: make(chan platform.Op, opsQueued), cancel: cancel}
	s.sessions[id] = ses
	go s.sendLoop(ctx, ses, s.holder)
	go s.renewLoop(ctx, ses, s.holder)
}

// send queues an operation; a full queue counts as a refusal, since nothing was sent.
func (s *Scheduler) send(ctx context.Context, id core.WorkerID, op platform.Op) {
	ses, ok := s.sessions[id]
	if ok {
		select {
		case ses.ops <- op:
			return
		default:
		}
	}
	result := core.CallRefused
	if op.Kind != platform.OpReserve {
		result = core.CallUnknown
	}
	go s.answered(ctx, id, op, result, platform.OpResult{Reason: core.RefusedThrottled})
}

func (s *Scheduler) sendLoop(ctx context.Context, ses *session, holder platform.Holder) {
	for {
		batch := platform.Batch{Holder: holder, TTL: s.opts.Core.LeaseTTL}
		select {
		case op := <-ses.ops:
			batch.Ops = append(batch.Ops, op)
		case <-ctx.Done():
			return
		}
		for len(ses.ops) > 0 && len(batch.Ops) < opsPerCall {
			batch.Ops = append(batch.Ops, <-ses.ops)
		}
		s.sendBatch(ctx, ses, batch)
	}
}

func (s *Scheduler) sendBatch(ctx context.Context, ses *session, batch platform.Batch) {
	results, err := s.backend.Do(ctx, ses.addr, batch)
	for i, op := range batch.Ops {
		switch {
		case errors.Is(err, platform.ErrNotApplied):
			s.answered(ctx, ses.worker, op, notApplied(op.Kind), platform.OpResult{})
		case err != nil:
			s.answered(ctx, ses.worker, op, core.CallUnknown, platform.OpResult{})
		case results[i].OK:
			s.answered(ctx, ses.worker, op, core.CallDone, results[i])
		default:
			s.answered(ctx, ses.worker, op, core.CallRefused, results[i])
		}
	}
}

// notApplied is the result of a call that never reached the worker: a reservation or
// start did not happen, a stop is still to be done.
func notApplied(kind platform.OpKind) core.CallResult {
	if kind == platform.OpReserve || kind == platform.OpStart {
		return core.CallRefused
	}
	return core.CallUnknown
}

func (s *Scheduler) answered(ctx context.Context, id core.WorkerID, op platform.Op, result core.CallResult, r platform.OpResult) {
	switch op.Kind {
	case platform.OpReserve:
		s.feed(ctx, core.ReserveDone{Task: op.Task, Worker: id, Result: result, Reason: r.Reason})
	case platform.OpStart:
		s.feed(ctx, core.StartDone{Task: op.Task, Worker: id, Result: result, Reason: r.Reason})
	default:
		s.feed(ctx, core.StopDone{Task: op.Task, Worker: id, Result: result, Checkpointed: r.Checkpointed, Lost: r.Lost})
	}
}

func (s *Scheduler) renewLoop(ctx context.Context, ses *session, holder platform.Holder) {
	ttl := s.opts.Core.LeaseTTL
	req := platform.RenewRequest{Holder: holder, TTL: ttl, List: true}
	for ctx.Err() == nil {
		reply, err := s.backend.Renew(ctx, ses.addr, req)
		if err != nil {
			s.setHealth(ctx, ses, core.WorkerUnreachable)
			pause(ctx, retryPause)
			continue
		}
		if !reply.OK {
			event.Info(s.logger, event.LeaseRefused, "worker", ses.worker, "term", reply.Term)
			pause(ctx, ttl/renewalsPerLease)
			continue
		}
		s.takeReply(ctx, ses, &req, reply)
	}
}

func (s *Scheduler) takeReply(ctx context.Context, ses *session, req *platform.RenewRequest, reply platform.RenewReply) {
	if req.List {
		s.feed(ctx, tasksFound(ses.worker, reply.Tasks))
	}
	for _, r := range reply.Reports {
		req.After = r.Seq
		s.feed(ctx, reported(ses.worker, r))
	}
	health := core.WorkerLive
	if reply.Leaving {
		health = core.WorkerLeaving
	}
	s.setHealth(ctx, ses, health)
	req.List = false
	req.Wait = req.TTL / renewalsPerLease
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

func (s *Scheduler) setHealth(ctx context.Context, ses *session, health core.WorkerHealth) {
	s.post(ctx, func() {
		if ses.health == health {
			return
		}
		ses.health = health
		event.Info(s.logger, event.WorkerHealth, "worker", ses.worker, "health", health)
		s.step(ctx, core.WorkerChanged{Worker: ses.worker, Health: health})
	})
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
