package gate

import (
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-playground/validator/v10"

	"agatewinch/internal/api"
	"agatewinch/internal/config"
	"agatewinch/internal/core"
	"agatewinch/internal/errkind"
	"agatewinch/internal/wire"
)

const (
	maxBodyBytes = 1 << 20
	listLimit    = 1000
)

var validate = validator.New(validator.WithRequiredStructEnabled())

type keyHandler func(w http.ResponseWriter, r *http.Request, key config.Key) error

func (g *Gate) caller(h keyHandler) http.HandlerFunc   { return g.withRole(config.RoleCaller, h) }
func (g *Gate) operator(h keyHandler) http.HandlerFunc { return g.withRole(config.RoleOperator, h) }

func (g *Gate) withRole(role config.Role, h keyHandler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
		key, err := g.authenticate(r, role)
		if err == nil {
			err = h(w, r, key)
		}
		if err != nil {
			writeError(w, err)
		}
	}
}

func (g *Gate) authenticate(r *http.Request, role config.Role) (config.Key, error) {
	text, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return config.Key{}, errkind.New(errkind.Unauthenticated, "an Authorization header with a bearer key is needed")
	}
	set := g.follow.Current().Set
	if set == nil {
		// Before the first configuration only the operators' interface can be used.
		if role == config.RoleOperator {
			return config.Key{Role: role}, nil
		}
		return config.Key{}, errkind.New(errkind.Unauthenticated, "no configuration is in force yet")
	}
	key, ok := config.FindKey(set.Keys, config.HashKey(text))
	if !ok {
		return config.Key{}, errkind.New(errkind.Unauthenticated, "the key is not known")
	}
	if key.Role != role {
		return config.Key{}, errkind.New(errkind.Forbidden, "the key is for role %s", key.Role)
	}
	return key, nil
}

func readBody(r *http.Request, out any) error {
	dec := json.NewDecoder(r.Body)
	dec.DisallowUnknownFields()
	err := dec.Decode(out)
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return errkind.New(errkind.TooLarge, "the body is over %d bytes", large.Limit)
	}
	if err != nil {
		return errkind.New(errkind.InvalidRequest, "%v", err)
	}
	return nil
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func writeError(w http.ResponseWriter, err error) {
	e := errkind.Of(err)
	if e.RetryAfterSeconds > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(e.RetryAfterSeconds))))
	}
	writeJSON(w, errkind.AnswerFor(e.Kind).Status, api.ErrorAnswer{Error: api.NewErrorBody(e)})
}

func (g *Gate) serveSubmit(w http.ResponseWriter, r *http.Request, key config.Key) error {
	var req api.SubmitRequest
	if err := readBody(r, &req); err != nil {
		return err
	}
	if err := validate.Struct(req); err != nil {
		return errkind.New(errkind.InvalidRequest, "%v", err)
	}
	if req.Shape.Cells < 1 {
		return errkind.New(errkind.InvalidRequest, "shape.cells must be at least 1")
	}
	submit := newSubmit(req, key)
	var reply wire.JobReply
	if err := g.forward(r.Context(), wire.KindSubmit, submit, &reply); err != nil {
		return err
	}
	writeJob(w, req.RequestID, reply)
	return nil
}

func newSubmit(req api.SubmitRequest, key config.Key) wire.Submit {
	org := core.OrgID(key.Organisation)
	request := core.RequestID(req.RequestID)
	wait := seconds(req.WaitSeconds)
	req.WaitSeconds = 0
	canonical, _ := json.Marshal(req)
	return wire.Submit{
		Wait: wait, Digest: xxhash.Sum64(canonical),
		Job: core.Job{
			ID: core.MakeJobID(org, request), Request: request, Org: org,
			Caller: core.CallerID(req.Caller), Class: core.ClassName(req.Class), Shape: req.Shape,
			Declared: seconds(req.DeclaredRunSeconds), Timeout: seconds(req.DeadlineSeconds),
			Idempotent: req.Idempotent, Logged: !req.Idempotent || wait == 0, Waiting: wait > 0, Payload: req.Payload,
		},
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func writeJob(w http.ResponseWriter, request string, reply wire.JobReply) {
	answer := api.JobAnswer{RequestID: request, JobID: reply.Job, State: reply.State, Workers: reply.Workers}
	status := http.StatusAccepted
	if out := reply.Outcome; out != nil {
		status = http.StatusOK
		for _, o := range out.Outputs {
			answer.Outputs = append(answer.Outputs, api.Output{Worker: o.Worker, Text: string(o.Output)})
		}
		if out.Kind != errkind.None {
			body := api.NewErrorBody(&errkind.Error{Kind: out.Kind, Message: out.Message})
			body.Ran = out.Ran
			answer.Error = &body
			status = errkind.AnswerFor(out.Kind).Status
		}
	}
	writeJSON(w, status, answer)
}

func jobID(r *http.Request, key config.Key) core.JobID {
	return core.MakeJobID(core.OrgID(key.Organisation), core.RequestID(r.PathValue("request")))
}

func (g *Gate) serveGet(w http.ResponseWriter, r *http.Request, key config.Key) error {
	wait := 0.0
	if text := r.URL.Query().Get("wait_seconds"); text != "" {
		var err error
		if wait, err = strconv.ParseFloat(text, 64); err != nil || wait < 0 || wait > 30 {
			return errkind.New(errkind.InvalidRequest, "wait_seconds must be a number from 0 to 30")
		}
	}
	var reply wire.JobReply
	if err := g.forward(r.Context(), wire.KindWait, wire.Wait{Job: jobID(r, key), Wait: seconds(wait)}, &reply); err != nil {
		return err
	}
	writeJob(w, r.PathValue("request"), reply)
	return nil
}

func (g *Gate) serveCancel(w http.ResponseWriter, r *http.Request, key config.Key) error {
	var reply wire.JobReply
	if err := g.forward(r.Context(), wire.KindCancel, wire.Cancel{Job: jobID(r, key)}, &reply); err != nil {
		return err
	}
	writeJob(w, r.PathValue("request"), reply)
	return nil
}

func (g *Gate) serveList(w http.ResponseWriter, r *http.Request, key config.Key) error {
	var all wire.ListReply
	for _, p := range g.peers {
		var reply wire.ListReply
		if p.client.Call(r.Context(), wire.KindList, wire.List{Org: core.OrgID(key.Organisation), Limit: listLimit}, &reply) == nil {
			all.Jobs = append(all.Jobs, reply.Jobs...)
		}
	}
	writeJSON(w, http.StatusOK, all)
	return nil
}

func (g *Gate) serveStatus(w http.ResponseWriter, r *http.Request, _ config.Key) error {
	answer := api.StatusAnswer{Gate: g.opts.Host, Generation: g.follow.Current().Generation}
	for _, p := range g.peers {
		var reply wire.StatusReply
		if err := p.client.Call(r.Context(), wire.KindStatus, wire.Empty{}, &reply); err != nil {
			answer.Unreachable = append(answer.Unreachable, p.Addr)
			continue
		}
		answer.Schedulers = append(answer.Schedulers, reply)
	}
	writeJSON(w, http.StatusOK, answer)
	return nil
}
