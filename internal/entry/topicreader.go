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

// topicReader reads one topic of the log and applies its records to the ledger.
type topicReader struct {
	host  *Host
	topic sharedlog.Topic

	mu sync.Mutex
	// nextOffset is the offset of the next record to apply; negative until the newest record of
	// each key has been loaded.
	nextOffset int64
	// lastContact is when the log last answered a read, or an append by the leader.
	lastContact time.Time
	// caughtUp is set once the topic has been read to its end.
	caughtUp bool
	// behind is set while the last read has left records.
	behind bool
	// lost is set while reads fail.
	lost bool
	// failedAt is when a read last failed: the log refused it or did not answer.
	failedAt time.Time
	// suspended stops the reads while this host is the topic's only writer: it applies the
	// records that it appends.
	suspended bool
	resumed   chan struct{}
	// batchDelay is the pause between two reads on a host that is not the leader, in which
	// records accumulate.
	batchDelay time.Duration
	// applied is closed, and replaced, when ingest has applied records.
	applied chan struct{}
	// waiters counts the queries that wait for records; wake makes the next read start
	// immediately.
	waiters int
	wake    chan struct{}
	// onApplied, if set, is called after ingest has applied records.
	onApplied func()
}

func newTopicReader(h *Host, topic sharedlog.Topic, batchDelay time.Duration, onApplied func()) *topicReader {
	return &topicReader{host: h, topic: topic, batchDelay: batchDelay, nextOffset: -1, resumed: make(chan struct{}, 1), applied: make(chan struct{}), wake: make(chan struct{}, 1), onApplied: onApplied}
}

func newBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = minRetryDelay, maxRetryDelay
	return b
}

func (r *topicReader) run(ctx context.Context) error {
	retry := newBackoff()
	progressed := false
	for ctx.Err() == nil {
		if r.isSuspended() {
			select {
			case <-r.resumed:
			case <-ctx.Done():
			}
			continue
		}
		before := r.position()
		if err := r.readOnce(ctx, r.nextReadWait(progressed)); err != nil {
			r.markFailed(err)
			sleep(ctx, retry.NextBackOff())
			continue
		}
		retry.Reset()
		progressed = r.position() != before
		if progressed && !r.isBehind() && !r.host.role.isLeading() {
			r.pauseForBatch(ctx)
			progressed = false
		}
	}
	return nil
}

// readOnce performs one read. The first read, and the one after a gap, loads the newest record of
// each key instead.
func (r *topicReader) readOnce(ctx context.Context, wait time.Duration) error {
	from := r.position()
	if from < 0 {
		return r.loadNewest(ctx)
	}
	if _, caughtUp := r.contactAge(); !caughtUp {
		wait = 0 // callers get no answers until the topic has been read to its end
	}
	if r.isLost() {
		wait = 0
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, lostReadTimeout)
		defer cancel()
	}
	res, err := r.host.log.Read(ctx, r.topic, from, wait)
	if errors.Is(err, sharedlog.ErrTrimmed) {
		event.Info(r.host.logger, event.JournalGap, "topic", r.topic.String(), "offset", from)
		r.mu.Lock()
		r.nextOffset = -1
		r.mu.Unlock()
		return nil
	}
	if err != nil {
		return err
	}
	r.ingest(from, res.Records, res.End)
	return nil
}

func (r *topicReader) loadNewest(ctx context.Context) error {
	records, end, err := r.host.log.Newest(ctx, r.topic)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.host.applyRecords(records)
	r.nextOffset = end
	r.markAnswered()
	return nil
}

// ingest applies records that begin at offset from, skipping those already applied. It ignores
// records that would leave a gap.
func (r *topicReader) ingest(from int64, records []sharedlog.Record, end int64) {
	r.mu.Lock()
	if skip := r.nextOffset - from; skip > 0 {
		records = records[min(skip, int64(len(records))):]
		from = r.nextOffset
	}
	if r.nextOffset < 0 || from != r.nextOffset {
		r.mu.Unlock()
		return
	}
	r.host.applyRecords(records)
	r.nextOffset += int64(len(records))
	r.behind = r.nextOffset < end
	r.caughtUp = r.caughtUp || !r.behind
	r.markAnswered()
	if len(records) > 0 {
		close(r.applied)
		r.applied = make(chan struct{})
	}
	r.mu.Unlock()
	if len(records) > 0 && r.onApplied != nil {
		r.onApplied()
	}
}

// markAnswered records that the log has answered, and logs the first answer after failed reads.
// r.mu must be held.
func (r *topicReader) markAnswered() {
	r.lastContact = time.Now()
	if r.lost {
		r.lost = false
		r.host.role.logRecovered()
		event.Info(r.host.logger, event.LogRegained, "topic", r.topic.String(), "offset", r.nextOffset)
	}
}

// markFailed records a failed read, and logs the first failure unless the read was cancelled.
func (r *topicReader) markFailed(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failedAt = time.Now()
	if !r.lost && !errors.Is(err, context.Canceled) {
		r.lost = true
		event.Error(r.host.logger, err, event.LogLost, "topic", r.topic.String(), "offset", r.nextOffset)
	}
}

// awaitRecords waits until records have been applied or ctx ends, and reports whether records
// have been applied. It returns false immediately while the log does not answer, so that the query
// is answered from the known state.
func (r *topicReader) awaitRecords(ctx context.Context) bool {
	r.mu.Lock()
	applied, lost := r.applied, r.lost
	r.waiters++
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		r.waiters--
		r.mu.Unlock()
	}()
	if lost {
		return false
	}
	r.readNow()
	select {
	case <-applied:
		return true
	case <-ctx.Done():
		return false
	}
}

// readNow ends a pause between reads, so that the next read starts immediately.
func (r *topicReader) readNow() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// nextReadWait returns how long the next read waits for a record. A read that reaches the log
// during an append may miss the new record. The wait is therefore short while a query is
// waiting, and after a read that returned records, since other records often follow soon.
func (r *topicReader) nextReadWait(progressed bool) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if progressed || r.waiters > 0 {
		return shortReadWait
	}
	return readWait
}

// pauseForBatch lets records accumulate for batchDelay, unless a caller's query waits for them.
func (r *topicReader) pauseForBatch(ctx context.Context) {
	r.mu.Lock()
	wanted := r.waiters > 0
	r.mu.Unlock()
	if wanted {
		return
	}
	select { // discard the wake-up of a query that has been answered
	case <-r.wake:
	default:
	}
	if r.host.role.isLeading() {
		return
	}
	t := time.NewTimer(r.batchDelay)
	defer t.Stop()
	select {
	case <-t.C:
	case <-r.wake:
	case <-ctx.Done():
	}
}

// catchUp reads to the end of the topic. It fails with sharedlog.ErrRefused if the newest record
// of each key has not been loaded yet.
func (r *topicReader) catchUp(ctx context.Context) error {
	for {
		from := r.position()
		if from < 0 {
			return sharedlog.ErrRefused
		}
		res, err := r.host.log.Read(ctx, r.topic, from, 0)
		if err != nil {
			return err
		}
		r.ingest(from, res.Records, res.End)
		if from+int64(len(res.Records)) >= res.End {
			return nil
		}
	}
}

func (r *topicReader) position() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.nextOffset
}

func (r *topicReader) isBehind() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.behind
}

func (r *topicReader) isLost() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lost
}

// recentlyFailed reports whether reads fail and the last failure is within failedReadWindow.
func (r *topicReader) recentlyFailed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lost && time.Since(r.failedAt) < failedReadWindow
}

func (r *topicReader) isSuspended() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.suspended
}

// suspend stops reading while this host applies its own appends; resume starts reading again.
func (r *topicReader) suspend() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.suspended = true
}

func (r *topicReader) resume() {
	r.mu.Lock()
	r.suspended = false
	r.mu.Unlock()
	select {
	case r.resumed <- struct{}{}:
	default:
	}
}

// contactAge returns the time since lastContact, and whether the topic has been read to its end.
func (r *topicReader) contactAge() (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Since(r.lastContact), r.caughtUp
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// applyRecords applies records to the ledger and logs the first one that cannot be decoded.
func (h *Host) applyRecords(records []sharedlog.Record) {
	if err := h.ledger.Apply(records); err != nil {
		event.Error(h.logger, err, event.RecordUnreadable)
	}
}

// followCatalog watches the configuration source and puts the newest configuration in force.
func (h *Host) followCatalog(ctx context.Context) error {
	retry := newBackoff()
	for ctx.Err() == nil {
		if h.readCatalog(ctx) {
			retry.Reset()
		} else {
			sleep(ctx, retry.NextBackOff())
		}
	}
	return nil
}

// readCatalog performs one read of the configuration source and applies its answer. It reports whether
// the next read may follow at once.
func (h *Host) readCatalog(ctx context.Context) bool {
	readCtx, cancel, now := h.evacuations.beginRead(ctx)
	defer cancel()
	wait := h.settings.catalogWait()
	if now {
		wait = 0
	}
	askedAt := h.sinceBoot()
	c, err := h.catalogSource.Next(readCtx, wait)
	if err == nil || errors.Is(err, ErrCatalogUnreadable) {
		h.setEvacuatedZones(h.catalogSource.EvacuatedZones(), askedAt, now)
	}
	if err != nil {
		if readCtx.Err() != nil {
			return true // the process ends, or another read is wanted at once
		}
		if !h.catalogLost.Swap(true) {
			event.Error(h.logger, err, event.LogLost, "topic", "configuration")
		}
		return false
	}
	if h.catalogLost.Swap(false) {
		event.Info(h.logger, event.LogRegained, "topic", "configuration")
	}
	h.setCatalog(c, askedAt)
	return true
}
