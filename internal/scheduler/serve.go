package scheduler

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"

	"agatewinch/internal/core"
	"agatewinch/internal/errkind"
	"agatewinch/internal/wire"
)

// maxWait bounds how long one call may wait for a job's end.
const maxWait = 30 * time.Second

// Handle answers one request from a gate or another scheduler.
func (s *Scheduler) Handle(ctx context.Context, kind wire.Kind, body cbor.RawMessage) (any, error) {
	switch kind {
	case wire.KindSubmit:
		return decodeThen(ctx, body, s.handleSubmit)
	case wire.KindWait:
		return decodeThen(ctx, body, s.handleWait)
	case wire.KindCancel:
		return decodeThen(ctx, body, s.handleCancel)
	case wire.KindList:
		return decodeThen(ctx, body, s.handleList)
	case wire.KindExplain:
		return decodeThen(ctx, body, s.handleExplain)
	case wire.KindStatus:
		return decodeThen(ctx, body, s.handleStatus)
	default:
		return nil, errkind.New(errkind.InvalidRequest, "unknown message kind %q", kind)
	}
}

func decodeThen[Req, Reply any](ctx context.Context, body cbor.RawMessage, h func(context.Context, Req) (Reply, error)) (any, error) {
	var req Req
	if err := cbor.Unmarshal(body, &req); err != nil {
		return nil, errkind.New(errkind.InvalidRequest, "malformed message")
	}
	return h(ctx, req)
}

// ask runs f on the loop and waits for its result.
func ask[T any](ctx context.Context, s *Scheduler, f func() (T, error)) (T, error) {
	type result struct {
		value T
		err   error
	}
	ch := make(chan result, 1)
	s.post(ctx, func() {
		v, err := f()
		ch <- result{v, err}
	})
	select {
	case r := <-ch:
		return r.value, r.err
	case <-ctx.Done():
		var zero T
		return zero, trace.Wrap(ctx.Err())
	}
}

func (s *Scheduler) handleSubmit(ctx context.Context, req wire.Submit) (wire.JobReply, error) {
	if req.Job.Logged {
		if err := s.write(ctx, entry{Admitted: &req.Job}); err != nil {
			return wire.JobReply{}, errkind.New(errkind.LogUnavailable, "the job could not be recorded")
		}
	}
	r, err := ask(ctx, s, func() (*record, error) { return s.admit(context.WithoutCancel(ctx), req) })
	if err != nil {
		return wire.JobReply{}, err
	}
	return s.await(ctx, r, req.Wait)
}

func (s *Scheduler) handleWait(ctx context.Context, req wire.Wait) (wire.JobReply, error) {
	r, err := ask(ctx, s, func() (*record, error) { return s.lookup(req.Job) })
	if err != nil {
		return wire.JobReply{}, err
	}
	return s.await(ctx, r, req.Wait)
}

func (s *Scheduler) lookup(id core.JobID) (*record, error) {
	r, ok := s.jobs[id]
	if !ok {
		return nil, errkind.New(errkind.NotFound, "job %s is not known", id)
	}
	return r, nil
}

func (s *Scheduler) await(ctx context.Context, r *record, wait time.Duration) (wire.JobReply, error) {
	timer := time.NewTimer(min(wait, maxWait))
	defer timer.Stop()
	select {
	case <-r.ended:
	case <-timer.C:
	case <-ctx.Done():
		return wire.JobReply{}, trace.Wrap(ctx.Err())
	}
	return ask(ctx, s, func() (wire.JobReply, error) { return r.reply(), r.refusal })
}

func (s *Scheduler) handleCancel(ctx context.Context, req wire.Cancel) (wire.JobReply, error) {
	return ask(ctx, s, func() (wire.JobReply, error) {
		r, err := s.lookup(req.Job)
		if err != nil {
			return wire.JobReply{}, err
		}
		s.step(context.WithoutCancel(ctx), core.JobCancelled{Job: req.Job})
		return r.reply(), nil
	})
}

func (s *Scheduler) handleList(ctx context.Context, req wire.List) (wire.ListReply, error) {
	return ask(ctx, s, func() (wire.ListReply, error) {
		var reply wire.ListReply
		for _, r := range s.jobs {
			if req.Org != "" && r.job.Org != req.Org || len(reply.Jobs) >= req.Limit {
				continue
			}
			reply.Jobs = append(reply.Jobs, wire.JobSummary{
				Job: r.job.ID, Org: r.job.Org, Caller: r.job.Caller, Class: r.job.Class, State: r.state, Shape: r.job.Shape,
			})
		}
		return reply, nil
	})
}

func (s *Scheduler) handleExplain(ctx context.Context, req wire.Explain) (core.Explanation, error) {
	return ask(ctx, s, func() (core.Explanation, error) {
		ex, ok := s.core.Explain(req.Job)
		if !ok {
			return ex, errkind.New(errkind.NotFound, "job %s is not live", req.Job)
		}
		return ex, nil
	})
}

func (s *Scheduler) handleStatus(ctx context.Context, _ wire.Empty) (wire.StatusReply, error) {
	return ask(ctx, s, func() (wire.StatusReply, error) {
		reply := wire.StatusReply{
			Host: s.opts.Host, Zone: s.opts.Zone, Active: s.active, Term: s.holder.Term,
			Generation: s.follow.Current().Generation, Load: s.core.Stats(),
		}
		for id, ses := range s.sessions {
			reply.Workers = append(reply.Workers, wire.WorkerStatus{Worker: id, Health: ses.health})
		}
		return reply, nil
	})
}
