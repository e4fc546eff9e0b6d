// Package membership keeps a process's view of the other agatewinch processes. Peers
// are found from the settings, the platform's host list and the heartbeats themselves;
// all three are hints, and a peer counts as live only while it is heard.
package membership

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"

	"agatewinch/internal/core"
	"agatewinch/internal/peer"
	"agatewinch/internal/platform"
	"agatewinch/internal/wire"
)

// Defaults of Options.
const (
	DefaultInterval      = 500 * time.Millisecond
	DefaultTimeout       = 1500 * time.Millisecond
	DefaultFarFactor     = 8
	DefaultForget        = 5 * time.Minute
	DefaultHostsInterval = 30 * time.Second
)

// jitterShare is the share of an interval by which it is varied, to spread heartbeats.
const jitterShare = 0.2

// hostsRetry is the pause after a failed read of the host list.
const hostsRetry = 3 * time.Second

// Seed is a peer's address from the settings.
type Seed struct {
	// Zone is the peer's availability zone, or empty when it is not known.
	Zone core.ZoneID
	Addr string
}

// ConfigStore holds the accepted configuration of this process.
type ConfigStore interface {
	// Offer hands over a record that a peer accepted as generation gen, and reports
	// whether it is now in force.
	Offer(record []byte, gen core.Generation) bool
	// PeersConsulted notes that every peer that answers was asked for its configuration.
	PeersConsulted()
}

// Options are a Membership's fixed parameters. Zero values take the defaults.
type Options struct {
	Seeds []Seed
	// Hosts is the platform's host list; nil leaves it out.
	Hosts platform.HostList
	// Config receives newer configurations from peers; nil leaves them out.
	Config ConfigStore
	// Interval lies between heartbeats to a scheduler of the own zone.
	Interval time.Duration
	// Timeout is how long a peer at Interval counts as live after it was last heard.
	Timeout time.Duration
	// FarFactor multiplies Interval and Timeout for other zones, and half of it for
	// gates of the own zone.
	FarFactor int
	// Forget is how long a peer that is not heard stays known.
	Forget time.Duration
	// HostsInterval lies between reads of the host list. It may be long: a new host is
	// known sooner by its own heartbeats.
	HostsInterval time.Duration
	// HTTPClient dials peers; nil takes a plain one.
	HTTPClient *http.Client
	Logger     logr.Logger
}

func (o *Options) setDefaults() {
	setDefault(&o.Interval, DefaultInterval)
	setDefault(&o.Timeout, DefaultTimeout)
	setDefault(&o.FarFactor, DefaultFarFactor)
	setDefault(&o.Forget, DefaultForget)
	setDefault(&o.HostsInterval, DefaultHostsInterval)
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Membership watches the peers of one process.
type Membership struct {
	opts        Options
	self        func() wire.Heartbeat
	incarnation uint64
	seq         sequence
	newer       chan wire.Heartbeat
	consulted   atomic.Bool

	mu       sync.Mutex
	contacts map[string]*contact
	members  map[memberKey]*member
	live     map[memberKey]bool
	changed  chan struct{}
	// told is what peers were last hurried to hear.
	told news
}

// New returns a membership that does not run yet. self describes this process now; its
// Incarnation, Seq and Hears are filled in here.
func New(opts Options, self func() wire.Heartbeat) *Membership {
	opts.setDefaults()
	m := &Membership{
		opts: opts, self: self, incarnation: rand.Uint64(),
		contacts: map[string]*contact{}, members: map[memberKey]*member{},
		live: map[memberKey]bool{}, changed: make(chan struct{}), newer: make(chan wire.Heartbeat, 1),
	}
	for _, s := range opts.Seeds {
		m.addContact(s.Addr, s.Zone).seed = true
	}
	return m
}

// Run sends heartbeats and reads the host list until ctx ends, and then closes the
// connections to all peers.
func (m *Membership) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return m.sendHeartbeats(ctx) })
	group.Go(func() error { return m.fetchConfigs(ctx) })
	if m.opts.Hosts != nil {
		group.Go(func() error { return m.readHosts(ctx) })
	}
	err := group.Wait()
	m.closeAll()
	return trace.Wrap(err)
}

func (m *Membership) closeAll() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, c := range m.contacts {
		c.client.Close()
	}
}

func (m *Membership) heartbeat(hears bool) wire.Heartbeat {
	hb := m.self()
	hb.Incarnation = m.incarnation
	hb.Seq = m.seq.next()
	hb.Hears = hears
	return hb
}

// HandleHeartbeat records a peer's heartbeat and returns this process's own.
func (m *Membership) HandleHeartbeat(hb wire.Heartbeat) wire.Heartbeat {
	if hb.Incarnation != m.incarnation {
		m.record(hb, time.Now(), hb.Hears)
		m.offerNewer(hb)
	}
	return m.heartbeat(true)
}

// LivePeers returns the last heartbeats of the other processes of a zone that were
// heard within the timeout, ordered by role and host.
func (m *Membership) LivePeers(zone core.ZoneID) []wire.Heartbeat {
	var out []wire.Heartbeat
	for _, p := range m.Peers() {
		if p.Heard && p.Zone == zone {
			out = append(out, p.Heartbeat)
		}
	}
	return out
}

// All returns the last heartbeats of all other processes heard within the timeout.
func (m *Membership) All() []wire.Heartbeat {
	var out []wire.Heartbeat
	for _, p := range m.Peers() {
		if p.Heard {
			out = append(out, p.Heartbeat)
		}
	}
	return out
}

// Changed returns a channel that is closed when a peer next appears, vanishes or
// changes its role, term or leaving mark.
func (m *Membership) Changed() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changed
}

func (m *Membership) notify() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// Client returns the client for the scheduler on a host, or nil when none is known.
func (m *Membership) Client(host string) *peer.Client {
	m.mu.Lock()
	defer m.mu.Unlock()
	mem, ok := m.members[memberKey{role: wire.RoleScheduler, host: host}]
	if !ok {
		return nil
	}
	c := m.contactOf(mem.beat)
	if c == nil {
		return nil
	}
	return c.client
}
