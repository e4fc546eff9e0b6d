package entry

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"

	"agatewinch/internal/event"
	"agatewinch/internal/sharedlog"
)

// follower folds one topic into the ledger.
type follower struct {
	host  *Host
	topic sharedlog.Topic

	mu   sync.Mutex
	next int64
	// contact is when the log last answered.
	contact  time.Time
	caughtUp bool
	lost     bool
	// failedAt is when the log last refused a read, or left one unanswered.
	failedAt time.Time
	// suspended followers do not read: this host is the topic's only writer and folds what
	// it appends.
	suspended bool
	resumed   chan struct{}
	// gatherTime is how long records may come together between two reads on a host that
	// does not decide.
	gatherTime time.Duration
	// folded is closed, and replaced, when records were folded.
	folded chan struct{}
	// waiters counts the questions that wait for records, and wake has them read for now.
	waiters int
	wake    chan struct{}
	// changed is signalled after records were folded.
	changed func()
}

func newFollower(h *Host, topic sharedlog.Topic, gatherTime time.Duration, changed func()) *follower {
	return &follower{host: h, topic: topic, gatherTime: gatherTime, next: -1, resumed: make(chan struct{}, 1), folded: make(chan struct{}), wake: make(chan struct{}, 1), changed: changed}
}

func newBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = retryFirst, retryMax
	return b
}

func (f *follower) run(ctx context.Context) error {
	retry := newBackoff()
	progressed := false
	for ctx.Err() == nil {
		if f.isSuspended() {
			select {
			case <-f.resumed:
			case <-ctx.Done():
			}
			continue
		}
		before := f.position()
		if err := f.step(ctx, f.readWait(progressed)); err != nil {
			f.fail(err)
			sleep(ctx, retry.NextBackOff())
			continue
		}
		retry.Reset()
		progressed = f.position() != before
		if progressed && !f.host.role.isLeading() {
			f.gather(ctx)
			progressed = false
		}
	}
	return nil
}

// step reads once. It loads the newest records first, and again after a gap.
func (f *follower) step(ctx context.Context, wait time.Duration) error {
	from := f.position()
	if from < 0 {
		return f.load(ctx)
	}
	if _, read := f.age(); !read {
		wait = 0 // nothing is answered before all has been read once
	}
	if f.isLost() {
		wait = 0
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, probeTimeout)
		defer cancel()
	}
	res, err := f.host.log.Read(ctx, f.topic, from, wait)
	if errors.Is(err, sharedlog.ErrTrimmed) {
		event.Info(f.host.out, event.JournalGap, "topic", f.topic.String(), "offset", from)
		f.mu.Lock()
		f.next = -1
		f.mu.Unlock()
		return nil
	}
	if err != nil {
		return err
	}
	f.ingest(from, res.Records, res.End)
	return nil
}

func (f *follower) load(ctx context.Context) error {
	records, end, err := f.host.log.Newest(ctx, f.topic)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.host.fold(records)
	f.next = end
	f.answered()
	return nil
}

// ingest folds records that begin at from, leaving out those that are folded already.
func (f *follower) ingest(from int64, records []sharedlog.Record, end int64) {
	f.mu.Lock()
	if skip := f.next - from; skip > 0 {
		records = records[min(skip, int64(len(records))):]
		from = f.next
	}
	if f.next < 0 || from != f.next {
		f.mu.Unlock()
		return
	}
	f.host.fold(records)
	f.next += int64(len(records))
	if f.next >= end {
		f.caughtUp = true
	}
	f.answered()
	if len(records) > 0 {
		close(f.folded)
		f.folded = make(chan struct{})
	}
	f.mu.Unlock()
	if len(records) > 0 && f.changed != nil {
		f.changed()
	}
}

func (f *follower) answered() {
	f.contact = time.Now()
	if f.lost {
		f.lost = false
		f.host.role.logIsBack()
		event.Info(f.host.out, event.LogRegained, "topic", f.topic.String(), "offset", f.next)
	}
}

func (f *follower) fail(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failedAt = time.Now()
	if !f.lost && !errors.Is(err, context.Canceled) {
		f.lost = true
		event.Error(f.host.out, err, event.LogLost, "topic", f.topic.String(), "offset", f.next)
	}
}

// await returns when records were folded, and reports whether it is worth waiting for more.
// A log that does not answer is not waited for: what is known is shown.
func (f *follower) await(ctx context.Context) bool {
	f.mu.Lock()
	folded, lost := f.folded, f.lost
	f.waiters++
	f.mu.Unlock()
	defer func() {
		f.mu.Lock()
		f.waiters--
		f.mu.Unlock()
	}()
	if lost {
		return false
	}
	f.readNow()
	select {
	case <-folded:
		return true
	case <-ctx.Done():
		return false
	}
}

// readNow has the next read begin now.
func (f *follower) readNow() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// readWait is how long the next read waits for a record. A read that reaches the log in the
// moment of an append may not be told of it: reads are short while a question waits, and
// after a read with records, since others often come close behind.
func (f *follower) readWait(progressed bool) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if progressed || f.waiters > 0 {
		return shortWait
	}
	return readWait
}

// gather lets records come together, unless a caller's question waits for them.
func (f *follower) gather(ctx context.Context) {
	f.mu.Lock()
	wanted := f.waiters > 0
	f.mu.Unlock()
	if wanted {
		return
	}
	select { // a question that has been answered asks for no more
	case <-f.wake:
	default:
	}
	if f.host.role.isLeading() {
		return
	}
	t := time.NewTimer(f.gatherTime)
	defer t.Stop()
	select {
	case <-t.C:
	case <-f.wake:
	case <-ctx.Done():
	}
}

// catchUp reads to the end of the topic.
func (f *follower) catchUp(ctx context.Context) error {
	for {
		from := f.position()
		if from < 0 {
			return sharedlog.ErrRefused
		}
		res, err := f.host.log.Read(ctx, f.topic, from, 0)
		if err != nil {
			return err
		}
		f.ingest(from, res.Records, res.End)
		if from+int64(len(res.Records)) >= res.End {
			return nil
		}
	}
}

func (f *follower) position() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.next
}

func (f *follower) isLost() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lost
}

// refused reports whether the log has just refused this host a read.
func (f *follower) refused() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lost && time.Since(f.failedAt) < refusedTime
}

func (f *follower) isSuspended() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.suspended
}

// suspend leaves the topic to this host's appends; goOn has it read again.
func (f *follower) suspend() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.suspended = true
}

func (f *follower) goOn() {
	f.mu.Lock()
	f.suspended = false
	f.mu.Unlock()
	select {
	case f.resumed <- struct{}{}:
	default:
	}
}

// age returns how long ago the log answered, and whether all was read once.
func (f *follower) age() (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Since(f.contact), f.caughtUp
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// fold applies records and says so if one cannot be read.
func (h *Host) fold(records []sharedlog.Record) {
	if err := h.ledger.Apply(records); err != nil {
		event.Error(h.out, err, event.RecordUnreadable)
	}
}

// followCatalog keeps the newest configuration in force.
func (h *Host) followCatalog(ctx context.Context) error {
	retry := newBackoff()
	for ctx.Err() == nil {
		c, err := h.source.Next(ctx, catalogWait)
		if err != nil {
			if ctx.Err() == nil && !h.catalogLost.Swap(true) {
				event.Error(h.out, err, event.LogLost, "topic", "configuration")
			}
			sleep(ctx, retry.NextBackOff())
			continue
		}
		if h.catalogLost.Swap(false) {
			event.Info(h.out, event.LogRegained, "topic", "configuration")
		}
		retry.Reset()
		h.setCatalog(c)
	}
	return nil
}
