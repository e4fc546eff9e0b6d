package peer_test

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"agatewinch/internal/core"
	"agatewinch/internal/errkind"
	"agatewinch/internal/peer"
	"agatewinch/internal/peer/peertest"
	"agatewinch/internal/wire"
	"agatewinch/test/knownred"
)

// testTimeout bounds a test that would otherwise hang.
const testTimeout = 30 * time.Second

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func testContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	t.Cleanup(cancel)
	return ctx
}

// fixture is a server with a client. The server counts requests other than heartbeats. It
// replies after the request's Wait, and to a request for a job whose ID starts with "held"
// not before release is closed.
type fixture struct {
	server   *peer.Server
	addr     string
	client   *peer.Client
	received atomic.Int64
	release  chan struct{}
}

func (f *fixture) handle(ctx context.Context, kind wire.Kind, body cbor.RawMessage) (any, error) {
	if kind == wire.KindHeartbeat {
		return wire.Heartbeat{Host: "server"}, nil
	}
	f.received.Add(1)
	var req wire.Wait
	if err := wire.DecodeBody(body, &req); err != nil {
		return nil, errkind.New(errkind.InvalidRequest, "malformed")
	}
	if strings.HasPrefix(string(req.Job), "held") {
		select {
		case <-f.release:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	time.Sleep(req.Wait)
	return wire.JobReply{Job: req.Job}, nil
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{release: make(chan struct{})}
	f.server = peer.NewServer(f.handle)
	web := httptest.NewServer(f.server)
	f.addr = strings.TrimPrefix(web.URL, "http://")
	f.client = f.dial(t, f.addr)
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = f.server.Shutdown(ctx)
		web.Close()
	})
	return f
}

func (f *fixture) dial(t *testing.T, addr string) *peer.Client {
	c := peer.NewClient(addr)
	t.Cleanup(c.Close)
	return c
}

func call(ctx context.Context, c *peer.Client, job core.JobID, wait time.Duration) (core.JobID, error) {
	var reply wire.JobReply
	err := c.Call(ctx, wire.KindWait, wire.Wait{Job: job, Wait: wait}, &reply)
	return reply.Job, err
}

// startCall makes a call in the background.
func startCall(ctx context.Context, c *peer.Client, job core.JobID) <-chan error {
	result := make(chan error, 1)
	go func() {
		got, err := call(ctx, c, job, 0)
		if err == nil && got != job {
			err = errors.New("reply to another request: " + string(got))
		}
		result <- err
	}()
	return result
}

func (f *fixture) awaitRequests(t *testing.T, n int64) {
	t.Helper()
	ctx := testContext(t)
	for f.received.Load() < n {
		assert.NilError(t, ctx.Err(), "the server received %d of %d requests", f.received.Load(), n)
		time.Sleep(time.Millisecond)
	}
}

func TestAnswersOutOfOrderReachTheirOwnCalls(t *testing.T) {
	f := newFixture(t)
	ctx := testContext(t)
	var calls sync.WaitGroup
	for i := range 100 {
		calls.Go(func() {
			job := core.JobID(strings.Repeat("x", i+1))
			got, err := call(ctx, f.client, job, time.Duration(100-i)*time.Millisecond/4)
			assert.Check(t, err)
			assert.Check(t, got == job)
		})
	}
	calls.Wait()
}

// fillLink makes the proxy hold the direction to the target and sends more than the
// sockets in between can buffer, so that the last messages remain queued in the client.
func fillLink(ctx context.Context, client *peer.Client, proxy *peertest.Proxy) []<-chan error {
	const messages = 6
	proxy.Hold(peertest.ToTarget, true)
	large := core.JobID(strings.Repeat("y", wire.MaxMessageBytes-1000))
	var results []<-chan error
	for range messages {
		results = append(results, startCall(ctx, client, large))
	}
	proxy.AwaitHeld(peertest.ToTarget)
	return results
}

// linkPatience is the least time after which a client gives up a link on which nothing arrives: it pings
// after a second and waits two for the pong.
const linkPatience = 3 * time.Second

// heldLink is a link through a proxy to a server of its own.
type heldLink struct {
	*fixture
	proxy  *peertest.Proxy
	client *peer.Client
	began  time.Time
}

// mayBeGivenUp reports whether the link has existed for so long that its client may have given it up
// while it was held.
func (l *heldLink) mayBeGivenUp() bool { return time.Since(l.began) >= linkPatience }

// onHeldLink calls try with a new link until it reports that the link was not given up. On a busy machine,
// filling a link may take longer than the client's patience.
func onHeldLink(t *testing.T, try func(ctx context.Context, l *heldLink) bool) {
	ctx := testContext(t)
	for {
		f := newFixture(t)
		proxy := peertest.NewProxy(t, f.addr)
		if try(ctx, &heldLink{f, proxy, f.dial(t, proxy.Addr()), time.Now()}) {
			return
		}
		assert.NilError(t, ctx.Err(), "each link was held for longer than %v", linkPatience)
	}
}

func TestCancelledCallsInMidWriteDoNotAffectOthers(t *testing.T) {
	onHeldLink(t, func(ctx context.Context, l *heldLink) bool {
		other := startCall(ctx, l.client, "held-other")
		l.awaitRequests(t, 1)
		cancelled, cancel := context.WithCancel(ctx)
		results := fillLink(cancelled, l.client, l.proxy)
		cancel()
		for _, r := range results {
			err := <-r
			assert.Assert(t, errors.Is(err, context.Canceled) || errors.Is(err, peer.ErrNotSent) || l.mayBeGivenUp(), "%v", err)
		}
		l.proxy.Hold(peertest.ToTarget, false)
		close(l.release)
		err := <-other
		assert.Assert(t, err == nil || l.mayBeGivenUp(), "%v", err)
		return err == nil
	})
}

// Guards against a request that is sent although its caller was told that it was not.
func TestCallCancelledBeforeItsWriteIsNeverSent(t *testing.T) {
	onHeldLink(t, func(ctx context.Context, l *heldLink) bool {
		_, err := call(ctx, l.client, "first", 0)
		assert.NilError(t, err)
		results := fillLink(ctx, l.client, l.proxy)
		sent := int64(1 + len(results))
		for {
			cancelled, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
			_, err = call(cancelled, l.client, "small", 0)
			cancel()
			if errors.Is(err, peer.ErrNotSent) {
				break
			}
			assert.Assert(t, errors.Is(err, context.DeadlineExceeded) || l.mayBeGivenUp(), "%v", err)
			sent++ // The socket buffers were not full yet, so the request was sent.
		}
		l.proxy.Hold(peertest.ToTarget, false)
		for _, r := range results {
			if err := <-r; err != nil {
				assert.Assert(t, l.mayBeGivenUp(), "%v", err)
				return false
			}
		}
		_, err = call(ctx, l.client, "last", 0)
		assert.NilError(t, err)
		assert.Equal(t, l.received.Load(), sent+1)
		return true
	})
}

func TestUnresponsiveLinkFailsItsCallsAsLost(t *testing.T) {
	for _, d := range []peertest.Direction{peertest.ToTarget, peertest.FromTarget} {
		f := newFixture(t)
		proxy := peertest.NewProxy(t, f.addr)
		client := f.dial(t, proxy.Addr())
		waiting := startCall(testContext(t), client, "held")
		f.awaitRequests(t, 1)
		proxy.Hold(d, true)
		assert.Assert(t, errors.Is(<-waiting, peer.ErrLost))
		proxy.Hold(d, false)
	}
}

func TestBrokenLinkIsRedialled(t *testing.T) {
	f := newFixture(t)
	ctx := testContext(t)
	proxy := peertest.NewProxy(t, f.addr)
	client := f.dial(t, proxy.Addr())
	waiting := startCall(ctx, client, "held")
	f.awaitRequests(t, 1)
	proxy.Break()
	assert.Assert(t, errors.Is(<-waiting, peer.ErrLost))
	_, err := call(ctx, client, "again", 0)
	assert.NilError(t, err)
}

func TestSlowReaderDelaysOnlyItself(t *testing.T) {
	f := newFixture(t)
	ctx := testContext(t)
	proxy := peertest.NewProxy(t, f.addr)
	slow := f.dial(t, proxy.Addr())
	proxy.Hold(peertest.FromTarget, true)
	for range 4 {
		startCall(ctx, slow, core.JobID(strings.Repeat("s", 1<<20)))
	}
	for range 20 {
		_, err := call(ctx, f.client, "quick", 0)
		assert.NilError(t, err)
	}
	proxy.Hold(peertest.FromTarget, false)
}

func TestRequestsOverTheBoundAreRefusedAsNotRunAndHeartbeatsPass(t *testing.T) {
	knownred.SkipIfListed(t)
	f := newFixture(t)
	ctx := testContext(t)
	clients := []*peer.Client{f.client}
	const bound = 4096 // maxRequestsPerConn of package peer
	var results []<-chan error
	for range bound {
		results = append(results, startCall(ctx, clients[0], "held"))
	}
	f.awaitRequests(t, bound)
	short, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
	defer cancel()
	_, err := call(short, clients[0], "one more", 0)
	assert.Assert(t, errors.Is(err, peer.ErrNotSent), "%v", err)
	var hb wire.Heartbeat
	assert.NilError(t, clients[0].Call(ctx, wire.KindHeartbeat, wire.Heartbeat{}, &hb))
	close(f.release)
	for _, r := range results {
		assert.NilError(t, <-r)
	}
	assert.Equal(t, f.received.Load(), int64(bound))
}

// A message that cannot be encoded was never sent, so that the caller may be told so.
func TestMessageThatCannotBeEncodedIsNotSent(t *testing.T) {
	f := newFixture(t)
	err := f.client.Call(testContext(t), wire.KindSubmit, make(chan int), nil)
	assert.Assert(t, errors.Is(err, peer.ErrNotSent), "%v", err)
	assert.Equal(t, f.received.Load(), int64(0))
}

func TestConnectionsOverTheBoundAreRefusedUntilOneCloses(t *testing.T) {
	f := newFixture(t)
	ctx := testContext(t)
	const bound = 512 // maxLinks of package peer
	var clients []*peer.Client
	for range bound {
		c := f.dial(t, f.addr)
		_, err := call(ctx, c, "job", 0)
		assert.NilError(t, err)
		clients = append(clients, c)
	}
	_, err := call(ctx, f.client, "one more", 0)
	assert.Assert(t, errors.Is(err, peer.ErrNotSent), "%v", err)
	clients[0].Close()
	for err != nil {
		assert.NilError(t, ctx.Err())
		_, err = call(ctx, f.client, "one more", 0)
	}
}

func TestShutdownAnswersAcceptedRequestsAndRefusesTheRestAsNotRun(t *testing.T) {
	f := newFixture(t)
	ctx := testContext(t)
	accepted := startCall(ctx, f.client, "held")
	f.awaitRequests(t, 1)
	stopped := make(chan error, 1)
	go func() { stopped <- f.server.Shutdown(ctx) }()
	for {
		err := <-startCall(ctx, f.client, "late")
		if errkind.Is(err, errkind.Draining) {
			break
		}
		assert.NilError(t, err)
	}
	received := f.received.Load()
	close(f.release)
	assert.NilError(t, <-accepted)
	assert.NilError(t, <-stopped)
	assert.Equal(t, f.received.Load(), received)
}

// TestStopUnderLoadLosesNoRequest checks that, at whatever time the server stops, each
// call is either answered or known not to have been executed.
func TestStopUnderLoadLosesNoRequest(t *testing.T) {
	f := newFixture(t)
	ctx := testContext(t)
	var answered atomic.Int64
	var callers sync.WaitGroup
	for range 16 {
		callers.Go(func() {
			for {
				err := <-startCall(ctx, f.client, "job")
				if err == nil {
					answered.Add(1)
					continue
				}
				if errkind.Is(err, errkind.Draining) {
					continue
				}
				assert.Check(t, errors.Is(err, peer.ErrNotSent), "%v", err)
				return
			}
		})
	}
	f.awaitRequests(t, 100)
	assert.NilError(t, f.server.Shutdown(ctx))
	f.client.Close()
	callers.Wait()
	assert.Equal(t, f.received.Load(), answered.Load())
}

func TestCallsAfterCloseAreNotSent(t *testing.T) {
	f := newFixture(t)
	f.client.Close()
	_, err := call(testContext(t), f.client, "job", 0)
	assert.Assert(t, errors.Is(err, peer.ErrNotSent))
}

func TestCallReturnsTheErrorKindOfThePeer(t *testing.T) {
	f := newFixture(t)
	err := f.client.Call(testContext(t), wire.KindWait, []string{"not a wait"}, &wire.JobReply{})
	assert.Assert(t, errkind.Is(err, errkind.InvalidRequest))
}

func TestClientDialsWithTheGivenTLSConfiguration(t *testing.T) {
	f := &fixture{}
	f.server = peer.NewServer(f.handle)
	web := httptest.NewTLSServer(f.server)
	defer web.Close()
	roots := x509.NewCertPool()
	roots.AddCert(web.Certificate())
	transport := &http.Transport{TLSClientConfig: &tls.Config{RootCAs: roots}}
	client := peer.NewClient(strings.TrimPrefix(web.URL, "https://"), peer.WithHTTPClient(&http.Client{Transport: transport}))
	_, err := call(testContext(t), client, "job", 0)
	assert.NilError(t, err)
	assert.NilError(t, f.server.Shutdown(testContext(t)))
	client.Close()
}
