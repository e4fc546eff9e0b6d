package traffic

import (
	"io"
	"net"
	"testing"

	"gotest.tools/v3/assert"
)

func TestBytesAreCountedOnBothSidesByPurpose(t *testing.T) {
	c := New()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	accepted := make(chan net.Conn, 1)
	go func() {
		conn, err := c.Listen(Peers, listener).Accept()
		assert.Check(t, err)
		accepted <- conn
	}()
	dial := c.Dial(Workers, (&net.Dialer{}).DialContext)
	conn, err := dial(t.Context(), "tcp", listener.Addr().String())
	assert.NilError(t, err)
	_, err = conn.Write([]byte("12345"))
	assert.NilError(t, err)
	assert.NilError(t, conn.Close())
	peer := <-accepted
	_, err = io.ReadAll(peer)
	assert.NilError(t, err)
	assert.Equal(t, c.Sent(Workers), int64(5))
	assert.Equal(t, c.Received(Peers), int64(5))
	assert.Equal(t, c.Sent(Peers), int64(0))
}
