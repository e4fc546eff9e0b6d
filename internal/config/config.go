// Package config reads the operators' declarative files, checks them as one set and
// turns them into what the log carries and what the core uses.
package config

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sort"
	"strings"

	"github.com/dustin/go-humanize"
	"github.com/gravitational/trace"
	"go.yaml.in/yaml/v3"

	"agatewinch/internal/core"
)

// Set is the whole configuration, as written in the files of one directory.
type Set struct {
	Organisations []Organisation `yaml:"organisations" json:"organisations"`
	Classes       []Class        `yaml:"classes" json:"classes"`
	Racks         []Rack         `yaml:"racks" json:"racks"`
	Keys          []Key          `yaml:"keys" json:"keys"`
}

// Organisation is a customer with its guarantees and quotas.
type Organisation struct {
	Name        string      `yaml:"name" json:"name"`
	Weight      int         `yaml:"weight" json:"weight"`
	Quota       int         `yaml:"quota" json:"quota"`
	UrgentQuota int         `yaml:"urgent_quota" json:"urgent_quota"`
	MaxQueued   int         `yaml:"max_queued" json:"max_queued"`
	Guarantees  []Guarantee `yaml:"guarantees" json:"guarantees"`
}

// Guarantee is a guaranteed shape in one availability zone.
type Guarantee struct {
	Zone     string `yaml:"zone" json:"zone"`
	Cells    int    `yaml:"cells" json:"cells"`
	CellSize int    `yaml:"cell_size" json:"cell_size"`
}

// Class is a class of work.
type Class struct {
	Name       string `yaml:"name" json:"name"`
	Urgent     bool   `yaml:"urgent" json:"urgent"`
	Checkpoint bool   `yaml:"checkpoint" json:"checkpoint"`
	Weight     int    `yaml:"weight" json:"weight"`
}

// Rack is a group of workers in one availability zone.
type Rack struct {
	Name    string   `yaml:"name" json:"name"`
	Zone    string   `yaml:"zone" json:"zone"`
	Workers []Worker `yaml:"workers" json:"workers"`
}

// Worker is one machine of a rack.
type Worker struct {
	Name         string `yaml:"name" json:"name"`
	CPU          int    `yaml:"cpu" json:"cpu"`
	Memory       string `yaml:"memory" json:"memory"`
	Accelerators int    `yaml:"accelerators" json:"accelerators"`
	Slots        int    `yaml:"slots" json:"slots"`
}

// Role is what the holder of an API key may do.
type Role string

// The roles of API keys.
const (
	RoleCaller   Role = "caller"
	RoleOperator Role = "operator"
)

// Key is an API key, kept as the hexadecimal SHA-256 of its text.
type Key struct {
	Name         string `yaml:"name" json:"name"`
	Role         Role   `yaml:"role" json:"role"`
	Organisation string `yaml:"organisation" json:"organisation"`
	SHA256       string `yaml:"sha256" json:"sha256"`
}

// Record is one configuration as the log carries it.
type Record struct {
	// ID names the attempt, so that its writer finds it again after a lost answer.
	ID string `json:"id"`
	// Base is the generation that the set builds on; readers accept the record only
	// when Base is the newest accepted generation.
	Base core.Generation `json:"base"`
	Set  Set             `json:"set"`
}

// LoadDir reads every *.yaml file of dir into one set. All faults are returned
// together, each with its file and line.
func LoadDir(dir string) (*Set, error) {
	files, err := filepath.Glob(filepath.Join(dir, "*.yaml"))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if len(files) == 0 {
		return nil, trace.NotFound("no *.yaml file in %s", dir)
	}
	sort.Strings(files)
	set := &Set{}
	var faults []error
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			return nil, trace.ConvertSystemError(err)
		}
		if err := set.merge(data); err != nil {
			faults = append(faults, fmt.Errorf("%s: %w", filepath.Base(file), err))
		}
	}
	faults = append(faults, set.Check()...)
	if len(faults) > 0 {
		return nil, trace.NewAggregate(faults...)
	}
	return set, nil
}

func (s *Set) merge(data []byte) error {
	dec := yaml.NewDecoder(bytes.NewReader(data))
	dec.KnownFields(true)
	for {
		var part Set
		err := dec.Decode(&part)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		s.Organisations = append(s.Organisations, part.Organisations...)
		s.Classes = append(s.Classes, part.Classes...)
		s.Racks = append(s.Racks, part.Racks...)
		s.Keys = append(s.Keys, part.Keys...)
	}
}

// Check returns every fault of the set.
func (s *Set) Check() []error {
	var faults []error
	fail := func(format string, args ...any) { faults = append(faults, fmt.Errorf(format, args...)) }
	if len(s.Racks) == 0 {
		fail("no rack is configured")
	}
	seen := map[string]bool{}
	for _, r := range s.Racks {
		for _, w := range r.Workers {
			if seen[w.Name] {
				fail("worker %s appears twice", w.Name)
			}
			seen[w.Name] = true
			if _, err := humanize.ParseBytes(w.Memory); err != nil {
				fail("worker %s: memory %q is not a size", w.Name, w.Memory)
			}
		}
	}
	return faults
}

// Core returns the set as the core uses it.
func (s *Set) Core(gen core.Generation) *core.Config {
	cfg := &core.Config{Generation: gen}
	for _, o := range s.Organisations {
		org := core.Organisation{ID: core.OrgID(o.Name), Weight: max(o.Weight, 1), Quota: o.Quota, UrgentQuota: o.UrgentQuota, MaxQueued: o.MaxQueued}
		for _, g := range o.Guarantees {
			org.Guarantees = append(org.Guarantees, core.Guarantee{Zone: core.ZoneID(g.Zone), Cells: g.Cells, CellSize: g.CellSize})
		}
		cfg.Organisations = append(cfg.Organisations, org)
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

func (w Worker) core(r Rack) core.Worker {
	memory, _ := humanize.ParseBytes(w.Memory)
	return core.Worker{
		ID: core.WorkerID(w.Name), Zone: core.ZoneID(r.Zone), Rack: core.RackID(r.Name), CPU: w.CPU,
		MemoryBytes: int64(memory), Accelerators: w.Accelerators, Slots: w.Slots,
	}
}

// FindKey returns the key whose hash is sum, in hexadecimal.
func (s *Set) FindKey(sum string) (Key, bool) {
	for _, k := range s.Keys {
		if constantTimeEqual(strings.ToLower(k.SHA256), sum) {
			return k, true
		}
	}
	return Key{}, false
}
