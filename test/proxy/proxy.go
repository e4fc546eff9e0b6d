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

	mu      sync.Mutex
	faults  map[string]LinkFaults
	changed chan struct{}
	links   map[*link]bool
	closed  bool
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
		changed: make(chan struct{}), links: map[*link]bool{},
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
	for l := range p.links {
		if l.source == source {
			l.reset()
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
	for l := range p.links {
		l.reset()
	}
	p.mu.Unlock()
	p.wg.Wait()
}

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
	l := &link{proxy: p, source: source, client: client, server: server, ended: make(chan struct{})}
	if !p.add(l) {
		l.reset()
		return
	}
	p.wg.Add(1)
	go func() {
		defer p.wg.Done()
		l.pump(client, server, func(f LinkFaults) Faults { return f.Request })
	}()
	l.pump(server, client, func(f LinkFaults) Faults { return f.Answer })
	<-l.ended
	p.remove(l)
}

func (p *Proxy) add(l *link) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.faults[l.source].Refuse {
		return false
	}
	p.links[l] = true
	return true
}

func (p *Proxy) remove(l *link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.links, l)
}

// link is one forwarded connection. ended is closed when it is reset.
type link struct {
	proxy          *Proxy
	source         string
	client, server net.Conn
	once           sync.Once
	ended          chan struct{}
}

// reset resets the connection on both sides.
func (l *link) reset() {
	l.once.Do(func() {
		reset(l.client)
		reset(l.server)
		close(l.ended)
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
func (l *link) pump(from, to net.Conn, direction func(LinkFaults) Faults) {
	buffer := make([]byte, bufferBytes)
	var sent int64
	for {
		n, err := from.Read(buffer)
		if n > 0 && !l.forward(to, buffer[:n], &sent, direction) {
			l.reset()
			return
		}
		if errors.Is(err, io.EOF) {
			l.endOfStream(to, direction)
			return
		}
		if err != nil {
			l.reset()
			return
		}
	}
}

// endOfStream forwards the end of one direction, and resets the link if it cannot.
func (l *link) endOfStream(to net.Conn, direction func(LinkFaults) Faults) {
	if !l.forward(to, nil, new(int64), direction) {
		l.reset()
		return
	}
	if tcp, ok := to.(*net.TCPConn); !ok || tcp.CloseWrite() != nil {
		l.reset()
		return
	}
	// In the protocols forwarded here both directions end together, so the link is
	// reset dialTimeout after the first end.
	time.AfterFunc(dialTimeout, l.reset)
}

// forward delivers data to a connection as the direction's faults allow; false means that
// the link must be reset.
func (l *link) forward(to net.Conn, data []byte, sent *int64, direction func(LinkFaults) Faults) bool {
	for {
		all, changed, closed := l.proxy.state(l.source)
		if closed || all.Refuse {
			return false
		}
		f := direction(all)
		switch {
		case f.Drop:
			l.awaitChange(changed)
			return false
		case f.Hold:
			if !l.awaitChange(changed) {
				return false
			}
		default:
			return l.deliver(to, data, sent, f)
		}
	}
}

// awaitChange waits until faults are set; false means that the link ended meanwhile.
func (l *link) awaitChange(changed chan struct{}) bool {
	select {
	case <-changed:
		return true
	case <-l.ended:
		return false
	}
}

// deliver writes data after Delay, up to CutAfter bytes in all; false means that the link
// must be reset.
func (l *link) deliver(to net.Conn, data []byte, sent *int64, f Faults) bool {
	if f.Delay > 0 {
		timer := time.NewTimer(f.Delay)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-l.ended:
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
