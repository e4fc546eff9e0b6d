package core

import (
	"container/heap"
	"math"
	"sort"
	"time"
)

// resources is an amount of the shared resources of a zone.
type resources struct {
	cpu          int
	memory       int64
	accelerators int
}

func (r *resources) add(o resources) {
	r.cpu += o.cpu
	r.memory += o.memory
	r.accelerators += o.accelerators
}

func (r *resources) sub(o resources) {
	r.cpu -= o.cpu
	r.memory -= o.memory
	r.accelerators -= o.accelerators
}

// dominantShare returns the largest fraction that r is of any resource of total, as in
// Dominant Resource Fairness (Ghodsi et al., NSDI 2011).
func (r resources) dominantShare(total resources) float64 {
	share := 0.0
	if total.cpu > 0 {
		share = max(share, float64(r.cpu)/float64(total.cpu))
	}
	if total.memory > 0 {
		share = max(share, float64(r.memory)/float64(total.memory))
	}
	if total.accelerators > 0 {
		share = max(share, float64(r.accelerators)/float64(total.accelerators))
	}
	return share
}

// need returns the total resources of a running job of shape s.
func (c *Core) need(s Shape) resources {
	n := c.taskCount(s)
	return resources{n * s.CPU, int64(n) * s.MemoryBytes, s.Accelerators()}
}

// usage is a sum of dominant shares multiplied by seconds that decays exponentially with
// usageHalfLife. It is stored as of the usage epoch (forward decay), so that the order of two
// sums changes only when one of them is added to.
type usage struct{ sum float64 }

// usageWeightAt returns the weight of usage that is added at now, relative to usage added
// at the epoch.
func (c *Core) usageWeightAt(now Instant) float64 {
	return math.Exp2(float64(now-c.usageEpoch) / float64(usageHalfLife))
}

// rebaseUsage moves the usage epoch to now before the sums grow out of range, and
// removes callers without jobs, whose past usage is then forgotten.
func (c *Core) rebaseUsage(now Instant) {
	if now.Sub(c.usageEpoch) < rebaseHalfLives*usageHalfLife {
		return
	}
	scale := c.usageWeightAt(now)
	c.usageEpoch = now
	for _, o := range c.orgOrder {
		o.usage.sum /= scale
		for id, cl := range o.callers {
			cl.usage.sum /= scale
			if cl.jobs == 0 {
				delete(o.callers, id)
			}
		}
	}
}

// org is an organisation with its usage of the zone and its waiting jobs.
type org struct {
	def Organisation
	// running is the sum of the resources that its placed jobs hold.
	running resources
	// urgent is what its placed urgent jobs count against its urgent quota, in accelerators.
	urgent  float64
	usage   usage
	callers map[CallerID]*caller
	lanes   [laneCount]lane
	classes map[ClassName]*classCount
	// guaranteed is the number of accelerators in its bound cells.
	guaranteed int
	// bound marks its guaranteed cells on each worker.
	bound        map[WorkerID]uint64
	boundWorkers []*worker
	// releases grows whenever a job stops counting against the quotas, or the quotas may
	// have changed.
	releases uint64
}

// caller is one caller of an organisation.
type caller struct {
	usage usage
	// jobs counts its jobs that have not ended.
	jobs   int
	queues []*callerQueue
}

func (c *Core) org(id OrgID) *org {
	o, ok := c.orgs[id]
	if ok {
		return o
	}
	o = &org{def: Organisation{ID: id, Weight: 1}, callers: map[CallerID]*caller{}, classes: map[ClassName]*classCount{}, bound: map[WorkerID]uint64{}}
	c.orgs[id] = o
	c.orgOrder = append(c.orgOrder, o)
	sort.Slice(c.orgOrder, func(a, b int) bool { return c.orgOrder[a].def.ID < c.orgOrder[b].def.ID })
	return o
}

func (c *Core) configureOrgs(now Instant) {
	for _, o := range c.orgOrder {
		o.def = Organisation{ID: o.def.ID, Weight: 1}
		o.releases++
	}
	for _, def := range c.cfg.Organisations {
		def.Weight = max(def.Weight, 1)
		c.org(def.ID).def = def
	}
	c.configureClasses()
}

// configureClasses replaces the class definitions. A job gets the new definition of its
// class when it is queued again, unless it resumes from a checkpoint.
func (c *Core) configureClasses() {
	c.classes = map[ClassName]Class{}
	for _, def := range c.cfg.Classes {
		def.Weight = max(def.Weight, 1)
		c.classes[def.Name] = def
	}
}

// class returns the definition of a class as it applies to o: an organisation with neither
// an urgent quota nor a guarantee in the zone has no urgent jobs.
func (c *Core) class(o *org, name ClassName) Class {
	def, ok := c.classes[name]
	if !ok {
		return Class{Name: name, Weight: 1}
	}
	if c.urgentLimit(o) == 0 {
		def.Urgent = false
	}
	return def
}

func (o *org) caller(id CallerID) *caller {
	cl, ok := o.callers[id]
	if !ok {
		cl = &caller{}
		o.callers[id] = cl
	}
	return cl
}

// share returns the weighted share of the organisation, which determines its position in
// the scheduling order: its dominant share of running jobs plus its decayed past usage.
func (c *Core) share(o *org) float64 {
	past := o.usage.sum / c.usageWeight / usageHalfLife.Seconds()
	return (o.running.dominantShare(c.total) + past) / float64(o.def.Weight)
}

// charge charges a placed job to its organisation, and its expected usage to the caller
// in advance.
func (c *Core) charge(now Instant, j *job) {
	n := c.need(j.Shape)
	j.org.running.add(n)
	j.urgentUnits = 0
	if c.countsAsUrgent(j) {
		j.urgentUnits = c.urgentUnits(j.Shape)
		j.org.urgent += j.urgentUnits
	}
	j.placedAt = now
	j.chargedResources = n
	j.callerCharge = n.dominantShare(c.total) * c.expectedRunTime(j).Seconds() / float64(j.class.Weight)
	j.isCharged = true
	c.placedByWeight[j.class.Weight]++
	c.addCallerUsage(j.caller, j.callerCharge)
}

// uncharge reverses charge: it adds the actual usage to the organisation and replaces the
// expected usage of the caller by the actual one.
func (c *Core) uncharge(now Instant, j *job) {
	if !j.isCharged {
		return
	}
	j.isCharged = false
	c.placedByWeight[j.class.Weight]--
	j.org.running.sub(j.chargedResources)
	if j.urgentUnits > 0 {
		j.org.urgent -= j.urgentUnits
	}
	used := j.chargedResources.dominantShare(c.total) * now.Sub(j.placedAt).Seconds()
	j.org.usage.sum += used * c.usageWeight
	c.addCallerUsage(j.caller, used/float64(j.class.Weight)-j.callerCharge)
	j.org.releases++
}

// addCallerUsage adds usage to the caller and reorders its queues.
func (c *Core) addCallerUsage(cl *caller, amount float64) {
	cl.usage.sum += amount * c.usageWeight
	for _, q := range cl.queues {
		heap.Fix(&q.group.callers, q.index)
	}
}

// expectedRunTime returns the run time that is charged to the caller in advance, at least a
// second.
func (c *Core) expectedRunTime(j *job) time.Duration {
	return max(c.estimate(j).likely, time.Second)
}
