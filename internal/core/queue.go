package core

import (
	"container/heap"
	"math/bits"
)

// queue counts the waiting jobs and orders them by arrival. They are also queued by
// organisation, urgency, shape and caller in the lanes of their organisations.
type queue struct {
	waiting int
	// delayed counts the jobs that wait for their retry delay to pass.
	delayed int
	// arrivals holds every waiting job in order of arrival.
	arrivals entryHeap
	// removed counts the jobs that left the queue since arrivals was last compacted; it
	// bounds the dead entries in arrivals.
	removed int
}

// laneIndex separates urgent jobs from the others.
type laneIndex int

const (
	laneUrgent laneIndex = iota
	laneNormal
	laneCount
)

func laneOf(j *job) laneIndex {
	if j.class.Urgent {
		return laneUrgent
	}
	return laneNormal
}

// lane holds the waiting jobs of an organisation that are urgent, or those that are not.
type lane struct {
	groups  map[groupKey]*group
	list    []*group
	waiting int
}

// groupKey distinguishes shapes of which one may fit when another does not. Processor
// cores and memory are reduced to their bit lengths, and shapes beyond
// maxGroupsPerLane share one key for each value of preemptible.
type groupKey struct {
	cells, cellSize int
	cpu, memory     int
	preemptible     bool
	overflow        bool
}

// group holds the waiting jobs of a lane with similar shapes.
type group struct {
	lane    *lane
	key     groupKey
	callers callerHeap
	queues  map[*caller]*callerQueue
	// failedAt is the version of Core.capacityLog at which a job of the group last failed to be
	// placed, or zero. With overQuota it failed because of the quota of the organisation,
	// when org.releases was quotaAt.
	failedAt  uint64
	overQuota bool
	quotaAt   uint64
}

// callerQueue holds the waiting jobs of one caller in a group, in order of arrival.
type callerQueue struct {
	group   *group
	caller  *caller
	jobs    entryHeap
	waiting int
	index   int
}

// entry is a queued job. Once the job has left the queue, the entry is dead: removed is set, and
// the entry may remain in the heaps for a while.
type entry struct {
	job     *job
	queue   *callerQueue
	removed bool
}

type entryHeap []*entry

func (h entryHeap) Len() int           { return len(h) }
func (h entryHeap) Less(a, b int) bool { return h[a].job.seq < h[b].job.seq }
func (h entryHeap) Swap(a, b int)      { h[a], h[b] = h[b], h[a] }
func (h *entryHeap) Push(x any)        { *h = append(*h, x.(*entry)) }
func (h *entryHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return e
}

// first returns the oldest live entry and deletes the dead ones before it.
func (h *entryHeap) first() *entry {
	for len(*h) > 0 && (*h)[0].removed {
		heap.Pop(h)
	}
	if len(*h) == 0 {
		return nil
	}
	return (*h)[0]
}

// compact deletes the dead entries.
func (h *entryHeap) compact() {
	kept := (*h)[:0]
	for _, e := range *h {
		if !e.removed {
			kept = append(kept, e)
		}
	}
	clear((*h)[len(kept):])
	*h = kept
	heap.Init(h)
}

// callerHeap orders callers by their usage, then by the arrival of their oldest job.
type callerHeap []*callerQueue

func (h callerHeap) Len() int { return len(h) }
func (h callerHeap) Less(a, b int) bool {
	x, y := h[a], h[b]
	if x.caller.usage.sum != y.caller.usage.sum {
		return x.caller.usage.sum < y.caller.usage.sum
	}
	return x.seq() < y.seq()
}
func (h callerHeap) Swap(a, b int) {
	h[a], h[b] = h[b], h[a]
	h[a].index, h[b].index = a, b
}
func (h *callerHeap) Push(x any) {
	q := x.(*callerQueue)
	q.index = len(*h)
	*h = append(*h, q)
}
func (h *callerHeap) Pop() any {
	old := *h
	q := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	q.index = -1
	return q
}

// seq returns the sequence number of the first entry.
func (q *callerQueue) seq() uint64 {
	if len(q.jobs) == 0 {
		return 0
	}
	return q.jobs[0].job.seq
}

// group returns the group for the shape of j, and creates it if necessary.
func (l *lane) group(j *job) *group {
	key := groupKey{
		cells: j.Shape.Cells, cellSize: j.Shape.CellSize, preemptible: j.preemptible(),
		cpu: bits.Len(uint(j.Shape.CPU)), memory: bits.Len64(uint64(j.Shape.MemoryBytes)),
	}
	if g, ok := l.groups[key]; ok {
		return g
	}
	if len(l.list) >= maxGroupsPerLane {
		key = groupKey{overflow: true, preemptible: key.preemptible}
		if g, ok := l.groups[key]; ok {
			return g
		}
	}
	if l.groups == nil {
		l.groups = map[groupKey]*group{}
	}
	g := &group{lane: l, key: key, queues: map[*caller]*callerQueue{}}
	l.groups[key] = g
	l.list = append(l.list, g)
	return g
}

// removeGroup removes an empty group.
func (l *lane) removeGroup(g *group) {
	delete(l.groups, g.key)
	for i, have := range l.list {
		if have == g {
			l.list = append(l.list[:i], l.list[i+1:]...)
			return
		}
	}
}

// enqueue queues the job, in the order of its original arrival. A job whose deadline has
// passed or that can no longer be placed is ended instead.
func (c *Core) enqueue(now Instant, j *job) {
	if j.expired(now) {
		c.deadline(now, j)
		return
	}
	if c.failIfNeverFits(now, j) {
		return
	}
	if !j.resume {
		j.class = c.class(j.org, j.Class)
	}
	g := j.org.lanes[laneOf(j)].group(j)
	q := g.queues[j.caller]
	if q == nil {
		q = &callerQueue{group: g, caller: j.caller, index: -1}
		g.queues[j.caller] = q
		j.caller.queues = append(j.caller.queues, q)
	}
	e := &entry{job: j, queue: q}
	j.queued = e
	heap.Push(&q.jobs, e)
	q.waiting++
	if q.index < 0 {
		heap.Push(&g.callers, q)
	} else {
		heap.Fix(&g.callers, q.index)
	}
	heap.Push(&c.queue.arrivals, e)
	g.lane.waiting++
	c.queue.waiting++
	j.org.count(j.Class).waiting++
}

// dequeue removes the job from the queue. Entries inside the heaps are only marked as
// dead; they are deleted when they reach the top, or by compaction when they outnumber
// the live ones.
func (c *Core) dequeue(j *job) {
	e := j.queued
	if e == nil {
		return
	}
	j.queued = nil
	e.removed = true
	q := e.queue
	q.waiting--
	c.queue.waiting--
	j.org.count(j.Class).waiting--
	c.queue.removed++
	l := q.group.lane
	l.waiting--
	if q.waiting == 0 {
		c.dropCallerQueue(l, q)
	} else if q.jobs.first() != e {
		if len(q.jobs) > 2*q.waiting+16 {
			q.jobs.compact()
		}
		heap.Fix(&q.group.callers, q.index)
	}
	c.queue.arrivals.first()
	if c.queue.removed > c.queue.waiting+1024 {
		c.queue.arrivals.compact()
		c.queue.removed = 0
	}
}

// leaveQueue removes a job that is placed or ends from the queue, and drops its claim.
func (c *Core) leaveQueue(now Instant, j *job) {
	if j.queued != nil || j.claim != nil {
		j.org.count(j.Class).countDeparture(now)
	}
	c.dequeue(j)
	c.dropClaim(j)
}

func (c *Core) dropCallerQueue(l *lane, q *callerQueue) {
	heap.Remove(&q.group.callers, q.index)
	delete(q.group.queues, q.caller)
	for i, have := range q.caller.queues {
		if have == q {
			q.caller.queues = append(q.caller.queues[:i], q.caller.queues[i+1:]...)
			break
		}
	}
	if len(q.group.callers) == 0 {
		l.removeGroup(q.group)
	}
}
