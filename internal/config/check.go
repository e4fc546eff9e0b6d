package config

import (
	"fmt"
	"regexp"
	"strings"
	"time"

	"agatewinch/internal/core"
)

// Limits of a set.
const (
	// maxNameLength is in bytes.
	maxNameLength = 63
	// maxNumber limits every number that checkNumber checks.
	maxNumber  = 1 << 30
	maxWorkers = 10000
	// maxGuaranteeCells limits both the cells and the cell size of a guarantee.
	maxGuaranteeCells = 10000
	// maxAccelerators limits the accelerators of one worker.
	maxAccelerators = 64
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]*[a-z0-9])?$`)

// Check returns the faults of the set, without file and line. It checks that the guarantees
// fit on the workers only if there is no other fault, and reports at most one for each zone.
func (s *Set) Check() []error {
	c := &checker{set: s}
	c.checkItems()
	c.checkReferences()
	if len(c.faults) == 0 {
		c.faults = c.checkGuarantees()
	}
	var faults []error
	for _, f := range c.faults {
		faults = append(faults, f)
	}
	return faults
}

// checker collects the faults of a set.
type checker struct {
	set    *Set
	faults []*Fault
}

func (c *checker) addFault(path, format string, args ...any) {
	c.faults = append(c.faults, &Fault{Path: path, Reason: fmt.Sprintf(format, args...)})
}

// checkItems checks each item on its own and that names and key hashes are unique.
func (c *checker) checkItems() {
	c.checkOrganisations()
	c.checkClasses()
	c.checkRacks()
	c.checkKeys()
}

func (c *checker) checkOrganisations() {
	seen := map[string]string{}
	for i, o := range c.set.Organisations {
		path := fmt.Sprintf("organisations[%d]", i)
		c.checkName(path+".name", o.Name, seen)
		c.checkNumber(path+".weight", o.Weight, 0)
		c.checkNumber(path+".quota", o.Quota, 0)
		c.checkNumber(path+".urgent_quota", o.UrgentQuota, 0)
		c.checkNumber(path+".max_queued", o.MaxQueued, 0)
		c.checkNumber(path+".request_rate", o.RequestRate, 0)
		c.checkNumber(path+".request_burst", o.RequestBurst, 0)
		for j, g := range o.Guarantees {
			guaranteePath := fmt.Sprintf("%s.guarantees[%d]", path, j)
			c.checkNumber(guaranteePath+".cells", g.Cells, 1)
			c.checkNumber(guaranteePath+".cell_size", g.CellSize, 1)
			if g.Cells > maxGuaranteeCells || g.CellSize > maxGuaranteeCells {
				c.addFault(guaranteePath, "cells or cell_size exceeds %d", maxGuaranteeCells)
			}
		}
	}
}

func (c *checker) checkClasses() {
	seen := map[string]string{}
	for i, class := range c.set.Classes {
		path := fmt.Sprintf("classes[%d]", i)
		c.checkName(path+".name", class.Name, seen)
		c.checkNumber(path+".weight", class.Weight, 0)
		c.checkNumber(path+".max_accelerators", class.MaxAccelerators, 0)
		if class.MaxRunTime == "" {
			continue
		}
		if d, err := time.ParseDuration(class.MaxRunTime); err != nil || d <= 0 {
			c.addFault(path+".max_run_time", "%q is not a positive duration with a unit such as 90m", class.MaxRunTime)
		}
	}
}

func (c *checker) checkRacks() {
	if len(c.set.Racks) == 0 {
		c.addFault("racks", "no rack is configured")
	}
	racks, workers := map[string]string{}, map[string]string{}
	for i, r := range c.set.Racks {
		path := fmt.Sprintf("racks[%d]", i)
		c.checkName(path+".name", r.Name, racks)
		c.checkName(path+".zone", r.Zone, map[string]string{})
		if len(r.Workers) == 0 {
			c.addFault(path+".workers", "rack %s has no worker", r.Name)
		}
		for j, w := range r.Workers {
			c.checkWorker(fmt.Sprintf("%s.workers[%d]", path, j), w, workers)
		}
	}
	if len(workers) > maxWorkers {
		c.addFault("racks", "more than %d workers are configured", maxWorkers)
	}
}

func (c *checker) checkWorker(path string, w Worker, seen map[string]string) {
	c.checkName(path+".name", w.Name, seen)
	c.checkNumber(path+".cpu", w.CPU, 1)
	c.checkNumber(path+".slots", w.Slots, 1)
	c.checkNumber(path+".accelerators", w.Accelerators, 0)
	if w.Accelerators > maxAccelerators {
		c.addFault(path+".accelerators", "%d exceeds %d", w.Accelerators, maxAccelerators)
	}
	if _, err := parseSize(w.Memory); err != nil {
		c.addFault(path+".memory", "%v", err)
	}
}

func (c *checker) checkKeys() {
	names, hashes := map[string]string{}, map[string]string{}
	operators := 0
	for i, k := range c.set.Keys {
		path := fmt.Sprintf("keys[%d]", i)
		c.checkName(path+".name", k.Name, names)
		c.checkKeyRole(path, k)
		if k.Role == RoleOperator {
			operators++
		}
		if !ValidKeyHash(k.SHA256) {
			c.addFault(path+".sha256", "is not a SHA-256 in hexadecimal")
			continue
		}
		c.checkUnique(path+".sha256", "this key", strings.ToLower(k.SHA256), hashes)
	}
	if operators == 0 {
		c.addFault("keys", "no key has role operator: nobody could apply the next configuration")
	}
}

func (c *checker) checkKeyRole(path string, k Key) {
	switch {
	case k.Role != RoleCaller && k.Role != RoleOperator:
		c.addFault(path+".role", "%q is neither caller nor operator", k.Role)
	case k.Role == RoleOperator && k.Organisation != "":
		c.addFault(path+".organisation", "an operator's key belongs to no organisation")
	case k.Role == RoleCaller && k.Organisation == "":
		c.addFault(path+".organisation", "a caller's key needs an organisation")
	}
}

// checkReferences checks that the items that others refer to by name are defined.
func (c *checker) checkReferences() {
	zones := map[string]bool{}
	for _, r := range c.set.Racks {
		zones[r.Zone] = true
	}
	for i, o := range c.set.Organisations {
		for j, g := range o.Guarantees {
			if !zones[g.Zone] {
				c.addFault(fmt.Sprintf("organisations[%d].guarantees[%d].zone", i, j), "no rack is in zone %q", g.Zone)
			}
		}
		for j, name := range o.Classes {
			if _, ok := c.set.Class(name); !ok {
				c.addFault(fmt.Sprintf("organisations[%d].classes[%d]", i, j), "class %q is not defined", name)
			}
		}
	}
	for i, k := range c.set.Keys {
		if _, ok := c.set.Organisation(k.Organisation); k.Organisation != "" && !ok {
			c.addFault(fmt.Sprintf("keys[%d].organisation", i), "organisation %q is not defined", k.Organisation)
		}
	}
}

// checkGuarantees returns a fault for each zone whose guarantees do not all fit on its
// workers together.
func (c *checker) checkGuarantees() []*Fault {
	var faults []*Fault
	for _, err := range core.CheckGuarantees(c.set.Core(0)) {
		faults = append(faults, &Fault{Path: c.guaranteePath(err.Error()), Reason: err.Error()})
	}
	return faults
}

// guaranteePath returns the path of the first guarantee of the organisation and zone that
// text, an error message of core.CheckGuarantees, begins with.
func (c *checker) guaranteePath(text string) string {
	for i, o := range c.set.Organisations {
		for j, g := range o.Guarantees {
			if strings.HasPrefix(text, fmt.Sprintf("organisation %s: zone %s:", o.Name, g.Zone)) {
				return fmt.Sprintf("organisations[%d].guarantees[%d]", i, j)
			}
		}
	}
	return "organisations"
}

// checkName checks that a name is well formed and not yet in seen.
func (c *checker) checkName(path, name string, seen map[string]string) {
	if len(name) > maxNameLength || !namePattern.MatchString(name) {
		c.addFault(path, "%q is not a name: want at most %d of a-z, 0-9, '-' and '.', beginning and ending with a letter or digit", name, maxNameLength)
		return
	}
	c.checkUnique(path, name, name, seen)
}

// checkUnique adds a fault if value is in seen, which maps values to the paths of their
// first use. The message contains label instead of the value, which may be a key hash.
func (c *checker) checkUnique(path, label, value string, seen map[string]string) {
	if first, ok := seen[value]; ok {
		c.addFault(path, "%s appears twice; first at %s", label, first)
		return
	}
	seen[value] = path
}

func (c *checker) checkNumber(path string, n, minimum int) {
	if n < minimum || n > maxNumber {
		c.addFault(path, "%d is out of range: want %d to %d", n, minimum, maxNumber)
	}
}
