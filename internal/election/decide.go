package election

import (
	"time"

	"agatewinch/internal/core"
	"agatewinch/internal/wire"
)

// decision is what an election's step comes to.
type decision int

const (
	// stay changes nothing.
	stay decision = iota
	// claimInLog claims the next term in the log.
	claimInLog
	// takeByRank takes the next term without the log.
	takeByRank
	// standDown gives the role up.
	standDown
)

// view is all that a decision depends on.
type view struct {
	self string
	// holder is this process's unique name.
	holder  string
	holding bool
	term    core.Term
	// known is the highest term heard of; rival is true when another process has term.
	known core.Term
	rival bool
	// ready is true when this process could serve.
	ready    bool
	stopping bool
	// running is the time since this process started.
	running time.Duration
	logUp   bool
	claim   Claim
	// claimAge is the time for which the claim is known not to have been renewed.
	claimAge time.Duration
	// takeovers is how often the role was taken lately from a holder that kept it.
	takeovers int
	// yielding is true while a process that was superseded without the log holds back.
	yielding bool
	// peers are the zone's other schedulers that are heard.
	peers []wire.Heartbeat
}

// rules are the times that decisions use.
type rules struct {
	// stale is the age from which a claim no longer protects its holder.
	stale time.Duration
	// rankDelay is the further time that each better ranked peer is given.
	rankDelay time.Duration
	// settle is how long a new process listens before it takes the role without the log.
	settle time.Duration
}

func decide(v view, r rules) decision {
	if v.holding {
		if v.known > v.term || v.rival {
			return standDown
		}
		return stay
	}
	if !v.ready || v.stopping || v.servedByPeer() {
		return stay
	}
	rank := v.rank()
	if !v.logUp {
		if rank == 0 && !v.yielding && v.running >= r.settle && v.claimAge >= r.stale {
			return takeByRank
		}
		return stay
	}
	if v.vacated() {
		return claimUnlessOutranked(rank, v.claimAge, r)
	}
	if v.claimAge < r.stale+time.Duration(rank)*r.rankDelay {
		return stay
	}
	return claimInLog
}

// claimUnlessOutranked claims a role that was given up, a little later for each better
// ranked peer.
func claimUnlessOutranked(rank int, age time.Duration, r rules) decision {
	if rank == 0 || age >= time.Duration(rank)*r.rankDelay {
		return claimInLog
	}
	return stay
}

// servedByPeer reports whether a peer that is heard holds the role and keeps it.
func (v view) servedByPeer() bool {
	for _, p := range v.peers {
		if p.Active && !p.Leaving {
			return true
		}
	}
	return false
}

// vacated reports whether nobody holds the role by its holder's own word, or there never
// was a holder.
func (v view) vacated() bool {
	if v.claim.Term == 0 || v.claim.Released {
		return true
	}
	for _, p := range v.peers {
		if p.Host == v.claim.Host && p.Active && p.Leaving {
			return true
		}
	}
	return false
}

// rank counts the peers that come before this process: those with a lower host name that
// are heard and stay.
func (v view) rank() int {
	n := 0
	for _, p := range v.peers {
		if !p.Leaving && p.Host < v.self {
			n++
		}
	}
	return n
}
