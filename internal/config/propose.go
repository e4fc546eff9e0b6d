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

// scanWait bounds how long a proposal waits for a follower that has just started.
const scanWait = 3 * time.Second

// Proposal is a set to be put in force.
type Proposal struct {
	// ID names the attempt; the same ID again finds the first attempt's result.
	ID string
	// Base is the generation that the set builds on.
	Base core.Generation
	// Force puts the set in force over any other. It is for a log that has lost the
	// configuration, and refused while the log shows which one is in force.
	Force bool
	Set   *Set
}

// Apply appends a proposal and waits until the stream shows whether it was accepted.
// It fails with a conflict when another set came first, and with an unknown outcome
// when the log shows neither before ctx ends.
func (f *Follower) Apply(ctx context.Context, p Proposal) (core.Generation, error) {
	if p.ID == "" {
		p.ID = NewID()
	}
	if gen, done, err := f.resolved(p); done {
		return gen, err
	}
	f.awaitScan(ctx)
	if err := f.mayPropose(p); err != nil {
		return 0, trace.Wrap(err)
	}
	rec := Record{Kind: RecordApply, ID: p.ID, Base: p.Base, Force: p.Force}
	data, err := encodeRecord(rec, p.Set)
	if err != nil {
		return 0, errkind.New(errkind.TooLarge, "%v", err)
	}
	_, err = f.log.Append(ctx, platform.StreamConfig, [][]byte{data})
	if errors.Is(err, platform.ErrNotApplied) {
		return 0, errkind.New(errkind.LogUnavailable, "the log refused the configuration")
	}
	for {
		changed := f.Changed()
		if gen, done, err := f.resolved(p); done {
			return gen, err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return 0, errkind.New(errkind.OutcomeUnknown, "the log did not confirm the configuration in time; apply ID %s again to find out", p.ID)
		}
	}
}

// resolved returns the result of a proposal if the stream has shown it.
func (f *Follower) resolved(p Proposal) (core.Generation, bool, error) {
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

// awaitScan waits until the stream was read to its end once, for a bounded time.
func (f *Follower) awaitScan(ctx context.Context) {
	timer := time.NewTimer(scanWait)
	defer timer.Stop()
	for {
		changed := f.Changed()
		f.mu.Lock()
		scanned := f.reader.scanned
		f.mu.Unlock()
		if scanned {
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

// mayPropose refuses what no log could accept, before anything is appended.
func (f *Follower) mayPropose(p Proposal) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := f.reader
	newest := max(r.gen, r.current.Generation, r.unreadable)
	switch {
	case !r.scanned:
		return errkind.New(errkind.LogUnavailable, "the log cannot be read")
	case p.Force && r.known && newest > 0:
		return errkind.New(errkind.Conflict, "forced, but generation %d is in force", newest)
	case p.Force:
		return nil
	case !r.known:
		return errkind.New(errkind.LogUnavailable, "the generation in force cannot be read from the log")
	case p.Base < newest:
		return conflict(p.Base, newest)
	}
	return nil
}

func conflict(base, inForce core.Generation) error {
	return errkind.New(errkind.Conflict, "built on generation %d, but generation %d is in force", base, inForce)
}
