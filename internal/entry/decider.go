package entry

import (
	"context"
	"sync/atomic"
	"time"

	"agatewinch/internal/core/dispatch"
	"agatewinch/internal/event"
	"agatewinch/internal/ledger"
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
	// cutOffTime is how long most workers may not answer before the role is given up: a
	// few looks at each.
	cutOffTime = time.Second
	// leastHeld is how long the role is held at least before it is given up for that:
	// where nobody reaches the workers it must not go round.
	leastHeld = 4 * time.Second
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
	// wavesOpen says that the machines have to be listed.
	wavesOpen atomic.Bool
}

// maxEvents bounds the outcomes that wait for the core; calls in flight are fewer.
const maxEvents = 4096

func newDecider(h *Host, fence sharedlog.Fence, unheard time.Duration) *decider {
	now := time.Now()
	return &decider{
		host: h, epoch: fence.Epoch, sequence: fence.Sequence, events: make(chan func(dispatch.Now), maxEvents), began: now, appendedAt: now, sweptAt: now,
		core: dispatch.New(dispatch.Now{UnixMs: now.UnixMilli()}, dispatch.Settings{
			Lease: min(workerLease, h.set.MaxLease), MaxLease: h.set.MaxLease, HoldWait: lookWait,
			UnheardLease: unheard, SpreadFactor: h.set.SpreadFactor, StopTime: h.set.StopTime, Beat: h.set.Beat, UpkeepTime: h.set.UpkeepTime,
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
	go d.followWaves(ctx)
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

// followWorkers reads the list of workers.
func (d *decider) followWorkers(ctx context.Context) {
	reads := dependency{topic: "workers"}
	for ctx.Err() == nil {
		sleep(ctx, listEvery)
		list, err := d.host.list.List(ctx)
		if !reads.answered(ctx, d.host.out, err) {
			continue
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
