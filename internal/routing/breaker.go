package routing

import (
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/go-logr/logr"

	"agatewinch/internal/event"
	"agatewinch/internal/wire"
)

const (
	// openAfter is the number of consecutive failures that opens a circuit.
	openAfter = 3
	// Bounds of the time for which a circuit stays open.
	firstOpen = 200 * time.Millisecond
	lastOpen  = 5 * time.Second
)

// breakers holds a circuit breaker for each peer: after consecutive failures the peer
// gets no calls for a while, and then one call for each further while until one is
// answered. A heartbeat heard since the last failure lets calls through too, for a long
// poll would tell only at its end that the peer is back. Source: the circuit breaker of
// M. Nygard, Release It! (2007).
type breakers struct {
	logger logr.Logger

	mu    sync.Mutex
	peers map[string]*breaker
}

type breaker struct {
	failures  int
	openUntil time.Time
	// heard is the peer's last heartbeat at the time of the last failure.
	heard beat
	wait  *backoff.ExponentialBackOff
}

// beat names one heartbeat of a peer.
type beat struct{ incarnation, seq uint64 }

func beatOf(hb wire.Heartbeat) beat { return beat{incarnation: hb.Incarnation, seq: hb.Seq} }

func newBreakers(logger logr.Logger) *breakers {
	return &breakers{logger: logger, peers: map[string]*breaker{}}
}

// allow reports whether a call to a peer may be made.
func (b *breakers) allow(hb wire.Heartbeat, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	p, ok := b.peers[hb.Host]
	if !ok || p.failures < openAfter || beatOf(hb) != p.heard {
		return true
	}
	if now.Before(p.openUntil) {
		return false
	}
	p.openUntil = now.Add(p.wait.NextBackOff())
	return true
}

// done takes in whether a call to a peer was answered.
func (b *breakers) done(hb wire.Heartbeat, answered bool, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p, ok := b.peers[hb.Host]
	if answered {
		if ok && p.failures >= openAfter {
			event.Info(b.logger, event.CircuitClosed, "peer", hb.Host)
		}
		delete(b.peers, hb.Host)
		return
	}
	if !ok {
		p = &breaker{wait: &backoff.ExponentialBackOff{
			InitialInterval: firstOpen, MaxInterval: lastOpen, Multiplier: 2, RandomizationFactor: 0.5,
		}}
		b.peers[hb.Host] = p
	}
	p.failures++
	p.heard = beatOf(hb)
	if p.failures == openAfter {
		count(countCircuitsOpened)
		event.Info(b.logger, event.CircuitOpen, "peer", hb.Host)
		p.openUntil = now.Add(p.wait.NextBackOff())
	}
}
