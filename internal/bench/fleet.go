package bench

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"

	"github.com/gravitational/trace"
	"go.yaml.in/yaml/v3"

	"agatewinch/internal/config"
)

const (
	zoneCount      = 4
	racksPerZone   = 2
	workersPerRack = 6
	// portsPerCluster is the space between the first ports of two clusters.
	portsPerCluster = 500
	workerPortBase  = 100
)

// guaranteedCells is how many cells of 8 accelerators org is guaranteed in each zone.
func guaranteedCells(org string) int {
	if org == orgs[0] || org == orgs[1] {
		return 3
	}
	return 1
}

// Size describes the machines of a fleet.
type Size struct {
	Name   string
	CPU    int
	Memory string
	// Workers in each zone; racks hold workersPerRack of them.
	WorkersPerZone int
}

// Sizes returns the fleets of the two users.
func Sizes() []Size {
	return []Size{
		{Name: "haneul", CPU: 64, Memory: "128GiB", WorkersPerZone: racksPerZone * workersPerRack},
		{Name: "vatuwaqa", CPU: 32, Memory: "64GiB", WorkersPerZone: racksPerZone * workersPerRack},
	}
}

// Key returns the bench's API key for an organisation, or the operators' for "".
func Key(org string) string { return "bench-key-" + org }

// Set returns the configuration of a fleet.
func (s Size) Set() config.Set {
	set := config.Set{Classes: []config.Class{
		{Name: classCheck, Urgent: true, Weight: 4},
		{Name: classTesting, Urgent: true, Weight: 4},
		{Name: classReconcile, Checkpoint: true, Weight: 2},
		{Name: classSummary, Checkpoint: true, Weight: 2},
		{Name: classSurvey, Checkpoint: true, Weight: 1},
	}}
	set.Keys = append(set.Keys, config.Key{Name: "operations", Role: config.RoleOperator, SHA256: config.HashKey(Key(""))})
	for _, org := range orgs {
		o := config.Organisation{Name: org, Weight: guaranteedCells(org), Quota: zoneCount * s.WorkersPerZone * 8}
		for z := range zoneCount {
			o.Guarantees = append(o.Guarantees, config.Guarantee{Zone: zoneName(z), Cells: guaranteedCells(org), CellSize: 8})
		}
		set.Organisations = append(set.Organisations, o)
		set.Keys = append(set.Keys, config.Key{Name: org + "-key", Role: config.RoleCaller, Organisation: org, SHA256: config.HashKey(Key(org))})
	}
	for z := range zoneCount {
		set.Racks = append(set.Racks, s.racks(z)...)
	}
	return set
}

func (s Size) racks(zone int) []config.Rack {
	var racks []config.Rack
	for w := range s.WorkersPerZone {
		if w%workersPerRack == 0 {
			racks = append(racks, config.Rack{Name: fmt.Sprintf("%s-r%d", zoneName(zone), len(racks)+1), Zone: zoneName(zone)})
		}
		r := &racks[len(racks)-1]
		r.Workers = append(r.Workers, config.Worker{
			Name: fmt.Sprintf("%s-w%02d", zoneName(zone), w+1), CPU: s.CPU, Memory: s.Memory, Accelerators: 8, Slots: 8,
		})
	}
	return racks
}

func zoneName(z int) string { return fmt.Sprintf("zone-%d", z+1) }

// Target is one running cluster.
type Target struct {
	Policy   string   `yaml:"policy"`
	Gates    []string `yaml:"gates"`
	Platform string   `yaml:"platform"`
}

// Prepare writes the configuration, and for each policy the settings of a cluster of
// its own, below dir; targets.yaml names the clusters.
func Prepare(dir string, size Size, policies []string, firstPort int) error {
	configDir := filepath.Join(dir, "config")
	if err := writeYAML(filepath.Join(configDir, "all.yaml"), size.Set()); err != nil {
		return trace.Wrap(err)
	}
	var targets []Target
	for i, policy := range policies {
		c := cluster{dir: filepath.Join(dir, policy), configDir: configDir, policy: policy, port: firstPort + i*portsPerCluster}
		if err := c.write(); err != nil {
			return trace.Wrap(err)
		}
		targets = append(targets, c.target())
	}
	return trace.Wrap(writeYAML(filepath.Join(dir, "targets.yaml"), targets))
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

// cluster is the settings of one set of processes on loopback.
type cluster struct {
	dir, configDir, policy string
	port                   int
}

func (c cluster) addr(offset int) string {
	return net.JoinHostPort("127.0.0.1", strconv.Itoa(c.port+offset))
}

const (
	schedulerPortBase = 10
	gatePortBase      = 20
)

func (c cluster) target() Target {
	t := Target{Policy: c.policy, Platform: "http://" + c.addr(0)}
	for z := range zoneCount {
		t.Gates = append(t.Gates, "http://"+c.addr(gatePortBase+z))
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
	Policy       string `yaml:"policy"`
}

type schedulerAddr struct {
	Zone string `yaml:"zone"`
	Addr string `yaml:"addr"`
}

type gateSettings struct {
	hostSettings `yaml:",inline"`
	Schedulers   []schedulerAddr `yaml:"schedulers"`
	OperatorKeys []string        `yaml:"operator_keys,omitempty"`
}

func (c cluster) write() error {
	platform := standinSettings{Listen: c.addr(0), WorkerBase: c.addr(workerPortBase), ConfigDir: c.configDir}
	var schedulers []schedulerAddr
	for z := range zoneCount {
		addr := c.addr(schedulerPortBase + z)
		schedulers = append(schedulers, schedulerAddr{Zone: zoneName(z), Addr: addr})
		platform.EntryHosts = append(platform.EntryHosts, entryHostSettings{ID: hostName(z), Zone: zoneName(z), Addr: addr})
	}
	if err := writeYAML(filepath.Join(c.dir, "standin.yaml"), platform); err != nil {
		return trace.Wrap(err)
	}
	for z := range zoneCount {
		host := hostSettings{Host: hostName(z), Region: "region-1", Zone: zoneName(z), Platform: "http://" + c.addr(0)}
		host.Listen = c.addr(schedulerPortBase + z)
		err := writeYAML(filepath.Join(c.dir, fmt.Sprintf("scheduler-%d.yaml", z+1)), schedulerSettings{hostSettings: host, Policy: c.policy})
		if err != nil {
			return trace.Wrap(err)
		}
		host.Listen = c.addr(gatePortBase + z)
		gate := gateSettings{hostSettings: host, Schedulers: schedulers}
		if err := writeYAML(filepath.Join(c.dir, fmt.Sprintf("gate-%d.yaml", z+1)), gate); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

func hostName(z int) string { return fmt.Sprintf("entry-%s-1", zoneName(z)) }
