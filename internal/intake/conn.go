package intake

import (
	"bytes"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// lineCost is the memory that net/http takes for one line of a header beyond its text, in bytes,
	// and textCost that for each byte of its text.
	lineCost = 200
	textCost = 3
	// freeHeader is the cost of a header up to which none is accounted for; it is part of connBytes.
	freeHeader = 8 << 10
	// headerStep is the step in which the cost of a header is added to the budget.
	headerStep = 16 << 10
	// writeTimeout is how long a client may leave an answer unread that fills its buffers.
	writeTimeout = 15 * time.Second
)

// conn is a connection that counts the bytes of its header.
type conn struct {
	net.Conn
	connections *Connections
	// lastRead is when the client last sent something, in Unix nanoseconds.
	lastRead atomic.Int64

	// stage is guarded by connections.mu.
	stage stage

	// header accounts for the header being read, and cost is its memory.
	headerMu sync.Mutex
	header   *Hold
	held     int64
	cost     int64
	closed   bool
}

// Read implements net.Conn. It fails if the header that is being read does not fit into the budget.
func (k *conn) Read(p []byte) (int, error) {
	n, err := k.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	k.lastRead.Store(time.Now().UnixNano())
	if k.connections.budget != nil && k.readsHeader() {
		if held := k.noteHeader(p[:n]); held != nil {
			_ = k.Conn.Close() // net/http may read on after an error; it must not miss these bytes
			return 0, held
		}
	}
	return n, err
}

// Write implements net.Conn.
func (k *conn) Write(p []byte) (int, error) {
	_ = k.Conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	return k.Conn.Write(p)
}

// Close implements net.Conn.
func (k *conn) Close() error {
	k.connections.mu.Lock()
	delete(k.connections.open, k)
	k.connections.mu.Unlock()
	err := k.Conn.Close()
	k.headerMu.Lock()
	k.closed = true
	k.headerMu.Unlock()
	k.headerReleased()
	return err
}

// CloseWrite closes the sending side, which lets the client read the last answer.
func (k *conn) CloseWrite() error {
	if c, ok := k.Conn.(interface{ CloseWrite() error }); ok {
		return c.CloseWrite()
	}
	return nil
}

func (k *conn) stageNow() stage {
	k.connections.mu.Lock()
	defer k.connections.mu.Unlock()
	return k.stage
}

func (k *conn) setStage(s stage) {
	k.connections.mu.Lock()
	defer k.connections.mu.Unlock()
	k.stage = s
}

func (k *conn) readsHeader() bool {
	s := k.stageNow()
	return s == stageHeader || s == stageIdle
}

// setReading records whether the client is sending a body.
func (k *conn) setReading(reading bool) {
	if k == nil {
		return
	}
	k.connections.mu.Lock()
	defer k.connections.mu.Unlock()
	switch {
	case reading:
		k.stage = stageBody
	case k.stage == stageBody:
		k.stage = stageServing
	}
}

// setRefused records that the connection's request was refused.
func (k *conn) setRefused() {
	if k != nil {
		k.setStage(stageRefused)
	}
}

// noteHeader accounts for a part of a header. The part may be followed by the beginning of a body.
func (k *conn) noteHeader(part []byte) error {
	if end := bytes.Index(part, []byte("\r\n\r\n")); end >= 0 {
		part = part[:end]
	}
	k.headerMu.Lock()
	k.cost += int64(len(part))*textCost + int64(bytes.Count(part, []byte("\n")))*lineCost
	if k.cost <= freeHeader || k.closed {
		k.headerMu.Unlock()
		return nil
	}
	if k.header == nil {
		k.header = k.connections.budget.Open(func() { _ = k.Conn.Close() })
	}
	header, step := k.header, int64(0)
	if k.cost > k.held {
		step = (k.cost - k.held + headerStep - 1) / headerStep * headerStep
	}
	k.held += step
	k.headerMu.Unlock()
	header.NoteProgress()
	if step == 0 {
		return nil
	}
	return header.Grow(context.Background(), step)
}

// headerDone records that the header has been read: the connection no longer gives way to others for it.
func (k *conn) headerDone() {
	k.headerMu.Lock()
	defer k.headerMu.Unlock()
	if k.header != nil {
		k.header.Finish()
	}
}

// headerReleased ends the accounting of a header when its request has been answered.
func (k *conn) headerReleased() {
	k.headerMu.Lock()
	defer k.headerMu.Unlock()
	if k.header != nil {
		k.header.Release()
	}
	k.header, k.held, k.cost = nil, 0, 0
}
