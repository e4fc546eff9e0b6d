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

type memberKey struct {
	role string
	host string
}

// member is what is known of one process on one host.
type member struct {
	beat wire.Heartbeat
	// heardAt is when its last heartbeat or answer came in.
	heardAt time.Time
	// reachedAt is when it was last known to hear this process: it answered, or its
	// heartbeat said so.
	reachedAt time.Time
}

// Peer is a process as this one sees it.
type Peer struct {
	wire.Heartbeat
	// Heard is true when a heartbeat or an answer came in within the timeout.
	Heard bool
	// Reached is true when the peer was known within the timeout to hear this process.
	// A peer that is heard but not reached is behind a link cut one way.
	Reached bool
	// Silent is the time since the peer was last heard.
	Silent time.Duration
}

type sequence struct{ n atomic.Uint64 }

func (s *sequence) next() uint64 { return s.n.Add(1) }

// record takes a heartbeat in. One of the same incarnation that is older than the last
// proves only that the peer was alive.
func (m *Membership) record(hb wire.Heartbeat, now time.Time, reached bool) {
	self := m.self()
	key := memberKey{role: hb.Role, host: hb.Host}
	m.mu.Lock()
	defer m.mu.Unlock()
	mem, ok := m.members[key]
	if !ok {
		mem = &member{}
		m.members[key] = mem
	}
	before := mem.beat
	mem.heardAt = now
	if reached {
		mem.reachedAt = now
	}
	if hb.Incarnation != before.Incarnation || hb.Seq > before.Seq {
		mem.beat = hb
	}
	if ok && hb.Incarnation != before.Incarnation {
		event.Info(m.opts.Logger, event.PeerReplaced, "role", hb.Role, "peer", hb.Host, "addr", hb.Addr)
	}
	if hb.Role == wire.RoleScheduler {
		m.postpone(self, m.contactOf(hb), mem, now)
	}
	m.updateLive(self, now)
	if notable(before) != notable(mem.beat) {
		m.notify()
	}
}

// postpone spares the next heartbeat to a peer whose own has just come in: the answer
// to it tells the peer all that the heartbeat would. It is not spared when the peer
// does not hear this process.
func (m *Membership) postpone(self wire.Heartbeat, c *contact, mem *member, now time.Time) {
	if c == nil {
		return
	}
	c.usefulAt = now
	if mem.beat.Hears && now.Sub(c.sentAt) < m.opts.Forget {
		c.due = now.Add(m.interval(self, c))
	}
}

// facts are the parts of a heartbeat whose change matters to waiters.
type facts struct {
	active      bool
	leaving     bool
	term        uint64
	addr        string
	incarnation uint64
}

func notable(hb wire.Heartbeat) facts {
	return facts{active: hb.Active, leaving: hb.Leaving, term: uint64(hb.Term), addr: hb.Addr, incarnation: hb.Incarnation}
}

func (m *Membership) within(self wire.Heartbeat, mem *member, at, now time.Time) bool {
	timeout := m.opts.Timeout * m.factor(self, mem.beat.Zone, mem.beat.Role)
	return !at.IsZero() && now.Sub(at) <= timeout
}

// updateLive compares who is live with the last time and tells waiters of a change;
// the caller holds the lock.
func (m *Membership) updateLive(self wire.Heartbeat, now time.Time) {
	changed := false
	for key, mem := range m.members {
		live := m.within(self, mem, mem.heardAt, now)
		if live == m.live[key] {
			continue
		}
		changed = true
		if live {
			m.live[key] = true
			event.Info(m.opts.Logger, event.PeerLive, "role", key.role, "peer", key.host, "addr", mem.beat.Addr)
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

// Peers returns all known peers, live or not, ordered by role and host.
func (m *Membership) Peers() []Peer {
	self := m.self()
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]Peer, 0, len(m.members))
	for _, mem := range m.members {
		out = append(out, Peer{
			Heartbeat: mem.beat,
			Heard:     m.within(self, mem, mem.heardAt, now),
			Reached:   m.within(self, mem, mem.reachedAt, now),
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
		if key.role == wire.RoleScheduler && m.within(self, mem, mem.heardAt, now) {
			out = append(out, mem.beat)
		}
	}
	return out
}

// Scheduler is an address at which a scheduler is or was known.
type Scheduler struct {
	Zone core.ZoneID
	Addr string
	// Client is the way to it.
	Client *peer.Client
}

// Schedulers returns one address for each known scheduler, heard or not, ordered by
// zone and address. An address that never answered may be any process's.
func (m *Membership) Schedulers() []Scheduler {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []Scheduler
	for _, c := range m.contacts {
		mem := m.members[memberKey{role: c.role, host: c.host}]
		moved := mem != nil && m.contactOf(mem.beat) != c
		if !c.self && c.role != wire.RoleGate && !moved {
			out = append(out, Scheduler{Zone: c.zone, Addr: c.addr, Client: c.client})
		}
	}
	slices.SortFunc(out, func(a, b Scheduler) int {
		return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Addr, b.Addr))
	})
	return out
}
