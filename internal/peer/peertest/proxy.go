// Package peertest provides a TCP relay for tests of connections between processes.
package peertest

import (
	"net"
	"sync"
	"testing"
)

// Relay forwards TCP connections to a target. It can hold back the data of one direction
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

// Direction is a direction of data through a relay.
type Direction int

// The two directions of a relay.
const (
	ToTarget Direction = iota
	FromTarget
)

// NewRelay starts a relay to target. It is closed when the test ends.
func NewProxy(t testing.TB, target string) *Proxy {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &Proxy{listener: l, target: target, conns: map[net.Conn]bool{}}
	r.cond = sync.NewCond(&r.mu)
	r.wg.Go(r.accept)
	t.Cleanup(r.close)
	return r
}

// Addr returns the address on which the relay listens.
func (r *Proxy) Addr() string { return r.listener.Addr().String() }

// Hold holds back the data of one direction if on is true, and releases it otherwise.
// Data that arrives while the direction is held is not lost.
func (r *Proxy) Hold(d Direction, on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.held[d] = on
	r.cond.Broadcast()
}

// AwaitHeld waits until direction d is held and has data waiting, or the relay is closed.
func (r *Proxy) AwaitHeld(d Direction) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for (r.waiting[d] == 0 || !r.held[d]) && !r.closed {
		r.cond.Wait()
	}
}

// Break closes all open connections; the relay accepts new ones.
func (r *Proxy) Break() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		_ = c.Close()
	}
}

func (r *Proxy) close() {
	_ = r.listener.Close()
	r.mu.Lock()
	r.closed = true
	r.cond.Broadcast()
	r.mu.Unlock()
	r.Break()
	r.wg.Wait()
}

func (r *Proxy) accept() {
	for {
		in, err := r.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", r.target)
		if err != nil || !r.add(in, out) {
			_ = in.Close()
			continue
		}
		r.wg.Go(func() { r.copy(out, in, ToTarget) })
		r.wg.Go(func() { r.copy(in, out, FromTarget) })
	}
}

func (r *Proxy) add(conns ...net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range conns {
		if r.closed {
			_ = c.Close()
			continue
		}
		r.conns[c] = true
	}
	return !r.closed
}

func (r *Proxy) copy(dst, src net.Conn, d Direction) {
	defer r.closeConns(dst, src)
	buf := make([]byte, 16<<10)
	for {
		n, err := src.Read(buf)
		if !r.waitWhileHeld(d) {
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

// waitWhileHeld waits while the direction is held. It returns false if the relay is
// closed.
func (r *Proxy) waitWhileHeld(d Direction) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.waiting[d]++
	r.cond.Broadcast()
	for r.held[d] && !r.closed {
		r.cond.Wait()
	}
	r.waiting[d]--
	return !r.closed
}

func (r *Proxy) closeConns(conns ...net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
		delete(r.conns, c)
	}
}
