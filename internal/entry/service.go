package entry

import (
	"context"
	"time"

	"agatewinch/internal/catalog"
	"agatewinch/internal/core/job"
	"agatewinch/internal/errkind"
	"agatewinch/internal/event"
	"agatewinch/internal/ledger"
	"agatewinch/internal/sharedlog"
)

const (
	// catalogMargin is subtracted from the time within which a configuration has to be in
	// force. If the last confirmation of the configuration is older than the difference, the
	// host answers with an error.
	catalogMargin = 1500 * time.Millisecond
	// retryAfterSeconds is the Retry-After of a host that temporarily cannot serve a request,
	// usually because it cannot reach the log. It is short because another host probably can.
	retryAfterSeconds = 1.0
)

// Catalog implements Service.
func (h *Host) Catalog() (*catalog.Catalog, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.currentCatalog == nil {
		return nil, retryableError(errkind.NoConfiguration, retryAfterSeconds, "no configuration has been read yet")
	}
	if h.currentCatalog.Version < h.requiredVersion {
		return nil, retryableError(errkind.NoConfiguration, retryAfterSeconds, "a peer has a newer configuration than this host")
	}
	if h.sinceBoot()-h.catalogConfirmedAt > h.settings.ConfigApplyTime+h.settings.ConfigApplyExtension-catalogMargin {
		return nil, retryableError(errkind.NoConfiguration, retryAfterSeconds, "this host cannot confirm that its configuration is the newest")
	}
	return h.currentCatalog, nil
}

func retryableError(k errkind.Kind, after float64, message string) error {
	return &errkind.Error{Kind: k, Message: message, RetryAfterSeconds: after}
}

// Submit implements Service.
func (h *Host) Submit(ctx context.Context, q *catalog.Queue, org string, j *job.Job) error {
	if known, ok := h.ledger.Find(j.ID); ok && known.Job != nil {
		if !mayAccess(q, org, known.Job) {
			return errkind.New(errkind.RequestMismatch, "the job ID is in use")
		}
		return nil // an ID identifies one job, whichever host received it first
	}
	if !h.caughtUp() {
		return retryableError(errkind.LogUnavailable, retryAfterSeconds, "this host has not read the log yet")
	}
	if h.logUnavailable() {
		return retryableError(errkind.LogUnavailable, retryAfterSeconds, "the log does not answer this host")
	}
	j.Queue, j.Org, j.Service, j.Zone = q.Name, org, q.Service, h.settings.Zone
	j.Priority, j.Attempts, j.Stretch, j.Objective = q.Priority, q.Attempts, q.Stretch, q.Objective
	if q.Advice != nil {
		j.Advised, j.TicketValidity = true, q.Advice.Validity
	}
	if known, err := h.admit(ctx, j); known {
		return h.Submit(ctx, q, org, j)
	} else if err != nil {
		return err
	}
	j.AcceptedMs, j.FirstRefusedMs = time.Now().UnixMilli(), h.ledger.RefusedMs(j.ID)
	rec, err := ledger.JobRecord(j)
	if err != nil {
		return errkind.New(errkind.Internal, "cannot write the job to the log: %v", err)
	}
	err = h.writer.write(ctx, rec)
	h.logRequest("submit", j.ID, q, err)
	return err
}

// State implements Service.
func (h *Host) State(ctx context.Context, q *catalog.Queue, org, id string) (job.State, error) {
	state, e, ok := h.lookUp(id)
	if !ok {
		// This host's state may be stale: only a read to the end of the log proves that a job is
		// unknown.
		if err := h.readToEnd(ctx); err != nil {
			return "", retryableError(errkind.LogUnavailable, retryAfterSeconds, "the log cannot be read")
		}
		if state, e, ok = h.lookUp(id); !ok {
			return "", errkind.New(errkind.JobUnknown, "no job with this ID is known")
		}
	}
	if !mayAccess(q, org, e.Job) {
		return "", errkind.New(errkind.JobUnknown, "no job with this ID is known")
	}
	if state == job.Pending || state == job.Running {
		state = h.awaitChange(ctx, id, state)
	}
	return state, nil
}

// awaitChange returns the state of a job once it has changed, or after jobChangeWait. Callers
// query as soon as their job's last task has ended, and again only some time later.
func (h *Host) awaitChange(ctx context.Context, id string, state job.State) job.State {
	ctx, cancel := context.WithTimeout(ctx, jobChangeWait)
	defer cancel()
	for {
		applied := h.stateReader.awaitRecords(ctx)
		if current, _, ok := h.lookUp(id); !applied || (ok && current != state) {
			return current
		}
	}
}

// mayAccess reports whether a caller of an organisation may see and cancel j by a request to q. Callers
// without a key have access to the jobs of a public queue only, not to others by way of it.
func mayAccess(q *catalog.Queue, org string, j *job.Job) bool {
	return j.Org == org || q.Public && j.Queue == q.Name
}

// lookUp returns the state and the entry of a job whose submission is known.
func (h *Host) lookUp(id string) (job.State, ledger.Entry, bool) {
	state, _, ok := h.ledger.StateOf(id)
	if !ok {
		return "", ledger.Entry{}, false
	}
	e, ok := h.ledger.Find(id)
	return state, e, ok && e.Job != nil
}

// readToEnd reads the job topics to their ends. It fails if this host has not read all topics to
// their ends before, or if the log cannot be read.
func (h *Host) readToEnd(ctx context.Context) error {
	if !h.caughtUp() {
		return sharedlog.ErrRefused
	}
	for _, reader := range h.jobReaders {
		if err := reader.catchUp(ctx); err != nil {
			return err
		}
	}
	return nil
}

// Cancel implements Service.
func (h *Host) Cancel(ctx context.Context, q *catalog.Queue, org, id string) error {
	state, err := h.State(ctx, q, org, id)
	if errkind.Is(err, errkind.JobUnknown) {
		return h.cancelUnknown(ctx, q, org, id, err)
	}
	if err != nil {
		return err
	}
	if state == job.Succeeded || state == job.Failed || state == job.Cancelled {
		return nil
	}
	if h.logUnavailable() {
		return retryableError(errkind.LogUnavailable, retryAfterSeconds, "the log does not answer this host")
	}
	err = h.writer.write(ctx, ledger.CancelRecord(id))
	h.logRequest("cancel", id, q, err)
	return err
}

// cancelUnknown records the cancellation of a job that is not known, unless the ID is that of a job
// which the caller may not see. The append of its submission may have been lost or may still take
// effect; after this answer it must not run. It returns unknown once the cancellation is in the log.
func (h *Host) cancelUnknown(ctx context.Context, q *catalog.Queue, org, id string, unknown error) error {
	if _, _, known := h.lookUp(id); known {
		return unknown
	}
	if h.logUnavailable() {
		return retryableError(errkind.LogUnavailable, retryAfterSeconds, "the log does not answer this host")
	}
	rec, err := ledger.EarlyCancelRecord(id, org, time.Now().UnixMilli())
	if err != nil {
		return errkind.New(errkind.Internal, "cannot write the cancellation to the log: %v", err)
	}
	err = h.writer.write(ctx, rec)
	h.logRequest("cancel unknown", id, q, err)
	if err != nil {
		return err
	}
	return unknown
}

// Waiting implements Service.
func (h *Host) Waiting(_ context.Context, q *catalog.Queue) (int, error) {
	if !h.caughtUp() {
		return 0, retryableError(errkind.LogUnavailable, retryAfterSeconds, "this host has not read the log yet")
	}
	return h.ledger.Waiting(q.Name), nil
}

// RecordError implements Service.
func (h *Host) RecordError(method, path string, status int, err *errkind.Error) {
	h.metrics.Error(err.Kind)
	event.Info(h.logger, event.RequestRefused, "method", method, "path", path, "status", status, "kind", string(err.Kind), "why", err.Message, "log_age_ms", h.logAge().Milliseconds())
}

func (h *Host) logRequest(what, id string, q *catalog.Queue, err error) {
	outcome := "recorded"
	if err != nil {
		outcome = err.Error()
	}
	event.Info(h.logger, event.RequestTaken, "what", what, "job", id, "queue", q.Name, "log_age_ms", h.logAge().Milliseconds(), "outcome", outcome)
}
