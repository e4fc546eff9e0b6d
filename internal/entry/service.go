package entry

import (
	"context"
	"errors"
	"time"

	"agatewinch/internal/catalog"
	"agatewinch/internal/core/job"
	"agatewinch/internal/errkind"
	"agatewinch/internal/event"
	"agatewinch/internal/ledger"
	"agatewinch/internal/sharedlog"
)

const (
	// catalogMargin is kept from the time within which a configuration has to be in
	// force: a host that has not heard for longer answers nothing by it.
	catalogMargin = 1500 * time.Millisecond
	// comeBack is the Retry-After of a host that cannot reach the log: another host
	// probably can.
	comeBack = 1.0
)

// Catalog implements Service.
func (h *Host) Catalog() (*catalog.Catalog, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.current == nil {
		return nil, retryLater(errkind.NoConfiguration, comeBack, "no configuration has been read yet")
	}
	if time.Since(h.catalogAt) > h.set.ApplyWithin+h.set.ApplyStretch-catalogMargin {
		return nil, retryLater(errkind.NoConfiguration, comeBack, "the configuration cannot be confirmed")
	}
	return h.current, nil
}

func retryLater(k errkind.Kind, after float64, message string) error {
	return &errkind.Error{Kind: k, Message: message, RetryAfterSeconds: after}
}

// Submit implements Service.
func (h *Host) Submit(ctx context.Context, q *catalog.Queue, org string, j *job.Job) error {
	if known, ok := h.ledger.Find(j.ID); ok && known.Job != nil {
		return nil // one ID is one job, whichever host it came to first
	}
	if !h.caughtUp() {
		return retryLater(errkind.LogUnavailable, comeBack, "this host has not read the log yet")
	}
	j.Queue, j.Org, j.Service = q.Name, org, q.Service
	j.Priority, j.Attempts, j.Stretch, j.Objective = q.Priority, q.Attempts, q.Stretch, q.Objective
	j.Advised = q.Advice != nil
	j.AcceptedMs = time.Now().UnixMilli()
	rec, err := ledger.JobRecord(j)
	if err != nil {
		return errkind.New(errkind.Internal, "%v", err)
	}
	err = h.writer.write(ctx, rec)
	h.logRequest("submit", j.ID, q, err)
	return err
}

// State implements Service.
func (h *Host) State(ctx context.Context, q *catalog.Queue, org, id string) (job.State, error) {
	state, owner, ok := h.lookUp(id)
	if !ok {
		// This host may be behind: only a read to the end makes "unknown" true.
		if err := h.readAll(ctx); err != nil {
			return "", retryLater(errkind.LogUnavailable, comeBack, "the log cannot be read")
		}
		if state, owner, ok = h.lookUp(id); !ok {
			return "", errkind.New(errkind.JobUnknown, "no such job")
		}
	}
	if owner != org && !q.Public {
		return "", errkind.New(errkind.JobUnknown, "no such job")
	}
	if state == job.Pending || state == job.Running {
		h.state.freshen(ctx)
		state, _, _ = h.lookUp(id)
	}
	return state, nil
}

func (h *Host) lookUp(id string) (job.State, string, bool) {
	state, _, ok := h.ledger.StateOf(id)
	if !ok {
		return "", "", false
	}
	e, ok := h.ledger.Find(id)
	if !ok || e.Job == nil {
		return "", "", false
	}
	return state, e.Job.Org, true
}

func (h *Host) readAll(ctx context.Context) error {
	if !h.caughtUp() {
		return sharedlog.ErrRefused
	}
	for _, f := range h.jobs {
		if err := f.catchUp(ctx); err != nil {
			return err
		}
	}
	return nil
}

// Cancel implements Service.
func (h *Host) Cancel(ctx context.Context, q *catalog.Queue, org, id string) error {
	state, err := h.State(ctx, q, org, id)
	if err != nil {
		return err
	}
	if state == job.Succeeded || state == job.Failed || state == job.Cancelled {
		return nil
	}
	err = h.writer.write(ctx, ledger.CancelRecord(id))
	h.logRequest("cancel", id, q, err)
	return err
}

// Waiting implements Service.
func (h *Host) Waiting(_ context.Context, q *catalog.Queue) (int, error) {
	if !h.caughtUp() {
		return 0, retryLater(errkind.LogUnavailable, comeBack, "this host has not read the log yet")
	}
	return h.ledger.Waiting(q.Name), nil
}

// Refused implements Service.
func (h *Host) Refused(method, path string, status int, err *errkind.Error) {
	h.metrics.Error(err.Kind)
	event.Info(h.out, event.RequestRefused, "method", method, "path", path, "status", status, "kind", string(err.Kind), "why", err.Message, "log_age_ms", h.logAge().Milliseconds())
}

func (h *Host) logRequest(what, id string, q *catalog.Queue, err error) {
	outcome := "recorded"
	if err != nil {
		outcome = err.Error()
	}
	event.Info(h.out, event.RequestTaken, "what", what, "job", id, "queue", q.Name, "log_age_ms", h.logAge().Milliseconds(), "outcome", outcome)
}

// jobWriter appends submissions and cancellations, many at a time.
type jobWriter struct {
	host  *Host
	queue chan pendingRecord
	// home is the partition that is tried first.
	home      int
	homeUntil time.Time
}

type pendingRecord struct {
	record sharedlog.Record
	done   chan error
}

const (
	// maxPending bounds the records that wait for an append; a host holds fewer requests.
	maxPending = 256
	// maxBatch bounds the records of one append, far below the log's limit.
	maxBatch = 64
	// homeTime is how long another partition is used after the first one failed.
	homeTime = 5 * time.Second
)

func newJobWriter(h *Host) *jobWriter {
	return &jobWriter{host: h, queue: make(chan pendingRecord, maxPending)}
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
	for {
		select {
		case <-ctx.Done():
			return nil
		case first := <-w.queue:
			batch := []pendingRecord{first}
			for len(batch) < maxBatch {
				select {
				case p := <-w.queue:
					batch = append(batch, p)
					continue
				default:
				}
				break
			}
			err := w.append(ctx, batch)
			for _, p := range batch {
				p.done <- err
			}
		}
	}
}

func (w *jobWriter) append(ctx context.Context, batch []pendingRecord) error {
	records := make([]sharedlog.Record, len(batch))
	for i, p := range batch {
		records[i] = p.record
	}
	unknown := false
	for i := range ledger.TopicsJobs {
		// The key makes it harmless that a record stands in several partitions.
		at := (w.home + i) % len(ledger.TopicsJobs)
		_, err := w.host.log.Append(ctx, ledger.TopicsJobs[at], records, sharedlog.AppendOptions{})
		if err == nil {
			w.settleOn(at)
			w.host.fold(records)
			w.host.signalJobs()
			return nil
		}
		unknown = unknown || errors.Is(err, sharedlog.ErrUnknown)
		event.Error(w.host.out, err, event.LogWriteError, "records", len(records), "topic", ledger.TopicsJobs[at].String())
	}
	if unknown {
		return errkind.New(errkind.OutcomeUnknown, "the log has not said whether it has the record")
	}
	return retryLater(errkind.LogUnavailable, comeBack, "the log refused the record")
}

// settleOn remembers the partition that took a record. The first one is tried again later.
func (w *jobWriter) settleOn(at int) {
	if at != w.home {
		w.home, w.homeUntil = at, time.Now().Add(homeTime)
	}
	if w.home != 0 && time.Now().After(w.homeUntil) {
		w.home = 0
	}
}
