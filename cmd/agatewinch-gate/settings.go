package main

import (
	"time"

	"agatewinch/internal/core"
	"agatewinch/internal/event"
	"agatewinch/internal/gate"
	"agatewinch/internal/membership"
	"agatewinch/internal/metrics"
	"agatewinch/internal/settings"
	"agatewinch/internal/tlsconfig"
)

const (
	defaultPlatformConns = 16
	defaultDrainGrace    = 2 * time.Second
)

type gateSettings struct {
	settings.Host `yaml:",inline"`
	// Schedulers are the initially known schedulers. More are discovered through the
	// platform's host list and through heartbeats.
	Schedulers []schedulerAddr `yaml:"schedulers" validate:"required,dive"`
	// PeerListen is the IP and port to serve peers on; if empty, none are served.
	PeerListen string `yaml:"peer_listen" validate:"omitempty,ip_port"`
	// HeartbeatInterval is the time between heartbeats of schedulers within a zone.
	// HeartbeatTimeout is how long such a peer counts as live after its last heartbeat.
	// Both are longer between zones and between a gate and any other process.
	HeartbeatInterval time.Duration `yaml:"heartbeat_interval" validate:"min=10ms,max=1m"`
	HeartbeatTimeout  time.Duration `yaml:"heartbeat_timeout" validate:"gtfield=HeartbeatInterval"`
	// PlatformConns limits the connections to the platform.
	PlatformConns int `yaml:"platform_conns" validate:"min=3"`
	// OperatorKeys are the SHA-256 hashes of the keys that may apply the first
	// configuration.
	OperatorKeys []string `yaml:"operator_keys" validate:"dive,sha256"`
	// TLS holds the certificate files of the listener for callers and operators.
	TLS tlsconfig.Files `yaml:"tls"`
	// DrainGrace is how long a graceful shutdown waits for the load balancer to notice
	// that the gate is not ready.
	DrainGrace time.Duration `yaml:"drain_grace" validate:"min=0s,max=1m"`
	// MaxRequests, MaxOperatorRequests and MaxConnections limit the callers' requests, the
	// operators' requests and the connections that are open at the same time.
	MaxRequests         int `yaml:"max_requests" validate:"min=1"`
	MaxOperatorRequests int `yaml:"max_operator_requests" validate:"min=1"`
	MaxConnections      int `yaml:"max_connections" validate:"min=1"`
	// MaxHeldMB limits the memory of requests that are unfinished or being handled, in megabytes. It
	// is at least twice that of the largest request of an operator.
	MaxHeldMB int64 `yaml:"max_held_mb" validate:"min=16"`
	// RequestRate and RequestBurst limit the submissions and job lists per second of an
	// organisation, where the configuration sets no limits for it.
	RequestRate  int `yaml:"request_rate" validate:"min=1"`
	RequestBurst int `yaml:"request_burst" validate:"min=1"`
}

type schedulerAddr struct {
	Zone string `yaml:"zone" validate:"required"`
	Addr string `yaml:"addr" validate:"required,ip_port"`
}

func defaultSettings() gateSettings {
	limits := gate.DefaultLimits
	return gateSettings{
		Host: settings.Host{LogFormat: string(event.FormatJSON)}, PlatformConns: defaultPlatformConns,
		HeartbeatInterval: membership.DefaultInterval, HeartbeatTimeout: membership.DefaultTimeout, DrainGrace: defaultDrainGrace,
		MaxRequests: limits.Requests, MaxOperatorRequests: limits.OperatorRequests, MaxConnections: limits.Connections, MaxHeldMB: limits.HeldBytes >> 20,
		RequestRate: limits.RequestRate, RequestBurst: limits.RequestBurst,
	}
}

func (s gateSettings) options(registry *metrics.Registry) gate.Options {
	opts := gate.Options{
		Host: s.Host.Host, Zone: core.ZoneID(s.Zone), OperatorKeys: gate.OperatorKeys(s.OperatorKeys),
		ConfigSnapshotInterval: s.ConfigSnapshotInterval, Metrics: registry,
		Limits: gate.Limits{
			Requests: s.MaxRequests, OperatorRequests: s.MaxOperatorRequests, Connections: s.MaxConnections, HeldBytes: s.MaxHeldMB << 20,
			RequestRate: s.RequestRate, RequestBurst: s.RequestBurst,
		},
	}
	opts.Peers.Interval, opts.Peers.Timeout, opts.Peers.Addr = s.HeartbeatInterval, s.HeartbeatTimeout, s.PeerListen
	for _, a := range s.Schedulers {
		opts.Peers.Schedulers = append(opts.Peers.Schedulers, membership.Seed{Zone: core.ZoneID(a.Zone), Addr: a.Addr})
	}
	return opts
}
