package gate

import (
	"context"
	"net/http"
	"time"

	"github.com/fxamacker/cbor/v2"

	"agatewinch/internal/core"
	"agatewinch/internal/errkind"
	"agatewinch/internal/membership"
	"agatewinch/internal/platform"
	"agatewinch/internal/routing"
	"agatewinch/internal/wire"
)

// PeerOptions configures how a gate finds the schedulers and how they find the gate.
type PeerOptions struct {
	// Schedulers has the scheduler addresses from the settings.
	Schedulers []membership.Seed
	// Hosts is the platform's host list; nil if it is not used.
	Hosts platform.HostList
	// Interval and Timeout are passed to membership.Options.
	Interval, Timeout time.Duration
	// Addr is the address at which peers reach HandlePeer; empty if there is none.
	Addr string
	// Client is the HTTP client for connections to the schedulers; nil means no TLS.
	Client *http.Client
}

func (g *Gate) newMembership() *membership.Membership {
	p := g.opts.Peers
	return membership.New(membership.Options{
		Seeds: p.Schedulers, Hosts: p.Hosts, Config: g.follower, Interval: p.Interval, Timeout: p.Timeout,
		HTTPClient: p.Client, Logger: g.logger,
	}, g.heartbeat)
}

func (g *Gate) newRouter() *routing.Router {
	return routing.New(routing.Options{
		Zone: g.opts.Zone, Directory: directory{g.members}, Zones: g.zones, Guaranteed: g.guaranteed, Logger: g.logger,
	})
}

// heartbeat returns the heartbeat that this gate sends to its peers.
func (g *Gate) heartbeat() wire.Heartbeat {
	return wire.Heartbeat{
		Host: g.opts.Host, Role: wire.RoleGate, Zone: g.opts.Zone, Addr: g.opts.Peers.Addr,
		Leaving: g.leaving.Load(), Generation: g.follower.Current().Generation,
	}
}

// HandlePeer answers a peer's heartbeats and requests for the configuration in force. It
// refuses all other kinds of request.
func (g *Gate) HandlePeer(_ context.Context, kind wire.Kind, body cbor.RawMessage) (any, error) {
	switch kind {
	case wire.KindHeartbeat:
		var hb wire.Heartbeat
		if err := wire.DecodeBody(body, &hb); err != nil {
			return nil, errkind.New(errkind.InvalidRequest, "cannot decode the body of the heartbeat")
		}
		return g.members.HandleHeartbeat(hb), nil
	case wire.KindConfig:
		cur := g.follower.Current()
		return wire.ConfigReply{Generation: cur.Generation, Record: cur.Record}, nil
	default:
		return nil, errkind.New(errkind.InvalidRequest, "a gate does not handle requests of kind %q", kind)
	}
}

// zones returns the zone of each rack of the configuration in force.
func (g *Gate) zones() []core.ZoneID {
	var zones []core.ZoneID
	if set := g.follower.Current().Set; set != nil {
		for _, r := range set.Racks {
			zones = append(zones, core.ZoneID(r.Zone))
		}
	}
	return zones
}

// guaranteed reports whether an organisation has a guarantee in a zone.
func (g *Gate) guaranteed(org core.OrgID, zone core.ZoneID) bool {
	set := g.follower.Current().Set
	if set == nil {
		return false
	}
	o, ok := set.Organisation(string(org))
	if !ok {
		return false
	}
	for _, guarantee := range o.Guarantees {
		if core.ZoneID(guarantee.Zone) == zone {
			return true
		}
	}
	return false
}

// directory adapts the membership to routing.Directory.
type directory struct{ *membership.Membership }

// Schedulers returns the latest heartbeat of each scheduler whose heartbeats have not timed
// out.
func (d directory) Schedulers() []wire.Heartbeat { return d.HeardSchedulers() }

// SchedulerClient returns a client of the scheduler on a host, or nil.
func (d directory) SchedulerClient(host string) routing.Client {
	if c := d.Client(host); c != nil {
		return c
	}
	return nil
}
