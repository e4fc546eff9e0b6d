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
	// Objective is the constant part of the latency objective: a job is due Stretch times its
	// critical path plus Objective after its submission.
	Objective time.Duration
	// Value is what a job of mean size earns when it meets its latency objective, LateValue
	// what it earns when it takes longer, but at most lateFactor times the objective.
	Value, LateValue float64
	// Rate is the arrival rate in jobs per second.
	Rate float64
	// RunTime is the mean run time of a task, RunTimeSpread the standard deviation of its
	// logarithm, and MaxRunTime its maximum. Width, WidthSpread and MaxWidth are the same for
	// the number of tasks of a step.
	RunTime       time.Duration
	RunTimeSpread float64
	MaxRunTime    time.Duration
	Width         float64
	WidthSpread   float64
	MaxWidth      int
	// Steps is the mean number of steps.
	Steps float64
	// CPU (in thousandths of a core) and MemMB (in megabytes) are what a task needs. Each job
	// draws the number of accelerators of its tasks from Accelerators.
	CPU, MemMB   int64
	Accelerators []int64
	Gang         bool
	// SameRack, Checkpoints, AlwaysFails, Flaky and Cancel are probabilities: that a gang
	// step asks for one rack, that a step keeps checkpoints, that a job always fails, that a
	// task fails in its first run, and that a job is cancelled. EstimateError is the largest
	// relative error of a run time estimate.
	SameRack, Checkpoints, AlwaysFails, Flaky, Cancel, EstimateError float64
	// Prefilled is the number of jobs that are submitted before the arrivals start.
	Prefilled int
}

// guaranteedAccelerators holds the number of accelerators that each organisation is
// guaranteed, the largest first.
var guaranteedAccelerators = []int64{120, 48, 32, 16}

// guaranteedOf is the number of workers for which guaranteedAccelerators holds; on larger fleets they
// grow with the fleet.
const guaranteedOf = 48

func organisation(i int) string { return fmt.Sprintf("org-%d", i) }

// Burst multiplies the arrival rate of a class by Factor from At for Duration. At counts from
// the start of the arrivals.
type Burst struct {
	Class    string
	At       time.Duration
	Duration time.Duration
	Factor   float64
}

// Load is the workload of a simulation.
type Load struct {
	Classes []Class
	Bursts  []Burst
	// Duration is the time during which jobs arrive.
	Duration time.Duration
	// Scale multiplies all arrival rates.
	Scale float64
	// LeadTime is the time from the start of the simulation to the start of the arrivals. The
	// prefilled jobs are submitted in the first 200 ms.
	LeadTime time.Duration
}

// Submit schedules the submissions and cancellations of all jobs of a load.
func (sim *Simulation) Submit(l Load) {
	number := 0
	for i := range l.Classes {
		c := &l.Classes[i]
		for range c.Prefilled {
			sim.submitAt(c, time.Duration(sim.rand.Float64()*float64(200*time.Millisecond)), &number)
		}
		for at := l.LeadTime; at < l.LeadTime+l.Duration; {
			rate := c.Rate * l.Scale
			for _, b := range l.Bursts {
				if b.Class == c.Name && at-l.LeadTime >= b.At && at-l.LeadTime < b.At+b.Duration {
					rate *= b.Factor
				}
			}
			at += sim.drawInterval(time.Duration(float64(time.Second) / rate))
			sim.submitAt(c, at, &number)
		}
	}
}

func (sim *Simulation) submitAt(c *Class, at time.Duration, number *int) {
	*number++
	sj := sim.drawJob(c, fmt.Sprintf("%016x", *number))
	sj.submittedAt = at
	sim.jobs[sj.job.ID] = sj
	sim.schedule(at-sim.now, func() {
		sj.job.AcceptedMs = sim.now.Milliseconds()
		r, err := ledger.JobRecord(sj.job)
		if err == nil {
			err = sim.ledger.Apply([]sharedlog.Record{r})
		}
		if err != nil {
			sim.addViolation("apply submission: %v", err)
		}
	})
	if sj.cancelled {
		sim.schedule(at-sim.now+time.Duration(sim.rand.Float64()*float64(8*time.Second)), func() {
			if err := sim.ledger.Apply([]sharedlog.Record{ledger.CancelRecord(sj.job.ID)}); err != nil {
				sim.addViolation("apply cancellation: %v", err)
			}
		})
	}
}

// lognormal draws from a log-normal distribution with the given mean. The standard
// deviation of the logarithm is spread.
func (sim *Simulation) lognormal(mean, spread float64) float64 {
	return mean * math.Exp(spread*sim.rand.NormFloat64()-spread*spread/2)
}

func (sim *Simulation) chance(p float64) bool { return sim.rand.Float64() < p }

func (sim *Simulation) drawJob(c *Class, id string) *simJob {
	sj := &simJob{class: c, cancelled: sim.chance(c.Cancel), alwaysFails: sim.chance(c.AlwaysFails), flaky: map[string]bool{}}
	j := &job.Job{ID: id, Org: organisation(sim.drawOrg()), Service: "service", Priority: c.Priority, Attempts: c.Attempts, Stretch: c.Stretch, Objective: c.Objective}
	steps := max(1, int(math.Round(sim.lognormal(c.Steps, 0.4))))
	width := min(c.MaxWidth, max(1, int(math.Round(sim.lognormal(c.Width, c.WidthSpread)))))
	accelerators := c.Accelerators[sim.rand.IntN(len(c.Accelerators))]
	for i := range steps {
		s := job.Step{Count: width, Need: job.Resources{CPU: c.CPU, MemMB: c.MemMB, Accelerators: accelerators}, Gang: c.Gang}
		s.SameRack = c.Gang && sim.chance(c.SameRack)
		s.Checkpoints = sim.chance(c.Checkpoints)
		if i > 0 {
			s.After = []int{i - 1}
		}
		base := min(c.MaxRunTime, time.Duration(sim.lognormal(float64(c.RunTime), c.RunTimeSpread)))
		times := make([]time.Duration, width)
		for n := range times {
			times[n] = base
			if !c.Gang {
				times[n] = min(c.MaxRunTime, time.Duration(sim.lognormal(float64(base), 0.3)))
			}
			if sim.chance(c.Flaky) {
				sj.flaky[job.TaskID{Job: id, Step: i, Index: n}.String()] = true
			}
		}
		s.Estimate = time.Duration(float64(base) * (1 + c.EstimateError*(2*sim.rand.Float64()-1)))
		sj.runTimes = append(sj.runTimes, times)
		j.Steps = append(j.Steps, s)
	}
	sj.job = j
	return sj
}

// drawOrg draws the index of an organisation; lower indexes are more likely.
func (sim *Simulation) drawOrg() int {
	weights := []float64{0.52, 0.23, 0.14, 0.11}
	r := sim.rand.Float64()
	for i, x := range weights {
		if r -= x; r < 0 {
			return i
		}
	}
	return 0
}

// criticalPath returns the sum over the steps of the run time of the longest task and of the
// longest second run of a flaky task. The second run is included because a flaky task fails its
// first run wherever it is placed.
func (sj *simJob) criticalPath() time.Duration {
	sum := time.Duration(0)
	for i, times := range sj.runTimes {
		longest, longestRerun := time.Duration(0), time.Duration(0)
		for n, t := range times {
			longest = max(longest, t)
			if sj.flaky[job.TaskID{Job: sj.job.ID, Step: i, Index: n}.String()] {
				longestRerun = max(longestRerun, t)
			}
		}
		sum += longest + longestRerun
	}
	return sum
}

func (sj *simJob) coreSeconds() float64 {
	sum := 0.0
	for i, times := range sj.runTimes {
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
	// the largest jobs, is not computed and always zero.
	Share, LargestShare float64
}

// wastePricePerCoreSecond is the price of a core-second of wasted work in the operators' price
// lists.
const wastePricePerCoreSecond = 0.0014

// lateFactor is the multiple of its latency objective up to which a late job still earns
// LateValue.
const lateFactor = 3

// Results returns the results of each class, and the share of all value that was earned,
// less the price of wasted work.
func (sim *Simulation) Results(l Load) (rows []ClassResult, net float64) {
	totalEarned, totalValue := 0.0, 0.0
	for i := range l.Classes {
		c := &l.Classes[i]
		row := ClassResult{Class: c.Name}
		mean, n := 0.0, 0
		for _, sj := range sim.jobs {
			if sj.class == c {
				mean += sj.coreSeconds()
				n++
			}
		}
		mean /= float64(max(1, n))
		earned, value := 0.0, 0.0
		for _, sj := range sim.jobs {
			if sj.class != c || sj.cancelled || sj.submittedAt < l.LeadTime {
				continue
			}
			size := 0.3 + 0.7*min(4, sj.coreSeconds()/mean)
			objective := time.Duration(float64(sj.criticalPath())*c.Stretch) + c.Objective
			row.Submitted++
			value += size * c.Value
			elapsed := sj.endedAt - sj.submittedAt
			expected := sj.state == job.Succeeded || sj.alwaysFails && sj.state == job.Failed
			switch {
			case !expected:
				row.Missed++
			case elapsed <= objective:
				row.InTime++
				earned += size * c.Value
			case elapsed <= lateFactor*objective:
				row.Late++
				earned += size * c.LateValue
			default:
				row.Missed++
			}
		}
		if value > 0 {
			row.Share = earned / value
		}
		totalEarned += earned
		totalValue += value
		rows = append(rows, row)
	}
	if totalValue > 0 {
		net = (totalEarned - wastePricePerCoreSecond*sim.Wasted) / totalValue
	}
	return rows, net
}

// Fleet returns n workers in racks of six, as at the operators' first site. Every third worker
// takes 1.3 times as long as the others.
func Fleet(n int, capacity job.Resources) []*Worker { return FleetInRacks(n, 6, capacity) }

// FleetInRacks returns the same in racks of the given size.
func FleetInRacks(n, perRack int, capacity job.Resources) []*Worker {
	var workers []*Worker
	for i := range n {
		rack := fmt.Sprintf("r%d", i/perRack)
		factor := 1.0
		if i%3 == 2 {
			factor = 1.3
		}
		workers = append(workers, &Worker{RunTimeFactor: factor, Info: dispatch.WorkerInfo{
			ID: fmt.Sprintf("w%02d", i), Address: fmt.Sprintf("192.0.2.%d:%d", i%256, 1+i/256), Service: "service", Rack: rack,
			Labels: []string{"a", rack}, Capacity: capacity,
		}})
	}
	return workers
}
