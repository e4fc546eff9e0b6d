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
	"agatewinch/internal/wire"
)

// Handler answers one request. It returns the body of the reply, or an errkind.Error; any
// other error reaches the peer as errkind.Internal. Its context ends with the connection.
type Handler func(ctx context.Context, kind wire.Kind, body cbor.RawMessage) (any, error)

// Serve returns an HTTP handler that accepts peers' connections and answers their requests
// with h.
func Serve(h Handler) http.Handler { return NewServer(h) }

// Server accepts peers' connections and answers their requests.
type Server struct {
	handler Handler

	mu       sync.Mutex
	links    map[*serverLink]bool
	stopping bool
	requests int
	idle     chan struct{}
}

// serverLink is a link on which the peer sends the requests. Its channels are semaphores:
// one for control requests and one for all others.
type serverLink struct {
	*link
	requests chan struct{}
	control  chan struct{}
}

// NewServer returns a server that answers requests with h.
func NewServer(h Handler) *Server {
	return &Server{handler: h, links: map[*serverLink]bool{}}
}

// ServeHTTP accepts one connection and serves it until it is closed.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.full() {
		http.Error(w, "connection refused: too many connections, or the server is stopping", http.StatusServiceUnavailable)
		return
	}
	link := newLink()
	ws, err := websocket.Accept(w, r, &websocket.AcceptOptions{OnPingReceived: link.onPing, OnPongReceived: link.onPong})
	if err != nil {
		return
	}
	link.bind(ws)
	l := &serverLink{
		link:     link,
		requests: make(chan struct{}, maxRequestsPerConn),
		control:  make(chan struct{}, maxControlPerConn),
	}
	s.track(l, true)
	defer s.track(l, false)
	s.serve(r.Context(), l)
}

// full reports whether new connections are refused: the server is stopping or has
// maxLinks connections.
func (s *Server) full() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopping || len(s.links) >= maxLinks
}

func (s *Server) track(l *serverLink, on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if on {
		s.links[l] = true
		return
	}
	delete(s.links, l)
}

func (s *Server) serve(ctx context.Context, l *serverLink) {
	ctx, cancel := context.WithCancel(ctx)
	var running sync.WaitGroup
	defer running.Wait()
	defer cancel()
	defer l.end()
	running.Go(l.write)
	running.Go(func() { l.keepAlive(serverPingAfter) })
	for {
		env, err := l.read()
		if err != nil {
			return
		}
		if env.Reply {
			continue
		}
		slots, refusal := s.admit(l, env)
		if refusal != nil {
			l.reply(ctx, env, nil, refusal)
			continue
		}
		l.active.Add(1)
		running.Go(func() {
			defer s.finished(env.Kind)
			defer l.active.Add(-1)
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
	slots := l.requests
	if control(env.Kind) {
		slots = l.control
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping && !control(env.Kind) {
		return nil, errkind.New(errkind.Draining, "request refused: this process is stopping")
	}
	select {
	case slots <- struct{}{}:
		if !control(env.Kind) {
			s.requests++
		}
		return slots, nil
	default:
		return nil, &errkind.Error{
			Kind: errkind.QueueFull, Message: "request refused: too many requests in progress on one connection", RetryAfterSeconds: busyRetryAfterSeconds,
		}
	}
}

func (s *Server) finished(kind wire.Kind) {
	if control(kind) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests--
	if s.requests == 0 && s.idle != nil {
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
		reply.Error = wireError(err)
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
	case <-s.stop():
	case <-ctx.Done():
		err = ctx.Err()
	}
	var closing sync.WaitGroup
	for _, l := range s.open() {
		closing.Go(func() {
			if err == nil && l.flush(ctx) {
				_ = l.ws.Close(websocket.StatusGoingAway, "")
			}
			l.fail()
		})
	}
	closing.Wait()
	return trace.Wrap(err)
}

func (s *Server) open() []*serverLink {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Keys(s.links))
}

func (s *Server) stop() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopping = true
	idle := make(chan struct{})
	if s.requests == 0 {
		close(idle)
	} else {
		s.idle = idle
	}
	return idle
}
