package routing

import (
	"container/list"
	"sync"

	"agatewinch/internal/core"
	"agatewinch/internal/errkind"
)

// owners remembers which zone has a job, for the jobs used last.
type owners struct {
	max int

	mu    sync.Mutex
	byJob map[core.JobID]*list.Element
	// recent has the job used last in front.
	recent *list.List
}

type owner struct {
	job  core.JobID
	zone core.ZoneID
	// digest is of the submissions in progress; callers counts them.
	digest  uint64
	callers int
	// settled is true when a scheduler has, or may have, taken the job.
	settled bool
}

func newOwners(limit int) *owners {
	return &owners{max: limit, byJob: map[core.JobID]*list.Element{}, recent: list.New()}
}

// get returns the job's entry, or nil; the caller holds the lock.
func (o *owners) get(job core.JobID) *owner {
	e, ok := o.byJob[job]
	if !ok {
		return nil
	}
	o.recent.MoveToFront(e)
	return e.Value.(*owner)
}

func (o *owners) getOrAdd(job core.JobID) *owner {
	if own := o.get(job); own != nil {
		return own
	}
	own := &owner{job: job}
	o.byJob[job] = o.recent.PushFront(own)
	o.shrink()
	return own
}

// shrink forgets the jobs used longest ago, but for those with callers.
func (o *owners) shrink() {
	e := o.recent.Back()
	for len(o.byJob) > o.max && e != nil {
		before := e.Prev()
		if own := e.Value.(*owner); own.callers == 0 && e != o.recent.Front() {
			o.remove(e)
		}
		e = before
	}
}

func (o *owners) remove(e *list.Element) {
	delete(o.byJob, e.Value.(*owner).job)
	o.recent.Remove(e)
}

// enter notes a submission in progress. A second one of the same job must have the same
// digest; it then goes to the same zone as the first. It returns the zone that is known
// to have the job, or may have it; empty when there is none.
func (o *owners) enter(job core.JobID, digest uint64) (core.ZoneID, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	own := o.getOrAdd(job)
	if own.callers > 0 && own.digest != digest {
		return "", errkind.New(errkind.RequestMismatch, "the request ID is in use with another body")
	}
	own.digest = digest
	own.callers++
	if !own.settled {
		return "", nil
	}
	return own.zone, nil
}

// leave ends what enter began. A zone that did not take the job is forgotten.
func (o *owners) leave(job core.JobID) {
	o.mu.Lock()
	defer o.mu.Unlock()
	own := o.get(job)
	if own == nil {
		return
	}
	own.callers--
	if own.callers == 0 && !own.settled {
		o.remove(o.byJob[job])
	}
	o.shrink()
}

// zone returns the zone that has or is about to get the job; empty when not known.
func (o *owners) zone(job core.JobID) core.ZoneID {
	o.mu.Lock()
	defer o.mu.Unlock()
	if own := o.get(job); own != nil {
		return own.zone
	}
	return ""
}

// claim sets the zone that a first try goes to and returns the zone that a concurrent
// one of the same job chose before.
func (o *owners) claim(job core.JobID, zone core.ZoneID) core.ZoneID {
	o.mu.Lock()
	defer o.mu.Unlock()
	own := o.getOrAdd(job)
	if own.zone == "" {
		own.zone = zone
	}
	return own.zone
}

// release takes a claim back after the job did not run in zone; a settled zone stays.
func (o *owners) release(job core.JobID, zone core.ZoneID) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if own := o.get(job); own != nil && !own.settled && own.zone == zone && own.callers <= 1 {
		own.zone = ""
	}
}

// settle notes the zone that has the job, or may have it after a lost answer.
func (o *owners) settle(job core.JobID, zone core.ZoneID) {
	o.mu.Lock()
	defer o.mu.Unlock()
	own := o.getOrAdd(job)
	own.zone, own.settled = zone, true
}

// forget drops a zone that does not know the job.
func (o *owners) forget(job core.JobID, zone core.ZoneID) {
	o.mu.Lock()
	defer o.mu.Unlock()
	own := o.get(job)
	if own == nil || own.zone != zone {
		return
	}
	if own.callers == 0 {
		o.remove(o.byJob[job])
		return
	}
	own.zone, own.settled = "", false
}
