package relay

import (
	"bytes"
	"context"
	"net/http"
	"strconv"

	"github.com/fxamacker/cbor/v2"

	"agatewinch/internal/errkind"
	"agatewinch/internal/peer"
	"agatewinch/internal/wire"
)

// The headers with which the handler of callers' requests tells a relay about its answer.
// Callers may ignore them.
const (
	// HeaderKind is the kind of an error.
	HeaderKind = "Agatewinch-Error"
	// HeaderStale marks an answer from state that this host cannot renew.
	HeaderStale = "Agatewinch-Stale"
	// HeaderVersion is the version of the configuration that the answer is based on.
	HeaderVersion = "Agatewinch-Version"
)

// Request is a caller's request on its way to another host.
type Request struct {
	Method        string      `cbor:"1,keyasint"`
	Host          string      `cbor:"2,keyasint"`
	Path          string      `cbor:"3,keyasint"`
	Header        http.Header `cbor:"4,keyasint"`
	Body          []byte      `cbor:"5,keyasint,omitempty"`
	RemoteAddress string      `cbor:"6,keyasint,omitempty"`
	// LeastVersion is the oldest configuration by which the request may be answered.
	LeastVersion int64 `cbor:"7,keyasint,omitempty"`
}

// Succession asks a host to take the deciding role over from one that cannot write.
type Succession struct {
	Epoch  int64  `cbor:"1,keyasint"`
	Holder string `cbor:"2,keyasint"`
}

// Answer is what a host would have answered to the caller.
type Answer struct {
	Status int         `cbor:"1,keyasint"`
	Header http.Header `cbor:"2,keyasint"`
	Body   []byte      `cbor:"3,keyasint,omitempty"`
}

// kind is the kind of error that the answer tells, if it is one.
func (a *Answer) kind() errkind.Kind { return errkind.Kind(a.Header.Get(HeaderKind)) }

func (a *Answer) stale() bool { return a.Header.Get(HeaderStale) != "" }

// version is the version of the configuration behind the answer, or zero.
func (a *Answer) version() int64 {
	v, err := strconv.ParseInt(a.Header.Get(HeaderVersion), 10, 64)
	if err != nil {
		return 0 // an answer that no configuration was needed for
	}
	return v
}

func (a *Answer) write(w http.ResponseWriter) {
	for name, values := range a.Header {
		w.Header()[name] = values
	}
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body) // a caller that is gone asks again
}

// recorder keeps an answer instead of sending it.
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

// answerOf runs a request through a handler and returns what it answered.
func answerOf(h http.Handler, r *http.Request) *Answer {
	rec := newRecorder()
	h.ServeHTTP(rec, r)
	return rec.answer()
}

// Serve answers the requests that other hosts pass on. They are never passed on again, and
// refused if the sender knows of a newer configuration: it must not go back behind it.
func Serve(host Host, front http.Handler) peer.Handler {
	return func(ctx context.Context, kind wire.Kind, body cbor.RawMessage) (any, error) {
		switch kind {
		case wire.KindRelay:
		case wire.KindSucceed:
			var s Succession
			if err := wire.DecodeBody(body, &s); err != nil {
				return nil, errkind.New(errkind.InvalidRequest, "malformed message")
			}
			return struct{}{}, host.Succeed(s.Epoch, s.Holder)
		default:
			return nil, errkind.New(errkind.InvalidRequest, "unknown message kind %q", kind)
		}
		var req Request
		if err := wire.DecodeBody(body, &req); err != nil {
			return nil, errkind.New(errkind.InvalidRequest, "malformed message")
		}
		if host.Version() < req.LeastVersion {
			return &Answer{Status: http.StatusServiceUnavailable, Header: http.Header{HeaderKind: {string(errkind.NoConfiguration)}}}, nil
		}
		r, err := http.NewRequestWithContext(ctx, req.Method, "http://"+req.Host+req.Path, bytes.NewReader(req.Body))
		if err != nil {
			return nil, errkind.New(errkind.InvalidRequest, "malformed request")
		}
		r.Header, r.Host, r.RemoteAddr = req.Header, req.Host, req.RemoteAddress
		return answerOf(front, r), nil
	}
}
