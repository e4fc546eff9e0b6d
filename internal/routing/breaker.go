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
	// failureThreshold is the number of consecutive failures that opens a circuit.
	failureThreshold = 3
	// Initial and maximum time for which a circuit stays open.
	initialOpenTime = 200 * time.Millisecond
	maxOpenTime     = 5 * time.Second
)

// breakers holds a circuit breaker for each peer. After failureThreshold consecutive
// failures the circuit opens and the peer gets no calls for a backoff interval, then one
// trial call for each further interval until one is answered. A heartbeat received since
// the last failure lets calls through too, because a long poll would show only at its end
// that the peer has recovered. Source: the circuit breaker of M. Nygard, Release It! (2007).
type breakers struct {
	logger logr.Logger

	mu    sync.Mutex
	peers map[string]*breaker
}

type breaker struct {
	failures  int
	openUntil time.Time
	// lastHeartbeat is the peer's latest heartbeat at the time of the last failure.
	lastHeartbeat heartbeatID
	backoff       *backoff.ExponentialBackOff
}

// heartbeatID identifies one heartbeat of a peer.
type heartbeatID struct{ incarnation, seq uint64 }

func heartbeatIDOf(hb wire.Heartbeat) heartbeatID {
	return heartbeatID{incarnation: hb.Incarnation, seq: hb.Seq}
}

func newBreakers(logger logr.Logger) *breakers {
	return &breakers{logger: logger, peers: map[string]*breaker{}}
}

// allow reports whether a call to a peer may be made. Allowing a trial call starts the next
// backoff interval.
func (b *breakers) allow(hb wire.Heartbeat, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	p, ok := b.peers[hb.Host]
	if !ok || p.failures < failureThreshold || heartbeatIDOf(hb) != p.lastHeartbeat {
		return true
	}
	if now.Before(p.openUntil) {
		return false
	}
	p.openUntil = now.Add(p.backoff.NextBackOff())
	return true
}

// recordResult records whether a call to a peer was answered.
func (b *breakers) recordResult(hb wire.Heartbeat, answered bool, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p, ok := b.peers[hb.Host]
	if answered {
		if ok && p.failures >= failureThreshold {
			event.Info(b.logger, event.CircuitClosed, "peer", hb.Host)
		}
		delete(b.peers, hb.Host)
		return
	}
	if !ok {
		p = &breaker{backoff: &backoff.ExponentialBackOff{
			InitialInterval: initialOpenTime, MaxInterval: maxOpenTime, Multiplier: 2, RandomizationFactor: 0.5,
		}}
		b.peers[hb.Host] = p
	}
	p.failures++
	p.lastHeartbeat = heartbeatIDOf(hb)
	if p.failures == failureThreshold {
		count(countCircuitsOpened)
		event.Info(b.logger, event.CircuitOpen, "peer", hb.Host)
		p.openUntil = now.Add(p.backoff.NextBackOff())
	}
}
