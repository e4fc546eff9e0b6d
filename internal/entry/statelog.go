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
	// refusedHolder is how long the log may refuse the holder's records before a peer is
	// asked to take the role over: several tries.
	refusedHolder = 300 * time.Millisecond
	// releaseTime bounds the giving up of the role at a planned stop.
	releaseTime = 1500 * time.Millisecond
)

// append writes the open batch, or renews the role; one append is on its way at a time.
func (d *decider) append(ctx context.Context) {
	if d.appending || d.superseded != "" {
		return
	}
	batch := d.core.TakeBatch()
	if batch == nil && len(d.expired) == 0 && time.Since(d.appendedAt) < renewEvery {
		return
	}
	records := d.records(batch)
	for _, id := range d.expired {
		records = append(records, ledger.DropEnd(id))
	}
	d.expired = nil
	if len(records) == 0 {
		rec, err := ledger.RoleRecord(ledger.Role{Epoch: d.epoch, Holder: d.host.set.Host, Incarnation: d.host.incarnation})
		if err != nil {
			d.superseded = err.Error()
			return
		}
		records = append(records, rec)
	}
	d.sequence++
	d.appending = true
	sequence := d.sequence
	go func() {
		err := d.appendUntilKnown(ctx, records, sequence)
		d.post(func(now dispatch.Now) { d.appended(now, batch, err) })
	}()
}

func (d *decider) records(b *dispatch.Batch) []sharedlog.Record {
	if b == nil {
		return nil
	}
	var records []sharedlog.Record
	add := func(r sharedlog.Record, err error) {
		if err != nil {
			event.Error(d.host.out, err, event.LogWriteError)
			return
		}
		records = append(records, r)
	}
	for _, t := range b.Tasks {
		add(ledger.TaskRecord(t.ID, t.Record))
	}
	for _, e := range b.Ends {
		if entry, ok := d.host.ledger.Find(e.ID); ok && entry.Job != nil {
			d.host.metrics.Observe(entry.Job.Org, entry.Job.Queue, metrics.Completion, time.Duration(e.AtMs-entry.Job.AcceptedMs)*time.Millisecond)
		}
		add(ledger.EndRecord(e.ID, ledger.Ended{State: e.State, AtMs: e.AtMs}))
	}
	for _, id := range b.Dropped {
		records = append(records, ledger.DropTask(id))
	}
	return records
}

// appendUntilKnown repeats an append, with its sequence number, until the log says what
// became of it.
func (d *decider) appendUntilKnown(ctx context.Context, records []sharedlog.Record, sequence int64) error {
	retry := newBackoff()
	var refusedAt time.Time
	asked := false
	for {
		offset, err := d.host.log.Append(ctx, ledger.TopicState, records, sharedlog.AppendOptions{Fence: &sharedlog.Fence{Epoch: d.epoch, Sequence: sequence}})
		if err == nil {
			d.host.state.ingest(offset, records, offset+int64(len(records)))
			return nil
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if !errors.Is(err, sharedlog.ErrUnknown) && !errors.Is(err, sharedlog.ErrRefused) {
			return err
		}
		event.Error(d.host.out, err, event.LogWriteError, "records", len(records), "epoch", d.epoch)
		switch {
		case errors.Is(err, sharedlog.ErrUnknown):
			refusedAt = time.Time{} // a lost answer is no refusal
		case refusedAt.IsZero():
			refusedAt = time.Now()
		case !asked && time.Since(refusedAt) >= refusedHolder && d.host.successors != nil:
			// The log may serve others: without this they would wait for this host's silence.
			asked = d.host.successors.AskSuccessor(ctx, d.epoch, d.host.set.Host)
		}
		sleep(ctx, retry.NextBackOff())
	}
}

func (d *decider) appended(now dispatch.Now, batch *dispatch.Batch, err error) {
	d.appending = false
	if err != nil {
		event.Error(d.host.out, err, event.RoleSuperseded, "epoch", d.epoch)
		d.superseded = err.Error()
		return
	}
	d.appendedAt = time.Now()
	if batch != nil {
		d.core.Recorded(now, batch)
	}
}

// release writes that the role is free once what is on its way has been recorded.
func (d *decider) release(ctx context.Context, why string) string {
	deadline := time.After(releaseTime)
	for d.appending {
		select {
		case f := <-d.events:
			f(d.now())
		case <-deadline:
			return why + "; the log did not answer"
		}
	}
	if d.superseded != "" {
		return d.superseded
	}
	rec, err := ledger.RoleRecord(ledger.Role{Epoch: d.epoch, Holder: d.host.set.Host, Incarnation: d.host.incarnation, Released: true})
	if err != nil {
		return err.Error()
	}
	ctx, cancel := context.WithTimeout(ctx, releaseTime)
	defer cancel()
	if err := d.appendUntilKnown(ctx, []sharedlog.Record{rec}, d.sequence+1); err != nil {
		return why + "; " + err.Error()
	}
	return why
}
