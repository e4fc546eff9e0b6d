package api

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/gravitational/trace"

	"agatewinch/internal/errkind"
)

// maxAnswerBytes bounds what the client reads of a response body; the rest is ignored.
const maxAnswerBytes = 16 << 20

// Client calls a gate.
type Client struct {
	// BaseURL is the gate's URL.
	BaseURL string
	// Key is the API key.
	Key string
	// HTTP sends the requests; it must not be nil.
	HTTP *http.Client
}

// UnreachableError means that no complete response was received from the gate.
type UnreachableError struct {
	// Sent is false if the request was not sent, so that it cannot have taken effect.
	Sent bool
	Err  error
}

// Error returns the cause and whether the request may have taken effect.
func (e *UnreachableError) Error() string {
	if e.Sent {
		return "no complete response from the gate; the request may have taken effect: " + e.Err.Error()
	}
	return "the gate cannot be reached; the request was not sent: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Err }

// Call sends a request with in as its body, or without a body if in is nil, and decodes the
// response into out. It returns an error response, including that of a failed job, as an
// errkind.Error.
func (c *Client) Call(ctx context.Context, method, path string, in, out any) error {
	status, data, err := c.do(ctx, method, path, in)
	if err != nil {
		return trace.Wrap(err)
	}
	if status < http.StatusBadRequest {
		return trace.Wrap(json.Unmarshal(data, out))
	}
	return errorOf(status, data)
}

// CallJob sends a request whose response is a job's state. Unlike Call, it returns the complete
// response for a failed job, without an error.
func (c *Client) CallJob(ctx context.Context, method, path string, in any) (JobAnswer, error) {
	status, data, err := c.do(ctx, method, path, in)
	if err != nil {
		return JobAnswer{}, trace.Wrap(err)
	}
	var answer JobAnswer
	decodeErr := json.Unmarshal(data, &answer)
	if status >= http.StatusBadRequest && !answer.State.Ended() {
		return JobAnswer{}, errorOf(status, data)
	}
	return answer, trace.Wrap(decodeErr)
}

// do sends a request and returns the status and body of the response. Without a complete
// response it returns an UnreachableError.
func (c *Client) do(ctx context.Context, method, path string, in any) (int, []byte, error) {
	var body io.Reader
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return 0, nil, trace.BadParameter("cannot encode the request body: %v", err)
		}
		body = bytes.NewReader(data)
	}
	var sent atomic.Bool
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteHeaders: func() { sent.Store(true) }})
	req, err := http.NewRequestWithContext(traced, method, c.BaseURL+path, body)
	if err != nil {
		return 0, nil, trace.BadParameter("cannot create the request to the gate: %v", err)
	}
	req.Header.Set("Authorization", "Bearer "+c.Key)
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return 0, nil, trace.Wrap(&UnreachableError{Sent: sent.Load(), Err: err})
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return 0, nil, trace.Wrap(&UnreachableError{Sent: true, Err: err})
	}
	return resp.StatusCode, data, nil
}

func errorOf(status int, data []byte) error {
	var answer ErrorAnswer
	if json.Unmarshal(data, &answer) != nil || answer.Error.Kind == errkind.None {
		return trace.BadParameter("the gate returned status %d without a valid error body", status)
	}
	return trace.Wrap(&errkind.Error{Kind: answer.Error.Kind, Message: answer.Error.Message, RetryAfterSeconds: answer.Error.RetryAfterSeconds})
}
