// Package config reads the operators' declarative configuration files, checks them as one
// set, distributes the set through the platform's log and converts it to the scheduler
// core's configuration.
package config

import (
	"math"
	"regexp"
	"time"

	"github.com/dustin/go-humanize"
	"github.com/gravitational/trace"

	"agatewinch/internal/core"
)

// Set is the complete configuration, as written in the files of one directory.
type Set struct {
	Organisations []Organisation `yaml:"organisations" json:"organisations"`
	Classes       []Class        `yaml:"classes" json:"classes"`
	Racks         []Rack         `yaml:"racks" json:"racks"`
	Keys          []Key          `yaml:"keys" json:"keys"`
}

// Organisation is a customer with its guarantees, quotas and limits. Omitted numbers take
// their defaults.
type Organisation struct {
	Name string `yaml:"name" json:"name"`
	// Weight scales the organisation's fair share; the default is 1.
	Weight int `yaml:"weight,omitempty" json:"weight"`
	// Quota limits the accelerators of all running jobs in each zone; the default is no
	// limit.
	Quota int `yaml:"quota,omitempty" json:"quota"`
	// UrgentQuota limits the accelerators of running urgent jobs in each zone; the default
	// is the number guaranteed there. Urgent jobs beyond it are ordered like other jobs.
	UrgentQuota int `yaml:"urgent_quota,omitempty" json:"urgent_quota"`
	// MaxQueued limits the waiting jobs of each class; the default is the scheduler
	// setting max_queued.
	MaxQueued int `yaml:"max_queued,omitempty" json:"max_queued"`
	// RequestRate and RequestBurst limit the organisation's submissions and job lists per
	// second at each gate. By default the gate's limits apply; if only RequestRate is given,
	// the burst equals it.
	RequestRate  int `yaml:"request_rate,omitempty" json:"request_rate,omitempty"`
	RequestBurst int `yaml:"request_burst,omitempty" json:"request_burst,omitempty"`
	// Classes lists the classes of jobs that it may submit; the default is all classes.
	Classes    []string    `yaml:"classes,omitempty" json:"classes,omitempty"`
	Guarantees []Guarantee `yaml:"guarantees,omitempty" json:"guarantees"`
}

// Guarantee is a number of cells of one size that are guaranteed in one availability zone.
// CellSize is in accelerators.
type Guarantee struct {
	Zone     string `yaml:"zone" json:"zone"`
	Cells    int    `yaml:"cells" json:"cells"`
	CellSize int    `yaml:"cell_size" json:"cell_size"`
}

// Class is a class of jobs. An omitted limit means no limit.
type Class struct {
	Name       string `yaml:"name" json:"name"`
	Urgent     bool   `yaml:"urgent" json:"urgent"`
	Checkpoint bool   `yaml:"checkpoint" json:"checkpoint"`
	// Weight scales the class's share within its organisation; the default is 1.
	Weight int `yaml:"weight,omitempty" json:"weight"`
	// MaxAccelerators limits the accelerators of one job.
	MaxAccelerators int `yaml:"max_accelerators,omitempty" json:"max_accelerators,omitempty"`
	// MaxRunTime limits the declared run time of a job; it has a unit, as in "90m".
	MaxRunTime string `yaml:"max_run_time,omitempty" json:"max_run_time,omitempty"`
}

// Rack is a group of workers in one availability zone.
type Rack struct {
	Name    string   `yaml:"name" json:"name"`
	Zone    string   `yaml:"zone" json:"zone"`
	Workers []Worker `yaml:"workers" json:"workers"`
}

// Worker is one machine of a rack.
type Worker struct {
	Name string `yaml:"name" json:"name"`
	// CPU is the number of CPU cores.
	CPU int `yaml:"cpu" json:"cpu"`
	// Memory is a size with a unit, as in "128GiB".
	Memory string `yaml:"memory" json:"memory"`
	// Accelerators may be 0: the min tag is the minimum that the decoder accepts.
	Accelerators int `yaml:"accelerators" json:"accelerators" min:"0"`
	// Slots is the maximum number of tasks on the worker at one time.
	Slots int `yaml:"slots" json:"slots"`
}

// Role determines what the holder of an API key may do.
type Role string

// The roles of API keys.
const (
	RoleCaller   Role = "caller"
	RoleOperator Role = "operator"
)

// Key is an API key, stored as the hexadecimal SHA-256 of its text.
type Key struct {
	Name string `yaml:"name" json:"name"`
	Role Role   `yaml:"role" json:"role"`
	// Organisation is the organisation that a caller's key acts for.
	Organisation string `yaml:"organisation,omitempty" json:"organisation"`
	SHA256       string `yaml:"sha256" json:"sha256"`
}

var sizePattern = regexp.MustCompile(`^[0-9]+(\.[0-9]+)? ?([kKMGTP]i?)?B$`)

// parseSize parses a size that has a unit and returns it in bytes.
func parseSize(text string) (int64, error) {
	if !sizePattern.MatchString(text) {
		return 0, trace.BadParameter("%q is not a size with a unit such as 128GiB", text)
	}
	n, err := humanize.ParseBytes(text)
	if err != nil || n == 0 || n > math.MaxInt64 {
		return 0, trace.BadParameter("size %q is out of range", text)
	}
	return int64(n), nil
}

// RunTimeLimit returns MaxRunTime as a duration; zero means no limit.
func (c Class) RunTimeLimit() time.Duration {
	d, err := time.ParseDuration(c.MaxRunTime)
	if err != nil {
		return 0
	}
	return d
}

// Organisation returns the organisation of that name.
func (s *Set) Organisation(name string) (Organisation, bool) {
	for _, o := range s.Organisations {
		if o.Name == name {
			return o, true
		}
	}
	return Organisation{}, false
}

// Class returns the class of that name.
func (s *Set) Class(name string) (Class, bool) {
	for _, c := range s.Classes {
		if c.Name == name {
			return c, true
		}
	}
	return Class{}, false
}

// Core converts the set to the scheduler core's configuration with generation gen.
func (s *Set) Core(gen core.Generation) *core.Config {
	cfg := &core.Config{Generation: gen}
	for _, o := range s.Organisations {
		cfg.Organisations = append(cfg.Organisations, o.core())
	}
	for _, c := range s.Classes {
		cfg.Classes = append(cfg.Classes, core.Class{Name: core.ClassName(c.Name), Urgent: c.Urgent, Checkpoint: c.Checkpoint, Weight: max(c.Weight, 1)})
	}
	for _, r := range s.Racks {
		for _, w := range r.Workers {
			cfg.Workers = append(cfg.Workers, w.core(r))
		}
	}
	return cfg
}

func (o Organisation) core() core.Organisation {
	org := core.Organisation{ID: core.OrgID(o.Name), Weight: max(o.Weight, 1), Quota: o.Quota, UrgentQuota: o.UrgentQuota, MaxQueued: o.MaxQueued}
	for _, g := range o.Guarantees {
		org.Guarantees = append(org.Guarantees, core.Guarantee{Zone: core.ZoneID(g.Zone), Cells: g.Cells, CellSize: g.CellSize})
	}
	return org
}

func (w Worker) core(r Rack) core.Worker {
	memory, _ := parseSize(w.Memory)
	return core.Worker{
		ID: core.WorkerID(w.Name), Zone: core.ZoneID(r.Zone), Rack: core.RackID(r.Name), CPU: w.CPU,
		MemoryBytes: memory, Accelerators: w.Accelerators, Slots: w.Slots,
	}
}
