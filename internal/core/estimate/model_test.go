package estimate

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var build = Kind{Org: "org", Queue: "build", Size: 2}

const declared = 10 * time.Second

func times(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}

func near(t *testing.T, got, want, tolerance float64) {
	t.Helper()
	assert.Assert(t, math.Abs(got-want) <= tolerance*want, "got %.3f, want %.3f", got, want)
}

func TestDeclaredTimeHoldsWhileNothingIsKnown(t *testing.T) {
	m := NewModel(2 * time.Second)
	assert.Equal(t, m.RunTime(build, declared, 0.5), declared)
	assert.Equal(t, m.RunTime(build, 0, 0.9), time.Duration(0))
	assert.Equal(t, m.Slowdown(0, "m"), 1.0)
	m.ObserveEnd(0, build, "m", declared, 5*declared)
	assert.Equal(t, m.RunTime(build, declared, 0.5), declared, "one run says little about its kind")
}

// One site's tail is three in a hundred runs at seven times the usual time.
func TestTailOfRunTimesIsKnownBesideTheMedian(t *testing.T) {
	m := NewModel(2 * time.Second)
	for i := range 400 {
		ran := declared / 2
		if i%33 == 0 {
			ran = 7 * declared / 2
		}
		m.ObserveEnd(0, build, fmt.Sprint("m", i), declared, ran)
	}
	near(t, m.RunTime(build, declared, 0.5).Seconds(), 5, 0.03)
	near(t, m.RunTime(build, declared, 0.98).Seconds(), 35, 0.03)
	r, ok := m.RunTimes(build, declared)
	assert.Assert(t, ok)
	near(t, r.Risk(6*time.Second), 0.03, 0.4)
	near(t, r.Remaining(0).Seconds(), 5, 0.03)
	near(t, r.Remaining(6*time.Second).Seconds(), 29, 0.03)
	near(t, r.Remaining(50*time.Second).Seconds(), 5, 0.03)
}

func TestKindOfFewRunsSharesTheDistributionOfACoarserOne(t *testing.T) {
	m := NewModel(2 * time.Second)
	other := build
	other.Org = "other"
	for i := range 100 {
		m.ObserveEnd(0, build, fmt.Sprint("m", i), declared, 2*declared)
	}
	near(t, m.RunTime(other, declared, 0.5).Seconds(), 20, 0.03)
	for i := range 100 {
		m.ObserveEnd(0, other, fmt.Sprint("m", i), declared, declared/2)
	}
	near(t, m.RunTime(other, declared, 0.5).Seconds(), 5, 0.03)
	near(t, m.RunTime(build, declared, 0.5).Seconds(), 20, 0.03)
}

// play observes runs of single tasks on a fleet of 48 machines of which every third takes 1.6 times as
// long, while the times that callers declare are off by a third.
func play(m *Model, runs int) {
	rng := rand.New(rand.NewPCG(1, 2))
	for i := range runs {
		n := rng.IntN(48)
		off := 1 + (2*rng.Float64()-1)/3
		m.ObserveEnd(time.Duration(i)*10*time.Millisecond, build, fmt.Sprint("m", n), declared, times(declared, slowdownOf(n)/off))
	}
}

func slowdownOf(n int) float64 {
	if n%3 == 0 {
		return 1.6
	}
	return 1
}

// playGangs observes gangs of three members on the same fleet, whose declared times are off by up to nine
// tenths. Each member reports its progress once, and the slowest ends the gang.
func playGangs(m *Model, gangs int) {
	rng := rand.New(rand.NewPCG(1, 2))
	for i := range gangs {
		start := time.Duration(i) * 20 * time.Millisecond
		took, slowest := times(declared, 1/(1+0.9*(2*rng.Float64()-1))), 0.0
		var ids []string
		for _, n := range rng.Perm(48)[:3] {
			ids = append(ids, fmt.Sprint("m", n))
			slowest = max(slowest, slowdownOf(n))
			percent := int(100 * float64(2*time.Second) / float64(took) / slowdownOf(n))
			m.ObserveProgress(start+2*time.Second, ids[len(ids)-1], Progress{Run: fmt.Sprint(i, n), Kind: build, Declared: declared, Percent: percent, StartedAt: start, Group: fmt.Sprint(i), Gang: true, Members: 3})
		}
		m.Observe(start+took, End{Kind: build, Declared: declared, Ran: times(took, slowest), Group: fmt.Sprint(i), Gang: true, Machines: ids})
	}
}

func meanSlowdowns(m *Model) (slow, other float64) {
	for n := range 48 {
		if s := m.LastingSlowdown(fmt.Sprint("m", n)); n%3 == 0 {
			slow += s / 16
		} else {
			other += s / 32
		}
	}
	return slow, other
}

func TestLastingSpeedsAreLearnedFromEnds(t *testing.T) {
	m := NewModel(2 * time.Second)
	play(m, 600)
	slow, other := meanSlowdowns(m)
	near(t, slow/other, 1.6, 0.1)
}

// The members of a gang have the same work, so that their progress tells the speeds of their machines
// even where the declared times say little.
func TestLastingSpeedsAreLearnedFromTheMembersOfGangs(t *testing.T) {
	m := NewModel(2 * time.Second)
	playGangs(m, 100)
	slow, other := meanSlowdowns(m)
	near(t, slow/other, 1.6, 0.1)
	assert.Equal(t, len(m.groups), 0)
}

// The tasks of a step share the error of their declared time, which must not count once for each of them.
func TestStepWithAnErrorInItsDeclaredTimeDoesNotBrandMachines(t *testing.T) {
	m := NewModel(2 * time.Second)
	play(m, 600)
	for n := range 12 {
		for i := range 3 {
			m.ObserveProgress(8*time.Second, fmt.Sprint("m", n), Progress{Run: fmt.Sprint(n, i), Kind: build, Declared: declared, Percent: 10, StartedAt: 6 * time.Second, Group: "step"})
		}
	}
	for n := range 12 {
		id := fmt.Sprint("m", n)
		assert.Assert(t, m.Slowdown(8*time.Second, id) < 1.3*m.LastingSlowdown(id), "%s: %.2f", id, m.Slowdown(8*time.Second, id))
	}
}

func TestOneLongRunDoesNotBrandAMachine(t *testing.T) {
	m := NewModel(2 * time.Second)
	play(m, 600)
	m.ObserveEnd(6*time.Second, build, "m1", declared, 7*declared)
	assert.Assert(t, m.Slowdown(6*time.Second, "m1") < 1.2, "%.2f", m.Slowdown(6*time.Second, "m1"))
}

// report reports the progress of a run of 10 s on a machine every two seconds, from start to end, during
// which it runs at the given share of its usual speed. It returns the progress at the end.
func report(m *Model, run string, start, from, until time.Duration, percent, speed float64) float64 {
	for now := from; now < until; {
		now += 2 * time.Second
		percent += 20 * speed
		m.ObserveProgress(now, "m", Progress{Run: run, Kind: build, Declared: declared, Percent: int(percent), StartedAt: start})
	}
	return percent
}

func TestSlowMachineIsFoundAndForgotten(t *testing.T) {
	m := NewModel(2 * time.Second)
	play(m, 600)
	p := report(m, "a", 0, 0, 4*time.Second, 0, 1)
	near(t, m.Slowdown(4*time.Second, "m"), 1, 0.25)
	p = report(m, "a", 0, 4*time.Second, 6*time.Second, p, 0.2)
	assert.Assert(t, m.Slowdown(6*time.Second, "m") > 2.5, "found by the first report: %.2f", m.Slowdown(6*time.Second, "m"))
	report(m, "a", 0, 6*time.Second, 8*time.Second, p, 1)
	near(t, m.Slowdown(8*time.Second, "m"), 1, 0.25)
	report(m, "a", 0, 8*time.Second, 10*time.Second, p, 0.2)
	near(t, m.Slowdown(time.Minute, "m"), 1, 0.25)
}

// A member that falls behind the others of its gang shows that its machine is slow, and theirs are not.
func TestSlowMemberOfAGangIsFoundByItsReports(t *testing.T) {
	m := NewModel(2 * time.Second)
	playGangs(m, 100)
	now := 10 * time.Second
	for n, percent := range []int{4, 20, 21, 20} {
		m.ObserveProgress(now, fmt.Sprint("m", 3*n), Progress{Run: fmt.Sprint("late", n), Kind: build, Declared: declared, Percent: percent, StartedAt: now - 2*time.Second, Group: "late", Gang: true, Members: 4})
	}
	m.ObserveProgress(now+2*time.Second, "m0", Progress{Run: "late0", Kind: build, Declared: declared, Percent: 8, StartedAt: now - 2*time.Second, Group: "late", Gang: true, Members: 4})
	assert.Assert(t, m.Slowdown(now+2*time.Second, "m0") > 2*m.LastingSlowdown("m0"), "%.2f", m.Slowdown(now, "m0"))
	near(t, m.Slowdown(now+2*time.Second, "m3"), m.LastingSlowdown("m3"), 0.2)
}

func TestSpeedOfAMachineIsKnownUnderItsNextWorker(t *testing.T) {
	m := NewModel(2 * time.Second)
	play(m, 600)
	before := m.LastingSlowdown("m3")
	m.Continue("m3", "n3")
	assert.Equal(t, m.LastingSlowdown("n3"), before)
	assert.Equal(t, m.LastingSlowdown("m3"), 1.0)
}

func TestMemoryIsBounded(t *testing.T) {
	m := NewModel(2 * time.Second)
	for i := range maxMachines + 100 {
		m.ObserveEnd(time.Duration(i), Kind{Org: fmt.Sprint(i)}, fmt.Sprint("m", i), declared, declared)
	}
	assert.Equal(t, len(m.fleet.machines), maxMachines)
	assert.Equal(t, len(m.distributions), maxDistributions)
}
