// Package rapidseed sets the same default seed for property tests in every run, so that
// their results are reproducible. Test packages import it for its side effect. The flag
// -rapid.seed=0 makes rapid choose a new seed.
package rapidseed

import (
	"flag"

	// rapid defines the flag that is set below.
	_ "pgregory.net/rapid"
)

const seed = "20261204"

func init() {
	f := flag.Lookup("rapid.seed")
	if f == nil {
		panic("rapid has no flag rapid.seed")
	}
	if err := f.Value.Set(seed); err != nil {
		panic(err)
	}
	f.DefValue = seed
}
