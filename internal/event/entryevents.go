package event

// Events of an entry host on the operators' platform.
var (
	RequestTaken           = Event{7001, "request taken", "A submission or cancellation was handed to the log; the outcome says what became of it."}
	RequestRefused         = Event{7002, "request refused", "This host answered a request with an error; the kind, the reason and the age of what it knows are shown. A peer may have had a better answer: event 7004 follows then."}
	Decision               = Event{7003, "decision", "The decider placed, stopped or ended a run, or changed what it believes of a worker."}
	RequestRelayed         = Event{7004, "request relayed", "A request that this host cannot answer was passed on to a peer; the reason, the peer and its answer are shown."}
	SuccessorAsked         = Event{7005, "successor asked", "The holder of the deciding role, whose records the log does not take, asked a peer to take the role over; the peer and its answer are shown."}
	LogLost                = Event{7101, "log lost", "A topic of the platform's log cannot be read; this host goes on with what it knows."}
	LogRegained            = Event{7102, "log regained", "A topic of the platform's log is read again."}
	RecordUnreadable       = Event{7103, "record unreadable", "A record of the log cannot be read; it is passed over."}
	WorkerEntryUnreadable  = Event{7104, "worker entry unreadable", "An entry in the list of workers cannot be read; it names no worker."}
	SettingsRead           = Event{7105, "settings read", "The settings file was read again."}
	LinesDropped           = Event{7106, "log lines dropped", "More lines were due than may be written; the number dropped is shown."}
	WorkerAnswerUnreadable = Event{7107, "worker answer unreadable", "A worker's list of runs cannot be read; it counts as no answer."}
	WaveRead               = Event{7108, "wave read", "The operators asked for the upkeep of machines; the decider empties them, a few at a time."}
)
