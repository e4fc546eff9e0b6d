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
	// ticksPerInterval is how often per heartbeat interval the loop checks for due heartbeats.
	ticksPerInterval = 5
	// maxBackoffFactor limits the backoff for a contact that does not answer, as a multiple of
	// Options.Interval.
	maxBackoffFactor = 4
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
	// self is true when the process that last answered at the address is this one.
	self bool
	// role, host and incarnation are those of the process that last answered at the address.
	role        string
	host        string
	incarnation uint64
	// inFlight is true while a heartbeat to the address waits for its reply, and due is when
	// the next heartbeat is to be sent.
	inFlight bool
	due      time.Time
	// completedAt is when the last heartbeat to the address was answered or failed; zero
	// before the first one.
	completedAt time.Time
	// failures is the number of heartbeats that have failed since the last one answered.
	failures int
	// lastUseful is when the contact last answered, was listed or was heard from. Contacts
	// that are neither seeds nor listed are dropped Options.ForgetAfter after it.
	lastUseful time.Time
}

// addContact returns the contact for addr and adds it if there is none. The caller holds
// m.mu, or is New.
func (m *Membership) addContact(addr string, zone core.ZoneID) *contact {
	c, ok := m.contacts[addr]
	if !ok {
		c = &contact{addr: addr, zone: zone, client: peer.NewClient(addr, peer.WithHTTPClient(m.opts.HTTPClient)), lastUseful: time.Now()}
		m.contacts[addr] = c
	}
	if zone != "" {
		c.zone = zone
	}
	return c
}

// contactOf returns the contact for a heartbeat's sender: an address at which the sender
// answers, else the address in the heartbeat, or nil without one. The caller holds m.mu.
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

// isNear reports whether two processes exchange heartbeats at Options.Interval: both are
// schedulers of the same zone. An unknown role counts as a scheduler.
func isNear(self wire.Heartbeat, zone core.ZoneID, role string) bool {
	return self.Role == wire.RoleScheduler && role != wire.RoleGate && zone == self.Zone
}

// factor returns the factor of Options.Interval and Options.Timeout for a peer: half of
// FarFactor between a gate and a process of the same zone, FarFactor between zones.
func (m *Membership) factor(self wire.Heartbeat, zone core.ZoneID, role string) time.Duration {
	switch {
	case isNear(self, zone, role):
		return 1
	case zone == self.Zone:
		return time.Duration(max(m.opts.FarFactor/2, 1))
	default:
		return time.Duration(m.opts.FarFactor)
	}
}

// interval returns the time until the next heartbeat to a contact, with jitter and, after
// failures, exponential backoff of up to maxBackoffFactor times Options.Interval. A regular
// interval of that length or more is not extended.
func (m *Membership) interval(self wire.Heartbeat, c *contact) time.Duration {
	d := m.opts.Interval * m.factor(self, c.zone, c.role)
	d = min(d<<min(c.failures, 8), max(d, m.opts.Interval*maxBackoffFactor))
	return jittered(d)
}

// jittered returns d varied by a random share of up to jitterShare in both directions.
func jittered(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + jitterShare*(2*rand.Float64()-1)))
}

// sendHeartbeats sends each contact a heartbeat when it is due, with at most one in flight
// for each.
func (m *Membership) sendHeartbeats(ctx context.Context) error {
	var running sync.WaitGroup
	defer running.Wait()
	tick := time.NewTicker(m.opts.Interval / ticksPerInterval)
	defer tick.Stop()
	for {
		for _, c := range m.takeDue(time.Now()) {
			running.Go(func() { m.sendHeartbeat(ctx, c) })
		}
		m.expire(time.Now())
		select {
		case <-tick.C:
		case <-ctx.Done():
			return trace.Wrap(ctx.Err())
		}
	}
}

// takeDue returns the contacts whose heartbeats are due and marks them as in flight.
func (m *Membership) takeDue(now time.Time) []*contact {
	self := m.self()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expedite(self, now)
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

// announcement is the part of this process's state whose changes are sent to peers without
// waiting for the next regular heartbeat.
type announcement struct {
	peerState
	generation core.Generation
}

// expedite makes all heartbeats due within Options.Interval when the announced state has
// changed; the caller holds m.mu.
func (m *Membership) expedite(self wire.Heartbeat, now time.Time) {
	current := announcement{peerState: stateOf(self), generation: self.Generation}
	if current == m.announced {
		return
	}
	m.announced = current
	for _, c := range m.contacts {
		soon := now.Add(time.Duration(rand.Float64() * float64(m.opts.Interval)))
		if soon.Before(c.due) {
			c.due = soon
		}
	}
}

// sendHeartbeat sends one heartbeat and records the reply.
func (m *Membership) sendHeartbeat(ctx context.Context, c *contact) {
	ctx, cancel := context.WithTimeout(ctx, m.opts.Timeout)
	defer cancel()
	var reply wire.Heartbeat
	err := c.client.Call(ctx, wire.KindHeartbeat, m.heartbeat(m.hears(c.addr)), &reply)
	now := time.Now()
	self := m.self()
	m.mu.Lock()
	c.inFlight = false
	if err == nil {
		c.failures = 0
		c.lastUseful = now
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
		m.recordHeartbeat(reply, now, true)
		m.queueConfigFetch(reply)
	}
	m.markCompleted(c, now)
	m.notifyConsulted()
}

// markCompleted records that a heartbeat to c was answered or has failed. It follows recordHeartbeat: a
// contact that counts as consulted before the generation of its peer is known would hide a newer
// configuration.
func (m *Membership) markCompleted(c *contact, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	c.completedAt = now
}

// hears reports whether the process at addr was heard within the timeout for it.
func (m *Membership) hears(addr string) bool {
	self := m.self()
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, mem := range m.members {
		if mem.heartbeat.Addr == addr {
			return m.withinTimeout(self, mem, mem.heardAt, time.Now())
		}
	}
	return false
}

// ExchangeHeartbeats immediately sends a heartbeat to each contact of a zone that has none in
// flight, and waits until each is answered or has failed or ctx ends. Contacts of an unknown zone
// are included; an empty zone means all zones.
func (m *Membership) ExchangeHeartbeats(ctx context.Context, zone core.ZoneID) {
	var running sync.WaitGroup
	self := m.self()
	m.mu.Lock()
	for _, c := range m.contacts {
		if c.self || c.inFlight || c.addr == self.Addr || (zone != "" && c.zone != "" && c.zone != zone) {
			continue
		}
		c.inFlight = true
		running.Go(func() { m.sendHeartbeat(ctx, c) })
	}
	m.mu.Unlock()
	running.Wait()
}

// readHosts keeps the entry hosts of the platform's host list as contacts. While the list
// cannot be read, the contacts of the last successful read stay.
func (m *Membership) readHosts(ctx context.Context) error {
	for {
		wait := m.opts.HostsInterval
		if hosts, err := m.opts.Hosts.Hosts(ctx); err == nil {
			m.updateListed(hosts)
		} else {
			wait = min(wait, maxHostsRetryDelay)
		}
		select {
		case <-time.After(jittered(wait)):
		case <-ctx.Done():
			return trace.Wrap(ctx.Err())
		}
	}
}

// updateListed updates the contacts from a host list.
func (m *Membership) updateListed(hosts []platform.Host) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	for _, c := range m.contacts {
		if c.listed {
			c.lastUseful = now
		}
		c.listed = false
	}
	for _, h := range hosts {
		if h.Kind == platform.EntryHost && h.Addr != "" {
			m.addContact(h.Addr, h.Zone).listed = true
		}
	}
}

// expire drops members and discovered contacts that were not heard for Options.ForgetAfter, and
// notifies waiters when a peer is no longer live.
func (m *Membership) expire(now time.Time) {
	self := m.self()
	m.mu.Lock()
	defer m.mu.Unlock()
	for addr, c := range m.contacts {
		if !c.seed && !c.listed && !c.inFlight && now.Sub(c.lastUseful) > m.opts.ForgetAfter {
			c.client.Close()
			delete(m.contacts, addr)
		}
	}
	for key, mem := range m.members {
		if now.Sub(mem.heardAt) > m.opts.ForgetAfter {
			delete(m.members, key)
			event.Info(m.opts.Logger, event.PeerForgotten, "role", key.role, "peer", key.host)
		}
	}
	m.updateLive(self, now)
}
