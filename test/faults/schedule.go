// Package faults runs the system on real processes while faults drawn from a seed
// happen, and compares what callers were told with what really ran.
package faults

import (
	"fmt"
	"math/rand/v2"
	"time"

	"agatewinch/test/harness"
)

// Kind is a kind of fault.
type Kind string

// The kinds of fault.
const (
	KillScheduler     Kind = "kill scheduler"
	KillGate          Kind = "kill gate"
	KillActive        Kind = "kill the zone's active scheduler"
	PauseScheduler    Kind = "pause scheduler past the lease"
	PauseActive       Kind = "pause the zone's active scheduler past the lease"
	PauseGate         Kind = "pause gate"
	StopScheduler     Kind = "planned stop of a scheduler"
	StopGate          Kind = "planned stop of a gate"
	CutRequests       Kind = "cut a link one way: requests"
	CutAnswers        Kind = "cut a link one way: answers"
	CutBoth           Kind = "cut a link both ways"
	CutAfterBytes     Kind = "cut a link after some bytes"
	HoldAnswers       Kind = "hold a link's answers"
	SlowLink          Kind = "slow link"
	CutWorker         Kind = "cut a worker off"
	DoubleReports     Kind = "worker doubles its reports"
	LogDown           Kind = "log refuses"
	LogHangs          Kind = "log hangs"
	LogSlow           Kind = "log slow"
	LogLosesAnswers   Kind = "log loses answers of appends"
	HostListLags      Kind = "host list lags"
	HostListDown      Kind = "host list down"
	RacingApplies     Kind = "racing applies"
	ZoneOffPlatform   Kind = "zone cut off from the platform"
	ZoneOffPeers      Kind = "zone cut off from its peers"
	ZoneOffBoth       Kind = "zone cut off from platform and peers"
	CancelWave        Kind = "wave of cancellations"
	WorkerFailsAll    Kind = "worker fails everything"
	WorkerLeaves      Kind = "worker leaves"
	WorkerRestarts    Kind = "worker restarts"
	WorkerFreezes     Kind = "worker gives no answers"
	ZoneHostsReplaced Kind = "all entry hosts of a zone replaced"
	SchedulersApart   Kind = "schedulers of a zone cut off from each other"
	ActiveOffWorkers  Kind = "the zone's active scheduler cut off from its workers"
)

// Kinds lists every kind of fault.
func Kinds() []Kind {
	return []Kind{
		KillScheduler, KillGate, KillActive, PauseScheduler, PauseActive, PauseGate, StopScheduler, StopGate,
		CutRequests, CutAnswers, CutBoth, CutAfterBytes, HoldAnswers, SlowLink, CutWorker, DoubleReports,
		LogDown, LogHangs, LogSlow, LogLosesAnswers, HostListLags, HostListDown, RacingApplies,
		ZoneOffPlatform, ZoneOffPeers, ZoneOffBoth, CancelWave, WorkerFailsAll, WorkerLeaves, WorkerRestarts,
		WorkerFreezes, ZoneHostsReplaced, SchedulersApart, ActiveOffWorkers,
	}
}

// Fault is one fault of a schedule.
type Fault struct {
	Kind Kind
	// At is when it begins, from the start of the schedule, and For how long it lasts.
	At, For time.Duration
	// Zone, Host, Worker and Link say what it hits, as far as its kind needs it. Host
	// and Worker count within the zone, and Link among the links of the cluster.
	Zone   string
	Host   int
	Worker int
	Link   int
	// Bytes goes with CutAfterBytes.
	Bytes int64
}

func (f Fault) String() string {
	return fmt.Sprintf("%v for %v: %s (zone %s, host %d, worker %d, link %d)", f.At, f.For, f.Kind, f.Zone, f.Host, f.Worker, f.Link)
}

const (
	phases       = 5
	phaseTime    = 4500 * time.Millisecond
	longestStart = time.Second
	shortestTime = time.Second
	longestTime  = 3500 * time.Millisecond
	linkChoices  = 1 << 20
	bytesChoices = 4096
)

// Draw returns the schedule of a seed: phases with one fault or a pair of faults each.
// The same seed gives the same schedule.
func Draw(seed uint64, opts harness.Options) []Fault {
	rng := rand.New(rand.NewPCG(seed, 0))
	kinds := Kinds()
	var faults []Fault
	for phase := range phases {
		for range 1 + rng.IntN(2) {
			f := Fault{
				Kind:   kinds[rng.IntN(len(kinds))],
				At:     time.Duration(phase)*phaseTime + time.Duration(rng.Int64N(int64(longestStart))),
				For:    shortestTime + time.Duration(rng.Int64N(int64(longestTime-shortestTime))),
				Zone:   opts.Zones[rng.IntN(len(opts.Zones))],
				Host:   rng.IntN(opts.HostsPerZone),
				Worker: rng.IntN(opts.WorkersPerZone),
				Link:   rng.IntN(linkChoices),
				Bytes:  1 + rng.Int64N(bytesChoices),
			}
			faults = append(faults, f)
		}
	}
	return faults
}

// Length is the time of a whole schedule.
func Length() time.Duration { return phases * phaseTime }
