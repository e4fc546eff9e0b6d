package dispatch

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"agatewinch/internal/core/admission"
	"agatewinch/internal/core/job"
)

// flow is a rate of work in core-seconds per second. Older work fades with hazardMemory.
type flow struct {
	sum float64
	at  time.Duration
}

// add counts work that arrives or is done now.
func (f *flow) add(now time.Duration, work float64) {
	f.sum = f.sum*fadeOver(now-f.at) + work
	f.at = now
}

// rate returns the flow at now.
func (f *flow) rate(now time.Duration) float64 {
	return f.sum * fadeOver(now-f.at) / hazardMemory.Seconds()
}

func fadeOver(d time.Duration) float64 {
	return math.Exp(-max(0, d).Seconds() / hazardMemory.Seconds())
}

// lane names the work of one service and priority.
type lane struct {
	service  string
	priority int
}

// traffic measures the work that arrives in each lane and that each service does.
type traffic struct {
	arrived map[lane]*flow
	done    map[string]*flow
}

func newTraffic() traffic { return traffic{arrived: map[lane]*flow{}, done: map[string]*flow{}} }

// countArrival counts the work of a job that arrives now.
func (c *Core) countArrival(now Now, j *trackedJob) {
	key := lane{j.spec.Service, j.spec.Priority}
	if c.traffic.arrived[key] == nil {
		c.traffic.arrived[key] = &flow{}
	}
	c.traffic.arrived[key].add(now.Mono, j.work)
}

// countDone counts the work of a run that has ended as done.
func (c *Core) countDone(now Now, r *run) {
	service := r.task.step.job.spec.Service
	if c.traffic.done[service] == nil {
		c.traffic.done[service] = &flow{}
	}
	c.traffic.done[service].add(now.Mono, (now.Mono-r.confirmedAt).Seconds()*r.need.Cores())
}

const (
	// forecastAfter is how long a leader measures the traffic before it forecasts: it knows nothing of
	// the traffic before.
	forecastAfter = hazardMemory
	// shortWait is the predicted wait from which a lane is short of room.
	shortWait = time.Second
)

// Forecast returns the lanes that are short of room, with what hosts need to know to refuse jobs that
// would end too late. It is empty while none is.
func (c *Core) Forecast(now Now) []admission.Lane {
	if now.Mono < forecastAfter {
		return nil
	}
	waiting := c.waitingWork(now)
	keys := slices.SortedFunc(maps.Keys(waiting), func(a, b lane) int {
		return cmp.Or(cmp.Compare(a.service, b.service), cmp.Compare(a.priority, b.priority))
	})
	var lanes []admission.Lane
	rooms := map[string][]admission.Room{}
	for _, key := range keys {
		l := c.forecastLane(now, key, waiting)
		if l.Wait() < shortWait {
			continue
		}
		if rooms[key.service] == nil {
			rooms[key.service] = c.freeRooms(now, key.service)
		}
		l.Room = rooms[key.service]
		lanes = append(lanes, l)
	}
	return lanes
}

// forecastLane returns what is known of a lane but its free room. Work of more urgent priorities goes
// first, both what waits and what still arrives.
func (c *Core) forecastLane(now Now, key lane, waiting map[lane]float64) admission.Lane {
	l := admission.Lane{Service: key.service, Priority: key.priority}
	for k, work := range waiting {
		if k.service == key.service && k.priority <= key.priority {
			l.Backlog += work
		}
	}
	if done := c.traffic.done[key.service]; done != nil {
		l.Drain = done.rate(now.Mono)
	}
	for k, arrived := range c.traffic.arrived {
		if k.service == key.service && k.priority < key.priority {
			l.Drain -= arrived.rate(now.Mono)
		}
	}
	return l
}

// waitingWork returns the work of the due steps' tasks that have no run, in core-seconds, by lane.
func (c *Core) waitingWork(now Now) map[lane]float64 {
	waiting := map[lane]float64{}
	for _, j := range c.jobs {
		if j.cancelledOrEnded() || j.spec.IsLongRunning() {
			continue
		}
		for _, o := range j.occurrences {
			if o.dueMs > now.UnixMs {
				continue
			}
			for _, s := range o.steps {
				n := float64(len(s.tasks) - s.done - s.activeRuns)
				waiting[lane{j.spec.Service, j.spec.Priority}] += max(0, n) * s.spec.Need.Cores() * c.usualRunTime(now, s).Seconds()
			}
		}
	}
	return waiting
}

// freeRooms summarises the free capacity of the workers of a service that take work.
func (c *Core) freeRooms(now Now, service string) []admission.Room {
	byAccelerators := map[int64]*admission.Room{}
	for _, w := range c.sortedWorkers {
		if w.Service != service || !c.takesWork(now, w) {
			continue
		}
		free := w.free()
		key := max(0, free.Accelerators)
		r := byAccelerators[key]
		if r == nil {
			r = &admission.Room{}
			byAccelerators[key] = r
		}
		r.Workers++
		r.Free = job.Resources{CPU: max(r.Free.CPU, free.CPU), MemMB: max(r.Free.MemMB, free.MemMB), Accelerators: key}
	}
	var rooms []admission.Room
	for _, key := range slices.Sorted(maps.Keys(byAccelerators)) {
		rooms = append(rooms, *byAccelerators[key])
	}
	return rooms
}
