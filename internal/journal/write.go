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
	batchBytes    = 1 << 20
	appendTimeout = 5 * time.Second
)

// pending is a record on its way into the stream.
type pending struct {
	rec  Record
	data []byte
	// done is closed when the record's fate is known.
	done    chan struct{}
	verdict Verdict
	err     error

	mu sync.Mutex
	// taken is true from the moment the record may have been sent.
	taken bool
	// abandoned is true when nobody waits for it any more.
	abandoned bool
	// uncertain is true when an append of it had no answer.
	uncertain bool
	// appended is true when an append of it succeeded.
	appended bool
}

// again reports whether the record has to be appended once more although an append of it
// succeeded. Appending a record twice is harmless: the first counts.
func (p *pending) again() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	lost := p.appended
	p.appended, p.uncertain = false, p.uncertain || lost
	return lost
}

// take marks the record as sent, unless its caller has left.
func (p *pending) take() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.abandoned {
		return false
	}
	p.taken = true
	return true
}

// Write appends a record and waits until the stream shows it, which settles its fate for
// every reader. It fails with platform.ErrNotApplied when the record is not in the log
// and never will be, and with platform.ErrUnknown when ctx ended before its fate was
// known.
func (j *Journal) Write(ctx context.Context, term core.Term, rec Record) (Verdict, error) {
	rec.ID, rec.Zone, rec.Holder, rec.Term = j.nextID(), j.opts.Zone, j.opts.Writer, term
	data, err := rec.Encode()
	if err != nil {
		return Verdict{}, trace.Wrap(platform.ErrNotApplied, err.Error())
	}
	p := &pending{rec: rec, data: data, done: make(chan struct{})}
	j.mu.Lock()
	j.pending[rec.ID] = p
	j.mu.Unlock()
	defer j.forget(rec.ID)
	select {
	case j.queue <- p:
	default:
		return Verdict{}, trace.Wrap(platform.ErrNotApplied)
	}
	select {
	case <-p.done:
		return p.verdict, trace.Wrap(p.err)
	case <-ctx.Done():
		return Verdict{}, trace.Wrap(p.abandon())
	}
}

// Fence announces a term in the stream. When it returns, every placement of a lower term
// that counts has been read, and no further one can count.
func (j *Journal) Fence(ctx context.Context, term core.Term) (Verdict, error) {
	return j.Write(ctx, term, Record{})
}

func (p *pending) abandon() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.abandoned = true
	if !p.taken {
		return platform.ErrNotApplied
	}
	return platform.ErrUnknown
}

func (j *Journal) forget(id string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	delete(j.pending, id)
}

// settle answers a record whose fate the state shows; the caller holds j.mu.
func (j *Journal) settle(id string, p *pending) {
	delete(j.pending, id)
	p.verdict = Verdict{Counts: j.state.stands(p.rec), Holder: j.state.Holder(p.rec.Zone)}
	p.verdict.Entry, _ = j.state.Entry(jobOf(p.rec))
	close(p.done)
}

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

// writeLoop appends what waits, one batch at a time, so that records keep their order.
func (j *Journal) writeLoop(ctx context.Context) error {
	var again []*pending
	wait := newBackOff()
	for ctx.Err() == nil {
		batch := j.collect(ctx, again)
		if len(batch) == 0 {
			again = nil
			continue
		}
		again = j.append(ctx, batch)
		if len(again) > 0 {
			pause(ctx, wait.NextBackOff())
			continue
		}
		wait.Reset()
	}
	return trace.Wrap(ctx.Err())
}

// collect returns the records to append next: those to be appended again, then what has
// queued up.
func (j *Journal) collect(ctx context.Context, again []*pending) []*pending {
	batch := j.unsettled(again)
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
	for len(batch) < j.opts.BatchRecords && size < batchBytes {
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
	return j.unsettled(batch)
}

func (j *Journal) unsettled(batch []*pending) []*pending {
	var out []*pending
	for _, p := range batch {
		select {
		case <-p.done:
			continue
		default:
		}
		if p.take() {
			out = append(out, p)
		}
	}
	return out
}

// append sends one batch and returns what has to be sent again.
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
	var again []*pending
	for _, p := range batch {
		if j.failed(p, refused) {
			again = append(again, p)
		}
	}
	return again
}

// failed takes a failed append of p and reports whether it has to be sent again. A
// refused record that no earlier append can have brought in is refused for good.
func (j *Journal) failed(p *pending, refused bool) bool {
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
