package intake

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"time"
)

// stage is what a connection's client or server does at the moment.
type stage int

// The stages of a connection.
const (
	// stageHeader is a connection whose client has not sent a whole header yet, and never a whole
	// request.
	stageHeader stage = iota
	// stageIdle is a connection whose last request has been answered. It may have sent a part of the
	// header of the next one.
	stageIdle
	// stageBody is a connection whose client is sending a body.
	stageBody
	// stageServing is a connection whose request is being handled.
	stageServing
	// stageUpgraded is a connection that was taken over by its handler, such as a WebSocket.
	stageUpgraded
	// stageRefused is a connection whose request was refused and that is about to be closed.
	stageRefused
)

// Connections bounds the open connections of one or more listeners. At the bound, a new connection
// replaces one that has been refused, else the one whose client has sent nothing of its request for the
// longest time, else the one that has been idle for the longest time. If there is none, the new one is
// closed.
type Connections struct {
	max int
	// budget is the budget for headers; it may be nil.
	budget    *Budget
	onRefusal func(reason string)

	mu   sync.Mutex
	open map[*conn]struct{}
}

// NewConnections returns a bound of limit connections, whose headers count towards budget. budget and
// onRefusal may be nil.
func NewConnections(limit int, budget *Budget, onRefusal func(reason string)) *Connections {
	return &Connections{max: limit, budget: budget, onRefusal: onRefusal, open: map[*conn]struct{}{}}
}

// Attach makes a server, which must not serve yet, report its connections' stages.
func (c *Connections) Attach(server *http.Server) {
	server.ConnState = c.noteState
	server.ConnContext = func(ctx context.Context, nc net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, nc)
	}
}

// Listener returns a listener that accepts connections from l within the bound.
func (c *Connections) Listener(l net.Listener) net.Listener { return &listener{l, c} }

// Open returns the number of open connections.
func (c *Connections) Open() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open)
}

type listener struct {
	net.Listener
	connections *Connections
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if admitted := l.connections.admit(nc); admitted != nil {
			return admitted, nil
		}
		_ = nc.Close()
	}
}

// admit adds a connection, or returns nil if there is no room for it.
func (c *Connections) admit(nc net.Conn) net.Conn {
	added := &conn{Conn: nc, connections: c}
	added.lastRead.Store(time.Now().UnixNano())
	c.mu.Lock()
	var victim *conn
	full := len(c.open) >= c.max
	if full {
		victim = c.victim()
		delete(c.open, victim)
	}
	if !full || victim != nil {
		c.open[added] = struct{}{}
	}
	c.mu.Unlock()
	if victim != nil {
		_ = victim.Close()
		noteRefusal("connection_replaced", c.onRefusal)
	} else if full {
		noteRefusal("connection_refused", c.onRefusal)
		return nil
	}
	return added
}

// victim returns the connection that a new one replaces, or nil. The caller holds c.mu.
func (c *Connections) victim() *conn {
	var stalled, idle *conn
	latest := time.Now().Add(-stallTime).UnixNano()
	older := func(a, b *conn) bool { return b == nil || a.lastRead.Load() < b.lastRead.Load() }
	for k := range c.open {
		at := k.lastRead.Load()
		switch {
		case k.stage == stageRefused:
			return k
		case at > latest:
		case (k.stage == stageHeader || k.stage == stageBody) && older(k, stalled):
			stalled = k
		case (k.stage == stageIdle || k.stage == stageUpgraded) && older(k, idle):
			idle = k
		}
	}
	if stalled != nil {
		return stalled
	}
	return idle
}

// noteState is a hook for http.Server.ConnState.
func (c *Connections) noteState(nc net.Conn, state http.ConnState) {
	k := bounded(nc)
	if k == nil {
		return
	}
	switch state {
	case http.StateActive:
		k.setStage(stageServing)
		k.headerDone()
	case http.StateHijacked:
		k.setStage(stageUpgraded)
	case http.StateIdle:
		k.setStage(stageIdle)
		k.headerReleased()
	}
}

type connKey struct{}

// connOf returns the connection of a request, or nil if it has none that is bounded here.
func connOf(ctx context.Context) *conn {
	nc, _ := ctx.Value(connKey{}).(net.Conn)
	return bounded(nc)
}

// bounded returns the bounded connection that nc is, or that its TLS runs over, or nil.
func bounded(nc net.Conn) *conn {
	if t, ok := nc.(*tls.Conn); ok {
		nc = t.NetConn()
	}
	k, _ := nc.(*conn)
	return k
}
