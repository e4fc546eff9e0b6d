package scheduler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"agatewinch/internal/core"
	"agatewinch/internal/metrics"
	"agatewinch/internal/wire"
)

func healthOf(t *testing.T, n *node, worker core.WorkerID) core.WorkerHealth {
	t.Helper()
	reply, err := n.handleStatus(t.Context(), wire.Empty{})
	assert.NilError(t, err)
	for _, w := range reply.Workers {
		if w.Worker == worker {
			return w.Health
		}
	}
	return ""
}

func TestDrainMarkOutlivesAChangeOfTheActiveScheduler(t *testing.T) {
	c := newCluster(t)
	first := c.start("h1")
	c.waitServing(first)
	second := c.start("h2")
	for _, n := range []*node{first, second} {
		_, err := n.handleDrain(t.Context(), wire.Drain{Worker: "w1"})
		assert.NilError(t, err)
	}
	c.eventually("w1 counts as leaving", func() bool { return healthOf(t, first, "w1") == core.WorkerLeaving })
	first.kill()
	c.waitActive(second)
	c.eventually("w1 counts as leaving under the new leader", func() bool { return healthOf(t, second, "w1") == core.WorkerLeaving })
	c.eventually("w2 does not count as leaving under the new leader", func() bool { return healthOf(t, second, "w2") == core.WorkerLive })
	_, err := second.handleDrain(t.Context(), wire.Drain{Worker: "w1", Undo: true})
	assert.NilError(t, err)
	c.eventually("w1 is live again", func() bool { return healthOf(t, second, "w1") == core.WorkerLive })
}

func TestEachTimeOfAJobIsMeasuredOnce(t *testing.T) {
	c := newCluster(t)
	n := c.start("h1")
	c.waitServing(n)
	req := submission("r1", false, false)
	_, err := n.submit(t, req)
	assert.NilError(t, err)
	c.eventually("both tasks started", func() bool { return c.backend.startsOf(req.Job.ID) == 2 })
	c.backend.finishAll()
	_, err = n.handleWait(t.Context(), wire.Wait{Job: req.Job.ID, Wait: 20 * time.Second})
	assert.NilError(t, err)
	counts := map[metrics.Measure]int64{}
	reply, err := n.handleStatus(t.Context(), wire.Empty{})
	assert.NilError(t, err)
	for _, row := range reply.Metrics {
		assert.Equal(t, row.Organisation+"/"+row.Class, "haneul/check")
		counts[row.Measure] = row.All.Count
	}
	assert.DeepEqual(t, counts, map[metrics.Measure]int64{metrics.Wait: 1, metrics.Start: 1, metrics.Completion: 1})
}
