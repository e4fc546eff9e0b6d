package relay

import (
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"agatewinch/internal/errkind"
	"agatewinch/internal/intake"
	"agatewinch/internal/peer"
)

// host is a fake of the local host.
type host struct {
	peers    []string
	required atomic.Int64
	version  int64
	epoch    atomic.Int64
	refusal  error
}

func (h *host) Peers() []string { return h.peers }

func (h *host) Successors() []string { return h.peers }
func (h *host) Version() int64       { return h.version }
func (h *host) TakeOver(epoch int64, _ string) error {
	h.epoch.Store(epoch)
	return h.refusal
}
func (h *host) RequireVersion(version int64) { h.required.Store(version) }

// answers returns a handler that counts its requests and gives them all the same answer.
func answers(status int, headers map[string]string, asked *atomic.Int64) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		asked.Add(1)
		for name, value := range headers {
			w.Header().Set(name, value)
		}
		w.WriteHeader(status)
		_, _ = w.Write([]byte(strconv.Itoa(status)))
	})
}

func refusal(kind errkind.Kind) (int, map[string]string) {
	return errkind.PropertiesOf(kind).Status, map[string]string{HeaderKind: string(kind)}
}

func bodies() *intake.Reader {
	return &intake.Reader{Budget: intake.NewBudget("test", 8<<20, nil), Idle: time.Second, Total: time.Second}
}

// peerVersion is the configuration version of the peers in these tests.
const peerVersion = 7

// listen starts a peer and returns its address.
func listen(t *testing.T, version int64, handler http.Handler) string {
	mux := http.NewServeMux()
	mux.Handle(peer.Path, peer.Serve(Serve(&host{version: version}, handler, nil)))
	s := httptest.NewServer(mux)
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

// relayOne sends one request to the relay of a host whose handler is own. The host has one peer,
// whose handler is other, unless other is nil.
func relayOne(t *testing.T, method string, own, other http.Handler) (*httptest.ResponseRecorder, *host) {
	h := &host{}
	if other != nil {
		h.peers = []string{listen(t, peerVersion, other)}
	}
	r := New(h, own, bodies(), logr.Discard())
	t.Cleanup(r.Close)
	rec := httptest.NewRecorder()
	r.ServeHTTP(rec, httptest.NewRequest(method, "/q/0123456789abcdef", strings.NewReader(`{"spec":"text"}`)))
	return rec, h
}

func TestRequestsThatThisHostCannotAnswerAreRelayed(t *testing.T) {
	for _, kind := range []errkind.Kind{errkind.LogUnavailable, errkind.NoConfiguration, errkind.OutcomeUnknown} {
		t.Run(string(kind), func(t *testing.T) {
			var own, other atomic.Int64
			status, headers := refusal(kind)
			rec, h := relayOne(t, http.MethodPost, answers(status, headers, &own), answers(200, map[string]string{HeaderVersion: "7"}, &other))
			assert.Equal(t, rec.Code, 200)
			assert.Equal(t, rec.Body.String(), "200")
			assert.Equal(t, other.Load(), int64(1))
			assert.Equal(t, h.required.Load(), int64(7))
		})
	}
}

func TestRequestsWithOtherAnswersAreNotRelayed(t *testing.T) {
	var own, other atomic.Int64
	for _, status := range []int{200, 404, 401, 410, 429} {
		rec, _ := relayOne(t, http.MethodPost, answers(status, nil, &own), answers(200, nil, &other))
		assert.Equal(t, rec.Code, status)
	}
	assert.Equal(t, other.Load(), int64(0))
}

func TestRelayedRequestKeepsPathHostAndBody(t *testing.T) {
	var own atomic.Int64
	status, headers := refusal(errkind.LogUnavailable)
	var got *http.Request
	var body []byte
	rec, _ := relayOne(t, http.MethodPost, answers(status, headers, &own), http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got = r
		body = make([]byte, 64)
		n, _ := r.Body.Read(body)
		body = body[:n]
		w.WriteHeader(http.StatusOK)
	}))
	assert.Equal(t, rec.Code, 200)
	assert.Equal(t, got.URL.Path, "/q/0123456789abcdef")
	assert.Equal(t, got.Host, "example.com")
	assert.Equal(t, string(body), `{"spec":"text"}`)
}

// A peer may have accepted the request, but its answer is lost. The caller must not receive a
// refusal.
func TestRefusalIsNotReturnedWhenAPeerMayHaveAcceptedTheRequest(t *testing.T) {
	var own atomic.Int64
	status, headers := refusal(errkind.LogUnavailable)
	silent := http.HandlerFunc(func(http.ResponseWriter, *http.Request) { time.Sleep(peerTimeout + 200*time.Millisecond) })
	rec, _ := relayOne(t, http.MethodPost, answers(status, headers, &own), silent)
	assert.Equal(t, rec.Code, http.StatusGatewayTimeout)
	rec, _ = relayOne(t, http.MethodGet, answers(status, headers, &own), silent)
	assert.Equal(t, rec.Code, http.StatusServiceUnavailable)
}

// This host's own append may still take effect, and the peer refuses the request.
func TestUnknownOutcomeStaysUnknownWhenThePeerRefuses(t *testing.T) {
	for _, kind := range []errkind.Kind{errkind.LogUnavailable, errkind.NotFound} {
		var own, other atomic.Int64
		status, headers := refusal(errkind.OutcomeUnknown)
		peerStatus, peerHeaders := refusal(kind)
		rec, _ := relayOne(t, http.MethodPost, answers(status, headers, &own), answers(peerStatus, peerHeaders, &other))
		assert.Equal(t, rec.Code, status)
		assert.Equal(t, other.Load(), int64(1))
	}
}

func TestStaleAnswerIsReturnedIfNoPeerHasABetterOne(t *testing.T) {
	var own, other atomic.Int64
	old := answers(200, map[string]string{HeaderStale: "1"}, &own)
	status, headers := refusal(errkind.LogUnavailable)
	rec, _ := relayOne(t, http.MethodGet, old, answers(status, headers, &other))
	assert.Equal(t, rec.Code, 200)
	rec, _ = relayOne(t, http.MethodGet, old, nil)
	assert.Equal(t, rec.Code, 200)
	rec, _ = relayOne(t, http.MethodGet, old, answers(410, nil, &other))
	assert.Equal(t, rec.Code, 410)
}

// The log is unavailable for all hosts. A peer that cannot serve a request either is not called
// again until avoidTime has passed.
func TestPeersThatCannotServeEitherAreAvoided(t *testing.T) {
	var own, other atomic.Int64
	status, headers := refusal(errkind.LogUnavailable)
	h := &host{peers: []string{listen(t, peerVersion, answers(status, headers, &other))}}
	r := New(h, answers(status, headers, &own), bodies(), logr.Discard())
	t.Cleanup(r.Close)
	for range 5 {
		rec := httptest.NewRecorder()
		r.ServeHTTP(rec, httptest.NewRequest(http.MethodPost, "/q/0123456789abcdef", nil))
		assert.Equal(t, rec.Code, http.StatusServiceUnavailable)
	}
	assert.Equal(t, other.Load(), int64(1))
}

// A peer is partitioned from the log too, and this host has already given answers that are based
// on a newer configuration than the peer's. The peer must not answer the request.
func TestPeerWithAnOlderConfigurationDoesNotAnswer(t *testing.T) {
	var own, other atomic.Int64
	status, headers := refusal(errkind.NoConfiguration)
	h := &host{peers: []string{listen(t, peerVersion, answers(404, map[string]string{HeaderVersion: "7"}, &other))}, version: peerVersion + 1}
	r := New(h, answers(status, headers, &own), bodies(), logr.Discard())
	t.Cleanup(r.Close)
	rec := httptest.NewRecorder()
	r.ServeHTTP(rec, httptest.NewRequest(http.MethodGet, "/q/", nil))
	assert.Equal(t, rec.Code, http.StatusServiceUnavailable)
	assert.Equal(t, other.Load(), int64(0))
}

// The log refuses the leader and one of the peers.
func TestPeersAreAskedToTakeOverUntilOneAgrees(t *testing.T) {
	serve := func(h *host) string {
		mux := http.NewServeMux()
		mux.Handle(peer.Path, peer.Serve(Serve(h, http.NotFoundHandler(), nil)))
		s := httptest.NewServer(mux)
		t.Cleanup(s.Close)
		return strings.TrimPrefix(s.URL, "http://")
	}
	unable, able := &host{refusal: errkind.New(errkind.LogUnavailable, "the log does not answer")}, &host{}
	r := New(&host{peers: []string{serve(unable), serve(able)}}, http.NotFoundHandler(), bodies(), logr.Discard())
	t.Cleanup(r.Close)
	assert.Assert(t, r.AskSuccessor(t.Context(), 7, "holder"))
	assert.Equal(t, able.epoch.Load(), int64(7))
	r = New(&host{peers: []string{serve(unable)}}, http.NotFoundHandler(), bodies(), logr.Discard())
	t.Cleanup(r.Close)
	assert.Assert(t, !r.AskSuccessor(t.Context(), 7, "holder"))
}
