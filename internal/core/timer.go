package core

import "container/heap"

// timerKind says what to do when a timer fires.
type timerKind int

const (
	timerDeadline timerKind = iota
	timerRequeue
	timerStop
	timerCall
	timerRestore
	timerClaim
	timerQuarantineEnd
	timerUnlisted
)

// timer is an operation to run at a later step. A call or stop timer is void when its
// stamp differs from that of its task.
type timer struct {
	at     Instant
	seq    uint64
	kind   timerKind
	job    *job
	task   *task
	worker *worker
	stamp  int
}

// timerHeap orders timers by time, then by the order in which they were added.
type timerHeap []timer

func (h timerHeap) Len() int { return len(h) }
func (h timerHeap) Less(a, b int) bool {
	return h[a].at < h[b].at || h[a].at == h[b].at && h[a].seq < h[b].seq
}
func (h timerHeap) Swap(a, b int) { h[a], h[b] = h[b], h[a] }
func (h *timerHeap) Push(x any)   { *h = append(*h, x.(timer)) }
func (h *timerHeap) Pop() any {
	old := *h
	t := old[len(old)-1]
	old[len(old)-1] = timer{}
	*h = old[:len(old)-1]
	return t
}

func (c *Core) addTimer(t timer) {
	c.timerSeq++
	t.seq = c.timerSeq
	heap.Push(&c.timers, t)
}

// runTimers runs all timers that are due at now.
func (c *Core) runTimers(now Instant) {
	for len(c.timers) > 0 && c.timers[0].at <= now {
		t := heap.Pop(&c.timers).(timer)
		switch t.kind {
		case timerDeadline:
			c.deadline(now, t.job)
		case timerRequeue:
			c.enqueueDelayed(now, t.job)
		case timerStop:
			c.stopTimedOut(now, t)
		case timerCall:
			c.callTimedOut(now, t)
		case timerRestore:
			c.restoreTimedOut(now, t.job)
		case timerClaim:
			c.claimTimedOut(now, t.job)
		case timerUnlisted:
			c.stopUnlisted(now, t.task)
		case timerQuarantineEnd:
			c.endQuarantine(t.worker)
		}
	}
}
