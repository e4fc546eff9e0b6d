package election

import (
	"time"

	"agatewinch/internal/core"
	"agatewinch/internal/wire"
)

// decision is the outcome of one election step.
type decision int

const (
	// stay keeps the present role.
	stay decision = iota
	// claimInLog claims the next term in the log.
	claimInLog
	// takeByRank takes the next term without a claim in the log, which is unavailable. Only
	// the best-ranked scheduler does so.
	takeByRank
	// stepDown gives up the leader role.
	stepDown
)

// view holds all inputs of a decision.
type view struct {
	self string
	// holder is this process's unique ID.
	holder string
	// holding is true while this process is the leader, in term.
	holding bool
	term    core.Term
	// knownTerm is the highest term observed; otherLeader is true when another process leads in
	// term.
	knownTerm   core.Term
	otherLeader bool
	// ready is true when this process could take the leader role.
	ready    bool
	stopping bool
	// uptime is the time since this process started.
	uptime time.Duration
	logUp  bool
	claim  Claim
	// claimAge is the time for which the claim is known not to have been renewed.
	claimAge time.Duration
	// takeovers is the number of recent takeovers from a holder that had not released its claim.
	takeovers int
	// backingOff is true while this process waits after it was superseded with the log
	// unavailable.
	backingOff bool
	// peers are the last heartbeats of the zone's other live schedulers.
	peers []wire.Heartbeat
}

// timeLimits are the times that decisions depend on.
type timeLimits struct {
	// staleAfter is the age from which a claim can be superseded.
	staleAfter time.Duration
	// rankDelay is the additional delay of a claim for each better-ranked peer.
	rankDelay time.Duration
	// initialListen is how long a new process listens for peers before it may take the role
	// without the log.
	initialListen time.Duration
}

// decide returns the election step that a process has to take in the state v.
func decide(v view, limits timeLimits) decision {
	if v.holding {
		if v.knownTerm > v.term || v.otherLeader {
			return stepDown
		}
		return stay
	}
	if !v.ready || v.stopping || v.hasActivePeer() {
		return stay
	}
	rank := v.rank()
	if !v.logUp {
		if rank == 0 && !v.backingOff && v.uptime >= limits.initialListen && v.claimAge >= limits.staleAfter {
			return takeByRank
		}
		return stay
	}
	if v.vacant() {
		return claimUnlessOutranked(rank, v.claimAge, limits)
	}
	if v.claimAge < limits.staleAfter+time.Duration(rank)*limits.rankDelay {
		return stay
	}
	return claimInLog
}

// claimUnlessOutranked claims a vacant role at once with the best rank, else after rankDelay
// for each better-ranked peer.
func claimUnlessOutranked(rank int, age time.Duration, limits timeLimits) decision {
	if rank == 0 || age >= time.Duration(rank)*limits.rankDelay {
		return claimInLog
	}
	return stay
}

// hasActivePeer reports whether a live peer is the leader and is not leaving.
func (v view) hasActivePeer() bool {
	for _, p := range v.peers {
		if p.Active && !p.Leaving {
			return true
		}
	}
	return false
}

// vacant reports whether the role has no leader: there never was a claim, the claim was
// released, or its holder announces that it is leaving.
func (v view) vacant() bool {
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

// rank returns the number of better-ranked peers: those that are live, are not leaving and
// have a lower host name. 0 is the best rank.
func (v view) rank() int {
	n := 0
	for _, p := range v.peers {
		if !p.Leaving && p.Host < v.self {
			n++
		}
	}
	return n
}
