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
	// maxPending bounds the records that wait for an append; a host handles fewer requests
	// at once.
	maxPending = 256
	// maxBatch bounds the records of one append, far below the log's limit.
	maxBatch = 64
	// maxConcurrentAppends bounds the batches that are being appended at once.
	maxConcurrentAppends = 8
	// fallbackTime is how long a host tries another partition first, after the one that it
	// tried first refused a record or did not confirm it in time.
	fallbackTime = 5 * time.Second
	// minHedgeDelay is the minimum time that one partition is given before the next one is tried
	// in parallel: many times its usual latency.
	minHedgeDelay = 200 * time.Millisecond
	// hedgeFactor is the minimum hedge delay as a multiple of the mean append latency, so that
	// hedging does not add appends to a log that is already slow.
	hedgeFactor = 3
	// latencyWeight is the weight of the newest append in the moving average of append latency.
	latencyWeight = 0.25
)

// jobWriter appends submissions, cancellations and the host's entry in batches. If a partition
// refuses a batch or does not answer in time, the batch is also sent to the next one. Several
// partitions may then hold the same record, which is harmless because records are identified by
// their keys.
type jobWriter struct {
	host  *Host
	queue chan pendingRecord

	mu sync.Mutex
	// preferred is the partition that this host normally tries first, and current the one that
	// it tries first until fallbackUntil. Hosts are spread over the partitions because each
	// partition processes one append at a time.
	preferred, current int
	fallbackUntil      time.Time
	// meanLatency is the moving average of append latency.
	meanLatency time.Duration
}

type pendingRecord struct {
	record sharedlog.Record
	done   chan error
}

func newJobWriter(h *Host) *jobWriter {
	preferred := int(hostHash(h.settings.Host) % uint32(len(ledger.TopicsJobs)))
	return &jobWriter{host: h, queue: make(chan pendingRecord, maxPending), preferred: preferred, current: preferred}
}

// write returns nil once the record is in the log. If it fails, the record may be in the log if
// the error is of kind OutcomeUnknown, and is not in the log otherwise.
func (w *jobWriter) write(ctx context.Context, r sharedlog.Record) error {
	p := pendingRecord{record: r, done: make(chan error, 1)}
	select {
	case w.queue <- p:
	default:
		return retryableError(errkind.Overloaded, retryAfterSeconds, "too many requests are waiting for the log")
	}
	select {
	case err := <-p.done:
		return err
	case <-ctx.Done():
		return errkind.New(errkind.OutcomeUnknown, "the log has not confirmed the append of the record yet")
	}
}

// tryWrite queues a record whose append nobody waits for, unless the queue is half full.
func (w *jobWriter) tryWrite(r sharedlog.Record) {
	if len(w.queue) >= maxPending/2 {
		return
	}
	select {
	case w.queue <- pendingRecord{record: r, done: make(chan error, 1)}:
	default:
	}
}

// run appends the queued records in batches until ctx ends.
func (w *jobWriter) run(ctx context.Context) error {
	var g errgroup.Group
	g.SetLimit(maxConcurrentAppends)
	for {
		select {
		case <-ctx.Done():
			return g.Wait()
		case first := <-w.queue:
			batch := w.collectBatch(first)
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

// collectBatch returns first and the records that are queued now, up to maxBatch in all.
func (w *jobWriter) collectBatch(first pendingRecord) []pendingRecord {
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

// append tries the partitions in turn until one has accepted the records.
func (w *jobWriter) append(ctx context.Context, batch []pendingRecord) error {
	records := make([]sharedlog.Record, len(batch))
	for i, p := range batch {
		records[i] = p.record
	}
	type result struct {
		partition int
		err       error
	}
	results := make(chan result, len(ledger.TopicsJobs))
	first, tried, inFlight, unknown := w.firstPartition(), 0, 0, false
	try := func() {
		partition := (first + tried) % len(ledger.TopicsJobs)
		tried++
		inFlight++
		go func() {
			began := time.Now()
			_, err := w.host.log.Append(ctx, ledger.TopicsJobs[partition], records, sharedlog.AppendOptions{})
			w.observeLatency(time.Since(began), err)
			results <- result{partition, err}
		}()
	}
	try()
	hedge := time.NewTicker(w.hedgeDelay())
	defer hedge.Stop()
	for inFlight > 0 {
		select {
		case <-hedge.C:
			if tried < len(ledger.TopicsJobs) {
				try()
			}
		case r := <-results:
			inFlight--
			if r.err == nil {
				w.useFirst(r.partition)
				w.host.applyRecords(records)
				w.host.signalJobs()
				return nil
			}
			unknown = unknown || errors.Is(r.err, sharedlog.ErrUnknown)
			event.Error(w.host.logger, r.err, event.LogWriteError, "records", len(records), "topic", ledger.TopicsJobs[r.partition].String())
			if tried < len(ledger.TopicsJobs) {
				try()
			}
		}
	}
	if unknown {
		return errkind.New(errkind.OutcomeUnknown, "the log did not confirm the append of the record")
	}
	return retryableError(errkind.LogUnavailable, retryAfterSeconds, "the record could not be appended to the log")
}

// firstPartition returns the partition to try first.
func (w *jobWriter) firstPartition() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.current != w.preferred && time.Now().After(w.fallbackUntil) {
		w.current = w.preferred
	}
	return w.current
}

// useFirst makes partition, which has accepted a batch, the one to try first. If that is a change,
// it lasts for fallbackTime.
func (w *jobWriter) useFirst(partition int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if partition != w.current {
		w.current, w.fallbackUntil = partition, time.Now().Add(fallbackTime)
	}
}

// observeLatency adds an append to the mean latency, unless it was refused: a refusal says
// nothing about the latency.
func (w *jobWriter) observeLatency(d time.Duration, err error) {
	if err != nil && !errors.Is(err, sharedlog.ErrUnknown) {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.meanLatency += time.Duration(latencyWeight * float64(d-w.meanLatency))
}

// hedgeDelay returns how long a partition may take before the next one is tried in parallel.
func (w *jobWriter) hedgeDelay() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return max(minHedgeDelay, hedgeFactor*w.meanLatency)
}
