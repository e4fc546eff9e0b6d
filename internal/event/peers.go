package event

// Events of membership and routing.
var (
	PeerLive         = Event{6001, "peer live", "Another process of the system is heard."}
	PeerSilent       = Event{6002, "peer silent", "A process was not heard within its timeout: it died, is paused, or the link from it is cut."}
	PeerReplaced     = Event{6003, "peer replaced", "A process restarted, or another host took over its name."}
	PeerForgotten    = Event{6004, "peer forgotten", "A process that was silent for long is no longer kept in view."}
	PeerConfigFailed = Event{6005, "configuration from peer failed", "A peer has a newer configuration that could not be fetched or was refused; the next heartbeat tries again."}
)

// Events of the circuits to peers.
var (
	CircuitOpen   = Event{6101, "circuit open", "Calls to a peer failed several times in a row; it gets one call at a time until one is answered."}
	CircuitClosed = Event{6102, "circuit closed", "A peer answers calls again."}
	AnswerLost    = Event{6103, "answer lost", "A scheduler's answer to a submission was lost; the gate asks what became of the job."}
)
