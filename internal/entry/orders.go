package entry

import (
	"context"
	"time"

	"agatewinch/internal/core/dispatch"
	"agatewinch/internal/event"
	"agatewinch/internal/metrics"
)

// drive carries out what the core wants.
func (d *decider) drive(ctx context.Context) {
	actions := d.core.TakeActions(d.now())
	for _, n := range actions.Notes {
		event.Info(d.host.out, event.Decision, "what", n.What, "job", n.Job, "task", n.Task, "run", n.Run, "worker", n.Worker, "why", n.Why, "epoch", d.epoch)
	}
	for _, s := range actions.Starts {
		d.observeStart(s)
		go func() {
			o := d.host.workers.Start(ctx, s, d.epoch)
			d.post(func(now dispatch.Now) { d.checkFence(o, s.Worker); d.core.Started(now, s, o) })
		}()
	}
	for _, s := range actions.Stops {
		go func() {
			o := d.host.workers.Stop(ctx, s, d.epoch)
			d.post(func(now dispatch.Now) { d.checkFence(o, s.Worker); d.core.Stopped(now, s, o) })
		}()
	}
	for _, h := range actions.Holds {
		go func() {
			rep, o := d.host.workers.Hold(ctx, h, d.epoch)
			d.post(func(now dispatch.Now) {
				d.checkFence(o, h.Worker)
				if o == dispatch.Accepted {
					d.core.Held(now, h, rep)
				} else {
					d.core.HoldFailed(now, h, o)
				}
			})
		}()
	}
	for _, p := range actions.Paces {
		go func() {
			o := d.host.workers.Pace(ctx, p, d.epoch)
			d.post(func(now dispatch.Now) { d.checkFence(o, p.Worker); d.core.Paced(now, p, o) })
		}()
	}
	for _, a := range actions.Asks {
		go func() {
			tickets, err := d.host.advisor.Advise(ctx, a)
			d.post(func(now dispatch.Now) { d.core.Advised(now, a, tickets, err) })
		}()
	}
	d.carryOutWaves(ctx, actions)
	d.append(ctx)
}

// observeStart measures the time from a job's acceptance to its first order.
func (d *decider) observeStart(s dispatch.Start) {
	if s.Run != 1 || s.Task.Step != 0 || s.Task.Index != 0 {
		return
	}
	if e, ok := d.host.ledger.Find(s.Task.Job); ok && e.Job != nil {
		d.host.metrics.Observe(e.Job.Org, e.Job.Queue, metrics.Start, time.Since(time.UnixMilli(e.Job.AcceptedMs)))
	}
}

// checkFence gives the role up when a worker has seen a higher epoch.
func (d *decider) checkFence(o dispatch.Outcome, worker string) {
	if o == dispatch.Fenced {
		event.Info(d.host.out, event.LeaseRefused, "worker", worker, "epoch", d.epoch)
		d.superseded = "a worker has seen a higher epoch"
	}
}
