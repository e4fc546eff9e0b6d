package core

import (
	"container/heap"
	"math"
	"sort"
	"time"
)

// resources is an amount of the resources that are shared.
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

// dominant returns the largest share that r has of any resource of total, as in
// Dominant Resource Fairness (Ghodsi et al., NSDI 2011).
func (r resources) dominant(total resources) float64 {
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

// need returns all that a job of shape s takes while it runs.
func (c *Core) need(s Shape) resources {
	n := c.parts(s)
	return resources{n * s.CPU, int64(n) * s.MemoryBytes, s.Accelerators()}
}

// usage is an amount that loses half its weight in each half-life. The sum is kept
// as of the epoch, so that the order of two usages changes only when one is added to.
type usage struct{ sum float64 }

// growth is the weight at now of one unit at the epoch's weight.
func (c *Core) growth(now Instant) float64 {
	return math.Exp2(float64(now-c.epoch) / float64(usageHalfLife))
}

// rebase moves the epoch before the sums outgrow their range, and forgets callers
// without jobs whose past use has faded.
func (c *Core) rebase(now Instant) {
	if now.Sub(c.epoch) < rebaseHalfLives*usageHalfLife {
		return
	}
	scale := c.growth(now)
	c.epoch = now
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

// org is an organisation with its use of the zone and its waiting jobs.
type org struct {
	def Organisation
	// running is what its placed jobs hold.
	running resources
	// urgent is what its placed urgent jobs count against its urgent quota.
	urgent  float64
	usage   usage
	callers map[CallerID]*caller
	lanes   [laneCount]lane
	classes map[ClassName]*classCount
	// guaranteed is the accelerators of its bound cells.
	guaranteed   int
	bound        map[WorkerID]uint64
	boundWorkers []*worker
	// released grows whenever a job gives back what counts against the quotas.
	released uint64
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
		o.released++
	}
	for _, def := range c.cfg.Organisations {
		def.Weight = max(def.Weight, 1)
		c.org(def.ID).def = def
	}
	c.configureClasses()
}

// configureClasses gives the jobs that have not started the classes in force.
func (c *Core) configureClasses() {
	c.classes = map[ClassName]Class{}
	for _, def := range c.cfg.Classes {
		def.Weight = max(def.Weight, 1)
		c.classes[def.Name] = def
	}
}

// class returns the class as it counts for o: without an urgent quota there, the work
// is not urgent.
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

// share is the organisation's place in the order: its weighted dominant share of what
// runs now and of the decayed past.
func (c *Core) share(o *org) float64 {
	past := o.usage.sum / c.growing / usageHalfLife.Seconds()
	return (o.running.dominant(c.total) + past) / float64(o.def.Weight)
}

// charge counts the job against its organisation and caller from its placement on,
// before any usage is reported.
func (c *Core) charge(now Instant, j *job) {
	n := c.need(j.Shape)
	j.org.running.add(n)
	j.units = 0
	if c.urgentNow(j) {
		j.units = c.urgentUnits(j.Shape)
		j.org.urgent += j.units
	}
	j.placedAt = now
	j.holding = n
	j.charged = n.dominant(c.total) * c.expected(j).Seconds() / float64(j.class.Weight)
	j.isCharged = true
	c.placedByWeight[j.class.Weight]++
	c.addCaller(j.caller, j.charged)
}

// uncharge ends the count; what was foreseen for the caller is replaced by what was used.
func (c *Core) uncharge(now Instant, j *job) {
	if !j.isCharged {
		return
	}
	j.isCharged = false
	c.placedByWeight[j.class.Weight]--
	j.org.running.sub(j.holding)
	if j.units > 0 {
		j.org.urgent -= j.units
	}
	used := j.holding.dominant(c.total) * now.Sub(j.placedAt).Seconds()
	j.org.usage.sum += used * c.growing
	c.addCaller(j.caller, used/float64(j.class.Weight)-j.charged)
	j.org.released++
}

func (c *Core) addCaller(cl *caller, amount float64) {
	cl.usage.sum += amount * c.growing
	for _, q := range cl.queues {
		heap.Fix(&q.group.callers, q.index)
	}
}

// expected is the run time that the job is counted with before it ends.
func (c *Core) expected(j *job) time.Duration {
	return max(c.estimate(j).likely, time.Second)
}
