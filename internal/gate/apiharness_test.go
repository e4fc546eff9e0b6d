package gate

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"agatewinch/internal/api"
	"agatewinch/internal/config"
	"agatewinch/internal/core"
	"agatewinch/internal/errkind"
	"agatewinch/internal/membership"
	"agatewinch/internal/peer"
	"agatewinch/internal/platform/fakelog"
	"agatewinch/internal/wire"
)

const (
	operatorKey = "operator-key"
	haneulKey   = "haneul-key"
	eastKey     = "east-key"
)

// fakeScheduler records the requests that it receives. Submitted jobs succeed at once
// unless unblock is set.
type fakeScheduler struct {
	mu      sync.Mutex
	submits []wire.Submit
	drains  []wire.Drain
	cancels []wire.Cancel
	// refuse, if set, is the reply to every request except heartbeats.
	refuse error
	// unblock, if set, blocks submissions until it is closed.
	unblock chan struct{}
	// blocked counts the submissions that were blocked.
	blocked int
}

func (f *fakeScheduler) blockedCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.blocked
}

// awaitUnblock waits until submissions are unblocked or ctx ends. The caller holds the lock,
// which is released during the wait.
func (f *fakeScheduler) awaitUnblock(ctx context.Context) {
	if f.unblock == nil {
		return
	}
	unblock := f.unblock
	f.blocked++
	f.mu.Unlock()
	select {
	case <-unblock:
	case <-ctx.Done():
	}
	f.mu.Lock()
}

func (f *fakeScheduler) handle(ctx context.Context, kind wire.Kind, body cbor.RawMessage) (any, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if kind == wire.KindHeartbeat {
		return wire.Heartbeat{Host: "h", Role: wire.RoleScheduler, Zone: "a", Active: true, Term: 1, Incarnation: 1}, nil
	}
	if f.refuse != nil {
		return nil, f.refuse
	}
	switch kind {
	case wire.KindSubmit:
		var req wire.Submit
		if err := cbor.Unmarshal(body, &req); err != nil {
			return nil, err
		}
		f.submits = append(f.submits, req)
		f.awaitUnblock(ctx)
		return wire.JobReply{Job: req.Job.ID, State: core.Succeeded, Outcome: &core.Outcome{State: core.Succeeded}}, nil
	case wire.KindCancel:
		var req wire.Cancel
		if err := cbor.Unmarshal(body, &req); err != nil {
			return nil, err
		}
		f.cancels = append(f.cancels, req)
		return wire.JobReply{Job: req.Job, State: core.Queued}, nil
	case wire.KindDrain:
		var req wire.Drain
		if err := cbor.Unmarshal(body, &req); err != nil {
			return nil, err
		}
		f.drains = append(f.drains, req)
		return wire.Empty{}, nil
	case wire.KindExplain:
		return core.Explanation{Reason: "no free cell"}, nil
	case wire.KindList:
		return wire.ListReply{Jobs: []wire.JobSummary{{Job: "haneul:j", Org: "haneul"}}}, nil
	case wire.KindStatus:
		return wire.StatusReply{Host: "h"}, nil
	default:
		return wire.JobReply{State: core.Queued}, nil
	}
}

type harness struct {
	t     *testing.T
	gate  *Gate
	url   string
	sched *fakeScheduler
}

func testSet() config.Set {
	return config.Set{
		Organisations: []config.Organisation{
			{Name: "haneul", Quota: 64, Classes: []string{"check"}},
			{Name: "east", RequestRate: 1, RequestBurst: 2},
		},
		Classes: []config.Class{{Name: "check", MaxAccelerators: 16, MaxRunTime: "1h"}, {Name: "survey"}},
		Racks: []config.Rack{{Name: "r1", Zone: "a", Workers: []config.Worker{
			{Name: "w1", CPU: 8, Memory: "8GiB", Accelerators: 8, Slots: 8},
		}}},
		Keys: []config.Key{
			{Name: "ops", Role: config.RoleOperator, SHA256: config.HashKey(operatorKey)},
			{Name: "haneul", Role: config.RoleCaller, Organisation: "haneul", SHA256: config.HashKey(haneulKey)},
			{Name: "east", Role: config.RoleCaller, Organisation: "east", SHA256: config.HashKey(eastKey)},
		},
	}
}

// newHarness runs a gate without a configuration and one fake scheduler.
func newHarness(t *testing.T, limits Limits) *harness {
	t.Helper()
	sched := &fakeScheduler{}
	schedServer := httptest.NewServer(peer.Serve(sched.handle))
	t.Cleanup(schedServer.Close)
	g := New(Options{
		Host: "gate-1", Zone: "a", Limits: limits, OperatorKeys: OperatorKeys([]string{config.HashKey(operatorKey)}),
		Peers: PeerOptions{Schedulers: []membership.Seed{{Zone: "a", Addr: strings.TrimPrefix(schedServer.URL, "http://")}}},
	}, logr.Discard(), fakelog.New())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = g.Run(ctx)
	}()
	t.Cleanup(func() { cancel(); <-done })
	server := httptest.NewServer(g.Handler())
	t.Cleanup(server.Close)
	return &harness{t: t, gate: g, url: server.URL, sched: sched}
}

// newConfiguredHarness runs a gate with testSet in force.
func newConfiguredHarness(t *testing.T) *harness {
	t.Helper()
	h := newHarness(t, DefaultLimits)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if h.gate.Ready() {
			return poll.Success()
		}
		return poll.Continue("the gate has not read the log")
	}, poll.WithDelay(time.Millisecond))
	resp := h.call(http.MethodPut, api.PathConfig, operatorKey, api.ApplyRequest{Set: testSet()})
	assert.Equal(t, resp.status, http.StatusOK, resp.text)
	return h
}

type response struct {
	status int
	text   string
	header http.Header
	err    api.ErrorAnswer
}

func (h *harness) call(method, path, key string, body any) response {
	h.t.Helper()
	text, ok := body.(string)
	if !ok && body != nil {
		data, err := json.Marshal(body)
		assert.NilError(h.t, err)
		text = string(data)
	}
	req, err := http.NewRequest(method, h.url+path, strings.NewReader(text))
	assert.NilError(h.t, err)
	req.Header.Set("Authorization", bearerPrefix+key)
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(h.t, err)
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	assert.NilError(h.t, err)
	out := response{status: resp.StatusCode, text: string(data), header: resp.Header}
	_ = json.Unmarshal(data, &out.err)
	return out
}

func (h *harness) wantError(r response, kind errkind.Kind) {
	h.t.Helper()
	assert.Equal(h.t, r.err.Error.Kind, kind, r.text)
	assert.Equal(h.t, r.status, errkind.PropertiesOf(kind).Status)
}

func submitBody(change func(*api.SubmitRequest)) api.SubmitRequest {
	req := api.SubmitRequest{
		RequestID: "r-1", Caller: "desk", Class: "check", Shape: core.Shape{Cells: 1, CellSize: 8}, Idempotent: true, WaitSeconds: 1,
	}
	if change != nil {
		change(&req)
	}
	return req
}
