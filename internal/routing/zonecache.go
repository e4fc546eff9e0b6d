package routing

import (
	"container/list"
	"sync"

	"agatewinch/internal/core"
	"agatewinch/internal/errkind"
)

// zoneCache is an LRU cache of the zone that has each job. Jobs with submissions in
// progress are not evicted.
type zoneCache struct {
	max int

	mu    sync.Mutex
	byJob map[core.JobID]*list.Element
	// lru has the most recently used job in front.
	lru *list.List
}

type zoneEntry struct {
	job  core.JobID
	zone core.ZoneID
	// digest is the request digest shared by the submissions in progress; callers is
	// their number.
	digest  uint64
	callers int
	// pinned is true when a scheduler of zone has, or may have, admitted the job.
	pinned bool
}

func newZoneCache(limit int) *zoneCache {
	return &zoneCache{max: limit, byJob: map[core.JobID]*list.Element{}, lru: list.New()}
}

// get returns the job's entry, or nil; the caller holds the lock.
func (c *zoneCache) get(job core.JobID) *zoneEntry {
	e, ok := c.byJob[job]
	if !ok {
		return nil
	}
	c.lru.MoveToFront(e)
	return e.Value.(*zoneEntry)
}

func (c *zoneCache) getOrAdd(job core.JobID) *zoneEntry {
	if entry := c.get(job); entry != nil {
		return entry
	}
	entry := &zoneEntry{job: job}
	c.byJob[job] = c.lru.PushFront(entry)
	c.evict()
	return entry
}

// evict removes the least recently used jobs until the cache is within its limit. Jobs
// with submissions in progress, and the most recently used one, stay.
func (c *zoneCache) evict() {
	e := c.lru.Back()
	for len(c.byJob) > c.max && e != nil {
		prev := e.Prev()
		if entry := e.Value.(*zoneEntry); entry.callers == 0 && e != c.lru.Front() {
			c.remove(e)
		}
		e = prev
	}
}

func (c *zoneCache) remove(e *list.Element) {
	delete(c.byJob, e.Value.(*zoneEntry).job)
	c.lru.Remove(e)
}

// begin registers a submission in progress. A concurrent submission of the same job must
// have the same digest, and goes to the same zone as the first. begin returns the zone
// that has, or may have, the job; empty when there is none.
func (c *zoneCache) begin(job core.JobID, digest uint64) (core.ZoneID, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	entry := c.getOrAdd(job)
	if entry.callers > 0 && entry.digest != digest {
		return "", errkind.New(errkind.RequestMismatch, "the request ID is in use by a request with another body")
	}
	entry.digest = digest
	entry.callers++
	if !entry.pinned {
		return "", nil
	}
	return entry.zone, nil
}

// finish ends a submission registered by begin. The entry of a job that no zone has
// admitted is removed with its last submission.
func (c *zoneCache) finish(job core.JobID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	entry := c.get(job)
	if entry == nil {
		return
	}
	entry.callers--
	if entry.callers == 0 && !entry.pinned {
		c.remove(c.byJob[job])
	}
	c.evict()
}

// zone returns the zone that has the job or to which it is being sent; empty when not
// known.
func (c *zoneCache) zone(job core.JobID) core.ZoneID {
	c.mu.Lock()
	defer c.mu.Unlock()
	if entry := c.get(job); entry != nil {
		return entry.zone
	}
	return ""
}

// claim sets the zone of a job that has none yet, and returns the job's zone. The result
// differs from the given zone if the job already has another one, for example because a
// concurrent submission claimed it first.
func (c *zoneCache) claim(job core.JobID, zone core.ZoneID) core.ZoneID {
	c.mu.Lock()
	defer c.mu.Unlock()
	entry := c.getOrAdd(job)
	if entry.zone == "" {
		entry.zone = zone
	}
	return entry.zone
}

// release withdraws a claim after zone did not admit the job. A pinned zone stays, and so
// does one that other submissions of the job use.
func (c *zoneCache) release(job core.JobID, zone core.ZoneID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if entry := c.get(job); entry != nil && !entry.pinned && entry.zone == zone && entry.callers <= 1 {
		entry.zone = ""
	}
}

// pin records the zone that has the job, or may have it after a lost answer.
func (c *zoneCache) pin(job core.JobID, zone core.ZoneID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	entry := c.getOrAdd(job)
	entry.zone, entry.pinned = zone, true
}

// invalidate removes a zone that turned out not to have the job.
func (c *zoneCache) invalidate(job core.JobID, zone core.ZoneID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	entry := c.get(job)
	if entry == nil || entry.zone != zone {
		return
	}
	if entry.callers == 0 {
		c.remove(c.byJob[job])
		return
	}
	entry.zone, entry.pinned = "", false
}
