package gate

import (
	"context"
	"net/http"
	"time"

	"agatewinch/internal/api"
	"agatewinch/internal/config"
	"agatewinch/internal/errkind"
)

// applyTimeout bounds the wait for the log to show what became of a proposal.
const applyTimeout = 20 * time.Second

func (g *Gate) serveGetConfig(w http.ResponseWriter, _ *http.Request, _ config.Key) error {
	cur := g.follow.Current()
	writeJSON(w, http.StatusOK, api.ConfigAnswer{Generation: cur.Generation, Set: cur.Set})
	return nil
}

func (g *Gate) serveApply(w http.ResponseWriter, r *http.Request, _ config.Key) error {
	var req api.ApplyRequest
	if err := readBody(r, &req); err != nil {
		return err
	}
	if faults := req.Set.Check(); len(faults) > 0 {
		return errkind.New(errkind.InvalidConfig, "%v", config.JoinFaults(faults))
	}
	if req.DryRun {
		writeJSON(w, http.StatusOK, api.ApplyAnswer{})
		return nil
	}
	ctx, cancel := context.WithTimeout(r.Context(), applyTimeout)
	defer cancel()
	gen, err := g.follow.Apply(ctx, config.Proposal{ID: req.ID, Base: req.Base, Force: req.Force, Set: &req.Set})
	if err != nil {
		return err
	}
	writeJSON(w, http.StatusOK, api.ApplyAnswer{Generation: gen})
	return nil
}
