// Package peertest provides a TCP proxy for tests of connections between processes.
package peertest

import (
	"net"
	"sync"
	"testing"
)

// Proxy forwards TCP connections to a target. It can hold back the data of one direction
// and close the connections.
type Proxy struct {
	listener net.Listener
	target   string
	wg       sync.WaitGroup

	mu   sync.Mutex
	cond *sync.Cond
	held [2]bool
	// waiting counts, by direction, the copy loops that are in waitWhileHeld.
	waiting [2]int
	closed  bool
	conns   map[net.Conn]bool
}

// Direction is a direction of data through a proxy.
type Direction int

// The two directions of a proxy.
const (
	ToTarget Direction = iota
	FromTarget
)

// NewProxy starts a proxy to target. It is closed when the test ends.
func NewProxy(t testing.TB, target string) *Proxy {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &Proxy{listener: l, target: target, conns: map[net.Conn]bool{}}
	p.cond = sync.NewCond(&p.mu)
	p.wg.Go(p.accept)
	t.Cleanup(p.close)
	return p
}

// Addr returns the address on which the proxy listens.
func (p *Proxy) Addr() string { return p.listener.Addr().String() }

// Hold holds back the data of one direction if on is true, and releases it otherwise.
// Data that arrives while the direction is held is not lost.
func (p *Proxy) Hold(d Direction, on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.held[d] = on
	p.cond.Broadcast()
}

// AwaitHeld waits until direction d is held and has data waiting, or the proxy is closed.
func (p *Proxy) AwaitHeld(d Direction) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for (p.waiting[d] == 0 || !p.held[d]) && !p.closed {
		p.cond.Wait()
	}
}

// Break closes all open connections; the proxy accepts new ones.
func (p *Proxy) Break() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		_ = c.Close()
	}
}

func (p *Proxy) close() {
	_ = p.listener.Close()
	p.mu.Lock()
	p.closed = true
	p.cond.Broadcast()
	p.mu.Unlock()
	p.Break()
	p.wg.Wait()
}

func (p *Proxy) accept() {
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", p.target)
		if err != nil || !p.add(in, out) {
			_ = in.Close()
			continue
		}
		p.wg.Go(func() { p.copy(out, in, ToTarget) })
		p.wg.Go(func() { p.copy(in, out, FromTarget) })
	}
}

func (p *Proxy) add(conns ...net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		if p.closed {
			_ = c.Close()
			continue
		}
		p.conns[c] = true
	}
	return !p.closed
}

func (p *Proxy) copy(dst, src net.Conn, d Direction) {
	defer p.closeConns(dst, src)
	buf := make([]byte, 16<<10)
	for {
		n, err := src.Read(buf)
		if !p.waitWhileHeld(d) {
			return
		}
		if n > 0 {
			if _, err := dst.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// waitWhileHeld waits while the direction is held. It returns false if the proxy is
// closed.
func (p *Proxy) waitWhileHeld(d Direction) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.waiting[d]++
	p.cond.Broadcast()
	for p.held[d] && !p.closed {
		p.cond.Wait()
	}
	p.waiting[d]--
	return !p.closed
}

func (p *Proxy) closeConns(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
		delete(p.conns, c)
	}
}
