// Package proxy is a TCP proxy that injects faults into the connections it carries.
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
	// Delay is added to every piece of data.
	Delay time.Duration
	// Drop discards data. A connection that lost data is reset when Drop ends, since
	// its stream has a gap.
	Drop bool
	// Hold keeps data back until Hold ends, and delivers it then.
	Hold bool
	// CutAfter resets a connection after this many bytes; zero means never.
	CutAfter int64
}

// LinkFaults are the faults of a link.
type LinkFaults struct {
	// Refuse resets connections and every new one at once.
	Refuse bool
	// Request is the direction from client to server, Answer the other one.
	Request, Answer Faults
}

// CutBothWays drops everything.
func CutBothWays() LinkFaults {
	return LinkFaults{Request: Faults{Drop: true}, Answer: Faults{Drop: true}}
}

// Proxy carries connections from its own address to a target. Each source of
// connections has its own faults.
type Proxy struct {
	target   string
	sourceOf func(net.Conn) string
	listener net.Listener
	done     sync.WaitGroup

	mu      sync.Mutex
	faults  map[string]LinkFaults
	changed chan struct{}
	conns   map[*link]bool
	closed  bool
}

// New starts a proxy on listen, an IP and port, towards target. sourceOf names the
// source of a connection; nil names all of them "".
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
		changed: make(chan struct{}), conns: map[*link]bool{},
	}
	p.done.Add(1)
	go p.acceptLoop()
	return p, nil
}

// Addr returns the proxy's own address.
func (p *Proxy) Addr() string { return p.listener.Addr().String() }

// Set replaces the faults of connections from source; the zero value heals them.
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
	for l := range p.conns {
		if l.source == source {
			l.reset()
		}
	}
}

// Close stops the proxy and breaks its connections.
func (p *Proxy) Close() {
	p.mu.Lock()
	p.closed = true
	_ = p.listener.Close()
	close(p.changed)
	p.changed = make(chan struct{})
	for l := range p.conns {
		l.reset()
	}
	p.mu.Unlock()
	p.done.Wait()
}

func (p *Proxy) state(source string) (LinkFaults, chan struct{}, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults[source], p.changed, p.closed
}

func (p *Proxy) acceptLoop() {
	defer p.done.Done()
	for {
		conn, err := p.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		p.done.Add(1)
		go p.serve(conn)
	}
}

func (p *Proxy) serve(client net.Conn) {
	defer p.done.Done()
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
	p.done.Add(1)
	go func() {
		defer p.done.Done()
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
	p.conns[l] = true
	return true
}

func (p *Proxy) remove(l *link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, l)
}

// link is one carried connection.
type link struct {
	proxy          *Proxy
	source         string
	client, server net.Conn
	once           sync.Once
	ended          chan struct{}
}

// reset breaks the connection on both sides.
func (l *link) reset() {
	l.once.Do(func() {
		reset(l.client)
		reset(l.server)
		close(l.ended)
	})
}

func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// pump copies one direction until it ends, applying the direction's faults.
func (l *link) pump(from, to net.Conn, direction func(LinkFaults) Faults) {
	buffer := make([]byte, bufferBytes)
	var passed int64
	for {
		n, err := from.Read(buffer)
		if n > 0 && !l.pass(to, buffer[:n], &passed, direction) {
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

// endOfStream carries a close on, and ends the link when the other side cannot go on.
func (l *link) endOfStream(to net.Conn, direction func(LinkFaults) Faults) {
	if !l.pass(to, nil, new(int64), direction) {
		l.reset()
		return
	}
	if tcp, ok := to.(*net.TCPConn); !ok || tcp.CloseWrite() != nil {
		l.reset()
		return
	}
	// Both directions of the protocols carried here end together.
	time.AfterFunc(dialTimeout, l.reset)
}

// pass delivers data to a connection; false means that the link must be reset.
func (l *link) pass(to net.Conn, data []byte, passed *int64, direction func(LinkFaults) Faults) bool {
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
			return l.deliver(to, data, passed, f)
		}
	}
}

// awaitChange waits for other faults; false means that the link ended meanwhile.
func (l *link) awaitChange(changed chan struct{}) bool {
	select {
	case <-changed:
		return true
	case <-l.ended:
		return false
	}
}

func (l *link) deliver(to net.Conn, data []byte, passed *int64, f Faults) bool {
	if f.Delay > 0 {
		timer := time.NewTimer(f.Delay)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-l.ended:
			return false
		}
	}
	cut := f.CutAfter > 0 && *passed+int64(len(data)) >= f.CutAfter
	if cut {
		data = data[:max(0, f.CutAfter-*passed)]
	}
	n, err := to.Write(data)
	*passed += int64(n)
	return err == nil && !cut
}
