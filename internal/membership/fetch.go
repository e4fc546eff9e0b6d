package membership

import (
	"context"

	"github.com/gravitational/trace"

	"agatewinch/internal/core"
	"agatewinch/internal/event"
	"agatewinch/internal/wire"
)

// offerNewer notes a peer whose heartbeat shows a higher generation than this process
// has. While a fetch is pending others are passed over: a later heartbeat notes them
// again.
func (m *Membership) offerNewer(hb wire.Heartbeat) {
	if m.opts.Config == nil || hb.Addr == "" || hb.Generation <= m.self().Generation {
		return
	}
	select {
	case m.newer <- hb:
	default:
	}
}

// fetchConfigs fetches the configuration from peers that have a newer one.
func (m *Membership) fetchConfigs(ctx context.Context) error {
	for {
		select {
		case hb := <-m.newer:
			if err := m.fetchConfig(ctx, hb); err != nil && ctx.Err() == nil {
				event.Error(m.opts.Logger, err, event.PeerConfigFailed, "peer", hb.Host, "generation", hb.Generation)
			}
		case <-ctx.Done():
			return trace.Wrap(ctx.Err())
		}
	}
}

func (m *Membership) fetchConfig(ctx context.Context, hb wire.Heartbeat) error {
	have := m.self().Generation
	if hb.Generation <= have {
		return nil
	}
	m.mu.Lock()
	client := m.contactOf(hb).client
	m.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, m.opts.Timeout)
	defer cancel()
	var reply wire.ConfigReply
	if err := client.Call(ctx, wire.KindConfig, wire.Config{Have: have}, &reply); err != nil {
		return trace.Wrap(err)
	}
	if reply.Generation <= have {
		return nil
	}
	if !m.opts.Config.Offer(reply.Record, reply.Generation) {
		return trace.CompareFailed("generation %d from %s was not taken", reply.Generation, hb.Host)
	}
	m.noteConsulted()
	return nil
}

// noteConsulted tells the configuration's holder once that the peers were consulted:
// each contact has answered or failed, some have answered, and none of those has a
// newer generation than this process.
func (m *Membership) noteConsulted() {
	if m.opts.Config == nil || m.consulted.Load() {
		return
	}
	if m.peersAsked(m.self().Generation) && m.consulted.CompareAndSwap(false, true) {
		m.opts.Config.PeersConsulted()
	}
}

func (m *Membership) peersAsked(have core.Generation) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	answered := false
	for _, c := range m.contacts {
		if c.self {
			continue
		}
		if c.sentAt.IsZero() {
			return false
		}
		answered = answered || c.failures == 0
	}
	for _, mem := range m.members {
		if mem.beat.Generation > have {
			return false
		}
	}
	return answered
}
