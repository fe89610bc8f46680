// Package testkit sets the seed of the rapid property tests, so that runs are
// repeatable. Test files import it for its side effect.
package testkit

import (
	"flag"
	"os"

	_ "pgregory.net/rapid" // registers the flags that init sets
)

// seedVariable is the environment variable that overrides the seed; test.sh
// sets it.
const seedVariable = "EGRETPITCH_RAPID_SEED"

// defaultSeed is the seed if seedVariable is not set, as in a plain `go test`.
const defaultSeed = "20261204"

func init() {
	seed := os.Getenv(seedVariable)
	if seed == "" {
		seed = defaultSeed
	}
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic(err)
	}
	// rapid would write its failure files into the source tree.
	if err := flag.Set("rapid.nofailfile", "true"); err != nil {
		panic(err)
	}
}
