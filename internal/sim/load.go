package sim

import (
	"fmt"
	"math"
	"time"

	"agatewinch/internal/core/dispatch"
	"agatewinch/internal/core/job"
	"agatewinch/internal/ledger"
	"agatewinch/internal/sharedlog"
)

// Class is a kind of request.
type Class struct {
	Name     string
	Priority int
	Attempts int
	Stretch  float64
	// Objective is added to the stretched work.
	Objective time.Duration
	// Worth and LateWorth are what a job of the mean size earns.
	Worth, LateWorth float64
	// Rate is in jobs a second.
	Rate float64
	// Work is a task's mean time, and WorkSpread the deviation of its logarithm.
	Work        time.Duration
	WorkSpread  float64
	LongestWork time.Duration
	Width       float64
	WidthSpread float64
	MaxWidth    int
	// Steps is the mean number of steps.
	Steps        float64
	CPU, MemMB   int64
	Accelerators []int64
	Gang         bool
	// SameRack, Checkpoints, Poison, Flaky, Cancel and EstimateOff are shares.
	SameRack, Checkpoints, Poison, Flaky, Cancel, EstimateOff float64
	// Filled is the number of jobs that come before the traffic.
	Filled int
}

// guaranteed is what the organisations own, the largest first.
var guaranteed = []int64{120, 48, 32, 16}

func organisation(i int) string { return fmt.Sprintf("org-%d", i) }

// Burst multiplies a class's traffic for a time.
type Burst struct {
	Class  string
	At     time.Duration
	Length time.Duration
	Times  float64
}

// Load is the traffic of a play.
type Load struct {
	Classes []Class
	Bursts  []Burst
	Length  time.Duration
	// Scale multiplies all traffic.
	Scale float64
	// Lead is the time before the traffic at which the fleet is filled.
	Lead time.Duration
}

// Submit plans all jobs of a load.
func (w *World) Submit(l Load) {
	number := 0
	for i := range l.Classes {
		c := &l.Classes[i]
		for range c.Filled {
			w.submitAt(c, time.Duration(w.rand.Float64()*float64(200*time.Millisecond)), &number)
		}
		for at := l.Lead; at < l.Lead+l.Length; {
			rate := c.Rate * l.Scale
			for _, b := range l.Bursts {
				if b.Class == c.Name && at-l.Lead >= b.At && at-l.Lead < b.At+b.Length {
					rate *= b.Times
				}
			}
			at += w.wait(time.Duration(float64(time.Second) / rate))
			w.submitAt(c, at, &number)
		}
	}
}

func (w *World) submitAt(c *Class, at time.Duration, number *int) {
	*number++
	p := w.draw(c, fmt.Sprintf("%016x", *number))
	p.at = at
	w.jobs[p.job.ID] = p
	w.at(at-w.now, func() {
		p.job.AcceptedMs = w.now.Milliseconds()
		r, err := ledger.JobRecord(p.job)
		if err == nil {
			err = w.ledger.Apply([]sharedlog.Record{r})
		}
		if err != nil {
			w.breakRule("submission: %v", err)
		}
	})
	if p.cancelled {
		w.at(at-w.now+time.Duration(w.rand.Float64()*float64(8*time.Second)), func() {
			if err := w.ledger.Apply([]sharedlog.Record{ledger.CancelRecord(p.job.ID)}); err != nil {
				w.breakRule("cancellation: %v", err)
			}
		})
	}
}

// lognormal draws a value with the given mean.
func (w *World) lognormal(mean, spread float64) float64 {
	return mean * math.Exp(spread*w.rand.NormFloat64()-spread*spread/2)
}

func (w *World) chance(p float64) bool { return w.rand.Float64() < p }

func (w *World) draw(c *Class, id string) *played {
	p := &played{class: c, cancelled: w.chance(c.Cancel), poison: w.chance(c.Poison), flaky: map[string]bool{}}
	j := &job.Job{ID: id, Org: organisation(w.drawOrg()), Service: "service", Priority: c.Priority, Attempts: c.Attempts, Stretch: c.Stretch, Objective: c.Objective}
	steps := max(1, int(math.Round(w.lognormal(c.Steps, 0.4))))
	width := min(c.MaxWidth, max(1, int(math.Round(w.lognormal(c.Width, c.WidthSpread)))))
	accelerators := c.Accelerators[w.rand.IntN(len(c.Accelerators))]
	for i := range steps {
		s := job.Step{Count: width, Need: job.Resources{CPU: c.CPU, MemMB: c.MemMB, Accelerators: accelerators}, Gang: c.Gang}
		s.SameRack = c.Gang && w.chance(c.SameRack)
		s.Checkpoints = w.chance(c.Checkpoints)
		if i > 0 {
			s.After = []int{i - 1}
		}
		base := min(c.LongestWork, time.Duration(w.lognormal(float64(c.Work), c.WorkSpread)))
		times := make([]time.Duration, width)
		for n := range times {
			times[n] = base
			if !c.Gang {
				times[n] = min(c.LongestWork, time.Duration(w.lognormal(float64(base), 0.3)))
			}
			if w.chance(c.Flaky) {
				p.flaky[job.TaskID{Job: id, Step: i, Index: n}.String()] = true
			}
		}
		s.Estimate = time.Duration(float64(base) * (1 + c.EstimateOff*(2*w.rand.Float64()-1)))
		p.work = append(p.work, times)
		j.Steps = append(j.Steps, s)
	}
	p.job = j
	return p
}

// drawOrg draws an organisation, the first ones more often.
func (w *World) drawOrg() int {
	weights := []float64{0.52, 0.23, 0.14, 0.11}
	r := w.rand.Float64()
	for i, x := range weights {
		if r -= x; r < 0 {
			return i
		}
	}
	return 0
}

// chain is the longest chain of the job's work, with the runs that fail by its own fault.
func (p *played) chain() time.Duration {
	sum := time.Duration(0)
	for i, times := range p.work {
		longest, again := time.Duration(0), time.Duration(0)
		for n, t := range times {
			longest = max(longest, t)
			if p.flaky[job.TaskID{Job: p.job.ID, Step: i, Index: n}.String()] {
				again = max(again, t)
			}
		}
		sum += longest + again
	}
	return sum
}

func (p *played) cores() float64 {
	sum := 0.0
	for i, times := range p.work {
		for _, t := range times {
			sum += t.Seconds() * p.job.Steps[i].Need.Cores()
		}
	}
	return sum
}

// Row is what became of a class.
type Row struct {
	Class                        string
	Asked, InTime, Late, Missing int
	// Share is the worth earned of the worth owed, largest jobs in LargestShare.
	Share, LargestShare float64
}

// wastePrice is what a core-second of work costs that is thrown away, by the operators'
// price lists.
const wastePrice = 0.0014

// lateTimes is how many objectives late a job may be and still earn.
const lateTimes = 3

// Results returns what each class earned, and the share of all worth that was earned,
// less the price of work that was thrown away.
func (w *World) Results(l Load) (rows []Row, net float64) {
	earnedAll, owedAll := 0.0, 0.0
	for i := range l.Classes {
		c := &l.Classes[i]
		row := Row{Class: c.Name}
		mean, n := 0.0, 0
		for _, p := range w.jobs {
			if p.class == c {
				mean += p.cores()
				n++
			}
		}
		mean /= float64(max(1, n))
		earned, owed := 0.0, 0.0
		for _, p := range w.jobs {
			if p.class != c || p.cancelled || p.at < l.Lead {
				continue
			}
			size := 0.3 + 0.7*min(4, p.cores()/mean)
			objective := time.Duration(float64(p.chain())*c.Stretch) + c.Objective
			row.Asked++
			owed += size * c.Worth
			took := p.endedAt - p.at
			right := p.state == job.Succeeded || p.poison && p.state == job.Failed
			switch {
			case !right:
				row.Missing++
			case took <= objective:
				row.InTime++
				earned += size * c.Worth
			case took <= lateTimes*objective:
				row.Late++
				earned += size * c.LateWorth
			default:
				row.Missing++
			}
		}
		if owed > 0 {
			row.Share = earned / owed
		}
		earnedAll += earned
		owedAll += owed
		rows = append(rows, row)
	}
	if owedAll > 0 {
		net = (earnedAll - wastePrice*w.Wasted) / owedAll
	}
	return rows, net
}

// Fleet returns n workers in racks of six, as the operators' first site has them.
func Fleet(n int, capacity job.Resources) []*Worker {
	var workers []*Worker
	for i := range n {
		rack := fmt.Sprintf("r%d", i/6)
		slow := 1.0
		if i%3 == 2 {
			slow = 1 / 1.3
		}
		workers = append(workers, &Worker{Slow: slow, Info: dispatch.WorkerInfo{
			ID: fmt.Sprintf("w%02d", i), Address: fmt.Sprintf("192.0.2.%d:1", i), Service: "service", Rack: rack,
			Labels: []string{"a", rack}, Capacity: capacity,
		}})
	}
	return workers
}
