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

// listLimit bounds the jobs that one scheduler lists.
const listLimit = 1000

// submit admits a job and may wait for its end.
func (g *Gate) submit(ctx context.Context, x *exchange) error {
	began := time.Now()
	cur := g.follow.Current()
	org, err := g.ownOrganisation(cur, x.key)
	if err != nil {
		return err
	}
	var req api.SubmitRequest
	if err := x.decode(&req); err != nil {
		return err
	}
	if err := g.rates.take(cur, org, req.Caller, began); err != nil {
		return err
	}
	if g.draining.Load() {
		return retryError(errkind.Draining, "this host is stopping", overloadRetry)
	}
	if err := checkSubmit(cur.Set, org, req); err != nil {
		return err
	}
	reply, err := g.router.Submit(ctx, newSubmit(req, org))
	if err != nil {
		return err
	}
	if reply.Outcome != nil {
		g.metrics.Observe(org.Name, req.Class, metrics.Completion, time.Since(began))
	}
	x.answerJob(reply)
	return nil
}

func (g *Gate) ownOrganisation(cur config.Accepted, key config.Key) (config.Organisation, error) {
	org, ok := cur.Set.Organisation(key.Organisation)
	if !ok {
		return org, errkind.New(errkind.UnknownOrg, "organisation %q is not configured", key.Organisation)
	}
	return org, nil
}

// checkSubmit holds a request against the limits of its class and organisation.
func checkSubmit(set *config.Set, org config.Organisation, req api.SubmitRequest) error {
	if req.Organisation != "" && req.Organisation != org.Name {
		if _, ok := set.Organisation(req.Organisation); !ok {
			return errkind.New(errkind.UnknownOrg, "organisation %q is not configured", req.Organisation)
		}
		return errkind.New(errkind.Forbidden, "the key acts for organisation %s only", org.Name)
	}
	class, ok := set.Class(req.Class)
	if !ok {
		return errkind.New(errkind.UnknownClass, "class %q is not configured", req.Class)
	}
	if !mayUse(org, req.Class) {
		return errkind.New(errkind.Forbidden, "organisation %s may not submit class %s", org.Name, req.Class)
	}
	return checkLimits(org, class, req)
}

func mayUse(org config.Organisation, class string) bool {
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
		return errkind.New(errkind.LimitExceeded, "%d accelerators; class %s allows %d", total, class.Name, class.MaxAccelerators)
	}
	if org.Quota > 0 && total > org.Quota {
		return errkind.New(errkind.LimitExceeded, "%d accelerators; organisation %s has a quota of %d", total, org.Name, org.Quota)
	}
	declared := seconds(req.DeclaredRunSeconds)
	if limit := class.RunTimeLimit(); limit > 0 && declared > limit {
		return errkind.New(errkind.LimitExceeded, "a run time of %v; class %s allows %v", declared, class.Name, limit)
	}
	return nil
}

// newSubmit makes the message to a scheduler. The digest covers all that makes two
// requests the same; how long the caller waits does not.
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

// answerJob answers with a job's state: 200 for a job that succeeded, 202 for one that
// has not ended, and the kind's status for one that failed.
func (x *exchange) answerJob(reply wire.JobReply) {
	answer := api.JobAnswer{RequestID: x.request, JobID: reply.Job, State: reply.State, Workers: reply.Workers}
	status := http.StatusAccepted
	if out := reply.Outcome; out != nil {
		status = http.StatusOK
		answer.Outputs = outputs(out.Outputs)
		if out.Kind != errkind.None {
			x.gate.metrics.Error(out.Kind)
			body := api.NewErrorBody(&errkind.Error{Kind: out.Kind, Message: out.Message})
			body.Ran = out.Ran
			answer.Error = &body
			status = errkind.AnswerFor(out.Kind).Status
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

// pathJob returns the job that the path names, for the organisation org.
func (x *exchange) pathJob(org string) (core.JobID, error) {
	if !requestIDPattern.MatchString(x.r.PathValue("request")) {
		return "", errkind.New(errkind.InvalidRequest, "the path holds no request ID")
	}
	return core.MakeJobID(core.OrgID(org), core.RequestID(x.request)), nil
}

// get answers with a job's state, after at most wait_seconds.
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

// cancel ends one of the caller's own jobs.
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

// listOwn lists the live jobs of the caller's organisation.
// It costs a call to every scheduler, so it counts as a request.
func (g *Gate) listOwn(ctx context.Context, x *exchange) error {
	cur := g.follow.Current()
	org, err := g.ownOrganisation(cur, x.key)
	if err != nil {
		return err
	}
	if err := g.rates.take(cur, org, x.key.Name, time.Now()); err != nil {
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
