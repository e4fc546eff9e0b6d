package dispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"agatewinch/internal/core/job"
)

// fullFleet runs urgent work on all of two workers, so that jobs of other priorities wait in their order.
func fullFleet(t *testing.T) *harness {
	t.Helper()
	h := newHarness(t)
	h.core.SetWorkers(h.clock(), h.fleet(2, whole))
	h.add(single("urgent", urgentPriority, 2, whole))
	h.accept()
	return h
}

// of adds a job of an organisation that needs n tasks of a whole worker each.
func (h *harness) of(org, id string, n int) {
	j := single(id, 2, n, whole)
	j.Org = org
	h.add(j)
}

// order returns the IDs of the waiting jobs in scheduling order.
func (h *harness) order() (ids []string) {
	for _, s := range h.core.readySteps(h.clock()) {
		ids = append(ids, s.job.spec.ID)
	}
	return ids
}

func TestSmallJobComesBeforeALargeOneThatArrivedShortlyBefore(t *testing.T) {
	h := fullFleet(t)
	h.of("a", "large", 10)
	h.of("b", "small", 1)
	assert.DeepEqual(t, h.order(), []string{"small", "large"})
}

// Guards against large jobs that never run because small ones keep arriving.
func TestLargeJobIsNotOvertakenForGood(t *testing.T) {
	h := fullFleet(t)
	h.of("a", "large", 10) // 25 s of the fleet
	for i := range 40 {
		h.now += time.Second
		h.of("b", fmt.Sprintf("small-%02d", i), 1)
	}
	order := h.order()
	assert.Equal(t, order[0], "small-00")
	assert.Assert(t, order[len(order)-1] != "large", "%v", order)
}

// An organisation with a few jobs does not wait for all those of one with many.
func TestOrganisationsTakeTurns(t *testing.T) {
	h := fullFleet(t)
	for i := range 5 {
		h.of("many", fmt.Sprintf("many-%d", i), 2)
	}
	h.of("few", "few-0", 2)
	order := h.order()
	assert.Assert(t, order[1] == "few-0" || order[2] == "few-0", "%v", order)
}

// Jobs that are alike, of organisations that are alike, go by arrival.
func TestEqualJobsGoByArrival(t *testing.T) {
	h := fullFleet(t)
	var want []string
	for i := range 6 {
		h.now += 100 * time.Millisecond
		id := fmt.Sprintf("job-%d", i)
		h.of(fmt.Sprint(i), id, 1)
		want = append(want, id)
	}
	assert.DeepEqual(t, h.order(), want)
}

// A new leader computes the finish times from when the jobs were accepted.
func TestOrderIsKeptAcrossATakeover(t *testing.T) {
	h := fullFleet(t)
	h.of("a", "large", 10)
	h.now += 40 * time.Second
	next := newHarness(t)
	next.now = h.now
	next.core.SetWorkers(next.clock(), next.fleet(2, whole))
	for _, id := range []string{"urgent", "large"} {
		next.core.AddJob(next.clock(), h.core.jobs[id].spec, nil)
	}
	small := single("small", 2, 1, whole)
	small.Org, small.AcceptedMs = "b", next.now.Milliseconds()
	next.core.AddJob(next.clock(), small, nil)
	assert.DeepEqual(t, next.order()[1:], []string{"large", "small"})
}

func TestUrgentJobsKeepTheOrderOfTheirGuarantees(t *testing.T) {
	h := fullFleet(t)
	for _, n := range []int{9, 1} {
		j := single(fmt.Sprintf("urgent-%d", n), urgentPriority, n, whole)
		h.add(j)
	}
	assert.DeepEqual(t, h.order(), []string{"urgent-9", "urgent-1"})
}

// Jobs that can only end when they are of no use any more leave the workers to others of their priority,
// but run once these have.
func TestUselessJobsGoLastButRun(t *testing.T) {
	h := newHarness(t)
	h.now = time.Minute // both jobs have an objective of 16 s and are of use for 48 s
	h.core.SetWorkers(h.clock(), h.fleet(1, whole))
	for id, acceptedMs := range map[string]int64{"useless": 1, "useful": 50_000} {
		j := single(id, 2, 1, whole)
		j.AcceptedMs = acceptedMs
		h.core.AddJob(h.clock(), j, nil)
	}
	assert.DeepEqual(t, h.order(), []string{"useful", "useless"})
	h.flush()
	h.endRun(h.accept()[0], job.EndDone)
	assert.Equal(t, h.accept()[0].Task.Job, "useless")
}

func TestJobsWithoutAnObjectiveStayUseful(t *testing.T) {
	h := newHarness(t)
	h.now = time.Hour
	j := single("j", 2, 1, whole)
	j.Stretch, j.AcceptedMs = 0, 1
	h.core.AddJob(h.clock(), j, nil)
	s := h.core.readySteps(h.clock())[0]
	assert.Equal(t, h.core.uselessRank(h.clock(), s), 0)
}

// Within an organisation, a zone whose callers submit little does not wait for all the work of one whose
// callers submit much.
func TestZonesOfAnOrganisationTakeTurns(t *testing.T) {
	h := fullFleet(t)
	in := func(zone, id string) {
		j := single(id, 2, 2, whole)
		j.Zone = zone
		h.add(j)
	}
	for i := range 5 {
		in("z1", fmt.Sprintf("many-%d", i))
	}
	in("z2", "few-0")
	order := h.order()
	assert.Assert(t, slices.Index(order, "few-0") <= 2, "%v", order)
}

// Who returns after a refusal does not queue behind those who came meanwhile.
func TestJobThatWasRefusedBeforeKeepsItsPlace(t *testing.T) {
	h := fullFleet(t)
	h.now += 20 * time.Second
	h.of("a", "newcomer", 2)
	returns := single("returns", 2, 2, whole)
	returns.Org, returns.FirstRefusedMs = "b", h.now.Milliseconds()-15_000
	h.add(returns)
	assert.DeepEqual(t, h.order(), []string{"returns", "newcomer"})
}
