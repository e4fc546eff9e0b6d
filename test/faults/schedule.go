// Package faults runs the system as real processes, injects faults from a seeded schedule and
// compares the responses that callers received with what actually ran.
package faults

import (
	"fmt"
	"math/rand/v2"
	"time"

	"agatewinch/test/harness"
)

// Kind is a kind of fault.
type Kind string

// Kinds of faults. A paused scheduler stays paused past its leases only if the fault's Duration
// exceeds the lease TTL.
const (
	KillScheduler         Kind = "kill scheduler"
	KillGate              Kind = "kill gate"
	KillActive            Kind = "kill the zone's active scheduler"
	PauseScheduler        Kind = "pause scheduler past the lease"
	PauseActive           Kind = "pause the zone's active scheduler past the lease"
	PauseGate             Kind = "pause gate"
	StopScheduler         Kind = "planned stop of a scheduler"
	StopGate              Kind = "planned stop of a gate"
	CutRequests           Kind = "cut a link one way: requests"
	CutAnswers            Kind = "cut a link one way: answers"
	CutBoth               Kind = "cut a link both ways"
	CutAfterBytes         Kind = "cut a link after some bytes"
	HoldAnswers           Kind = "hold a link's answers"
	SlowLink              Kind = "slow link"
	CutWorker             Kind = "cut a worker off"
	DoubleReports         Kind = "worker doubles its reports"
	LogDown               Kind = "log refuses"
	LogHangs              Kind = "log hangs"
	LogSlow               Kind = "log slow"
	LogLosesAnswers       Kind = "log loses answers of appends"
	HostListLags          Kind = "host list lags"
	HostListDown          Kind = "host list down"
	RacingApplies         Kind = "racing applies"
	ZoneCutFromPlatform   Kind = "zone cut off from the platform"
	ZoneCutFromPeers      Kind = "zone cut off from its peers"
	ZoneCutFromBoth       Kind = "zone cut off from platform and peers"
	CancelJobs            Kind = "wave of cancellations"
	WorkerFailsAll        Kind = "worker fails everything"
	WorkerLeaves          Kind = "worker leaves"
	WorkerRestarts        Kind = "worker restarts"
	WorkerFreezes         Kind = "worker gives no answers"
	ZoneHostsReplaced     Kind = "all entry hosts of a zone replaced"
	SchedulersPartitioned Kind = "schedulers of a zone cut off from each other"
	ActiveCutFromWorkers  Kind = "the zone's active scheduler cut off from its workers"
)

// Kinds returns all kinds of faults.
func Kinds() []Kind {
	return []Kind{
		KillScheduler, KillGate, KillActive, PauseScheduler, PauseActive, PauseGate, StopScheduler, StopGate,
		CutRequests, CutAnswers, CutBoth, CutAfterBytes, HoldAnswers, SlowLink, CutWorker, DoubleReports,
		LogDown, LogHangs, LogSlow, LogLosesAnswers, HostListLags, HostListDown, RacingApplies,
		ZoneCutFromPlatform, ZoneCutFromPeers, ZoneCutFromBoth, CancelJobs, WorkerFailsAll, WorkerLeaves, WorkerRestarts,
		WorkerFreezes, ZoneHostsReplaced, SchedulersPartitioned, ActiveCutFromWorkers,
	}
}

// Fault is one fault of a schedule.
type Fault struct {
	Kind Kind
	// At is the time from the start of the schedule to the start of the fault.
	At, Duration time.Duration
	// Zone, Host, Worker and Link select the target, as far as the kind of fault needs one.
	// Host and Worker are indexes within the zone, and Link is an index into the links of
	// the cluster. Host and Link are reduced modulo the number of hosts in the zone and of
	// links in the cluster.
	Zone   string
	Host   int
	Worker int
	Link   int
	// Bytes is the number of bytes after which CutAfterBytes cuts the link.
	Bytes int64
}

func (f Fault) String() string {
	return fmt.Sprintf("%v for %v: %s (zone %s, host %d, worker %d, link %d)", f.At, f.Duration, f.Kind, f.Zone, f.Host, f.Worker, f.Link)
}

const (
	phases         = 5
	phaseTime      = 4500 * time.Millisecond
	maxStartOffset = time.Second
	minFaultTime   = time.Second
	maxFaultTime   = 3500 * time.Millisecond
	linkRange      = 1 << 20
	bytesRange     = 4096
)

// GenerateSchedule generates the schedule of a seed: consecutive phases with one or two faults
// each. The same seed gives the same schedule.
func GenerateSchedule(seed uint64, opts harness.Options) []Fault {
	rng := rand.New(rand.NewPCG(seed, 0))
	kinds := Kinds()
	var faults []Fault
	for phase := range phases {
		for range 1 + rng.IntN(2) {
			f := Fault{
				Kind:     kinds[rng.IntN(len(kinds))],
				At:       time.Duration(phase)*phaseTime + time.Duration(rng.Int64N(int64(maxStartOffset))),
				Duration: minFaultTime + time.Duration(rng.Int64N(int64(maxFaultTime-minFaultTime))),
				Zone:     opts.Zones[rng.IntN(len(opts.Zones))],
				Host:     rng.IntN(opts.HostsPerZone),
				Worker:   rng.IntN(opts.WorkersPerZone),
				Link:     rng.IntN(linkRange),
				Bytes:    1 + rng.Int64N(bytesRange),
			}
			faults = append(faults, f)
		}
	}
	return faults
}

// TotalPhaseTime returns the total duration of the phases of a schedule.
func TotalPhaseTime() time.Duration { return phases * phaseTime }
