package gate

import (
	"context"
	"net/http"
	"time"

	"agatewinch/internal/api"
	"agatewinch/internal/config"
	"agatewinch/internal/core"
	"agatewinch/internal/errkind"
	"agatewinch/internal/wire"
)

// applyTimeout bounds the wait for the result of a proposal to appear in the log.
const applyTimeout = 20 * time.Second

func (g *Gate) getConfig(_ context.Context, x *exchange) error {
	cur := g.follower.Current()
	unreadable, _ := g.follower.Unreadable()
	x.answer(http.StatusOK, api.ConfigAnswer{Generation: cur.Generation, Set: cur.Set, Unreadable: unreadable})
	return nil
}

// apply puts a configuration set in force, all or nothing. A dry run only validates it.
func (g *Gate) apply(ctx context.Context, x *exchange) error {
	var req api.ApplyRequest
	if err := x.decode(&req); err != nil {
		return err
	}
	if faults := req.Set.Check(); len(faults) > 0 {
		return errkind.New(errkind.InvalidConfig, "%v", config.JoinFaults(faults))
	}
	if req.DryRun {
		x.answer(http.StatusOK, api.ApplyAnswer{})
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, applyTimeout)
	defer cancel()
	gen, err := g.follower.Apply(ctx, config.Proposal{ID: req.ID, Base: req.Base, Force: req.Force, Set: &req.Set})
	if err != nil {
		return err
	}
	x.answer(http.StatusOK, api.ApplyAnswer{Generation: gen})
	return nil
}

// status responds with the status of this gate and of all schedulers.
func (g *Gate) status(ctx context.Context, x *exchange) error {
	replies, unreachable := fanOut[wire.StatusReply](ctx, g, wire.KindStatus, wire.Empty{})
	x.answer(http.StatusOK, api.StatusAnswer{
		Gate: g.opts.Host, Generation: g.follower.Current().Generation, Ready: g.Ready(), Schedulers: replies, Unreachable: unreachable,
	})
	return nil
}

// listAll lists the live jobs of all organisations, or of the one in the query.
func (g *Gate) listAll(ctx context.Context, x *exchange) error {
	org := x.r.URL.Query().Get("organisation")
	if err := g.checkOrganisation(org); org != "" && err != nil {
		return err
	}
	return g.answerList(ctx, x, core.OrgID(org))
}

// operatorPathJob returns the ID of the job whose organisation and request ID are in the path.
func (g *Gate) operatorPathJob(x *exchange) (core.JobID, error) {
	org := x.r.PathValue("organisation")
	if err := g.checkOrganisation(org); err != nil {
		return "", err
	}
	return x.pathJob(org)
}

func (g *Gate) checkOrganisation(name string) error {
	set := g.follower.Current().Set
	if set == nil {
		return errkind.New(errkind.NoConfiguration, "no configuration is in force on this host yet")
	}
	if _, ok := set.Organisation(name); !ok {
		return errkind.New(errkind.UnknownOrg, "organisation %q is not configured", name)
	}
	return nil
}

func (g *Gate) getAny(ctx context.Context, x *exchange) error {
	job, err := g.operatorPathJob(x)
	if err != nil {
		return err
	}
	return g.answerWait(ctx, x, job)
}

func (g *Gate) cancelAny(ctx context.Context, x *exchange) error {
	job, err := g.operatorPathJob(x)
	if err != nil {
		return err
	}
	return g.answerCancel(ctx, x, job)
}

// explain responds with the scheduler's explanation of a job's state.
func (g *Gate) explain(ctx context.Context, x *exchange) error {
	job, err := g.operatorPathJob(x)
	if err != nil {
		return err
	}
	reply, err := g.router.Explain(ctx, wire.Explain{Job: job})
	if err != nil {
		return err
	}
	x.answer(http.StatusOK, reply)
	return nil
}

func (g *Gate) drainHost(ctx context.Context, x *exchange) error   { return g.setDrain(ctx, x, false) }
func (g *Gate) undrainHost(ctx context.Context, x *exchange) error { return g.setDrain(ctx, x, true) }

// setDrain marks a worker as leaving, or removes the mark if undo is true. All schedulers
// get the change, so that it survives a failover to another active scheduler.
func (g *Gate) setDrain(ctx context.Context, x *exchange, undo bool) error {
	host := x.r.PathValue("host")
	if err := g.checkWorker(host); err != nil {
		return err
	}
	replies, unreachable := fanOut[wire.Empty](ctx, g, wire.KindDrain, wire.Drain{Worker: core.WorkerID(host), Undo: undo})
	if len(replies) == 0 {
		return errkind.New(errkind.NoScheduler, "no scheduler accepted the change of the worker's drain state")
	}
	x.answer(http.StatusOK, api.DrainAnswer{Host: host, Draining: !undo, Schedulers: len(replies), Unreachable: unreachable})
	return nil
}

func (g *Gate) checkWorker(host string) error {
	set := g.follower.Current().Set
	if set == nil {
		return errkind.New(errkind.NoConfiguration, "no configuration is in force on this host yet")
	}
	for _, r := range set.Racks {
		for _, w := range r.Workers {
			if w.Name == host {
				return nil
			}
		}
	}
	return errkind.New(errkind.NotFound, "no worker %q is configured", host)
}
