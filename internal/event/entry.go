package event

// Events of an entry host.
var (
	RequestTaken           = Event{7001, "request taken", "A submission or cancellation was sent to the log; the outcome says whether it was recorded."}
	RequestRefused         = Event{7002, "request refused", "This host answered a request with an error; the kind, the reason and the age of its copy of the log are shown. Event 7004 follows for each peer that is then asked for a better answer; there may be none."}
	Decision               = Event{7003, "decision", "The leader placed, stopped or ended a run, or changed the state that it records for a worker."}
	RequestRelayed         = Event{7004, "request relayed", "A request that this host cannot answer was relayed to a peer; the reason, the peer and its answer are shown."}
	SuccessorAsked         = Event{7005, "successor asked", "The leader, whose records the log does not accept, asked a peer to take over the leader role; the peer and its answer are shown."}
	LogLost                = Event{7101, "log lost", "The topic of the platform's log, or the list or service, named by the line cannot be reached; this host continues with the state it has."}
	LogRegained            = Event{7102, "log regained", "The topic, list or service named by the line can be reached again."}
	RecordUnreadable       = Event{7103, "record unreadable", "A record of the log cannot be read; it is skipped."}
	WorkerEntryUnreadable  = Event{7104, "worker entry unreadable", "An entry in the list of workers cannot be decoded; it is logged once, and the worker of that key gets no new tasks until it has written its entry again; what runs there goes on."}
	SettingsRead           = Event{7105, "settings read", "The settings file was read again after SIGHUP, but changes take effect only after a restart; an error shown says why the file cannot be used."}
	LinesDropped           = Event{7106, "log lines dropped", "More log lines were produced than the limits on rate and backlog allow; the number of lines dropped is shown."}
	WorkerAnswerUnreadable = Event{7107, "worker answer unreadable", "A worker's list of runs cannot be decoded; the call counts as unanswered."}
	WaveRead               = Event{7108, "wave read", "The operators requested upkeep of machines; the leader drains them, a few at a time."}
	DecisionFailed         = Event{7109, "decision failed", "An unexpected error ended this host's time as the leader; it goes on serving callers, and another host claims the role. The error and the place are shown."}
	ZonesEvacuated         = Event{7110, "evacuated zones changed", "The operators evacuated zones or took an evacuation back; the zones that are evacuated now are shown. No tasks start there, and what runs there goes on."}
	StartsHeld             = Event{7111, "starts held", "The leader cannot confirm which zones are evacuated and starts no tasks; with held=false, it can again. Event 7101 says whether the operators' topic can be read."}
	GuaranteesShort        = Event{7112, "guarantees exceed open capacity", "The zones that are not evacuated have fewer accelerators than the organisations are guaranteed together; the number that is missing is shown, zero when there are enough again. Guaranteed work waits: take an evacuation back or lower guarantees."}
	ClientsLimited         = Event{7113, "clients limited", "Clients that hold requests or connections open have reached a limit of this host; the counts say how many of them were refused or replaced since the last such line, by reason. OPERATIONS.md explains the reasons."}
	RoomShort              = Event{7120, "room is short", "The leader forecasts waits, with the number of services' priorities concerned, so that hosts refuse jobs that could only end when they are of no use any more; or, with 0, room is not short any more."}
)
