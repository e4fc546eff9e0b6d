// Package traffic counts the bytes that a process sends and receives, by purpose. It counts
// at the connections, so that headers and framing are included.
package traffic

import (
	"context"
	"expvar"
	"net"
)

// Purpose is what connections are used for.
type Purpose string

// The purposes: calls to the platform, calls to workers, and connections between the
// system's own processes.
const (
	Platform Purpose = "platform"
	Workers  Purpose = "workers"
	Peers    Purpose = "peers"
)

// Counters counts bytes sent and received by purpose.
type Counters struct {
	sent     *expvar.Map
	received *expvar.Map
}

// New returns counters that start at zero.
func New() *Counters {
	return &Counters{sent: new(expvar.Map).Init(), received: new(expvar.Map).Init()}
}

// Publish publishes the counters through expvar. A second call in a process panics,
// because the names are then in use.
func (c *Counters) Publish() {
	expvar.Publish("bytes_sent", c.sent)
	expvar.Publish("bytes_received", c.received)
}

// Sent returns the bytes sent so far.
func (c *Counters) Sent(p Purpose) int64 { return value(c.sent, p) }

// Received returns the bytes received so far.
func (c *Counters) Received(p Purpose) int64 { return value(c.received, p) }

func value(m *expvar.Map, p Purpose) int64 {
	if v, ok := m.Get(string(p)).(*expvar.Int); ok {
		return v.Value()
	}
	return 0
}

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// Dial wraps dial so that the traffic of its connections is counted.
func (c *Counters) Dial(p Purpose, dial DialFunc) DialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return c.Conn(p, conn), nil
	}
}

// Conn wraps a connection so that its traffic is counted.
func (c *Counters) Conn(p Purpose, conn net.Conn) net.Conn {
	return &countedConn{Conn: conn, counters: c, purpose: string(p)}
}

// Listen wraps a listener so that the traffic of the connections it accepts is counted.
func (c *Counters) Listen(p Purpose, l net.Listener) net.Listener {
	return &countedListener{Listener: l, counters: c, purpose: p}
}

type countedListener struct {
	net.Listener
	counters *Counters
	purpose  Purpose
}

func (l *countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.counters.Conn(l.purpose, conn), nil
}

type countedConn struct {
	net.Conn
	counters *Counters
	purpose  string
}

func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.counters.received.Add(c.purpose, int64(n))
	return n, err
}

func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.counters.sent.Add(c.purpose, int64(n))
	return n, err
}
