package estimate

import (
	"math"
	"slices"
	"time"
)

// Progress is what a worker reports of a run.
type Progress struct {
	// Run identifies the run.
	Run string
	// Kind is the kind of its task, and Declared the time that its caller declared, multiplied by any
	// slowdown that follows from where it runs, or zero.
	Kind     Kind
	Declared time.Duration
	// Percent is the share of its work that is done.
	Percent int
	// StartedAt is when its work began at zero percent. It is negative if that is not known, as for a run
	// that resumed from a checkpoint.
	StartedAt time.Duration
	// Machines is the number of machines of which the slowest determines the progress: those of a gang,
	// or one.
	Machines int
}

// recentProgress is the newest progress of a run on a machine.
type recentProgress struct {
	run string
	// from and percent are when the interval that is being observed began, and the progress then. begun
	// is false until that is known.
	from    time.Duration
	percent int
	begun   bool
	// at is the end of the newest interval that has been observed; zero before there is one.
	at time.Duration
	// fastest is the least time that a percent took in an interval.
	fastest time.Duration
	// octaves is the base-2 logarithm of the time that the newest interval took, relative to the usual
	// time on this machine, and spread the standard deviation of its error.
	octaves, spread float64
	machines        int
}

const (
	// minProgressTime is the least length of an interval: progress is reported in whole percents.
	minProgressTime = time.Second
	// ownSlowdown is by how many octaves a percent must take longer than an earlier one of the same run
	// for their comparison to say more than one with other runs of the kind.
	ownSlowdown = 1.0
	// progressMemory is the time after which observed progress counts for 1/e: workers report about every
	// two seconds, and an interval between two reports decides until the next one.
	progressMemory = 4 * time.Second
	// forgottenProgress is the age from which observed progress does not count at all.
	forgottenProgress = 3 * progressMemory
	// slowShare is the assumed share of time for which a machine is slower than it lastingly is.
	slowShare = 0.02
)

// ObserveProgress adds the progress of a run on a machine. Only the latest interval of each run counts
// for the machine's present speed, so that slowness which passes is forgotten.
func (m *Model) ObserveProgress(now time.Duration, machine string, p Progress) {
	mc := m.fleet.see(now, machine)
	mc.dropOldProgress(now)
	r := mc.progressOf(p)
	if !r.begin(now, p) || now-r.from < minProgressTime {
		return
	}
	declared, undeclared := orNominal(p.Declared)
	median, spread := m.usual(p.Kind, undeclared)
	usual := float64(declared) * median * mc.lasting / 100
	r.observe(now, p, usual, spread)
}

// progressOf returns what is known of the progress of a run, and adds it if it is new.
func (m *machine) progressOf(p Progress) *recentProgress {
	i := slices.IndexFunc(m.recent, func(r recentProgress) bool { return r.run == p.Run })
	if i < 0 {
		m.recent = append(m.recent, recentProgress{run: p.Run, at: -1, from: p.StartedAt, begun: p.StartedAt >= 0})
		i = len(m.recent) - 1
	}
	return &m.recent[i]
}

// begin reports whether the beginning of an interval is known. If it is not, it begins now if the run
// makes progress.
func (r *recentProgress) begin(now time.Duration, p Progress) bool {
	if r.begun {
		return true
	}
	r.from, r.percent, r.begun = now, p.Percent, p.Percent > 0
	return false
}

// observe ends the current interval, in which a percent usually takes the given time in nanoseconds.
func (r *recentProgress) observe(now time.Duration, p Progress, usual, spread float64) {
	percents := max(0.5, float64(p.Percent-r.percent)) // less than one may not show
	took := time.Duration(float64(now-r.from) / percents)
	rounding := 1 / percents
	r.octaves, r.spread = boundedLog2(float64(took)/usual), math.Hypot(spread, rounding)
	if r.fastest > 0 {
		if own := boundedLog2(float64(took) / float64(r.fastest)); own >= ownSlowdown {
			r.octaves, r.spread = own, math.Hypot(minSpread, rounding)
		}
	}
	if r.fastest == 0 || took < r.fastest {
		r.fastest = took
	}
	r.at, r.from, r.percent, r.machines = now, now, p.Percent, p.Machines
}

// dropOldProgress drops the runs that have not been reported for forgottenProgress.
func (m *machine) dropOldProgress(now time.Duration) {
	m.recent = slices.DeleteFunc(m.recent, func(r recentProgress) bool { return now-max(r.at, r.from) > forgottenProgress })
}

// present returns by which factor a machine is slower now than it lastingly is, at least one: the mean
// over all factors, each weighted by its probability given the newest progress of each run.
func (m *machine) present(now time.Duration) float64 {
	var evidence weights
	observed := false
	for i := range m.recent {
		r := &m.recent[i]
		if age := now - r.at; r.at >= 0 && age < forgottenProgress {
			r.addEvidence(&evidence, math.Exp(-age.Seconds()/progressMemory.Seconds()))
			observed = true
		}
	}
	if !observed {
		return 1
	}
	top := slices.Max(evidence[:])
	sum, mean := 0.0, 0.0
	for g := normalSpeed; g < gridSize; g++ {
		w := slowPrior[g] * math.Exp(evidence[g]-top)
		sum += w
		mean += w * factors[g]
	}
	return max(1, mean/sum/slowPriorMean)
}

// addEvidence adds the logarithm of the likelihood of r for each factor, multiplied by weight. Where the
// progress depends on several machines, another of them may be the slow one.
func (r *recentProgress) addEvidence(evidence *weights, weight float64) {
	likelihood := likelihoodOf(r.octaves, r.spread)
	noOther := math.Pow(1-slowShare, float64(max(1, r.machines)-1))
	slower := 0.0 // the likelihood if another machine is slower
	for g := gridSize - 1; g >= normalSpeed; g-- {
		evidence[g] += weight * math.Log(max(minProbability, noOther*likelihood[g]+(1-noOther)*slower))
		slower += slowPrior[g] / slowShare * likelihood[g]
	}
}

// normalSpeed is the position of the factor one in the grid.
const normalSpeed = int(-gridLowest / gridStep)

// slowPrior is the assumed distribution of the present slowness of a machine: none, or any factor up
// to the highest with equal probability on a logarithmic scale. slowPriorMean is its mean.
var slowPrior, slowPriorMean = func() (p weights, mean float64) {
	p[normalSpeed] = 1 - slowShare
	for g := normalSpeed + 1; g < gridSize; g++ {
		p[g] = slowShare / float64(gridSize-1-normalSpeed)
	}
	return p, p.mean()
}()

// ForgetRun drops the progress of a run that has ended on a machine; what it showed of the machine's
// present speed fades with time.
func (m *Model) ForgetRun(machine, run string) {
	if mc := m.fleet.known(machine); mc != nil {
		for i := range mc.recent {
			if mc.recent[i].run == run {
				mc.recent[i].run = ""
			}
		}
	}
}

// Slowdown returns by which factor runs take longer on a machine now than on one of usual speed: one if
// nothing is known. It follows the machine's lasting speed and, while runs there make less progress than
// that, their progress.
func (m *Model) Slowdown(now time.Duration, machine string) float64 {
	mc := m.fleet.known(machine)
	if mc == nil {
		return 1
	}
	return mc.lasting * mc.present(now)
}

// LastingSlowdown is Slowdown without slowness that may pass.
func (m *Model) LastingSlowdown(machine string) float64 { return m.fleet.lasting(machine) }

// Continue makes what is known of a machine's lasting speed known under its new name, for instance that
// of its worker after an upkeep.
func (m *Model) Continue(old, name string) {
	mc := m.fleet.machines[old]
	if mc == nil || old == name || m.fleet.machines[name] != nil {
		return
	}
	delete(m.fleet.machines, old)
	mc.recent = nil
	m.fleet.machines[name] = mc
}
