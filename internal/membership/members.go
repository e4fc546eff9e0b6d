package membership

import (
	"cmp"
	"slices"
	"sync/atomic"
	"time"

	"agatewinch/internal/core"
	"agatewinch/internal/event"
	"agatewinch/internal/peer"
	"agatewinch/internal/wire"
)

// memberKey identifies a member. A gate and a scheduler can run on one host.
type memberKey struct {
	role string
	host string
}

// member is the known state of one peer.
type member struct {
	heartbeat wire.Heartbeat
	// heardAt is when its last heartbeat or response was received.
	heardAt time.Time
	// reachedAt is when it last showed that it hears this process: it answered, or its
	// heartbeat had ReceivesHeartbeats set.
	reachedAt time.Time
}

// Peer is the state of another process as known to this one.
type Peer struct {
	wire.Heartbeat
	// Heard is true when a heartbeat was received, or a reply to one, within the timeout.
	Heard bool
	// Reached is true when the peer showed within the timeout that it hears this process.
	// A peer that is heard but not reached is behind a one-way partition.
	Reached bool
	// Silent is the time since the peer was last heard.
	Silent time.Duration
}

// sequence generates the sequence numbers of heartbeats.
type sequence struct{ n atomic.Uint64 }

func (s *sequence) next() uint64 { return s.n.Add(1) }

// recordHeartbeat updates the members from a heartbeat. One that is older than the last of
// the same incarnation shows only that the peer was alive and updates only the times.
func (m *Membership) recordHeartbeat(hb wire.Heartbeat, now time.Time, reached bool) {
	self := m.self()
	key := memberKey{role: hb.Role, host: hb.Host}
	m.mu.Lock()
	defer m.mu.Unlock()
	mem, ok := m.members[key]
	if !ok {
		mem = &member{}
		m.members[key] = mem
	}
	before := mem.heartbeat
	mem.heardAt = now
	if reached {
		mem.reachedAt = now
	}
	if hb.Incarnation != before.Incarnation || hb.Seq > before.Seq {
		mem.heartbeat = hb
	}
	if ok && hb.Incarnation != before.Incarnation {
		event.Info(m.opts.Logger, event.PeerReplaced, "role", hb.Role, "peer", hb.Host, "addr", hb.Addr)
	}
	if hb.Role == wire.RoleScheduler {
		m.deferHeartbeat(self, m.contactOf(hb), mem, now)
	}
	m.updateLive(self, now)
	if stateOf(before) != stateOf(mem.heartbeat) {
		m.notify()
	}
}

// deferHeartbeat postpones the next heartbeat to a peer whose own was just received: the
// response to that one carries the same state. It postpones nothing when the peer does not
// hear this process or no heartbeat to it has completed within Options.ForgetAfter.
func (m *Membership) deferHeartbeat(self wire.Heartbeat, c *contact, mem *member, now time.Time) {
	if c == nil {
		return
	}
	c.lastUseful = now
	if mem.heartbeat.ReceivesHeartbeats && now.Sub(c.completedAt) < m.opts.ForgetAfter {
		c.due = now.Add(m.interval(self, c))
	}
}

// peerState is the part of a heartbeat whose changes are reported by Membership.Changed.
type peerState struct {
	active      bool
	leaving     bool
	term        uint64
	addr        string
	incarnation uint64
}

// stateOf returns the peerState of a heartbeat.
func stateOf(hb wire.Heartbeat) peerState {
	return peerState{active: hb.Active, leaving: hb.Leaving, term: uint64(hb.Term), addr: hb.Addr, incarnation: hb.Incarnation}
}

// withinTimeout reports whether at is set and not longer ago than the timeout for a member.
func (m *Membership) withinTimeout(self wire.Heartbeat, mem *member, at, now time.Time) bool {
	timeout := m.opts.Timeout * m.factor(self, mem.heartbeat.Zone, mem.heartbeat.Role)
	return !at.IsZero() && now.Sub(at) <= timeout
}

// updateLive updates the set of live members and notifies waiters when it changed; the
// caller holds m.mu.
func (m *Membership) updateLive(self wire.Heartbeat, now time.Time) {
	changed := false
	for key, mem := range m.members {
		live := m.withinTimeout(self, mem, mem.heardAt, now)
		if live == m.live[key] {
			continue
		}
		changed = true
		if live {
			m.live[key] = true
			event.Info(m.opts.Logger, event.PeerLive, "role", key.role, "peer", key.host, "addr", mem.heartbeat.Addr)
		} else {
			delete(m.live, key)
			event.Info(m.opts.Logger, event.PeerSilent, "role", key.role, "peer", key.host, "silent", now.Sub(mem.heardAt).String())
		}
	}
	for key := range m.live {
		if _, ok := m.members[key]; !ok {
			delete(m.live, key)
			changed = true
		}
	}
	if changed {
		m.notify()
	}
}

// Peers returns all known peers, live or not, sorted by role and host.
func (m *Membership) Peers() []Peer {
	self := m.self()
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]Peer, 0, len(m.members))
	for _, mem := range m.members {
		out = append(out, Peer{
			Heartbeat: mem.heartbeat,
			Heard:     m.withinTimeout(self, mem, mem.heardAt, now),
			Reached:   m.withinTimeout(self, mem, mem.reachedAt, now),
			Silent:    now.Sub(mem.heardAt),
		})
	}
	slices.SortFunc(out, func(a, b Peer) int {
		return cmp.Or(cmp.Compare(a.Role, b.Role), cmp.Compare(a.Host, b.Host))
	})
	return out
}

// HeardSchedulers returns the last heartbeats of the schedulers heard within the
// timeout, in no particular order.
func (m *Membership) HeardSchedulers() []wire.Heartbeat {
	self := m.self()
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]wire.Heartbeat, 0, len(m.members))
	for key, mem := range m.members {
		if key.role == wire.RoleScheduler && m.withinTimeout(self, mem, mem.heardAt, now) {
			out = append(out, mem.heartbeat)
		}
	}
	return out
}

// Scheduler is a known address of a scheduler.
type Scheduler struct {
	Zone core.ZoneID
	Addr string
	// Client sends calls to the address.
	Client *peer.Client
}

// Schedulers returns one address of each known scheduler, heard or not, sorted by zone and
// address. An address that has never answered is included and may be that of any process.
func (m *Membership) Schedulers() []Scheduler {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []Scheduler
	for _, c := range m.contacts {
		mem := m.members[memberKey{role: c.role, host: c.host}]
		moved := mem != nil && m.contactOf(mem.heartbeat) != c
		if !c.self && c.role != wire.RoleGate && !moved {
			out = append(out, Scheduler{Zone: c.zone, Addr: c.addr, Client: c.client})
		}
	}
	slices.SortFunc(out, func(a, b Scheduler) int {
		return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Addr, b.Addr))
	})
	return out
}
