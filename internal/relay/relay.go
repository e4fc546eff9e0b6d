// Package relay has other hosts answer callers' requests that this host cannot: the log
// refuses it or is out of its reach, or it has no configuration yet. The load that it
// answers is a part of the hosts that the platform refuses while it serves the rest.
package relay

import (
	"bytes"
	"context"
	"errors"
	"expvar"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"agatewinch/internal/errkind"
	"agatewinch/internal/event"
	"agatewinch/internal/peer"
	"agatewinch/internal/wire"
)

const (
	// askTimeout bounds one question to a peer: many times what a submission takes, and
	// a small part of what a caller waits.
	askTimeout = 700 * time.Millisecond
	// maxAsked is how many peers are asked about one request.
	maxAsked = 2
	// avoidTime keeps off a peer that did not answer, or could not serve either.
	avoidTime = time.Second
	// maxBody bounds what is kept of a request's body; a larger one is not passed on.
	maxBody = 1 << 20
)

// counters counts questions to peers by what came of them.
var counters = expvar.NewMap("agatewinch_relay")

// Host is what a relay needs of the host that it stands in front of.
type Host interface {
	// Peers returns the addresses of other hosts, those to be asked first at the front.
	Peers() []string
	// Version is that of the newest configuration that the host knows of.
	Version() int64
	// Succeed has the host claim the deciding role at once, if it still is what the holder
	// says and the log answers this host. The claim decides; the holder need not have stopped.
	Succeed(epoch int64, holder string) error
	// RequireVersion has the host answer by no older configuration than that.
	RequireVersion(version int64)
}

// Relay stands in front of the handler of callers' requests.
type Relay struct {
	host  Host
	front http.Handler
	out   logr.Logger

	mu      sync.Mutex
	clients map[string]*peer.Client
	// avoid is until when a peer is not asked.
	avoid map[string]time.Time
}

// New returns a relay in front of a handler.
func New(host Host, front http.Handler, out logr.Logger) *Relay {
	return &Relay{host: host, front: front, out: out, clients: map[string]*peer.Client{}, avoid: map[string]time.Time{}}
}

// Close ends the connections to peers.
func (r *Relay) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.clients {
		c.Close()
	}
}

// ServeHTTP implements http.Handler.
func (r *Relay) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	body, err := io.ReadAll(io.LimitReader(req.Body, maxBody+1))
	rest := req.Body
	req.Body = struct {
		io.Reader
		io.Closer
	}{io.MultiReader(bytes.NewReader(body), rest), rest}
	if err != nil || len(body) > maxBody {
		r.front.ServeHTTP(w, req)
		return
	}
	own := answerOf(r.front, req)
	if worthAsking(own) {
		own = r.ask(req, body, own)
	}
	own.write(w)
}

// worthAsking reports whether another host may have a better answer.
func worthAsking(a *Answer) bool {
	switch a.kind() {
	case errkind.LogUnavailable, errkind.NoConfiguration, errkind.OutcomeUnknown:
		return true
	}
	return a.stale()
}

// ask returns the answer of a peer, or the host's own if no peer has a better one. A
// refusal stands only if no host may have taken the request.
func (r *Relay) ask(req *http.Request, body []byte, own *Answer) *Answer {
	unknown := own.kind() == errkind.OutcomeUnknown
	message := Request{Method: req.Method, Host: req.Host, Path: req.URL.RequestURI(), Header: req.Header, Body: body, RemoteAddress: req.RemoteAddr, LeastVersion: r.host.Version()}
	for _, address := range r.pick() {
		answer, err := r.call(req.Context(), address, &message)
		r.note(req, address, own, answer, err)
		switch {
		case errors.Is(err, peer.ErrNotSent):
			continue
		case err != nil:
			unknown = unknown || req.Method != http.MethodGet
			continue
		case worthAsking(answer):
			unknown = unknown || answer.kind() == errkind.OutcomeUnknown
			continue
		case unknown && answer.Status >= http.StatusBadRequest:
			continue
		}
		r.host.RequireVersion(answer.version())
		return answer
	}
	if unknown && own.kind() != errkind.OutcomeUnknown {
		return &Answer{Status: http.StatusGatewayTimeout, Header: http.Header{HeaderKind: {string(errkind.OutcomeUnknown)}}}
	}
	return own
}

func (r *Relay) call(ctx context.Context, address string, message *Request) (*Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	answer := &Answer{}
	err := r.client(address).Call(ctx, wire.KindRelay, message, answer)
	if err != nil || worthAsking(answer) {
		r.mu.Lock()
		r.avoid[address] = time.Now().Add(avoidTime)
		r.mu.Unlock()
	}
	return answer, err
}

// AskSuccessor asks peers to take the deciding role over, until one of them will.
func (r *Relay) AskSuccessor(ctx context.Context, epoch int64, holder string) bool {
	for _, address := range r.pick() {
		ctx, cancel := context.WithTimeout(ctx, askTimeout)
		err := r.client(address).Call(ctx, wire.KindSucceed, Succession{Epoch: epoch, Holder: holder}, &struct{}{})
		cancel()
		outcome := "agreed"
		if err != nil {
			outcome = err.Error()
		}
		event.Info(r.out, event.SuccessorAsked, "peer", address, "epoch", epoch, "outcome", outcome)
		if err == nil {
			return true
		}
	}
	return false
}

func (r *Relay) client(address string) *peer.Client {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.clients[address]
	if c == nil {
		c = peer.NewClient(address)
		r.clients[address] = c
	}
	return c
}

// pick returns the peers to ask about one request.
func (r *Relay) pick() []string {
	all := r.host.Peers()
	r.mu.Lock()
	defer r.mu.Unlock()
	var picked []string
	for _, address := range all {
		if len(picked) < maxAsked && time.Now().After(r.avoid[address]) {
			picked = append(picked, address)
		}
	}
	return picked
}

func (r *Relay) note(req *http.Request, address string, own, answer *Answer, err error) {
	outcome := "answered"
	switch {
	case err != nil:
		outcome = err.Error()
		counters.Add("unanswered", 1)
	case worthAsking(answer):
		outcome = string(answer.kind())
		counters.Add("no better", 1)
	default:
		counters.Add("answered", 1)
	}
	event.Info(r.out, event.RequestRelayed, "method", req.Method, "path", req.URL.Path, "peer", address, "why", string(own.kind()), "stale", own.stale(), "status", answer.Status, "version", answer.version(), "outcome", outcome)
}
