package api

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/gravitational/trace"

	"agatewinch/internal/errkind"
)

const maxAnswerBytes = 16 << 20

// Client calls a gate.
type Client struct {
	// Base is the gate's URL.
	Base string
	// Key is the API key.
	Key  string
	HTTP *http.Client
}

// Call sends in, or nothing when it is nil, and decodes the answer into out. An error
// answer becomes an errkind.Error.
func (c *Client) Call(ctx context.Context, method, path string, in, out any) error {
	var body io.Reader
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return trace.Wrap(err)
		}
		body = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.Base+path, body)
	if err != nil {
		return trace.Wrap(err)
	}
	req.Header.Set("Authorization", "Bearer "+c.Key)
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return trace.ConnectionProblem(err, "gate cannot be reached")
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return trace.ConnectionProblem(err, "answer was cut short")
	}
	if resp.StatusCode < http.StatusBadRequest {
		return trace.Wrap(json.Unmarshal(data, out))
	}
	var answer ErrorAnswer
	if json.Unmarshal(data, &answer) != nil || answer.Error.Kind == errkind.None {
		return trace.BadParameter("gate answered status %d", resp.StatusCode)
	}
	return trace.Wrap(&errkind.Error{Kind: answer.Error.Kind, Message: answer.Error.Message, RetryAfterSeconds: answer.Error.RetryAfterSeconds})
}
