package harness

import (
	"context"
	"net"
	"slices"
	"strconv"

	"github.com/gravitational/trace"
	"gotest.tools/v3/assert"

	"agatewinch/internal/config"
	"agatewinch/internal/core"
	"agatewinch/internal/platform"
	"agatewinch/test/proxy"
)

// EntryHost is an entry host with its two processes.
type EntryHost struct {
	Name, Zone      string
	Gate, Scheduler *Process
	// GateURL and SchedulerAddr lead to the processes without a proxy.
	GateURL       string
	SchedulerAddr string
	// CallerURL leads to the gate through the callers' proxy.
	CallerURL string

	gateAddr, advertised string
}

func (h *EntryHost) start() error {
	if err := h.Scheduler.Start(); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(h.Gate.Start())
}

// Link is the path of all connections from one process to another.
type Link struct {
	From, To string
	proxy    *proxy.Proxy
}

// Set replaces the link's faults; the zero value heals it.
func (l *Link) Set(f proxy.LinkFaults) { l.proxy.Set(l.From, f) }

// Hosts returns the present entry hosts.
func (c *Cluster) Hosts() []*EntryHost {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.hosts)
}

// Links returns every link there was so far.
func (c *Cluster) Links() []*Link {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.links)
}

// EachHost calls f for every present host, and for every later one when it is added.
func (c *Cluster) EachHost(f func(*EntryHost)) {
	c.mu.Lock()
	c.onHost = append(c.onHost, f)
	hosts := slices.Clone(c.hosts)
	c.mu.Unlock()
	for _, h := range hosts {
		f(h)
	}
}

// planHost names a new host of a zone and gives its processes their addresses: the one
// that each listens on, and the proxied one that all others are told.
func (c *Cluster) planHost(zone string) *EntryHost {
	c.mu.Lock()
	c.named[zone]++
	name := zone + "-" + strconv.Itoa(c.named[zone])
	c.mu.Unlock()
	h := &EntryHost{Name: name, Zone: zone, gateAddr: c.ports.Addr(c.T, 1), SchedulerAddr: c.ports.Addr(c.T, 1)}
	h.GateURL = "http://" + h.gateAddr
	h.Gate = c.process("gate/"+name, binaryGate)
	h.Scheduler = c.process("scheduler/"+name, binaryScheduler)
	h.CallerURL = "http://" + c.proxyTo(h.Gate.Name, h.gateAddr, func(process string) bool { return process == Callers })
	h.advertised = c.proxyTo(h.Scheduler.Name, h.SchedulerAddr, func(process string) bool { return process != Callers && process != h.Scheduler.Name })
	return h
}

// addHost adds a host with the links of its processes.
func (c *Cluster) addHost(h *EntryHost) {
	c.mu.Lock()
	c.hosts = append(c.hosts, h)
	sources := []string{}
	for _, other := range c.hosts {
		sources = append(sources, other.Gate.Name, other.Scheduler.Name)
	}
	for _, p := range c.paths {
		for _, from := range append(sources, Callers) {
			c.addLink(p, from)
		}
	}
	callbacks := slices.Clone(c.onHost)
	c.mu.Unlock()
	for _, f := range callbacks {
		f(h)
	}
}

// addLink adds the link from a source over a path once; the caller holds the lock.
func (c *Cluster) addLink(p *path, from string) {
	if !p.from(from) {
		return
	}
	for _, l := range c.links {
		if l.From == from && l.To == p.to {
			return
		}
	}
	c.links = append(c.links, &Link{From: from, To: p.to, proxy: p.proxy})
}

// proxyTo puts a proxy before a target, for the processes that from selects, and
// returns its address.
func (c *Cluster) proxyTo(to, target string, from func(process string) bool) string {
	sourceOf := c.sourceOf
	if from(Callers) {
		sourceOf = func(net.Conn) string { return Callers }
	}
	p, err := proxy.New(c.ports.Addr(c.T, 1), target, sourceOf)
	assert.NilError(c.T, err)
	added := &path{to: to, proxy: p, from: from}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.paths = append(c.paths, added)
	for _, h := range c.hosts {
		c.addLink(added, h.Gate.Name)
		c.addLink(added, h.Scheduler.Name)
	}
	return p.Addr()
}

// writeSettings writes the settings of a host; every address in them is a proxy's. They
// name the schedulers that are there now; later ones have to be found.
func (c *Cluster) writeSettings(h *EntryHost) {
	var schedulers []schedulerLine
	for _, other := range c.Hosts() {
		schedulers = append(schedulers, schedulerLine{Zone: other.Zone, Addr: other.advertised})
	}
	host := hostFile{Host: h.Name, Region: region, Zone: h.Zone, Platform: "http://" + c.platformProxy}
	gate := gateFile{hostFile: host, Schedulers: schedulers, OperatorKeys: []string{config.HashKey(operatorKey)}}
	gate.Listen = h.gateAddr
	writeYAML(c.T, h.Gate.settings, gate)
	scheduler := schedulerFile{hostFile: host, LeaseTTL: c.Opts.Lease, ReserveTTL: c.Opts.Reserve, Advertise: h.advertised, Schedulers: schedulers}
	scheduler.Listen = h.SchedulerAddr
	writeYAML(c.T, h.Scheduler.settings, scheduler)
}

// RetireZone kills every process of a zone for good, takes the hosts off the host list,
// and returns their names.
func (c *Cluster) RetireZone(ctx context.Context, zone string) ([]string, error) {
	var kept, gone []*EntryHost
	var names []string
	c.mu.Lock()
	for _, h := range c.hosts {
		if h.Zone == zone {
			gone = append(gone, h)
		} else {
			kept = append(kept, h)
		}
	}
	c.hosts = kept
	c.retired = append(c.retired, gone...)
	c.mu.Unlock()
	for _, h := range gone {
		h.Gate.Retire()
		h.Scheduler.Retire()
		names = append(names, h.Name)
		if err := c.Admin.RemoveHost(ctx, h.Name); err != nil {
			return names, trace.Wrap(err)
		}
	}
	return names, nil
}

// AddHosts starts new hosts in a zone, with new names and addresses, and lists them.
func (c *Cluster) AddHosts(ctx context.Context, zone string, n int) error {
	for range n {
		h := c.planHost(zone)
		c.addHost(h)
		c.writeSettings(h)
		listed := platform.Host{ID: h.Name, Kind: platform.EntryHost, Zone: core.ZoneID(zone), Addr: h.advertised, State: platform.HostLive}
		if err := c.Admin.PutHost(ctx, listed); err != nil {
			return trace.Wrap(err)
		}
		if err := h.start(); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}
