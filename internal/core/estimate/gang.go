package estimate

import (
	"math"
	"slices"
	"time"
)

// gang is the progress of the members of a gang. All have the same work, so that the differences
// between their times show those between their machines, whatever their caller declared.
type gang struct {
	members []member
	// compared is set once the members' times have told about their machines' lasting speeds.
	compared bool
}

// member is the progress of one member of a gang.
type member struct {
	run, machine string
	// whole and recent are the base-2 logarithms of the time that a percent took, in nanoseconds, since
	// the run began and in the newest interval. rounding is the standard deviation of the error of whole.
	whole, recent, rounding float64
}

// minWhole is the number of percents that a member must have done before its gang is compared.
const minWhole = 10

// observe updates the progress of a member and returns its position.
func (g *gang) observe(run, machine string, whole, recent, rounding float64) int {
	i := slices.IndexFunc(g.members, func(m member) bool { return m.run == run })
	if i < 0 {
		g.members = append(g.members, member{run: run})
		i = len(g.members) - 1
	}
	g.members[i] = member{run, machine, whole, recent, rounding}
	return i
}

// reference returns the median of the logarithms of the times of the members on other machines than
// that of member i, each corrected by its machine's lasting speed, and its standard deviation. ok is
// false if there are none.
func (m *Model) reference(g *gang, i int, of func(member) float64) (median, spread float64, ok bool) {
	var times []float64
	deviation := 0.0
	machines := map[string]bool{}
	for _, o := range g.members {
		if o.machine == g.members[i].machine {
			continue
		}
		mc := m.fleet.known(o.machine)
		if mc == nil {
			continue
		}
		times = append(times, of(o)-math.Log2(mc.lasting))
		deviation += mc.deviation
		machines[o.machine] = true
	}
	if len(times) == 0 {
		return 0, 0, false
	}
	slices.Sort(times)
	median = (times[(len(times)-1)/2] + times[len(times)/2]) / 2
	return median, deviation / float64(len(times)) / math.Sqrt(float64(len(machines))), true
}

// compareMembers tells the lasting speeds of the machines of a gang from the times of its members, once.
func (m *Model) compareMembers(now time.Duration, name string) {
	g := m.gangs[name]
	if g == nil || g.compared {
		return
	}
	g.compared = true
	type observation struct{ x, spread float64 }
	observed := make([]observation, len(g.members))
	for i, o := range g.members {
		if median, spread, ok := m.reference(g, i, func(m member) float64 { return m.whole }); ok {
			observed[i] = observation{o.whole - median, math.Hypot(spread, math.Hypot(minSpread, o.rounding))}
		}
	}
	for i, o := range g.members {
		if observed[i].spread > 0 {
			m.fleet.observe(now, o.machine, min(max(observed[i].x, -RatioRange), RatioRange), observed[i].spread)
		}
	}
}

// ForgetGang drops the progress of a gang, which has ended or was stopped.
func (m *Model) ForgetGang(name string) { delete(m.gangs, name) }
