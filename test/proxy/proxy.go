// Package proxy is a TCP proxy that injects faults into the connections that it forwards.
package proxy

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/gravitational/trace"
)

const (
	dialTimeout = time.Second
	bufferBytes = 32 << 10
)

// Faults are the faults of one direction of a link.
type Faults struct {
	// Delay is added to every chunk of data that is forwarded.
	Delay time.Duration
	// Drop discards data. A connection that lost data is reset at the next call of
	// Set, for any source, because its stream has a gap.
	Drop bool
	// Hold delays data until Hold is cleared, and then delivers it.
	Hold bool
	// CutAfter is the number of bytes after which a connection is reset; zero means
	// never.
	CutAfter int64
}

// LinkFaults are the faults of a link, the connections from one source to the target.
type LinkFaults struct {
	// Refuse resets all connections, and each new one as soon as it is accepted.
	Refuse bool
	// Request is the direction from client to server, Answer the opposite one.
	Request, Answer Faults
}

// DropBothDirections returns faults that drop all data in both directions.
func DropBothDirections() LinkFaults {
	return LinkFaults{Request: Faults{Drop: true}, Answer: Faults{Drop: true}}
}

// Proxy forwards connections from its own address to a target. The faults are set for
// each source of connections separately. changed is closed, and replaced, whenever faults
// are set and at Close.
type Proxy struct {
	target   string
	sourceOf func(net.Conn) string
	listener net.Listener
	wg       sync.WaitGroup

	mu          sync.Mutex
	faults      map[string]LinkFaults
	changed     chan struct{}
	connections map[*connection]bool
	closed      bool
}

// New starts a proxy that listens on listen, an IP and port, and forwards to target.
// sourceOf returns the name of a connection's source; if it is nil, every source is "".
func New(listen, target string, sourceOf func(net.Conn) string) (*Proxy, error) {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if sourceOf == nil {
		sourceOf = func(net.Conn) string { return "" }
	}
	p := &Proxy{
		target: target, sourceOf: sourceOf, listener: listener, faults: map[string]LinkFaults{},
		changed: make(chan struct{}), connections: map[*connection]bool{},
	}
	p.wg.Add(1)
	go p.acceptLoop()
	return p, nil
}

// Addr returns the proxy's own address.
func (p *Proxy) Addr() string { return p.listener.Addr().String() }

// Set replaces the faults of the connections from source; the zero value removes all.
func (p *Proxy) Set(source string, f LinkFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults[source] = f
	close(p.changed)
	p.changed = make(chan struct{})
	if f.Refuse {
		p.resetFrom(source)
	}
}

func (p *Proxy) resetFrom(source string) {
	for c := range p.connections {
		if c.source == source {
			c.reset()
		}
	}
}

// Close stops the proxy and resets its connections.
func (p *Proxy) Close() {
	p.mu.Lock()
	p.closed = true
	_ = p.listener.Close()
	close(p.changed)
	p.changed = make(chan struct{})
	for c := range p.connections {
		c.reset()
	}
	p.mu.Unlock()
	p.wg.Wait()
}

// state returns the faults of a source, the channel that is closed when faults are next set, and
// whether the proxy is closed.
func (p *Proxy) state(source string) (LinkFaults, chan struct{}, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults[source], p.changed, p.closed
}

func (p *Proxy) acceptLoop() {
	defer p.wg.Done()
	for {
		conn, err := p.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		p.wg.Add(1)
		go p.serve(conn)
	}
}

func (p *Proxy) serve(client net.Conn) {
	defer p.wg.Done()
	source := p.sourceOf(client)
	if faults, _, closed := p.state(source); faults.Refuse || closed {
		reset(client)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	server, err := (&net.Dialer{}).DialContext(ctx, "tcp", p.target)
	cancel()
	if err != nil {
		reset(client)
		return
	}
	c := &connection{proxy: p, source: source, client: client, server: server, ended: make(chan struct{})}
	if !p.add(c) {
		c.reset()
		return
	}
	p.wg.Add(1)
	go func() {
		defer p.wg.Done()
		c.pump(client, server, func(f LinkFaults) Faults { return f.Request })
	}()
	c.pump(server, client, func(f LinkFaults) Faults { return f.Answer })
	<-c.ended
	p.remove(c)
}

func (p *Proxy) add(c *connection) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.faults[c.source].Refuse {
		return false
	}
	p.connections[c] = true
	return true
}

func (p *Proxy) remove(c *connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.connections, c)
}

// connection is one forwarded connection. ended is closed when it is reset.
type connection struct {
	proxy          *Proxy
	source         string
	client, server net.Conn
	once           sync.Once
	ended          chan struct{}
}

// reset resets the connection on both sides.
func (c *connection) reset() {
	c.once.Do(func() {
		reset(c.client)
		reset(c.server)
		close(c.ended)
	})
}

// reset closes a connection with a TCP RST.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// pump copies one direction until it ends, applying the direction's faults.
func (c *connection) pump(from, to net.Conn, direction func(LinkFaults) Faults) {
	buffer := make([]byte, bufferBytes)
	var sent int64
	for {
		n, err := from.Read(buffer)
		if n > 0 && !c.forward(to, buffer[:n], &sent, direction) {
			c.reset()
			return
		}
		if errors.Is(err, io.EOF) {
			c.endOfStream(to, direction)
			return
		}
		if err != nil {
			c.reset()
			return
		}
	}
}

// endOfStream forwards the end of one direction, and resets the connection if that fails.
func (c *connection) endOfStream(to net.Conn, direction func(LinkFaults) Faults) {
	if !c.forward(to, nil, new(int64), direction) {
		c.reset()
		return
	}
	if tcp, ok := to.(*net.TCPConn); !ok || tcp.CloseWrite() != nil {
		c.reset()
		return
	}
	// In the protocols forwarded here both directions end together, so the connection is
	// reset dialTimeout after the first end.
	time.AfterFunc(dialTimeout, c.reset)
}

// forward delivers data to one side as the direction's faults allow; false means that the
// connection must be reset.
func (c *connection) forward(to net.Conn, data []byte, sent *int64, direction func(LinkFaults) Faults) bool {
	for {
		all, changed, closed := c.proxy.state(c.source)
		if closed || all.Refuse {
			return false
		}
		f := direction(all)
		switch {
		case f.Drop:
			c.awaitChange(changed)
			return false
		case f.Hold:
			if !c.awaitChange(changed) {
				return false
			}
		default:
			return c.deliver(to, data, sent, f)
		}
	}
}

// awaitChange waits until faults are set; false means that the connection ended first.
func (c *connection) awaitChange(changed chan struct{}) bool {
	select {
	case <-changed:
		return true
	case <-c.ended:
		return false
	}
}

// deliver writes data after Delay, up to CutAfter bytes in all; false means that the
// connection must be reset.
func (c *connection) deliver(to net.Conn, data []byte, sent *int64, f Faults) bool {
	if f.Delay > 0 {
		timer := time.NewTimer(f.Delay)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-c.ended:
			return false
		}
	}
	cut := f.CutAfter > 0 && *sent+int64(len(data)) >= f.CutAfter
	if cut {
		data = data[:max(0, f.CutAfter-*sent)]
	}
	n, err := to.Write(data)
	*sent += int64(n)
	return err == nil && !cut
}
