package standin

import (
	"net"
	"sync"
	"sync/atomic"
)

// connCounter counts and limits the connections of one worker. A limit of zero means
// unlimited.
type connCounter struct {
	limit   atomic.Int64
	open    atomic.Int64
	highest atomic.Int64
	refused atomic.Int64
}

// limitedListener closes connections above the limit as soon as it has accepted them.
type limitedListener struct {
	net.Listener
	counter *connCounter
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		open := l.counter.open.Add(1)
		limit := l.counter.limit.Load()
		if limit > 0 && open > limit {
			l.counter.open.Add(-1)
			l.counter.refused.Add(1)
			_ = conn.Close()
			continue
		}
		if open > l.counter.highest.Load() {
			l.counter.highest.Store(open)
		}
		return &countedConn{Conn: conn, counter: l.counter}, nil
	}
}

// countedConn decrements the count of open connections when it is closed.
type countedConn struct {
	net.Conn
	counter *connCounter
	once    sync.Once
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	c.once.Do(func() { c.counter.open.Add(-1) })
	return c.Conn.Close()
}
