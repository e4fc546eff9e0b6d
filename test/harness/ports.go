package harness

import (
	"fmt"
	"net"
	"sync"
	"testing"
	"time"
)

// Clusters take blocks of ports on the loopback address. A block is held by a listener
// on its first port, so that test processes that run side by side take different ones.
const (
	loopback   = "127.0.0.1"
	firstPort  = 26000
	lastPort   = 31999
	portsBlock = 250
	portsWait  = 2 * time.Minute
	portsPause = 200 * time.Millisecond
)

// Ports hands out the ports of one block.
type Ports struct {
	mu        sync.Mutex
	next, end int
}

// TakePorts takes a block until the end of the test.
func TakePorts(t testing.TB) *Ports {
	t.Helper()
	deadline := time.Now().Add(portsWait)
	for time.Now().Before(deadline) {
		for first := firstPort; first+portsBlock-1 <= lastPort; first += portsBlock {
			lock, err := net.Listen("tcp", fmt.Sprintf("%s:%d", loopback, first))
			if err != nil {
				continue
			}
			t.Cleanup(func() { _ = lock.Close() })
			return &Ports{next: first + 1, end: first + portsBlock}
		}
		time.Sleep(portsPause)
	}
	t.Fatalf("no free block of ports from %d to %d", firstPort, lastPort)
	return nil
}

// Addr returns the next address, and the next n-1 ports after it are taken too.
func (p *Ports) Addr(t testing.TB, n int) string {
	t.Helper()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.next+n > p.end {
		t.Fatalf("a cluster needs more than %d ports", portsBlock)
	}
	addr := fmt.Sprintf("%s:%d", loopback, p.next)
	p.next += n
	return addr
}
