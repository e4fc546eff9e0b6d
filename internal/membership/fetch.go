package membership

import (
	"context"

	"github.com/gravitational/trace"

	"agatewinch/internal/core"
	"agatewinch/internal/event"
	"agatewinch/internal/wire"
)

// queueConfigFetch queues a fetch of the configuration from a peer whose heartbeat has a
// higher generation than this process. While another fetch is queued the heartbeat is
// ignored: a later heartbeat of the peer queues it again.
func (m *Membership) queueConfigFetch(hb wire.Heartbeat) {
	if m.opts.Config == nil || hb.Addr == "" || hb.Generation <= m.self().Generation {
		return
	}
	select {
	case m.configFetches <- hb:
	default:
	}
}

// fetchConfigs fetches configurations from the peers queued by queueConfigFetch.
func (m *Membership) fetchConfigs(ctx context.Context) error {
	for {
		select {
		case hb := <-m.configFetches:
			if err := m.fetchConfig(ctx, hb); err != nil && ctx.Err() == nil {
				event.Error(m.opts.Logger, err, event.PeerConfigFailed, "peer", hb.Host, "generation", hb.Generation)
			}
		case <-ctx.Done():
			return trace.Wrap(ctx.Err())
		}
	}
}

// fetchConfig fetches the configuration from a peer and hands it to the ConfigStore.
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
		return trace.CompareFailed("configuration generation %d from peer %s did not come into force", reply.Generation, hb.Host)
	}
	m.notifyConsulted()
	return nil
}

// notifyConsulted notifies the ConfigStore, once, when the peers have been consulted: a
// heartbeat to each contact has succeeded or failed, at least one contact answers, and no
// known peer has a newer generation than this process.
func (m *Membership) notifyConsulted() {
	if m.opts.Config == nil || m.consulted.Load() {
		return
	}
	if m.peersConsulted(m.self().Generation) && m.consulted.CompareAndSwap(false, true) {
		m.opts.Config.PeersConsulted()
	}
}

// peersConsulted reports whether the peers have been consulted, given that this process has
// the configuration of generation have.
func (m *Membership) peersConsulted(have core.Generation) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	answered := false
	for _, c := range m.contacts {
		if c.self {
			continue
		}
		if c.completedAt.IsZero() {
			return false
		}
		answered = answered || c.failures == 0
	}
	for _, mem := range m.members {
		if mem.heartbeat.Generation > have {
			return false
		}
	}
	return answered
}
