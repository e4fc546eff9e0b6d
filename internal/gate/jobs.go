package gate

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"agatewinch/internal/api"
	"agatewinch/internal/config"
	"agatewinch/internal/core"
	"agatewinch/internal/errkind"
	"agatewinch/internal/metrics"
	"agatewinch/internal/wire"
)

// listLimit bounds the number of jobs that one scheduler lists.
const listLimit = 1000

// submit submits a job and, if the request asks for it, waits for the outcome.
func (g *Gate) submit(ctx context.Context, x *exchange) error {
	started := time.Now()
	cur := g.follower.Current()
	org, err := g.callerOrganisation(cur, x.key)
	if err != nil {
		return err
	}
	var req api.SubmitRequest
	if err := x.decode(&req); err != nil {
		return err
	}
	if err := g.rateLimiter.take(cur, org, req.Caller, started); err != nil {
		return err
	}
	if g.draining.Load() {
		return retryError(errkind.Draining, "this host is shutting down and accepts no new jobs", minRetryAfter)
	}
	if err := checkSubmit(cur.Set, org, req); err != nil {
		return err
	}
	reply, err := g.router.Submit(ctx, newSubmit(req, org))
	if err != nil {
		return err
	}
	if reply.Outcome != nil {
		g.metrics.Observe(org.Name, req.Class, metrics.Completion, time.Since(started))
	}
	x.answerJob(reply)
	return nil
}

func (g *Gate) callerOrganisation(cur config.Accepted, key config.Key) (config.Organisation, error) {
	org, ok := cur.Set.Organisation(key.Organisation)
	if !ok {
		return org, errkind.New(errkind.UnknownOrg, "organisation %q is not configured", key.Organisation)
	}
	return org, nil
}

// checkSubmit checks a request against the configuration: its organisation, its class and
// their limits.
func checkSubmit(set *config.Set, org config.Organisation, req api.SubmitRequest) error {
	if req.Organisation != "" && req.Organisation != org.Name {
		if _, ok := set.Organisation(req.Organisation); !ok {
			return errkind.New(errkind.UnknownOrg, "organisation %q is not configured", req.Organisation)
		}
		return errkind.New(errkind.Forbidden, "the key is valid for organisation %s only", org.Name)
	}
	class, ok := set.Class(req.Class)
	if !ok {
		return errkind.New(errkind.UnknownClass, "class %q is not configured", req.Class)
	}
	if !mayUseClass(org, req.Class) {
		return errkind.New(errkind.Forbidden, "organisation %s may not submit class %s", org.Name, req.Class)
	}
	return checkLimits(org, class, req)
}

func mayUseClass(org config.Organisation, class string) bool {
	if len(org.Classes) == 0 {
		return true
	}
	for _, c := range org.Classes {
		if c == class {
			return true
		}
	}
	return false
}

func checkLimits(org config.Organisation, class config.Class, req api.SubmitRequest) error {
	total := req.Shape.Accelerators()
	if class.MaxAccelerators > 0 && total > class.MaxAccelerators {
		return errkind.New(errkind.LimitExceeded, "the job needs %d accelerators; class %s allows %d", total, class.Name, class.MaxAccelerators)
	}
	if org.Quota > 0 && total > org.Quota {
		return errkind.New(errkind.LimitExceeded, "the job needs %d accelerators; organisation %s has a quota of %d", total, org.Name, org.Quota)
	}
	declared := seconds(req.DeclaredRunSeconds)
	if limit := class.RunTimeLimit(); limit > 0 && declared > limit {
		return errkind.New(errkind.LimitExceeded, "the job declares a run time of %v; class %s allows %v", declared, class.Name, limit)
	}
	return nil
}

// newSubmit builds the message to a scheduler. Its digest identifies the content of the
// request. The caller's wait is left out, so that a retry with another wait counts as the
// same request.
func newSubmit(req api.SubmitRequest, org config.Organisation) wire.Submit {
	id, request := core.OrgID(org.Name), core.RequestID(req.RequestID)
	wait := seconds(req.WaitSeconds)
	req.WaitSeconds, req.Organisation = 0, org.Name
	canonical, _ := json.Marshal(req) // a decoded request always encodes
	return wire.Submit{
		Wait: wait, Digest: xxhash.Sum64(canonical),
		Job: core.Job{
			ID: core.MakeJobID(id, request), Request: request, Org: id,
			Caller: core.CallerID(req.Caller), Class: core.ClassName(req.Class), Shape: req.Shape,
			Declared: seconds(req.DeclaredRunSeconds), Timeout: seconds(req.DeadlineSeconds),
			Idempotent: req.Idempotent, Logged: !req.Idempotent || wait == 0, Waiting: wait > 0, Payload: req.Payload,
		},
	}
}

// answerJob responds with a job's state. The HTTP status is 202 for a job that has not
// ended, 200 for one that succeeded, and otherwise the status of the outcome's error kind.
func (x *exchange) answerJob(reply wire.JobReply) {
	answer := api.JobAnswer{RequestID: x.requestID, JobID: reply.Job, State: reply.State, Workers: reply.Workers}
	status := http.StatusAccepted
	if out := reply.Outcome; out != nil {
		status = http.StatusOK
		answer.Outputs = outputs(out.Outputs)
		if out.Kind != errkind.None {
			x.gate.metrics.Error(out.Kind)
			body := api.NewErrorBody(&errkind.Error{Kind: out.Kind, Message: out.Message})
			body.Ran = out.Ran
			answer.Error = &body
			status = errkind.PropertiesOf(out.Kind).Status
		}
	}
	x.answer(status, answer)
}

func outputs(tasks []core.TaskOutput) []api.Output {
	var out []api.Output
	for _, t := range tasks {
		out = append(out, api.Output{Worker: t.Worker, Text: string(t.Output)})
	}
	return out
}

// pathJob returns the ID of the organisation's job whose request ID is in the path.
func (x *exchange) pathJob(org string) (core.JobID, error) {
	if !requestIDPattern.MatchString(x.r.PathValue("request")) {
		return "", errkind.New(errkind.InvalidRequest, "the path has no valid request ID")
	}
	return core.MakeJobID(core.OrgID(org), core.RequestID(x.requestID)), nil
}

// get responds with a job's state, after waiting up to wait_seconds for the job to end.
func (g *Gate) get(ctx context.Context, x *exchange) error {
	job, err := x.pathJob(x.key.Organisation)
	if err != nil {
		return err
	}
	return g.answerWait(ctx, x, job)
}

func (g *Gate) answerWait(ctx context.Context, x *exchange, job core.JobID) error {
	wait, err := waitSeconds(x.r)
	if err != nil {
		return err
	}
	reply, err := g.router.Wait(ctx, wire.Wait{Job: job, Wait: seconds(wait)})
	if err != nil {
		return err
	}
	x.answerJob(reply)
	return nil
}

func waitSeconds(r *http.Request) (float64, error) {
	text := r.URL.Query().Get("wait_seconds")
	if text == "" {
		return 0, nil
	}
	wait, err := strconv.ParseFloat(text, 64)
	if err != nil || !(wait >= 0 && wait <= api.MaxWaitSeconds) {
		return 0, errkind.New(errkind.InvalidRequest, "wait_seconds must be a number from 0 to %d", api.MaxWaitSeconds)
	}
	return wait, nil
}

// cancel cancels a job of the caller's organisation.
func (g *Gate) cancel(ctx context.Context, x *exchange) error {
	job, err := x.pathJob(x.key.Organisation)
	if err != nil {
		return err
	}
	return g.answerCancel(ctx, x, job)
}

func (g *Gate) answerCancel(ctx context.Context, x *exchange, job core.JobID) error {
	reply, err := g.router.Cancel(ctx, wire.Cancel{Job: job})
	if err != nil {
		return err
	}
	x.answerJob(reply)
	return nil
}

// listOwn lists the live jobs of the caller's organisation. It counts towards the
// organisation's request rate because it calls every scheduler.
func (g *Gate) listOwn(ctx context.Context, x *exchange) error {
	cur := g.follower.Current()
	org, err := g.callerOrganisation(cur, x.key)
	if err != nil {
		return err
	}
	if err := g.rateLimiter.take(cur, org, x.key.Name, time.Now()); err != nil {
		return err
	}
	return g.answerList(ctx, x, core.OrgID(x.key.Organisation))
}

func (g *Gate) answerList(ctx context.Context, x *exchange, org core.OrgID) error {
	replies, unreachable := fanOut[wire.ListReply](ctx, g, wire.KindList, wire.List{Org: org, Limit: listLimit})
	answer := api.ListAnswer{Jobs: []api.JobSummary{}, Unreachable: unreachable}
	for _, reply := range replies {
		for _, j := range reply.Jobs {
			answer.Jobs = append(answer.Jobs, api.NewJobSummary(j))
		}
	}
	x.answer(http.StatusOK, answer)
	return nil
}
