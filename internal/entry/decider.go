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
	// tickEvery is how often the core checks leases and repeats stops.
	tickEvery = 250 * time.Millisecond
	// listEvery is how often the list of workers is read.
	listEvery = 500 * time.Millisecond
	// workerLease is how long workers go on without a decider: long enough for a
	// takeover, short enough that work on a lost worker is soon started elsewhere.
	workerLease = 8 * time.Second
	// lookWait is how long a look at a worker waits for an end, the most that it may.
	lookWait = 2 * time.Second
	// sweepEvery is how often ended jobs are looked for that need not be shown any more.
	sweepEvery = 10 * time.Second
	// sweepJobs bounds the jobs that are dropped at a time.
	sweepJobs = 500
	// sweepMargin is added to the time that ended jobs are shown.
	sweepMargin = 30 * time.Second
	// cutOffTime is how long most workers may not answer before the role is given up: a
	// few looks at each.
	cutOffTime = time.Second
	// leastHeld is how long the role is held at least before it is given up for that:
	// where nobody reaches the workers it must not go round.
	leastHeld = 4 * time.Second
	// refusedHolder is how long the log may refuse the holder's records before a peer is
	// asked to take the role over: several tries.
	refusedHolder = 300 * time.Millisecond
	// releaseTime bounds the giving up of the role at a planned stop.
	releaseTime = 1500 * time.Millisecond
)

// decider runs the core while this host holds the role. One goroutine owns the core;
// calls run beside it and post what came of them.
type decider struct {
	host   *Host
	epoch  int64
	core   *dispatch.Core
	events chan func(dispatch.Now)
	began  time.Time

	sequence  int64
	appending bool
	// appendedAt is when the log last took a record.
	appendedAt time.Time
	superseded string
	sweptAt    time.Time
	// expired are ended jobs whose submissions have been dropped.
	expired []string
	catalog int64
	// cutOffAt is since when most workers have not answered this host; zero if they do.
	cutOffAt time.Time
}

// maxEvents bounds the outcomes that wait for the core; calls in flight are fewer.
const maxEvents = 4096

func newDecider(h *Host, fence sharedlog.Fence, unheard time.Duration) *decider {
	now := time.Now()
	return &decider{
		host: h, epoch: fence.Epoch, sequence: fence.Sequence, events: make(chan func(dispatch.Now), maxEvents), began: now, appendedAt: now, sweptAt: now,
		core: dispatch.New(dispatch.Settings{
			Lease: min(workerLease, h.set.MaxLease), HoldWait: lookWait,
			UnheardLease: unheard, SpreadFactor: h.set.SpreadFactor, StopTime: h.set.StopTime,
		}),
	}
}

func (d *decider) now() dispatch.Now {
	t := time.Now()
	return dispatch.Now{Mono: t.Sub(d.began), UnixMs: t.UnixMilli()}
}

// run decides until the role is lost, ctx ends or stop is closed. It returns why.
func (d *decider) run(ctx context.Context, stop <-chan struct{}) string {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	d.restore()
	go d.followWorkers(ctx)
	tick := time.NewTicker(tickEvery)
	defer tick.Stop()
	wake := time.NewTimer(tickEvery)
	defer wake.Stop()
	for {
		d.takeJobs()
		d.drive(ctx)
		if at := d.core.Wake(); at > 0 {
			wake.Reset(max(0, at-d.now().Mono))
		}
		select {
		case <-ctx.Done():
			return "process ends"
		case <-stop:
			return d.release(ctx, "planned stop")
		case f := <-d.events:
			f(d.now())
			d.drainEvents()
		case <-d.host.jobsSignal:
		case <-wake.C:
		case <-tick.C:
			d.core.Tick(d.now())
			d.sweep(ctx)
			if d.cutOff() {
				d.host.role.yield()
				return d.release(ctx, "most workers do not answer this host")
			}
		}
		if d.superseded != "" {
			return d.superseded
		}
		if time.Since(d.appendedAt) > holdWithoutLog {
			return "the log takes no records"
		}
	}
}

func (d *decider) drainEvents() {
	for {
		select {
		case f := <-d.events:
			f(d.now())
		default:
			return
		}
	}
}

// restore builds the core from the ledger.
func (d *decider) restore() {
	now := d.now()
	d.host.ledger.TakeAdded()
	if list, err := d.host.list.List(context.Background()); err == nil {
		d.core.SetWorkers(now, list)
	} else {
		event.Error(d.host.out, err, event.LogLost, "topic", "workers")
	}
	d.setCatalog()
	n := 0
	d.host.ledger.EachByArrival(func(id string, e *ledger.Entry) {
		if e.Job == nil {
			return
		}
		if e.Ended != nil {
			d.core.AddEnded(now, e.Job, e.Ended.State, e.Tasks)
			return
		}
		n++
		d.core.AddJob(now, e.Job, e.Tasks)
		if e.Cancelled {
			d.core.CancelJob(now, id)
		}
	})
	event.Info(d.host.out, event.JournalLoaded, "jobs", n, "epoch", d.epoch)
}

func (d *decider) setCatalog() {
	if c := d.host.newest(); c != nil && c.Version != d.catalog {
		d.catalog = c.Version
		d.core.SetGuarantees(c.Guarantees())
	}
}

// takeJobs hands newly recorded jobs and cancellations to the core.
func (d *decider) takeJobs() {
	d.setCatalog()
	now := d.now()
	for _, id := range d.host.ledger.TakeAdded() {
		e, ok := d.host.ledger.Find(id)
		if !ok || e.Job == nil || e.Ended != nil {
			continue
		}
		d.core.AddJob(now, e.Job, d.host.ledger.Tasks(id))
		if e.Cancelled {
			d.core.CancelJob(now, id)
		}
	}
}

func (d *decider) post(f func(dispatch.Now)) {
	d.events <- f
}

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

// followWorkers reads the list of workers.
func (d *decider) followWorkers(ctx context.Context) {
	lost := false
	for ctx.Err() == nil {
		sleep(ctx, listEvery)
		list, err := d.host.list.List(ctx)
		if err != nil {
			if !lost && ctx.Err() == nil {
				lost = true
				event.Error(d.host.out, err, event.LogLost, "topic", "workers")
			}
			continue
		}
		if lost {
			lost = false
			event.Info(d.host.out, event.LogRegained, "topic", "workers")
		}
		d.post(func(now dispatch.Now) { d.core.SetWorkers(now, list) })
	}
}

// cutOff reports whether most workers have not answered this host for a while. The load: a
// zone that is cut off with the holder in it, while hosts elsewhere reach the workers.
func (d *decider) cutOff() bool {
	answering, listed := d.core.Reach()
	if 2*answering >= listed {
		d.cutOffAt = time.Time{}
		return false
	}
	if d.cutOffAt.IsZero() {
		d.cutOffAt = time.Now()
	}
	return time.Since(d.cutOffAt) >= cutOffTime && time.Since(d.began) >= leastHeld
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
