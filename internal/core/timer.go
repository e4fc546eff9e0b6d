package core

import "container/heap"

// timerKind says what is due.
type timerKind int

const (
	timerDeadline timerKind = iota
	timerRequeue
	timerStop
	timerCall
	timerRestore
	timerClaim
	timerProbe
	timerMissing
)

// timer is something to be done at a later step. It is void when its stamp differs
// from that of its task.
type timer struct {
	at     Instant
	seq    uint64
	kind   timerKind
	job    *job
	task   *task
	worker *worker
	stamp  int
}

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

func (c *Core) after(t timer) {
	c.timerSeq++
	t.seq = c.timerSeq
	heap.Push(&c.timers, t)
}

// runTimers does all that is due at now.
func (c *Core) runTimers(now Instant) {
	for len(c.timers) > 0 && c.timers[0].at <= now {
		t := heap.Pop(&c.timers).(timer)
		switch t.kind {
		case timerDeadline:
			c.deadline(now, t.job)
		case timerRequeue:
			c.enqueueDelayed(now, t.job)
		case timerStop:
			c.stopDue(now, t)
		case timerCall:
			c.callDue(now, t)
		case timerRestore:
			c.restoreDue(now, t.job)
		case timerClaim:
			c.claimDue(now, t.job)
		case timerMissing:
			c.missing(now, t.task)
		case timerProbe:
			c.probe(t.worker)
		}
	}
}
