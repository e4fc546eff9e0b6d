// Package failover contains benchmarks with real processes: the time until a zone serves
// again after its active scheduler was killed, the rate of jobs during an outage of the
// log, and the traffic of an idle scheduler.
package failover

import (
	"context"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"agatewinch/internal/core"
	"agatewinch/internal/standin"
	"agatewinch/test/harness"
)

func TestMain(m *testing.M) {
	code := m.Run()
	harness.RemoveBinaries()
	os.Exit(code)
}

const (
	zone = "nabua"
	// runningGangTime is the run time of the running gang. The waiting gang cannot start before
	// the running one ends.
	runningGangTime = time.Second
	waitTimeout     = 30 * time.Second
	pollInterval    = 10 * time.Millisecond
)

func gang(name string, run time.Duration) harness.Work {
	return harness.Work{
		Name: name, Org: harness.OrgSurvey, Class: harness.ClassGang, RunTime: run,
		Shape: core.Shape{Cells: 2, CellSize: 8, CPU: 1, MemoryBytes: 1 << 30},
	}
}

// BenchmarkFailover kills the active scheduler while one gang runs and another waits for
// the same workers. It reports the time from the kill until a standby serves and until the
// waiting gang starts. The waiting gang cannot start before the running one ends.
func BenchmarkFailover(b *testing.B) {
	opts := harness.Options{Zones: []string{zone}, HostsPerZone: 2, WorkersPerZone: 2, LeaseTTL: 2 * time.Second, ReserveTTL: time.Second}
	c := harness.Start(b, opts)
	ctx, cancel := context.WithCancel(b.Context())
	defer cancel()
	load := harness.NewLoad(harness.NewBalancer(ctx, c, 1))
	var serving, started time.Duration
	n := 0
	for b.Loop() {
		n++
		running := load.Submit(ctx, gang("running", runningGangTime), n)
		awaitStart(b, c, running.ID())
		waiting := load.Submit(ctx, gang("waiting", pollInterval), n)
		await(b, "the waiting gang is accepted", func() bool { return accepted(waiting) })
		active := c.Active(ctx, zone)
		assert.Assert(b, active != nil)
		killed := time.Now()
		active.Scheduler.Kill()
		await(b, "a standby serves", func() bool {
			next := c.Active(ctx, zone)
			return next != nil && next != active
		})
		serving += time.Since(killed)
		started += awaitStart(b, c, waiting.ID()).Sub(killed)
		assert.NilError(b, active.Scheduler.Start())
	}
	cancel()
	load.Wait()
	b.ReportMetric(serving.Seconds()/float64(n), "s/serving")
	b.ReportMetric(started.Seconds()/float64(n), "s/gang_started")
}

// accepted reports whether any call of the request was accepted.
func accepted(r *harness.Request) bool {
	for _, call := range r.Calls() {
		if call.Accepted() {
			return true
		}
	}
	return false
}

// awaitStart waits until the ledger contains a start of one of the job's tasks, and returns
// the time of the first.
func awaitStart(b *testing.B, c *harness.Cluster, id core.JobID) time.Time {
	b.Helper()
	var at time.Time
	await(b, "a task of the job starts", func() bool {
		ledger, err := c.Admin.Ledger(b.Context(), 0)
		assert.NilError(b, err)
		for _, e := range ledger {
			if e.Kind == standin.EntryStarted && e.Task.Job == id {
				at = time.Unix(0, e.Unix)
				return true
			}
		}
		return false
	})
	return at
}

// await polls cond until it holds, and fails the benchmark after waitTimeout. The string what
// describes the condition in the failure message.
func await(b *testing.B, what string, cond func() bool) {
	b.Helper()
	for end := time.Now().Add(waitTimeout); !cond(); time.Sleep(pollInterval) {
		assert.Assert(b, time.Now().Before(end), "timed out waiting until %s", what)
	}
}
