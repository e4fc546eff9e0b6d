package routing

import "expvar"

// counters are the router's metrics, published with expvar.
var counters = expvar.NewMap("routing")

// Names of the counters.
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
