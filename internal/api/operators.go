package api

import (
	"agatewinch/internal/config"
	"agatewinch/internal/core"
	"agatewinch/internal/metrics"
	"agatewinch/internal/wire"
)

// ConfigAnswer is the configuration in force.
type ConfigAnswer struct {
	Generation core.Generation `json:"generation"`
	Set        *config.Set     `json:"set,omitempty"`
	// Unreadable is an accepted generation that this host's build cannot use; zero if there
	// is none.
	Unreadable core.Generation `json:"unreadable,omitempty"`
}

// ApplyRequest replaces the whole configuration.
type ApplyRequest struct {
	// ID identifies the proposal: a repeated request with the same ID gets the result of
	// the first one.
	ID string `json:"id,omitempty" validate:"max=64"`
	// Base is the generation on which the set is based.
	Base core.Generation `json:"base"`
	// Set is validated separately, because its faults are reported individually.
	Set config.Set `json:"set" validate:"-"`
	// DryRun means that the set is only validated, not applied.
	DryRun bool `json:"dry_run,omitempty"`
	// Force puts the set in force regardless of Base. It is only for a log that has lost
	// the configuration, and is rejected otherwise.
	Force bool `json:"force,omitempty"`
}

// ApplyAnswer holds the accepted generation, or zero for a dry run.
type ApplyAnswer struct {
	Generation core.Generation `json:"generation"`
}

// DrainAnswer holds the number of schedulers that have marked a worker's host as leaving, or
// have removed the mark. Unreachable lists the addresses of those that did not answer.
type DrainAnswer struct {
	Host        string   `json:"host"`
	Draining    bool     `json:"draining"`
	Schedulers  int      `json:"schedulers"`
	Unreachable []string `json:"unreachable,omitempty"`
}

// StatusAnswer describes a gate and all schedulers that it reaches.
type StatusAnswer struct {
	Gate       string             `json:"gate"`
	Generation core.Generation    `json:"generation"`
	Ready      bool               `json:"ready"`
	Schedulers []wire.StatusReply `json:"schedulers"`
	// Unreachable lists the addresses that did not answer.
	Unreachable []string `json:"unreachable,omitempty"`
}

// VarsAnswer is the part of the response to PathVars that agatewinch publishes.
type VarsAnswer struct {
	Agatewinch metrics.Snapshot `json:"agatewinch"`
}

// VarsName is the name of the metrics in the response to PathVars.
const VarsName = "agatewinch"
