package entry

import (
	"context"
	"errors"
	"hash/fnv"
	"sync"
	"time"

	"agatewinch/internal/event"
	"agatewinch/internal/ledger"
	"agatewinch/internal/sharedlog"
)

const (
	// renewEvery is how often the holder of the deciding role appends at least.
	renewEvery = 500 * time.Millisecond
	// silence is how long nothing may come from the holder before another host takes
	// over: three renewals, with the time that an append may take.
	silence = 1900 * time.Millisecond
	// backTime is what the holder has for its next record when the log is back: the pause
	// between its tries, and an append.
	backTime = time.Second
	// rankSpread spreads the hosts' claims, so that one of them comes first.
	rankSpread = 150 * time.Millisecond
	// smallDelay is what a host without processors would wait longer than one that has
	// plenty, so that the decider runs where it keeps up.
	smallDelay = 200 * time.Millisecond
	// plentyCores is a share of a core that the decider does not use up on the largest sites.
	plentyCores = 0.8
	// watchEvery is how often a standby looks for silence.
	watchEvery = 100 * time.Millisecond
	// holdWithoutLog is how long a holder goes on renewing leases while the log does not
	// take its records. With the lease of workers it covers the log's usual outages; a
	// successor has to wait for both before it gives up what it cannot reach.
	holdWithoutLog = 5 * time.Second
	// yieldTime is how long a host that workers do not answer leaves the role to others;
	// cuts of the platform take five to ten seconds.
	yieldTime = 6 * time.Second
	// sequenceBits leaves room for the appends of one holder before the next host's range.
	sequenceBits = 24
)

// role is the deciding role as this host sees it. One conditional append claims it; the
// epoch that it wins fences both the topic of state and the workers.
type role struct {
	host *Host

	mu sync.Mutex
	// seen is the last count of the holder's records, and when it changed.
	seen     uint64
	seenAt   time.Time
	leading  bool
	released chan struct{}
	stop     chan struct{}
	stopOnce sync.Once
	// yieldUntil keeps a host from claiming that gave the role up since workers do not
	// answer it.
	yieldUntil time.Time
	// unheard bounds how long the former holder may go on renewing leases.
	unheard time.Duration
}

func newRole(h *Host) *role {
	return &role{host: h, seenAt: time.Now(), stop: make(chan struct{}), released: make(chan struct{})}
}

// rank is how long this host leaves the role to others that could claim it.
func (r *role) rank() time.Duration {
	lack := max(0, plentyCores-r.host.set.Cores) / plentyCores
	return time.Duration(lack*float64(smallDelay)) + time.Duration(hostHash(r.host.set.Host)%1000)*rankSpread/1000
}

// hostHash spreads what hosts do by their names.
func hostHash(name string) uint32 {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(name)) // it cannot fail
	return hash.Sum32()
}

func (r *role) run(ctx context.Context) error {
	for ctx.Err() == nil {
		sleep(ctx, watchEvery)
		select {
		case <-r.stop:
			return nil
		default:
		}
		if !r.free() {
			continue
		}
		if fence, ok := r.claim(ctx); ok {
			r.lead(ctx, fence)
		}
	}
	return nil
}

// free reports whether this host should claim the role now.
func (r *role) free() bool {
	age, caughtUp := r.host.state.age()
	r.mu.Lock()
	defer r.mu.Unlock()
	if n := r.host.ledger.Changes(); n != r.seen {
		r.seen, r.seenAt = n, time.Now()
	}
	if time.Now().Before(r.yieldUntil) {
		return false
	}
	if !caughtUp || !r.host.caughtUp() || r.host.newest() == nil {
		return false
	}
	quiet := time.Since(r.seenAt)
	now := r.host.ledger.Role()
	switch {
	case now.Epoch == 0, now.Released:
		return quiet >= r.rank()
	case now.Holder == r.host.set.Host:
		return true // an earlier life of this process held it
	}
	// A host whose reads are late would take silence of its own for the holder's.
	return quiet >= silence+r.rank() && age < readWait+watchEvery
}

// firstSequence differs from claim to claim: the log answers a repeat of an epoch and
// sequence as it did the first time, so that two hosts with one sequence would both win.
func (r *role) firstSequence() int64 {
	return (int64(hostHash(r.host.set.Host)) << sequenceBits) + time.Now().UnixMilli()&(1<<sequenceBits-1)
}

func (r *role) claim(ctx context.Context) (sharedlog.Fence, bool) {
	h := r.host
	if err := h.state.catchUp(ctx); err != nil {
		return sharedlog.Fence{}, false
	}
	// The position comes first: what is folded after it has the append refused.
	at := h.state.position()
	former := h.ledger.Role()
	if !r.free() || !h.knowsAllTasks(ctx) {
		return sharedlog.Fence{}, false
	}
	r.unheard = holdWithoutLog
	if former.Epoch == 0 || former.Released || former.Holder == h.set.Host {
		r.unheard = 0
	}
	claim := ledger.Role{Epoch: former.Epoch + 1, Holder: h.set.Host, Incarnation: h.incarnation}
	rec, err := ledger.RoleRecord(claim)
	if err != nil {
		event.Error(h.out, err, event.RoleSuperseded)
		return sharedlog.Fence{}, false
	}
	h.state.suspend()
	fence := sharedlog.Fence{Epoch: claim.Epoch, Sequence: r.firstSequence()}
	_, err = h.log.Append(ctx, ledger.TopicState, []sharedlog.Record{rec}, sharedlog.AppendOptions{At: &at, Fence: &fence})
	if err == nil {
		h.state.ingest(at, []sharedlog.Record{rec}, at+1)
		return fence, true
	}
	h.state.goOn()
	var conflict *sharedlog.ConflictError
	if !errors.As(err, &conflict) {
		event.Error(h.out, err, event.LogWriteError, "what", "claim")
	}
	sleep(ctx, r.rank())
	return sharedlog.Fence{}, false
}

// knowsAllTasks reports whether this host knows the jobs of all recorded tasks. One that
// does not would take their room as free, and start them again once it reads the jobs.
func (h *Host) knowsAllTasks(ctx context.Context) bool {
	if h.ledger.Complete() {
		return true
	}
	for _, f := range h.jobs {
		if err := f.catchUp(ctx); err != nil {
			f.fail(err)
		}
	}
	return h.ledger.Complete()
}

func (r *role) lead(ctx context.Context, fence sharedlog.Fence) {
	epoch := fence.Epoch
	event.Info(r.host.out, event.SchedulerActive, "epoch", epoch)
	r.setLeading(true)
	for _, f := range r.host.jobs {
		f.readNow()
	}
	d := newDecider(r.host, fence, r.unheard)
	why := d.run(ctx, r.stop)
	r.setLeading(false)
	r.host.state.goOn()
	event.Info(r.host.out, event.SchedulerStandby, "epoch", epoch, "why", why)
	r.mu.Lock()
	r.seenAt = time.Now()
	r.mu.Unlock()
	select {
	case <-r.stop:
		close(r.released)
	default:
	}
}

// succeed has this host claim the role at its next look, unless the holder writes before.
func (r *role) succeed() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seen, r.seenAt = r.host.ledger.Changes(), time.Now().Add(-silence-smallDelay-rankSpread)
}

// yield leaves the role to others for a while.
func (r *role) yield() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.yieldUntil = time.Now().Add(yieldTime)
}

// logIsBack gives a holder that could not write either the time to do so. Without it the
// end of each outage of the log would change the holder.
func (r *role) logIsBack() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if earliest := time.Now().Add(backTime - silence); r.seenAt.Before(earliest) {
		r.seenAt = earliest
	}
}

func (r *role) setLeading(v bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leading = v
}

func (r *role) isLeading() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.leading
}

// release gives the role up, if this host holds it.
func (r *role) release(ctx context.Context) {
	leading := r.isLeading()
	r.stopOnce.Do(func() { close(r.stop) })
	if !leading {
		return
	}
	select {
	case <-r.released:
	case <-ctx.Done():
	}
}
