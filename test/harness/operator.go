package harness

import (
	"context"
	"net/http"

	"agatewinch/internal/api"
	"agatewinch/internal/config"
	"agatewinch/internal/core"
)

// operator returns an API client with the operator's key for a host's gate.
func (c *Cluster) operator(h *EntryHost) *api.Client {
	return &api.Client{BaseURL: h.GateURL, Key: operatorKey, HTTP: c.DirectClient}
}

// Apply replaces the configuration through a host's gate.
func (c *Cluster) Apply(ctx context.Context, h *EntryHost, base core.Generation, set config.Set) (core.Generation, error) {
	var answer api.ApplyAnswer
	err := c.operator(h).Call(ctx, http.MethodPut, api.PathConfig, api.ApplyRequest{Base: base, Set: set}, &answer)
	return answer.Generation, err
}

// Config returns the configuration in force at a host's gate.
func (c *Cluster) Config(ctx context.Context, h *EntryHost) (api.ConfigAnswer, error) {
	var answer api.ConfigAnswer
	err := c.operator(h).Call(ctx, http.MethodGet, api.PathConfig, nil, &answer)
	return answer, err
}

// Status returns the status of all schedulers as reported by a host's gate.
func (c *Cluster) Status(ctx context.Context, h *EntryHost) (api.StatusAnswer, error) {
	var answer api.StatusAnswer
	err := c.operator(h).Call(ctx, http.MethodGet, api.PathStatus, nil, &answer)
	return answer, err
}

// ready reports whether a gate passes its readiness check.
func (c *Cluster) ready(ctx context.Context, h *EntryHost) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, h.GateURL+api.PathReady, nil)
	if err != nil {
		return false
	}
	resp, err := c.DirectClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Active returns the host whose scheduler is active in a zone. It asks all gates, takes the
// active scheduler of the highest term that any of them reports, and returns nil if there is
// none.
func (c *Cluster) Active(ctx context.Context, zone string) *EntryHost {
	var best *EntryHost
	var term core.Term
	for _, h := range c.Hosts() {
		status, err := c.Status(ctx, h)
		if err != nil {
			continue
		}
		for _, s := range status.Schedulers {
			if s.Zone == core.ZoneID(zone) && s.Active && s.Term > term {
				best, term = c.Host(s.Host), s.Term
			}
		}
	}
	return best
}

// Host returns the current entry host with the given name, or nil.
func (c *Cluster) Host(name string) *EntryHost {
	for _, h := range c.Hosts() {
		if h.Name == name {
			return h
		}
	}
	return nil
}
