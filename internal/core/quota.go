package core

import "fmt"

// urgentSumTolerance absorbs the floating-point error of sums of urgent units, in accelerators.
const urgentSumTolerance = 1e-6

// quotaViolation returns why the job would take its organisation over its quota; it is empty
// when the job stays within.
func (c *Core) quotaViolation(j *job) string {
	n := j.Shape.Accelerators()
	def := j.org.def
	if def.Quota > 0 && j.org.running.accelerators+n > def.Quota {
		return fmt.Sprintf("organisation %s uses %d accelerators; with the job's %d it would exceed its quota of %d",
			j.Org, j.org.running.accelerators, n, def.Quota)
	}
	return ""
}

// countsAsUrgent reports whether the job is urgent and within its organisation's urgent
// quota. Urgent jobs beyond the quota are ordered like other jobs.
func (c *Core) countsAsUrgent(j *job) bool {
	return j.class.Urgent && j.org.urgent+c.urgentUnits(j.Shape) <= float64(c.urgentLimit(j.org))+urgentSumTolerance
}

// urgentLimit returns the bound on the accelerators of an organisation's running jobs that count
// as urgent: its urgent quota, or its guarantee in the zone when it has none.
func (c *Core) urgentLimit(o *org) int {
	if o.def.UrgentQuota > 0 {
		return o.def.UrgentQuota
	}
	return o.guaranteedInZone(c.opts.Zone)
}

// urgentUnits returns the accelerators that a job of shape s counts against the urgent quota: its
// own, or, without any, those that correspond to its dominant share of the zone.
func (c *Core) urgentUnits(s Shape) float64 {
	if s.CellSize > 0 {
		return float64(s.Accelerators())
	}
	return c.need(s).dominantShare(c.total) * float64(c.total.accelerators)
}
