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
	// Group names the step of the run, whose runs have like work; empty if there is no other. Gang is set
	// if it is a gang's run, of which each member makes progress as fast as its own machine, and Members
	// is their number.
	Group   string
	Gang    bool
	Members int
}

// recentProgress is the newest progress of a run on a machine.
type recentProgress struct {
	run, group string
	// from and percent are when the interval that is being observed began, and the progress then. begun
	// is false until that is known.
	from    time.Duration
	percent int
	begun   bool
	// at is the end of the newest interval that has been observed; zero before there is one.
	at time.Duration
	// first and firstPercent are when its observation began, and the progress then.
	first        time.Duration
	firstPercent int
	// perPercent is the base-2 logarithm of the time in nanoseconds that a percent took in the newest
	// interval, and fastest the least so far; zero before there is one.
	perPercent, fastest float64
	// octaves is the base-2 logarithm of the time that the newest interval took, relative to the usual
	// time on this machine, and spread the standard deviation of its error.
	octaves, spread float64
	// compared is set if it was compared with other runs of its group. Otherwise the runs of a group share
	// the error of their declared time.
	compared bool
}

const (
	// minInterval is the least length of an observed interval, in report intervals: progress is reported in
	// whole percents.
	minInterval = 0.5
	// ownSlowdown is by how many octaves a percent must take longer than an earlier one of the same run
	// for their comparison to say more than one with other runs of the kind.
	ownSlowdown = 1.0
	// progressMemory is the time, in report intervals, after which observed progress counts for 1/e: an
	// interval decides until the next report. From forgottenProgress on it does not count at all.
	progressMemory    = 2.0
	forgottenProgress = 6.0
	// complete is the progress of a run that is done or waits for the rest of its gang: it has taken an
	// unknown part of the time.
	complete = 100
	// slowShare is the assumed share of time for which a machine is slower than it lastingly is.
	slowShare = 0.02
)

// ObserveProgress adds the progress of a run on a machine. Only the latest interval of each run counts
// for the machine's present speed, so that slowness which passes is forgotten.
func (m *Model) ObserveProgress(now time.Duration, machine string, p Progress) {
	if p.Percent >= complete {
		return
	}
	mc := m.fleet.see(now, machine)
	mc.dropOldProgress(now, m.intervals(forgottenProgress))
	r := mc.progressOf(p)
	if !r.begin(now, p) || now-r.from < m.intervals(minInterval) {
		return
	}
	percents := r.observe(now, p)
	usual, spread := m.usualPercent(p, mc)
	r.compare(usual, spread, percents)
	if p.Group != "" {
		m.observeMember(now, machine, p, r)
	}
}

// intervals returns the length of a number of report intervals.
func (m *Model) intervals(n float64) time.Duration {
	return time.Duration(n * float64(m.reportInterval))
}

// usualPercent returns the base-2 logarithm of the time in nanoseconds that a percent of a run usually
// takes on a machine, and its standard deviation.
func (m *Model) usualPercent(p Progress, mc *machine) (octaves, spread float64) {
	declared, undeclared := orNominal(p.Declared)
	median, spread, _ := m.usual(p.Kind, undeclared)
	return math.Log2(float64(declared) / 100 * median * mc.lasting), spread
}

// observeMember adds the progress of a run of a group, and compares it with the others.
func (m *Model) observeMember(now time.Duration, machine string, p Progress, r *recentProgress) {
	g := m.groupNamed(p.Group)
	percents := max(0.5, float64(p.Percent-r.firstPercent))
	declared, _ := orNominal(p.Declared)
	base := math.Log2(float64(declared))
	whole := math.Log2(float64(now-r.first)/percents) - base
	g.observe(member{run: p.Run, machine: machine, whole: whole, recent: r.perPercent - base, rounding: 1 / percents})
	recent := func(m member) float64 { return m.recent }
	if ref := m.referenceFor(g, machine, recent, p.Gang); ref.known && ref.spread < r.spread {
		r.octaves, r.spread, r.compared = r.perPercent-base-ref.octaves-math.Log2(m.fleet.lasting(machine)), math.Hypot(minSpread, ref.spread), true
	}
	if p.Gang && len(g.members) == min(p.Members, maxMembers) && percents >= minWhole {
		m.compareMembers(now, p.Group)
	}
}

// progressOf returns what is known of the progress of a run, and adds it if it is new.
func (m *machine) progressOf(p Progress) *recentProgress {
	i := slices.IndexFunc(m.recent, func(r recentProgress) bool { return r.run == p.Run })
	if i < 0 {
		m.recent = append(m.recent, recentProgress{run: p.Run, group: p.Group, at: -1, first: p.StartedAt, from: p.StartedAt, begun: p.StartedAt >= 0})
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
	r.first, r.firstPercent = now, p.Percent
	r.from, r.percent, r.begun = now, p.Percent, p.Percent > 0
	return false
}

// observe ends the current interval and returns how many percents were done in it.
func (r *recentProgress) observe(now time.Duration, p Progress) float64 {
	percents := max(0.5, float64(p.Percent-r.percent)) // less than one may not show
	r.perPercent = math.Log2(float64(now-r.from) / percents)
	r.at, r.from, r.percent = now, now, p.Percent
	return percents
}

// compare sets by how much longer the newest interval took than usual on this machine: than earlier ones
// of the run if that is much, and otherwise than others of its kind.
func (r *recentProgress) compare(usual, spread, percents float64) {
	rounding := 1 / percents
	r.octaves, r.spread, r.compared = r.perPercent-usual, math.Hypot(spread, rounding), false
	if own := r.perPercent - r.fastest; r.fastest > 0 && own >= ownSlowdown {
		r.octaves, r.spread, r.compared = own, math.Hypot(minSpread, rounding), true
	}
	if r.fastest == 0 || r.perPercent < r.fastest {
		r.fastest = r.perPercent
	}
}

// dropOldProgress drops the runs that have not been reported for the given time.
func (m *machine) dropOldProgress(now, age time.Duration) {
	m.recent = slices.DeleteFunc(m.recent, func(r recentProgress) bool { return now-max(r.at, r.from) > age })
}

// present returns by which factor a machine is slower now than it lastingly is, at least one: the mean
// over all factors, each weighted by its probability given the newest progress of each run, which fades with
// memory.
func (m *machine) present(now, memory time.Duration) float64 {
	var evidence weights
	observed := false
	for i := range m.recent {
		r := &m.recent[i]
		if age := now - r.at; r.at >= 0 && age < memory*forgottenProgress/progressMemory && !m.sharesError(i) {
			r.addEvidence(&evidence, math.Exp(-age.Seconds()/memory.Seconds()))
			observed = true
		}
	}
	if !observed {
		return 1
	}
	top := slices.Max(evidence[normalSpeed:])
	sum, mean := 0.0, 0.0
	for g := normalSpeed; g < gridSize; g++ {
		w := slowPrior[g] * math.Exp(evidence[g]-top)
		sum += w
		mean += w * factors[g]
	}
	return max(1, mean/sum/slowPriorMean)
}

// sharesError reports whether the newest progress of run i has the same error as that of an earlier one in
// the list: that of the declared time of their step.
func (m *machine) sharesError(i int) bool {
	r := &m.recent[i]
	return r.group != "" && !r.compared && slices.ContainsFunc(m.recent[:i], func(o recentProgress) bool {
		return o.group == r.group && !o.compared && o.at >= 0
	})
}

// addEvidence adds the logarithm of the likelihood of r for each factor, multiplied by weight.
func (r *recentProgress) addEvidence(evidence *weights, weight float64) {
	likelihood := likelihoodOf(r.octaves, r.spread)
	for g := normalSpeed; g < gridSize; g++ {
		evidence[g] += weight * math.Log(max(minProbability, likelihood[g]))
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
	return mc.lasting * mc.present(now, m.intervals(progressMemory))
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
