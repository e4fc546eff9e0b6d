package entry

import (
	"context"
	"time"

	"agatewinch/internal/core/dispatch"
	"agatewinch/internal/event"
	"agatewinch/internal/ledger"
	"agatewinch/internal/sharedlog"
)

const (
	// sweepEvery is how often ended jobs are looked for that need not be shown any more.
	sweepEvery = 10 * time.Second
	// sweepJobs bounds the jobs that are dropped at a time.
	sweepJobs = 500
	// sweepMargin is added to the time that ended jobs are shown.
	sweepMargin = 30 * time.Second
)

// sweep drops ended jobs that nobody may ask for any more: the submissions first, then the
// ends, so that no submission is ever left without its end.
func (d *decider) sweep(ctx context.Context) {
	if time.Since(d.sweptAt) < sweepEvery {
		return
	}
	d.sweptAt = time.Now()
	var ids []string
	var jobs []sharedlog.Record
	before := d.sweptAt.Add(-d.host.set.KeepEnded - sweepMargin).UnixMilli()
	d.host.ledger.Each(func(id string, e *ledger.Entry) {
		if e.Ended != nil && e.Ended.AtMs < before && len(ids) < sweepJobs {
			ids = append(ids, id)
			jobs = append(jobs, ledger.DropJob(id)...)
		}
	})
	if len(ids) == 0 {
		return
	}
	go func() {
		for _, topic := range ledger.TopicsJobs {
			if _, err := d.host.log.Append(ctx, topic, jobs, sharedlog.AppendOptions{}); err != nil {
				event.Error(d.host.out, err, event.LogWriteError, "what", "sweep", "topic", topic.String())
				return
			}
		}
		d.post(func(dispatch.Now) { d.expired = append(d.expired, ids...) })
	}()
}
