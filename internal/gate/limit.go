package gate

import (
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"agatewinch/internal/config"
	"agatewinch/internal/errkind"
)

// Limits bound what a gate takes on.
type Limits struct {
	// Requests bounds the callers' open requests, polls included.
	Requests int
	// OperatorRequests bounds the operators' open requests.
	OperatorRequests int
	// Connections bounds open connections.
	Connections int
	// RequestRate and RequestBurst bound one organisation's requests a second, where
	// the configuration does not say otherwise.
	RequestRate  int
	RequestBurst int
}

// DefaultLimits are generous for a small entry host.
var DefaultLimits = Limits{Requests: 8192, OperatorRequests: 64, Connections: 16384, RequestRate: 5000, RequestBurst: 10000}

// overloadRetry is the shortest advice to callers that met a full host.
const overloadRetry = time.Second

// jittered returns a time from d to twice d in seconds, so that callers that were
// refused together do not come back together.
func jittered(d time.Duration) float64 { return d.Seconds() * (1 + rand.Float64()) }

// openRequests counts open requests, callers' and operators' apart, so that a flood of
// callers does not shut out operators.
type openRequests struct {
	callers, operators       atomic.Int64
	maxCallers, maxOperators int64
}

// enter counts a request in; release must be called at its end.
func (o *openRequests) enter(role config.Role) (release func(), err error) {
	count, limit := &o.callers, o.maxCallers
	if role == config.RoleOperator {
		count, limit = &o.operators, o.maxOperators
	}
	release = func() { count.Add(-1) }
	if count.Add(1) > limit {
		release()
		return nil, retryError(errkind.Overloaded, "too many open requests", overloadRetry)
	}
	return release, nil
}

func retryError(kind errkind.Kind, message string, after time.Duration) error {
	return &errkind.Error{Kind: kind, Message: message, RetryAfterSeconds: jittered(after)}
}

// ConnLimit closes connections over a bound as they come; its method is a server's
// ConnState hook.
type ConnLimit struct {
	max  int
	mu   sync.Mutex
	open map[net.Conn]bool
}

// NewConnLimit returns a limit of n connections.
func NewConnLimit(n int) *ConnLimit { return &ConnLimit{max: n, open: map[net.Conn]bool{}} }

// ConnState counts conn, or closes it when there are too many.
func (l *ConnLimit) ConnState(conn net.Conn, state http.ConnState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch state {
	case http.StateNew:
		if len(l.open) >= l.max {
			_ = conn.Close()
			return
		}
		l.open[conn] = true
	case http.StateClosed, http.StateHijacked:
		delete(l.open, conn)
	}
}
