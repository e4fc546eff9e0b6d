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
	opQueueSize   = 1024
	maxOpsPerCall = 64
	// slowCallThreshold is how long a worker may take to answer before it counts as
	// unreachable, so that nothing new is placed on it.
	slowCallThreshold = time.Second
	// leasePollInterval is the interval at which a delayed batch checks the lease and the
	// leader role again.
	leasePollInterval = 20 * time.Millisecond
)

// session manages the calls to one worker at one address: a queue of operations, which are
// sent in order, and a long poll that renews the lease and waits for reports.
type session struct {
	worker core.WorkerID
	// addr is empty until the worker appears in the host list.
	addr   string
	ops    chan queuedOp
	lease  *lease.Lease
	ctx    context.Context
	cancel context.CancelFunc
	// listMu is held during a renewal that lists tasks and during each batch, so that the
	// core sees lists and answers in the order in which the worker made them.
	listMu sync.Mutex

	// The fields below are accessed only by the event loop.
	observedHealth    core.WorkerHealth
	reportedHealth    core.WorkerHealth
	leavingInHostList bool
}

type queuedOp struct {
	platform.Op
	queuedAt time.Time
}

// openSession starts a session with a worker and ends its previous session, if any.
func (s *Scheduler) openSession(act *activation, id core.WorkerID, addr string) *session {
	if old, ok := act.sessions[id]; ok {
		old.cancel()
	}
	// A former leader may have renewed the lease until this activation began, and may
	// still be renewing it, which only the worker's answers would show. A worker that has
	// never been reached therefore counts as gone only after twice the lease TTL.
	ttl := s.opts.Core.LeaseTTL
	ses := &session{worker: id, addr: addr, ops: make(chan queuedOp, opQueueSize), lease: lease.New(ttl, time.Now().Add(ttl))}
	ses.ctx, ses.cancel = context.WithCancel(act.ctx)
	act.sessions[id] = ses
	go s.sendLoop(act, ses)
	go s.renewLoop(act, ses)
	return ses
}

// send queues an operation. If the worker has no session or the queue is full, the operation
// is reported to the core as not sent.
func (s *Scheduler) send(act *activation, id core.WorkerID, op platform.Op) {
	if ses, ok := act.sessions[id]; ok {
		select {
		case ses.ops <- queuedOp{Op: op, queuedAt: time.Now()}:
			return
		default:
		}
	}
	go s.reportResult(act, id, op, notSentResult(op.Kind), platform.OpResult{Reason: core.RefusedThrottled})
}

func (s *Scheduler) sendLoop(act *activation, ses *session) {
	for {
		select {
		case first := <-ses.ops:
			if batch := s.collectBatch(act, ses, first); len(batch) > 0 {
				s.sendBatch(act, ses, batch)
			}
		case <-ses.ctx.Done():
			s.failQueued(act, ses)
			return
		}
	}
}

// failQueued reports the operations that an ended session left in its queue as not sent.
func (s *Scheduler) failQueued(act *activation, ses *session) {
	for {
		select {
		case op := <-ses.ops:
			s.reportResult(act, ses.worker, op.Op, notSentResult(op.Kind), platform.OpResult{Reason: core.RefusedThrottled})
		default:
			return
		}
	}
}

// collectBatch gathers queued operations into a batch once the lease on the worker is certainly
// held and the leader role is confirmed. If that takes longer than the lifetime of a
// reservation, the operations are reported as not sent and no batch is returned.
func (s *Scheduler) collectBatch(act *activation, ses *session, first queuedOp) []platform.Op {
	queue := []queuedOp{first}
	for !ses.lease.Held(time.Now()) || !s.election.Confirmed() {
		if time.Since(first.queuedAt) > s.opts.Core.ReserveTTL || ses.ctx.Err() != nil {
			break
		}
		sleep(ses.ctx, leasePollInterval)
	}
	for len(ses.ops) > 0 && len(queue) < maxOpsPerCall {
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
		s.reportResult(act, ses.worker, op.Op, notSentResult(op.Kind), platform.OpResult{Reason: core.RefusedThrottled})
	}
	return nil
}

func (s *Scheduler) sendBatch(act *activation, ses *session, ops []platform.Op) {
	ses.listMu.Lock()
	defer ses.listMu.Unlock()
	slowTimer := time.AfterFunc(slowCallThreshold, func() { s.setObservedHealth(act, ses, core.WorkerUnreachable) })
	defer slowTimer.Stop()
	ctx, cancel := context.WithTimeout(ses.ctx, s.opts.Core.ReserveTTL)
	defer cancel()
	sent := time.Now()
	results, err := s.backend.Do(ctx, ses.addr, platform.Batch{Holder: act.holder, TTL: s.opts.Core.LeaseTTL, Ops: ops})
	s.metrics.workerCalls.Add("do", 1)
	switch {
	case err == nil && len(results) == len(ops):
		s.applyResults(act, ses, ops, results, sent)
	case errors.Is(err, platform.ErrNotApplied):
		for _, op := range ops {
			s.reportResult(act, ses.worker, op, notSentResult(op.Kind), platform.OpResult{})
		}
	default:
		ses.lease.Unanswered(time.Now())
		for _, op := range ops {
			s.reportResult(act, ses.worker, op, core.CallUnknown, platform.OpResult{})
		}
	}
}

func (s *Scheduler) applyResults(act *activation, ses *session, ops []platform.Op, results []platform.OpResult, sent time.Time) {
	renewed := true
	for i, op := range ops {
		r := results[i]
		switch {
		case r.OK:
			s.reportResult(act, ses.worker, op, core.CallDone, r)
		case r.Reason == core.RefusedLowTerm:
			renewed = false
			s.reportResult(act, ses.worker, op, core.CallUnknown, r)
		default:
			if r.Reason == core.RefusedLeaving {
				s.setObservedHealth(act, ses, core.WorkerLeaving)
			}
			s.reportResult(act, ses.worker, op, refusalResult(op.Kind, r.Reason), r)
		}
	}
	if renewed {
		ses.lease.Renewed(sent, time.Now())
		return
	}
	// The worker knows a higher term, or another holder of this one; only an answer to a lease
	// renewal contains the term. Reporting another leader of this term makes the election give
	// up the leader role in both cases.
	s.election.Observe(act.holder.Term, true)
}

// refusalResult returns what a worker's refusal implies for an operation. A refused stop
// confirms that the task does not run only if the worker does not know the task.
func refusalResult(kind platform.OpKind, reason core.RefusalReason) core.CallResult {
	if isStop(kind) && reason != core.RefusedUnknown {
		return core.CallUnknown
	}
	return core.CallRefused
}

// notSentResult returns the result of an operation that never reached the worker: a
// reservation or start did not take place, and a stop is still outstanding.
func notSentResult(kind platform.OpKind) core.CallResult {
	if isStop(kind) {
		return core.CallUnknown
	}
	return core.CallRefused
}

// isStop reports whether an operation ends a task or reservation.
func isStop(kind platform.OpKind) bool {
	return kind != platform.OpReserve && kind != platform.OpStart
}

// reportResult passes the result of an operation to the core.
func (s *Scheduler) reportResult(act *activation, id core.WorkerID, op platform.Op, result core.CallResult, r platform.OpResult) {
	switch op.Kind {
	case platform.OpReserve:
		s.postEvent(act, core.ReserveDone{Task: op.Task, Worker: id, Result: result, Reason: r.Reason})
	case platform.OpStart:
		s.postEvent(act, core.StartDone{Task: op.Task, Worker: id, Result: result, Reason: r.Reason})
	default:
		s.postEvent(act, core.StopDone{Task: op.Task, Worker: id, Result: result, Checkpointed: r.Checkpointed, Lost: r.Lost})
	}
}
