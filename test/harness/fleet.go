package harness

import (
	"fmt"
	"net/http"
	"time"

	"agatewinch/internal/api"
	"agatewinch/internal/config"
	"agatewinch/internal/core"
	"agatewinch/internal/standin"
)

// Options are the parameters of a cluster.
type Options struct {
	Zones          []string
	HostsPerZone   int
	WorkersPerZone int
	// LeaseTTL is the TTL of a lease on a worker, ReserveTTL that of a reservation.
	LeaseTTL, ReserveTTL time.Duration
	// Gate are limits of every gate.
	Gate GateLimits
}

// DefaultOptions returns options for three zones with two entry hosts and four workers each.
func DefaultOptions() Options {
	return Options{
		Zones: []string{"vatuwaqa", "nabua", "lami"}, HostsPerZone: 2, WorkersPerZone: 4,
		LeaseTTL: 2 * time.Second, ReserveTTL: time.Second,
	}
}

// Limits of the stand-in platform without injected faults.
const (
	appendsPerSecond = 400
	workerConns      = 64
	usageEvery       = 2 * time.Second
	usageLag         = time.Second
)

// LogLimits returns the limits of the log without injected faults.
func LogLimits() standin.LogFaults { return standin.LogFaults{AppendsPerSecond: appendsPerSecond} }

// WorkerLimits returns the limits of a worker without injected faults.
func WorkerLimits() standin.WorkerFaults {
	return standin.WorkerFaults{MaxConns: workerConns, UsageEvery: usageEvery, UsageLag: usageLag}
}

// API key and organisations of the cluster's configuration.
const (
	operatorKey = "operator-key"
	// OrgSurvey and OrgTesting are the organisations that submit jobs.
	OrgSurvey  = "survey"
	OrgTesting = "testing"
)

// Classes of the cluster's configuration.
const (
	ClassCheck = "check"
	ClassGang  = "reconcile"
	ClassBill  = "bill"
)

const (
	workerCPU          = 32
	workerMemory       = "64GiB"
	workerAccelerators = 8
	workerSlots        = 8
)

func callerKey(org string) string { return org + "-key" }

// Caller returns an API client of an organisation for a host's gate. Each call uses a new connection.
func Caller(h *EntryHost, org string) *api.Client {
	return &api.Client{BaseURL: h.GateURL, Key: callerKey(org), HTTP: &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}}
}

// clusterConfig returns the configuration of a cluster.
func clusterConfig(opts Options) config.Set {
	set := config.Set{
		Classes: []config.Class{
			{Name: ClassCheck, Urgent: true, Weight: 2},
			{Name: ClassGang, Checkpoint: true, Weight: 1},
			{Name: ClassBill, Weight: 1},
		},
		Keys: []config.Key{{Name: "operations", Role: config.RoleOperator, SHA256: config.HashKey(operatorKey)}},
	}
	for _, org := range []string{OrgSurvey, OrgTesting} {
		set.Organisations = append(set.Organisations, config.Organisation{Name: org, Weight: 1, Quota: 10000, UrgentQuota: 10000, MaxQueued: 10000})
		set.Keys = append(set.Keys, config.Key{Name: org, Role: config.RoleCaller, Organisation: org, SHA256: config.HashKey(callerKey(org))})
	}
	for _, zone := range opts.Zones {
		rack := config.Rack{Name: zone + "-r1", Zone: zone}
		for i := range opts.WorkersPerZone {
			rack.Workers = append(rack.Workers, config.Worker{
				Name: WorkerName(zone, i), CPU: workerCPU, Memory: workerMemory, Accelerators: workerAccelerators, Slots: workerSlots,
			})
		}
		set.Racks = append(set.Racks, rack)
	}
	return set
}

// WorkerName returns the name of the i-th worker of a zone, counted from 0.
func WorkerName(zone string, i int) string { return fmt.Sprintf("%s-w%d", zone, i+1) }

func workerIDs(set config.Set) []core.WorkerID {
	var ids []core.WorkerID
	for _, r := range set.Racks {
		for _, w := range r.Workers {
			ids = append(ids, core.WorkerID(w.Name))
		}
	}
	return ids
}
