package entry

import (
	"context"
	"errors"
	"time"

	"agatewinch/internal/core/dispatch"
	"agatewinch/internal/event"
	"agatewinch/internal/ledger"
	"agatewinch/internal/metrics"
	"agatewinch/internal/sharedlog"
)

const (
	// successorDelay is how long the log may refuse the leader's records before a peer is
	// asked to take over the role: several retries.
	successorDelay = 300 * time.Millisecond
	// releaseTimeout bounds each of the two steps of giving up the role: the wait for the
	// append in flight, and the append that releases the role.
	releaseTimeout = 1500 * time.Millisecond
)

// append writes the core's open batch and the tombstones of expired jobs, or renews the role if there
// is nothing to write and renewInterval has passed or the permission has run out. Only one append is in
// flight at a time.
func (l *leader) append(ctx context.Context) {
	if l.appendInFlight || l.lossReason != "" {
		return
	}
	batch, forecast := l.core.TakeBatch(), l.forecastRecords()
	if batch == nil && len(l.expired) == 0 && len(forecast) == 0 && l.permission.valid() && time.Since(l.appendedAt) < renewInterval {
		return
	}
	records := l.encodeBatch(batch)
	for _, id := range l.expired {
		records = append(records, ledger.EndTombstone(id))
	}
	l.expired = nil
	records = append(records, forecast...)
	if len(records) == 0 {
		rec, err := l.roleRecord(false)
		if err != nil {
			l.lossReason = err.Error()
			return
		}
		records = append(records, rec)
	}
	l.sequence++
	l.appendInFlight = true
	sequence := l.sequence
	go func() {
		sentAt, err := l.appendWithRetry(ctx, records, sequence)
		l.post(func(now dispatch.Now) { l.appendDone(now, batch, sentAt, err) })
	}()
}

// encodeBatch returns the records of a batch and observes the completion times of the jobs that
// end in it.
func (l *leader) encodeBatch(b *dispatch.Batch) []sharedlog.Record {
	if b == nil {
		return nil
	}
	var records []sharedlog.Record
	add := func(r sharedlog.Record, err error) {
		if err != nil {
			event.Error(l.host.logger, err, event.LogWriteError)
			return
		}
		records = append(records, r)
	}
	for _, t := range b.Tasks {
		add(ledger.TaskRecord(t.ID, t.Record))
	}
	for _, e := range b.Ends {
		if entry, ok := l.host.ledger.Find(e.ID); ok && entry.Job != nil {
			l.host.metrics.Observe(entry.Job.Org, entry.Job.Queue, metrics.Completion, time.Duration(e.AtMs-entry.Job.AcceptedMs)*time.Millisecond)
		}
		add(ledger.EndRecord(e.ID, ledger.Ended{State: e.State, AtMs: e.AtMs}))
	}
	for _, id := range b.Dropped {
		records = append(records, ledger.TaskTombstone(id))
	}
	for _, w := range b.Waves {
		if w.Dropped {
			records = append(records, ledger.WaveTombstone(w.Wave))
			continue
		}
		add(ledger.WaveRecord(w.Wave, ledger.Wave{Ordered: w.Ordered, Done: w.Done}))
	}
	return records
}

// appendWithRetry repeats an append, with the same sequence number, while the log refuses it or
// leaves its outcome unknown. If the log keeps refusing it, a peer is asked to take over the
// role, and this leader gives no more orders once one has agreed. It returns when the append
// was first sent, by sinceBoot.
func (l *leader) appendWithRetry(ctx context.Context, records []sharedlog.Record, sequence int64) (time.Duration, error) {
	retry := newBackoff()
	var refusedAt time.Time
	asked := false
	sentAt := l.host.sinceBoot() // of the first try: the log answers a repeat as it did the first time
	for {
		offset, err := l.host.log.Append(ctx, ledger.TopicState, records, sharedlog.AppendOptions{Fence: &sharedlog.Fence{Epoch: l.epoch, Sequence: sequence}})
		if err == nil {
			l.host.stateReader.ingest(offset, records, offset+int64(len(records)))
			return sentAt, nil
		}
		if ctx.Err() != nil {
			return 0, ctx.Err()
		}
		if !errors.Is(err, sharedlog.ErrUnknown) && !errors.Is(err, sharedlog.ErrRefused) {
			return 0, err
		}
		event.Error(l.host.logger, err, event.LogWriteError, "records", len(records), "epoch", l.epoch)
		switch {
		case errors.Is(err, sharedlog.ErrUnknown):
			refusedAt = time.Time{} // a lost answer is not a refusal
		case refusedAt.IsZero():
			refusedAt = time.Now()
		case !asked && time.Since(refusedAt) >= successorDelay && l.host.successors != nil:
			// The log may serve other hosts, which would otherwise take over only after
			// leaderTimeout.
			if asked = l.host.successors.AskSuccessor(ctx, l.epoch, l.host.settings.Host); asked {
				l.permission.withdraw()
			}
		}
		sleep(ctx, retry.NextBackOff())
	}
}

func (l *leader) appendDone(now dispatch.Now, batch *dispatch.Batch, sentAt time.Duration, err error) {
	l.appendInFlight = false
	if err != nil {
		event.Error(l.host.logger, err, event.RoleSuperseded, "epoch", l.epoch)
		l.lossReason = err.Error()
		return
	}
	l.appendedAt = time.Now()
	l.permission.renew(sentAt)
	if batch != nil {
		l.core.Recorded(now, batch)
	}
}

// roleRecord returns the record with which the leader renews the role or gives it up.
func (l *leader) roleRecord(released bool) (sharedlog.Record, error) {
	elapsed := time.Since(l.startedAt)
	return ledger.RoleRecord(ledger.Role{
		Epoch: l.epoch, Holder: l.host.settings.Host, Incarnation: l.host.incarnation, Released: released,
		FormerRenewalMs: max(0, l.formerRenewalTime-elapsed).Milliseconds(), LeaseLimitMs: limitAfter(l.formerLeaseTime - elapsed),
	})
}

// release waits for the append in flight and then records that the role is free. It returns why,
// with any failure added, or the reason for the loss of the role if it was lost while waiting.
func (l *leader) release(ctx context.Context, why string) string {
	deadline := time.After(releaseTimeout)
	for l.appendInFlight {
		select {
		case f := <-l.events:
			f(l.now())
		case <-deadline:
			return why + "; the log did not answer"
		}
	}
	if l.lossReason != "" {
		return l.lossReason
	}
	rec, err := l.roleRecord(true)
	if err != nil {
		return err.Error()
	}
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	if _, err := l.appendWithRetry(ctx, []sharedlog.Record{rec}, l.sequence+1); err != nil {
		return why + "; " + err.Error()
	}
	return why
}
