package entry

import (
	"context"
	"errors"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"agatewinch/internal/errkind"
	"agatewinch/internal/event"
	"agatewinch/internal/ledger"
	"agatewinch/internal/sharedlog"
)

const (
	// maxPending bounds the records that wait for an append; a host holds fewer requests.
	maxPending = 256
	// maxBatch bounds the records of one append, far below the log's limit.
	maxBatch = 64
	// maxAppends bounds the appends of submissions that are on their way.
	maxAppends = 8
	// homeTime is how long another partition is used after the first one failed.
	homeTime = 5 * time.Second
	// hedgeAfter is how long one partition may take at least before the next one is tried
	// as well: many times its usual answer time.
	hedgeAfter = 200 * time.Millisecond
	// hedgeTimes is the same in parts of what appends take now: a slow log is not asked to
	// do more.
	hedgeTimes = 3
	// tookShare is the weight of the newest append in the mean of what appends take.
	tookShare = 0.25
)

// jobWriter appends submissions and cancellations, many at a time. The load that it answers
// is partitions that are away or silent: a record goes to the next one while the first has
// not answered. Its key makes it harmless that it may stand in several.
type jobWriter struct {
	host  *Host
	queue chan pendingRecord

	mu sync.Mutex
	// usual is the partition that this host tries first, and home the one that it tries
	// first until homeUntil. Hosts are spread over the partitions: each takes one append
	// after the other.
	usual, home int
	homeUntil   time.Time
	// took is the mean of what appends take.
	took time.Duration
}

type pendingRecord struct {
	record sharedlog.Record
	done   chan error
}

func newJobWriter(h *Host) *jobWriter {
	usual := int(hostHash(h.set.Host) % uint32(len(ledger.TopicsJobs)))
	return &jobWriter{host: h, queue: make(chan pendingRecord, maxPending), usual: usual, home: usual}
}

// write returns once the record is in the log, or says that it is not or may be.
func (w *jobWriter) write(ctx context.Context, r sharedlog.Record) error {
	p := pendingRecord{record: r, done: make(chan error, 1)}
	select {
	case w.queue <- p:
	default:
		return retryLater(errkind.Overloaded, comeBack, "too many requests wait for the log")
	}
	select {
	case err := <-p.done:
		return err
	case <-ctx.Done():
		return errkind.New(errkind.OutcomeUnknown, "the log has not answered yet")
	}
}

func (w *jobWriter) run(ctx context.Context) error {
	var g errgroup.Group
	g.SetLimit(maxAppends)
	for {
		select {
		case <-ctx.Done():
			return g.Wait()
		case first := <-w.queue:
			batch := w.take(first)
			g.Go(func() error {
				err := w.append(ctx, batch)
				for _, p := range batch {
					p.done <- err
				}
				return nil
			})
		}
	}
}

// take returns the records that wait now.
func (w *jobWriter) take(first pendingRecord) []pendingRecord {
	batch := []pendingRecord{first}
	for len(batch) < maxBatch {
		select {
		case p := <-w.queue:
			batch = append(batch, p)
		default:
			return batch
		}
	}
	return batch
}

// append tries one partition after the other until one has the records.
func (w *jobWriter) append(ctx context.Context, batch []pendingRecord) error {
	records := make([]sharedlog.Record, len(batch))
	for i, p := range batch {
		records[i] = p.record
	}
	type result struct {
		at  int
		err error
	}
	results := make(chan result, len(ledger.TopicsJobs))
	home, tried, open, unknown := w.first(), 0, 0, false
	try := func() {
		at := (home + tried) % len(ledger.TopicsJobs)
		tried++
		open++
		go func() {
			began := time.Now()
			_, err := w.host.log.Append(ctx, ledger.TopicsJobs[at], records, sharedlog.AppendOptions{})
			w.observe(time.Since(began), err)
			results <- result{at, err}
		}()
	}
	try()
	hedge := time.NewTicker(w.hedge())
	defer hedge.Stop()
	for open > 0 {
		select {
		case <-hedge.C:
			if tried < len(ledger.TopicsJobs) {
				try()
			}
		case r := <-results:
			open--
			if r.err == nil {
				w.settleOn(r.at)
				w.host.fold(records)
				w.host.signalJobs()
				return nil
			}
			unknown = unknown || errors.Is(r.err, sharedlog.ErrUnknown)
			event.Error(w.host.out, r.err, event.LogWriteError, "records", len(records), "topic", ledger.TopicsJobs[r.at].String())
			if tried < len(ledger.TopicsJobs) {
				try()
			}
		}
	}
	if unknown {
		return errkind.New(errkind.OutcomeUnknown, "the log has not said whether it has the record")
	}
	return retryLater(errkind.LogUnavailable, comeBack, "the log refused the record")
}

// first returns the partition to try first.
func (w *jobWriter) first() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.home != w.usual && time.Now().After(w.homeUntil) {
		w.home = w.usual
	}
	return w.home
}

// settleOn remembers the partition that took a record.
func (w *jobWriter) settleOn(at int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if at != w.home {
		w.home, w.homeUntil = at, time.Now().Add(homeTime)
	}
}

// observe takes note of what an append took. One that was refused says nothing of it.
func (w *jobWriter) observe(d time.Duration, err error) {
	if err != nil && !errors.Is(err, sharedlog.ErrUnknown) {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.took += time.Duration(tookShare * float64(d-w.took))
}

// hedge is how long a partition may take before the next one is tried as well.
func (w *jobWriter) hedge() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return max(hedgeAfter, hedgeTimes*w.took)
}
