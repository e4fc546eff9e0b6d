package scheduler

import (
	"context"
	"errors"
	"sync"
	"time"

	"agatewinch/internal/core"
	"agatewinch/internal/lease"
	"agatewinch/internal/platform"
)

const (
	opsQueued  = 1024
	opsPerCall = 64
	// slowCall is how long a worker may take before nothing new is placed on it.
	slowCall = time.Second
	// leasePoll is how often a held-back batch looks at the lease again.
	leasePoll = 20 * time.Millisecond
)

// session is the traffic with one worker at one address: a queue of operations, sent in
// order, and a renewal that waits for reports.
type session struct {
	worker core.WorkerID
	// addr is empty while the host list has not named the worker.
	addr   string
	ops    chan queuedOp
	lease  *lease.Lease
	ctx    context.Context
	cancel context.CancelFunc
	// list is held while a list of tasks is read, and by each batch, so that the core
	// sees lists and answers in the order in which the worker made them.
	list sync.Mutex

	// The fields below belong to the loop.
	direct        core.WorkerHealth
	told          core.WorkerHealth
	listedLeaving bool
}

type queuedOp struct {
	platform.Op
	at time.Time
}

func (s *Scheduler) openSession(act *activation, id core.WorkerID, addr string) *session {
	if old, ok := act.sessions[id]; ok {
		old.cancel()
	}
	// A former holder may have renewed the lease until this activation began, and an
	// answer of the worker may show that it still does; two lives are the bound after
	// which a worker that was never reached counts as gone.
	ttl := s.opts.Core.LeaseTTL
	ses := &session{worker: id, addr: addr, ops: make(chan queuedOp, opsQueued), lease: lease.New(ttl, time.Now().Add(ttl))}
	ses.ctx, ses.cancel = context.WithCancel(act.ctx)
	act.sessions[id] = ses
	go s.sendLoop(act, ses)
	go s.renewLoop(act, ses)
	return ses
}

// send queues an operation. What cannot be queued was not sent.
func (s *Scheduler) send(act *activation, id core.WorkerID, op platform.Op) {
	if ses, ok := act.sessions[id]; ok {
		select {
		case ses.ops <- queuedOp{Op: op, at: time.Now()}:
			return
		default:
		}
	}
	go s.answered(act, id, op, notSent(op.Kind), platform.OpResult{Reason: core.RefusedThrottled})
}

func (s *Scheduler) sendLoop(act *activation, ses *session) {
	for {
		select {
		case first := <-ses.ops:
			if batch := s.collect(act, ses, first); len(batch) > 0 {
				s.sendBatch(act, ses, batch)
			}
		case <-ses.ctx.Done():
			s.dropQueued(act, ses)
			return
		}
	}
}

// dropQueued answers what a replaced session did not send.
func (s *Scheduler) dropQueued(act *activation, ses *session) {
	for {
		select {
		case op := <-ses.ops:
			s.answered(act, ses.worker, op.Op, notSent(op.Kind), platform.OpResult{Reason: core.RefusedThrottled})
		default:
			return
		}
	}
}

// collect gathers a batch and holds it back until the lease on the worker and the role
// are surely in order. What waits for longer than a reservation lives is not sent.
func (s *Scheduler) collect(act *activation, ses *session, first queuedOp) []platform.Op {
	queue := []queuedOp{first}
	for !ses.lease.Held(time.Now()) || !s.election.Confirmed() {
		if time.Since(first.at) > s.opts.Core.ReserveTTL || ses.ctx.Err() != nil {
			break
		}
		pause(ses.ctx, leasePoll)
	}
	for len(ses.ops) > 0 && len(queue) < opsPerCall {
		queue = append(queue, <-ses.ops)
	}
	if ses.ctx.Err() == nil && ses.lease.Held(time.Now()) && s.election.Confirmed() {
		batch := make([]platform.Op, len(queue))
		for i, op := range queue {
			batch[i] = op.Op
		}
		return batch
	}
	for _, op := range queue {
		s.answered(act, ses.worker, op.Op, notSent(op.Kind), platform.OpResult{Reason: core.RefusedThrottled})
	}
	return nil
}

func (s *Scheduler) sendBatch(act *activation, ses *session, ops []platform.Op) {
	ses.list.Lock()
	defer ses.list.Unlock()
	slow := time.AfterFunc(slowCall, func() { s.setDirect(act, ses, core.WorkerUnreachable) })
	defer slow.Stop()
	ctx, cancel := context.WithTimeout(ses.ctx, s.opts.Core.ReserveTTL)
	defer cancel()
	sent := time.Now()
	results, err := s.backend.Do(ctx, ses.addr, platform.Batch{Holder: act.holder, TTL: s.opts.Core.LeaseTTL, Ops: ops})
	s.metrics.workerCalls.Add("do", 1)
	switch {
	case err == nil && len(results) == len(ops):
		s.takeResults(act, ses, ops, results, sent)
	case errors.Is(err, platform.ErrNotApplied):
		for _, op := range ops {
			s.answered(act, ses.worker, op, notSent(op.Kind), platform.OpResult{})
		}
	default:
		ses.lease.Unsure(time.Now())
		for _, op := range ops {
			s.answered(act, ses.worker, op, core.CallUnknown, platform.OpResult{})
		}
	}
}

func (s *Scheduler) takeResults(act *activation, ses *session, ops []platform.Op, results []platform.OpResult, sent time.Time) {
	renewed := true
	for i, op := range ops {
		r := results[i]
		switch {
		case r.OK:
			s.answered(act, ses.worker, op, core.CallDone, r)
		case r.Reason == core.RefusedLowTerm:
			renewed = false
			s.answered(act, ses.worker, op, core.CallUnknown, r)
		default:
			if r.Reason == core.RefusedLeaving {
				s.setDirect(act, ses, core.WorkerLeaving)
			}
			s.answered(act, ses.worker, op, refusalResult(op.Kind, r.Reason), r)
		}
	}
	if renewed {
		ses.lease.Renewed(sent, time.Now())
		return
	}
	// The renewal tells which term the worker knows.
	s.election.Observe(act.holder.Term, true)
}

// refusalResult is what a worker's refusal proves. Only a worker that does not know the
// task proves that a stopped task does not run.
func refusalResult(kind platform.OpKind, reason core.RefusalReason) core.CallResult {
	if isStop(kind) && reason != core.RefusedUnknown {
		return core.CallUnknown
	}
	return core.CallRefused
}

// notSent is the result of a call that never reached the worker: a reservation or start
// did not happen, a stop is still to be done.
func notSent(kind platform.OpKind) core.CallResult {
	if isStop(kind) {
		return core.CallUnknown
	}
	return core.CallRefused
}

func isStop(kind platform.OpKind) bool {
	return kind != platform.OpReserve && kind != platform.OpStart
}

func (s *Scheduler) answered(act *activation, id core.WorkerID, op platform.Op, result core.CallResult, r platform.OpResult) {
	switch op.Kind {
	case platform.OpReserve:
		s.feed(act, core.ReserveDone{Task: op.Task, Worker: id, Result: result, Reason: r.Reason})
	case platform.OpStart:
		s.feed(act, core.StartDone{Task: op.Task, Worker: id, Result: result, Reason: r.Reason})
	default:
		s.feed(act, core.StopDone{Task: op.Task, Worker: id, Result: result, Checkpointed: r.Checkpointed, Lost: r.Lost})
	}
}
