package core

import (
	"fmt"
	"sort"

	"agatewinch/internal/core/cell"
)

// CheckGuarantees reports every zone in which the guaranteed shapes do not all fit
// together. Each error names the first shape that does not fit and what is short.
func CheckGuarantees(cfg *Config) []error {
	var errs []error
	for _, zone := range guaranteedZones(cfg) {
		cells := bindConfigured(cfg, zone)
		if b := firstUnbound(cells); b != nil {
			errs = append(errs, shortfall(cfg, zone, cells, *b))
		}
	}
	return errs
}

func guaranteedZones(cfg *Config) []ZoneID {
	seen := map[ZoneID]bool{}
	var zones []ZoneID
	for _, o := range cfg.Organisations {
		for _, g := range o.Guarantees {
			if !seen[g.Zone] {
				seen[g.Zone] = true
				zones = append(zones, g.Zone)
			}
		}
	}
	sort.Slice(zones, func(a, b int) bool { return zones[a] < zones[b] })
	return zones
}

func firstUnbound(cells []boundCell) *boundCell {
	for i := range cells {
		if len(cells[i].parts) == 0 {
			return &cells[i]
		}
	}
	return nil
}

// shortfall describes the shape of b: how many of its cells fit, and what is short.
func shortfall(cfg *Config, zone ZoneID, cells []boundCell, b boundCell) error {
	fit, asked := 0, 0
	for _, other := range cells {
		if other.org != b.org || other.size != b.size {
			continue
		}
		asked++
		if len(other.parts) > 0 {
			fit++
		}
	}
	return fmt.Errorf("organisation %s: zone %s: %d of %d cells of %d accelerators fit; short %d accelerators %s",
		b.org, zone, fit, asked, b.size, (asked-fit)*b.size, missingLocation(cfg, zone, b.size))
}

func missingLocation(cfg *Config, zone ZoneID, size int) string {
	width := widest(bindableWorkers(cfg, zone))
	switch {
	case width == 0:
		return "as no worker of the zone has accelerators"
	case size > width:
		return fmt.Sprintf("in racks with %d free whole workers", (size+width-1)/width)
	case size == width:
		return "in racks with a free whole worker"
	default:
		return fmt.Sprintf("in free blocks of %d on a worker with a free slot", cell.Block(size))
	}
}
