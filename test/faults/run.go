package faults

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"agatewinch/test/harness"
)

const (
	// warmUp is the time under load before the first fault and after the last.
	warmUp = time.Second
	// settleTime is the maximum time for accepted jobs to end after all faults are removed.
	settleTime = 40 * time.Second
)

// Run executes a schedule on a cluster under load and returns the evidence.
func Run(t testing.TB, c *harness.Cluster, schedule []Fault, seed uint64, mix []harness.Work) Evidence {
	t.Helper()
	ctx := context.Background()
	driving, stopDriving := context.WithTimeout(ctx, warmUp+scheduleLength(schedule)+stopTimeout+settleTime)
	defer stopDriving()
	submitting, stopSubmitting := context.WithCancel(driving)
	defer stopSubmitting()
	load := harness.NewLoad(harness.NewBalancer(driving, c, seed))
	operators := NewOperators(c)
	injector := NewInjector(driving, c, load, operators)
	operatorsDone := make(chan struct{})
	go func() {
		defer close(operatorsDone)
		operators.Run(submitting, driving)
	}()
	for _, w := range mix {
		load.Repeat(submitting, driving, w)
	}
	pause(driving, warmUp)
	injector.Run(driving, schedule)
	pause(driving, warmUp)
	stopSubmitting()
	settleTimer := time.AfterFunc(settleTime, stopDriving)
	load.Wait()
	settleTimer.Stop()
	stopDriving()
	<-operatorsDone
	e := gather(t, c, load)
	e.Applies, e.Samples = operators.Recorded()
	e.Outages, e.Terminations = injector.Recorded()
	return e
}

// gather collects the requests with their responses and the ledger of what ran.
func gather(t testing.TB, c *harness.Cluster, load *harness.Load) Evidence {
	t.Helper()
	ledger, err := c.Admin.Ledger(context.Background(), 0)
	assert.NilError(t, err)
	return Evidence{Requests: load.Requests(), Ledger: ledger, LeaseTTL: c.Opts.LeaseTTL}
}

// RunSeed generates the schedule of a seed, runs it and fails the test if there are findings.
func RunSeed(t *testing.T, seed uint64) {
	t.Helper()
	opts := harness.DefaultOptions()
	schedule := GenerateSchedule(seed, opts)
	evidence := Run(t, harness.Start(t, opts), schedule, seed, harness.Mix())
	t.Logf("seed %d: %s", seed, evidence.summary())
	report(t, evidence)
}

// report fails the test if there are findings, and prints a limited number of them.
func report(t testing.TB, e Evidence) {
	const maxShown = 8
	findings := e.Findings()
	for n, f := range findings {
		if n == maxShown {
			t.Errorf("%d more findings are not shown", len(findings)-maxShown)
			return
		}
		t.Errorf("%s\n%s", f, e.trace(f))
	}
}

// scheduleLength returns the time at which the last fault of a schedule ends.
func scheduleLength(schedule []Fault) time.Duration {
	var end time.Duration
	for _, f := range schedule {
		end = max(end, f.At+f.Duration)
	}
	return end
}
