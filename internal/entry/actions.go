package entry

import (
	"context"
	"expvar"
	"time"

	"agatewinch/internal/core/dispatch"
	"agatewinch/internal/event"
	"agatewinch/internal/metrics"
)

// decisions counts what the leader decided and observed, by kind, as in the lines of event.Decision.
var decisions = expvar.NewMap("agatewinch_decisions")

// dispatchActions logs the core's notes, sends its calls and starts the next append to the log.
// Each outgoing call runs in a goroutine of its own, which posts the result to the core. While the
// leader's permission to send orders has run out, it makes no decisions and only renews leases.
func (l *leader) dispatchActions(ctx context.Context) {
	var actions dispatch.Actions
	now := l.now() // before the checks: a pause after them must not lengthen a lease
	l.core.LimitLeases(now.Mono + l.permission.leaseLeft())
	switch {
	case l.permission.valid():
		began := time.Now()
		actions = l.core.TakeActions(now)
		if actions.Scheduled {
			l.core.CycleTook(time.Since(began))
		}
	case l.permission.mayRenewLeases():
		actions = l.core.TakeProbes(now)
	}
	for _, n := range actions.Notes {
		decisions.Add(n.Kind, 1)
		event.Info(l.host.logger, event.Decision, "what", n.Kind, "job", n.Job, "task", n.Task, "run", n.Run, "worker", n.Worker, "why", n.Why, "epoch", l.epoch)
	}
	for _, loss := range actions.Losses {
		l.host.metrics.Lose(loss.Cause, loss.CoreSeconds)
	}
	for _, runs := range actions.Interruptions {
		l.host.metrics.Interrupted(runs)
	}
	for _, s := range actions.Starts {
		l.observeStartLatency(s)
		go func() {
			o := l.start(ctx, s)
			l.post(func(now dispatch.Now) { l.checkFence(o, s.Worker); l.core.StartAnswered(now, s, o) })
		}()
	}
	for _, s := range actions.Stops {
		go func() {
			o := l.order(func() dispatch.Outcome { return l.host.workers.Stop(ctx, s, l.epoch) })
			l.post(func(now dispatch.Now) { l.checkFence(o, s.Worker); l.core.StopAnswered(now, s, o) })
		}()
	}
	for _, p := range actions.Probes {
		go func() {
			rep, o := l.host.workers.Probe(ctx, p, l.epoch)
			l.post(func(now dispatch.Now) {
				l.checkFence(o, p.Worker)
				if o == dispatch.Accepted {
					l.core.ProbeAnswered(now, p, rep)
				} else {
					l.core.ProbeFailed(now, p, o)
				}
			})
		}()
	}
	for _, p := range actions.Paces {
		go func() {
			o := l.order(func() dispatch.Outcome { return l.host.workers.Pace(ctx, p, l.epoch) })
			l.post(func(now dispatch.Now) { l.checkFence(o, p.Worker); l.core.PaceAnswered(now, p, o) })
		}()
	}
	for _, a := range actions.AdviceRequests {
		go func() {
			tickets, err := l.host.advisor.Advise(ctx, a)
			l.post(func(now dispatch.Now) { l.core.AdviceAnswered(now, a, tickets, err) })
		}()
	}
	l.dispatchWaves(ctx, actions)
	l.append(ctx)
}

// order sends an order unless the permission has run out since it was decided, for example because
// the process was paused.
func (l *leader) order(send func() dispatch.Outcome) dispatch.Outcome {
	if !l.permission.valid() {
		return dispatch.Withheld
	}
	return send()
}

// start sends a start unless its zone has been evacuated since it was decided, or may have been.
func (l *leader) start(ctx context.Context, s dispatch.Start) dispatch.Outcome {
	if !l.mayStartIn(s.Zone) {
		return dispatch.Withheld
	}
	return l.order(func() dispatch.Outcome { return l.host.workers.Start(ctx, s, l.epoch) })
}

// observeStartLatency records the time from a job's acceptance to the start call for run 1 of task 0
// of step 0, in each occurrence of the job.
func (l *leader) observeStartLatency(s dispatch.Start) {
	if s.Run != 1 || s.Task.Step != 0 || s.Task.Index != 0 {
		return
	}
	if e, ok := l.host.ledger.Find(s.Task.Job); ok && e.Job != nil {
		l.host.metrics.Observe(e.Job.Org, e.Job.Queue, metrics.Start, time.Since(time.UnixMilli(e.Job.AcceptedMs)))
	}
}

// checkFence marks the role as lost if the outcome of a call is that its receiver, a worker or the
// machine service, has seen a higher epoch. worker names the worker or, for an upkeep, the machine.
func (l *leader) checkFence(o dispatch.Outcome, worker string) {
	if o == dispatch.Fenced {
		event.Info(l.host.logger, event.LeaseRefused, "worker", worker, "epoch", l.epoch)
		l.lossReason = "a worker or the machine service has seen a higher epoch"
	}
}
