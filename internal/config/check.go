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
	maxNameLength       = 63
	maxNumber           = 1 << 30
	maxWorkers          = 10000
	maxCellsOfGuarantee = 10000
	maxAccelerators     = 64
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]*[a-z0-9])?$`)

// Check returns every fault of the set that can be told without its files, and the
// first guarantee that does not fit when there is no other fault.
func (s *Set) Check() []error {
	c := &checker{set: s}
	c.checkItems()
	c.checkReferences()
	if len(c.faults) == 0 {
		c.faults = c.feasible()
	}
	var faults []error
	for _, f := range c.faults {
		faults = append(faults, f)
	}
	return faults
}

type checker struct {
	set    *Set
	faults []*Fault
}

func (c *checker) fail(path, format string, args ...any) {
	c.faults = append(c.faults, &Fault{Path: path, Reason: fmt.Sprintf(format, args...)})
}

// checkItems checks each item by itself, and names that must not appear twice.
func (c *checker) checkItems() {
	c.organisations()
	c.classes()
	c.racks()
	c.keys()
}

func (c *checker) organisations() {
	seen := map[string]string{}
	for i, o := range c.set.Organisations {
		path := fmt.Sprintf("organisations[%d]", i)
		c.name(path+".name", o.Name, seen)
		c.number(path+".weight", o.Weight, 0)
		c.number(path+".quota", o.Quota, 0)
		c.number(path+".urgent_quota", o.UrgentQuota, 0)
		c.number(path+".max_queued", o.MaxQueued, 0)
		c.number(path+".request_rate", o.RequestRate, 0)
		c.number(path+".request_burst", o.RequestBurst, 0)
		for j, g := range o.Guarantees {
			at := fmt.Sprintf("%s.guarantees[%d]", path, j)
			c.number(at+".cells", g.Cells, 1)
			c.number(at+".cell_size", g.CellSize, 1)
			if g.Cells > maxCellsOfGuarantee || g.CellSize > maxCellsOfGuarantee {
				c.fail(at, "is over %d", maxCellsOfGuarantee)
			}
		}
	}
}

func (c *checker) classes() {
	seen := map[string]string{}
	for i, class := range c.set.Classes {
		path := fmt.Sprintf("classes[%d]", i)
		c.name(path+".name", class.Name, seen)
		c.number(path+".weight", class.Weight, 0)
		c.number(path+".max_accelerators", class.MaxAccelerators, 0)
		if class.MaxRunTime == "" {
			continue
		}
		if d, err := time.ParseDuration(class.MaxRunTime); err != nil || d <= 0 {
			c.fail(path+".max_run_time", "%q is not a time with a unit such as 90m", class.MaxRunTime)
		}
	}
}

func (c *checker) racks() {
	if len(c.set.Racks) == 0 {
		c.fail("racks", "no rack is configured")
	}
	racks, workers := map[string]string{}, map[string]string{}
	for i, r := range c.set.Racks {
		path := fmt.Sprintf("racks[%d]", i)
		c.name(path+".name", r.Name, racks)
		c.name(path+".zone", r.Zone, map[string]string{})
		if len(r.Workers) == 0 {
			c.fail(path+".workers", "rack %s has no worker", r.Name)
		}
		for j, w := range r.Workers {
			c.worker(fmt.Sprintf("%s.workers[%d]", path, j), w, workers)
		}
	}
	if len(workers) > maxWorkers {
		c.fail("racks", "over %d workers", maxWorkers)
	}
}

func (c *checker) worker(path string, w Worker, seen map[string]string) {
	c.name(path+".name", w.Name, seen)
	c.number(path+".cpu", w.CPU, 1)
	c.number(path+".slots", w.Slots, 1)
	c.number(path+".accelerators", w.Accelerators, 0)
	if w.Accelerators > maxAccelerators {
		c.fail(path+".accelerators", "%d is over %d", w.Accelerators, maxAccelerators)
	}
	if _, err := parseSize(w.Memory); err != nil {
		c.fail(path+".memory", "%v", err)
	}
}

func (c *checker) keys() {
	names, sums := map[string]string{}, map[string]string{}
	operators := 0
	for i, k := range c.set.Keys {
		path := fmt.Sprintf("keys[%d]", i)
		c.name(path+".name", k.Name, names)
		c.keyRole(path, k)
		if k.Role == RoleOperator {
			operators++
		}
		if !ValidHash(k.SHA256) {
			c.fail(path+".sha256", "is not a SHA-256 in hexadecimal")
			continue
		}
		c.once(path+".sha256", "this key", strings.ToLower(k.SHA256), sums)
	}
	if operators == 0 {
		c.fail("keys", "no key has role operator: nobody could apply the next configuration")
	}
}

func (c *checker) keyRole(path string, k Key) {
	switch {
	case k.Role != RoleCaller && k.Role != RoleOperator:
		c.fail(path+".role", "%q is neither caller nor operator", k.Role)
	case k.Role == RoleOperator && k.Organisation != "":
		c.fail(path+".organisation", "an operator's key belongs to no organisation")
	case k.Role == RoleCaller && k.Organisation == "":
		c.fail(path+".organisation", "a caller's key needs an organisation")
	}
}

// checkReferences checks names that must be defined elsewhere in the set.
func (c *checker) checkReferences() {
	zones := map[string]bool{}
	for _, r := range c.set.Racks {
		zones[r.Zone] = true
	}
	for i, o := range c.set.Organisations {
		for j, g := range o.Guarantees {
			if !zones[g.Zone] {
				c.fail(fmt.Sprintf("organisations[%d].guarantees[%d].zone", i, j), "no rack stands in zone %q", g.Zone)
			}
		}
		for j, name := range o.Classes {
			if _, ok := c.set.Class(name); !ok {
				c.fail(fmt.Sprintf("organisations[%d].classes[%d]", i, j), "class %q is not defined", name)
			}
		}
	}
	for i, k := range c.set.Keys {
		if _, ok := c.set.Organisation(k.Organisation); k.Organisation != "" && !ok {
			c.fail(fmt.Sprintf("keys[%d].organisation", i), "organisation %q is not defined", k.Organisation)
		}
	}
}

// feasible tells whether all guarantees fit on the workers together.
func (c *checker) feasible() []*Fault {
	var faults []*Fault
	for _, err := range core.CheckGuarantees(c.set.Core(0)) {
		faults = append(faults, &Fault{Path: c.guaranteePath(err.Error()), Reason: err.Error()})
	}
	return faults
}

// guaranteePath finds the guarantee that the core's text begins with.
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

func (c *checker) name(path, name string, seen map[string]string) {
	if len(name) > maxNameLength || !namePattern.MatchString(name) {
		c.fail(path, "%q is not a name: want at most %d of a-z, 0-9, '-' and '.'", name, maxNameLength)
		return
	}
	c.once(path, name, name, seen)
}

func (c *checker) once(path, shown, value string, seen map[string]string) {
	if first, ok := seen[value]; ok {
		c.fail(path, "%s appears twice; first at %s", shown, first)
		return
	}
	seen[value] = path
}

func (c *checker) number(path string, n, least int) {
	if n < least || n > maxNumber {
		c.fail(path, "%d is not from %d to %d", n, least, maxNumber)
	}
}
