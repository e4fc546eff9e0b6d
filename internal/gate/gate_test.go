package gate

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"agatewinch/internal/api"
	"agatewinch/internal/config"
	"agatewinch/internal/core"
	"agatewinch/internal/errkind"
	"agatewinch/internal/wire"
)

func TestSubmitIsAnsweredWithItsRequestID(t *testing.T) {
	h := newConfiguredHarness(t)
	r := h.call(http.MethodPost, api.PathJobs, haneulKey, submitBody(nil))
	assert.Equal(t, r.status, http.StatusOK, r.text)
	assert.Equal(t, r.header.Get(api.HeaderRequestID), "r-1")
	job := h.sched.submits[0].Job
	assert.Equal(t, job.ID, core.JobID("haneul:r-1"))
	assert.Assert(t, !job.Logged && job.Waiting)
}

func TestBadRequestsGetTheirErrorKindAndTheGateKeepsServing(t *testing.T) {
	h := newConfiguredHarness(t)
	cases := []struct {
		name, key string
		body      any
		want      errkind.Kind
	}{
		{"not JSON", haneulKey, "{", errkind.InvalidRequest},
		{"two JSON values", haneulKey, "{}{}", errkind.InvalidRequest},
		{"unknown field", haneulKey, `{"request_id":"r-1","colour":1}`, errkind.InvalidRequest},
		{"oversized", haneulKey, `{"request_id":"` + strings.Repeat("x", maxCallerBodyBytes) + `"}`, errkind.TooLarge},
		{"unknown key", "nobody", submitBody(nil), errkind.Unauthenticated},
		{"operator's key", operatorKey, submitBody(nil), errkind.Forbidden},
		{"unknown organisation", haneulKey, submitBody(func(r *api.SubmitRequest) { r.Organisation = "atlantis" }), errkind.UnknownOrg},
		{"another organisation", haneulKey, submitBody(func(r *api.SubmitRequest) { r.Organisation = "east" }), errkind.Forbidden},
		{"unknown class", haneulKey, submitBody(func(r *api.SubmitRequest) { r.Class = "chekc" }), errkind.UnknownClass},
		{"class not allowed for the organisation", haneulKey, submitBody(func(r *api.SubmitRequest) { r.Class = "survey" }), errkind.Forbidden},
		{"too many accelerators", haneulKey, submitBody(func(r *api.SubmitRequest) { r.Shape.Cells = 3 }), errkind.LimitExceeded},
		{"declared run time over the limit", haneulKey, submitBody(func(r *api.SubmitRequest) { r.DeclaredRunSeconds = 3601 }), errkind.LimitExceeded},
		{"bad request ID", haneulKey, submitBody(func(r *api.SubmitRequest) { r.RequestID = "a/b" }), errkind.InvalidRequest},
		{"no cells", haneulKey, submitBody(func(r *api.SubmitRequest) { r.Shape.Cells = 0 }), errkind.InvalidRequest},
		{"wait over the limit", haneulKey, submitBody(func(r *api.SubmitRequest) { r.WaitSeconds = 31 }), errkind.InvalidRequest},
		{"negative deadline", haneulKey, submitBody(func(r *api.SubmitRequest) { r.DeadlineSeconds = -1 }), errkind.InvalidRequest},
		{"large payload", haneulKey, submitBody(func(r *api.SubmitRequest) {
			r.Payload = json.RawMessage(`"` + strings.Repeat("x", 262144) + `"`)
		}), errkind.InvalidRequest},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h.wantError(h.call(http.MethodPost, api.PathJobs, c.key, c.body), c.want)
		})
	}
	assert.Equal(t, len(h.sched.submits), 0, "a refused request reached a scheduler")
	assert.Equal(t, h.call(http.MethodPost, api.PathJobs, haneulKey, submitBody(nil)).status, http.StatusOK)
}

func TestErrorResponsesCarryTheRequestIDEvenIfTheBodyIsInvalid(t *testing.T) {
	h := newConfiguredHarness(t)
	r := h.call(http.MethodPost, api.PathJobs, haneulKey, `{"request_id":"r-9","colour":1}`)
	h.wantError(r, errkind.InvalidRequest)
	assert.Equal(t, r.err.RequestID, "r-9")
	r = h.call(http.MethodGet, api.PathJobs+"/r-10?wait_seconds=NaN", haneulKey, nil)
	h.wantError(r, errkind.InvalidRequest)
	assert.Equal(t, r.err.RequestID, "r-10")
}

func TestSchedulerErrorKeepsItsKindAndRetryAfter(t *testing.T) {
	h := newConfiguredHarness(t)
	h.sched.mu.Lock()
	h.sched.refuse = &errkind.Error{Kind: errkind.QueueFull, Message: "full", RetryAfterSeconds: 2.5}
	h.sched.mu.Unlock()
	r := h.call(http.MethodPost, api.PathJobs, haneulKey, submitBody(nil))
	h.wantError(r, errkind.QueueFull)
	assert.Equal(t, r.header.Get("Retry-After"), "3")
	assert.Equal(t, r.err.RequestID, "r-1")
	assert.Equal(t, h.gate.metrics.Snapshot().Errors[errkind.QueueFull], uint64(1))
}

func TestRetryWithAnotherWaitIsTheSameRequest(t *testing.T) {
	org := config.Organisation{Name: "haneul"}
	first := newSubmit(submitBody(nil), org)
	again := newSubmit(submitBody(func(r *api.SubmitRequest) { r.WaitSeconds = 30; r.Organisation = "haneul" }), org)
	other := newSubmit(submitBody(func(r *api.SubmitRequest) { r.Shape.Cells = 2 }), org)
	assert.Equal(t, first.Digest, again.Digest)
	assert.Assert(t, first.Digest != other.Digest)
}

func TestOnlyOperatorKeysInSettingsAreValidBeforeFirstConfiguration(t *testing.T) {
	h := newHarness(t, DefaultLimits)
	h.wantError(h.call(http.MethodPut, api.PathConfig, "anybody", api.ApplyRequest{Set: testSet()}), errkind.Unauthenticated)
	h.wantError(h.call(http.MethodPost, api.PathJobs, haneulKey, submitBody(nil)), errkind.NoConfiguration)
	h.wantError(h.call(http.MethodPost, api.PathJobs, operatorKey, submitBody(nil)), errkind.Forbidden)
	set := testSet()
	set.Keys[0].SHA256 = config.HashKey("new-operator-key")
	assert.Equal(t, h.call(http.MethodPut, api.PathConfig, operatorKey, api.ApplyRequest{Set: set}).status, http.StatusOK)
	h.wantError(h.call(http.MethodGet, api.PathConfig, operatorKey, nil), errkind.Unauthenticated)
	assert.Equal(t, h.call(http.MethodGet, api.PathConfig, "new-operator-key", nil).status, http.StatusOK)
}

func TestInvalidSetIsRejectedWithEveryFault(t *testing.T) {
	h := newConfiguredHarness(t)
	set := testSet()
	set.Racks[0].Workers[0].CPU = 0
	set.Keys[1].Organisation = "atlantis"
	r := h.call(http.MethodPut, api.PathConfig, operatorKey, api.ApplyRequest{Base: 1, Set: set})
	h.wantError(r, errkind.InvalidConfig)
	assert.Assert(t, strings.Contains(r.err.Error.Message, "racks[0].workers[0].cpu"), r.text)
	assert.Assert(t, strings.Contains(r.err.Error.Message, "atlantis"), r.text)
}

func TestApplyOnAnOldGenerationReturnsConflictNamingBothGenerations(t *testing.T) {
	h := newConfiguredHarness(t)
	assert.Equal(t, h.call(http.MethodPut, api.PathConfig, operatorKey, api.ApplyRequest{Base: 1, Set: testSet()}).status, http.StatusOK)
	r := h.call(http.MethodPut, api.PathConfig, operatorKey, api.ApplyRequest{Base: 1, Set: testSet()})
	h.wantError(r, errkind.Conflict)
	assert.Equal(t, r.err.Error.Message, "built on generation 1, but generation 2 is in force")
}

func TestCallersCannotUseTheOperatorsInterface(t *testing.T) {
	h := newConfiguredHarness(t)
	for _, rt := range h.gate.routes() {
		if rt.role != config.RoleOperator {
			continue
		}
		path := strings.NewReplacer("{organisation}", "haneul", "{request}", "r-1", "{host}", "w1").Replace(rt.path)
		h.wantError(h.call(rt.method, path, haneulKey, nil), errkind.Forbidden)
	}
}

func TestOperatorsCancelExplainAndDrain(t *testing.T) {
	h := newConfiguredHarness(t)
	job := api.PathOrganisations + "/haneul/r-1"
	assert.Equal(t, h.call(http.MethodDelete, job, operatorKey, nil).status, http.StatusAccepted)
	assert.Equal(t, h.sched.cancels[0].Job, core.JobID("haneul:r-1"))
	r := h.call(http.MethodGet, job+"/explanation", operatorKey, nil)
	assert.Assert(t, strings.Contains(r.text, "no free cell"), r.text)
	assert.Equal(t, h.call(http.MethodPut, api.PathDrains+"/w1", operatorKey, nil).status, http.StatusOK)
	assert.Equal(t, h.call(http.MethodDelete, api.PathDrains+"/w1", operatorKey, nil).status, http.StatusOK)
	assert.DeepEqual(t, h.sched.drains, []wire.Drain{{Worker: "w1"}, {Worker: "w1", Undo: true}})
	h.wantError(h.call(http.MethodPut, api.PathDrains+"/w9", operatorKey, nil), errkind.NotFound)
	h.wantError(h.call(http.MethodDelete, api.PathOrganisations+"/atlantis/r-1", operatorKey, nil), errkind.UnknownOrg)
}

func TestOnlyTheOrganisationOverItsRateIsRefused(t *testing.T) {
	h := newConfiguredHarness(t)
	refused := response{}
	for range 20 {
		if r := h.call(http.MethodPost, api.PathJobs, eastKey, submitBody(nil)); r.status != http.StatusOK {
			refused = r
			break
		}
	}
	h.wantError(refused, errkind.RateLimited)
	assert.Equal(t, refused.err.RequestID, "r-1")
	assert.Assert(t, refused.header.Get("Retry-After") != "")
	assert.Equal(t, h.call(http.MethodPost, api.PathJobs, haneulKey, submitBody(nil)).status, http.StatusOK)
}

func TestCallersCannotUseUpOperatorRequests(t *testing.T) {
	open := openRequests{maxCallers: 2, maxOperators: 1}
	for range 2 {
		_, err := open.acquire(config.RoleCaller)
		assert.NilError(t, err)
	}
	_, err := open.acquire(config.RoleCaller)
	assert.Assert(t, errkind.Is(err, errkind.Overloaded))
	release, err := open.acquire(config.RoleOperator)
	assert.NilError(t, err)
	release()
	_, err = open.acquire(config.RoleOperator)
	assert.NilError(t, err)
}

func TestGracefulShutdownFailsReadinessFirstAndThenRefusesNewJobs(t *testing.T) {
	h := newConfiguredHarness(t)
	assert.Equal(t, h.call(http.MethodGet, api.PathReady, "", nil).status, http.StatusOK)
	h.gate.Leave()
	assert.Equal(t, h.call(http.MethodGet, api.PathReady, "", nil).status, http.StatusServiceUnavailable)
	assert.Equal(t, h.call(http.MethodPost, api.PathJobs, haneulKey, submitBody(nil)).status, http.StatusOK)
	h.gate.Drain()
	h.wantError(h.call(http.MethodPost, api.PathJobs, haneulKey, submitBody(nil)), errkind.Draining)
	assert.Equal(t, h.call(http.MethodGet, api.PathJobs+"/r-1", haneulKey, nil).status, http.StatusAccepted)
}

func TestUnknownOperationIsAnInvalidRequest(t *testing.T) {
	h := newConfiguredHarness(t)
	h.wantError(h.call(http.MethodGet, "/v2/jobs", haneulKey, nil), errkind.InvalidRequest)
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
