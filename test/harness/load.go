package harness

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"agatewinch/internal/api"
	"agatewinch/internal/core"
	"agatewinch/internal/standin"
)

// Work is a kind of job that callers submit repeatedly.
type Work struct {
	Name string
	Org  string
	// Every is the interval between submissions.
	Every time.Duration
	Class string
	Shape core.Shape
	// RunTime is the run time of each task.
	RunTime    time.Duration
	Idempotent bool
	// Wait is the maximum time that a submission waits for the result.
	Wait time.Duration
	// CancelAfter is the time after which callers cancel an accepted job; zero means never.
	CancelAfter time.Duration
}

const taskMemory = 1 << 30

func cells(n, size int) core.Shape {
	return core.Shape{Cells: n, CellSize: size, CPU: 1, MemoryBytes: taskMemory}
}

// Mix returns the load of the fault suite: small checks, gangs, non-idempotent bills, long
// tasks, and jobs whose submission doesn't wait for the result, which is polled later.
func Mix() []Work {
	const callWait = 5 * time.Second
	// Long enough for the active scheduler to change during the run.
	const longRun = 2500 * time.Millisecond
	return []Work{
		{Name: "check", Org: OrgTesting, Every: 50 * time.Millisecond, Class: ClassCheck, Shape: cells(1, 1), RunTime: 60 * time.Millisecond, Idempotent: true, Wait: callWait},
		{Name: "gang", Org: OrgSurvey, Every: 600 * time.Millisecond, Class: ClassGang, Shape: cells(2, 8), RunTime: 400 * time.Millisecond, Idempotent: true, Wait: callWait},
		{Name: "bill", Org: OrgTesting, Every: 250 * time.Millisecond, Class: ClassBill, Shape: cells(1, 1), RunTime: 200 * time.Millisecond, Wait: callWait},
		{Name: "pair", Org: OrgSurvey, Every: 900 * time.Millisecond, Class: ClassBill, Shape: cells(2, 2), RunTime: 300 * time.Millisecond, Wait: callWait},
		{Name: "long", Org: OrgTesting, Every: 700 * time.Millisecond, Class: ClassGang, Shape: cells(1, 8), RunTime: longRun, Idempotent: true, Wait: callWait},
		{Name: "long-bill", Org: OrgSurvey, Every: 1200 * time.Millisecond, Class: ClassBill, Shape: cells(1, 2), RunTime: longRun, Wait: callWait},
		{Name: "later", Org: OrgSurvey, Every: 400 * time.Millisecond, Class: ClassGang, Shape: cells(1, 2), RunTime: 500 * time.Millisecond, Idempotent: true},
	}
}

// Load runs callers and keeps all of their requests.
type Load struct {
	balancer *Balancer
	wait     sync.WaitGroup

	mu       sync.Mutex
	requests []*Request
}

// NewLoad returns a load without callers.
func NewLoad(b *Balancer) *Load { return &Load{balancer: b} }

// Repeat submits a request every w.Every until submitting is done. Each request is driven until
// it ends or driving is done.
func (l *Load) Repeat(submitting, driving context.Context, w Work) {
	l.wait.Add(1)
	go func() {
		defer l.wait.Done()
		tick := time.NewTicker(w.Every)
		defer tick.Stop()
		for n := 0; ; n++ {
			select {
			case <-tick.C:
				l.Submit(driving, w, n)
			case <-submitting.Done():
				return
			}
		}
	}()
}

// add creates and keeps the n-th request of a kind of job.
func (l *Load) add(w Work, n int) *Request {
	r := newRequest(w, n)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests = append(l.requests, r)
	return r
}

// Do drives one request until it ends or ctx is done.
func (l *Load) Do(ctx context.Context, w Work, n int) *Request {
	r := l.add(w, n)
	l.balancer.Drive(ctx, r)
	return r
}

// Submit drives one request in the background.
func (l *Load) Submit(ctx context.Context, w Work, n int) *Request {
	r := l.add(w, n)
	l.wait.Add(1)
	go func() {
		defer l.wait.Done()
		l.balancer.Drive(ctx, r)
	}()
	return r
}

// Wait waits until no more requests are submitted and each request has ended or its context is
// done.
func (l *Load) Wait() { l.wait.Wait() }

// Requests returns all requests that have been created so far.
func (l *Load) Requests() []*Request {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]*Request(nil), l.requests...)
}

func newRequest(w Work, n int) *Request {
	id := fmt.Sprintf("%s-%d", w.Name, n)
	nonce := "output of " + w.Org + " " + id
	payload, _ := json.Marshal(standin.Behaviour{RunSeconds: w.RunTime.Seconds(), Output: nonce})
	return &Request{
		Org: w.Org, Nonce: nonce, CancelAfter: w.CancelAfter,
		Body: api.SubmitRequest{
			RequestID: id, Caller: w.Name, Class: w.Class, Shape: w.Shape, Idempotent: w.Idempotent,
			DeclaredRunSeconds: w.RunTime.Seconds(), WaitSeconds: w.Wait.Seconds(), Payload: payload,
		},
	}
}
