package membership_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"agatewinch/internal/core"
	"agatewinch/internal/membership"
	"agatewinch/internal/peer"
	"agatewinch/internal/wire"
)

// segmentHeaderBytes is the size of one segment's IPv4 and TCP headers with timestamps.
const segmentHeaderBytes = 52

// countingConn counts the bytes its side sends: payload and headers, one segment for each
// write, and one bare acknowledgement for each read.
type countingConn struct {
	net.Conn
	sent *atomic.Int64
}

func (c countingConn) Write(p []byte) (int, error) {
	c.sent.Add(int64(len(p)) + segmentHeaderBytes)
	return c.Conn.Write(p)
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.sent.Add(segmentHeaderBytes)
	return n, err
}

type countingListener struct {
	net.Listener
	sent *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{Conn: conn, sent: l.sent}, nil
}

// process is one gate or scheduler with a count of the bytes it sends.
type process struct {
	node *node
	sent atomic.Int64
}

func newProcess(host, role string, zone core.ZoneID) (*process, *httptest.Server) {
	p := &process{node: &node{self: wire.Heartbeat{
		Host: host, Role: role, Zone: zone, Term: 1000, Generation: 1000, Active: true,
		Load: core.Stats{Queued: 1000, Running: 300, FreeAccelerators: 90, LargestFreeCell: 8, Generation: 1000},
	}}}
	p.node.server = peer.NewServer(p.node.handle)
	web := httptest.NewUnstartedServer(p.node.server)
	web.Listener = countingListener{Listener: web.Listener, sent: &p.sent}
	if role == wire.RoleScheduler {
		p.node.self.Addr = web.Listener.Addr().String()
	}
	return p, web
}

func (p *process) client() *http.Client {
	dial := func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return countingConn{Conn: conn, sent: &p.sent}, nil
	}
	return &http.Client{Transport: &http.Transport{DialContext: dial}}
}

// BenchmarkHeartbeatTraffic measures the bytes a process sends in steady state: payload,
// acknowledgements and headers. Each host runs a gate and a scheduler, the hosts are in four
// zones and the options are the defaults.
func BenchmarkHeartbeatTraffic(b *testing.B) {
	const settle, measured = 5 * time.Second, 16 * time.Second
	for _, hosts := range []int{4, 8, 9, 16} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			ctx, cancel := context.WithCancel(context.Background())
			var running sync.WaitGroup
			defer running.Wait()
			defer cancel()
			var all []*process
			var peers []membership.Seed
			for i := range hosts {
				zone := core.ZoneID(fmt.Sprintf("kr-%c", 'a'+i%4))
				for _, role := range []string{wire.RoleScheduler, wire.RoleGate} {
					p, web := newProcess(fmt.Sprintf("entry-%s-%d", zone, i/4+1), role, zone)
					web.Start()
					defer web.Close()
					defer func() { _ = p.node.server.Shutdown(ctx) }()
					if role == wire.RoleScheduler {
						peers = append(peers, membership.Seed{Zone: zone, Addr: p.node.self.Addr})
					}
					all = append(all, p)
				}
			}
			for _, p := range all {
				p.node.Membership = membership.New(membership.Options{Seeds: peers, HTTPClient: p.client()}, p.node.heartbeat)
				running.Go(func() { _ = p.node.Run(ctx) })
			}
			time.Sleep(settle)
			for _, p := range all {
				p.sent.Store(0)
			}
			time.Sleep(measured)
			report(b, all, measured)
		})
	}
}

// report reports the highest rate of a process for each role.
func report(b *testing.B, all []*process, measured time.Duration) {
	most := map[string]float64{}
	for _, p := range all {
		rate := float64(p.sent.Load()) / measured.Seconds()
		most[p.node.self.Role] = max(most[p.node.self.Role], rate)
	}
	for role, rate := range most {
		b.ReportMetric(rate, role+"-max-B/s")
	}
}
