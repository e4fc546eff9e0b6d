package harness

import (
	"context"
	"fmt"
	"net/http"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"agatewinch/internal/config"
	"agatewinch/internal/core"
	"agatewinch/internal/platform"
	"agatewinch/internal/standin"
	"agatewinch/test/proxy"
)

const (
	region       = "suva"
	startTimeout = 40 * time.Second
	// maxClusters is the maximum number of clusters that one test process runs concurrently.
	maxClusters  = 2
	pollInterval = 50 * time.Millisecond
	maxIdleConns = 64
)

// Names of link ends that are neither processes of entry hosts nor workers.
const (
	Callers  = "callers"
	Platform = "platform"
)

// Cluster is a running system on the stand-in platform.
type Cluster struct {
	T    testing.TB
	Opts Options
	// Set is the initial configuration.
	Set   config.Set
	Admin *standin.Admin
	// DirectClient is an HTTP client for calls that bypass the proxies.
	DirectClient *http.Client

	platform    *Process
	dir         string
	ports       *Ports
	platformURL string
	// platformAddr is the address that the platform listens on, platformProxyAddr that of
	// the proxy in front of it.
	platformAddr, platformProxyAddr string

	mu             sync.Mutex
	hosts          []*EntryHost
	retired        []*EntryHost
	links          []*Link
	endpoints      []*endpoint
	onHostAdded    []func(*EntryHost)
	lastHostNumber map[string]int
}

// endpoint is one process or worker behind a proxy.
type endpoint struct {
	// to is the name of the process or worker.
	to    string
	proxy *proxy.Proxy
	// accepts selects the processes that connect through the proxy.
	accepts func(process string) bool
}

// clusterSlots limits the clusters that run concurrently in a test process. On an overloaded
// machine heartbeats arrive late, which would be a fault outside the schedule.
var clusterSlots = make(chan struct{}, maxClusters)

// Start starts a cluster, applies its initial configuration and waits until every zone can
// place jobs. The cluster is stopped when the test ends.
func Start(t testing.TB, opts Options) *Cluster {
	t.Helper()
	clusterSlots <- struct{}{}
	t.Cleanup(func() { <-clusterSlots })
	c := &Cluster{
		T: t, Opts: opts, Set: clusterConfig(opts), lastHostNumber: map[string]int{}, dir: t.TempDir(), ports: ReservePorts(t),
		DirectClient: &http.Client{Timeout: 40 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConns}},
	}
	t.Cleanup(c.stop)
	c.planHosts()
	c.startPlatform()
	c.addWorkerLinks()
	for _, h := range c.Hosts() {
		c.writeSettings(h)
		assert.NilError(t, h.start())
	}
	c.applyInitialConfig()
	c.awaitServing()
	return c
}

// planHosts adds the hosts of all zones, without starting them, and puts the proxy in front of
// the platform.
func (c *Cluster) planHosts() {
	c.platformAddr = c.ports.Addr(c.T, 1)
	c.platformProxyAddr = c.proxyTo(Platform, c.platformAddr, func(process string) bool { return process != Callers })
	for _, zone := range c.Opts.Zones {
		for range c.Opts.HostsPerZone {
			c.addHost(c.planHost(zone))
		}
	}
}

func (c *Cluster) newProcess(name, binary string) *Process {
	base := filepath.Join(c.dir, filepath.FromSlash(name))
	return &Process{Name: name, binary: binary, settings: base + ".yaml", log: base + ".log"}
}

func (c *Cluster) startPlatform() {
	listen := c.platformAddr
	workerBase := c.ports.Addr(c.T, len(workerIDs(c.Set)))
	c.platformURL = "http://" + listen
	c.Admin = &standin.Admin{BaseURL: c.platformURL, Client: c.DirectClient}
	configDir := filepath.Join(c.dir, "config")
	writeYAML(c.T, filepath.Join(configDir, "fleet.yaml"), c.Set)
	c.platform = c.newProcess("platform", binaryStandin)
	file := standinFile{Listen: listen, WorkerBase: workerBase, ConfigDir: configDir, Log: LogLimits(), Worker: WorkerLimits()}
	for _, h := range c.Hosts() {
		file.EntryHosts = append(file.EntryHosts, entryHostAddress{ID: h.Name, Zone: h.Zone, Addr: h.advertised})
	}
	writeYAML(c.T, c.platform.settings, file)
	assert.NilError(c.T, c.platform.Start())
	c.eventually("the platform responds", func(ctx context.Context) error {
		_, err := c.Admin.Hosts(ctx)
		return err
	})
}

// addWorkerLinks puts a proxy in front of every worker and publishes the proxy's address in the
// host list. Only the schedulers of the worker's zone connect through it.
func (c *Cluster) addWorkerLinks() {
	ctx := context.Background()
	hosts, err := c.Admin.Hosts(ctx)
	assert.NilError(c.T, err)
	for _, h := range hosts {
		if h.Kind != platform.BackendHost {
			continue
		}
		h.Addr = c.proxyTo("worker/"+h.ID, h.Addr, func(process string) bool {
			return strings.HasPrefix(process, "scheduler/"+string(h.Zone)+"-")
		})
		assert.NilError(c.T, c.Admin.PutHost(ctx, h))
	}
}

func (c *Cluster) applyInitialConfig() {
	c.eventually("the initial configuration is accepted", func(ctx context.Context) error {
		_, err := c.Apply(ctx, c.Hosts()[0], 0, c.Set)
		return err
	})
}

// awaitServing waits until every gate is ready and the active scheduler of every zone counts
// all accelerators as free.
func (c *Cluster) awaitServing() {
	want := c.Opts.WorkersPerZone * workerAccelerators
	c.eventually("every zone serves", func(ctx context.Context) error {
		for _, h := range c.Hosts() {
			if !c.ready(ctx, h) {
				return fmt.Errorf("gate %s is not ready", h.Name)
			}
			if free := c.freeAccelerators(ctx, h); free < want {
				return fmt.Errorf("zone %s: %d free accelerators (-1: no active scheduler reported), want %d", h.Zone, free, want)
			}
		}
		return nil
	})
}

// AwaitReady waits until a host's gate passes its readiness check.
func (c *Cluster) AwaitReady(h *EntryHost) {
	c.T.Helper()
	c.eventually("gate "+h.Name+" is ready", func(ctx context.Context) error {
		if !c.ready(ctx, h) {
			return fmt.Errorf("readiness check failed")
		}
		return nil
	})
}

// freeAccelerators returns the number of accelerators that the zone's active scheduler counts
// as free, as reported by the host's gate, or -1 if the gate reports no active scheduler or
// cannot be reached.
func (c *Cluster) freeAccelerators(ctx context.Context, h *EntryHost) int {
	status, err := c.Status(ctx, h)
	if err != nil {
		return -1
	}
	free := -1
	for _, s := range status.Schedulers {
		if s.Zone == core.ZoneID(h.Zone) && s.Active {
			free = max(free, s.Load.FreeAccelerators)
		}
	}
	return free
}

// eventually repeats f until it succeeds, and fails the test after startTimeout. The string
// what describes the condition in the failure message.
func (c *Cluster) eventually(what string, f func(ctx context.Context) error) {
	c.T.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	var err error
	for ctx.Err() == nil {
		if err = f(ctx); err == nil {
			return
		}
		time.Sleep(pollInterval)
	}
	c.T.Fatalf("%s: condition not met within %v: %v", what, startTimeout, err)
}

func (c *Cluster) stop() {
	processes := []*Process{}
	for _, h := range append(c.Hosts(), c.retired...) {
		processes = append(processes, h.Gate, h.Scheduler)
	}
	if c.platform != nil {
		processes = append(processes, c.platform)
	}
	for _, p := range processes {
		p.Kill()
	}
	for _, e := range c.endpoints {
		e.proxy.Close()
	}
	c.DirectClient.CloseIdleConnections()
	if c.T.Failed() {
		ShowLogs(c.T, processes)
	}
}
