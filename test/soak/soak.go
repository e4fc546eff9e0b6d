// Package soak runs the entry hosts of the operators' platform as processes on loopback, with
// a stand-in of the platform behind them. It injects faults from outside the processes:
// signals, and links that are cut, delayed or reset. Callers check the responses they receive,
// and workers check the orders they receive.
package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"agatewinch/platform/standin"
	"agatewinch/test/harness"
	"agatewinch/test/proxy"
)

const (
	hostCount   = 3
	workerCount = 4
	zoneCount   = 2
	callerCount = 6
	// faultTime is the time during which faults are injected and jobs submitted. settleTime
	// is the maximum time for all jobs to end afterwards: twice the longest lease, plus
	// some time for placement.
	faultTime  = 12 * time.Second
	settleTime = 40 * time.Second
	// maxFaultInterval is the maximum time between the starts of two consecutive faults.
	maxFaultInterval = 1200 * time.Millisecond
	startTimeout     = 20 * time.Second
	stopTimeout      = 10 * time.Second
	key              = "key"
	hostHeader       = "jobs.example"
)

// entryHost is an entry host process with the proxy on its link to the store.
type entryHost struct {
	process    *harness.Process
	callerAddr string
	storeProxy *proxy.Proxy
}

// soak is the state of one soak run.
type soak struct {
	t             testing.TB
	rand          *rand.Rand
	audit         *standin.Audit
	store         *standin.Store
	hosts         []*entryHost
	workers       []*standin.Worker
	workerProxies []*proxy.Proxy
	// evacuations holds a lock for each zone, held while the zone is evacuated.
	evacuations map[string]*sync.Mutex
	// mu guards rand and the fields below.
	mu sync.Mutex
	// failOrders is true while faults are injected into random orders to workers.
	failOrders bool
	// version is the version of the newest manifest.
	version int
	// notes are the faults and errors that are printed if the test fails.
	notes []string
}

// zone returns the zone of worker n.
func zone(n int) string { return fmt.Sprintf("zone-%d", n%zoneCount) }

func manifest(version int) []byte { return standin.Manifest(version, hostHeader, key) }

func (s *soak) note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.notes = append(s.notes, time.Now().Format(time.RFC3339Nano)+" "+fmt.Sprintf(format, args...))
}

// randomBelow returns a random number in [0, n).
func (s *soak) randomBelow(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rand.IntN(n)
}

// randomDuration returns a random duration from 1ns to d.
func (s *soak) randomDuration(d time.Duration) time.Duration {
	return time.Duration(1 + s.randomBelow(int(d)))
}

// orderFault returns a random fault for an order to a worker: on average one order in 20 loses
// its answer and one in 20 is executed late. It returns NoFault unless failOrders is set.
func (s *soak) orderFault() standin.Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.failOrders {
		return standin.NoFault
	}
	switch s.rand.IntN(20) {
	case 0:
		return standin.AnswerLost
	case 1:
		return standin.ExecutedLate
	}
	return standin.NoFault
}

func serve(t testing.TB, address string, h http.Handler) {
	t.Helper()
	l, err := net.Listen("tcp", address)
	assert.NilError(t, err)
	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(l) }() // returns when server is closed
	t.Cleanup(func() { _ = server.Close() })
}

// newSoak starts the stand-in platform, the workers and the hosts.
func newSoak(t testing.TB, seed uint64) *soak {
	t.Helper()
	s := &soak{t: t, rand: rand.New(rand.NewPCG(seed, seed)), audit: standin.NewAudit(), store: standin.NewStore(), version: 1, evacuations: map[string]*sync.Mutex{}}
	ports := harness.ReservePorts(t)
	storeAddr := ports.Addr(t, 1)
	serve(t, storeAddr, s.store)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	assert.NilError(t, s.store.PutManifest(ctx, manifest(1)))
	for n := range zoneCount {
		s.evacuations[zone(n)] = &sync.Mutex{}
	}
	for n := range workerCount {
		workerAddr, proxyAddr := ports.Addr(t, 1), ports.Addr(t, 1)
		w := standin.NewWorker(fmt.Sprintf("worker-%d", n), proxyAddr, zone(n), s.store, s.audit, s.orderFault)
		serve(t, workerAddr, w)
		s.workerProxies = append(s.workerProxies, s.newProxy(proxyAddr, workerAddr))
		s.workers = append(s.workers, w)
		go func() {
			if err := w.Run(ctx); err != nil && ctx.Err() == nil {
				s.note("stand-in worker no longer writes its entry: %v", err)
			}
		}()
	}
	dir := t.TempDir()
	var processes []*harness.Process
	firstPeerAddr := ports.Addr(t, hostCount)
	for n := range hostCount {
		h := s.newHost(dir, n, ports, storeAddr, firstPeerAddr)
		s.hosts = append(s.hosts, h)
		processes = append(processes, h.process)
		assert.NilError(t, h.process.Start())
	}
	t.Cleanup(func() {
		for _, p := range processes {
			p.Retire()
		}
		if t.Failed() {
			harness.ShowLogs(t, processes)
			s.mu.Lock()
			defer s.mu.Unlock()
			for _, n := range s.notes {
				fmt.Println(n)
			}
		}
	})
	s.awaitReady()
	return s
}

func (s *soak) newProxy(listen, target string) *proxy.Proxy {
	p, err := proxy.New(listen, target, nil)
	assert.NilError(s.t, err)
	s.t.Cleanup(p.Close)
	return p
}

// newHost returns host n without starting it. The hosts' peer addresses are consecutive ports,
// beginning with firstPeerAddr.
func (s *soak) newHost(dir string, n int, ports *harness.Ports, storeAddr, firstPeerAddr string) *entryHost {
	name := fmt.Sprintf("host-%d", n)
	h := &entryHost{callerAddr: ports.Addr(s.t, 1)}
	proxyAddr := ports.Addr(s.t, 1)
	h.storeProxy = s.newProxy(proxyAddr, storeAddr)
	settingsPath := filepath.Join(dir, name+".yaml")
	text := standin.Settings(standin.HostSettings{Name: name, CallerAddress: h.callerAddr, ReadinessAddress: ports.Addr(s.t, 1), PeerAddress: addressAt(s.t, firstPeerAddr, n), SeedAddress: firstPeerAddr, StoreAddress: proxyAddr})
	assert.NilError(s.t, os.WriteFile(settingsPath, []byte(text), 0o600))
	h.process = harness.NewHostProcess(name, filepath.Join(dir, name+".log"), standin.SettingsEnv+"="+settingsPath)
	return h
}

// addressAt returns an address with its port increased by n.
func addressAt(t testing.TB, address string, n int) string {
	t.Helper()
	a, err := net.ResolveTCPAddr("tcp", address)
	assert.NilError(t, err)
	a.Port += n
	return a.String()
}

func (s *soak) awaitReady() {
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		c := &caller{soak: s, id: fmt.Sprintf("%016x", s.randomBelow(1<<30)), client: standin.NewClient(hostHeader, key)}
		if c.submit(context.Background()) == standin.Accepted {
			return
		}
	}
	s.t.Fatal("timed out waiting for a host to accept a job")
}
