package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"

	"agatewinch/internal/api"
	"agatewinch/internal/bench"
	"agatewinch/internal/core"
	"agatewinch/internal/standin"
	"agatewinch/internal/wire"
)

// The measured roles.
const (
	RoleActive  = "active scheduler"
	RoleStandby = "standby scheduler"
	RoleGate    = "gate"
)

const (
	maxSubmitters = 32
	jobRunTime    = time.Hour
	settleTime    = 5 * time.Second
	readyTimeout  = 20 * time.Second
	pollInterval  = 200 * time.Millisecond
)

// Run measures one step on running processes.
type Run struct {
	Step    Step
	Cluster bench.Cluster
	// Window is the time over which costs are measured.
	Window time.Duration
	http   http.Client
}

// NewRun returns a run of step. The files of its cluster are below dir.
func NewRun(dir string, step Step, firstPort int, window time.Duration) *Run {
	return &Run{Step: step, Window: window, Cluster: bench.Cluster{
		Dir: dir, ConfigDir: filepath.Join(dir, "config"), Policy: string(core.PolicyGuaranteed),
		FirstPort: firstPort, HostZones: step.hostZones(), LeaseTTL: LeaseTTL,
	}}
}

// LeaseTTL is the lease TTL of the measured clusters.
const LeaseTTL = 30 * time.Second

// Write writes the configuration and the settings of every process.
func (r *Run) Write() error {
	if err := bench.WriteConfig(r.Cluster.ConfigDir, r.Step.Set()); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(r.Cluster.Write())
}

// Measure applies the configuration, submits the load and measures costs over the window. It
// returns one point for each measured role. The process IDs are read from NAME.pid files in the
// directory of the settings.
func (r *Run) Measure(ctx context.Context) ([]Point, error) {
	set := r.Step.Set()
	base, err := r.apply(ctx, api.ApplyRequest{Set: set})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	active, err := r.waitReady(ctx)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if err := r.submitLoad(ctx); err != nil {
		return nil, trace.Wrap(err)
	}
	sleep(ctx, settleTime)
	// The difference of two consecutive readings is the traffic of reading the counters.
	first, err := r.usages(ctx, active)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	before, err := r.usages(ctx, active)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	began := time.Now()
	if err := r.applyChanges(ctx, base); err != nil {
		return nil, trace.Wrap(err)
	}
	sleep(ctx, r.Window-time.Since(began))
	window := time.Since(began)
	after, err := r.usages(ctx, active)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	var points []Point
	for role, u := range after {
		rates := RatesBetween(before[role], u, Overhead(first[role], before[role]), window)
		points = append(points, Point{Factor: r.Step.Factor, Sizes: r.Step.Sizes, Role: role, Rates: rates})
	}
	return points, nil
}

func (r *Run) call(ctx context.Context, org, method, path string, in, out any) error {
	c := api.Client{BaseURL: "http://" + r.Cluster.GateAddr(0), Key: bench.Key(org), HTTP: &r.http}
	return trace.Wrap(c.Call(ctx, method, path, in, out))
}

func (r *Run) apply(ctx context.Context, req api.ApplyRequest) (core.Generation, error) {
	var answer api.ApplyAnswer
	err := r.call(ctx, "", http.MethodPut, api.PathConfig, req, &answer)
	return answer.Generation, trace.Wrap(err)
}

// applyChanges applies changed configurations for the window, at the step's rate of changes.
// Below one change per second it does nothing.
func (r *Run) applyChanges(ctx context.Context, base core.Generation) error {
	rate := r.Step.Sizes[Changes]
	if rate < 1 {
		return nil
	}
	set := r.Step.Set()
	began := time.Now()
	for i := 0; time.Since(began) < r.Window; i++ {
		set.Organisations[0].Weight = 1 + i%2
		gen, err := r.apply(ctx, api.ApplyRequest{Base: base, Set: set})
		if err != nil {
			return trace.Wrap(err)
		}
		base = gen
		sleep(ctx, time.Until(began.Add(time.Duration(float64(i+1)/rate*float64(time.Second)))))
	}
	return nil
}

// waitReady waits until the measured zone has an active scheduler that sees all workers as live.
// It returns the index of that scheduler's entry host, or an error after readyTimeout.
func (r *Run) waitReady(ctx context.Context) (int, error) {
	deadline := time.Now().Add(readyTimeout)
	for time.Now().Before(deadline) {
		var status api.StatusAnswer
		err := r.call(ctx, "", http.MethodGet, api.PathStatus, nil, &status)
		if i := activeHostIndex(status.Schedulers, int(r.Step.Sizes[Workers])); err == nil && i >= 0 {
			return i, nil
		}
		sleep(ctx, pollInterval)
	}
	return 0, trace.LimitExceeded("no active scheduler in the measured zone sees all workers after %v", readyTimeout)
}

// activeHostIndex returns the index of the entry host whose scheduler is active in the measured
// zone and sees at least the given number of live workers, or -1 if there is none.
func activeHostIndex(all []wire.StatusReply, workers int) int {
	for _, s := range all {
		if !s.Active || s.Zone != firstZone || countLive(s.Workers) < workers {
			continue
		}
		n, err := strconv.Atoi(strings.TrimPrefix(s.Host, "entry-"))
		if err == nil {
			return n - 1
		}
	}
	return -1
}

func countLive(workers []wire.WorkerStatus) int {
	n := 0
	for _, w := range workers {
		if w.Health == core.WorkerLive {
			n++
		}
	}
	return n
}

// submitLoad submits the jobs that run, and after settleTime the jobs that wait.
func (r *Run) submitLoad(ctx context.Context) error {
	size := 1
	if r.Step.Filled {
		size = 8
	}
	if err := r.submit(ctx, "run", int(r.Step.Sizes[Running]), size); err != nil {
		return trace.Wrap(err)
	}
	sleep(ctx, settleTime)
	return trace.Wrap(r.submit(ctx, "wait", int(r.Step.Sizes[Waiting]), 8))
}

func (r *Run) submit(ctx context.Context, prefix string, n, cellSize int) error {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxSubmitters)
	payload, _ := json.Marshal(standin.Behaviour{RunSeconds: jobRunTime.Seconds()})
	for i := range n {
		group.Go(func() error {
			req := api.SubmitRequest{
				RequestID: fmt.Sprintf("%s-%d", prefix, i), Caller: "load", Class: "long", Idempotent: true, DeclaredRunSeconds: jobRunTime.Seconds(),
				Shape: core.Shape{Cells: 1, CellSize: cellSize, CPU: 1, MemoryBytes: 1 << 28}, Payload: payload,
			}
			var answer api.JobAnswer
			return r.call(ctx, OrgName(i%int(r.Step.Sizes[Orgs])), http.MethodPost, api.PathJobs, req, &answer)
		})
	}
	return trace.Wrap(group.Wait())
}

// usages reads the usage of the active scheduler on host active, of the standby scheduler, and of
// the first host's gate. Only the first two entry hosts are in the measured zone, so active is 0
// or 1 and the other host has the standby scheduler.
func (r *Run) usages(ctx context.Context, active int) (map[string]Usage, error) {
	all := map[string]Usage{}
	for role, p := range map[string]struct{ name, addr string }{
		RoleActive:  {fmt.Sprintf("scheduler-%d", active+1), r.Cluster.SchedulerAddr(active)},
		RoleStandby: {fmt.Sprintf("scheduler-%d", 2-active), r.Cluster.SchedulerAddr(1 - active)},
		RoleGate:    {"gate-1", r.Cluster.GateAddr(0)},
	} {
		pid, err := readPID(filepath.Join(r.Cluster.Dir, p.name+".pid"))
		if err != nil {
			return nil, trace.Wrap(err)
		}
		vars := url.URL{Scheme: "http", Host: p.addr, Path: "/debug/vars"}
		if all[role], err = ReadUsage(ctx, pid, vars.String(), bench.Key("")); err != nil {
			return nil, trace.Wrap(err)
		}
	}
	return all, nil
}

func readPID(path string) (int, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return 0, trace.ConvertSystemError(err)
	}
	pid, err := strconv.Atoi(strings.TrimSpace(string(data)))
	return pid, trace.Wrap(err)
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
