package bench

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"agatewinch/internal/api"
	"agatewinch/internal/audit"
	"agatewinch/internal/core"
	"agatewinch/internal/errkind"
	"agatewinch/internal/standin"
)

const (
	longPollWait   = 30 * time.Second
	maxTries       = 8
	maxRetryDelay  = 5 * time.Second
	minRetryDelay  = 100 * time.Millisecond
	connsPerGate   = 2048
	nanosPerSecond = float64(time.Second)
)

// Result is the outcome of one arrival as the caller saw it.
type Result struct {
	Arrival
	audit.CallerView
	Submitted time.Time
	Finished  time.Time
	// Kind is the kind of the last error other than errkind.Internal, and Tries the number of
	// submissions.
	Kind  errkind.Kind
	Tries int
}

// Driver submits workloads to one cluster.
type Driver struct {
	Target Target
	// Prefix makes the request IDs of this run unique.
	Prefix string
	http   *http.Client
}

// NewDriver returns a driver for target.
func NewDriver(target Target, prefix string) *Driver {
	transport := &http.Transport{MaxIdleConnsPerHost: connsPerGate, MaxConnsPerHost: connsPerGate}
	return &Driver{Target: target, Prefix: prefix, http: &http.Client{Transport: transport}}
}

func (d *Driver) client(gate int, org string) *api.Client {
	return &api.Client{BaseURL: d.Target.Gates[gate%len(d.Target.Gates)], Key: Key(org), HTTP: d.http}
}

// Run submits every arrival at its time and waits until each job has ended or used up its
// maxTries submissions, or until the horizon is reached.
func (d *Driver) Run(ctx context.Context, w Workload) []Result {
	began := time.Now()
	ctx, cancel := context.WithDeadline(ctx, began.Add(w.Horizon))
	defer cancel()
	results := make([]Result, len(w.Arrivals))
	var running sync.WaitGroup
	for i, a := range w.Arrivals {
		select {
		case <-time.After(time.Until(began.Add(a.At))):
		case <-ctx.Done():
		}
		running.Add(1)
		go func() {
			defer running.Done()
			results[i] = d.runArrival(ctx, i, a)
		}()
	}
	running.Wait()
	return results
}

func (d *Driver) runArrival(ctx context.Context, i int, a Arrival) Result {
	req := d.request(a)
	r := Result{Arrival: a, Submitted: time.Now(), CallerView: audit.CallerView{
		Job:   core.MakeJobID(core.OrgID(a.Org), core.RequestID(req.RequestID)),
		Cells: a.Shape.Cells, Idempotent: a.Idempotent, Nonce: req.RequestID,
	}}
	if a.CancelAfter > 0 {
		timer := time.AfterFunc(a.CancelAfter, func() { d.cancel(i, a.Org, req.RequestID) })
		defer timer.Stop()
	}
	for ; r.Tries < maxTries && !r.Ended && ctx.Err() == nil; r.Tries++ {
		d.submitAndPoll(ctx, i+r.Tries, req, &r)
	}
	r.Finished = time.Now()
	return r
}

func (d *Driver) request(a Arrival) api.SubmitRequest {
	id := d.Prefix + a.Request
	payload, _ := json.Marshal(standin.Behaviour{RunSeconds: a.Actual.Seconds(), Fail: a.AlwaysFails, Output: id})
	return api.SubmitRequest{
		RequestID: id, Caller: a.Caller, Class: a.Class, Shape: a.Shape, Idempotent: a.Idempotent,
		DeclaredRunSeconds: a.Declared.Seconds(), WaitSeconds: longPollWait.Seconds(), Payload: payload,
	}
}

// submitAndPoll submits the job once and then polls it with long polls until it ends or a call
// fails.
func (d *Driver) submitAndPoll(ctx context.Context, gate int, req api.SubmitRequest, r *Result) {
	client := d.client(gate, r.Org)
	var answer api.JobAnswer
	err := client.Call(ctx, http.MethodPost, api.PathJobs, req, &answer)
	path := api.PathJobs + "/" + url.PathEscape(req.RequestID) + "?wait_seconds=30"
	for err == nil && !answer.State.Ended() && ctx.Err() == nil {
		r.Accepted = true
		answer = api.JobAnswer{}
		err = client.Call(ctx, http.MethodGet, path, nil, &answer)
	}
	if err != nil {
		d.handleError(ctx, err, r)
		return
	}
	r.finish(answer)
}

func (r *Result) finish(answer api.JobAnswer) {
	if !answer.State.Ended() {
		return
	}
	r.Ended = true
	r.Succeeded = answer.State == core.Succeeded
	for _, out := range answer.Outputs {
		r.Outputs = append(r.Outputs, out.Text)
	}
}

// handleError handles a failed call. An error that is not retryable is the final answer about
// the job. After any other error it waits before the next try, for the delay that the gate
// requested but at least minRetryDelay and at most maxRetryDelay.
func (d *Driver) handleError(ctx context.Context, err error, r *Result) {
	var delay = minRetryDelay
	if e := errkind.Of(err); e.Kind != errkind.Internal {
		r.Kind = e.Kind
		properties := errkind.PropertiesOf(e.Kind)
		if !properties.Retryable {
			r.Ended, r.Ran = true, properties.Ran
			return
		}
		delay = max(minRetryDelay, time.Duration(e.RetryAfterSeconds*nanosPerSecond))
	}
	select {
	case <-time.After(min(delay, maxRetryDelay)):
	case <-ctx.Done():
	}
}

func (d *Driver) cancel(gate int, org, request string) {
	ctx, cancel := context.WithTimeout(context.Background(), maxRetryDelay)
	defer cancel()
	var answer api.JobAnswer
	_ = d.client(gate, org).Call(ctx, http.MethodDelete, api.PathJobs+"/"+url.PathEscape(request), nil, &answer)
}

// Ledger returns the ledger entries after the entry with number after.
func (d *Driver) Ledger(ctx context.Context, after int) ([]standin.Entry, error) {
	entries, err := d.admin().Ledger(ctx, after)
	return entries, trace.Wrap(err)
}
