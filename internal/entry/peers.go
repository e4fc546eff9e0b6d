package entry

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"

	"agatewinch/internal/errkind"
	"agatewinch/internal/event"
	"agatewinch/internal/ledger"
)

// announce writes where other hosts reach this one, once the log can be read.
func (h *Host) announce(ctx context.Context) error {
	if h.set.PeerListen == "" {
		return nil
	}
	for !h.caughtUp() {
		if sleep(ctx, retryMax); ctx.Err() != nil {
			return nil
		}
	}
	entry := ledger.HostEntry{Address: h.set.PeerListen, Zone: h.set.Zone}
	if h.ledger.Hosts()[h.set.Host] == entry {
		return nil
	}
	rec, err := ledger.HostRecord(h.set.Host, entry)
	if err != nil {
		return err
	}
	for ctx.Err() == nil {
		if err = h.writer.write(ctx, rec); err == nil {
			return nil
		}
		event.Error(h.out, err, event.LogWriteError, "what", "announce")
		sleep(ctx, retryMax)
	}
	return nil
}

// Peers implements relay.Host: the other hosts in random order, those of other zones last.
func (h *Host) Peers() []string {
	var near, far []string
	known := h.ledger.Hosts()
	for _, name := range slices.Sorted(maps.Keys(known)) {
		switch e := known[name]; {
		case name == h.set.Host || e.Address == h.set.PeerListen:
		case e.Zone == h.set.Zone:
			near = append(near, e.Address)
		default:
			far = append(far, e.Address)
		}
	}
	for _, seed := range h.set.Seeds {
		if seed != h.set.PeerListen && !slices.Contains(near, seed) && !slices.Contains(far, seed) {
			far = append(far, seed)
		}
	}
	for _, list := range [][]string{near, far} {
		rand.Shuffle(len(list), func(i, k int) { list[i], list[k] = list[k], list[i] })
	}
	return append(near, far...)
}

// Version implements relay.Host.
func (h *Host) Version() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.current == nil {
		return h.required
	}
	return max(h.required, h.current.Version)
}

// RequireVersion implements relay.Host: a host that has passed on a newer configuration's
// answer never answers by an older one.
func (h *Host) RequireVersion(version int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.required = max(h.required, version)
}

// Behind implements Service.
func (h *Host) Behind() bool {
	if !h.caughtUp() {
		return true
	}
	h.state.mu.Lock()
	defer h.state.mu.Unlock()
	return h.state.lost && !h.state.suspended
}

// cutOff reports whether the log has just refused all reads of jobs: it refuses this host,
// or is away. An append would only take longer to fail.
func (h *Host) cutOff() bool {
	for _, f := range h.jobs {
		if !f.refused() {
			return false
		}
	}
	return true
}

// Join sets who finds a successor for the deciding role; it is called before Run.
func (h *Host) Join(s Successors) { h.successors = s }

// Succeed implements relay.Host.
func (h *Host) Succeed(epoch int64, holder string) error {
	if h.Behind() || !h.Ready() {
		return retryLater(errkind.LogUnavailable, comeBack, "the log does not answer this host")
	}
	now := h.ledger.Role()
	if now.Epoch != epoch || now.Holder != holder || now.Released {
		return errkind.New(errkind.Conflict, "the role is held by %s under epoch %d", now.Holder, now.Epoch)
	}
	h.role.succeed()
	return nil
}
