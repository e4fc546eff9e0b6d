package estimate

import (
	"math"
	"slices"
	"time"
)

// group is the progress of the runs of one step. Their work is alike, so that the differences between
// their times show those between their machines, however far off the declared time is.
type group struct {
	members []member
	// compared is set once the members of a gang have told about their machines' lasting speeds.
	compared bool
}

// member is the progress of one run of a group.
type member struct {
	run, machine string
	// whole and recent are the base-2 logarithms of the time that a percent took since the run began and in
	// the newest interval, relative to the declared time. rounding is the standard deviation of the error
	// of whole.
	whole, recent, rounding float64
}

const (
	// minWhole is the number of percents that a member must have done before its gang is compared.
	minWhole = 10
	// minOthers is the number of other runs with which a run that is not a gang's is compared: their work
	// differs, and by how much is taken from them.
	minOthers = 4
	// maxMembers bounds the number of members: they are enough to compare further runs with.
	maxMembers = 64
	// deviationOfMAD is the standard deviation of a normal distribution relative to its median absolute
	// deviation.
	deviationOfMAD = 1.4826
)

// observe updates the progress of a member, or adds it unless there are enough.
func (g *group) observe(o member) {
	i := slices.IndexFunc(g.members, func(m member) bool { return m.run == o.run })
	switch {
	case i >= 0:
		g.members[i] = o
	case len(g.members) < maxMembers:
		g.members = append(g.members, o)
	}
}

// reference is the time that a percent of the work of a group takes on a machine of usual speed, as the
// base-2 logarithm of its ratio to the declared time, and the standard deviation of its error for one run.
type reference struct {
	octaves, spread float64
	known           bool
}

// referenceFor returns the reference for a run on a machine from the times of the members on others. It
// is not known if there are too few.
func (m *Model) referenceFor(g *group, machine string, of func(member) float64, isGang bool) (r reference) {
	times := make([]float64, 0, maxMembers)
	deviation, last, machines := 0.0, "", 0
	for _, o := range g.members {
		if mc := m.fleet.known(o.machine); mc != nil && o.machine != machine {
			times = append(times, of(o)-math.Log2(mc.lasting))
			deviation += mc.deviation
			if o.machine != last { // the runs of a machine mostly follow each other
				last, machines = o.machine, machines+1
			}
		}
	}
	n := len(times)
	if n == 0 || !isGang && n < minOthers {
		return reference{}
	}
	r.octaves = medianOf(times)
	for k := range times {
		times[k] = math.Abs(times[k] - r.octaves)
	}
	differences := deviationOfMAD * medianOf(times) * math.Sqrt(1+1/float64(n))
	r.spread = math.Hypot(differences, deviation/float64(n)/math.Sqrt(float64(machines)))
	r.known = true
	return r
}

// medianOf returns the median of some numbers, at least one, which it sorts.
func medianOf(x []float64) float64 {
	slices.Sort(x)
	return (x[(len(x)-1)/2] + x[len(x)/2]) / 2
}

func wholeOf(m member) float64 { return m.whole }

// compareMembers tells the lasting speeds of the machines of a gang from the times of its members, once.
func (m *Model) compareMembers(now time.Duration, name string) {
	g := m.groups[name]
	if g == nil || g.compared {
		return
	}
	g.compared = true
	observed := make([]reference, len(g.members))
	for i, o := range g.members {
		observed[i] = m.referenceFor(g, o.machine, wholeOf, true)
	}
	for i, o := range g.members {
		if observed[i].known {
			m.observeSpeed(now, o, observed[i])
		}
	}
}

// observeSpeed tells the lasting speed of the machine of a member from its whole time.
func (m *Model) observeSpeed(now time.Duration, o member, r reference) {
	x := min(max(o.whole-r.octaves, -RatioRange), RatioRange)
	m.fleet.observe(now, o.machine, x, math.Hypot(r.spread, math.Hypot(minSpread, o.rounding)))
}

// groupNamed returns a group, and adds it if it is new.
func (m *Model) groupNamed(name string) *group {
	g := m.groups[name]
	if g == nil {
		g = &group{}
		m.groups[name] = g
	}
	return g
}

// ForgetGroup drops the progress of a group, of which no further run is to be compared.
func (m *Model) ForgetGroup(name string) { delete(m.groups, name) }
