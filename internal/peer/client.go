package peer

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"

	"agatewinch/internal/errkind"
	"agatewinch/internal/wire"
)

// Client sends requests to one peer over one connection. A call dials it if none is open.
type Client struct {
	addr   string
	scheme string
	client *http.Client
	nextID atomic.Uint64
	// slots is a semaphore for the requests in progress other than control requests.
	slots chan struct{}

	mu      sync.Mutex
	conn    *clientConn
	dialing chan struct{}
	closed  bool
}

// Option configures a Client.
type Option func(*Client)

// WithHTTPClient makes a Client dial with the given HTTP client, and with TLS if the
// transport of that HTTP client has a TLS configuration. A nil client has no effect.
func WithHTTPClient(client *http.Client) Option {
	return func(c *Client) {
		if client == nil {
			return
		}
		c.client = client
		if t, ok := client.Transport.(*http.Transport); ok && t.TLSClientConfig != nil {
			c.scheme = "wss"
		}
	}
}

// NewClient returns a client for the peer at addr, an IP and port.
func NewClient(addr string, opts ...Option) *Client {
	transport := &http.Transport{DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext}
	c := &Client{
		addr: addr, scheme: "ws", client: &http.Client{Transport: transport},
		slots: make(chan struct{}, maxRequestsPerConn),
	}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Addr returns the peer's address.
func (c *Client) Addr() string { return c.addr }

// Close closes the connection. Calls whose requests were written or are being written fail
// with ErrLost, all others, including later ones, with ErrNotSent.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	if c.conn != nil {
		c.conn.abort()
	}
	c.conn = nil
}

// Call sends a request and decodes the reply into out. It fails with ErrNotSent, with
// ErrLost, with the context's error if the request may have been sent, or with the
// errkind.Error that the peer returned. The end of one call's context does not affect
// other calls.
func (c *Client) Call(ctx context.Context, kind wire.Kind, body, out any) error {
	if !isControl(kind) {
		select {
		case c.slots <- struct{}{}:
			defer func() { <-c.slots }()
		case <-ctx.Done():
			return trace.Wrap(ErrNotSent)
		}
	}
	data, err := cbor.Marshal(body)
	if err != nil {
		return trace.Wrap(ErrNotSent, "encode the body of a %s message: %v", kind, err)
	}
	conn, err := c.connect(ctx)
	if err != nil || conn == nil {
		return trace.Wrap(ErrNotSent)
	}
	env, err := conn.call(ctx, wire.Envelope{Version: wire.Version, ID: c.nextID.Add(1), Kind: kind, Body: data})
	if err != nil {
		return trace.Wrap(err)
	}
	if e := env.Error; e != nil {
		return trace.Wrap(&errkind.Error{Kind: e.Kind, Message: e.Message, RetryAfterSeconds: e.RetryAfterSeconds})
	}
	return trace.Wrap(wire.DecodeBody(env.Body, out))
}

// connect returns the open connection, or waits for the dial of a new one. The connection
// is nil if the dial fails or the client is closed.
func (c *Client) connect(ctx context.Context) (*clientConn, error) {
	conn, dialing := c.connOrDial()
	if conn != nil || dialing == nil {
		return conn, nil
	}
	select {
	case <-dialing:
		return c.current(), nil
	case <-ctx.Done():
		return nil, trace.Wrap(ctx.Err())
	}
}

// connOrDial returns the open connection, or a channel that is closed when the dial in
// progress ends, or neither if the client is closed. All callers share one dial, which
// continues when the context of any of them ends.
func (c *Client) connOrDial() (*clientConn, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, nil
	}
	if c.conn != nil && !c.conn.closed() {
		return c.conn, nil
	}
	if c.dialing == nil {
		c.dialing = make(chan struct{})
		go c.dial(c.dialing)
	}
	return nil, c.dialing
}

func (c *Client) current() *clientConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.conn
}

func (c *Client) dial(finished chan struct{}) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	l := newLink()
	ws, _, err := websocket.Dial(ctx, c.scheme+"://"+c.addr+Path, &websocket.DialOptions{
		HTTPClient: c.client, OnPingReceived: l.onPing, OnPongReceived: l.onPong,
	})
	c.mu.Lock()
	defer c.mu.Unlock()
	defer close(finished)
	c.dialing = nil
	c.conn = nil
	if err != nil {
		return
	}
	if c.closed {
		_ = ws.CloseNow()
		return
	}
	l.attach(ws)
	c.conn = startClientConn(l)
}

// clientConn is a link on which this side sends the requests.
type clientConn struct {
	*link
	mu      sync.Mutex
	waiting map[uint64]chan wire.Envelope
}

func startClientConn(l *link) *clientConn {
	c := &clientConn{link: l, waiting: map[uint64]chan wire.Envelope{}}
	go c.writeLoop()
	go c.keepAlive(clientPingAfter)
	go c.receive()
	return c
}

// receive passes each reply to the call that waits for its ID. Replies without a waiting
// call are dropped.
func (c *clientConn) receive() {
	defer c.close()
	for {
		env, err := c.read()
		if err != nil {
			return
		}
		if !env.Reply {
			continue
		}
		c.mu.Lock()
		ch, ok := c.waiting[env.ID]
		delete(c.waiting, env.ID)
		c.mu.Unlock()
		if ok {
			ch <- env
		}
	}
}

func (c *clientConn) call(ctx context.Context, env wire.Envelope) (wire.Envelope, error) {
	m, err := newMessage(env)
	if err != nil {
		return env, err
	}
	ch := c.register(env.ID)
	defer c.unregister(env.ID)
	if err := c.send(ctx, m); err != nil {
		return env, err
	}
	select {
	case reply := <-ch:
		return reply, nil
	case <-c.done:
		return c.resultAfterClose(ch, m)
	case <-ctx.Done():
		if m.claim() {
			return env, ErrNotSent
		}
		return env, ctx.Err()
	}
}

// resultAfterClose returns the result of a call whose link has been closed: the reply if
// it arrived in time, ErrNotSent if the request was certainly not executed, or ErrLost.
func (c *clientConn) resultAfterClose(ch <-chan wire.Envelope, m *message) (wire.Envelope, error) {
	select {
	case reply := <-ch:
		return reply, nil
	default:
	}
	if m.claim() || c.drained.Load() {
		return wire.Envelope{}, ErrNotSent
	}
	return wire.Envelope{}, ErrLost
}

func (c *clientConn) register(id uint64) chan wire.Envelope {
	ch := make(chan wire.Envelope, 1)
	c.activeRequests.Add(1)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting[id] = ch
	return ch
}

func (c *clientConn) unregister(id uint64) {
	c.activeRequests.Add(-1)
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.waiting, id)
}
