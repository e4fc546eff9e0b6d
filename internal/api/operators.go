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
	// Unreadable is an accepted generation that the host's build cannot use.
	Unreadable core.Generation `json:"unreadable,omitempty"`
}

// ApplyRequest replaces the whole configuration.
type ApplyRequest struct {
	// ID names the attempt; the same ID again finds the first attempt's result.
	ID string `json:"id,omitempty" validate:"max=64"`
	// Base is the generation that the set builds on.
	Base core.Generation `json:"base"`
	// Set is checked by itself, with its own reasons.
	Set config.Set `json:"set" validate:"-"`
	// DryRun only checks the set.
	DryRun bool `json:"dry_run,omitempty"`
	// Force is for a log that has lost the configuration.
	Force bool `json:"force,omitempty"`
}

// ApplyAnswer tells the accepted generation; zero for a dry run.
type ApplyAnswer struct {
	Generation core.Generation `json:"generation"`
}

// DrainAnswer tells how many schedulers took the mark.
type DrainAnswer struct {
	Host        string   `json:"host"`
	Draining    bool     `json:"draining"`
	Schedulers  int      `json:"schedulers"`
	Unreachable []string `json:"unreachable,omitempty"`
}

// StatusAnswer describes all schedulers that a gate reaches.
type StatusAnswer struct {
	Gate       string             `json:"gate"`
	Generation core.Generation    `json:"generation"`
	Ready      bool               `json:"ready"`
	Schedulers []wire.StatusReply `json:"schedulers"`
	// Unreachable lists the addresses that did not answer.
	Unreachable []string `json:"unreachable,omitempty"`
}

// VarsAnswer is the part of PathVars that agatewinch publishes.
type VarsAnswer struct {
	Agatewinch metrics.Snapshot `json:"agatewinch"`
}

// VarsName is the name of the metrics in PathVars.
const VarsName = "agatewinch"
