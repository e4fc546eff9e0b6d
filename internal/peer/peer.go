// Package peer exchanges wire messages over WebSocket connections. Requests on one
// connection are answered in any order; a reply is matched to its request by ID.
package peer

import (
	"errors"
	"expvar"
	"time"

	"agatewinch/internal/errkind"
	"agatewinch/internal/wire"
)

// Path is the HTTP path at which a process accepts connections from its peers.
const Path = "/peer"

const (
	dialTimeout  = 2 * time.Second
	writeTimeout = 5 * time.Second
	// clientPingAfter is how long the client side of a connection with outstanding
	// requests receives nothing before it sends a ping. The server side waits for
	// serverPingAfter, which is longer, so that usually the client's pings suffice for
	// both. A pong must arrive within pongTimeout.
	clientPingAfter = time.Second
	serverPingAfter = 3 * time.Second
	pongTimeout     = 2 * time.Second
	// flushPollInterval is how often a stopping server checks whether all replies are written.
	flushPollInterval = 5 * time.Millisecond
	// maxRequestsPerConn bounds the requests in progress on one connection.
	maxRequestsPerConn = 4096
	// maxControlPerConn bounds the control requests in progress on one connection; they
	// have slots of their own, so that other requests cannot block them.
	maxControlPerConn = 16
	// maxLinks bounds a server's connections; each peer needs one.
	maxLinks = 512
	// messageTimeout limits the time from the first byte of a message to its last, on a server with a
	// budget.
	messageTimeout = 5 * time.Second
	// messageCopies is how many copies of a message are in memory while it is handled, beyond the
	// message itself: its body, and what that holds.
	messageCopies = 2
	// outboxSize bounds the messages queued for writing on one connection.
	outboxSize = 256
	// busyRetryAfterSeconds is the retry delay sent to a peer that has reached the limit
	// of requests on its connection.
	busyRetryAfterSeconds = 1
)

// Errors of Client.Call, in addition to the errkind.Error that a peer returns.
var (
	// ErrLost means that the connection broke before the reply arrived; the request may
	// have been executed.
	ErrLost = errors.New("connection to peer lost before the reply; the request may have been executed")
	// ErrNotSent means that the request was not executed and never will be: it was not
	// sent, or the peer closed the connection without having accepted it.
	ErrNotSent = errors.New("peer cannot be reached; the request was not executed")
)

// Counters of encoded message bytes by message kind, published through expvar.
var (
	sentBytes     = expvar.NewMap("peer_sent_bytes")
	receivedBytes = expvar.NewMap("peer_received_bytes")
)

// isControl reports whether kind is a control message: small, quick to answer, and
// needed to keep the peer's view of this process up to date.
func isControl(kind wire.Kind) bool {
	return kind == wire.KindHeartbeat || kind == wire.KindConfig
}

func toWireError(err error) *wire.Error {
	e := errkind.Of(err)
	return &wire.Error{Kind: e.Kind, Message: e.Message, RetryAfterSeconds: e.RetryAfterSeconds}
}
