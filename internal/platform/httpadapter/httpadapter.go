// Package httpadapter implements the interfaces of package platform over HTTP and JSON, the
// protocol of the stand-in platform.
package httpadapter

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/gravitational/trace"

	"agatewinch/internal/platform"
)

const (
	dialTimeout      = time.Second
	callTimeout      = 5 * time.Second
	maxReplyBytes    = 16 << 20
	idleConnsPerHost = 4
)

// Paths of the HTTP interfaces of the platform (PathLog, PathHosts) and of the workers'
// backend servers (PathDo, PathRenew).
const (
	PathLog   = "/log/"
	PathHosts = "/hosts"
	PathDo    = "/do"
	PathRenew = "/renew"
)

// NewClient returns an HTTP client for the adapters. It opens at most maxConnsPerHost
// connections to one address, so that several clients can share a worker's limit of
// connections. It requests no compression: bodies are small, and this saves the headers.
func NewClient(maxConnsPerHost int) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxConnsPerHost:     maxConnsPerHost,
		MaxIdleConnsPerHost: idleConnsPerHost,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
	}}
}

// AppendRequest is the request body of an append.
type AppendRequest struct {
	Records [][]byte `json:"records"`
}

// AppendReply is the response body of an append.
type AppendReply struct {
	First platform.Offset `json:"first"`
}

// TrimmedReply is the response body of status 410 to a read below the oldest record.
type TrimmedReply struct {
	Oldest platform.Offset `json:"oldest"`
}

// Log implements platform.Log.
type Log struct {
	// BaseURL is the platform's base URL.
	BaseURL string
	Client  *http.Client
}

// Append implements platform.Log.
func (l *Log) Append(ctx context.Context, stream platform.Stream, records [][]byte) (platform.Offset, error) {
	var reply AppendReply
	err := call(ctx, l.Client, callTimeout, l.BaseURL+PathLog+url.PathEscape(string(stream)), AppendRequest{Records: records}, &reply)
	return reply.First, trace.Wrap(err)
}

// Read implements platform.Log.
func (l *Log) Read(ctx context.Context, stream platform.Stream, from platform.Offset, limit int, wait time.Duration) (platform.Page, error) {
	q := url.Values{}
	q.Set("from", strconv.FormatUint(uint64(from), 10))
	q.Set("limit", strconv.Itoa(limit))
	q.Set("wait_ms", strconv.FormatInt(wait.Milliseconds(), 10))
	var page platform.Page
	err := call(ctx, l.Client, callTimeout+wait, l.BaseURL+PathLog+url.PathEscape(string(stream))+"?"+q.Encode(), nil, &page)
	return page, trace.Wrap(err)
}

// Backend implements platform.Backend.
type Backend struct{ Client *http.Client }

// Do implements platform.Backend.
func (b *Backend) Do(ctx context.Context, addr string, batch platform.Batch) ([]platform.OpResult, error) {
	var results []platform.OpResult
	err := call(ctx, b.Client, callTimeout, "http://"+addr+PathDo, batch, &results)
	if err == nil && len(results) != len(batch.Ops) {
		err = platform.ErrUnknown
	}
	return results, trace.Wrap(err)
}

// Renew implements platform.Backend.
func (b *Backend) Renew(ctx context.Context, addr string, req platform.RenewRequest) (platform.RenewReply, error) {
	var reply platform.RenewReply
	err := call(ctx, b.Client, callTimeout+req.Wait, "http://"+addr+PathRenew, req, &reply)
	return reply, trace.Wrap(err)
}

// call sends body as JSON with POST, or a GET if body is nil, and decodes the response
// into out.
func call(ctx context.Context, client *http.Client, timeout time.Duration, target string, body, out any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	method, payload := http.MethodGet, io.Reader(nil)
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return trace.Wrap(err)
		}
		method, payload = http.MethodPost, bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, target, payload)
	if err != nil {
		return trace.Wrap(err)
	}
	resp, data, err := send(client, req)
	if err != nil {
		return trace.Wrap(err)
	}
	return decode(resp.StatusCode, data, out)
}

// send sends a request and reads the response body, up to maxReplyBytes.
func send(client *http.Client, req *http.Request) (*http.Response, []byte, error) {
	// An empty value keeps net/http from adding its default User-Agent header.
	req.Header.Set("User-Agent", "")
	resp, err := client.Do(req)
	if err != nil {
		return nil, nil, classify(err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	if err != nil {
		return nil, nil, platform.ErrUnknown
	}
	return resp, data, nil
}

// decode decodes a response with status 200 into out, and maps every other status to an
// error of package platform. A body that cannot be decoded leaves the effect unknown.
func decode(status int, data []byte, out any) error {
	switch status {
	case http.StatusOK:
		if err := json.Unmarshal(data, out); err != nil {
			return platform.ErrUnknown
		}
		return nil
	case http.StatusGone:
		var t TrimmedReply
		if err := json.Unmarshal(data, &t); err != nil {
			return platform.ErrUnknown
		}
		return &platform.TrimmedError{Oldest: t.Oldest}
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusBadRequest, http.StatusNotFound:
		return platform.ErrNotApplied
	default:
		return platform.ErrUnknown
	}
}

// classify returns platform.ErrNotApplied for a request that was never sent because its
// connection failed, and platform.ErrUnknown for one that may have been sent.
func classify(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return platform.ErrNotApplied
	}
	return platform.ErrUnknown
}
