package harness

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"go.yaml.in/yaml/v3"
	"gotest.tools/v3/assert"

	"agatewinch/internal/standin"
)

// The types below are the settings files that the harness writes, reduced to the keys that it
// sets.

type standinFile struct {
	Listen     string             `yaml:"listen"`
	WorkerBase string             `yaml:"worker_base"`
	ConfigDir  string             `yaml:"config_dir"`
	EntryHosts []entryHostAddress `yaml:"entry_hosts"`

	Log    standin.LogFaults    `yaml:"log"`
	Worker standin.WorkerFaults `yaml:"worker"`
}

type entryHostAddress struct {
	ID   string `yaml:"id"`
	Zone string `yaml:"zone"`
	Addr string `yaml:"addr"`
}

type hostFile struct {
	Host     string `yaml:"host"`
	Region   string `yaml:"region"`
	Zone     string `yaml:"zone"`
	Listen   string `yaml:"listen"`
	Platform string `yaml:"platform"`
}

type schedulerAddress struct {
	Zone string `yaml:"zone"`
	Addr string `yaml:"addr"`
}

type gateFile struct {
	hostFile     `yaml:",inline"`
	Schedulers   []schedulerAddress `yaml:"schedulers"`
	OperatorKeys []string           `yaml:"operator_keys"`
	GateLimits   `yaml:",inline"`
}

// GateLimits are settings of a gate; zero values are the gate's defaults.
type GateLimits struct {
	MaxConnections int `yaml:"max_connections,omitempty"`
	MaxHeldMB      int `yaml:"max_held_mb,omitempty"`
}

type schedulerFile struct {
	hostFile   `yaml:",inline"`
	LeaseTTL   time.Duration `yaml:"lease_ttl"`
	ReserveTTL time.Duration `yaml:"reserve_ttl"`
	// Advertise is the proxy's address, so that peers connect through the proxy.
	Advertise  string             `yaml:"advertise"`
	Schedulers []schedulerAddress `yaml:"schedulers"`
}

func writeYAML(t testing.TB, path string, body any) {
	t.Helper()
	data, err := yaml.Marshal(body)
	assert.NilError(t, err)
	assert.NilError(t, os.MkdirAll(filepath.Dir(path), 0o700))
	assert.NilError(t, os.WriteFile(path, data, 0o600))
}
