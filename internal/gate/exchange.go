package gate

import (
	"encoding/json"
	"errors"
	"io"
	"math"
	"net/http"
	"regexp"
	"strconv"

	"agatewinch/internal/api"
	"agatewinch/internal/config"
	"agatewinch/internal/errkind"
)

const (
	maxCallerBody   = 1 << 20
	maxOperatorBody = 4 << 20
)

func maxBody(role config.Role) int64 {
	if role == config.RoleOperator {
		return maxOperatorBody
	}
	return maxCallerBody
}

// exchange is one request and its answer. Every answer names the request it belongs
// to, also when it is an error.
type exchange struct {
	w    http.ResponseWriter
	r    *http.Request
	gate *Gate
	key  config.Key
	// request is the caller's request ID, as soon as it is known.
	request string
}

var requestIDPattern = regexp.MustCompile(`^[A-Za-z0-9._-]{1,64}$`)

// headerRequestID returns the ID that a caller may send as a header too, so that even
// an answer to a body that cannot be read names its request.
func headerRequestID(r *http.Request) string {
	id := r.Header.Get(api.HeaderRequestID)
	if !requestIDPattern.MatchString(id) {
		return ""
	}
	return id
}

// decode reads the body into out. It takes one JSON value without unknown fields.
func (x *exchange) decode(out any) error {
	data, err := io.ReadAll(x.r.Body)
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return errkind.New(errkind.TooLarge, "the body is over %d bytes", large.Limit)
	}
	if err != nil {
		return errkind.New(errkind.InvalidRequest, "the body was cut short")
	}
	x.noteRequest(data)
	return decodeStrict(data, out)
}

// noteRequest takes the request ID from a body, even if the body has other faults.
func (x *exchange) noteRequest(data []byte) {
	var named struct {
		RequestID string `json:"request_id"`
	}
	if json.Unmarshal(data, &named) == nil && requestIDPattern.MatchString(named.RequestID) {
		x.request = named.RequestID
	}
}

func (x *exchange) answer(status int, body any) {
	header := x.w.Header()
	header.Set("Content-Type", "application/json")
	if x.request != "" {
		header.Set(api.HeaderRequestID, x.request)
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
	x.answer(errkind.AnswerFor(e.Kind).Status, api.ErrorAnswer{RequestID: x.request, Error: api.NewErrorBody(e)})
}
