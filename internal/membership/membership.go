// Package membership tracks the other agatewinch processes by heartbeats. Peers are
// discovered from the settings, the platform's host list and received heartbeats. These
// only suggest addresses to contact: a peer counts as live only while it is heard.
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

// Defaults of the options.
const (
	DefaultInterval      = 500 * time.Millisecond
	DefaultTimeout       = 1500 * time.Millisecond
	DefaultFarFactor     = 8
	DefaultForgetAfter   = 5 * time.Minute
	DefaultHostsInterval = 30 * time.Second
)

// jitterShare is the maximum share of an interval by which it is varied, so that heartbeats
// are spread over time.
const jitterShare = 0.2

// maxHostsRetryDelay is the maximum delay after a failed read of the host list, before jitter.
const maxHostsRetryDelay = 3 * time.Second

// Seed is a peer's address from the settings.
type Seed struct {
	// Zone is the peer's availability zone, or empty when unknown.
	Zone core.ZoneID
	Addr string
}

// ConfigStore holds the accepted configuration of this process.
type ConfigStore interface {
	// Offer passes a configuration record that a peer accepted as generation gen, and
	// reports whether it is now in force.
	Offer(record []byte, gen core.Generation) bool
	// PeersConsulted is called once when all peers were contacted, at least one answered and
	// no known one has a newer configuration.
	PeersConsulted()
}

// Options are a Membership's fixed parameters. Zero values take the defaults.
type Options struct {
	Seeds []Seed
	// Hosts is the platform's host list; nil disables discovery from it.
	Hosts platform.HostList
	// Config receives newer configurations from peers; nil disables fetching them.
	Config ConfigStore
	// Interval is the time between heartbeats of schedulers of the same zone.
	Interval time.Duration
	// Timeout is how long a peer at Interval counts as live after it was last heard. It also
	// limits the duration of a heartbeat call and of a fetch of a configuration.
	Timeout time.Duration
	// FarFactor multiplies Interval and Timeout between zones; half of it applies between a
	// gate and a process of the same zone.
	FarFactor int
	// ForgetAfter is the time after which a peer that is not heard is forgotten.
	ForgetAfter time.Duration
	// HostsInterval is the time between reads of the host list. It can be long: a new host
	// is discovered sooner by its own heartbeats.
	HostsInterval time.Duration
	// HTTPClient connects to peers; nil selects a default client.
	HTTPClient *http.Client
	Logger     logr.Logger
}

func (o *Options) setDefaults() {
	setDefault(&o.Interval, DefaultInterval)
	setDefault(&o.Timeout, DefaultTimeout)
	setDefault(&o.FarFactor, DefaultFarFactor)
	setDefault(&o.ForgetAfter, DefaultForgetAfter)
	setDefault(&o.HostsInterval, DefaultHostsInterval)
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Membership tracks the peers of one process.
type Membership struct {
	opts          Options
	self          func() wire.Heartbeat
	incarnation   uint64
	seq           sequence
	configFetches chan wire.Heartbeat
	consulted     atomic.Bool

	mu       sync.Mutex
	contacts map[string]*contact
	members  map[memberKey]*member
	live     map[memberKey]bool
	changed  chan struct{}
	// announced is the state for which heartbeats were last expedited.
	announced announcement
}

// New returns a membership that is not running yet. self returns the present state of this
// process; the Membership sets Incarnation, Seq and ReceivesHeartbeats in it.
func New(opts Options, self func() wire.Heartbeat) *Membership {
	opts.setDefaults()
	m := &Membership{
		opts: opts, self: self, incarnation: rand.Uint64(),
		contacts: map[string]*contact{}, members: map[memberKey]*member{},
		live: map[memberKey]bool{}, changed: make(chan struct{}), configFetches: make(chan wire.Heartbeat, 1),
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

// heartbeat returns this process's next heartbeat, with the given value of
// ReceivesHeartbeats.
func (m *Membership) heartbeat(receives bool) wire.Heartbeat {
	hb := m.self()
	hb.Incarnation = m.incarnation
	hb.Seq = m.seq.next()
	hb.ReceivesHeartbeats = receives
	return hb
}

// HandleHeartbeat records a peer's heartbeat and returns this process's own as the reply.
func (m *Membership) HandleHeartbeat(hb wire.Heartbeat) wire.Heartbeat {
	if hb.Incarnation != m.incarnation {
		m.recordHeartbeat(hb, time.Now(), hb.ReceivesHeartbeats)
		m.queueConfigFetch(hb)
	}
	return m.heartbeat(true)
}

// LivePeers returns the last heartbeats of the other processes of a zone that were
// heard within the timeout, sorted by role and host.
func (m *Membership) LivePeers(zone core.ZoneID) []wire.Heartbeat {
	var out []wire.Heartbeat
	for _, p := range m.Peers() {
		if p.Heard && p.Zone == zone {
			out = append(out, p.Heartbeat)
		}
	}
	return out
}

// AllLivePeers returns the last heartbeats of all other processes heard within the timeout,
// sorted by role and host.
func (m *Membership) AllLivePeers() []wire.Heartbeat {
	var out []wire.Heartbeat
	for _, p := range m.Peers() {
		if p.Heard {
			out = append(out, p.Heartbeat)
		}
	}
	return out
}

// Changed returns a channel that is closed when a peer next becomes live or stops being so,
// or changes its active or leaving state, term, address or incarnation.
func (m *Membership) Changed() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changed
}

// notify closes the channel returned by Changed; the caller holds m.mu.
func (m *Membership) notify() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// Client returns the client for the scheduler on a host, or nil if there is none.
func (m *Membership) Client(host string) *peer.Client {
	m.mu.Lock()
	defer m.mu.Unlock()
	mem, ok := m.members[memberKey{role: wire.RoleScheduler, host: host}]
	if !ok {
		return nil
	}
	c := m.contactOf(mem.heartbeat)
	if c == nil {
		return nil
	}
	return c.client
}
