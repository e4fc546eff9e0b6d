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

// Class describes the jobs of one kind: their distribution, requirements and value.
type Class struct {
	Name     string
	Priority int
	Attempts int
	Stretch  float64
	// Objective is the fixed part of the objective: a job is due Stretch times its critical
	// path plus Objective after its submission.
	Objective time.Duration
	// Value and LateValue are what a job of mean size earns when it meets its objective and
	// when it is late.
	Value, LateValue float64
	// Rate is the arrival rate in jobs per second.
	Rate float64
	// Work is the mean run time of a task, and WorkSpread the standard deviation of its
	// logarithm.
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
	// SameRack, Checkpoints, Poison, Flaky and Cancel are probabilities: that a gang step
	// asks for one rack, that a step keeps checkpoints, that a job always fails, that a task
	// fails in its first run, and that a job is cancelled. EstimateOff is the largest
	// relative error of a run time estimate.
	SameRack, Checkpoints, Poison, Flaky, Cancel, EstimateOff float64
	// Prefilled is the number of jobs that are submitted before the arrivals start.
	Prefilled int
}

// guaranteed holds the guarantee of each organisation, the largest first.
var guaranteed = []int64{120, 48, 32, 16}

func organisation(i int) string { return fmt.Sprintf("org-%d", i) }

// Burst multiplies the arrival rate of a class by Factor from At for Length. At counts from
// the first arrivals.
type Burst struct {
	Class  string
	At     time.Duration
	Length time.Duration
	Factor float64
}

// Load is the workload of a simulation.
type Load struct {
	Classes []Class
	Bursts  []Burst
	Length  time.Duration
	// Scale multiplies all arrival rates.
	Scale float64
	// Lead is the time from the start, when the prefilled jobs are submitted, to the start
	// of the arrivals.
	Lead time.Duration
}

// Submit schedules the submissions and cancellations of all jobs of a load.
func (w *Simulation) Submit(l Load) {
	number := 0
	for i := range l.Classes {
		c := &l.Classes[i]
		for range c.Prefilled {
			w.submitAt(c, time.Duration(w.rand.Float64()*float64(200*time.Millisecond)), &number)
		}
		for at := l.Lead; at < l.Lead+l.Length; {
			rate := c.Rate * l.Scale
			for _, b := range l.Bursts {
				if b.Class == c.Name && at-l.Lead >= b.At && at-l.Lead < b.At+b.Length {
					rate *= b.Factor
				}
			}
			at += w.drawInterval(time.Duration(float64(time.Second) / rate))
			w.submitAt(c, at, &number)
		}
	}
}

func (w *Simulation) submitAt(c *Class, at time.Duration, number *int) {
	*number++
	sj := w.drawJob(c, fmt.Sprintf("%016x", *number))
	sj.submittedAt = at
	w.jobs[sj.job.ID] = sj
	w.schedule(at-w.now, func() {
		sj.job.AcceptedMs = w.now.Milliseconds()
		r, err := ledger.JobRecord(sj.job)
		if err == nil {
			err = w.ledger.Apply([]sharedlog.Record{r})
		}
		if err != nil {
			w.addViolation("apply submission: %v", err)
		}
	})
	if sj.cancelled {
		w.schedule(at-w.now+time.Duration(w.rand.Float64()*float64(8*time.Second)), func() {
			if err := w.ledger.Apply([]sharedlog.Record{ledger.CancelRecord(sj.job.ID)}); err != nil {
				w.addViolation("apply cancellation: %v", err)
			}
		})
	}
}

// lognormal draws from a log-normal distribution with the given mean. The standard
// deviation of the logarithm is spread.
func (w *Simulation) lognormal(mean, spread float64) float64 {
	return mean * math.Exp(spread*w.rand.NormFloat64()-spread*spread/2)
}

func (w *Simulation) chance(p float64) bool { return w.rand.Float64() < p }

func (w *Simulation) drawJob(c *Class, id string) *simJob {
	sj := &simJob{class: c, cancelled: w.chance(c.Cancel), poison: w.chance(c.Poison), flaky: map[string]bool{}}
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
				sj.flaky[job.TaskID{Job: id, Step: i, Index: n}.String()] = true
			}
		}
		s.Estimate = time.Duration(float64(base) * (1 + c.EstimateOff*(2*w.rand.Float64()-1)))
		sj.work = append(sj.work, times)
		j.Steps = append(j.Steps, s)
	}
	sj.job = j
	return sj
}

// drawOrg draws the index of an organisation; lower indexes are more likely.
func (w *Simulation) drawOrg() int {
	weights := []float64{0.52, 0.23, 0.14, 0.11}
	r := w.rand.Float64()
	for i, x := range weights {
		if r -= x; r < 0 {
			return i
		}
	}
	return 0
}

// criticalPath returns the sum over steps of the longest task, with the repeated runs of
// flaky tasks.
func (sj *simJob) criticalPath() time.Duration {
	sum := time.Duration(0)
	for i, times := range sj.work {
		longest, again := time.Duration(0), time.Duration(0)
		for n, t := range times {
			longest = max(longest, t)
			if sj.flaky[job.TaskID{Job: sj.job.ID, Step: i, Index: n}.String()] {
				again = max(again, t)
			}
		}
		sum += longest + again
	}
	return sum
}

func (sj *simJob) coreSeconds() float64 {
	sum := 0.0
	for i, times := range sj.work {
		for _, t := range times {
			sum += t.Seconds() * sj.job.Steps[i].Need.Cores()
		}
	}
	return sum
}

// ClassResult holds the results of one class.
type ClassResult struct {
	Class                           string
	Submitted, InTime, Late, Missed int
	// Share is the value earned divided by the value of all counted jobs. Cancelled jobs and
	// jobs submitted before the arrivals start are not counted. LargestShare, the share of
	// the largest jobs, is not computed.
	Share, LargestShare float64
}

// wastePricePerCoreSecond is the price of a core-second of wasted work in the operators' price lists.
const wastePricePerCoreSecond = 0.0014

// lateFactor is the multiple of its objective up to which a late job still earns LateValue.
const lateFactor = 3

// Results returns the results of each class, and the share of all value that was earned,
// less the price of wasted work.
func (w *Simulation) Results(l Load) (rows []ClassResult, net float64) {
	earnedAll, owedAll := 0.0, 0.0
	for i := range l.Classes {
		c := &l.Classes[i]
		row := ClassResult{Class: c.Name}
		mean, n := 0.0, 0
		for _, sj := range w.jobs {
			if sj.class == c {
				mean += sj.coreSeconds()
				n++
			}
		}
		mean /= float64(max(1, n))
		earned, owed := 0.0, 0.0
		for _, sj := range w.jobs {
			if sj.class != c || sj.cancelled || sj.submittedAt < l.Lead {
				continue
			}
			size := 0.3 + 0.7*min(4, sj.coreSeconds()/mean)
			objective := time.Duration(float64(sj.criticalPath())*c.Stretch) + c.Objective
			row.Submitted++
			owed += size * c.Value
			took := sj.endedAt - sj.submittedAt
			right := sj.state == job.Succeeded || sj.poison && sj.state == job.Failed
			switch {
			case !right:
				row.Missed++
			case took <= objective:
				row.InTime++
				earned += size * c.Value
			case took <= lateFactor*objective:
				row.Late++
				earned += size * c.LateValue
			default:
				row.Missed++
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
		net = (earnedAll - wastePricePerCoreSecond*w.Wasted) / owedAll
	}
	return rows, net
}

// Fleet returns n workers in racks of six, like the operators' first site. Every third worker
// is 1.3 times as fast as the others.
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
