package bench

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"agatewinch/internal/core"
	"agatewinch/internal/standin"
)

// checkpointTime is the duration of a checkpoint on the bench's workers.
const checkpointTime = 300 * time.Millisecond

// PrepareWorkers sets the checkpoint time on every worker. In each of the first
// failingWorkers racks it makes the first worker fail every task. All sizes have the same racks
// and workers.
func (d *Driver) PrepareWorkers(ctx context.Context, failingWorkers int) error {
	for i, r := range Sizes()[0].Set().Racks {
		for k, w := range r.Workers {
			if err := d.prepareWorker(ctx, core.WorkerID(w.Name), i < failingWorkers && k == 0); err != nil {
				return trace.Wrap(err)
			}
		}
	}
	return nil
}

func (d *Driver) prepareWorker(ctx context.Context, id core.WorkerID, failAll bool) error {
	status, err := d.admin().WorkerStatus(ctx, id)
	if err != nil {
		return trace.Wrap(err)
	}
	faults := status.Faults
	faults.CheckpointTime = checkpointTime
	faults.FailAll = failAll
	return trace.Wrap(d.admin().SetWorkerFaults(ctx, id, faults))
}

func (d *Driver) admin() *standin.Admin {
	return &standin.Admin{BaseURL: d.Target.Platform, Client: d.http}
}
