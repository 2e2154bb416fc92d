// Package testseed fixes the seed of property tests, so that every CI run checks the same cases.
// Tests import it for its side effect. To try other seeds:
//
//	go test ./ejection -rapid.seed=N -rapid.checks=10000
package testseed

import (
	"flag"

	_ "pgregory.net/rapid" // defines the flag
)

// seed is used unless -rapid.seed is given on the command line.
const seed = "20261204"

func init() {
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic(err)
	}
}
