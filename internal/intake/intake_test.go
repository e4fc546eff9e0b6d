package intake

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"agatewinch/internal/errkind"
)

const limit = 1 << 20

// stalled opens a hold of n bytes whose client has sent nothing for some time, and counts its eviction.
func stalled(t *testing.T, b *Budget, n int64, evictions *int) *Hold {
	h := b.Open(func() { *evictions++ })
	assert.NilError(t, h.Grow(t.Context(), n))
	h.progress.Store(time.Now().Add(-time.Minute).UnixNano())
	return h
}

func TestStalledHoldGivesWay(t *testing.T) {
	b, evictions := NewBudget("test", limit, nil), 0
	old := stalled(t, b, limit/2, &evictions)
	finished := stalled(t, b, limit/8, &evictions)
	assert.Assert(t, finished.Finish())
	newcomer := b.Open(func() { t.Error("the newcomer was evicted") })
	time.AfterFunc(growPoll, func() {
		if old.Evicted() {
			old.Release()
		}
	})
	assert.NilError(t, newcomer.Grow(t.Context(), limit/2))
	assert.Equal(t, evictions, 1)
	assert.Assert(t, !old.Finish())
	newcomer.Release()
	finished.Release()
	assert.Equal(t, b.Used(), int64(0))
}

func TestSpentBudgetRefusesWithRetryAfter(t *testing.T) {
	b := NewBudget("test", limit, nil)
	assert.NilError(t, b.Open(func() {}).Grow(t.Context(), limit-limit/8))
	ctx, cancel := context.WithTimeout(t.Context(), growPoll)
	defer cancel()
	err := b.Open(func() {}).Grow(ctx, 2*smallBytes)
	assert.Assert(t, errkind.Is(err, errkind.Overloaded))
	assert.Assert(t, errkind.Of(err).RetryAfterSeconds >= retryAfterSeconds)
	assert.NilError(t, b.Open(func() {}).Grow(t.Context(), smallBytes), "small requests have a part of their own")
}

func TestReleasedHoldDoesNotGrow(t *testing.T) {
	b := NewBudget("test", limit, nil)
	h := b.Open(func() {})
	h.Release()
	assert.Assert(t, errkind.Is(h.Grow(t.Context(), 1), errkind.Overloaded))
	assert.Equal(t, b.Used(), int64(0))
}

// start serves a handler that reads bodies of up to 100,000 bytes and answers with their length.
func start(t *testing.T, b *Budget, connections int) string {
	rd := &Reader{Budget: b, Idle: 300 * time.Millisecond, Total: time.Second}
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := rd.Read(w, r, 100000)
		if err != nil {
			w.WriteHeader(errkind.PropertiesOf(errkind.Of(err).Kind).Status)
			return
		}
		defer body.Release()
		_, _ = fmt.Fprint(w, len(body.Bytes()))
	}))
	bound := NewConnections(connections, b, nil)
	bound.Attach(s.Config)
	s.Listener = bound.Listener(s.Listener)
	s.Start()
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

// exchange sends text on a new connection and returns the status and body of the answer.
func exchange(t *testing.T, address, text string) (int, string) {
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	_, _ = io.WriteString(conn, text) // a server that refuses the request may close the connection first
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	data, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return resp.StatusCode, string(data)
}

const head = "POST / HTTP/1.1\r\nHost: host\r\n"

func TestBodiesAreReadWithinTheLimit(t *testing.T) {
	b := NewBudget("test", limit, nil)
	address := start(t, b, 10)
	for text, want := range map[string]int{
		head + "Content-Length: 100000\r\n\r\n" + strings.Repeat("x", 100000):                                     200,
		head + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1\r\nx\r\n", 100000) + "0\r\n\r\n":          200,
		head + "Content-Length: 100001\r\n\r\n":                                                                   413,
		head + "Transfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n", 100001) + strings.Repeat("x", 100001): 413,
		head + "Content-Length: 100000\r\n\r\nx":                                                                  503,
	} {
		status, body := exchange(t, address, text)
		assert.Equal(t, status, want)
		assert.Assert(t, status != 200 || body == "100000", body)
	}
	assert.Equal(t, b.Used(), int64(0))
}

func TestNewConnectionReplacesOneThatHoldsOn(t *testing.T) {
	address := start(t, NewBudget("test", limit, nil), 3)
	for range 3 {
		conn, err := net.Dial("tcp", address)
		assert.NilError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		_, err = io.WriteString(conn, head)
		assert.NilError(t, err)
	}
	time.Sleep(2 * stallTime)
	status, _ := exchange(t, address, head+"Content-Length: 1\r\n\r\nx")
	assert.Equal(t, status, 200)
}

// At the bound, with a request in progress on the only connection, a second one is closed. It is
// admitted once the first is closed, or as soon as that has been idle for some time.
func TestConnectionsOverTheLimitAreClosed(t *testing.T) {
	entered, finish := make(chan struct{}, 1), make(chan struct{})
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/wait" {
			entered <- struct{}{}
			<-finish
		}
	}))
	bound := NewConnections(1, nil, nil)
	bound.Attach(server.Config)
	server.Listener = bound.Listener(server.Listener)
	server.Start()
	defer server.Close()
	get := func(client *http.Client, path string) error {
		resp, err := client.Get(server.URL + path)
		if err == nil {
			err = resp.Body.Close()
		}
		return err
	}
	first, second := &http.Client{Transport: &http.Transport{}}, &http.Client{Transport: &http.Transport{}}
	answered := make(chan error, 1)
	go func() { answered <- get(first, "/wait") }()
	<-entered
	time.Sleep(2 * stallTime) // a request in progress never gives way
	assert.Assert(t, get(second, "/") != nil)
	close(finish)
	assert.NilError(t, <-answered)
	first.CloseIdleConnections()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if get(second, "/") == nil {
			return poll.Success()
		}
		return poll.Continue("the closed connection still counts")
	}, poll.WithDelay(time.Millisecond))
	assert.Equal(t, bound.Open(), 1)
}

func TestHeadersCountTowardsTheBudget(t *testing.T) {
	b := NewBudget("test", limit, nil)
	address := start(t, b, 10)
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	_, err = io.WriteString(conn, head+strings.Repeat("x:\r\n", 200))
	assert.NilError(t, err)
	for range 100 {
		if b.Used() > 0 {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	assert.Assert(t, b.Used() >= 200*lineCost)
	_ = conn.Close()
	for range 100 {
		if b.Used() == 0 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Errorf("%d bytes are held for a closed connection", b.Used())
}

// A header that does not fit ends its connection: the rest of it must not be taken for a request.
func TestHeaderThatDoesNotFitEndsItsConnection(t *testing.T) {
	b := NewBudget("test", headerStep/2, nil)
	address := start(t, b, 10)
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	// The header takes several reads, of which one is refused.
	_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: host\r\n"+strings.Repeat("x:\r\n", 2000)+"\r\n")
	assert.NilError(t, err)
	_, err = http.ReadResponse(bufio.NewReader(conn), nil)
	assert.Assert(t, err != nil, "the request was answered")
}

func TestLimitsLeaveRoomOnEveryMachine(t *testing.T) {
	for _, m := range []struct {
		memory      int64
		descriptors int
	}{{144 << 20, 3075}, {284 << 20, 4100}, {536 << 20, 10250}, {0, 0}} {
		l := LimitsFor(m.memory, m.descriptors)
		if m.memory > 0 {
			assert.Assert(t, l.Bytes+l.PeerBytes+l.AnswerBytes+int64(l.Connections)*connBytes <= m.memory/2)
			assert.Assert(t, l.Connections+l.PeerConnections <= m.descriptors/2)
		}
		assert.Assert(t, l.Bytes >= 16*262144 && l.Connections >= 256)
	}
	set := Limits{Connections: 7}.Or(LimitsFor(0, 0))
	assert.Equal(t, set.Connections, 7)
	assert.Equal(t, set.Bytes, LimitsFor(0, 0).Bytes)
}
