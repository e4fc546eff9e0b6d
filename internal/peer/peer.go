// Package peer carries wire messages over WebSocket connections. Requests on one
// connection are answered in any order and matched by their IDs.
package peer

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"

	"agatewinch/internal/errkind"
	"agatewinch/internal/wire"
)

// Path is where a process accepts its peers' connections.
const Path = "/peer"

const (
	dialTimeout        = 2 * time.Second
	writeTimeout       = 5 * time.Second
	maxRequestsPerConn = 4096
)

// Handler answers one request; it returns the reply's body or a kinded error.
type Handler func(ctx context.Context, kind wire.Kind, body cbor.RawMessage) (any, error)

// Serve returns an HTTP handler that accepts peers and answers their requests.
func Serve(h Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ws, err := websocket.Accept(w, r, nil)
		if err != nil {
			return
		}
		ws.SetReadLimit(wire.MaxMessageBytes)
		serveConn(r.Context(), ws, h)
	})
}

func serveConn(ctx context.Context, ws *websocket.Conn, h Handler) {
	ctx, cancel := context.WithCancel(ctx)
	var running sync.WaitGroup
	defer running.Wait()
	defer cancel()
	defer func() { _ = ws.CloseNow() }()
	slots := make(chan struct{}, maxRequestsPerConn)
	for {
		env, err := read(ctx, ws)
		if err != nil {
			return
		}
		slots <- struct{}{}
		running.Add(1)
		go func() {
			defer running.Done()
			defer func() { <-slots }()
			_ = write(ctx, ws, answer(ctx, env, h))
		}()
	}
}

func answer(ctx context.Context, env wire.Envelope, h Handler) wire.Envelope {
	reply := wire.Envelope{Version: wire.Version, ID: env.ID, Kind: env.Kind, Reply: true}
	if env.Version != wire.Version {
		reply.Error = &wire.Error{Kind: errkind.InvalidRequest, Message: "protocol version not supported"}
		return reply
	}
	body, err := h(ctx, env.Kind, env.Body)
	if err == nil {
		reply.Body, err = cbor.Marshal(body)
	}
	if err != nil {
		e := errkind.Of(err)
		reply.Error = &wire.Error{Kind: e.Kind, Message: e.Message, RetryAfterSeconds: e.RetryAfterSeconds}
	}
	return reply
}

func read(ctx context.Context, ws *websocket.Conn) (wire.Envelope, error) {
	var env wire.Envelope
	_, data, err := ws.Read(ctx)
	if err != nil {
		return env, trace.Wrap(err)
	}
	return env, trace.Wrap(cbor.Unmarshal(data, &env))
}

func write(ctx context.Context, ws *websocket.Conn, env wire.Envelope) error {
	data, err := cbor.Marshal(env)
	if err != nil {
		return trace.Wrap(err)
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	return trace.Wrap(ws.Write(ctx, websocket.MessageBinary, data))
}

// ErrLost means that the connection broke before the reply came; the request may have
// been carried out.
var ErrLost = trace.ConnectionProblem(nil, "connection to peer lost")

// ErrNotSent means that no connection could be made; nothing was sent.
var ErrNotSent = trace.ConnectionProblem(nil, "peer cannot be reached")

// Client sends requests to one peer over one connection, made when first needed.
type Client struct {
	addr   string
	client *http.Client
	nextID atomic.Uint64

	mu   sync.Mutex
	conn *clientConn
}

type clientConn struct {
	ws      *websocket.Conn
	mu      sync.Mutex
	waiting map[uint64]chan wire.Envelope
	broken  bool
}

// NewClient returns a client for the peer at addr, an IP and port.
func NewClient(addr string) *Client {
	transport := &http.Transport{DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext}
	return &Client{addr: addr, client: &http.Client{Transport: transport}}
}

// Close ends the connection.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != nil {
		_ = c.conn.ws.CloseNow()
	}
	c.conn = nil
}

// Call sends a request and decodes the reply into out. It fails with ErrNotSent, with
// ErrLost, with the context's error, or with the peer's kinded error.
func (c *Client) Call(ctx context.Context, kind wire.Kind, body, out any) error {
	conn, err := c.connect(ctx)
	if err != nil {
		return trace.Wrap(ErrNotSent)
	}
	data, err := cbor.Marshal(body)
	if err != nil {
		return trace.Wrap(err)
	}
	id := c.nextID.Add(1)
	ch, err := conn.register(id)
	if err != nil {
		return trace.Wrap(ErrNotSent)
	}
	defer conn.forget(id)
	if err := write(ctx, conn.ws, wire.Envelope{Version: wire.Version, ID: id, Kind: kind, Body: data}); err != nil {
		_ = conn.ws.CloseNow()
		return trace.Wrap(ErrLost)
	}
	select {
	case env, ok := <-ch:
		if !ok {
			return trace.Wrap(ErrLost)
		}
		if env.Error != nil {
			return trace.Wrap(&errkind.Error{Kind: env.Error.Kind, Message: env.Error.Message, RetryAfterSeconds: env.Error.RetryAfterSeconds})
		}
		return trace.Wrap(cbor.Unmarshal(env.Body, out))
	case <-ctx.Done():
		return trace.Wrap(ctx.Err())
	}
}

func (c *Client) connect(ctx context.Context) (*clientConn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != nil && !c.conn.isBroken() {
		return c.conn, nil
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	ws, _, err := websocket.Dial(ctx, "ws://"+c.addr+Path, &websocket.DialOptions{HTTPClient: c.client})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	ws.SetReadLimit(wire.MaxMessageBytes)
	c.conn = &clientConn{ws: ws, waiting: map[uint64]chan wire.Envelope{}}
	go c.conn.receive()
	return c.conn, nil
}

func (c *clientConn) receive() {
	for {
		env, err := read(context.Background(), c.ws)
		if err != nil {
			c.fail()
			return
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

func (c *clientConn) fail() {
	_ = c.ws.CloseNow()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.broken = true
	for id, ch := range c.waiting {
		close(ch)
		delete(c.waiting, id)
	}
}

func (c *clientConn) isBroken() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.broken
}

func (c *clientConn) register(id uint64) (chan wire.Envelope, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.broken {
		return nil, ErrNotSent
	}
	ch := make(chan wire.Envelope, 1)
	c.waiting[id] = ch
	return ch, nil
}

func (c *clientConn) forget(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.waiting, id)
}
