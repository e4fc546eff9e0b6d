package routing

import "expvar"

// counters are published under this name.
var counters = expvar.NewMap("routing")

// The counted events.
const (
	countFirstTries     = "first_tries"
	countRetries        = "retries"
	countRetriesRefused = "retries_refused"
	countSpilled        = "spilled"
	countAnswersLost    = "answers_lost"
	countOutcomeUnknown = "outcome_unknown"
	countCircuitsOpened = "circuits_opened"
)

func count(name string) { counters.Add(name, 1) }
