// Package hostile_test runs one entry host as a real process and lets a crowd of clients hold
// requests and connections open on it. The tests check nothing that depends on the speed of the
// machine: the process lives, its memory and descriptors stay below the limits of its settings, an
// ordinary request is answered while the crowd holds on, and refusals are true.
package hostile_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"agatewinch/internal/core/job"
	"agatewinch/platform/standin"
	"agatewinch/test/harness"
	"agatewinch/test/knownred"
)

const (
	// memoryMB and maxDescriptors are the limits in the host's settings, and the bounds of every
	// test. crowdSize connections are more than the host may have descriptors.
	memoryMB       = 64
	maxDescriptors = 300
	crowdSize      = 400
	// bodyLimit is the limit of a body in the operators' configuration.
	bodyLimit = 262144
	// patience is how long an ordinary caller repeats a request that is refused.
	patience    = time.Minute
	retryDelay  = 100 * time.Millisecond
	sampleDelay = 20 * time.Millisecond
	key         = "key"
	hostHeader  = "jobs.example"
)

func TestMain(m *testing.M) {
	code := m.Run()
	harness.RemoveBinaries()
	os.Exit(code)
}

// site is one entry host with its platform.
type site struct {
	t              *testing.T
	audit          *standin.Audit
	process        *harness.Process
	callers, peers string
	pid            int
	// memoryMB and maxDescriptors are the bounds.
	memoryMB, maxDescriptors int
	mu                       sync.Mutex
	highestDescriptors       int
}

func serve(t *testing.T, address string, h http.Handler) {
	t.Helper()
	l, err := net.Listen("tcp", address)
	assert.NilError(t, err)
	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(l) }() // returns when server is closed
	t.Cleanup(func() { _ = server.Close() })
}

// newSite starts a platform with one worker, and a host whose settings give it little memory and few
// descriptors. It returns once the host has accepted a job.
func newSite(t *testing.T) *site {
	t.Helper()
	knownred.SkipIfListed(t)
	ports := harness.ReservePorts(t)
	s := &site{t: t, audit: standin.NewAudit(), callers: ports.Addr(t, 1), peers: ports.Addr(t, 1), memoryMB: memoryMB, maxDescriptors: maxDescriptors}
	store, storeAddress, workerAddress := standin.NewStore(), ports.Addr(t, 1), ports.Addr(t, 1)
	serve(t, storeAddress, store)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	assert.NilError(t, store.PutManifest(ctx, standin.Manifest(1, hostHeader, key)))
	worker := standin.NewWorker("worker", workerAddress, "zone", store, s.audit, func() standin.Fault { return standin.NoFault })
	serve(t, workerAddress, worker)
	go func() { _ = worker.Run(ctx) }() // ends with ctx
	text := standin.Settings(standin.HostSettings{Name: "host", CallerAddress: s.callers, ReadinessAddress: ports.Addr(t, 1), PeerAddress: s.peers, SeedAddress: s.peers, StoreAddress: storeAddress})
	text = strings.Replace(text, "memory_mb: 256", fmt.Sprintf("memory_mb: %d, max_fds: %d", memoryMB, maxDescriptors), 1)
	dir := t.TempDir()
	path := filepath.Join(dir, "host.yaml")
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	s.process = harness.NewHostProcess("host", filepath.Join(dir, "host.log"), standin.SettingsEnv+"="+path)
	t.Cleanup(func() {
		s.process.Retire()
		if t.Failed() {
			harness.ShowLogs(t, []*harness.Process{s.process})
		}
	})
	assert.NilError(t, s.process.Start())
	s.requireOrdinaryRequest(1)
	s.watch(ctx)
	return s
}

// watch notes which process is observed, and records its descriptors until ctx ends.
func (s *site) watch(ctx context.Context) {
	s.t.Helper()
	r, err := s.process.Resources()
	assert.NilError(s.t, err)
	s.pid = r.PID
	s.t.Logf("before the crowd: %d MB, %d descriptors", r.PeakBytes>>20, r.Descriptors)
	go s.watchDescriptors(ctx)
}

// watchDescriptors records the highest number of open descriptors until ctx ends.
func (s *site) watchDescriptors(ctx context.Context) {
	for ctx.Err() == nil {
		if r, err := s.process.Resources(); err == nil {
			s.mu.Lock()
			s.highestDescriptors = max(s.highestDescriptors, r.Descriptors)
			s.mu.Unlock()
		}
		time.Sleep(sampleDelay)
	}
}

// requireOrdinaryRequest submits a small job, repeating the request as callers do, and asks for its
// state. n distinguishes the jobs of a test.
func (s *site) requireOrdinaryRequest(n int) {
	s.t.Helper()
	client := standin.NewClient(hostHeader, key)
	j := &job.Job{ID: fmt.Sprintf("%016x", n), Payload: "10", Steps: []job.Step{{Count: 1, Need: job.Resources{CPU: 100, MemMB: 10}, Estimate: 10 * time.Millisecond}}}
	s.audit.AddJob(j)
	s.repeat("submission", func() bool { return client.Submit(context.Background(), s.callers, j) == standin.Accepted })
	s.repeat("query", func() bool {
		answer, _ := client.State(context.Background(), s.callers, j.ID)
		return answer == standin.Accepted
	})
}

func (s *site) repeat(what string, try func() bool) {
	s.t.Helper()
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(retryDelay) {
		http.DefaultClient.CloseIdleConnections() // each attempt is that of a new caller
		if try() {
			return
		}
	}
	s.t.Fatalf("no ordinary %s was answered within %v", what, patience)
}

// requireWithinLimits checks that the process that was started is alive and within its limits.
func (s *site) requireWithinLimits() {
	s.t.Helper()
	r, err := s.process.Resources()
	assert.NilError(s.t, err, "the process has ended")
	assert.Equal(s.t, r.PID, s.pid, "the process was restarted")
	s.mu.Lock()
	descriptors := max(r.Descriptors, s.highestDescriptors)
	s.mu.Unlock()
	s.t.Logf("peak: %d MB, %d descriptors", r.PeakBytes>>20, descriptors)
	if r.PeakBytes > int64(s.memoryMB)<<20 {
		s.t.Errorf("the process used %d MB, its limit is %d", r.PeakBytes>>20, s.memoryMB)
	}
	if descriptors > s.maxDescriptors {
		s.t.Errorf("the process had %d descriptors open, its limit is %d", descriptors, s.maxDescriptors)
	}
}
