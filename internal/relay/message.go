package relay

import (
	"bytes"
	"context"
	"net/http"
	"strconv"

	"github.com/fxamacker/cbor/v2"

	"agatewinch/internal/errkind"
	"agatewinch/internal/intake"
	"agatewinch/internal/peer"
	"agatewinch/internal/wire"
)

// Headers with which the handler of callers' requests describes its answer to the relay. Callers
// may ignore them.
const (
	// HeaderKind is the kind of an error.
	HeaderKind = "Agatewinch-Error"
	// HeaderStale marks an answer from state that this host cannot refresh.
	HeaderStale = "Agatewinch-Stale"
	// HeaderVersion is the version of the configuration that the answer is based on.
	HeaderVersion = "Agatewinch-Version"
)

// Request is a caller's request that is relayed to another host.
type Request struct {
	Method        string      `cbor:"1,keyasint"`
	Host          string      `cbor:"2,keyasint"`
	Path          string      `cbor:"3,keyasint"`
	Header        http.Header `cbor:"4,keyasint"`
	Body          []byte      `cbor:"5,keyasint,omitempty"`
	RemoteAddress string      `cbor:"6,keyasint,omitempty"`
	// MinVersion is the oldest configuration version that the answer may be based on.
	MinVersion int64 `cbor:"7,keyasint,omitempty"`
}

// TakeOver asks a host to take over the leader role from Holder, which cannot append to the
// log.
type TakeOver struct {
	Epoch  int64  `cbor:"1,keyasint"`
	Holder string `cbor:"2,keyasint"`
}

// Answer is a host's answer to a caller's request.
type Answer struct {
	Status int         `cbor:"1,keyasint"`
	Header http.Header `cbor:"2,keyasint"`
	Body   []byte      `cbor:"3,keyasint,omitempty"`
}

// kind returns the kind of the error that the answer reports, or "" if it reports none.
func (a *Answer) kind() errkind.Kind { return errkind.Kind(a.Header.Get(HeaderKind)) }

func (a *Answer) stale() bool { return a.Header.Get(HeaderStale) != "" }

// version returns the version of the configuration that the answer is based on, or zero.
func (a *Answer) version() int64 {
	v, err := strconv.ParseInt(a.Header.Get(HeaderVersion), 10, 64)
	if err != nil {
		return 0 // the answer needed no configuration
	}
	return v
}

func (a *Answer) write(w http.ResponseWriter) {
	for name, values := range a.Header {
		w.Header()[name] = values
	}
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body) // a write fails only if the caller has disconnected; the caller then retries
}

// recorder is an http.ResponseWriter that keeps the answer instead of sending it.
type recorder struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func newRecorder() *recorder { return &recorder{header: http.Header{}, status: http.StatusOK} }

// Header implements http.ResponseWriter.
func (r *recorder) Header() http.Header { return r.header }

// WriteHeader implements http.ResponseWriter.
func (r *recorder) WriteHeader(status int) { r.status = status }

// Write implements http.ResponseWriter.
func (r *recorder) Write(b []byte) (int, error) { return r.body.Write(b) }

func (r *recorder) answer() *Answer {
	return &Answer{Status: r.status, Header: r.header, Body: r.body.Bytes()}
}

// answerOf passes a request to a handler and returns the handler's answer.
func answerOf(h http.Handler, r *http.Request) *Answer {
	rec := newRecorder()
	h.ServeHTTP(rec, r)
	return rec.answer()
}

// Serve returns a handler for the messages of other hosts' relays. Relayed requests are never
// relayed again. They are refused if the sender knows a newer configuration than this host: the
// sender must not return an answer that is based on an older one. What the handler holds for a request
// counts towards held, which may be nil.
func Serve(host Host, handler http.Handler, held *intake.Budget) peer.Handler {
	return func(ctx context.Context, kind wire.Kind, body cbor.RawMessage) (any, error) {
		switch kind {
		case wire.KindRelay:
		case wire.KindTakeOver:
			var takeOver TakeOver
			if err := wire.DecodeBody(body, &takeOver); err != nil {
				return nil, errkind.New(errkind.InvalidRequest, "malformed message: the request to take over the leader role cannot be decoded")
			}
			return struct{}{}, host.TakeOver(takeOver.Epoch, takeOver.Holder)
		default:
			return nil, errkind.New(errkind.InvalidRequest, "unknown message kind %q", kind)
		}
		var req Request
		if err := wire.DecodeBody(body, &req); err != nil {
			return nil, errkind.New(errkind.InvalidRequest, "malformed message: the relayed request cannot be decoded")
		}
		if host.Version() < req.MinVersion {
			return &Answer{Status: http.StatusServiceUnavailable, Header: http.Header{HeaderKind: {string(errkind.NoConfiguration)}}}, nil
		}
		reqBody := intake.NewBody(req.Body, held)
		defer reqBody.Release()
		r, err := http.NewRequestWithContext(ctx, req.Method, "http://"+req.Host+req.Path, reqBody)
		if err != nil {
			return nil, errkind.New(errkind.InvalidRequest, "malformed request: the relayed method, host or path is invalid")
		}
		r.Header, r.Host, r.RemoteAddr = req.Header, req.Host, req.RemoteAddress
		return answerOf(handler, r), nil
	}
}
