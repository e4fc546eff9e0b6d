package peer

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"

	"agatewinch/internal/intake"
	"agatewinch/internal/wire"
)

// link is one WebSocket connection. A single goroutine writes all its messages, so that
// the end of one caller's context cannot interrupt a write, which would break the
// connection for the others.
type link struct {
	ws   *websocket.Conn
	out  chan *message
	done chan struct{}
	// activeRequests counts the requests in progress.
	activeRequests atomic.Int64
	// lastReceived is when data or a control frame was last received, in nanoseconds since
	// createdAt.
	lastReceived atomic.Int64
	createdAt    time.Time
	// pending counts the messages that are being queued, are queued or are being written.
	pending atomic.Int64
	// drained is true when the peer closed the connection after it had answered every
	// request it accepted: unanswered requests were not executed.
	drained atomic.Bool
}

// message is one encoded outgoing envelope.
type message struct {
	kind    wire.Kind
	data    []byte
	claimed atomic.Bool
}

// claim claims the message either for writing or for withdrawing it; only the first
// call returns true.
func (m *message) claim() bool { return m.claimed.CompareAndSwap(false, true) }

// newLink returns a link without a connection, which attach sets: the options that open the
// connection already refer to the link's onPing and onPong.
func newLink() *link {
	return &link{out: make(chan *message, outboxSize), done: make(chan struct{}), createdAt: time.Now()}
}

func (l *link) attach(ws *websocket.Conn) {
	ws.SetReadLimit(wire.MaxMessageBytes)
	l.ws = ws
	l.noteReceived()
}

func (l *link) noteReceived() { l.lastReceived.Store(int64(time.Since(l.createdAt))) }

func (l *link) onPing(context.Context, []byte) bool {
	l.noteReceived()
	return true
}

func (l *link) onPong(context.Context, []byte) { l.noteReceived() }

func newMessage(env wire.Envelope) (*message, error) {
	data, err := cbor.Marshal(env)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return &message{kind: env.Kind, data: data}, nil
}

// abort closes the connection without a close handshake. The link is closed by its
// reader when it gets the resulting error, so that messages already received are
// processed first.
func (l *link) abort() { _ = l.ws.CloseNow() }

// close closes the link. Only its reader may call it, and only once.
func (l *link) close() {
	close(l.done)
	l.abort()
}

func (l *link) closed() bool {
	select {
	case <-l.done:
		return true
	default:
		return false
	}
}

// send queues a message. An error means that it was not queued and will never be sent.
func (l *link) send(ctx context.Context, m *message) error {
	l.pending.Add(1)
	select {
	case l.out <- m:
		return nil
	case <-l.done:
	case <-ctx.Done():
	}
	l.pending.Add(-1)
	return ErrNotSent
}

// flush waits until all queued messages are written and returns true, or returns false
// when the link closes or ctx ends first.
func (l *link) flush(ctx context.Context) bool {
	tick := time.NewTicker(flushPollInterval)
	defer tick.Stop()
	for l.pending.Load() > 0 {
		select {
		case <-tick.C:
		case <-l.done:
			return false
		case <-ctx.Done():
			return false
		}
	}
	return true
}

// writeLoop writes queued messages until the link is closed or a write fails.
func (l *link) writeLoop() {
	defer l.abort()
	for {
		select {
		case m := <-l.out:
			err := l.writeMessage(m)
			l.pending.Add(-1)
			if err != nil {
				return
			}
		case <-l.done:
			return
		}
	}
}

func (l *link) writeMessage(m *message) error {
	if !m.claim() {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), writeTimeout)
	defer cancel()
	err := l.ws.Write(ctx, websocket.MessageBinary, m.data)
	if err == nil {
		sentBytes.Add(string(m.kind), int64(len(m.data)))
	}
	return trace.Wrap(err)
}

// read returns the next message. After an error the caller must close the link.
func (l *link) read() (wire.Envelope, error) {
	_, data, err := l.ws.Read(context.Background())
	return l.decode(data, err)
}

// readWithin returns the next message, and its part of the budget, which the caller must release. After
// an error the caller must close the link.
func (l *link) readWithin(budget *intake.Budget) (wire.Envelope, *intake.Hold, error) {
	if budget == nil {
		env, err := l.read()
		return env, nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	_, reader, err := l.ws.Reader(ctx) // waits for the first byte of a message
	if err != nil {
		env, err := l.decode(nil, err)
		return env, nil, err
	}
	timeout := time.AfterFunc(messageTimeout, cancel)
	defer timeout.Stop()
	hold := budget.Open(cancel)
	data, err := intake.ReadAll(ctx, reader, hold, wire.MaxMessageBytes)
	if err == nil {
		hold.Finish()
		err = hold.Grow(ctx, messageCopies*int64(len(data)))
	}
	env, err := l.decode(data, err)
	if err != nil {
		hold.Release()
	}
	return env, hold, err
}

// decode decodes a message, unless it could not be read.
func (l *link) decode(data []byte, err error) (wire.Envelope, error) {
	if err != nil {
		l.drained.Store(websocket.CloseStatus(err) == websocket.StatusGoingAway)
		return wire.Envelope{}, trace.Wrap(err)
	}
	l.noteReceived()
	env, err := wire.Decode(data)
	if err != nil {
		return env, trace.Wrap(err)
	}
	receivedBytes.Add(string(env.Kind), int64(len(data)))
	return env, nil
}

// keepAlive pings the link when requests are in progress on it and nothing has been
// received for pingAfter, and aborts it when the pong does not arrive. A link without
// requests is not pinged, so that an idle link causes no traffic.
func (l *link) keepAlive(pingAfter time.Duration) {
	tick := time.NewTicker(pingAfter)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			if l.activeRequests.Load() > 0 && l.sinceLastReceived() >= pingAfter && l.ping() != nil {
				l.abort()
				return
			}
		case <-l.done:
			return
		}
	}
}

func (l *link) sinceLastReceived() time.Duration {
	return time.Since(l.createdAt) - time.Duration(l.lastReceived.Load())
}

func (l *link) ping() error {
	ctx, cancel := context.WithTimeout(context.Background(), pongTimeout)
	defer cancel()
	return trace.Wrap(l.ws.Ping(ctx))
}
