package gate

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"agatewinch/internal/config"
	"agatewinch/internal/errkind"
)

// Limits bounds the requests and connections that a gate accepts.
type Limits struct {
	// Requests bounds the callers' open requests, including polls.
	Requests int
	// OperatorRequests bounds the operators' open requests.
	OperatorRequests int
	// Connections bounds open connections.
	Connections int
	// HeldBytes bounds the memory of requests that are unfinished or being handled, in bytes; zero
	// means that of DefaultLimits.
	HeldBytes int64
	// RequestRate, in requests per second, and RequestBurst limit each organisation
	// unless the configuration sets other values for it.
	RequestRate  int
	RequestBurst int
}

// DefaultLimits are the defaults of a gate's settings; a small entry host needs less.
var DefaultLimits = Limits{Requests: 8192, OperatorRequests: 64, Connections: 16384, HeldBytes: 256 << 20, RequestRate: 5000, RequestBurst: 10000}

// minRetryAfter is the shortest retry delay, before jitter, for a request that is refused
// because of overload, its organisation's rate or the shutdown of the host.
const minRetryAfter = time.Second

// jittered returns a random time between d and twice d, in seconds, so that callers
// refused at the same time do not all retry at the same time.
func jittered(d time.Duration) float64 { return d.Seconds() * (1 + rand.Float64()) }

// openRequests limits open requests, separately for callers and operators, so that a
// flood of caller requests does not lock out operators.
type openRequests struct {
	callers, operators       atomic.Int64
	maxCallers, maxOperators int64
}

// acquire counts an open request, or returns an error at the limit; release must be
// called when the request ends.
func (o *openRequests) acquire(role config.Role) (release func(), err error) {
	count, limit := &o.callers, o.maxCallers
	if role == config.RoleOperator {
		count, limit = &o.operators, o.maxOperators
	}
	release = func() { count.Add(-1) }
	if count.Add(1) > limit {
		release()
		return nil, retryError(errkind.Overloaded, "too many open requests at this gate", minRetryAfter)
	}
	return release, nil
}

func retryError(kind errkind.Kind, message string, after time.Duration) error {
	return &errkind.Error{Kind: kind, Message: message, RetryAfterSeconds: jittered(after)}
}
