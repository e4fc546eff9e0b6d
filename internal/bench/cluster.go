package bench

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"github.com/gravitational/trace"
	"go.yaml.in/yaml/v3"

	"agatewinch/internal/config"
)

const (
	// portsPerCluster is the distance between the first ports of two clusters.
	portsPerCluster = 500
	// The ports of the first scheduler, gate and worker are relative to the cluster's first port,
	// which is the platform's.
	schedulerPortBase = 10
	gatePortBase      = 50
	workerPortBase    = 100
)

// Target holds the addresses of one running cluster.
type Target struct {
	Policy   string   `yaml:"policy"`
	Gates    []string `yaml:"gates"`
	Platform string   `yaml:"platform"`
}

// Cluster describes a set of processes on the loopback interface: a stand-in platform, and a
// scheduler and a gate for each entry host.
type Cluster struct {
	// Dir is the directory for the settings of the processes, ConfigDir the one for the
	// configuration.
	Dir, ConfigDir string
	Policy         string
	FirstPort      int
	// HostZones holds the availability zone of each entry host.
	HostZones []string
	// LeaseTTL is the schedulers' lease TTL; zero means their default.
	LeaseTTL time.Duration
}

// Prepare writes the configuration and, for each policy, the settings of a separate cluster
// below dir. It lists the clusters in targets.yaml.
func Prepare(dir string, size Size, policies []string, firstPort int) error {
	configDir := filepath.Join(dir, "config")
	if err := WriteConfig(configDir, size.Set()); err != nil {
		return trace.Wrap(err)
	}
	var zones []string
	for z := range zoneCount {
		zones = append(zones, zoneName(z))
	}
	var targets []Target
	for i, policy := range policies {
		c := Cluster{Dir: filepath.Join(dir, policy), ConfigDir: configDir, Policy: policy, FirstPort: firstPort + i*portsPerCluster, HostZones: zones}
		if err := c.Write(); err != nil {
			return trace.Wrap(err)
		}
		targets = append(targets, c.Target())
	}
	return trace.Wrap(writeYAML(filepath.Join(dir, "targets.yaml"), targets))
}

// WriteConfig writes a configuration as one file below dir.
func WriteConfig(dir string, set config.Set) error {
	return writeYAML(filepath.Join(dir, "all.yaml"), set)
}

func writeYAML(path string, v any) error {
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return trace.ConvertSystemError(err)
	}
	data, err := yaml.Marshal(v)
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.ConvertSystemError(os.WriteFile(path, data, 0o644))
}

func (c Cluster) addr(offset int) string {
	return net.JoinHostPort("127.0.0.1", strconv.Itoa(c.FirstPort+offset))
}

// SchedulerAddr returns the address of entry host i's scheduler.
func (c Cluster) SchedulerAddr(i int) string { return c.addr(schedulerPortBase + i) }

// GateAddr returns the address of entry host i's gate.
func (c Cluster) GateAddr(i int) string { return c.addr(gatePortBase + i) }

// Target returns the URLs of the cluster's gates and of its platform.
func (c Cluster) Target() Target {
	t := Target{Policy: c.Policy, Platform: "http://" + c.addr(0)}
	for i := range c.HostZones {
		t.Gates = append(t.Gates, "http://"+c.GateAddr(i))
	}
	return t
}

type entryHostSettings struct {
	ID   string `yaml:"id"`
	Zone string `yaml:"zone"`
	Addr string `yaml:"addr"`
}

type standinSettings struct {
	Listen     string              `yaml:"listen"`
	WorkerBase string              `yaml:"worker_base"`
	ConfigDir  string              `yaml:"config_dir"`
	EntryHosts []entryHostSettings `yaml:"entry_hosts"`
}

type hostSettings struct {
	Host     string `yaml:"host"`
	Region   string `yaml:"region"`
	Zone     string `yaml:"zone"`
	Listen   string `yaml:"listen"`
	Platform string `yaml:"platform"`
}

type schedulerSettings struct {
	hostSettings `yaml:",inline"`
	Policy       string        `yaml:"policy"`
	LeaseTTL     time.Duration `yaml:"lease_ttl,omitempty"`
	// Schedulers are the schedulers of all entry hosts.
	Schedulers []schedulerAddr `yaml:"schedulers"`
}

type schedulerAddr struct {
	Zone string `yaml:"zone"`
	Addr string `yaml:"addr"`
}

type gateSettings struct {
	hostSettings `yaml:",inline"`
	Schedulers   []schedulerAddr `yaml:"schedulers"`
	OperatorKeys []string        `yaml:"operator_keys"`
}

// Write writes the settings of every process: standin.yaml, and scheduler-N.yaml and
// gate-N.yaml for each entry host, counted from 1.
func (c Cluster) Write() error {
	platform := standinSettings{Listen: c.addr(0), WorkerBase: c.addr(workerPortBase), ConfigDir: c.ConfigDir}
	var schedulers []schedulerAddr
	for i, zone := range c.HostZones {
		addr := c.SchedulerAddr(i)
		schedulers = append(schedulers, schedulerAddr{Zone: zone, Addr: addr})
		platform.EntryHosts = append(platform.EntryHosts, entryHostSettings{ID: hostName(i), Zone: zone, Addr: addr})
	}
	if err := writeYAML(filepath.Join(c.Dir, "standin.yaml"), platform); err != nil {
		return trace.Wrap(err)
	}
	for i, zone := range c.HostZones {
		if err := c.writeHost(i, zone, schedulers); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

func (c Cluster) writeHost(i int, zone string, schedulers []schedulerAddr) error {
	host := hostSettings{Host: hostName(i), Region: "region-1", Zone: zone, Platform: "http://" + c.addr(0)}
	host.Listen = c.SchedulerAddr(i)
	sched := schedulerSettings{hostSettings: host, Policy: c.Policy, LeaseTTL: c.LeaseTTL, Schedulers: schedulers}
	if err := writeYAML(filepath.Join(c.Dir, fmt.Sprintf("scheduler-%d.yaml", i+1)), sched); err != nil {
		return trace.Wrap(err)
	}
	host.Listen = c.GateAddr(i)
	gate := gateSettings{hostSettings: host, Schedulers: schedulers, OperatorKeys: []string{config.HashKey(Key(""))}}
	return trace.Wrap(writeYAML(filepath.Join(c.Dir, fmt.Sprintf("gate-%d.yaml", i+1)), gate))
}

func hostName(i int) string { return fmt.Sprintf("entry-%d", i+1) }
