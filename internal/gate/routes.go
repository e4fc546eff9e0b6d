package gate

import (
	"context"
	"expvar"
	"net/http"

	"agatewinch/internal/api"
	"agatewinch/internal/config"
	"agatewinch/internal/errkind"
	"agatewinch/internal/event"
)

// handler handles one authenticated request. A returned error becomes the response.
type handler func(ctx context.Context, x *exchange) error

// route is one operation of the HTTP interface and the role that it requires.
type route struct {
	method string
	path   string
	role   config.Role
	handle handler
}

// routes lists all operations that require a key. api/openapi.yaml describes them too.
func (g *Gate) routes() []route {
	return []route{
		{http.MethodPost, api.PathJobs, config.RoleCaller, g.submit},
		{http.MethodGet, api.PathJobs, config.RoleCaller, g.listOwn},
		{http.MethodGet, api.PathJobs + "/{request}", config.RoleCaller, g.get},
		{http.MethodDelete, api.PathJobs + "/{request}", config.RoleCaller, g.cancel},

		{http.MethodGet, api.PathConfig, config.RoleOperator, g.getConfig},
		{http.MethodPut, api.PathConfig, config.RoleOperator, g.apply},
		{http.MethodGet, api.PathStatus, config.RoleOperator, g.status},
		{http.MethodGet, api.PathOrganisations, config.RoleOperator, g.listAll},
		{http.MethodGet, api.PathOrganisations + "/{organisation}/{request}", config.RoleOperator, g.getAny},
		{http.MethodDelete, api.PathOrganisations + "/{organisation}/{request}", config.RoleOperator, g.cancelAny},
		{http.MethodGet, api.PathOrganisations + "/{organisation}/{request}/explanation", config.RoleOperator, g.explain},
		{http.MethodPut, api.PathDrains + "/{host}", config.RoleOperator, g.drainHost},
		{http.MethodDelete, api.PathDrains + "/{host}", config.RoleOperator, g.undrainHost},
		{http.MethodGet, api.PathVars, config.RoleOperator, g.vars},
	}
}

// Handler returns the HTTP interface for callers and operators.
func (g *Gate) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+api.PathReady, g.serveReady)
	for _, r := range g.routes() {
		mux.Handle(r.method+" "+r.path, g.serve(r))
	}
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		x := &exchange{w: w, r: r, gate: g}
		x.fail(errkind.New(errkind.InvalidRequest, "there is no operation %s %s", r.Method, r.URL.Path))
	})
	return mux
}

// serve wraps a route's handler with request limits, authentication and error responses.
func (g *Gate) serve(rt route) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		x := &exchange{w: w, r: r, gate: g, requestID: r.PathValue("request"), maxBody: maxBodyBytes(rt.role)}
		defer x.release()
		if x.requestID == "" {
			x.requestID = headerRequestID(r)
		}
		release, err := g.openRequests.acquire(rt.role)
		if err != nil {
			x.fail(err)
			return
		}
		defer release()
		x.key, err = g.authenticate(r, rt.role)
		if err == nil {
			err = rt.handle(r.Context(), x)
			g.logAction(rt, x, err)
		}
		if !x.bodyRead {
			g.bodies.Skip(w, r)
		}
		if err != nil {
			x.fail(err)
		}
	})
}

// logAction logs an operator's request that may change state, and its result.
func (g *Gate) logAction(rt route, x *exchange, err error) {
	if rt.role != config.RoleOperator || rt.method == http.MethodGet {
		return
	}
	result := "done"
	if err != nil {
		result = string(errkind.Of(err).Kind)
	}
	event.Info(g.logger, event.OperatorAction, "key", x.key.Name, "operation", rt.method+" "+x.r.URL.Path, "result", result)
}

// serveReady is the readiness check of the platform's load balancer.
func (g *Gate) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !g.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// Ready reports whether the gate is ready to serve callers.
func (g *Gate) Ready() bool { return !g.leaving.Load() && g.follower.Ready() }

// Leave makes the readiness check fail, so that the load balancer stops sending requests.
// Requests are still served.
func (g *Gate) Leave() { g.leaving.Store(true) }

// Drain calls Leave and makes the gate refuse new jobs. All other requests, and those in
// progress, are still served.
func (g *Gate) Drain() {
	g.Leave()
	g.draining.Store(true)
}

// vars responds with the process's metrics in expvar's JSON format.
func (g *Gate) vars(_ context.Context, x *exchange) error {
	expvar.Handler().ServeHTTP(x.w, x.r)
	return nil
}
