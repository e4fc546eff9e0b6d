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

// fakeScheduler remembers what it was asked and succeeds at once.
type fakeScheduler struct {
	mu      sync.Mutex
	submits []wire.Submit
	drains  []wire.Drain
	cancels []wire.Cancel
	refuse  error
	// hold, if set, keeps submissions waiting until it is closed.
	hold chan struct{}
	// waiting counts the submissions that wait.
	waiting int
}

func (f *fakeScheduler) held() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.waiting
}

// await waits for the release of held submissions; the caller holds the lock.
func (f *fakeScheduler) await(ctx context.Context) {
	if f.hold == nil {
		return
	}
	hold := f.hold
	f.waiting++
	f.mu.Unlock()
	select {
	case <-hold:
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
		f.await(ctx)
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

type bed struct {
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

// newBed runs a gate without a configuration before one fake scheduler.
func newBed(t *testing.T, limits Limits) *bed {
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
	return &bed{t: t, gate: g, url: server.URL, sched: sched}
}

// newConfiguredBed runs a gate with testSet in force.
func newConfiguredBed(t *testing.T) *bed {
	t.Helper()
	b := newBed(t, DefaultLimits)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if b.gate.Ready() {
			return poll.Success()
		}
		return poll.Continue("the gate has not read the log")
	}, poll.WithDelay(time.Millisecond))
	resp := b.call(http.MethodPut, api.PathConfig, operatorKey, api.ApplyRequest{Set: testSet()})
	assert.Equal(t, resp.status, http.StatusOK, resp.text)
	return b
}

type response struct {
	status int
	text   string
	header http.Header
	err    api.ErrorAnswer
}

func (b *bed) call(method, path, key string, body any) response {
	b.t.Helper()
	text, ok := body.(string)
	if !ok && body != nil {
		data, err := json.Marshal(body)
		assert.NilError(b.t, err)
		text = string(data)
	}
	req, err := http.NewRequest(method, b.url+path, strings.NewReader(text))
	assert.NilError(b.t, err)
	req.Header.Set("Authorization", bearerPrefix+key)
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(b.t, err)
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	assert.NilError(b.t, err)
	out := response{status: resp.StatusCode, text: string(data), header: resp.Header}
	_ = json.Unmarshal(data, &out.err)
	return out
}

func (b *bed) wantError(r response, kind errkind.Kind) {
	b.t.Helper()
	assert.Equal(b.t, r.err.Error.Kind, kind, r.text)
	assert.Equal(b.t, r.status, errkind.AnswerFor(kind).Status)
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

func TestSubmitIsAnsweredWithItsRequestID(t *testing.T) {
	b := newConfiguredBed(t)
	r := b.call(http.MethodPost, api.PathJobs, haneulKey, submitBody(nil))
	assert.Equal(t, r.status, http.StatusOK, r.text)
	assert.Equal(t, r.header.Get(api.HeaderRequestID), "r-1")
	job := b.sched.submits[0].Job
	assert.Equal(t, job.ID, core.JobID("haneul:r-1"))
	assert.Assert(t, !job.Logged && job.Waiting)
}

func TestEachBadRequestGetsItsNamedErrorAndTheGateGoesOn(t *testing.T) {
	b := newConfiguredBed(t)
	cases := []struct {
		name, key string
		body      any
		want      errkind.Kind
	}{
		{"not JSON", haneulKey, "{", errkind.InvalidRequest},
		{"two values", haneulKey, "{}{}", errkind.InvalidRequest},
		{"unknown field", haneulKey, `{"request_id":"r-1","colour":1}`, errkind.InvalidRequest},
		{"oversized", haneulKey, `{"request_id":"` + strings.Repeat("x", maxCallerBody) + `"}`, errkind.TooLarge},
		{"wrong key", "nobody", submitBody(nil), errkind.Unauthenticated},
		{"operator's key", operatorKey, submitBody(nil), errkind.Forbidden},
		{"unknown organisation", haneulKey, submitBody(func(r *api.SubmitRequest) { r.Organisation = "atlantis" }), errkind.UnknownOrg},
		{"another organisation", haneulKey, submitBody(func(r *api.SubmitRequest) { r.Organisation = "east" }), errkind.Forbidden},
		{"unknown class", haneulKey, submitBody(func(r *api.SubmitRequest) { r.Class = "chekc" }), errkind.UnknownClass},
		{"class of others", haneulKey, submitBody(func(r *api.SubmitRequest) { r.Class = "survey" }), errkind.Forbidden},
		{"too many accelerators", haneulKey, submitBody(func(r *api.SubmitRequest) { r.Shape.Cells = 3 }), errkind.LimitExceeded},
		{"too long", haneulKey, submitBody(func(r *api.SubmitRequest) { r.DeclaredRunSeconds = 3601 }), errkind.LimitExceeded},
		{"bad request ID", haneulKey, submitBody(func(r *api.SubmitRequest) { r.RequestID = "a/b" }), errkind.InvalidRequest},
		{"no cells", haneulKey, submitBody(func(r *api.SubmitRequest) { r.Shape.Cells = 0 }), errkind.InvalidRequest},
		{"endless wait", haneulKey, submitBody(func(r *api.SubmitRequest) { r.WaitSeconds = 31 }), errkind.InvalidRequest},
		{"negative deadline", haneulKey, submitBody(func(r *api.SubmitRequest) { r.DeadlineSeconds = -1 }), errkind.InvalidRequest},
		{"large payload", haneulKey, submitBody(func(r *api.SubmitRequest) {
			r.Payload = json.RawMessage(`"` + strings.Repeat("x", 262144) + `"`)
		}), errkind.InvalidRequest},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b.wantError(b.call(http.MethodPost, api.PathJobs, c.key, c.body), c.want)
		})
	}
	assert.Equal(t, len(b.sched.submits), 0, "a refused request reached a scheduler")
	assert.Equal(t, b.call(http.MethodPost, api.PathJobs, haneulKey, submitBody(nil)).status, http.StatusOK)
}

func TestErrorsNameTheirRequestEvenWhenTheBodyIsInvalid(t *testing.T) {
	b := newConfiguredBed(t)
	r := b.call(http.MethodPost, api.PathJobs, haneulKey, `{"request_id":"r-9","colour":1}`)
	b.wantError(r, errkind.InvalidRequest)
	assert.Equal(t, r.err.RequestID, "r-9")
	r = b.call(http.MethodGet, api.PathJobs+"/r-10?wait_seconds=NaN", haneulKey, nil)
	b.wantError(r, errkind.InvalidRequest)
	assert.Equal(t, r.err.RequestID, "r-10")
}

func TestErrorOfTheSchedulerKeepsItsKindAndRetryAfter(t *testing.T) {
	b := newConfiguredBed(t)
	b.sched.mu.Lock()
	b.sched.refuse = &errkind.Error{Kind: errkind.QueueFull, Message: "full", RetryAfterSeconds: 2.5}
	b.sched.mu.Unlock()
	r := b.call(http.MethodPost, api.PathJobs, haneulKey, submitBody(nil))
	b.wantError(r, errkind.QueueFull)
	assert.Equal(t, r.header.Get("Retry-After"), "3")
	assert.Equal(t, r.err.RequestID, "r-1")
	assert.Equal(t, b.gate.metrics.Snapshot().Errors[errkind.QueueFull], uint64(1))
}

func TestRetryWithAnotherWaitIsTheSameRequest(t *testing.T) {
	org := config.Organisation{Name: "haneul"}
	first := newSubmit(submitBody(nil), org)
	again := newSubmit(submitBody(func(r *api.SubmitRequest) { r.WaitSeconds = 30; r.Organisation = "haneul" }), org)
	other := newSubmit(submitBody(func(r *api.SubmitRequest) { r.Shape.Cells = 2 }), org)
	assert.Equal(t, first.Digest, again.Digest)
	assert.Assert(t, first.Digest != other.Digest)
}

func TestWithoutConfigurationOnlyTheSettingsOperatorKeysApply(t *testing.T) {
	b := newBed(t, DefaultLimits)
	b.wantError(b.call(http.MethodPut, api.PathConfig, "anybody", api.ApplyRequest{Set: testSet()}), errkind.Unauthenticated)
	b.wantError(b.call(http.MethodPost, api.PathJobs, haneulKey, submitBody(nil)), errkind.NoConfiguration)
	b.wantError(b.call(http.MethodPost, api.PathJobs, operatorKey, submitBody(nil)), errkind.Forbidden)
	set := testSet()
	set.Keys[0].SHA256 = config.HashKey("new-operator-key")
	assert.Equal(t, b.call(http.MethodPut, api.PathConfig, operatorKey, api.ApplyRequest{Set: set}).status, http.StatusOK)
	b.wantError(b.call(http.MethodGet, api.PathConfig, operatorKey, nil), errkind.Unauthenticated)
	assert.Equal(t, b.call(http.MethodGet, api.PathConfig, "new-operator-key", nil).status, http.StatusOK)
}

func TestInvalidSetIsRefusedWithEveryFault(t *testing.T) {
	b := newConfiguredBed(t)
	set := testSet()
	set.Racks[0].Workers[0].CPU = 0
	set.Keys[1].Organisation = "atlantis"
	r := b.call(http.MethodPut, api.PathConfig, operatorKey, api.ApplyRequest{Base: 1, Set: set})
	b.wantError(r, errkind.InvalidConfig)
	assert.Assert(t, strings.Contains(r.err.Error.Message, "racks[0].workers[0].cpu"), r.text)
	assert.Assert(t, strings.Contains(r.err.Error.Message, "atlantis"), r.text)
}

func TestApplyOnAnOldGenerationIsAConflictThatNamesBoth(t *testing.T) {
	b := newConfiguredBed(t)
	assert.Equal(t, b.call(http.MethodPut, api.PathConfig, operatorKey, api.ApplyRequest{Base: 1, Set: testSet()}).status, http.StatusOK)
	r := b.call(http.MethodPut, api.PathConfig, operatorKey, api.ApplyRequest{Base: 1, Set: testSet()})
	b.wantError(r, errkind.Conflict)
	assert.Equal(t, r.err.Error.Message, "built on generation 1, but generation 2 is in force")
}

func TestCallersCannotUseTheOperatorsInterface(t *testing.T) {
	b := newConfiguredBed(t)
	for _, rt := range b.gate.routes() {
		if rt.role != config.RoleOperator {
			continue
		}
		path := strings.NewReplacer("{organisation}", "haneul", "{request}", "r-1", "{host}", "w1").Replace(rt.path)
		b.wantError(b.call(rt.method, path, haneulKey, nil), errkind.Forbidden)
	}
}

func TestOperatorsCancelExplainAndDrain(t *testing.T) {
	b := newConfiguredBed(t)
	job := api.PathAllJobs + "/haneul/r-1"
	assert.Equal(t, b.call(http.MethodDelete, job, operatorKey, nil).status, http.StatusAccepted)
	assert.Equal(t, b.sched.cancels[0].Job, core.JobID("haneul:r-1"))
	r := b.call(http.MethodGet, job+"/explanation", operatorKey, nil)
	assert.Assert(t, strings.Contains(r.text, "no free cell"), r.text)
	assert.Equal(t, b.call(http.MethodPut, api.PathDrains+"/w1", operatorKey, nil).status, http.StatusOK)
	assert.Equal(t, b.call(http.MethodDelete, api.PathDrains+"/w1", operatorKey, nil).status, http.StatusOK)
	assert.DeepEqual(t, b.sched.drains, []wire.Drain{{Worker: "w1"}, {Worker: "w1", Undo: true}})
	b.wantError(b.call(http.MethodPut, api.PathDrains+"/w9", operatorKey, nil), errkind.NotFound)
	b.wantError(b.call(http.MethodDelete, api.PathAllJobs+"/atlantis/r-1", operatorKey, nil), errkind.UnknownOrg)
}

func TestOrganisationOverItsRateIsRefusedEarlyAndOthersAreNot(t *testing.T) {
	b := newConfiguredBed(t)
	refused := response{}
	for range 20 {
		if r := b.call(http.MethodPost, api.PathJobs, eastKey, submitBody(nil)); r.status != http.StatusOK {
			refused = r
			break
		}
	}
	b.wantError(refused, errkind.RateLimited)
	assert.Equal(t, refused.err.RequestID, "r-1")
	assert.Assert(t, refused.header.Get("Retry-After") != "")
	assert.Equal(t, b.call(http.MethodPost, api.PathJobs, haneulKey, submitBody(nil)).status, http.StatusOK)
}

func TestCallersFloodLeavesRoomForOperators(t *testing.T) {
	open := openRequests{maxCallers: 2, maxOperators: 1}
	for range 2 {
		_, err := open.enter(config.RoleCaller)
		assert.NilError(t, err)
	}
	_, err := open.enter(config.RoleCaller)
	assert.Assert(t, errkind.Is(err, errkind.Overloaded))
	release, err := open.enter(config.RoleOperator)
	assert.NilError(t, err)
	release()
	_, err = open.enter(config.RoleOperator)
	assert.NilError(t, err)
}

func TestConnectionsOverTheLimitAreClosed(t *testing.T) {
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	server.Config.ConnState = NewConnLimit(1).ConnState
	server.Start()
	defer server.Close()
	get := func(client *http.Client) error {
		resp, err := client.Get(server.URL)
		if err == nil {
			err = resp.Body.Close()
		}
		return err
	}
	first, second := &http.Client{Transport: &http.Transport{}}, &http.Client{Transport: &http.Transport{}}
	assert.NilError(t, get(first))
	assert.Assert(t, get(second) != nil)
	first.CloseIdleConnections()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if get(second) == nil {
			return poll.Success()
		}
		return poll.Continue("the closed connection still counts")
	}, poll.WithDelay(time.Millisecond))
}

func TestPlannedStopLeavesTheBalancerFirstAndThenRefusesNewJobs(t *testing.T) {
	b := newConfiguredBed(t)
	assert.Equal(t, b.call(http.MethodGet, api.PathReady, "", nil).status, http.StatusOK)
	b.gate.Leave()
	assert.Equal(t, b.call(http.MethodGet, api.PathReady, "", nil).status, http.StatusServiceUnavailable)
	assert.Equal(t, b.call(http.MethodPost, api.PathJobs, haneulKey, submitBody(nil)).status, http.StatusOK)
	b.gate.Drain()
	b.wantError(b.call(http.MethodPost, api.PathJobs, haneulKey, submitBody(nil)), errkind.Draining)
	assert.Equal(t, b.call(http.MethodGet, api.PathJobs+"/r-1", haneulKey, nil).status, http.StatusAccepted)
}

func TestUnknownOperationGetsANamedError(t *testing.T) {
	b := newConfiguredBed(t)
	b.wantError(b.call(http.MethodGet, "/v2/jobs", haneulKey, nil), errkind.InvalidRequest)
}

func FuzzDecodeSubmit(f *testing.F) {
	f.Add([]byte(`{"request_id":"r","caller":"c","class":"k","shape":{"cells":1}}`))
	f.Add([]byte(`{"shape":{"cells":1e300}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var req api.SubmitRequest
		if decodeStrict(data, &req) != nil {
			return
		}
		submit := newSubmit(req, config.Organisation{Name: "o"})
		if submit.Wait < 0 || submit.Job.Timeout < 0 || submit.Job.Declared < 0 || submit.Job.Shape.Accelerators() < 0 {
			t.Fatalf("accepted a request out of range: %+v", submit)
		}
	})
}

func FuzzDecodeApply(f *testing.F) {
	data, err := json.Marshal(api.ApplyRequest{Set: testSet()})
	assert.NilError(f, err)
	f.Add(data)
	f.Add([]byte(`{"set":{"racks":[{"workers":[{}]}]}}`))
	f.Fuzz(func(_ *testing.T, data []byte) {
		var req api.ApplyRequest
		if decodeStrict(data, &req) == nil && len(req.Set.Check()) == 0 {
			_ = req.Set.Core(1)
		}
	})
}
