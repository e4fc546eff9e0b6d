package faults

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"agatewinch/internal/api"
	"agatewinch/internal/core"
	"agatewinch/internal/errkind"
	"agatewinch/internal/standin"
	"agatewinch/test/harness"
)

var baseTime = time.Unix(1000, 0)

// ledgerEntryAt returns a ledger entry for the only task of job o:r, at the given time
// after baseTime.
func ledgerEntryAt(kind standin.EntryKind, attempt int, at time.Duration) standin.Entry {
	return standin.Entry{
		Kind: kind, Worker: "w1", Task: core.TaskRef{Job: "o:r", Attempt: attempt}, Cells: 1,
		OK: kind == standin.EntryEnded, At: at + 1, Unix: baseTime.Add(at).UnixNano(),
	}
}

// answerAt returns a call that was sent at the given time after baseTime and whose response has
// the given state.
func answerAt(state core.JobState, ran errkind.Ran, at time.Duration) harness.Call {
	c := harness.Call{Kind: harness.CallSubmit, Gate: "g", Dialled: true, Sent: baseTime.Add(at), Returned: baseTime.Add(at + time.Millisecond), Status: 200}
	c.Answer = api.JobAnswer{RequestID: "r", JobID: "o:r", State: state}
	if state == core.Succeeded {
		c.Answer.Outputs = []api.Output{{Worker: "w1", Text: "nonce"}}
	}
	if ran != "" {
		c.Answer.Error = &api.ErrorBody{Kind: errkind.TaskFailed, Ran: ran}
	}
	return c
}

func request(calls ...harness.Call) *harness.Request {
	r := &harness.Request{Org: "o", Nonce: "nonce", Body: api.SubmitRequest{RequestID: "r", Shape: core.Shape{Cells: 1}}}
	r.Record(calls...)
	return r
}

func validEvidence() Evidence {
	const s = time.Second
	return Evidence{
		LeaseTTL: s,
		Requests: []*harness.Request{request(answerAt(core.Queued, "", 0), answerAt(core.Succeeded, "", 4*s))},
		Ledger:   []standin.Entry{ledgerEntryAt(standin.EntryStarted, 1, s), ledgerEntryAt(standin.EntryEnded, 1, 2*s)},
		Applies:  []Apply{{Base: 1, Generation: 2, At: baseTime}, {Base: 2, Generation: 3, At: baseTime.Add(s)}},
		Samples:  []Sample{{Process: "p", Host: "h", Generation: 2, At: baseTime.Add(s)}, {Process: "p", Host: "h", Generation: 3, At: baseTime.Add(5 * s)}},
	}
}

func TestValidEvidenceHasNoFinding(t *testing.T) {
	assert.DeepEqual(t, validEvidence().Findings(), []string(nil))
}

func TestEachCheckReportsItsViolation(t *testing.T) {
	const s = time.Second
	for name, tc := range map[string]struct {
		modify func(*Evidence)
		want   string
	}{
		"second run": {func(e *Evidence) {
			e.Ledger = append(e.Ledger, ledgerEntryAt(standin.EntryStarted, 2, 3*s))
		}, "started 2 times"},
		"second run makes the history invalid": {func(e *Evidence) {
			e.Ledger = append(e.Ledger, ledgerEntryAt(standin.EntryStarted, 2, 3*s))
		}, "history is not linearizable"},
		"success reported before the end": {func(e *Evidence) {
			e.Requests = []*harness.Request{request(answerAt(core.Succeeded, "", s/2))}
		}, "history is not linearizable"},
		"not-run reported for a job that ran": {func(e *Evidence) {
			e.Requests = []*harness.Request{request(answerAt(core.Failed, errkind.RanNo, 0))}
		}, "was reported as not run"},
		"every call refused as not run but the job ran": {func(e *Evidence) {
			c := answerAt("", errkind.RanNo, 0)
			e.Requests = []*harness.Request{request(c, c)}
		}, "was reported as not run"},
		"run reported for a job that did not run": {func(e *Evidence) {
			e.Ledger = nil
			e.Requests = []*harness.Request{request(answerAt(core.Failed, errkind.RanYes, 0))}
		}, "history is not linearizable"},
		"accepted job without an end": {func(e *Evidence) {
			c := answerAt(core.Queued, "", 0)
			c.Status = 202
			e.Requests = []*harness.Request{request(c)}
		}, "never ended"},
		"another request's answer": {func(e *Evidence) {
			c := answerAt(core.Succeeded, "", 4*s)
			c.Answer.JobID = "o:other"
			e.Requests = []*harness.Request{request(c)}
		}, "an answer for o:other"},
		"start on a leaving worker": {func(e *Evidence) {
			leaving := standin.Entry{Kind: standin.EntryLeaving, Worker: "w1", At: 1}
			e.Ledger = []standin.Entry{leaving, ledgerEntryAt(standin.EntryStarted, 1, 4*s), ledgerEntryAt(standin.EntryEnded, 1, 4*s)}
		}, "had been leaving"},
		"generation decreases": {func(e *Evidence) {
			e.Samples = append(e.Samples, Sample{Process: "p", Host: "h", Generation: 2, At: baseTime.Add(9 * s)})
		}, "back to 2"},
		"generation in force too late": {func(e *Evidence) {
			e.Samples[1] = Sample{Process: "p", Host: "h", Generation: 2, At: baseTime.Add(4*s + s/2)}
		}, "after generation 3 was accepted"},
		"two applies accepted on one base": {func(e *Evidence) {
			e.Applies[1].Base = 1
		}, "both accepted on base generation 1"},
		"call cut off by a graceful shutdown": {func(e *Evidence) {
			lost := harness.Call{Kind: harness.CallGet, Gate: "g", Lost: true, Dialled: true, Sent: baseTime, Returned: baseTime.Add(2 * s)}
			e.Requests = append(e.Requests, request(lost, answerAt(core.Succeeded, "", 4*s)))
			e.Terminations = []Termination{{Gate: "g", At: baseTime.Add(s)}}
		}, "cut off by the graceful shutdown"},
		"graceful shutdown that does not end": {func(e *Evidence) {
			e.Terminations = []Termination{{At: baseTime, Late: true}}
		}, "did not end in time"},
	} {
		t.Run(name, func(t *testing.T) {
			e := validEvidence()
			tc.modify(&e)
			findings := strings.Join(e.Findings(), "\n")
			assert.Assert(t, strings.Contains(findings, tc.want), "findings: %s", findings)
		})
	}
}

func TestLateGenerationOnUnreachableHostIsIgnored(t *testing.T) {
	e := validEvidence()
	e.Samples[1] = Sample{Process: "p", Host: "h", Generation: 2, At: baseTime.Add(4500 * time.Millisecond)}
	e.Outages = []Outage{{Hosts: []string{"h"}, Began: baseTime, End: baseTime.Add(2 * time.Second)}}
	assert.DeepEqual(t, e.Findings(), []string(nil))
}
