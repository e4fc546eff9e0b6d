package harness

import (
	"fmt"
	"net"
	"sync"
	"testing"
	"time"
)

// Each test uses a block of ports on the loopback address. A listener on the first port of the
// block reserves it, so that concurrent test processes use different blocks.
const (
	loopback             = "127.0.0.1"
	firstPort            = 26000
	lastPort             = 31999
	portsPerBlock        = 250
	reserveTimeout       = 2 * time.Minute
	reserveRetryInterval = 200 * time.Millisecond
)

// Ports allocates the ports of one block.
type Ports struct {
	mu        sync.Mutex
	next, end int
}

// ReservePorts reserves a block of ports until the end of the test.
func ReservePorts(t testing.TB) *Ports {
	t.Helper()
	deadline := time.Now().Add(reserveTimeout)
	for time.Now().Before(deadline) {
		for first := firstPort; first+portsPerBlock-1 <= lastPort; first += portsPerBlock {
			lock, err := net.Listen("tcp", fmt.Sprintf("%s:%d", loopback, first))
			if err != nil {
				continue
			}
			t.Cleanup(func() { _ = lock.Close() })
			return &Ports{next: first + 1, end: first + portsPerBlock}
		}
		time.Sleep(reserveRetryInterval)
	}
	t.Fatalf("reserve ports: no free block between ports %d and %d", firstPort, lastPort)
	return nil
}

// Addr allocates n consecutive ports and returns the address of the first.
func (p *Ports) Addr(t testing.TB, n int) string {
	t.Helper()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.next+n > p.end {
		t.Fatalf("allocate ports: the test needs more than its block of %d ports", portsPerBlock)
	}
	addr := fmt.Sprintf("%s:%d", loopback, p.next)
	p.next += n
	return addr
}
