package entry

import (
	"cmp"
	"context"
	"maps"
	"math/rand/v2"
	"slices"

	"agatewinch/internal/errkind"
	"agatewinch/internal/event"
	"agatewinch/internal/ledger"
)

// announce records the address at which other hosts reach this one, once this host has caught
// up with the log. It writes nothing if the log has the same entry.
func (h *Host) announce(ctx context.Context) error {
	if h.settings.PeerListen == "" {
		return nil
	}
	for !h.caughtUp() {
		if sleep(ctx, maxRetryDelay); ctx.Err() != nil {
			return nil
		}
	}
	entry := ledger.HostEntry{Address: h.settings.PeerListen, Zone: h.settings.Zone, Cores: h.settings.Cores}
	if h.ledger.Hosts()[h.settings.Host] == entry {
		return nil
	}
	rec, err := ledger.HostRecord(h.settings.Host, entry)
	if err != nil {
		return err
	}
	for ctx.Err() == nil {
		if err = h.writer.write(ctx, rec); err == nil {
			return nil
		}
		event.Error(h.logger, err, event.LogWriteError, "what", "announce")
		sleep(ctx, maxRetryDelay)
	}
	return nil
}

// Peers implements relay.Host. It returns the other hosts in random order, those of this zone
// first. Seeds that are not known to be in this zone count as hosts of other zones.
func (h *Host) Peers() []string {
	var sameZone, otherZones []string
	known := h.ledger.Hosts()
	for _, name := range slices.Sorted(maps.Keys(known)) {
		switch e := known[name]; {
		case name == h.settings.Host || e.Address == h.settings.PeerListen:
		case e.Zone == h.settings.Zone:
			sameZone = append(sameZone, e.Address)
		default:
			otherZones = append(otherZones, e.Address)
		}
	}
	for _, seed := range h.settings.Seeds {
		if seed != h.settings.PeerListen && !slices.Contains(sameZone, seed) && !slices.Contains(otherZones, seed) {
			otherZones = append(otherZones, seed)
		}
	}
	for _, list := range [][]string{sameZone, otherZones} {
		rand.Shuffle(len(list), func(i, k int) { list[i], list[k] = list[k], list[i] })
	}
	return append(sameZone, otherZones...)
}

// Successors implements relay.Host. It returns the other hosts, those with the most processor cores
// first, so that the leader role does not go to a host that cannot keep up with a large fleet.
func (h *Host) Successors() []string {
	cores := map[string]float64{}
	for _, e := range h.ledger.Hosts() {
		cores[e.Address] = e.Cores
	}
	peers := h.Peers()
	slices.SortStableFunc(peers, func(a, b string) int { return cmp.Compare(cores[b], cores[a]) })
	return peers
}

// Version implements relay.Host.
func (h *Host) Version() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.currentCatalog == nil {
		return h.requiredVersion
	}
	return max(h.requiredVersion, h.currentCatalog.Version)
}

// RequireVersion implements relay.Host: after relaying an answer that is based on a newer
// configuration, a host never gives an answer that is based on an older one.
func (h *Host) RequireVersion(version int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.requiredVersion = max(h.requiredVersion, version)
}

// Stale implements Service. Reads of the state topic are suspended while this host is the leader,
// which knows the state without them because it is the topic's only writer.
func (h *Host) Stale() bool {
	if !h.caughtUp() {
		return true
	}
	h.stateReader.mu.Lock()
	defer h.stateReader.mu.Unlock()
	return h.stateReader.lost && !h.stateReader.suspended
}

// logUnavailable reports whether reads of all job partitions have just failed: the log
// refuses this host or is unavailable. An append would only take longer to fail.
func (h *Host) logUnavailable() bool {
	for _, reader := range h.jobReaders {
		if !reader.recentlyFailed() {
			return false
		}
	}
	return true
}

// SetSuccessors sets the Successors that the host uses while it is the leader. It must be called
// before Run.
func (h *Host) SetSuccessors(s Successors) { h.successors = s }

// TakeOver implements relay.Host.
func (h *Host) TakeOver(epoch int64, holder string) error {
	if h.Stale() || !h.Ready() {
		return retryableError(errkind.LogUnavailable, retryAfterSeconds, "this host is not ready, or cannot read the log")
	}
	current := h.ledger.Role()
	if current.Epoch != epoch || current.Holder != holder || current.Released {
		return errkind.New(errkind.Conflict, "the newest record of the leader role is from %s with epoch %d", current.Holder, current.Epoch)
	}
	h.role.claimSoon()
	return nil
}
