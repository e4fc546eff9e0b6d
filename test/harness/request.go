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

// CallKind is the kind of one call of a caller.
type CallKind string

// The kinds of call.
const (
	CallSubmit CallKind = "submit"
	CallGet    CallKind = "get"
	CallCancel CallKind = "cancel"
)

// Call is one call and what the caller was told.
type Call struct {
	Kind           CallKind
	Gate           string
	Sent, Returned time.Time
	// Lost is true when no whole answer came; Dialled is false when not even a
	// connection was made.
	Lost    bool
	Dialled bool
	Status  int
	Answer  api.JobAnswer
}

// JobLevel reports whether the answer speaks of the job as a whole, not only of this
// call.
func (c Call) JobLevel() bool { return !c.Lost && c.Answer.State != "" }

// NotRun reports whether the answer says that nothing ran.
func (c Call) NotRun() bool {
	return !c.Lost && c.Answer.Error != nil && c.Answer.Error.Ran == errkind.RanNo
}

// Accepted reports whether the answer says that the job is admitted for good.
func (c Call) Accepted() bool { return !c.Lost && c.Status == http.StatusAccepted }

// Request is one request of a caller with all that the caller was told.
type Request struct {
	Org  string
	Body api.SubmitRequest
	// Nonce is what every task returns.
	Nonce string
	// CancelAfter, when not zero, cancels the job so long after its first answer.
	CancelAfter time.Duration

	mu    sync.Mutex
	calls []Call
}

// ID returns the job's ID.
func (r *Request) ID() core.JobID {
	return core.MakeJobID(core.OrgID(r.Org), core.RequestID(r.Body.RequestID))
}

// Record adds calls to what the caller was told.
func (r *Request) Record(calls ...Call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls = append(r.calls, calls...)
}

// Calls returns what the caller was told so far.
func (r *Request) Calls() []Call {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Call(nil), r.calls...)
}

// final returns the answer that ends the job's story.
func (r *Request) final() (Call, bool) {
	for _, c := range r.Calls() {
		if c.JobLevel() && c.Answer.State.Ended() {
			return c, true
		}
	}
	return Call{}, false
}

// Told sums up what the caller was told.
func (r *Request) Told() audit.Told {
	told := audit.Told{Job: r.ID(), Cells: r.Body.Shape.Cells, Idempotent: r.Body.Idempotent, Nonce: r.Nonce}
	calls := r.Calls()
	allNotRun := len(calls) > 0
	for _, c := range calls {
		told.Accepted = told.Accepted || c.Accepted()
		if c.Kind == CallSubmit && !c.NotRun() && c.Dialled {
			allNotRun = false
		}
	}
	final, ok := r.final()
	switch {
	case ok:
		told.Ended = true
		told.Succeeded = final.Answer.State == core.Succeeded
		if final.Answer.Error != nil {
			told.Ran = final.Answer.Error.Ran
		}
		for _, o := range final.Answer.Outputs {
			told.Outputs = append(told.Outputs, o.Text)
		}
	case allNotRun:
		told.Ended, told.Ran = true, errkind.RanNo
	case !told.Accepted:
		told.Ended, told.Ran = true, errkind.RanUnknown
	}
	return told
}

// call sends one request to a gate and notes the answer.
func (r *Request) call(ctx context.Context, client *http.Client, h *EntryHost, kind CallKind, wait time.Duration) Call {
	c := Call{Kind: kind, Gate: h.Name, Sent: time.Now(), Lost: true}
	method, path, body := r.target(kind, wait)
	req, err := http.NewRequestWithContext(ctx, method, h.CallerURL+path, bytes.NewReader(body))
	if err == nil {
		req.Header.Set("Authorization", "Bearer "+callerKey(r.Org))
		c.exchange(client, req)
	}
	c.Returned = time.Now()
	r.Record(c)
	return c
}

func (r *Request) target(kind CallKind, wait time.Duration) (method, path string, body []byte) {
	one := api.PathJobs + "/" + url.PathEscape(r.Body.RequestID)
	switch kind {
	case CallSubmit:
		body, _ = json.Marshal(r.Body)
		return http.MethodPost, api.PathJobs, body
	case CallCancel:
		return http.MethodDelete, one, nil
	default:
		return http.MethodGet, one + "?wait_seconds=" + strconv.FormatFloat(wait.Seconds(), 'f', 3, 64), nil
	}
}

// exchange sends req; an answer that is cut short counts as lost.
func (c *Call) exchange(client *http.Client, req *http.Request) {
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
