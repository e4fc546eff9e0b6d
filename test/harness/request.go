package harness

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
	"sync"
	"time"

	"agatewinch/internal/api"
	"agatewinch/internal/audit"
	"agatewinch/internal/core"
	"agatewinch/internal/errkind"
)

// CallKind is the kind of a caller's call.
type CallKind string

// Kinds of calls.
const (
	CallSubmit CallKind = "submit"
	CallGet    CallKind = "get"
	CallCancel CallKind = "cancel"
)

// Call is one call and the response that the caller received.
type Call struct {
	Kind CallKind
	// Gate is the name of the gate's host.
	Gate           string
	Sent, Returned time.Time
	// Lost is true if no complete and decodable response arrived. Dialled is false if not even a
	// connection was established.
	Lost    bool
	Dialled bool
	Status  int
	Answer  api.JobAnswer
}

// HasJobState reports whether the response has the state of the job, rather than only the
// result of this call.
func (c Call) HasJobState() bool { return !c.Lost && c.Answer.State != "" }

// NotRun reports whether the response is an error that says that nothing ran.
func (c Call) NotRun() bool {
	return !c.Lost && c.Answer.Error != nil && c.Answer.Error.Ran == errkind.RanNo
}

// Accepted reports whether the response says that the job is durably admitted.
func (c Call) Accepted() bool { return !c.Lost && c.Status == http.StatusAccepted }

// Request is a caller's request with all of its calls and their responses.
type Request struct {
	Org  string
	Body api.SubmitRequest
	// Nonce is the output that every task returns.
	Nonce string
	// CancelAfter is the time after which the caller cancels an accepted job; zero means
	// never.
	CancelAfter time.Duration

	mu    sync.Mutex
	calls []Call
}

// ID returns the job's ID.
func (r *Request) ID() core.JobID {
	return core.MakeJobID(core.OrgID(r.Org), core.RequestID(r.Body.RequestID))
}

// Record appends calls to the request.
func (r *Request) Record(calls ...Call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls = append(r.calls, calls...)
}

// Calls returns the calls that have been recorded so far.
func (r *Request) Calls() []Call {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Call(nil), r.calls...)
}

// final returns the first call whose response has a final job state.
func (r *Request) final() (Call, bool) {
	for _, c := range r.Calls() {
		if c.HasJobState() && c.Answer.State.Ended() {
			return c, true
		}
	}
	return Call{}, false
}

// CallerView summarises the responses for the audit. A request without a final job state that was
// never accepted counts as ended: as not run if every submission that established a connection was
// refused as not run, otherwise with an unknown outcome.
func (r *Request) CallerView() audit.CallerView {
	view := audit.CallerView{Job: r.ID(), Cells: r.Body.Shape.Cells, Idempotent: r.Body.Idempotent, Nonce: r.Nonce}
	calls := r.Calls()
	allNotRun := len(calls) > 0
	for _, c := range calls {
		view.Accepted = view.Accepted || c.Accepted()
		if c.Kind == CallSubmit && !c.NotRun() && c.Dialled {
			allNotRun = false
		}
	}
	final, ok := r.final()
	switch {
	case ok:
		view.Ended = true
		view.Succeeded = final.Answer.State == core.Succeeded
		if final.Answer.Error != nil {
			view.Ran = final.Answer.Error.Ran
		}
		for _, o := range final.Answer.Outputs {
			view.Outputs = append(view.Outputs, o.Text)
		}
	case allNotRun:
		view.Ended, view.Ran = true, errkind.RanNo
	case !view.Accepted:
		view.Ended, view.Ran = true, errkind.RanUnknown
	}
	return view
}

// call sends one HTTP request to a gate and records the call.
func (r *Request) call(ctx context.Context, client *http.Client, h *EntryHost, kind CallKind, wait time.Duration) Call {
	c := Call{Kind: kind, Gate: h.Name, Sent: time.Now(), Lost: true}
	method, path, body := r.requestParts(kind, wait)
	req, err := http.NewRequestWithContext(ctx, method, h.CallerURL+path, bytes.NewReader(body))
	if err == nil {
		req.Header.Set("Authorization", "Bearer "+callerKey(r.Org))
		c.send(client, req)
	}
	c.Returned = time.Now()
	r.Record(c)
	return c
}

func (r *Request) requestParts(kind CallKind, wait time.Duration) (method, path string, body []byte) {
	jobPath := api.PathJobs + "/" + url.PathEscape(r.Body.RequestID)
	switch kind {
	case CallSubmit:
		body, _ = json.Marshal(r.Body)
		return http.MethodPost, api.PathJobs, body
	case CallCancel:
		return http.MethodDelete, jobPath, nil
	default:
		return http.MethodGet, jobPath + "?wait_seconds=" + strconv.FormatFloat(wait.Seconds(), 'f', 3, 64), nil
	}
}

// send sends req and reads the response. A truncated or undecodable response counts as lost.
func (c *Call) send(client *http.Client, req *http.Request) {
	resp, err := client.Do(req)
	var op *net.OpError
	c.Dialled = !(errors.As(err, &op) && op.Op == "dial")
	if err != nil {
		return
	}
	data, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	if err != nil || json.Unmarshal(data, &c.Answer) != nil {
		return
	}
	c.Status, c.Lost = resp.StatusCode, false
}
