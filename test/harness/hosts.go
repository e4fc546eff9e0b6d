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

// EntryHost is an entry host with its gate and scheduler processes.
type EntryHost struct {
	// Name consists of the zone, a hyphen and a number.
	Name, Zone      string
	Gate, Scheduler *Process
	// GateURL and SchedulerAddr reach the processes directly, without a proxy.
	GateURL       string
	SchedulerAddr string
	// CallerURL reaches the gate through the callers' proxy.
	CallerURL string

	// gateAddr is the address that the gate listens on, advertised that of the scheduler's
	// proxy.
	gateAddr, advertised string
}

func (h *EntryHost) start() error {
	if err := h.Scheduler.Start(); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(h.Gate.Start())
}

// Link represents all connections from one source to one process or worker.
type Link struct {
	// From and To are names of processes. From may also be Callers; To may also be Platform, or
	// worker/ID for a worker.
	From, To string
	proxy    *proxy.Proxy
}

// Set replaces the link's faults; the zero value removes them.
func (l *Link) Set(f proxy.LinkFaults) { l.proxy.Set(l.From, f) }

// Hosts returns the entry hosts that have not been retired.
func (c *Cluster) Hosts() []*EntryHost {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.hosts)
}

// Links returns all links, including those of retired hosts.
func (c *Cluster) Links() []*Link {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.links)
}

// EachHost calls f for every current host, and for each later host when it is added.
func (c *Cluster) EachHost(f func(*EntryHost)) {
	c.mu.Lock()
	c.onHostAdded = append(c.onHostAdded, f)
	hosts := slices.Clone(c.hosts)
	c.mu.Unlock()
	for _, h := range hosts {
		f(h)
	}
}

// planHost names a new host of a zone and allocates two addresses for each of its processes:
// the one it listens on, and that of its proxy, to which all other processes connect.
func (c *Cluster) planHost(zone string) *EntryHost {
	c.mu.Lock()
	c.lastHostNumber[zone]++
	name := zone + "-" + strconv.Itoa(c.lastHostNumber[zone])
	c.mu.Unlock()
	h := &EntryHost{Name: name, Zone: zone, gateAddr: c.ports.Addr(c.T, 1), SchedulerAddr: c.ports.Addr(c.T, 1)}
	h.GateURL = "http://" + h.gateAddr
	h.Gate = c.newProcess("gate/"+name, binaryGate)
	h.Scheduler = c.newProcess("scheduler/"+name, binaryScheduler)
	h.CallerURL = "http://" + c.proxyTo(h.Gate.Name, h.gateAddr, func(process string) bool { return process == Callers })
	h.advertised = c.proxyTo(h.Scheduler.Name, h.SchedulerAddr, func(process string) bool { return process != Callers && process != h.Scheduler.Name })
	return h
}

// addHost adds a host and all missing links from the callers and the processes of hosts to the
// endpoints that accept them.
func (c *Cluster) addHost(h *EntryHost) {
	c.mu.Lock()
	c.hosts = append(c.hosts, h)
	sources := []string{}
	for _, other := range c.hosts {
		sources = append(sources, other.Gate.Name, other.Scheduler.Name)
	}
	for _, e := range c.endpoints {
		for _, from := range append(sources, Callers) {
			c.addLink(e, from)
		}
	}
	callbacks := slices.Clone(c.onHostAdded)
	c.mu.Unlock()
	for _, f := range callbacks {
		f(h)
	}
}

// addLink adds the link from a source to an endpoint, unless the endpoint doesn't accept the
// source or the link exists. The caller holds c.mu.
func (c *Cluster) addLink(e *endpoint, from string) {
	if !e.accepts(from) {
		return
	}
	for _, l := range c.links {
		if l.From == from && l.To == e.to {
			return
		}
	}
	c.links = append(c.links, &Link{From: from, To: e.to, proxy: e.proxy})
}

// proxyTo puts a proxy in front of a target address and returns the proxy's address. accepts
// reports whether a source connects through the proxy. If the callers do, every connection counts
// as theirs.
func (c *Cluster) proxyTo(to, target string, accepts func(process string) bool) string {
	sourceOf := c.sourceOf
	if accepts(Callers) {
		sourceOf = func(net.Conn) string { return Callers }
	}
	p, err := proxy.New(c.ports.Addr(c.T, 1), target, sourceOf)
	assert.NilError(c.T, err)
	added := &endpoint{to: to, proxy: p, accepts: accepts}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endpoints = append(c.endpoints, added)
	for _, h := range c.hosts {
		c.addLink(added, h.Gate.Name)
		c.addLink(added, h.Scheduler.Name)
	}
	return p.Addr()
}

// writeSettings writes the settings files of a host's processes. Except for the listen
// addresses, every address in them is that of a proxy. They list the current schedulers; the
// processes have to discover later ones.
func (c *Cluster) writeSettings(h *EntryHost) {
	var schedulers []schedulerAddress
	for _, other := range c.Hosts() {
		schedulers = append(schedulers, schedulerAddress{Zone: other.Zone, Addr: other.advertised})
	}
	host := hostFile{Host: h.Name, Region: region, Zone: h.Zone, Platform: "http://" + c.platformProxyAddr}
	gate := gateFile{hostFile: host, Schedulers: schedulers, OperatorKeys: []string{config.HashKey(operatorKey)}, GateLimits: c.Opts.Gate}
	gate.Listen = h.gateAddr
	writeYAML(c.T, h.Gate.settings, gate)
	scheduler := schedulerFile{hostFile: host, LeaseTTL: c.Opts.LeaseTTL, ReserveTTL: c.Opts.ReserveTTL, Advertise: h.advertised, Schedulers: schedulers}
	scheduler.Listen = h.SchedulerAddr
	writeYAML(c.T, h.Scheduler.settings, scheduler)
}

// RetireZone permanently kills all processes of a zone's entry hosts, removes the hosts from
// the host list and returns their names.
func (c *Cluster) RetireZone(ctx context.Context, zone string) ([]string, error) {
	var kept, retired []*EntryHost
	var names []string
	c.mu.Lock()
	for _, h := range c.hosts {
		if h.Zone == zone {
			retired = append(retired, h)
		} else {
			kept = append(kept, h)
		}
	}
	c.hosts = kept
	c.retired = append(c.retired, retired...)
	c.mu.Unlock()
	for _, h := range retired {
		h.Gate.Retire()
		h.Scheduler.Retire()
		names = append(names, h.Name)
		if err := c.Admin.RemoveHost(ctx, h.Name); err != nil {
			return names, trace.Wrap(err)
		}
	}
	return names, nil
}

// AddHosts adds n hosts with new names and addresses to a zone, publishes them in the host list
// and starts them.
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
