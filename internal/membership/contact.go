package membership

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"agatewinch/internal/core"
	"agatewinch/internal/event"
	"agatewinch/internal/peer"
	"agatewinch/internal/platform"
	"agatewinch/internal/wire"
)

const (
	// ticksPerInterval is how often in an interval due heartbeats are looked for.
	ticksPerInterval = 5
	// maxBackoff multiplies the interval to a contact that does not answer.
	maxBackoff = 4
)

// contact is an address that heartbeats are sent to.
type contact struct {
	addr   string
	zone   core.ZoneID
	client *peer.Client
	// seed is true for an address from the settings, which is never dropped.
	seed bool
	// listed is true while the platform's host list holds the address.
	listed bool
	// self is true when the address turned out to be this process's own.
	self bool
	// role, host and incarnation are of the process that last answered here.
	role        string
	host        string
	incarnation uint64
	inFlight    bool
	due         time.Time
	sentAt      time.Time
	failures    int
	// usefulAt is when the contact last answered, was listed or was heard from.
	usefulAt time.Time
}

// addContact returns the contact for addr; the caller holds the lock, or is New.
func (m *Membership) addContact(addr string, zone core.ZoneID) *contact {
	c, ok := m.contacts[addr]
	if !ok {
		c = &contact{addr: addr, zone: zone, client: peer.NewClient(addr, peer.WithHTTPClient(m.opts.HTTPClient)), usefulAt: time.Now()}
		m.contacts[addr] = c
	}
	if zone != "" {
		c.zone = zone
	}
	return c
}

// contactOf returns the contact for a heartbeat's sender: an address at which it
// answers, else the one that it names. The caller holds the lock.
func (m *Membership) contactOf(hb wire.Heartbeat) *contact {
	for _, c := range m.contacts {
		if c.incarnation == hb.Incarnation && c.host == hb.Host && c.role == hb.Role && c.failures == 0 && !c.self {
			return c
		}
	}
	if hb.Addr == "" {
		return nil
	}
	return m.addContact(hb.Addr, hb.Zone)
}

// near reports whether two processes exchange heartbeats at the short interval: both
// are schedulers of one zone. A role that is not known yet counts as a scheduler.
func near(self wire.Heartbeat, zone core.ZoneID, role string) bool {
	return self.Role == wire.RoleScheduler && role != wire.RoleGate && zone == self.Zone
}

// factor multiplies the interval and the timeout towards a peer: a gate of the own zone
// is half as far as another zone.
func (m *Membership) factor(self wire.Heartbeat, zone core.ZoneID, role string) time.Duration {
	switch {
	case near(self, zone, role):
		return 1
	case zone == self.Zone:
		return time.Duration(max(m.opts.FarFactor/2, 1))
	default:
		return time.Duration(m.opts.FarFactor)
	}
}

func (m *Membership) interval(self wire.Heartbeat, c *contact) time.Duration {
	d := m.opts.Interval * m.factor(self, c.zone, c.role)
	d = min(d<<min(c.failures, 8), max(d, m.opts.Interval*maxBackoff))
	return jittered(d)
}

// jittered varies d by up to jitterShare both ways.
func jittered(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + jitterShare*(2*rand.Float64()-1)))
}

// sendHeartbeats sends each contact its heartbeat when it is due, at most one at a
// time to each.
func (m *Membership) sendHeartbeats(ctx context.Context) error {
	var running sync.WaitGroup
	defer running.Wait()
	tick := time.NewTicker(m.opts.Interval / ticksPerInterval)
	defer tick.Stop()
	for {
		for _, c := range m.takeDue(time.Now()) {
			running.Go(func() { m.beat(ctx, c) })
		}
		m.expire(time.Now())
		select {
		case <-tick.C:
		case <-ctx.Done():
			return trace.Wrap(ctx.Err())
		}
	}
}

func (m *Membership) takeDue(now time.Time) []*contact {
	self := m.self()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.hurry(self, now)
	var due []*contact
	for _, c := range m.contacts {
		if c.inFlight || c.self || c.addr == self.Addr || now.Before(c.due) {
			continue
		}
		c.inFlight = true
		due = append(due, c)
	}
	return due
}

// news are the facts about this process that its peers should hear of at once.
type news struct {
	facts
	generation core.Generation
}

// hurry makes all heartbeats due within an interval when there is news; the caller
// holds the lock.
func (m *Membership) hurry(self wire.Heartbeat, now time.Time) {
	current := news{facts: notable(self), generation: self.Generation}
	if current == m.told {
		return
	}
	m.told = current
	for _, c := range m.contacts {
		soon := now.Add(time.Duration(rand.Float64() * float64(m.opts.Interval)))
		if soon.Before(c.due) {
			c.due = soon
		}
	}
}

// beat sends one heartbeat and records its answer.
func (m *Membership) beat(ctx context.Context, c *contact) {
	ctx, cancel := context.WithTimeout(ctx, m.opts.Timeout)
	defer cancel()
	var reply wire.Heartbeat
	err := c.client.Call(ctx, wire.KindHeartbeat, m.heartbeat(m.hears(c.addr)), &reply)
	now := time.Now()
	self := m.self()
	m.mu.Lock()
	c.inFlight = false
	c.sentAt = now
	if err == nil {
		c.failures = 0
		c.usefulAt = now
		c.role = reply.Role
		c.host = reply.Host
		c.incarnation = reply.Incarnation
		c.zone = reply.Zone
		c.self = reply.Incarnation == m.incarnation
	} else {
		c.failures++
	}
	c.due = now.Add(m.interval(self, c))
	m.mu.Unlock()
	if err == nil && !c.self {
		m.record(reply, now, true)
		m.offerNewer(reply)
	}
	m.noteConsulted()
}

// hears reports whether the process at addr was heard within its timeout.
func (m *Membership) hears(addr string) bool {
	self := m.self()
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, mem := range m.members {
		if mem.beat.Addr == addr {
			return m.within(self, mem, mem.heardAt, time.Now())
		}
	}
	return false
}

// Probe sends heartbeats now to all contacts of a zone and waits for their answers or
// the end of ctx. An empty zone means all zones.
func (m *Membership) Probe(ctx context.Context, zone core.ZoneID) {
	var running sync.WaitGroup
	self := m.self()
	m.mu.Lock()
	for _, c := range m.contacts {
		if c.self || c.inFlight || c.addr == self.Addr || (zone != "" && c.zone != "" && c.zone != zone) {
			continue
		}
		c.inFlight = true
		running.Go(func() { m.beat(ctx, c) })
	}
	m.mu.Unlock()
	running.Wait()
}

// readHosts takes the entry hosts of the platform's list as contacts. While the list
// cannot be read, what it said before stays.
func (m *Membership) readHosts(ctx context.Context) error {
	for {
		wait := m.opts.HostsInterval
		if hosts, err := m.opts.Hosts.Hosts(ctx); err == nil {
			m.noteHosts(hosts)
		} else {
			wait = min(wait, hostsRetry)
		}
		select {
		case <-time.After(jittered(wait)):
		case <-ctx.Done():
			return trace.Wrap(ctx.Err())
		}
	}
}

func (m *Membership) noteHosts(hosts []platform.Host) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	for _, c := range m.contacts {
		if c.listed {
			c.usefulAt = now
		}
		c.listed = false
	}
	for _, h := range hosts {
		if h.Kind == platform.EntryHost && h.Addr != "" {
			m.addContact(h.Addr, h.Zone).listed = true
		}
	}
}

// expire drops contacts and members that were not heard for long, and tells waiters
// when a peer is no longer live.
func (m *Membership) expire(now time.Time) {
	self := m.self()
	m.mu.Lock()
	defer m.mu.Unlock()
	for addr, c := range m.contacts {
		if !c.seed && !c.listed && !c.inFlight && now.Sub(c.usefulAt) > m.opts.Forget {
			c.client.Close()
			delete(m.contacts, addr)
		}
	}
	for key, mem := range m.members {
		if now.Sub(mem.heardAt) > m.opts.Forget {
			delete(m.members, key)
			event.Info(m.opts.Logger, event.PeerForgotten, "role", key.role, "peer", key.host)
		}
	}
	m.updateLive(self, now)
}
