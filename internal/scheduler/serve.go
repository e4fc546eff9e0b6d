package scheduler

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"

	"agatewinch/internal/core"
	"agatewinch/internal/errkind"
	"agatewinch/internal/wire"
)

// maxWait limits how long one call may wait for a job to end.
const maxWait = 30 * time.Second

// Handle answers one request from a gate or another scheduler.
func (s *Scheduler) Handle(ctx context.Context, kind wire.Kind, body cbor.RawMessage) (any, error) {
	s.metrics.messages.Add(string(kind), 1)
	s.metrics.messageBytes.Add(string(kind), int64(len(body)))
	if kind == wire.KindHeartbeat {
		return decodeThen(ctx, body, s.handleHeartbeat)
	}
	s.callsInProgress.Add(1)
	defer s.callsInProgress.Add(-1)
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
	case wire.KindConfig:
		return decodeThen(ctx, body, s.handleConfig)
	case wire.KindDrain:
		return decodeThen(ctx, body, s.handleDrain)
	default:
		return nil, errkind.New(errkind.InvalidRequest, "unknown message kind %q", kind)
	}
}

// decodeThen decodes the body of a request and passes it to h.
func decodeThen[Req, Reply any](ctx context.Context, body cbor.RawMessage, h func(context.Context, Req) (Reply, error)) (any, error) {
	var req Req
	if err := wire.DecodeBody(body, &req); err != nil {
		return nil, errkind.New(errkind.InvalidRequest, "cannot decode the body of the peer message")
	}
	return h(ctx, req)
}

func (s *Scheduler) handleHeartbeat(_ context.Context, hb wire.Heartbeat) (wire.Heartbeat, error) {
	return s.peers.HandleHeartbeat(hb), nil
}

func (s *Scheduler) handleConfig(_ context.Context, req wire.Config) (wire.ConfigReply, error) {
	cur := s.config.Current()
	if cur.Generation <= req.Have {
		return wire.ConfigReply{Generation: cur.Generation}, nil
	}
	return wire.ConfigReply{Generation: cur.Generation, Record: cur.Record}, nil
}

// errNotActive is the answer to a call that only the zone's leader can serve, such as one
// about a job that this process does not know. The call has had no effect.
func errNotActive() error {
	return errkind.New(errkind.NoScheduler, "this scheduler is a standby, not the active scheduler of its zone")
}

func (s *Scheduler) handleWait(ctx context.Context, req wire.Wait) (wire.JobReply, error) {
	j, err := callOnLoop(ctx, s, func() (*trackedJob, error) { return s.requireJob(req.Job) })
	if err != nil {
		return wire.JobReply{}, err
	}
	return s.await(ctx, j, req.Wait)
}

// requireJob returns a tracked job, or the error to answer when there is none.
func (s *Scheduler) requireJob(id core.JobID) (*trackedJob, error) {
	if j, ok := s.findJob(id); ok {
		return j, nil
	}
	if s.act == nil {
		return nil, errNotActive()
	}
	return nil, errkind.New(errkind.NotFound, "job %s is not known", id)
}

// await returns the job's state as soon as the job has ended, the wait has expired, the
// process begins to stop, or it no longer serves the job.
func (s *Scheduler) await(ctx context.Context, j *trackedJob, wait time.Duration) (wire.JobReply, error) {
	timer := time.NewTimer(min(wait, maxWait))
	defer timer.Stop()
	stopping := false
	select {
	case <-j.done:
	case <-timer.C:
	case <-s.stopping:
		stopping = true
	case <-ctx.Done():
		return wire.JobReply{}, trace.Wrap(ctx.Err())
	}
	return callOnLoop(ctx, s, func() (wire.JobReply, error) {
		reply := j.reply()
		reply.Elsewhere = j.elsewhere || stopping && j.outcome == nil
		return reply, j.refusal
	})
}

func (s *Scheduler) handleCancel(ctx context.Context, req wire.Cancel) (wire.JobReply, error) {
	return callOnLoop(ctx, s, func() (wire.JobReply, error) {
		j, err := s.requireJob(req.Job)
		if err != nil {
			return wire.JobReply{}, err
		}
		s.applyEvent(s.act, core.JobCancelled{Job: req.Job})
		return j.reply(), nil
	})
}

func (s *Scheduler) handleList(ctx context.Context, req wire.List) (wire.ListReply, error) {
	return callOnLoop(ctx, s, func() (wire.ListReply, error) {
		var reply wire.ListReply
		for _, j := range s.jobs {
			if j.outcome != nil || req.Org != "" && j.job.Org != req.Org {
				continue
			}
			reply.Jobs = append(reply.Jobs, wire.JobSummary{
				Job: j.job.ID, Org: j.job.Org, Caller: j.job.Caller, Class: j.job.Class, State: j.state, Shape: j.job.Shape,
			})
		}
		slices.SortFunc(reply.Jobs, func(a, b wire.JobSummary) int { return cmp.Compare(a.Job, b.Job) })
		reply.Jobs = reply.Jobs[:min(len(reply.Jobs), req.Limit)]
		return reply, nil
	})
}

func (s *Scheduler) handleExplain(ctx context.Context, req wire.Explain) (core.Explanation, error) {
	return callOnLoop(ctx, s, func() (core.Explanation, error) {
		if s.act == nil {
			return core.Explanation{}, errNotActive()
		}
		ex, ok := s.act.core.Explain(req.Job)
		if !ok {
			return ex, errkind.New(errkind.NotFound, "job %s is neither queued nor running", req.Job)
		}
		return ex, nil
	})
}

func (s *Scheduler) handleStatus(ctx context.Context, _ wire.Empty) (wire.StatusReply, error) {
	_, term := s.election.Active()
	return callOnLoop(ctx, s, func() (wire.StatusReply, error) {
		reply := wire.StatusReply{
			Host: s.opts.Host, Zone: s.opts.Zone, Active: s.act != nil, Term: term, LogUp: s.election.LogUp(),
			Generation: s.config.Current().Generation, Peers: s.peers.LivePeers(s.opts.Zone),
			Metrics: s.metrics.histograms.Snapshot().Series,
		}
		if s.act == nil {
			return reply, nil
		}
		reply.Load = s.act.core.Stats()
		for _, use := range s.act.core.WorkerUses() {
			status := wire.WorkerStatus{Worker: use.Worker, Rack: use.Rack, Tasks: use.Tasks, Health: core.WorkerUnreachable}
			if ses, ok := s.act.sessions[use.Worker]; ok {
				status.Health = ses.reportedHealth
			}
			reply.Workers = append(reply.Workers, status)
		}
		return reply, nil
	})
}

// handleDrain marks a worker as leaving, or removes the mark. Gates send the request to every
// scheduler, so that the mark survives a change of the leader.
func (s *Scheduler) handleDrain(ctx context.Context, req wire.Drain) (wire.Empty, error) {
	return callOnLoop(ctx, s, func() (wire.Empty, error) {
		if req.Undo {
			delete(s.drainRequested, req.Worker)
		} else {
			s.drainRequested[req.Worker] = true
		}
		if s.act == nil {
			return wire.Empty{}, nil
		}
		if ses, ok := s.act.sessions[req.Worker]; ok {
			s.updateHealth(s.act, ses)
		}
		return wire.Empty{}, nil
	})
}
