package failover

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"agatewinch/internal/core"
	"agatewinch/internal/standin"
	"agatewinch/test/harness"
)

const (
	checkStreams  = 8
	checkRunTime  = 50 * time.Millisecond
	checkInterval = 60 * time.Millisecond
)

// BenchmarkLogOutage reports the rate at which idempotent jobs succeed while their callers wait
// for the result: before, during and after a log outage of one minute.
func BenchmarkLogOutage(b *testing.B) {
	const before, outage, after = 15 * time.Second, time.Minute, 15 * time.Second
	opts := harness.Options{Zones: []string{zone}, HostsPerZone: 2, WorkersPerZone: 4, LeaseTTL: 2 * time.Second, ReserveTTL: time.Second}
	c := harness.Start(b, opts)
	ctx, cancel := context.WithCancel(b.Context())
	defer cancel()
	submitting, stop := context.WithCancel(ctx)
	defer stop()
	load := harness.NewLoad(harness.NewBalancer(ctx, c, 1))
	for n := range checkStreams {
		load.Repeat(submitting, ctx, harness.Work{
			Name: "check" + string(rune('a'+n)), Org: harness.OrgTesting, Class: harness.ClassCheck, Every: checkInterval, RunTime: checkRunTime,
			Shape: core.Shape{Cells: 1, CellSize: 1, CPU: 1, MemoryBytes: 1 << 30}, Idempotent: true, Wait: 5 * time.Second,
		})
	}
	for b.Loop() {
		time.Sleep(2 * time.Second)
		upRate := measureRate(load, before)
		assert.NilError(b, c.Admin.SetLogFaults(ctx, standin.LogFaults{Mode: standin.LogRefusing}))
		downRate := measureRate(load, outage)
		assert.NilError(b, c.Admin.SetLogFaults(ctx, harness.LogLimits()))
		afterRate := measureRate(load, after)
		b.ReportMetric(upRate, "jobs/s_up")
		b.ReportMetric(downRate, "jobs/s_down")
		b.ReportMetric(afterRate, "jobs/s_after")
	}
	stop()
	load.Wait()
}

// measureRate waits for a duration and returns the number of jobs per second that succeeded
// during it.
func measureRate(load *harness.Load, duration time.Duration) float64 {
	start := time.Now()
	time.Sleep(duration)
	n := 0
	for _, r := range load.Requests() {
		for _, call := range r.Calls() {
			if call.Returned.After(start) && !call.Lost && call.Answer.State == core.Succeeded {
				n++
				break
			}
		}
	}
	return float64(n) / time.Since(start).Seconds()
}
