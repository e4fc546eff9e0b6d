package config

import (
	"context"
	"errors"
	"time"

	"github.com/gravitational/trace"

	"agatewinch/internal/core"
	"agatewinch/internal/errkind"
	"agatewinch/internal/platform"
)

// streamEndTimeout bounds how long Apply waits for a follower that has just started to
// reach the end of the stream.
const streamEndTimeout = 3 * time.Second

// Proposal is a request to put a set in force.
type Proposal struct {
	// ID identifies the proposal and makes Apply idempotent: the same ID returns the first
	// result while it is remembered. If empty, Apply generates one.
	ID string
	// Base is the generation that the set builds on.
	Base core.Generation
	// Force puts the set in force whatever Base is. It is for a log that has lost the
	// configuration, and is rejected while the log shows which one is in force.
	Force bool
	Set   *Set
}

// Apply appends a proposal and waits until the stream shows whether it was accepted. It
// returns the proposal's generation, or one of these errors:
//   - errkind.Conflict: the generation in force is not the proposal's base, or a forced
//     proposal was made while the log shows the generation in force;
//   - errkind.TooLarge: the encoded set exceeds MaxRecordBytes;
//   - errkind.LogUnavailable: the log cannot be read or refused the append, and the proposal
//     is not in the stream;
//   - errkind.OutcomeUnknown: ctx was done before the stream showed the result.
func (f *Follower) Apply(ctx context.Context, p Proposal) (core.Generation, error) {
	if p.ID == "" {
		p.ID = NewID()
	}
	if gen, done, err := f.proposalResult(p); done {
		return gen, err
	}
	f.awaitStreamEnd(ctx)
	if err := f.checkProposal(p); err != nil {
		return 0, trace.Wrap(err)
	}
	rec := Record{Kind: RecordApply, ID: p.ID, Base: p.Base, Force: p.Force}
	data, err := encodeRecord(rec, p.Set)
	if err != nil {
		return 0, errkind.New(errkind.TooLarge, "cannot apply the configuration: %v", err)
	}
	_, err = f.log.Append(ctx, platform.StreamConfig, [][]byte{data})
	if errors.Is(err, platform.ErrNotApplied) {
		return 0, errkind.New(errkind.LogUnavailable, "the configuration could not be appended to the log")
	}
	// After any other error the record may be in the stream, so the stream decides.
	for {
		changed := f.Changed()
		if gen, done, err := f.proposalResult(p); done {
			return gen, err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return 0, errkind.New(errkind.OutcomeUnknown, "the log did not confirm the configuration in time; apply it again with ID %s to get the result", p.ID)
		}
	}
}

// proposalResult returns the result of a proposal; done is false while the stream has
// not shown it.
func (f *Follower) proposalResult(p Proposal) (core.Generation, bool, error) {
	f.mu.Lock()
	result, ok := f.reader.results[p.ID]
	f.mu.Unlock()
	if !ok {
		return 0, false, nil
	}
	if result.Generation == 0 {
		return 0, true, conflict(p.Base, result.InForce)
	}
	return result.Generation, true, nil
}

// awaitStreamEnd waits, at most streamEndTimeout, until the stream was read to its end.
func (f *Follower) awaitStreamEnd(ctx context.Context) {
	timer := time.NewTimer(streamEndTimeout)
	defer timer.Stop()
	for {
		changed := f.Changed()
		f.mu.Lock()
		reachedEnd := f.reader.reachedEnd
		f.mu.Unlock()
		if reachedEnd {
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// checkProposal rejects a proposal that cannot be accepted, before anything is appended.
func (f *Follower) checkProposal(p Proposal) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := f.reader
	newest := max(r.gen, r.current.Generation, r.unreadable)
	switch {
	case !r.reachedEnd:
		return errkind.New(errkind.LogUnavailable, "the configuration stream of the log cannot be read")
	case p.Force && r.genKnown && newest > 0:
		return errkind.New(errkind.Conflict, "cannot force a configuration: generation %d is in force", newest)
	case p.Force:
		return nil
	case !r.genKnown:
		return errkind.New(errkind.LogUnavailable, "the generation in force cannot be read from the log")
	case p.Base < newest:
		return conflict(p.Base, newest)
	}
	return nil
}

func conflict(base, inForce core.Generation) error {
	return errkind.New(errkind.Conflict, "built on generation %d, but generation %d is in force", base, inForce)
}
