// Package intake bounds what a process holds for clients that it does not control: the bytes of
// requests that are unfinished or being handled, and the open connections. When a bound is reached,
// the client that has sent nothing for the longest time gives way, so that clients which finish their
// requests are still served.
package intake

import (
	"context"
	"expvar"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"agatewinch/internal/errkind"
)

const (
	// smallBytes is the size up to which a hold may use the part of the budget that is kept for
	// small ones: several times the size of most requests.
	smallBytes = 32 << 10
	// smallShare is that part of the budget.
	smallShare = 0.125
	// stallTime is how long a client must have sent nothing before it gives way to another:
	// several round trips between regions.
	stallTime = 250 * time.Millisecond
	// growTimeout is the longest wait for bytes of the budget, and growPoll the interval at which
	// clients that have stalled meanwhile are looked for.
	growTimeout = time.Second
	growPoll    = 50 * time.Millisecond
	// maxWaiting bounds the holds that wait for bytes at a time, small ones and others each: every one
	// of them is woken when bytes are released.
	maxWaiting = 64
	// retryAfterSeconds is the shortest Retry-After of a refusal; the longest is twice as long.
	retryAfterSeconds = 1.0
)

// counters counts refusals and evictions by reason, and the bytes held now by budget.
var counters = expvar.NewMap("agatewinch_intake")

// Budget limits the bytes that a process holds for clients. Its methods may be called concurrently.
type Budget struct {
	name  string
	limit int64
	// onRefusal, if set, is called with the reason of each refusal and eviction.
	onRefusal func(reason string)

	mu sync.Mutex
	// used are the bytes of all holds, and leaving those of holds that have been evicted and not
	// yet released.
	used, leaving int64
	// unfinished are the holds of clients that have not sent their whole request.
	unfinished map[*Hold]struct{}
	// noneStalled is the time, in Unix nanoseconds, until which no hold can have stalled.
	noneStalled int64
	// waiting counts the holds that wait for bytes: small ones and others.
	waiting [2]int
	// freed is closed, and replaced, when bytes are released.
	freed chan struct{}
}

// NewBudget returns a budget of limit bytes. Its name appears in the counters. onRefusal may be nil.
func NewBudget(name string, limit int64, onRefusal func(reason string)) *Budget {
	b := &Budget{name: name, limit: limit, onRefusal: onRefusal, unfinished: map[*Hold]struct{}{}, freed: make(chan struct{})}
	counters.Set("held_bytes_"+name, expvar.Func(func() any { return b.Used() }))
	return b
}

// Used returns the bytes of all holds.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Hold is a part of a budget. Nil belongs to no budget and is unlimited.
type Hold struct {
	budget *Budget
	// evict interrupts the client's request.
	evict func()
	// progress is when the client last sent something, in Unix nanoseconds.
	progress atomic.Int64

	// The fields below are guarded by budget.mu. waiting is set while the hold waits for bytes:
	// that its client sends nothing is not the client's fault.
	bytes                      int64
	evicted, waiting, released bool
}

// Open returns an empty hold for a client that is sending its request. evict must not block and must
// make the client's reader fail; it is called at most once, and not after Finish or Release. A nil budget
// returns nil.
func (b *Budget) Open(evict func()) *Hold {
	if b == nil {
		return nil
	}
	h := &Hold{budget: b, evict: evict}
	h.NoteProgress()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.unfinished[h] = struct{}{}
	return h
}

// NoteProgress records that the client has sent something.
func (h *Hold) NoteProgress() {
	if h != nil {
		h.progress.Store(time.Now().UnixNano())
	}
}

// Evicted reports whether the hold has given way to another.
func (h *Hold) Evicted() bool {
	if h == nil {
		return false
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	return h.evicted
}

// Grow adds n bytes to the hold. If the budget is spent, it evicts holds of clients that have stalled
// and waits for their bytes. It returns an errkind.Overloaded error if they do not suffice within
// growTimeout, if ctx ends or if the hold itself has been evicted.
func (h *Hold) Grow(ctx context.Context, n int64) error {
	if h == nil {
		return nil
	}
	if grown, _ := h.tryGrow(n); grown {
		return nil
	}
	leave, ok := h.wait(n)
	if !ok {
		return h.budget.refusal("budget", "this host holds too many bytes of unfinished requests")
	}
	defer leave()
	timeout := time.NewTimer(growTimeout)
	defer timeout.Stop()
	poll := time.NewTicker(growPoll)
	defer poll.Stop()
	for {
		grown, freed := h.tryGrow(n)
		switch {
		case grown:
			return nil
		case freed == nil:
			return h.budget.refusal("evicted", "the request was held for too long while others waited")
		}
		select {
		case <-freed:
		case <-poll.C:
		case <-timeout.C:
			return h.budget.refusal("budget", "this host holds too many bytes of unfinished requests")
		case <-ctx.Done():
			return h.budget.refusal("budget", "this host holds too many bytes of unfinished requests")
		}
	}
}

// wait records that the hold waits for n bytes, unless too many do. leave ends that.
func (h *Hold) wait(n int64) (leave func(), ok bool) {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	class := 0
	if h.bytes+n > smallBytes {
		class = 1
	}
	if b.waiting[class] >= maxWaiting {
		return nil, false
	}
	b.waiting[class]++
	h.waiting = true
	return func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.waiting[class]--
		h.waiting = false
		h.NoteProgress()
	}, true
}

// tryGrow adds n bytes if the budget allows it. Otherwise it evicts stalled holds and returns a channel that is closed when bytes are released, or nil if the hold has ended.
func (h *Hold) tryGrow(n int64) (grown bool, freed <-chan struct{}) {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.evicted || h.released {
		return false, nil
	}
	limit := b.limitOf(h.bytes + n)
	if b.used+n <= limit {
		b.used += n
		h.bytes += n
		return true, nil
	}
	for b.used-b.leaving+n > limit && b.evictOldest(h) {
	}
	return false, b.freed
}

// limitOf returns how much of the budget may be used when a hold has the given size.
func (b *Budget) limitOf(holdBytes int64) int64 {
	if holdBytes <= smallBytes {
		return b.limit
	}
	return b.limit - int64(smallShare*float64(b.limit))
}

// evictOldest evicts the hold whose client has sent nothing for the longest time, if that is at least
// stallTime. It reports whether there was one other than newcomer. The caller holds b.mu.
func (b *Budget) evictOldest(newcomer *Hold) bool {
	now := time.Now().UnixNano()
	if now < b.noneStalled {
		return false
	}
	var oldest *Hold
	first := now
	for h := range b.unfinished {
		if at := h.progress.Load(); h != newcomer && !h.waiting && h.bytes > 0 && at < first {
			oldest, first = h, at
		}
	}
	if stalls := first + int64(stallTime); stalls > now {
		b.noneStalled, oldest = stalls, nil
	}
	if oldest == nil {
		return false
	}
	oldest.evicted = true
	b.leaving += oldest.bytes
	delete(b.unfinished, oldest)
	oldest.evict()
	return true
}

// withinHalf returns n, or what the hold may grow by to reach half of the budget if that is less.
func (h *Hold) withinHalf(n int64) int64 {
	if h == nil {
		return n
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	return max(0, min(n, h.budget.limit/2-h.bytes))
}

// Finish records that the client has sent its whole request: the hold is no longer evicted. It
// returns false if the hold had been evicted before.
func (h *Hold) Finish() bool {
	if h == nil {
		return true
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	delete(h.budget.unfinished, h)
	return !h.evicted
}

// Shrink returns n bytes to the budget.
func (h *Hold) Shrink(n int64) {
	if h == nil || n <= 0 {
		return
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.giveBack(n)
}

// Release returns all bytes to the budget. The hold cannot grow afterwards.
func (h *Hold) Release() {
	if h == nil {
		return
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	delete(h.budget.unfinished, h)
	h.released = true
	h.giveBack(h.bytes)
}

// giveBack returns n bytes to the budget. The caller holds budget.mu.
func (h *Hold) giveBack(n int64) {
	b := h.budget
	n = min(n, h.bytes)
	if n == 0 {
		return
	}
	h.bytes -= n
	b.used -= n
	if h.evicted {
		b.leaving -= n
	}
	close(b.freed)
	b.freed = make(chan struct{})
}

// refusal counts a refusal and returns its error. Nothing of a refused request has been executed.
func (b *Budget) refusal(reason, message string) error {
	noteRefusal(reason, b.onRefusal)
	return &errkind.Error{Kind: errkind.Overloaded, Message: message, RetryAfterSeconds: retryAfterSeconds * (1 + rand.Float64())}
}

func noteRefusal(reason string, onRefusal func(string)) {
	counters.Add(reason, 1)
	if onRefusal != nil {
		onRefusal(reason)
	}
}
