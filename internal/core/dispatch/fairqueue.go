package dispatch

import (
	"cmp"
	"time"

	"agatewinch/internal/core/job"
)

// Jobs of one priority are ordered as by fair queueing: each has a finish time, when it would be done if
// its organisation had an equal part of its service's workers for itself, the zones where the organisation's
// jobs were accepted had equal parts of that, and the jobs of each ran one after the other. A small job so
// comes before a large one that arrived shortly before, and the first job of an organisation or zone before
// the tenth of another. None waits for good: finish times do not change, and those of later jobs grow.

// sharer is the part of an organisation's work in a lane that was accepted in one zone.
type sharer struct {
	lane
	org, zone string
}

// setFinishTime sets the finish time of a job that arrives now, or that a former leader knew.
func (c *Core) setFinishTime(now Now, j *trackedJob) {
	key := sharer{lane{j.spec.Service, j.spec.Priority}, j.spec.Org, j.spec.Zone}
	arrival := now.Mono
	if waited := time.Duration(now.UnixMs-j.spec.ArrivedMs()) * time.Millisecond; waited > 0 {
		arrival -= waited
	}
	j.finishTime = max(arrival, c.finishTimes[key])
	if cores := c.serviceCores(j.spec.Service); cores > 0 {
		j.finishTime += time.Duration(j.work * float64(c.countParts(key)) / cores * float64(time.Second))
	}
	c.finishTimes[key] = j.finishTime
}

// countParts returns into how many parts like that of key the workers are divided: the number of
// organisations with jobs in the lane that have not ended, times that of the zones of key's. key counts.
func (c *Core) countParts(key sharer) int {
	orgs, zones := map[string]bool{key.org: true}, map[string]bool{key.zone: true}
	for _, j := range c.jobs {
		if j.spec.Service != key.service || j.spec.Priority != key.priority || j.cancelledOrEnded() {
			continue
		}
		orgs[j.spec.Org] = true
		if j.spec.Org == key.org {
			zones[j.spec.Zone] = true
		}
	}
	return len(orgs) * len(zones)
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

// compareFinishTimes orders jobs by their finish times. Urgent jobs are ordered by arrival, as the
// guarantees are given out.
func compareFinishTimes(a, b *trackedJob) int {
	if a.spec.Priority == urgentPriority || b.spec.Priority == urgentPriority {
		return 0
	}
	return cmp.Compare(a.finishTime, b.finishTime)
}
