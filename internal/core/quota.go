package core

import "fmt"

// overQuota says why the job would take its organisation over its quota; it is empty
// when the job stays within.
func (c *Core) overQuota(j *job) string {
	n := j.Shape.Accelerators()
	def := j.org.def
	if def.Quota > 0 && j.org.running.accelerators+n > def.Quota {
		return fmt.Sprintf("organisation %s uses %d accelerators; with the job's %d it would pass its quota of %d",
			j.Org, j.org.running.accelerators, n, def.Quota)
	}
	if !j.class.Urgent || n == 0 || c.opts.Policy == PolicyFIFO {
		return ""
	}
	if limit := c.urgentLimit(j.org); j.org.urgent+n > limit {
		return fmt.Sprintf("organisation %s uses %d accelerators for urgent work; with the job's %d it would pass its urgent quota of %d",
			j.Org, j.org.urgent, n, limit)
	}
	return ""
}

// urgentLimit bounds the accelerators of an organisation's running urgent jobs.
func (c *Core) urgentLimit(o *org) int {
	if o.def.UrgentQuota > 0 {
		return o.def.UrgentQuota
	}
	return o.promised(c.opts.Zone)
}
