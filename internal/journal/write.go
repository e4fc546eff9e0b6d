package journal

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"agatewinch/internal/core"
	"agatewinch/internal/event"
	"agatewinch/internal/platform"
)

const (
	queueSize     = 4096
	maxBatchBytes = 1 << 20
	appendTimeout = 5 * time.Second
)

// pending is a record that was handed to Write and has not been read back yet.
type pending struct {
	rec  Record
	data []byte
	// done is closed when the result is known.
	done   chan struct{}
	result WriteResult
	err    error

	mu sync.Mutex
	// maybeSent is true once an append may have sent the record.
	maybeSent bool
	// abandoned is true when its Write has returned because its context ended.
	abandoned bool
	// uncertain is true when an earlier append may have added the record to the stream.
	uncertain bool
	// appended is true when an append of it succeeded.
	appended bool
}

// resetAppended reports whether an append of the record succeeded and clears that mark, so
// that the record can be appended again. Appending a record twice is harmless: only the
// first one takes effect.
func (p *pending) resetAppended() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	wasAppended := p.appended
	p.appended, p.uncertain = false, p.uncertain || wasAppended
	return wasAppended
}

// markSent marks the record as possibly sent and returns true, unless it was abandoned.
func (p *pending) markSent() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.abandoned {
		return false
	}
	p.maybeSent = true
	return true
}

// Write appends a record and waits until it has been read back, which determines for every
// reader whether it took effect. It fails with platform.ErrNotApplied when the record is not
// in the log and never will be, and with platform.ErrUnknown when ctx ended before the result
// was known.
func (j *Journal) Write(ctx context.Context, term core.Term, rec Record) (WriteResult, error) {
	rec.ID, rec.Zone, rec.Holder, rec.Term = j.nextID(), j.opts.Zone, j.opts.Writer, term
	data, err := rec.Encode()
	if err != nil {
		return WriteResult{}, trace.Wrap(platform.ErrNotApplied, err.Error())
	}
	p := &pending{rec: rec, data: data, done: make(chan struct{})}
	j.mu.Lock()
	j.pending[rec.ID] = p
	j.mu.Unlock()
	defer j.removePending(rec.ID)
	select {
	case j.queue <- p:
	default:
		return WriteResult{}, trace.Wrap(platform.ErrNotApplied)
	}
	select {
	case <-p.done:
		return p.result, trace.Wrap(p.err)
	case <-ctx.Done():
		return WriteResult{}, trace.Wrap(p.abandon())
	}
}

// Fence announces a term in the stream. When it returns without an error, all effective
// placements of lower terms have been read, and no further one can take effect.
func (j *Journal) Fence(ctx context.Context, term core.Term) (WriteResult, error) {
	return j.Write(ctx, term, Record{})
}

// abandon marks the record as no longer waited for and returns the error of its Write.
func (p *pending) abandon() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.abandoned = true
	if !p.maybeSent {
		return platform.ErrNotApplied
	}
	return platform.ErrUnknown
}

func (j *Journal) removePending(id string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	delete(j.pending, id)
}

// resolve completes a pending record with its result from the state; the caller holds j.mu.
func (j *Journal) resolve(id string, p *pending) {
	delete(j.pending, id)
	p.result = WriteResult{Effective: j.state.isEffective(p.rec), Holder: j.state.Holder(p.rec.Zone)}
	p.result.Entry, _ = j.state.Entry(jobOf(p.rec))
	close(p.done)
}

// jobOf returns the job of an admission, placement or outcome.
func jobOf(r Record) core.JobID {
	switch {
	case r.Admitted != nil:
		return r.Admitted.Job.ID
	case r.Placed != nil:
		return r.Placed.Job
	case r.Ended != nil:
		return r.Ended.Job
	default:
		return ""
	}
}

// writeLoop appends queued records, one batch at a time so that their order is kept.
func (j *Journal) writeLoop(ctx context.Context) error {
	var retry []*pending
	wait := newBackoff()
	for ctx.Err() == nil {
		batch := j.nextBatch(ctx, retry)
		if len(batch) == 0 {
			retry = nil
			continue
		}
		retry = j.append(ctx, batch)
		if len(retry) > 0 {
			sleep(ctx, wait.NextBackOff())
			continue
		}
		wait.Reset()
	}
	return trace.Wrap(ctx.Err())
}

// nextBatch returns the records to append next: those to be retried, then queued ones.
func (j *Journal) nextBatch(ctx context.Context, retry []*pending) []*pending {
	batch := j.markUnresolved(retry)
	if len(batch) == 0 {
		select {
		case p := <-j.queue:
			batch = append(batch, p)
		case <-ctx.Done():
			return nil
		}
	}
	size := 0
	for _, p := range batch {
		size += len(p.data)
	}
	linger := time.After(j.opts.Linger)
	for len(batch) < j.opts.BatchRecords && size < maxBatchBytes {
		select {
		case p := <-j.queue:
			batch = append(batch, p)
			size += len(p.data)
			continue
		case <-linger:
		case <-ctx.Done():
		}
		break
	}
	return j.markUnresolved(batch)
}

// markUnresolved marks the records of a batch that are still without a result as possibly
// sent and returns them, without the abandoned ones.
func (j *Journal) markUnresolved(batch []*pending) []*pending {
	var out []*pending
	for _, p := range batch {
		select {
		case <-p.done:
			continue
		default:
		}
		if p.markSent() {
			out = append(out, p)
		}
	}
	return out
}

// append appends one batch and returns the records that have to be retried.
func (j *Journal) append(ctx context.Context, batch []*pending) []*pending {
	data := make([][]byte, len(batch))
	for i, p := range batch {
		data[i] = p.data
	}
	callCtx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	_, err := j.log.Append(callCtx, platform.StreamJobs, data)
	if err == nil {
		for _, p := range batch {
			p.mu.Lock()
			p.appended = true
			p.mu.Unlock()
		}
		return nil
	}
	if ctx.Err() == nil {
		event.Error(j.logger, err, event.LogWriteError, "records", len(batch))
	}
	refused := errors.Is(err, platform.ErrNotApplied)
	var retry []*pending
	for _, p := range batch {
		if j.handleFailure(p, refused) {
			retry = append(retry, p)
		}
	}
	return retry
}

// handleFailure handles a failed append of p and reports whether it has to be retried. A
// refused record that no earlier append can have added fails with platform.ErrNotApplied.
func (j *Journal) handleFailure(p *pending, refused bool) bool {
	p.mu.Lock()
	p.uncertain = p.uncertain || !refused
	uncertain := p.uncertain
	p.mu.Unlock()
	if uncertain {
		return true
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	if _, ok := j.pending[p.rec.ID]; !ok {
		return false
	}
	delete(j.pending, p.rec.ID)
	p.err = platform.ErrNotApplied
	close(p.done)
	return false
}
