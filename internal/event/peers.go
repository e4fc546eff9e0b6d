package event

// Events of membership.
var (
	PeerLive         = Event{6001, "peer live", "Heartbeats are received from another process of the system."}
	PeerSilent       = Event{6002, "peer silent", "No heartbeat was received from a process within its timeout: it died, is paused, or the network connection from it is interrupted."}
	PeerReplaced     = Event{6003, "peer replaced", "A process restarted, or another host took over its name."}
	PeerForgotten    = Event{6004, "peer forgotten", "A process from which no heartbeat was received for a long time is no longer tracked."}
	PeerConfigFailed = Event{6005, "configuration from peer failed", "A peer has a newer configuration that could not be fetched or put in force; it is tried again at the next heartbeat."}
)

// Events of routing: circuit breakers for calls to peers, and lost answers.
var (
	CircuitOpen   = Event{6101, "circuit open", "Several calls to a peer failed in a row; until a call is answered, further calls are made only after a backoff interval or a new heartbeat."}
	CircuitClosed = Event{6102, "circuit closed", "A peer answers calls again."}
	AnswerLost    = Event{6103, "answer lost", "A scheduler's answer to a submission was lost; the gate asks for the job's state."}
)
