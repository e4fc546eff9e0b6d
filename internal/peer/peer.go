// Package peer carries wire messages over WebSocket connections. Requests on one
// connection are answered in any order and matched by their IDs.
package peer

import (
	"errors"
	"expvar"
	"time"

	"agatewinch/internal/errkind"
	"agatewinch/internal/wire"
)

// Path is where a process accepts its peers' connections.
const Path = "/peer"

const (
	dialTimeout  = 2 * time.Second
	writeTimeout = 5 * time.Second
	// clientPingAfter is how long a connection on which an answer is awaited may be
	// silent before the asking side probes it; the answering side waits longer, so that
	// one side's probes serve both. A probe may take pongTimeout.
	clientPingAfter = time.Second
	serverPingAfter = 3 * time.Second
	pongTimeout     = 2 * time.Second
	// flushPoll is how often a stopping server looks whether all answers are written.
	flushPoll = 5 * time.Millisecond
	// maxRequestsPerConn bounds the requests in progress on one connection.
	maxRequestsPerConn = 4096
	// maxControlPerConn bounds heartbeats and the like, which have their own share.
	maxControlPerConn = 16
	// maxLinks bounds a server's connections; a peer needs one.
	maxLinks = 512
	// outboxSize bounds the messages that wait to be written on one connection.
	outboxSize = 256
	// busyRetryAfterSeconds is the advice to a peer whose connection is at its bound.
	busyRetryAfterSeconds = 1
)

// Errors of Client.Call beside the peer's kinded errors.
var (
	// ErrLost means that the connection broke before the reply came; the request may
	// have been carried out.
	ErrLost = errors.New("connection to peer lost")
	// ErrNotSent means that nothing was sent and nothing will be.
	ErrNotSent = errors.New("peer cannot be reached")
)

// Counters of payload bytes by message kind, published under these names.
var (
	sentBytes     = expvar.NewMap("peer_sent_bytes")
	receivedBytes = expvar.NewMap("peer_received_bytes")
)

// control reports whether messages of a kind are small, quick to answer and needed to
// keep the peer's view of this process.
func control(kind wire.Kind) bool {
	return kind == wire.KindHeartbeat || kind == wire.KindConfig
}

func wireError(err error) *wire.Error {
	e := errkind.Of(err)
	return &wire.Error{Kind: e.Kind, Message: e.Message, RetryAfterSeconds: e.RetryAfterSeconds}
}
