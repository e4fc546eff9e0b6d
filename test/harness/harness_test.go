package harness

import (
	"context"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"agatewinch/internal/audit"
	"agatewinch/test/proxy"
)

func TestMain(m *testing.M) {
	code := m.Run()
	RemoveBinaries()
	os.Exit(code)
}

func TestClusterRunsEveryKindOfWorkWithoutFaults(t *testing.T) {
	opts := DefaultOptions()
	opts.Zones = opts.Zones[:1]
	opts.HostsPerZone = 1
	c := Start(t, opts)
	submitting, stop := context.WithTimeout(t.Context(), 2*time.Second)
	defer stop()
	driving, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	load := NewLoad(NewBalancer(driving, c, 1))
	for _, w := range Mix() {
		load.Repeat(submitting, driving, w)
	}
	load.Wait()
	var views []audit.CallerView
	for _, r := range load.Requests() {
		view := r.CallerView()
		assert.Assert(t, view.Succeeded, "job %s did not succeed: %+v", view.Job, r.Calls())
		views = append(views, view)
	}
	ledger, err := c.Admin.Ledger(t.Context(), 0)
	assert.NilError(t, err)
	report := audit.Compare(views, ledger, opts.LeaseTTL)
	assert.DeepEqual(t, report.Findings, []string(nil))
}

// TestLinkFaultsAffectOnlyTheSourceProcess guards against a fault on one gate's link to a scheduler
// that also affects the other gate, whose connections go through the same proxy.
func TestLinkFaultsAffectOnlyTheSourceProcess(t *testing.T) {
	opts := DefaultOptions()
	opts.Zones = opts.Zones[:2]
	opts.HostsPerZone = 1
	c := Start(t, opts)
	for _, l := range c.Links() {
		if l.From == c.Hosts()[0].Gate.Name && l.To == c.Hosts()[0].Scheduler.Name {
			l.Set(proxy.LinkFaults{Refuse: true})
		}
	}
	affected, err := c.Status(t.Context(), c.Hosts()[0])
	assert.NilError(t, err)
	assert.Equal(t, len(affected.Schedulers), 1)
	unaffected, err := c.Status(t.Context(), c.Hosts()[1])
	assert.NilError(t, err)
	assert.Equal(t, len(unaffected.Schedulers), 2)
}
