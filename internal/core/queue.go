package core

import (
	"container/heap"
	"math/bits"
)

// queue holds the waiting jobs: by organisation, urgency, shape, caller and arrival.
type queue struct {
	waiting int
	delayed int
	// arrivals is every waiting job in order of arrival.
	arrivals entryHeap
	// dead counts ended jobs that are still in arrivals.
	dead int
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

// lane is an organisation's waiting jobs of one urgency.
type lane struct {
	groups map[groupKey]*group
	list   []*group
	n      int
}

// groupKey tells shapes apart that may fit differently. Processors and memory are
// rounded to powers of two, and keys beyond groupsPerLane are merged.
type groupKey struct {
	cells, cellSize int
	cpu, memory     int
	stoppable       bool
	overflow        bool
}

// group is the waiting jobs of about one shape.
type group struct {
	lane    *lane
	key     groupKey
	callers callerHeap
	queues  map[*caller]*callerQueue
	// failedAt is the version of the core's capacity at which the shape did not fit, or
	// zero; with overQuota it was the organisation's quota, as of quotaAt.
	failedAt  uint64
	overQuota bool
	quotaAt   uint64
}

// callerQueue is one caller's waiting jobs in a group, in order of arrival.
type callerQueue struct {
	group  *group
	caller *caller
	jobs   entryHeap
	live   int
	index  int
}

// entry is a job's place in the queue; it is dead once the job has left.
type entry struct {
	job   *job
	queue *callerQueue
	dead  bool
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

// first returns the oldest live entry, dropping dead ones.
func (h *entryHeap) first() *entry {
	for len(*h) > 0 && (*h)[0].dead {
		heap.Pop(h)
	}
	if len(*h) == 0 {
		return nil
	}
	return (*h)[0]
}

// compact drops the dead entries.
func (h *entryHeap) compact() {
	kept := (*h)[:0]
	for _, e := range *h {
		if !e.dead {
			kept = append(kept, e)
		}
	}
	clear((*h)[len(kept):])
	*h = kept
	heap.Init(h)
}

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

// seq is the arrival of the caller's oldest job.
func (q *callerQueue) seq() uint64 {
	if len(q.jobs) == 0 {
		return 0
	}
	return q.jobs[0].job.seq
}

func (l *lane) group(j *job) *group {
	key := groupKey{
		cells: j.Shape.Cells, cellSize: j.Shape.CellSize, stoppable: j.stoppable(),
		cpu: bits.Len(uint(j.Shape.CPU)), memory: bits.Len64(uint64(j.Shape.MemoryBytes)),
	}
	if g, ok := l.groups[key]; ok {
		return g
	}
	if len(l.list) >= groupsPerLane {
		key = groupKey{overflow: true, stoppable: key.stoppable}
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

// drop forgets an empty group.
func (l *lane) drop(g *group) {
	delete(l.groups, g.key)
	for i, have := range l.list {
		if have == g {
			l.list = append(l.list[:i], l.list[i+1:]...)
			return
		}
	}
}

// enqueue adds the job to the waiting ones; its first arrival keeps its place.
func (c *Core) enqueue(now Instant, j *job) {
	if j.expired(now) {
		c.deadline(now, j)
		return
	}
	if c.becameUnplaceable(now, j) {
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
	q.live++
	if q.index < 0 {
		heap.Push(&g.callers, q)
	} else {
		heap.Fix(&g.callers, q.index)
	}
	heap.Push(&c.queue.arrivals, e)
	g.lane.n++
	c.queue.waiting++
	j.org.count(j.Class).waiting++
}

// dequeue takes the job out of the waiting ones. Entries inside the heaps are only
// marked, and dropped when they come up or outnumber the live ones.
func (c *Core) dequeue(j *job) {
	e := j.queued
	if e == nil {
		return
	}
	j.queued = nil
	e.dead = true
	q := e.queue
	q.live--
	c.queue.waiting--
	j.org.count(j.Class).waiting--
	c.queue.dead++
	l := q.group.lane
	l.n--
	if q.live == 0 {
		c.dropCallerQueue(l, q)
	} else if q.jobs.first() != e {
		if len(q.jobs) > 2*q.live+16 {
			q.jobs.compact()
		}
		heap.Fix(&q.group.callers, q.index)
	}
	c.queue.arrivals.first()
	if c.queue.dead > c.queue.waiting+1024 {
		c.queue.arrivals.compact()
		c.queue.dead = 0
	}
}

// leaveQueue takes a job that is placed or ends out of the waiting ones, with its claim.
func (c *Core) leaveQueue(now Instant, j *job) {
	if j.queued != nil || j.claim != nil {
		j.org.count(j.Class).left(now)
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
		l.drop(q.group)
	}
}
