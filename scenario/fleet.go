package scenario

import (
	"github.com/rogpeppe/go-internal/testscript"
)

// fleetState is the fleet of one script.
type fleetState struct{}

func fleetCommand(_ *world, _ *testscript.TestScript, _ []string) error {
	return misused("fleet: the daemons are not there yet")
}
