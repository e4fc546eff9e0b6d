// Package soak runs the entry hosts of the operators' platform as processes on loopback,
// in front of a stand-in of the platform, and injects faults from outside them: signals,
// and links that are cut, held up or reset. Callers check what they are told, and workers
// what they are told to do.
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
	hosts   = 3
	workers = 4
	callers = 6
	// faultTime is how long faults come for, and settleTime how long everything may then
	// take to end: the longest lease, twice, and some for placing.
	faultTime  = 12 * time.Second
	settleTime = 40 * time.Second
	// faultEvery is the longest pause between the beginnings of two faults.
	faultEvery = 1200 * time.Millisecond
	startTime  = 20 * time.Second
	stopTime   = 10 * time.Second
	key        = "key"
	hostHeader = "jobs.example"
)

// entryHost is one process with its link to the store.
type entryHost struct {
	process *harness.Process
	front   string
	store   *proxy.Proxy
}

// soak is one run.
type soak struct {
	t       testing.TB
	rand    *rand.Rand
	audit   *standin.Audit
	store   *standin.Store
	hosts   []*entryHost
	workers []*standin.Worker
	links   []*proxy.Proxy
	// faulty says that orders to workers go wrong now and then.
	mu     sync.Mutex
	faulty bool
	// version is the newest manifest's.
	version int
	notes   []string
}

func manifest(version int) []byte { return standin.Manifest(version, hostHeader, key) }

func (s *soak) note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.notes = append(s.notes, time.Now().Format(time.RFC3339Nano)+" "+fmt.Sprintf(format, args...))
}

// draw returns a number below n.
func (s *soak) draw(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rand.IntN(n)
}

func (s *soak) upTo(d time.Duration) time.Duration { return time.Duration(1 + s.draw(int(d))) }

// orderFault draws what goes wrong with an order to a worker.
func (s *soak) orderFault() standin.Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.faulty {
		return standin.NoFault
	}
	switch s.rand.IntN(20) {
	case 0:
		return standin.AnswerLost
	case 1:
		return standin.CarriedOutLate
	}
	return standin.NoFault
}

func serve(t testing.TB, address string, h http.Handler) {
	t.Helper()
	l, err := net.Listen("tcp", address)
	assert.NilError(t, err)
	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(l) }() // it ends with Close
	t.Cleanup(func() { _ = server.Close() })
}

// newSoak starts the platform, the workers and the hosts.
func newSoak(t testing.TB, seed uint64) *soak {
	t.Helper()
	s := &soak{t: t, rand: rand.New(rand.NewPCG(seed, seed)), audit: standin.NewAudit(), store: standin.NewStore(), version: 1}
	ports := harness.TakePorts(t)
	storeAddr := ports.Addr(t, 1)
	serve(t, storeAddr, s.store)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	assert.NilError(t, s.store.PutManifest(ctx, manifest(1)))
	for n := range workers {
		behind, reached := ports.Addr(t, 1), ports.Addr(t, 1)
		w := standin.NewWorker(fmt.Sprintf("worker-%d", n), reached, s.store, s.audit, s.orderFault)
		serve(t, behind, w)
		s.links = append(s.links, s.link(reached, behind))
		s.workers = append(s.workers, w)
		go func() {
			if err := w.Run(ctx); err != nil && ctx.Err() == nil {
				s.note("%v", err)
			}
		}()
	}
	dir := t.TempDir()
	var processes []*harness.Process
	control := ports.Addr(t, hosts)
	for n := range hosts {
		h := s.newHost(dir, n, ports, storeAddr, control)
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

func (s *soak) link(listen, target string) *proxy.Proxy {
	p, err := proxy.New(listen, target, nil)
	assert.NilError(s.t, err)
	s.t.Cleanup(p.Close)
	return p
}

func (s *soak) newHost(dir string, n int, ports *harness.Ports, storeAddr, control string) *entryHost {
	name := fmt.Sprintf("host-%d", n)
	h := &entryHost{front: ports.Addr(s.t, 1)}
	seen := ports.Addr(s.t, 1)
	h.store = s.link(seen, storeAddr)
	boot := filepath.Join(dir, name+".yaml")
	text := standin.Settings(standin.Boot{Name: name, Front: h.front, Ready: ports.Addr(s.t, 1), Control: next(s.t, control, n), Seed: control, Store: seen})
	assert.NilError(s.t, os.WriteFile(boot, []byte(text), 0o600))
	h.process = harness.NewHostProcess(name, filepath.Join(dir, name+".log"), standin.SettingsVariable+"="+boot)
	return h
}

// next returns the address n ports after another.
func next(t testing.TB, address string, n int) string {
	t.Helper()
	a, err := net.ResolveTCPAddr("tcp", address)
	assert.NilError(t, err)
	a.Port += n
	return a.String()
}

func (s *soak) awaitReady() {
	for end := time.Now().Add(startTime); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		c := &caller{soak: s, id: fmt.Sprintf("%016x", s.draw(1<<30)), client: standin.NewClient(hostHeader, key)}
		if c.submit(context.Background()) == standin.Taken {
			return
		}
	}
	s.t.Fatal("no host takes jobs")
}
