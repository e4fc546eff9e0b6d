package estimate

import (
	"math"
	"slices"
	"time"
)

// The slowdown of a machine is one of gridSize factors, from 2^gridLowest on, gridStep octaves apart.
const (
	gridSize   = 41
	gridLowest = -2.0
	gridStep   = 1.0 / 8
)

// weights assigns a weight to each factor of the grid.
type weights [gridSize]float64

// octaves returns the base-2 logarithm of the factor at a position of the grid.
func octaves(i int) float64 { return gridLowest + gridStep*float64(i) }

// factors holds the factors of the grid.
var factors = func() (f weights) {
	for i := range f {
		f[i] = math.Exp2(octaves(i))
	}
	return f
}()

// basePrior is what is assumed of a machine of an unknown fleet: most machines run at the usual speed,
// and each further quarter of an octave is less likely by a factor of e.
var basePrior = func() (p weights) {
	for i := range p {
		p[i] = math.Exp(-4 * math.Abs(octaves(i)))
	}
	return p.normalised()
}()

func (p weights) normalised() weights {
	sum := 0.0
	for _, x := range p {
		sum += x
	}
	for i := range p {
		p[i] /= sum
	}
	return p
}

// mean returns the mean factor under p, which is normalised.
func (p *weights) mean() float64 {
	sum := 0.0
	for i, x := range p {
		sum += x * factors[i]
	}
	return sum
}

// fleet is what is known of the machines' lasting speeds and their present ones.
type fleet struct {
	machines map[string]*machine
	// prior is what is assumed of a machine before it has been observed: the mean of what is known of
	// all machines. priorMean is its mean factor.
	prior     weights
	priorMean float64
	// untilPrior is the number of observations until the prior is computed again, and version counts
	// how often it has been.
	untilPrior, version int
}

// machine is what is known of one machine.
type machine struct {
	// evidence is the logarithm of the likelihood of all observations, for each factor.
	evidence weights
	// posterior follows from evidence and the prior of that version. lasting is its mean relative to that
	// of the prior, and deviation its standard deviation in octaves.
	posterior          weights
	lasting, deviation float64
	version            int
	seenAt             time.Duration
	recent             []recentProgress
}

const (
	// baseMachines is the number of machines that basePrior counts for in the prior.
	baseMachines = 10
	// priorInterval is the number of observations after which the prior is computed again.
	priorInterval = 50
	// maxMachines bounds the memory for machines: the one not seen for longest is forgotten.
	maxMachines = 5000
	// evidenceMemory is the time after which evidence of a lasting speed counts for 1/e: a worker runs
	// several tasks in it.
	evidenceMemory = time.Minute
	// maxEvidence bounds the logarithm of the ratio of the likelihoods of two factors, so that a machine
	// whose speed has changed is known after a few runs.
	maxEvidence = 10.0
	// outlierShare is the assumed share of observations that say nothing, so that no single run decides.
	outlierShare = 0.05
	// minProbability keeps logarithms finite.
	minProbability = 1e-9
)

func newFleet() *fleet {
	return &fleet{machines: map[string]*machine{}, prior: basePrior, priorMean: basePrior.mean(), untilPrior: priorInterval}
}

// known returns what is known of a machine, or nil.
func (f *fleet) known(id string) *machine {
	m := f.machines[id]
	if m != nil && m.version != f.version {
		m.update(f)
	}
	return m
}

// see returns what is known of a machine and adds it if it is new.
func (f *fleet) see(now time.Duration, id string) *machine {
	if m := f.known(id); m != nil {
		m.seenAt = now
		return m
	}
	if len(f.machines) >= maxMachines {
		f.forgetOldest()
	}
	m := &machine{seenAt: now}
	m.update(f)
	f.machines[id] = m
	return m
}

func (f *fleet) forgetOldest() {
	oldest := ""
	for _, id := range f.ids() {
		if oldest == "" || f.machines[id].seenAt < f.machines[oldest].seenAt {
			oldest = id
		}
	}
	delete(f.machines, oldest)
}

// ids returns the machines in a reproducible order, since sums of floating-point numbers depend on it.
func (f *fleet) ids() []string {
	ids := make([]string, 0, len(f.machines))
	for id := range f.machines {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// update computes the posterior from the evidence and the prior of f.
func (m *machine) update(f *fleet) {
	top := slices.Max(m.evidence[:])
	for i := range m.posterior {
		m.posterior[i] = f.prior[i] * math.Exp(m.evidence[i]-top)
	}
	m.posterior = m.posterior.normalised()
	m.lasting = m.posterior.mean() / f.priorMean
	m.deviation = m.posterior.deviation()
	m.version = f.version
}

// deviation returns the standard deviation of the base-2 logarithm of the factor under p, which is
// normalised.
func (p *weights) deviation() float64 {
	sum, squares := 0.0, 0.0
	for i, x := range p {
		sum += x * octaves(i)
		squares += x * octaves(i) * octaves(i)
	}
	return math.Sqrt(max(0, squares-sum*sum))
}

// lasting returns the lasting slowdown of a machine.
func (f *fleet) lasting(id string) float64 {
	if m := f.known(id); m != nil {
		return m.lasting
	}
	return 1
}

// slowest returns the largest lasting slowdown of some machines.
func (f *fleet) slowest(ids []string) float64 {
	s := f.lasting(ids[0])
	for _, id := range ids[1:] {
		s = max(s, f.lasting(id))
	}
	return s
}

// observe adds a run that took 2^x times the usual time on a machine, where the standard deviation of x
// that has other causes is spread.
func (f *fleet) observe(now time.Duration, id string, x, spread float64) {
	before := now
	if old := f.machines[id]; old != nil {
		before = old.seenAt
	}
	m := f.see(now, id)
	keep := math.Exp(-max(0, now-before).Seconds() / evidenceMemory.Seconds())
	likelihood := likelihoodOf(x+math.Log2(f.priorMean), spread)
	for g := range m.evidence {
		m.evidence[g] = keep*m.evidence[g] + math.Log(outlierShare+(1-outlierShare)*likelihood[g])
	}
	top := slices.Max(m.evidence[:])
	for g := range m.evidence {
		m.evidence[g] = max(m.evidence[g]-top, -maxEvidence)
	}
	m.update(f)
	f.untilPrior--
	if f.untilPrior <= 0 {
		f.computePrior()
	}
}

// likelihoodOf returns the likelihood of an observation x octaves above the usual, for each factor,
// relative to the greatest. Its tails are heavy (Student's t with three degrees of freedom).
func likelihoodOf(x, spread float64) (l weights) {
	for g := range l {
		d := (x - octaves(g)) / spread
		l[g] = 1 / ((1 + d*d/3) * (1 + d*d/3))
	}
	return l
}

// computePrior computes the prior from what is known of all machines.
func (f *fleet) computePrior() {
	f.untilPrior = priorInterval
	sum := basePrior
	for g := range sum {
		sum[g] *= baseMachines
	}
	for _, id := range f.ids() {
		m := f.machines[id]
		for g, p := range m.posterior {
			sum[g] += p
		}
	}
	f.prior = sum.normalised()
	f.priorMean = f.prior.mean()
	f.version++
}
