// Package election elects the leader of an availability zone: its active scheduler. Mutual
// exclusion is not required: two leaders at once waste work but are safe, because workers
// refuse the lower term and placements of a lower term are void. The leader's leases on workers
// are tracked by package lease. Package entry has an election of its own, whose epochs
// correspond to the terms here.
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

// Claim is a record of the claims stream. A claim takes effect when its term is higher than
// all terms before it; a repetition by the same holder renews it.
type Claim struct {
	Zone core.ZoneID `cbor:"1,keyasint"`
	Host string      `cbor:"2,keyasint"`
	// Holder identifies the claiming process and is unique to it.
	Holder string    `cbor:"3,keyasint"`
	Term   core.Term `cbor:"4,keyasint"`
	// Released is true when the holder gives up the leader role.
	Released bool `cbor:"5,keyasint,omitempty"`
}

const (
	// initialTail is the number of records before the stream's end at which a new reader
	// starts. Live claims are renewed and so are among them; terms of older claims are
	// reported by the workers.
	initialTail    = 4096
	maxReadRecords = 1000
	// readWaitPolls is the number of poll intervals for which a read waits for a record.
	readWaitPolls = 2
	// takeoverWindow is how long a takeover is counted. Each counted takeover but the first
	// doubles the age from which claims are stale, up to maxDoublings times: on hosts so slow
	// that renewals come late, the schedulers of a zone would otherwise keep superseding each
	// other.
	takeoverWindow = 30 * time.Second
	maxDoublings   = 3
	// minReadInterval limits the rate of reads while new records keep arriving.
	minReadInterval = 20 * time.Millisecond
)

// claims reads and appends to the claims stream of one zone.
type claims struct {
	zone         core.ZoneID
	log          platform.Log
	pollInterval time.Duration

	mu sync.Mutex
	// newest is the claim in effect and newestReadAt the time at which it or its latest
	// renewal was read.
	newest       Claim
	newestReadAt time.Time
	next         platform.Offset
	caughtUp     bool
	// readSent is a time just before the last read that reached the stream's end was sent.
	readSent time.Time
	// completeUntil is the time up to which all records appended to the stream have been read.
	completeUntil time.Time
	// takeovers are the times at which an unreleased claim was superseded by another holder.
	takeovers []time.Time
	changed   chan struct{}
}

func newClaims(zone core.ZoneID, log platform.Log, pollInterval time.Duration) *claims {
	return &claims{zone: zone, log: log, pollInterval: pollInterval, changed: make(chan struct{})}
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
			err = c.read(ctx, readWaitPolls*c.pollInterval)
		}
		var trimmed *platform.TrimmedError
		if errors.As(err, &trimmed) {
			c.skipTo(trimmed.Oldest)
			continue
		}
		if err == nil {
			sleep(ctx, minReadInterval)
			continue
		}
		sleep(ctx, c.pollInterval)
	}
	return trace.Wrap(ctx.Err())
}

// locate moves the read position to initialTail records before the stream's end, or to its
// oldest record.
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
	if page.End > from+initialTail {
		from = page.End - initialTail
	}
	c.skipTo(from)
	return nil
}

// skipTo moves the read position forward to from.
func (c *claims) skipTo(from platform.Offset) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next = max(c.next, from)
}

// read applies all records up to the stream's end. Each call to the log waits up to wait
// for a record.
func (c *claims) read(ctx context.Context, wait time.Duration) error {
	for {
		sent := time.Now()
		c.mu.Lock()
		from := c.next
		c.mu.Unlock()
		page, err := c.log.Read(ctx, platform.StreamClaims(c.zone), from, maxReadRecords, wait)
		if err != nil {
			return trace.Wrap(err)
		}
		if c.applyPage(page, sent, wait) {
			return nil
		}
	}
}

// applyPage applies a page and reports whether it reached the stream's end.
func (c *claims) applyPage(page platform.Page, sent time.Time, wait time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	completeUntil := sent
	if len(page.Records) == 0 {
		// The log returns an empty page only after the full wait.
		completeUntil = earlier(sent.Add(wait), now)
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
	c.readSent, c.completeUntil, c.caughtUp = sent, completeUntil, true
	close(c.changed)
	c.changed = make(chan struct{})
	return true
}

// apply records a claim that renews or supersedes the newest one and ignores all others.
func (c *claims) apply(claim Claim, now time.Time) {
	renewal := claim.Term == c.newest.Term && claim.Holder == c.newest.Holder
	if claim.Term <= c.newest.Term && !renewal {
		return
	}
	if !renewal && c.newest.Term > 0 && !c.newest.Released && claim.Holder != c.newest.Holder {
		c.takeovers = append(c.takeovers, now)
	}
	c.newest, c.newestReadAt = claim, now
}

// staleAfter returns the age from which an unrenewed claim can be superseded: base, doubled
// for each recent takeover but the first, up to maxDoublings times.
func staleAfter(base time.Duration, takeovers int) time.Duration {
	return base << min(max(takeovers-1, 0), maxDoublings)
}

// recentTakeovers returns the number of takeovers within takeoverWindow and drops older ones.
func (c *claims) recentTakeovers(now time.Time) int {
	for len(c.takeovers) > 0 && now.Sub(c.takeovers[0]) > takeoverWindow {
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

// claimsView is a snapshot of what has been read from the claims stream.
type claimsView struct {
	newest       Claim
	newestReadAt time.Time
	// readSent is zero until the stream has been read to its end once.
	readSent time.Time
	// completeUntil is the time up to which any renewal of the claim has been read.
	completeUntil time.Time
	// takeovers is the number of recent takeovers from a holder that had not released its claim.
	takeovers int
	changed   <-chan struct{}
}

func (c *claims) view() claimsView {
	c.mu.Lock()
	defer c.mu.Unlock()
	return claimsView{
		newest: c.newest, newestReadAt: c.newestReadAt, readSent: c.readSent, completeUntil: c.completeUntil,
		takeovers: c.recentTakeovers(time.Now()), changed: c.changed,
	}
}

// append appends a claim. After an error the claim may or may not be in the stream.
func (c *claims) append(ctx context.Context, claim Claim) error {
	data, err := cbor.Marshal(claim)
	if err != nil {
		return trace.Wrap(err)
	}
	_, err = c.log.Append(ctx, platform.StreamClaims(c.zone), [][]byte{data})
	return trace.Wrap(err)
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
