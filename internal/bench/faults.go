package bench

import (
	"context"

	"github.com/gravitational/trace"

	"agatewinch/internal/core"
	"agatewinch/internal/standin"
)

// BreakWorkers makes the first n workers of the fleet fail everything they start; the
// returned function mends them.
func (d *Driver) BreakWorkers(ctx context.Context, n int) (restore func(), err error) {
	var broken []core.WorkerID
	for _, r := range Sizes()[0].Set().Racks {
		if len(broken) < n {
			broken = append(broken, core.WorkerID(r.Workers[0].Name))
		}
	}
	admin := d.admin()
	for _, id := range broken {
		if err := admin.SetWorker(ctx, id, standin.WorkerFaults{FailAll: true}); err != nil {
			return nil, trace.Wrap(err)
		}
	}
	return func() {
		for _, id := range broken {
			_ = admin.SetWorker(context.WithoutCancel(ctx), id, standin.WorkerFaults{})
		}
	}, nil
}

func (d *Driver) admin() *standin.Admin {
	return &standin.Admin{Base: d.Target.Platform, Client: d.http}
}
