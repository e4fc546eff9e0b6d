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
	// sweepInterval is how often the leader looks for ended jobs whose retention has expired.
	sweepInterval = 10 * time.Second
	// maxSweepRecords bounds the records that are dropped from a topic in one sweep.
	maxSweepRecords = 1000
	// sweepMargin is added to the retention of ended jobs.
	sweepMargin = 30 * time.Second
)

// sweep drops ended jobs whose retention has expired from the log: first the submissions, then
// the ends, so that no submission is ever left without its end. It also drops the cancellations of jobs
// that have not become known in the same time.
func (l *leader) sweep(ctx context.Context) {
	if time.Since(l.sweptAt) < sweepInterval {
		return
	}
	l.sweptAt = time.Now()
	var ids []string
	var jobs []sharedlog.Record
	cutoffMs := l.sweptAt.Add(-l.host.settings.EndedRetention - sweepMargin).UnixMilli()
	l.host.ledger.Each(func(id string, e *ledger.Entry) {
		if len(jobs) >= maxSweepRecords {
			return
		}
		if e.Ended != nil && e.Ended.AtMs < cutoffMs {
			ids = append(ids, id)
			jobs = append(jobs, e.JobTombstones(id)...)
		}
		jobs = append(jobs, e.ExpiredCancels(id, cutoffMs)...)
	})
	if len(jobs) == 0 {
		return
	}
	go func() {
		for _, topic := range ledger.TopicsJobs {
			if _, err := l.host.log.Append(ctx, topic, jobs, sharedlog.AppendOptions{}); err != nil {
				event.Error(l.host.logger, err, event.LogWriteError, "what", "sweep", "topic", topic.String())
				return
			}
		}
		l.post(func(dispatch.Now) { l.expired = append(l.expired, ids...) })
	}()
}
