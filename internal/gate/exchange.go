package gate

import (
	"encoding/json"
	"math"
	"net/http"
	"regexp"
	"strconv"

	"agatewinch/internal/api"
	"agatewinch/internal/config"
	"agatewinch/internal/errkind"
	"agatewinch/internal/intake"
)

const (
	maxCallerBodyBytes   = 1 << 20
	maxOperatorBodyBytes = 4 << 20
	// decodedCopies is how many copies of a body are in memory while it is decoded.
	decodedCopies = 2
)

func maxBodyBytes(role config.Role) int64 {
	if role == config.RoleOperator {
		return maxOperatorBodyBytes
	}
	return maxCallerBodyBytes
}

// exchange is one HTTP request and its response. Every response, including an error,
// carries the request ID if it is known.
type exchange struct {
	w    http.ResponseWriter
	r    *http.Request
	gate *Gate
	key  config.Key
	// maxBody is the largest size of the body in bytes. bodyRead is set once its reading has begun, and
	// body once it has been read.
	maxBody  int64
	bodyRead bool
	body     *intake.Body
	// requestID is the caller's request ID; empty until it is known.
	requestID string
}

var requestIDPattern = regexp.MustCompile(`^[A-Za-z0-9._-]{1,64}$`)

// headerRequestID returns the request ID from the optional header api.HeaderRequestID, so
// that even the response to an unreadable body carries it. It returns "" if the header is
// missing or invalid.
func headerRequestID(r *http.Request) string {
	id := r.Header.Get(api.HeaderRequestID)
	if !requestIDPattern.MatchString(id) {
		return ""
	}
	return id
}

// decode reads the request body into out. The body must be a single JSON value without
// unknown fields. Its memory is held until release.
func (x *exchange) decode(out any) error {
	x.bodyRead = true
	body, err := x.gate.bodies.Read(x.w, x.r, x.maxBody)
	if err != nil {
		return err
	}
	x.body = body
	copies, err := body.Grow(x.r.Context(), decodedCopies*int64(len(body.Bytes())))
	if err != nil {
		return err
	}
	defer body.Shrink(copies)
	x.setRequestID(body.Bytes())
	return decodeStrict(body.Bytes(), out)
}

// release ends the accounting of the request's body.
func (x *exchange) release() {
	if x.body != nil {
		x.body.Release()
	}
}

// setRequestID takes a valid request ID from a body, even if other fields are invalid.
func (x *exchange) setRequestID(data []byte) {
	var body struct {
		RequestID string `json:"request_id"`
	}
	if json.Unmarshal(data, &body) == nil && requestIDPattern.MatchString(body.RequestID) {
		x.requestID = body.RequestID
	}
}

func (x *exchange) answer(status int, body any) {
	header := x.w.Header()
	header.Set("Content-Type", "application/json")
	if x.requestID != "" {
		header.Set(api.HeaderRequestID, x.requestID)
	}
	if x.gate.leaving.Load() {
		header.Set("Connection", "close")
	}
	x.w.WriteHeader(status)
	_ = json.NewEncoder(x.w).Encode(body)
}

func (x *exchange) fail(err error) {
	e := errkind.Of(err)
	x.gate.metrics.Error(e.Kind)
	if e.RetryAfterSeconds > 0 {
		x.w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(e.RetryAfterSeconds))))
	}
	x.answer(errkind.PropertiesOf(e.Kind).Status, api.ErrorAnswer{RequestID: x.requestID, Error: api.NewErrorBody(e)})
}
