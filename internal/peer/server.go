package peer

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"sync"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"

	"agatewinch/internal/errkind"
	"agatewinch/internal/intake"
	"agatewinch/internal/wire"
)

// Handler answers one request. It returns the body of the reply, or an errkind.Error; any
// other error reaches the peer as errkind.Internal. Its context ends with the connection.
type Handler func(ctx context.Context, kind wire.Kind, body cbor.RawMessage) (any, error)

// Serve returns an HTTP handler that accepts peers' connections and answers their requests
// with h.
func Serve(h Handler, opts ...ServerOption) http.Handler { return NewServer(h, opts...) }

// ServerOption configures a Server.
type ServerOption func(*Server)

// WithBudget makes a Server account for the messages that it reads and handles in a budget. A message
// that does not fit, or does not arrive in time, ends its connection.
func WithBudget(b *intake.Budget) ServerOption { return func(s *Server) { s.budget = b } }

// Server accepts peers' connections and answers their requests.
type Server struct {
	handler Handler
	budget  *intake.Budget

	mu       sync.Mutex
	links    map[*serverLink]bool
	stopping bool
	// activeRequests counts the requests in progress other than control requests.
	activeRequests int
	// idle, if not nil, is closed when activeRequests becomes zero.
	idle chan struct{}
}

// serverLink is a link on which the peer sends the requests. Its channels are semaphores:
// one for control requests and one for all others.
type serverLink struct {
	*link
	requestSlots chan struct{}
	controlSlots chan struct{}
}

// NewServer returns a server that answers requests with h.
func NewServer(h Handler, opts ...ServerOption) *Server {
	s := &Server{handler: h, links: map[*serverLink]bool{}}
	for _, opt := range opts {
		opt(s)
	}
	return s
}

// ServeHTTP accepts one connection and serves it until it is closed.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.refusesConnections() {
		http.Error(w, "connection refused: too many connections, or the server is shutting down", http.StatusServiceUnavailable)
		return
	}
	link := newLink()
	ws, err := websocket.Accept(w, r, &websocket.AcceptOptions{OnPingReceived: link.onPing, OnPongReceived: link.onPong})
	if err != nil {
		return
	}
	link.attach(ws)
	l := &serverLink{
		link:         link,
		requestSlots: make(chan struct{}, maxRequestsPerConn),
		controlSlots: make(chan struct{}, maxControlPerConn),
	}
	s.track(l, true)
	defer s.track(l, false)
	s.serve(r.Context(), l)
}

// refusesConnections reports whether new connections are refused: the server is stopping or
// has maxLinks connections.
func (s *Server) refusesConnections() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopping || len(s.links) >= maxLinks
}

func (s *Server) track(l *serverLink, open bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if open {
		s.links[l] = true
		return
	}
	delete(s.links, l)
}

func (s *Server) serve(ctx context.Context, l *serverLink) {
	ctx, cancel := context.WithCancel(ctx)
	var goroutines sync.WaitGroup
	defer goroutines.Wait()
	defer cancel()
	defer l.close()
	goroutines.Go(l.writeLoop)
	goroutines.Go(func() { l.keepAlive(serverPingAfter) })
	for {
		env, hold, err := l.readWithin(s.budget)
		if err != nil {
			return
		}
		if env.Reply {
			hold.Release()
			continue
		}
		slots, admitErr := s.admit(l, env)
		if admitErr != nil {
			hold.Release()
			l.reply(ctx, env, nil, admitErr)
			continue
		}
		l.activeRequests.Add(1)
		goroutines.Go(func() {
			defer hold.Release()
			defer s.requestDone(env.Kind)
			defer l.activeRequests.Add(-1)
			defer func() { <-slots }()
			body, err := s.handler(ctx, env.Kind, env.Body)
			l.reply(ctx, env, body, err)
		})
	}
}

// admit takes a slot for a request and returns its semaphore, or returns the error with
// which the request is refused; a refused request is not executed.
func (s *Server) admit(l *serverLink, env wire.Envelope) (chan struct{}, error) {
	if env.Version != wire.Version {
		return nil, errkind.New(errkind.InvalidRequest, "the protocol version of the request is not supported")
	}
	slots := l.requestSlots
	if isControl(env.Kind) {
		slots = l.controlSlots
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping && !isControl(env.Kind) {
		return nil, errkind.New(errkind.Draining, "request refused: this process is shutting down")
	}
	select {
	case slots <- struct{}{}:
		if !isControl(env.Kind) {
			s.activeRequests++
		}
		return slots, nil
	default:
		return nil, &errkind.Error{
			Kind: errkind.QueueFull, Message: "request refused: too many requests in progress on one connection", RetryAfterSeconds: busyRetryAfterSeconds,
		}
	}
}

func (s *Server) requestDone(kind wire.Kind) {
	if isControl(kind) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.activeRequests--
	if s.activeRequests == 0 && s.idle != nil {
		close(s.idle)
		s.idle = nil
	}
}

func (l *serverLink) reply(ctx context.Context, env wire.Envelope, body any, err error) {
	reply := wire.Envelope{Version: wire.Version, ID: env.ID, Kind: env.Kind, Reply: true}
	if err == nil {
		reply.Body, err = cbor.Marshal(body)
	}
	if err != nil {
		reply.Error = toWireError(err)
	}
	m, err := newMessage(reply)
	if err == nil {
		_ = l.send(ctx, m)
	}
}

// Shutdown refuses new requests, waits until those in progress are answered and closes
// the connections with StatusGoingAway, which tells the peers that unanswered requests
// were not executed. If ctx ends first, it aborts the connections and returns the
// context's error. Control requests are still answered while it waits.
func (s *Server) Shutdown(ctx context.Context) error {
	var err error
	select {
	case <-s.beginShutdown():
	case <-ctx.Done():
		err = ctx.Err()
	}
	var closing sync.WaitGroup
	for _, l := range s.openLinks() {
		closing.Go(func() {
			if err == nil && l.flush(ctx) {
				_ = l.ws.Close(websocket.StatusGoingAway, "")
			}
			l.abort()
		})
	}
	closing.Wait()
	return trace.Wrap(err)
}

func (s *Server) openLinks() []*serverLink {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Keys(s.links))
}

// beginShutdown makes the server refuse new requests, and returns a channel that is closed
// when only control requests are still in progress.
func (s *Server) beginShutdown() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopping = true
	idle := make(chan struct{})
	if s.activeRequests == 0 {
		close(idle)
	} else {
		s.idle = idle
	}
	return idle
}
