// Package relay forwards callers' requests to other hosts if this host cannot answer them: the
// log refuses this host or cannot be reached from it, or the host has no usable configuration. It
// covers the case that the platform refuses some of the hosts while it serves the others. Entry
// hosts of package entry use it; gates forward jobs to schedulers with package routing.
package relay

import (
	"context"
	"errors"
	"expvar"
	"net/http"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"agatewinch/internal/errkind"
	"agatewinch/internal/event"
	"agatewinch/internal/intake"
	"agatewinch/internal/peer"
	"agatewinch/internal/wire"
)

const (
	// peerTimeout bounds one call to a peer: many times the duration of a submission, and a small
	// part of the time that a caller waits.
	peerTimeout = 700 * time.Millisecond
	// maxPeers is how many peers are tried for one request.
	maxPeers = 2
	// avoidTime is how long a peer is not called after it did not answer or could not serve the
	// request either.
	avoidTime = time.Second
	// maxBody bounds the body of a request in bytes, unless the handler implements Checker.
	maxBody = 1 << 20
	// messageCopies is how many copies of its body are in memory while a request is relayed: the
	// message, its envelope and the buffer in which that grows.
	messageCopies = 3
)

// counters counts the calls that relay a request to a peer, by outcome.
var counters = expvar.NewMap("agatewinch_relay")

// Host is the local host, as the relay uses it.
type Host interface {
	// Peers returns the addresses of the other hosts in order of preference.
	Peers() []string
	// Successors returns the addresses of the peers in the order in which they should be asked to
	// take over the leader role.
	Successors() []string
	// Version returns the version of the newest configuration that the host knows of.
	Version() int64
	// TakeOver makes the host claim the leader role without waiting for the leader's timeout.
	// It fails if the role is no longer held by holder with that epoch, or if the host is not
	// ready or cannot read the log. The append of the claim decides which host leads; the holder
	// need not have stopped.
	TakeOver(epoch int64, holder string) error
	// RequireVersion makes the host refuse requests while its configuration is older than version.
	RequireVersion(version int64)
}

// Checker is implemented by a handler of callers' requests that can refuse some of them before their
// bodies are read.
type Checker interface {
	// Check returns the largest size in bytes that the request's body may have. It fails if the
	// request is refused whatever its body is, and no peer may have a better answer.
	Check(r *http.Request) (maxBody int64, err error)
	// Refuse answers a request with an error.
	Refuse(w http.ResponseWriter, r *http.Request, err error)
}

// Relay is an http.Handler in front of the handler of callers' requests. If that handler's
// answer shows that another host may have a better one, the relay asks peers.
type Relay struct {
	host    Host
	handler http.Handler
	// bodies reads the bodies of requests; each is kept until its request has been answered.
	bodies *intake.Reader
	logger logr.Logger

	mu      sync.Mutex
	clients map[string]*peer.Client
	// avoidUntil holds, by address, the time until which a peer is not called.
	avoidUntil map[string]time.Time
}

// New returns a relay in front of a handler. The handler receives the bodies of requests as
// *intake.Body.
func New(host Host, handler http.Handler, bodies *intake.Reader, logger logr.Logger) *Relay {
	return &Relay{host: host, handler: handler, bodies: bodies, logger: logger, clients: map[string]*peer.Client{}, avoidUntil: map[string]time.Time{}}
}

// Close closes the connections to peers.
func (r *Relay) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.clients {
		c.Close()
	}
}

// ServeHTTP implements http.Handler.
func (r *Relay) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	body, err := r.readBody(w, req)
	if err != nil {
		r.refuse(w, req, err)
		return
	}
	defer body.Release()
	req.Body = body
	own := answerOf(r.handler, req)
	if peerMayHaveBetterAnswer(own) {
		own = r.askPeers(req, body, own)
	}
	own.write(w)
}

// readBody returns the body of a request, unless the request can be refused without it.
func (r *Relay) readBody(w http.ResponseWriter, req *http.Request) (*intake.Body, error) {
	limit := int64(maxBody)
	if checker, ok := r.handler.(Checker); ok {
		var err error
		if limit, err = checker.Check(req); err != nil {
			r.bodies.Skip(w, req)
			return nil, err
		}
	}
	return r.bodies.Read(w, req, limit)
}

// refuse answers a request whose body was not read.
func (r *Relay) refuse(w http.ResponseWriter, req *http.Request, err error) {
	if checker, ok := r.handler.(Checker); ok {
		checker.Refuse(w, req, err)
		return
	}
	e := errkind.Of(err)
	http.Error(w, e.Message, errkind.PropertiesOf(e.Kind).Status)
}

// peerMayHaveBetterAnswer reports whether another host may have a better answer than a.
func peerMayHaveBetterAnswer(a *Answer) bool {
	switch a.kind() {
	case errkind.LogUnavailable, errkind.NoConfiguration, errkind.OutcomeUnknown:
		return true
	}
	return a.stale()
}

// askPeers returns the answer of a peer, or the host's own answer if no peer has a better one. A
// refusal is returned only if no host may have accepted the request; otherwise the outcome is
// reported as unknown.
func (r *Relay) askPeers(req *http.Request, body *intake.Body, own *Answer) *Answer {
	if _, err := body.Grow(req.Context(), messageCopies*int64(len(body.Bytes()))); err != nil {
		return own
	}
	unknown := own.kind() == errkind.OutcomeUnknown
	message := Request{Method: req.Method, Host: req.Host, Path: req.URL.RequestURI(), Header: req.Header, Body: body.Bytes(), RemoteAddress: req.RemoteAddr, MinVersion: r.host.Version()}
	for _, address := range r.pick(r.host.Peers()) {
		answer, err := r.call(req.Context(), address, &message)
		r.logOutcome(req, address, own, answer, err)
		switch {
		case errors.Is(err, peer.ErrNotSent):
			continue
		case err != nil:
			unknown = unknown || req.Method != http.MethodGet
			continue
		case peerMayHaveBetterAnswer(answer):
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
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	answer := &Answer{}
	err := r.client(address).Call(ctx, wire.KindRelay, message, answer)
	if err != nil || peerMayHaveBetterAnswer(answer) {
		r.mu.Lock()
		r.avoidUntil[address] = time.Now().Add(avoidTime)
		r.mu.Unlock()
	}
	return answer, err
}

// AskSuccessor asks peers to take over the leader role, until one of them agrees.
func (r *Relay) AskSuccessor(ctx context.Context, epoch int64, holder string) bool {
	for _, address := range r.pick(r.host.Successors()) {
		ctx, cancel := context.WithTimeout(ctx, peerTimeout)
		err := r.client(address).Call(ctx, wire.KindTakeOver, TakeOver{Epoch: epoch, Holder: holder}, &struct{}{})
		cancel()
		outcome := "agreed"
		if err != nil {
			outcome = err.Error()
		}
		event.Info(r.logger, event.SuccessorAsked, "peer", address, "epoch", epoch, "outcome", outcome)
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

// pick returns the peers to call for one request, of those given in the order of preference.
func (r *Relay) pick(all []string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var picked []string
	for _, address := range all {
		if len(picked) < maxPeers && time.Now().After(r.avoidUntil[address]) {
			picked = append(picked, address)
		}
	}
	return picked
}

// logOutcome logs and counts the outcome of relaying a request to one peer.
func (r *Relay) logOutcome(req *http.Request, address string, own, answer *Answer, err error) {
	outcome := "answered"
	switch {
	case err != nil:
		outcome = err.Error()
		counters.Add("unanswered", 1)
	case peerMayHaveBetterAnswer(answer):
		outcome = string(answer.kind())
		counters.Add("no better", 1)
	default:
		counters.Add("answered", 1)
	}
	event.Info(r.logger, event.RequestRelayed, "method", req.Method, "path", req.URL.Path, "peer", address, "why", string(own.kind()), "stale", own.stale(), "status", answer.Status, "version", answer.version(), "outcome", outcome)
}
