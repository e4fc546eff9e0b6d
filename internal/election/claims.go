// Package election decides which scheduler of an availability zone is active. The role is
// soft: two active schedulers at once are safe, because workers refuse the lower term and
// placements of a lower term are void, and merely wasteful.
package election

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"

	"agatewinch/internal/core"
	"agatewinch/internal/platform"
)

// Claim is a record of the claims stream. A claim of a term counts when the term is above
// all before it; a repetition by the same holder renews it.
type Claim struct {
	Zone core.ZoneID `cbor:"1,keyasint"`
	Host string      `cbor:"2,keyasint"`
	// Holder is unique for each process.
	Holder string    `cbor:"3,keyasint"`
	Term   core.Term `cbor:"4,keyasint"`
	// Released is true when the holder gives the role up.
	Released bool `cbor:"5,keyasint,omitempty"`
}

const (
	// claimsTail is how many records from the stream's end a new reader starts at. Live
	// claims are renewed and so stand there; an older term is learnt from the workers.
	claimsTail  = 4096
	claimsLimit = 1000
	// pollWait is how many poll intervals a read waits for a record.
	pollWait = 2
	// takeoverMemory is how long a takeover counts. Each one but the first doubles the
	// lives of the claims that follow, up to maxDoublings times: on a machine so slow that
	// renewals come late the schedulers of a zone would go on superseding each other.
	takeoverMemory = 30 * time.Second
	maxDoublings   = 3
	// pollGap bounds the rate of reads while records keep coming.
	pollGap = 20 * time.Millisecond
)

// claims follows the claims stream for one zone.
type claims struct {
	zone core.ZoneID
	log  platform.Log
	poll time.Duration

	mu sync.Mutex
	// newest is the claim that counts and seen the time at which it was last read.
	newest Claim
	seen   time.Time
	next   platform.Offset
	caught bool
	// readSent is the time before the last successful read was sent.
	readSent time.Time
	// clearTo is the time up to which the stream is known to hold nothing further.
	clearTo time.Time
	// takeovers are the times at which a claim that was not released was superseded.
	takeovers []time.Time
	changed   chan struct{}
}

func newClaims(zone core.ZoneID, log platform.Log, poll time.Duration) *claims {
	return &claims{zone: zone, log: log, poll: poll, changed: make(chan struct{})}
}

// run reads the stream until ctx ends.
func (c *claims) run(ctx context.Context) error {
	located := false
	for ctx.Err() == nil {
		var err error
		if !located {
			err = c.locate(ctx)
			located = err == nil
		}
		if err == nil {
			err = c.read(ctx, pollWait*c.poll)
		}
		var trimmed *platform.TrimmedError
		if errors.As(err, &trimmed) {
			c.skipTo(trimmed.Oldest)
			continue
		}
		if err == nil {
			pause(ctx, pollGap)
			continue
		}
		pause(ctx, c.poll)
	}
	return trace.Wrap(ctx.Err())
}

func (c *claims) locate(ctx context.Context) error {
	page, err := c.log.Read(ctx, platform.StreamClaims(c.zone), 0, 1, 0)
	var trimmed *platform.TrimmedError
	if errors.As(err, &trimmed) {
		page, err = c.log.Read(ctx, platform.StreamClaims(c.zone), trimmed.Oldest, 1, 0)
	}
	if err != nil {
		return trace.Wrap(err)
	}
	from := page.Oldest
	if page.End > from+claimsTail {
		from = page.End - claimsTail
	}
	c.skipTo(from)
	return nil
}

func (c *claims) skipTo(from platform.Offset) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next = max(c.next, from)
}

// read takes in all that the stream holds, waiting up to wait for a record.
func (c *claims) read(ctx context.Context, wait time.Duration) error {
	for {
		sent := time.Now()
		c.mu.Lock()
		from := c.next
		c.mu.Unlock()
		page, err := c.log.Read(ctx, platform.StreamClaims(c.zone), from, claimsLimit, wait)
		if err != nil {
			return trace.Wrap(err)
		}
		if c.take(page, sent, wait) {
			return nil
		}
	}
}

// take applies a page and reports whether it reached the stream's end.
func (c *claims) take(page platform.Page, sent time.Time, wait time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	clearTo := sent
	if len(page.Records) == 0 {
		// The log answers with nothing only once the wait is over.
		clearTo = earlier(sent.Add(wait), now)
	}
	for _, r := range page.Records {
		var claim Claim
		if cbor.Unmarshal(r.Data, &claim) == nil && claim.Zone == c.zone {
			c.apply(claim, now)
		}
	}
	c.next = max(c.next, page.Next)
	if page.Next < page.End {
		return false
	}
	c.readSent, c.clearTo, c.caught = sent, clearTo, true
	close(c.changed)
	c.changed = make(chan struct{})
	return true
}

func (c *claims) apply(claim Claim, now time.Time) {
	renewal := claim.Term == c.newest.Term && claim.Holder == c.newest.Holder
	if claim.Term <= c.newest.Term && !renewal {
		return
	}
	if !renewal && c.newest.Term > 0 && !c.newest.Released && claim.Holder != c.newest.Holder {
		c.takeovers = append(c.takeovers, now)
	}
	c.newest, c.seen = claim, now
}

// staleAfter is the age from which an unrenewed claim no longer protects its holder.
func staleAfter(stale time.Duration, takeovers int) time.Duration {
	return stale << min(max(takeovers-1, 0), maxDoublings)
}

// recentTakeovers counts the takeovers that still lengthen a claim's life.
func (c *claims) recentTakeovers(now time.Time) int {
	for len(c.takeovers) > 0 && now.Sub(c.takeovers[0]) > takeoverMemory {
		c.takeovers = c.takeovers[1:]
	}
	return len(c.takeovers)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// claimsView is what the stream shows.
type claimsView struct {
	newest Claim
	seen   time.Time
	// readSent is zero before the stream was read to its end once.
	readSent time.Time
	// clearTo is the time up to which the claim is known not to have been renewed again.
	clearTo time.Time
	// takeovers is how often the role was taken lately from a holder that kept it.
	takeovers int
	changed   <-chan struct{}
}

func (c *claims) view() claimsView {
	c.mu.Lock()
	defer c.mu.Unlock()
	return claimsView{
		newest: c.newest, seen: c.seen, readSent: c.readSent, clearTo: c.clearTo,
		takeovers: c.recentTakeovers(time.Now()), changed: c.changed,
	}
}

// append writes a claim. It fails when the claim may not be in the stream.
func (c *claims) append(ctx context.Context, claim Claim) error {
	data, err := cbor.Marshal(claim)
	if err != nil {
		return trace.Wrap(err)
	}
	_, err = c.log.Append(ctx, platform.StreamClaims(c.zone), [][]byte{data})
	return trace.Wrap(err)
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
