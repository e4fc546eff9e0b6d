package peer

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"

	"agatewinch/internal/wire"
)

// link is one WebSocket connection. One goroutine writes all its messages, so that no
// caller's context can end a write half-way and break the connection for the others.
type link struct {
	ws     *websocket.Conn
	out    chan *message
	done   chan struct{}
	active atomic.Int64
	// readAt is when anything last came in, as time since began.
	readAt atomic.Int64
	began  time.Time
	// pending counts the messages queued or being written.
	pending atomic.Int64
	// drained is true when the peer ended the connection after it had answered all
	// that it had taken: what is unanswered was not carried out.
	drained atomic.Bool
}

// message is one encoded envelope on its way out.
type message struct {
	kind  wire.Kind
	data  []byte
	taken atomic.Bool
}

// take claims the message for writing or for giving it up; only the first succeeds.
func (m *message) take() bool { return m.taken.CompareAndSwap(false, true) }

func newLink() *link {
	return &link{out: make(chan *message, outboxSize), done: make(chan struct{}), began: time.Now()}
}

func (l *link) bind(ws *websocket.Conn) {
	ws.SetReadLimit(wire.MaxMessageBytes)
	l.ws = ws
	l.heard()
}

func (l *link) heard() { l.readAt.Store(int64(time.Since(l.began))) }

func (l *link) onPing(context.Context, []byte) bool {
	l.heard()
	return true
}

func (l *link) onPong(context.Context, []byte) { l.heard() }

func newMessage(env wire.Envelope) (*message, error) {
	data, err := cbor.Marshal(env)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return &message{kind: env.Kind, data: data}, nil
}

// fail breaks the connection; the link ends as soon as its reader has noticed, so that
// what the peer last said is taken in first.
func (l *link) fail() { _ = l.ws.CloseNow() }

// end ends the link; only its reader calls it.
func (l *link) end() {
	close(l.done)
	l.fail()
}

func (l *link) failed() bool {
	select {
	case <-l.done:
		return true
	default:
		return false
	}
}

// send queues a message. An error means that it was not sent and will not be.
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

// flush waits until all queued messages are written, the link ends or ctx does.
func (l *link) flush(ctx context.Context) bool {
	tick := time.NewTicker(flushPoll)
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

// write writes queued messages until the link ends.
func (l *link) write() {
	defer l.fail()
	for {
		select {
		case m := <-l.out:
			err := l.writeOne(m)
			l.pending.Add(-1)
			if err != nil {
				return
			}
		case <-l.done:
			return
		}
	}
}

func (l *link) writeOne(m *message) error {
	if !m.take() {
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

// read returns the next message; after an error the reader ends the link.
func (l *link) read() (wire.Envelope, error) {
	_, data, err := l.ws.Read(context.Background())
	if err != nil {
		l.drained.Store(websocket.CloseStatus(err) == websocket.StatusGoingAway)
		return wire.Envelope{}, trace.Wrap(err)
	}
	l.heard()
	env, err := wire.Decode(data)
	if err != nil {
		return env, trace.Wrap(err)
	}
	receivedBytes.Add(string(env.Kind), int64(len(data)))
	return env, nil
}

// keepAlive probes the link when requests are in progress on it and nothing has come
// in for a while. An idle link costs nothing.
func (l *link) keepAlive(silence time.Duration) {
	tick := time.NewTicker(silence)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			if l.active.Load() > 0 && l.silent() >= silence && l.ping() != nil {
				l.fail()
				return
			}
		case <-l.done:
			return
		}
	}
}

func (l *link) silent() time.Duration {
	return time.Since(l.began) - time.Duration(l.readAt.Load())
}

func (l *link) ping() error {
	ctx, cancel := context.WithTimeout(context.Background(), pongTimeout)
	defer cancel()
	return trace.Wrap(l.ws.Ping(ctx))
}
