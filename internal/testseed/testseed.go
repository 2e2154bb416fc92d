// Package testseed fixes the seed of property tests, so that CI comes to the same
// verdict each run. Tests import it for its effect. Other seeds are tried by
//
//	go test ./ejection -rapid.seed=N -rapid.checks=10000
package testseed

import (
	"flag"

	_ "pgregory.net/rapid" // defines the flag
)

// seed is used unless the flag is given.
const seed = "20261204"

func init() {
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic(err)
	}
}
