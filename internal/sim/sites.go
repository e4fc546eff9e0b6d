package sim

import (
	"time"

	"agatewinch/internal/core/dispatch"
	"agatewinch/internal/core/job"
)

// Site holds the job classes of a site with the settings and the worker capacity that they
// are meant for.
type Site struct {
	Settings dispatch.Settings
	Capacity job.Resources
	Classes  []Class
}

// Launches returns the launch log site, which runs large gangs, urgent checks and wide
// summaries. Each task of a sheet-reconcile gang takes more than half of a worker's memory, so
// no two fit on one worker.
func Launches() Site {
	return Site{Settings: settings(200 * time.Millisecond), Capacity: job.Resources{CPU: 64000, MemMB: 131072, Accelerators: 8}, Classes: []Class{
		{
			Name: "sheet-reconcile", Priority: 1, Attempts: 4, Stretch: 3, Objective: time.Second, Value: 3, LateValue: 1.5,
			Rate: 0.63, RunTime: 8500 * time.Millisecond, RunTimeSpread: 0.3, MaxRunTime: 11 * time.Second, Width: 5, WidthSpread: 0.8, MaxWidth: 30,
			Steps: 1, CPU: 26000, MemMB: 68000, Accelerators: []int64{1, 2, 4, 8, 8}, Gang: true, SameRack: 0.6, Checkpoints: 0.45,
			AlwaysFails: 0.01, Flaky: 0.02, Cancel: 0.05, EstimateError: 0.2, Prefilled: 5,
		},
		{
			Name: "currency-check", Priority: 0, Attempts: 3, Stretch: 1.5, Objective: 250 * time.Millisecond, Value: 4, LateValue: 0.8,
			Rate: 1.53, RunTime: 2500 * time.Millisecond, RunTimeSpread: 0.5, MaxRunTime: 8 * time.Second, Width: 3.4, WidthSpread: 0.8, MaxWidth: 21,
			Steps: 1, CPU: 7500, MemMB: 11000, Accelerators: []int64{1, 2, 4, 8, 8}, Gang: true, SameRack: 0.8, Flaky: 0.02, EstimateError: 0.9,
		},
		{
			Name: "monthly-summary", Priority: 2, Attempts: 3, Stretch: 3, Objective: 3 * time.Second, Value: 1, LateValue: 0.5,
			Rate: 0.47, RunTime: 9500 * time.Millisecond, RunTimeSpread: 0.3, MaxRunTime: 11 * time.Second, Width: 16, WidthSpread: 0.8, MaxWidth: 94,
			Steps: 1.3, CPU: 5600, MemMB: 11000, Accelerators: []int64{1}, Checkpoints: 0.45, AlwaysFails: 0.01, Flaky: 0.005, Cancel: 0.15,
			EstimateError: 0.2, Prefilled: 7,
		},
	}}
}

// Leadline returns the pipe renewal site. Its workers are smaller than those of Launches, and
// late jobs earn little: a tenth of the full value, or a fifth in the urgent class.
func Leadline() Site {
	return Site{Settings: settings(400 * time.Millisecond), Capacity: job.Resources{CPU: 32000, MemMB: 65536, Accelerators: 8}, Classes: []Class{
		{
			Name: "pipe-survey", Priority: 1, Attempts: 2, Stretch: 3, Objective: time.Second, Value: 3, LateValue: 0.3,
			Rate: 0.86, RunTime: 8500 * time.Millisecond, RunTimeSpread: 0.3, MaxRunTime: 11 * time.Second, Width: 4, WidthSpread: 0.8, MaxWidth: 24,
			Steps: 1, CPU: 13000, MemMB: 26000, Accelerators: []int64{1, 2, 4, 8, 8}, Gang: true, SameRack: 0.6, Checkpoints: 0.45,
			AlwaysFails: 0.01, Flaky: 0.05, Cancel: 0.05, EstimateError: 0.2, Prefilled: 9,
		},
		{
			Name: "work-order", Priority: 0, Attempts: 4, Stretch: 1.5, Objective: 250 * time.Millisecond, Value: 4, LateValue: 0.8,
			Rate: 1.92, RunTime: 2500 * time.Millisecond, RunTimeSpread: 0.5, MaxRunTime: 8 * time.Second, Width: 3, WidthSpread: 0.8, MaxWidth: 18,
			Steps: 1, CPU: 3700, MemMB: 7600, Accelerators: []int64{1, 2, 4, 8, 8}, Gang: true, SameRack: 0.8, Flaky: 0.05, EstimateError: 0.9,
		},
		{
			Name: "lead-test", Priority: 2, Attempts: 4, Stretch: 3, Objective: 3 * time.Second, Value: 1, LateValue: 0.1,
			Rate: 0.68, RunTime: 9500 * time.Millisecond, RunTimeSpread: 0.3, MaxRunTime: 11 * time.Second, Width: 12, WidthSpread: 0.8, MaxWidth: 72,
			Steps: 1.3, CPU: 2800, MemMB: 4100, Accelerators: []int64{1}, Checkpoints: 0.45, AlwaysFails: 0.03, Flaky: 0.005, Cancel: 0.15,
			EstimateError: 0.2, Prefilled: 9,
		},
	}}
}

// Scaled returns the site with arrival rates and numbers of prefilled jobs multiplied by
// rateFactor, and with the widths of steps multiplied by widthFactor.
func (s Site) Scaled(rateFactor, widthFactor float64) Site {
	classes := make([]Class, len(s.Classes))
	for i, c := range s.Classes {
		c.Rate *= rateFactor
		c.Width *= widthFactor
		c.MaxWidth = int(float64(c.MaxWidth) * widthFactor)
		c.Prefilled = int(float64(c.Prefilled) * rateFactor)
		classes[i] = c
	}
	s.Classes = classes
	return s
}

// settings returns the settings of a site on which stopping a run takes the given time.
func settings(stop time.Duration) dispatch.Settings {
	return dispatch.Settings{LeaseTTL: 8 * time.Second, ProbeWait: 2 * time.Second, FormerRenewalTime: 5 * time.Second, FormerLeaseTime: 15 * time.Second, SpreadFactor: 3, MaxStopTime: stop}
}

// Loggers returns the logger analytics site: wide gangs that need whole workers, frequent urgent gangs,
// and wide batches. A late job earns less than a third of its value.
func Loggers() Site {
	set := settings(900 * time.Millisecond)
	set.RestoreTime = 600 * time.Millisecond
	return Site{Settings: set, Capacity: job.Resources{CPU: 32000, MemMB: 131072, Accelerators: 8}, Classes: []Class{
		{
			Name: "transient-sweep", Priority: 1, Attempts: 3, Stretch: 3, Objective: time.Second, Value: 3, LateValue: 0.9,
			Rate: 0.76, RunTime: 8500 * time.Millisecond, RunTimeSpread: 0.3, MaxRunTime: 11 * time.Second, Width: 13, WidthSpread: 0.8, MaxWidth: 78,
			Steps: 1, CPU: 13000, MemMB: 53000, Accelerators: []int64{1, 2, 4, 8, 8}, Gang: true, SameRack: 0.6, Checkpoints: 0.45,
			AlwaysFails: 0.01, Flaky: 0.005, Cancel: 0.05, EstimateError: 0.5, Prefilled: 4,
		},
		{
			Name: "leak-scan", Priority: 0, Attempts: 4, Stretch: 1.5, Objective: 300 * time.Millisecond, Value: 4, LateValue: 0.8,
			Rate: 3.25, RunTime: 2500 * time.Millisecond, RunTimeSpread: 0.5, MaxRunTime: 8 * time.Second, Width: 5.4, WidthSpread: 0.8, MaxWidth: 32,
			Steps: 1, CPU: 3700, MemMB: 15000, Accelerators: []int64{1, 2, 4, 8, 8}, Gang: true, SameRack: 0.8, Flaky: 0.005, EstimateError: 0.2,
		},
		{
			Name: "compliance-batch", Priority: 2, Attempts: 2, Stretch: 3, Objective: 3 * time.Second, Value: 1, LateValue: 0.3,
			Rate: 0.60, RunTime: 9500 * time.Millisecond, RunTimeSpread: 0.3, MaxRunTime: 11 * time.Second, Width: 39, WidthSpread: 0.8, MaxWidth: 230,
			Steps: 1.3, CPU: 2800, MemMB: 15000, Accelerators: []int64{1}, Checkpoints: 0.45, AlwaysFails: 0.01, Flaky: 0.05, Cancel: 0.15,
			EstimateError: 0.2, Prefilled: 5,
		},
	}}
}
