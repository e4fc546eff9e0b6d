package dispatch

import (
	"cmp"
	"time"

	"agatewinch/internal/core/job"
)

// Jobs of one priority are ordered as by fair queueing: each has a finish time, when it would be done if
// its organisation had an equal part of its service's workers for itself and its jobs ran one after the
// other. A small job so comes before a large one that arrived shortly before, and the first job of one
// organisation before the tenth of another. None waits for good: finish times do not change, and those of
// later jobs grow.

// flowKey names the jobs of an organisation that share its part of the workers of a service.
type flowKey struct {
	lane
	org string
}

// setFinishTime sets the finish time of a job that arrives now, or that a former leader knew.
func (c *Core) setFinishTime(now Now, j *trackedJob) {
	key := flowKey{lane{j.spec.Service, j.spec.Priority}, j.spec.Org}
	start := now.Mono
	if waited := time.Duration(now.UnixMs-j.spec.AcceptedMs) * time.Millisecond; waited > 0 {
		start -= waited
	}
	j.finishTime = max(start, c.finishTimes[key])
	if cores := c.serviceCores(j.spec.Service); cores > 0 {
		part := cores / float64(c.organisationsIn(key.lane, j.spec.Org))
		j.finishTime += time.Duration(j.work / part * float64(time.Second))
	}
	c.finishTimes[key] = j.finishTime
}

// serviceCores returns the capacity of the listed workers of a service, in cores.
func (c *Core) serviceCores(service string) float64 {
	var sum job.Resources
	for _, w := range c.sortedWorkers {
		if w.listed && w.Service == service {
			sum = sum.Plus(w.Capacity)
		}
	}
	return sum.Cores()
}

// organisationsIn returns how many organisations have jobs of a lane that have not ended, org among them.
func (c *Core) organisationsIn(l lane, org string) int {
	orgs := map[string]bool{org: true}
	for _, j := range c.jobs {
		if j.spec.Service == l.service && j.spec.Priority == l.priority && !j.cancelledOrEnded() {
			orgs[j.spec.Org] = true
		}
	}
	return len(orgs)
}

// compareFinishTimes orders jobs by their finish times. Urgent jobs are ordered by arrival, as the
// guarantees are given out.
func compareFinishTimes(a, b *trackedJob) int {
	if a.spec.Priority == urgentPriority || b.spec.Priority == urgentPriority {
		return 0
	}
	return cmp.Compare(a.finishTime, b.finishTime)
}
