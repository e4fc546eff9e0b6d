package faults

import (
	"context"
	"flag"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"agatewinch/internal/core"
	"agatewinch/internal/errkind"
	"agatewinch/internal/event"
	"agatewinch/internal/standin"
	"agatewinch/test/harness"
	"agatewinch/test/knownred"
)

var outageFlag = flag.Duration("outage", 6*time.Second, "how long the log is down in TestIdempotentJobsKeepRunningDuringLogOutage; the performance target is defined for 1m")

const (
	// maxFailoverTime is the maximum time until a waiting gang starts after the active
	// scheduler is killed.
	maxFailoverTime = 5 * time.Second
	// minOutageRate is the minimum job rate while the log is down, as a fraction of the rate
	// before the outage.
	minOutageRate = 0.9
	jobTimeout    = 2 * time.Minute
)

func optionsForZones(n int) harness.Options {
	opts := harness.DefaultOptions()
	opts.Zones = opts.Zones[:n]
	return opts
}

// wholeZoneGang returns a gang that needs every accelerator of a zone.
func wholeZoneGang(opts harness.Options, name string, run time.Duration) harness.Work {
	return harness.Work{
		Name: name, Org: harness.OrgSurvey, Class: harness.ClassGang, RunTime: run, Idempotent: true,
		Shape: core.Shape{Cells: opts.WorkersPerZone, CellSize: 8, CPU: 1, MemoryBytes: 1 << 30},
	}
}

// awaitEntry waits for the first ledger entry of the given kind for a job and returns it.
func awaitEntry(t *testing.T, c *harness.Cluster, kind standin.EntryKind, job core.JobID) standin.Entry {
	t.Helper()
	deadline := time.Now().Add(jobTimeout)
	for time.Now().Before(deadline) {
		ledger, err := c.Admin.Ledger(t.Context(), 0)
		assert.NilError(t, err)
		for _, e := range ledger {
			if e.Kind == kind && e.Task.Job == job {
				return e
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	t.Fatalf("job %s: no ledger entry of kind %s within %v", job, kind, jobTimeout)
	return standin.Entry{}
}

func TestWaitingGangStartsAfterActiveSchedulerIsKilled(t *testing.T) {
	knownred.SkipIfListed(t)
	t.Parallel()
	opts := optionsForZones(1)
	c := harness.Start(t, opts)
	ctx, cancel := context.WithTimeout(t.Context(), jobTimeout)
	defer cancel()
	load := harness.NewLoad(harness.NewBalancer(ctx, c, 1))
	first := load.Submit(ctx, wholeZoneGang(opts, "first", 2*time.Second), 0)
	awaitEntry(t, c, standin.EntryStarted, first.ID())
	waiting := load.Submit(ctx, wholeZoneGang(opts, "waiting", 100*time.Millisecond), 0)
	for len(waiting.Calls()) == 0 || !waiting.Calls()[0].Accepted() {
		assert.NilError(t, ctx.Err())
		time.Sleep(10 * time.Millisecond)
	}
	active := c.Active(ctx, opts.Zones[0])
	assert.Assert(t, active != nil)
	active.Scheduler.Kill()
	killed := time.Now()
	started := awaitEntry(t, c, standin.EntryStarted, waiting.ID())
	took := time.Unix(0, started.Unix).Sub(killed)
	t.Logf("the waiting gang started %v after the kill", took)
	load.Wait()
	e := gather(t, c, load)
	report(t, e)
	if took > maxFailoverTime {
		t.Errorf("the waiting gang started %v after the kill, want at most %v", took, maxFailoverTime)
	}
}

func TestIdempotentJobsKeepRunningDuringLogOutage(t *testing.T) {
	knownred.SkipIfListed(t)
	c := harness.Start(t, optionsForZones(1))
	ctx, cancel := context.WithTimeout(t.Context(), 3**outageFlag+jobTimeout)
	defer cancel()
	load := harness.NewLoad(harness.NewBalancer(ctx, c, 1))
	var done atomic.Int64
	submitting, stop := context.WithCancel(ctx)
	work := harness.Mix()[0]
	var callers sync.WaitGroup
	for caller := range 8 {
		callers.Add(1)
		go func() {
			defer callers.Done()
			for n := 0; submitting.Err() == nil; n++ {
				load.Do(ctx, work, caller<<20+n)
				done.Add(1)
			}
		}()
	}
	count := func() int64 {
		before := done.Load()
		pause(ctx, *outageFlag)
		return done.Load() - before
	}
	pause(ctx, warmUp)
	before := count()
	assert.NilError(t, c.Admin.SetLogFaults(ctx, standin.LogFaults{Mode: standin.LogRefusing}))
	during := count()
	assert.NilError(t, c.Admin.SetLogFaults(ctx, harness.LogLimits()))
	stop()
	callers.Wait()
	t.Logf("in %v: %d jobs before the outage, %d during it", *outageFlag, before, during)
	report(t, gather(t, c, load))
	if float64(during) < minOutageRate*float64(before) {
		t.Errorf("only %d jobs ended during the log outage, %d in an equal time before it", during, before)
	}
}

// TestRollingRestartFailsNoRequest guards against calls that fail while all processes are restarted
// gracefully, one at a time, under load. A call that established no connection does not count as
// failed.
func TestRollingRestartFailsNoRequest(t *testing.T) {
	knownred.SkipIfListed(t)
	t.Parallel()
	c := harness.Start(t, optionsForZones(2))
	ctx, cancel := context.WithTimeout(t.Context(), 2*jobTimeout)
	defer cancel()
	load := harness.NewLoad(harness.NewBalancer(ctx, c, 1))
	submitting, stop := context.WithCancel(ctx)
	for _, w := range harness.Mix() {
		load.Repeat(submitting, ctx, w)
	}
	pause(ctx, warmUp)
	for _, h := range c.Hosts() {
		for _, p := range []*harness.Process{h.Gate, h.Scheduler} {
			p.Terminate()
			assert.NilError(t, p.AwaitExit(stopTimeout))
			assert.NilError(t, p.EnsureRunning())
		}
		c.AwaitReady(h)
	}
	pause(ctx, warmUp)
	stop()
	settleTimer := time.AfterFunc(settleTime, cancel)
	defer settleTimer.Stop()
	load.Wait()
	e := gather(t, c, load)
	report(t, e)
	failed := 0
	for _, r := range e.Requests {
		for _, call := range r.Calls() {
			if call.Status >= http.StatusBadRequest || call.Lost && call.Dialled {
				failed++
				if failed <= 10 {
					t.Logf("job %s: %s at %s: status %d, lost %v, %+v", r.ID(), call.Kind, call.Gate, call.Status, call.Lost, call.Answer.Error)
				}
			}
		}
	}
	t.Logf("%s; %d failed calls", e.summary(), failed)
	if failed > 0 {
		t.Errorf("%d calls failed during the rolling restart", failed)
	}
}

// TestFormerActiveSchedulerIsSafeBesideItsSuccessor guards against duplicate runs and partial
// gangs that a former active scheduler causes if it still acts after its successor has taken over.
// The active scheduler is paused for longer than its lease, so that the standby takes over, and
// resumes while its successor is active.
func TestFormerActiveSchedulerIsSafeBesideItsSuccessor(t *testing.T) {
	knownred.SkipIfListed(t)
	t.Parallel()
	opts := optionsForZones(1)
	zone := opts.Zones[0]
	runSchedule(t, opts, []Fault{
		{Kind: PauseActive, Zone: zone, At: 0, Duration: 2 * opts.LeaseTTL},
		{Kind: PauseActive, Zone: zone, At: 4 * opts.LeaseTTL, Duration: 2 * opts.LeaseTTL},
	})
}

// TestTwoActiveSchedulersAreSafe guards against lost jobs, duplicate runs and partial gangs while
// two schedulers of a zone are active. The schedulers are partitioned from each other while the log
// is down, so that neither can learn that the other is active too. The test also fails if they were
// never active at the same time.
func TestTwoActiveSchedulersAreSafe(t *testing.T) {
	knownred.SkipIfListed(t)
	t.Parallel()
	opts := optionsForZones(1)
	zone := opts.Zones[0]
	c := harness.Start(t, opts)
	runScheduleOn(t, c, []Fault{
		{Kind: LogDown, Zone: zone, At: 0, Duration: 5 * opts.LeaseTTL},
		{Kind: SchedulersPartitioned, Zone: zone, At: opts.LeaseTTL, Duration: 3 * opts.LeaseTTL},
	})
	var activations []activation
	for _, h := range c.Hosts() {
		lines, err := h.Scheduler.LogLines(event.SchedulerActive, event.SchedulerStandby)
		assert.NilError(t, err)
		activations = append(activations, activationsOf(lines)...)
	}
	t.Logf("activations: %+v", activations)
	assert.Assert(t, anyOverlap(activations), "the two schedulers were never active at the same time")
}

// activation is a period during which one process was the active scheduler. End is zero while
// the activation has not ended.
type activation struct {
	Term       core.Term
	Began, End time.Time
}

// activationsOf returns the activations in the log lines of a process.
func activationsOf(lines []harness.LogLine) []activation {
	var out []activation
	for _, l := range lines {
		switch {
		case l.Event == event.SchedulerActive.Number:
			out = append(out, activation{Term: l.Term, Began: l.Time})
		case len(out) > 0:
			out[len(out)-1].End = l.Time
		}
	}
	return out
}

func anyOverlap(activations []activation) bool {
	for n, a := range activations {
		for _, b := range activations[:n] {
			if a.Term != b.Term && a.beganBeforeEndOf(b) && b.beganBeforeEndOf(a) {
				return true
			}
		}
	}
	return false
}

func (a activation) beganBeforeEndOf(b activation) bool {
	return b.End.IsZero() || a.Began.Before(b.End)
}

func TestOverlapOfActivations(t *testing.T) {
	at := func(s int) time.Time { return time.Unix(int64(s), 0) }
	active, standby := event.SchedulerActive.Number, event.SchedulerStandby.Number
	former := []harness.LogLine{{Event: active, Term: 2, Time: at(1)}, {Event: standby, Term: 2, Time: at(9)}}
	for name, c := range map[string]struct {
		successor []harness.LogLine
		want      bool
	}{
		"the successor becomes active before the former one steps down": {[]harness.LogLine{{Event: active, Term: 3, Time: at(8)}}, true},
		"the successor becomes active after the former one steps down":  {[]harness.LogLine{{Event: active, Term: 3, Time: at(10)}}, false},
		"an earlier activation ended first":                             {[]harness.LogLine{{Event: active, Term: 1, Time: at(0)}, {Event: standby, Term: 1, Time: at(1)}}, false},
		"no other activation":                                           {nil, false},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, anyOverlap(append(activationsOf(former), activationsOf(c.successor)...)), c.want)
		})
	}
}

// runSchedule starts a cluster, runs a schedule on it under the mixed load and fails the test if
// there are findings.
func runSchedule(t *testing.T, opts harness.Options, schedule []Fault) Evidence {
	t.Helper()
	return runScheduleOn(t, harness.Start(t, opts), schedule)
}

func runScheduleOn(t *testing.T, c *harness.Cluster, schedule []Fault) Evidence {
	t.Helper()
	e := Run(t, c, schedule, 1, harness.Mix())
	t.Log(e.summary())
	report(t, e)
	return e
}

// TestOnlyOneOfConcurrentAppliesIsAccepted applies a configuration with the same base generation
// through every gate. All applies but one must fail with a conflict.
func TestOnlyOneOfConcurrentAppliesIsAccepted(t *testing.T) {
	knownred.SkipIfListed(t)
	t.Parallel()
	c := harness.Start(t, optionsForZones(2))
	ctx, cancel := context.WithTimeout(t.Context(), jobTimeout)
	defer cancel()
	base, err := c.Config(ctx, c.Hosts()[0])
	assert.NilError(t, err)
	accepted := 0
	results := make(chan error, len(c.Hosts()))
	for _, h := range c.Hosts() {
		go func() {
			_, err := c.Apply(ctx, h, base.Generation, c.Set)
			results <- err
		}()
	}
	for range c.Hosts() {
		switch err := <-results; {
		case err == nil:
			accepted++
		default:
			assert.Assert(t, errkind.Is(err, errkind.Conflict), "%v", err)
		}
	}
	assert.Equal(t, accepted, 1)
}
