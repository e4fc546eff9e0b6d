// Package event is the catalogue of numbered log events. Every log line of a process has
// one of these numbers; docs/events.md lists them.
package event

import (
	"io"
	"log/slog"

	"github.com/go-logr/logr"
)

// Event is one entry of the catalogue.
type Event struct {
	// Number identifies the event permanently; numbers are never reused.
	Number int
	// Name is the message of the log line.
	Name string
	// Meaning tells operators what happened and what they can do about it.
	Meaning string
}

// Events of processes, configuration, roles, workers and the log.
var (
	ProcessStarted  = Event{1001, "process started", "A process serves with the settings shown."}
	ProcessStopping = Event{1002, "process stopping", "A graceful shutdown began; an error shown says what did not finish in time."}
	ProcessStopped  = Event{1003, "process stopped", "The process stopped; an error shown says what its graceful shutdown did not finish."}
	ProcessFailed   = Event{1004, "process failed", "A process could not continue; the error is shown."}

	ConfigInForce    = Event{2001, "configuration in force", "A new generation of the configuration is in force on this host."}
	ConfigUnreadable = Event{2002, "configuration unreadable", "A generation was accepted that this build cannot use. The host keeps the previous one and is not ready: update it to the newest build, or apply a set that it can read."}
	TLSReloadFailed  = Event{2003, "certificate not reloaded", "A changed certificate, key or authority file could not be read; the ones read previously stay in use."}
	OperatorAction   = Event{2004, "operator's action", "An operator changed something through the HTTP interface; the key's name, the operation and its result are shown."}
	ConfigGap        = Event{2005, "configuration gap", "Records of the configuration were trimmed before this host read them. It continues with the next snapshot or a peer's configuration; if no host has one, apply the files with --force. The event is logged again, with open=false, when the gap is closed."}

	SchedulerActive  = Event{3001, "scheduler active", "This host now holds the leader role (a scheduler: of its zone)."}
	SchedulerStandby = Event{3002, "scheduler standby", "This host gave up the leader role (a scheduler: of its zone)."}
	RolePaused       = Event{3003, "holder was paused", "The process was paused for longer than its claim is valid; it sends nothing to workers until it has read the claims again."}
	RoleSuperseded   = Event{3004, "role superseded", "Another process holds the leader role, or this process could not take it up or keep it; the process with the higher term or epoch continues."}
	PlacementVoid    = Event{3005, "placement void", "A job's placement did not take effect because of an earlier record in the log, such as a claim with a higher term; this leader gives up its role."}
	OutcomeDropped   = Event{3006, "outcome not recorded", "The buffer of outcomes waiting to be written to the log is full; the job's outcome is determined again at the next recovery."}

	WorkerHealth = Event{4001, "worker health changed", "A worker's health changed to live, leaving, unreachable or gone."}
	CoreDecision = Event{4002, "scheduling decision", "The core reports a decision; the code identifies it."}
	LeaseRefused = Event{4003, "lease refused", "A worker refused a lease or an order because it knows a higher term or epoch, or another holder."}

	LogWriteError = Event{5001, "log write failed", "An append to the platform's log was refused, or its answer was lost."}
	JournalLoaded = Event{5002, "journal loaded", "The state of jobs was loaded from the log; a scheduler reads the newest snapshot and the records after it."}
	JournalGap    = Event{5003, "journal gap", "Records were trimmed that this process had not read and no snapshot covers: jobs of that time may be missing. Raise the log's retention or lower snapshot_interval."}
)

// Catalogue returns all events, sorted by number.
func Catalogue() []Event {
	return []Event{
		ProcessStarted, ProcessStopping, ProcessStopped, ProcessFailed,
		ConfigInForce, ConfigUnreadable, TLSReloadFailed, OperatorAction, ConfigGap,
		SchedulerActive, SchedulerStandby, RolePaused, RoleSuperseded, PlacementVoid, OutcomeDropped,
		WorkerHealth, CoreDecision, LeaseRefused,
		LogWriteError, JournalLoaded, JournalGap,
		PeerLive, PeerSilent, PeerReplaced, PeerForgotten, PeerConfigFailed,
		CircuitOpen, CircuitClosed, AnswerLost,
		RequestTaken, RequestRefused, Decision, RequestRelayed, SuccessorAsked, LogLost, LogRegained, RecordUnreadable, WorkerEntryUnreadable, SettingsRead, LinesDropped, WorkerAnswerUnreadable, WaveRead, DecisionFailed, ZonesEvacuated, StartsHeld, GuaranteesShort, ClientsLimited, RoomShort,
	}
}

// Info logs e with key-value pairs.
func Info(log logr.Logger, e Event, keysAndValues ...any) {
	log.Info(e.Name, append([]any{"event", e.Number}, keysAndValues...)...)
}

// Error logs e with an error and key-value pairs.
func Error(log logr.Logger, err error, e Event, keysAndValues ...any) {
	log.Error(err, e.Name, append([]any{"event", e.Number}, keysAndValues...)...)
}

// Format is the encoding of log lines.
type Format string

// The formats of log lines.
const (
	FormatJSON Format = "json"
	FormatText Format = "text"
)

// NewLogger returns a logger that writes lines in the given format to w.
func NewLogger(w io.Writer, format Format) logr.Logger {
	if format == FormatText {
		return logr.FromSlogHandler(slog.NewTextHandler(w, nil))
	}
	return logr.FromSlogHandler(slog.NewJSONHandler(w, nil))
}
