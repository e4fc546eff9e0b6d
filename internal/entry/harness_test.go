package entry

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"agatewinch/internal/catalog"
	"agatewinch/internal/core/dispatch"
	"agatewinch/internal/core/job"
	"agatewinch/internal/sharedlog"
)

var queue = catalog.Queue{Name: "checks", Host: "a.example", Prefix: "/q/", Service: "service", Attempts: 3, Stretch: 1.5, Objective: time.Second}

// staticCatalog is a catalog source whose configuration never changes.
type staticCatalog struct{ sent atomic.Bool }

func (s *staticCatalog) EvacuatedZones() []string { return nil }

func (s *staticCatalog) Next(ctx context.Context, wait time.Duration) (*catalog.Catalog, error) {
	if s.sent.Swap(true) {
		sleep(ctx, wait)
		return nil, nil
	}
	c := &catalog.Catalog{Version: 1, Queues: []catalog.Queue{queue}, Organisations: []catalog.Organisation{{Name: "org", Keys: []string{"key"}, Accelerators: 8}}}
	return c.Index(), nil
}

// workers is a fake of all workers. It refuses calls with an epoch below the highest one seen and
// runs every task for workTime.
type workers struct {
	mu     sync.Mutex
	epoch  int64
	runs   map[string]execution
	ended  []dispatch.EndedRun
	starts []string
}

type execution struct {
	run       int
	startedAt time.Time
}

const workTime = 30 * time.Millisecond

func (w *workers) List(context.Context) ([]dispatch.WorkerInfo, error) {
	return []dispatch.WorkerInfo{{ID: "w0", Address: "192.0.2.1:1", Service: "service", Rack: "r0", Capacity: job.Resources{CPU: 64000, MemMB: 64000, Accelerators: 8}, Incarnation: 1, ClockMs: 1}}, nil
}

func (w *workers) fenced(epoch int64) bool {
	w.epoch = max(w.epoch, epoch)
	return epoch < w.epoch
}

func (w *workers) Start(_ context.Context, s dispatch.Start, epoch int64) dispatch.Outcome {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.fenced(epoch) {
		return dispatch.Fenced
	}
	w.runs[s.Task.String()] = execution{s.Run, time.Now()}
	w.starts = append(w.starts, s.Task.String())
	return dispatch.Accepted
}

func (w *workers) Stop(_ context.Context, _ dispatch.Stop, epoch int64) dispatch.Outcome {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.fenced(epoch) {
		return dispatch.Fenced
	}
	return dispatch.Accepted
}

func (w *workers) Pace(_ context.Context, _ dispatch.Pace, epoch int64) dispatch.Outcome {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.fenced(epoch) {
		return dispatch.Fenced
	}
	return dispatch.Accepted
}

func (w *workers) Probe(ctx context.Context, p dispatch.Probe, epoch int64) (dispatch.WorkerReport, dispatch.Outcome) {
	sleep(ctx, min(p.MaxWait, 10*time.Millisecond))
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.fenced(epoch) {
		return dispatch.WorkerReport{}, dispatch.Fenced
	}
	rep := dispatch.WorkerReport{Incarnation: 1, ClockMs: 1}
	for name, e := range w.runs {
		if time.Since(e.startedAt) > workTime {
			delete(w.runs, name)
			w.ended = append(w.ended, dispatch.EndedRun{Number: int64(len(w.ended) + 1), Task: name, Run: e.run, End: job.EndDone})
			continue
		}
		rep.Running = append(rep.Running, dispatch.RunInProgress{Task: name, Run: e.run, Percent: 1})
	}
	for _, e := range w.ended {
		if e.Number > p.Ack {
			rep.Ended = append(rep.Ended, e)
		}
	}
	return rep, dispatch.Accepted
}

func newHost(log sharedlog.Log, w *workers, name string) *Host {
	return New(Settings{Host: name, ConfigApplyTime: 2 * time.Second, ConfigApplyExtension: 5 * time.Second, MaxLeaseTTL: 10 * time.Second, MaxStopTime: 200 * time.Millisecond, EndedRetention: time.Minute, SpreadFactor: 3},
		Dependencies{Log: log, Catalog: &staticCatalog{}, WorkerList: w, Workers: w, Logger: logr.Discard()})
}

// run starts n hosts and stops them at the end of the test.
func run(t *testing.T, log sharedlog.Log, n int) ([]*Host, *workers) {
	t.Helper()
	return runWith(t, n, func(w *workers, name string) *Host { return newHost(log, w, name) })
}

func runWith(t *testing.T, n int, makeHost func(w *workers, name string) *Host) ([]*Host, *workers) {
	t.Helper()
	w := &workers{runs: map[string]execution{}}
	ctx, cancel := context.WithCancel(context.Background())
	var wait sync.WaitGroup
	var hosts []*Host
	for i := range n {
		h := makeHost(w, fmt.Sprintf("host-%d", i))
		hosts = append(hosts, h)
		wait.Go(func() { assert.Check(t, h.Run(ctx)) })
	}
	t.Cleanup(func() { cancel(); wait.Wait() })
	for _, h := range hosts {
		eventually(t, func() bool { return h.Ready() })
	}
	return hosts, w
}

func eventually(t *testing.T, f func() bool) {
	t.Helper()
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if f() {
			return
		}
	}
	t.Fatal("condition not met within 15 s")
}

func submission(id string) *job.Job {
	return &job.Job{ID: id, Payload: "text", Steps: []job.Step{{Count: 2, Need: job.Resources{CPU: 1000, MemMB: 1000, Accelerators: 1}, Estimate: workTime}}}
}
