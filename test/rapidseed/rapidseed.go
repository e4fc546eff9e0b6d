// Package rapidseed gives property tests the same seed in every run, so that the tests
// have the same verdict every time. A test package imports it for its effect;
// -rapid.seed=0 on the command line draws a new seed.
package rapidseed

import (
	"flag"

	// The flag that is set belongs to rapid.
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
