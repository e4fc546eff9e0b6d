package proxy

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const patience = 100 * time.Millisecond

// echo starts a server that sends back what it gets, and a proxy before it.
func echo(t *testing.T) *Proxy {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(conn, conn)
				_ = conn.Close()
			}()
		}
	}()
	p, err := New("127.0.0.1:0", listener.Addr().String(), nil)
	assert.NilError(t, err)
	t.Cleanup(func() {
		p.Close()
		_ = listener.Close()
	})
	return p
}

func dial(t *testing.T, p *Proxy) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", p.Addr())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

func send(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	_, err := conn.Write([]byte(text))
	assert.NilError(t, err)
}

// receive reads up to n bytes, and returns what came before the connection ended or
// patience ran out; ended tells the two apart.
func receive(conn net.Conn, n int) (text string, ended bool) {
	buffer := make([]byte, n)
	_ = conn.SetReadDeadline(time.Now().Add(patience))
	got, err := io.ReadFull(conn, buffer)
	var netErr net.Error
	timedOut := errors.As(err, &netErr) && netErr.Timeout()
	return string(buffer[:got]), err != nil && !timedOut
}

func TestHealthyLinkCarriesData(t *testing.T) {
	conn := dial(t, echo(t))
	send(t, conn, "hello")
	text, ended := receive(conn, 5)
	assert.Equal(t, text, "hello")
	assert.Assert(t, !ended)
}

func TestHeldAnswerArrivesAfterwards(t *testing.T) {
	p := echo(t)
	conn := dial(t, p)
	p.Set("", LinkFaults{Answer: Faults{Hold: true}})
	send(t, conn, "late")
	text, ended := receive(conn, 4)
	assert.Equal(t, text, "")
	assert.Assert(t, !ended)
	p.Set("", LinkFaults{})
	text, _ = receive(conn, 4)
	assert.Equal(t, text, "late")
}

func TestDroppedDataNeverArrivesAndTheConnectionIsResetWhenHealed(t *testing.T) {
	for name, f := range map[string]LinkFaults{
		"request": {Request: Faults{Drop: true}}, "answer": {Answer: Faults{Drop: true}}, "both": CutBothWays(),
	} {
		t.Run(name, func(t *testing.T) {
			p := echo(t)
			conn := dial(t, p)
			p.Set("", f)
			send(t, conn, "gone")
			text, ended := receive(conn, 4)
			assert.Equal(t, text, "")
			assert.Assert(t, !ended)
			p.Set("", LinkFaults{})
			text, ended = receive(conn, 4)
			assert.Equal(t, text, "")
			assert.Assert(t, ended)
		})
	}
}

func TestConnectionIsCutAfterExactlySoManyBytes(t *testing.T) {
	p := echo(t)
	conn := dial(t, p)
	p.Set("", LinkFaults{Answer: Faults{CutAfter: 3}})
	send(t, conn, "abcdef")
	text, ended := receive(conn, 6)
	// A reset may overtake bytes that the receiver has not read yet.
	assert.Assert(t, len(text) <= 3 && "abc"[:len(text)] == text)
	assert.Assert(t, ended)
}

func TestDelayHoldsDataBackAndDeliversIt(t *testing.T) {
	p := echo(t)
	conn := dial(t, p)
	p.Set("", LinkFaults{Request: Faults{Delay: 2 * patience}})
	send(t, conn, "slow")
	text, _ := receive(conn, 4)
	assert.Equal(t, text, "")
	_ = conn.SetReadDeadline(time.Time{})
	buffer := make([]byte, 4)
	_, err := io.ReadFull(conn, buffer)
	assert.NilError(t, err)
}

func TestRefusingLinkBreaksOldAndNewConnections(t *testing.T) {
	p := echo(t)
	old := dial(t, p)
	send(t, old, "x")
	receive(old, 1)
	p.Set("", LinkFaults{Refuse: true})
	_, ended := receive(old, 1)
	assert.Assert(t, ended)
	_, ended = receive(dial(t, p), 1)
	assert.Assert(t, ended)
	p.Set("", LinkFaults{})
	again := dial(t, p)
	send(t, again, "y")
	text, _ := receive(again, 1)
	assert.Equal(t, text, "y")
}

func TestSourcesHaveFaultsOfTheirOwn(t *testing.T) {
	healthy := echo(t)
	names := make(chan string, 2)
	names <- "a"
	names <- "b"
	p, err := New("127.0.0.1:0", healthy.Addr(), func(net.Conn) string { return <-names })
	assert.NilError(t, err)
	defer p.Close()
	p.Set("a", CutBothWays())
	first, second := dial(t, p), dial(t, p)
	send(t, first, "x")
	send(t, second, "x")
	one, _ := receive(first, 1)
	other, _ := receive(second, 1)
	assert.Equal(t, one+other, "x")
}
