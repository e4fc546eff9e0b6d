package standin

import (
	"sync"
	"time"

	"agatewinch/internal/platform"
)

// HostListFaults are the faults of the host list.
type HostListFaults struct {
	// Lag is how far the served list is behind its newest version, in nanoseconds.
	Lag time.Duration `json:"lag" yaml:"lag"`
	// Down makes every read fail with status 503.
	Down bool `json:"down" yaml:"down"`
}

// hostList keeps every version of the list so that it can serve the list with a lag.
type hostList struct {
	mu       sync.Mutex
	faults   HostListFaults
	versions []hostVersion
}

type hostVersion struct {
	at    time.Time
	hosts []platform.Host
}

func newHostList(hosts []platform.Host, f HostListFaults) *hostList {
	return &hostList{faults: f, versions: []hostVersion{{hosts: hosts}}}
}

func (l *hostList) setFaults(f HostListFaults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
}

// visible returns the version to serve, the newest that is at least Lag old, and false
// if the list is down.
func (l *hostList) visible() ([]platform.Host, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	limit := time.Now().Add(-l.faults.Lag)
	newest := 0
	for i, v := range l.versions {
		if !v.at.After(limit) {
			newest = i
		}
	}
	return l.versions[newest].hosts, !l.faults.Down
}

// put adds or replaces a host.
func (l *hostList) put(h platform.Host) {
	l.edit(func(hosts []platform.Host) []platform.Host {
		for i := range hosts {
			if hosts[i].ID == h.ID && hosts[i].Kind == h.Kind {
				hosts[i] = h
				return hosts
			}
		}
		return append(hosts, h)
	})
}

// remove removes a host from the list.
func (l *hostList) remove(id string) {
	l.edit(func(hosts []platform.Host) []platform.Host {
		kept := hosts[:0]
		for _, h := range hosts {
			if h.ID != id {
				kept = append(kept, h)
			}
		}
		return kept
	})
}

// edit adds a new version, made by change from a copy of the newest.
func (l *hostList) edit(change func([]platform.Host) []platform.Host) {
	l.mu.Lock()
	defer l.mu.Unlock()
	newest := l.versions[len(l.versions)-1].hosts
	hosts := change(append([]platform.Host(nil), newest...))
	l.versions = append(l.versions, hostVersion{at: time.Now(), hosts: hosts})
}
