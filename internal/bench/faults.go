package bench

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"agatewinch/internal/core"
	"agatewinch/internal/standin"
)

// checkpointTime is how long a checkpoint takes on the bench's workers.
const checkpointTime = 300 * time.Millisecond

// PrepareWorkers gives every worker the bench's checkpoint time, and makes the first n
// racks' first workers fail everything they start.
func (d *Driver) PrepareWorkers(ctx context.Context, broken int) error {
	for i, r := range Sizes()[0].Set().Racks {
		for k, w := range r.Workers {
			if err := d.prepareWorker(ctx, core.WorkerID(w.Name), i < broken && k == 0); err != nil {
				return trace.Wrap(err)
			}
		}
	}
	return nil
}

func (d *Driver) prepareWorker(ctx context.Context, id core.WorkerID, broken bool) error {
	status, err := d.admin().Worker(ctx, id)
	if err != nil {
		return trace.Wrap(err)
	}
	faults := status.Faults
	faults.CheckpointTime = checkpointTime
	faults.FailAll = broken
	return trace.Wrap(d.admin().SetWorker(ctx, id, faults))
}

func (d *Driver) admin() *standin.Admin {
	return &standin.Admin{Base: d.Target.Platform, Client: d.http}
}
