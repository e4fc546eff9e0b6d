package main

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
)

// proxy forwards connections to an address. silence makes those that are open go silent for good.
type proxy struct {
	address, target string
	mu              sync.Mutex
	open            []*atomic.Bool
}

func (l *lab) addProxy(target string) *proxy {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	l.must(err)
	p := &proxy{address: listener.Addr().String(), target: target}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go p.forward(c)
		}
	}()
	return p
}

func (p *proxy) forward(c net.Conn) {
	defer c.Close()
	t, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer t.Close()
	silent := &atomic.Bool{}
	p.mu.Lock()
	p.open = append(p.open, silent)
	p.mu.Unlock()
	done := make(chan struct{}, 2)
	go pipe(t, c, silent, done)
	go pipe(c, t, silent, done)
	<-done
}

// pipe copies from one connection to the other. Once the channel is silent, what arrives is dropped.
func pipe(to, from net.Conn, silent *atomic.Bool, done chan<- struct{}) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if silent.Load() {
			_, _ = io.Copy(io.Discard, from)
			done <- struct{}{}
			return
		}
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	done <- struct{}{}
}

// silence makes all open connections silent and returns their number. New ones work.
func (p *proxy) silence() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.open)
	for _, s := range p.open {
		s.Store(true)
	}
	p.open = nil
	return n
}
