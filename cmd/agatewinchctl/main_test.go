package main

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"go.yaml.in/yaml/v3"
	"gotest.tools/v3/assert"

	"agatewinch/internal/api"
	"agatewinch/internal/config"
	"agatewinch/internal/core"
	"agatewinch/internal/errkind"
	"agatewinch/internal/metrics"
	"agatewinch/internal/wire"
)

const examples = "../../examples/config"

// stubGate answers every request with a fixed status and body, and records the requests.
type stubGate struct {
	*httptest.Server
	requests []string
	status   int
	body     any
}

func newStub(t *testing.T, status int, body any) *stubGate {
	t.Helper()
	s := &stubGate{status: status, body: body}
	s.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.requests = append(s.requests, r.Method+" "+r.URL.RequestURI())
		w.WriteHeader(s.status)
		_ = json.NewEncoder(w).Encode(s.body)
	}))
	t.Cleanup(s.Close)
	return s
}

type result struct {
	code     int
	out, err string
}

func (s *stubGate) ctl(args ...string) result {
	return ctl(append([]string{"--gate", s.URL, "--key", "k"}, args...)...)
}

func ctl(args ...string) result {
	var out, errOut bytes.Buffer
	code := execute(context.Background(), args, &out, &errOut)
	return result{code, out.String(), errOut.String()}
}

func errorBody(kind errkind.Kind) api.ErrorAnswer {
	return api.ErrorAnswer{Error: api.NewErrorBody(&errkind.Error{Kind: kind, Message: "because"})}
}

func TestExitCodeDependsOnTheErrorKind(t *testing.T) {
	for kind, want := range map[errkind.Kind]int{
		errkind.InvalidRequest: exitUsage, errkind.Unauthenticated: exitAccessDenied, errkind.Conflict: exitConflict,
		errkind.NotFound: exitNotFound, errkind.QueueFull: exitTryAgain, errkind.TaskFailed: exitJobFailed,
		errkind.OutcomeUnknown: exitOutcomeUnknown, errkind.Internal: exitInternal,
	} {
		s := newStub(t, errkind.PropertiesOf(kind).Status, errorBody(kind))
		r := s.ctl("get", "job", "r-1")
		assert.Equal(t, r.code, want, "%s: %s", kind, r.err)
		assert.Assert(t, strings.Contains(r.err, "because"), r.err)
	}
}

// TestEveryErrorKindHasAnExitCode allows exit code 1 for internal errors only.
func TestEveryErrorKindHasAnExitCode(t *testing.T) {
	for _, kind := range errkind.Kinds() {
		if kind != errkind.Internal {
			assert.Assert(t, kindExitCode(kind) > exitInternal, "%s", kind)
		}
	}
}

func TestUnreachableGateAndLostResponseHaveDifferentExitCodes(t *testing.T) {
	assert.Equal(t, ctl("--gate", "http://127.0.0.1:1", "status").code, exitUnreachable)
	abortingGate := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	defer abortingGate.Close()
	assert.Equal(t, ctl("--gate", abortingGate.URL, "cancel", "r-1").code, exitOutcomeUnknown)
}

func TestUsageErrorsExitWithTheUsageCode(t *testing.T) {
	for _, args := range [][]string{{"nosuch"}, {"status", "-o", "xml"}, {"explain"}, {"apply"}, {"apply", "--nosuch"}, {"apply", "-f", "/no/dir"}} {
		assert.Equal(t, ctl(args...).code, exitUsage, "%v", args)
	}
}

func TestInvalidFilesAreListedAndNothingIsSent(t *testing.T) {
	dir := t.TempDir()
	assert.NilError(t, os.WriteFile(filepath.Join(dir, "a.yaml"), []byte("racks:\n- {name: r, zone: z, wrokers: []}\n"), 0o600))
	s := newStub(t, http.StatusOK, api.ConfigAnswer{})
	r := s.ctl("apply", "-f", dir)
	assert.Equal(t, r.code, exitUsage)
	assert.Assert(t, strings.Contains(r.err, "a.yaml:2: racks[0].wrokers: unknown field"), r.err)
	assert.Assert(t, strings.Contains(r.err, "no key has role operator"), r.err)
	assert.Equal(t, len(s.requests), 0)
}

func TestApplyBuildsOnTheGenerationInForce(t *testing.T) {
	s := newStub(t, http.StatusOK, api.ConfigAnswer{Generation: 7})
	r := s.ctl("apply", "-f", examples)
	assert.Equal(t, r.code, exitOK, r.err)
	assert.DeepEqual(t, s.requests, []string{"GET /v1/config", "PUT /v1/config"})
	assert.Assert(t, strings.Contains(r.out, "applied"), r.out)
	assert.Equal(t, s.ctl("apply", "-f", examples, "--base", "3").code, exitOK)
	assert.Equal(t, len(s.requests), 3, "apply --base must not request the generation in force")
}

func TestApplyIsRetriedWithTheSameIDAfterALostResponse(t *testing.T) {
	var ids []string
	gate := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var req api.ApplyRequest
		_ = json.NewDecoder(r.Body).Decode(&req)
		ids = append(ids, req.ID)
		if len(ids) == 1 {
			panic(http.ErrAbortHandler)
		}
		_ = json.NewEncoder(w).Encode(api.ApplyAnswer{Generation: 8})
	}))
	defer gate.Close()
	r := ctl("--gate", gate.URL, "--key", "k", "apply", "-f", examples, "--base", "7")
	assert.Equal(t, r.code, exitOK, r.err)
	assert.Equal(t, len(ids), 2)
	assert.Assert(t, ids[0] != "" && ids[0] == ids[1])
}

func TestDiffListsTheChangesAndExitsWithItsCode(t *testing.T) {
	set, err := config.LoadDir(examples)
	assert.NilError(t, err)
	same := newStub(t, http.StatusOK, api.ConfigAnswer{Generation: 1, Set: set})
	assert.Equal(t, same.ctl("diff", "-f", examples).code, exitOK)
	changed := *set
	changed.Organisations = append([]config.Organisation{{Name: "gone"}}, set.Organisations[1:]...)
	r := newStub(t, http.StatusOK, api.ConfigAnswer{Generation: 1, Set: &changed}).ctl("diff", "-f", examples)
	assert.Equal(t, r.code, exitDifferent)
	assert.Assert(t, strings.Contains(r.out, "removed  organisation gone"), r.out)
	assert.Assert(t, strings.Contains(r.out, "added    organisation haneul"), r.out)
	assert.Equal(t, r.err, "")
}

func TestShownConfigurationCanBeDecodedAgain(t *testing.T) {
	set, err := config.LoadDir(examples)
	assert.NilError(t, err)
	r := newStub(t, http.StatusOK, api.ConfigAnswer{Generation: 4, Set: set}).ctl("get", "config")
	reloaded, err := config.Decode([]config.File{{Name: "out.yaml", Data: []byte(r.out)}})
	assert.NilError(t, err)
	assert.Equal(t, len(config.Diff(set, reloaded)), 0)
}

func TestOutputFormatsCarryTheSameFields(t *testing.T) {
	s := newStub(t, http.StatusOK, core.Explanation{Job: "haneul:r", State: core.Queued, Reason: "short", Shortages: []core.Shortage{{Where: "r1", Resource: "cells", Needed: 2}}})
	table := s.ctl("explain", "haneul:r").out
	assert.Assert(t, strings.Contains(table, "WHERE") && strings.Contains(table, "cells"), table)
	var fromJSON, fromYAML map[string]any
	assert.NilError(t, json.Unmarshal([]byte(s.ctl("explain", "haneul:r", "-o", "json").out), &fromJSON))
	assert.NilError(t, yaml.Unmarshal([]byte(s.ctl("explain", "haneul:r", "-o", "yaml").out), &fromYAML))
	assert.Equal(t, fromJSON["reason"], fromYAML["reason"])
	assert.Equal(t, len(fromJSON), len(fromYAML))
	assert.Equal(t, s.requests[0], "GET /v1/organisations/haneul/r/explanation")
}

func TestFailedJobIsPrintedAndExitsWithTheCodeOfItsErrorKind(t *testing.T) {
	body := api.NewErrorBody(&errkind.Error{Kind: errkind.TaskFailed, Message: "boom"})
	s := newStub(t, http.StatusBadGateway, api.JobAnswer{RequestID: "r", JobID: "o:r", State: core.Failed, Error: &body})
	r := s.ctl("submit", "r", "--class", "c")
	assert.Equal(t, r.code, exitJobFailed)
	assert.Assert(t, strings.Contains(r.out, "task_failed: boom"), r.out)
}

func TestTopShowsLoadLatenciesAndErrors(t *testing.T) {
	row := metrics.Row{Organisation: "haneul", Class: "check", Source: metrics.SourceScheduler, Measure: metrics.Start, Recent: metrics.Summary{Count: 3, P99: 1.5}}
	s := newStub(t, http.StatusOK, struct {
		api.StatusAnswer
		api.VarsAnswer
	}{
		api.StatusAnswer{Schedulers: []wire.StatusReply{{Host: "h1", Zone: "kr-a", Active: true, Metrics: []metrics.Row{row}}}},
		api.VarsAnswer{Agatewinch: metrics.Snapshot{Errors: map[errkind.Kind]uint64{errkind.QueueFull: 9}}},
	})
	r := s.ctl("top", "--once")
	assert.Equal(t, r.code, exitOK, r.err)
	for _, want := range []string{"kr-a", "haneul", "scheduler", "1.5", "queue_full  9"} {
		assert.Assert(t, strings.Contains(r.out, want), "no %q in\n%s", want, r.out)
	}
}

func TestEveryCommandHasHelpWithAnExample(t *testing.T) {
	root := newRoot(&app{})
	for _, cmd := range root.Commands() {
		assert.Assert(t, cmd.Short != "" && cmd.Example != "", cmd.Name())
	}
	assert.Assert(t, strings.Contains(ctl("completion", "bash").out, "agatewinchctl"))
}
