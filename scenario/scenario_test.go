package scenario

import (
	"flag"
	"fmt"
	"os"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

// programs is the folder of the built programs, for all scripts.
var programs string

func TestMain(m *testing.M) { os.Exit(run(m)) }

func run(m *testing.M) int {
	flag.Parse()
	dir, err := os.MkdirTemp("", "godwithub-scenario")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	if err := Build(dir); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	programs = dir
	return m.Run()
}

// Runs all scripts. Each says at its top which failure it guards against.
func TestScenarios(t *testing.T) {
	if testing.Short() {
		t.Skip("starts many processes")
	}
	testscript.Run(t, Params("testdata", programs))
}

// measureVariable makes the tests run that measure.
const measureVariable = "GODWITHUB_MEASURE"

// measure runs a script of testdata/measure. It takes minutes of a quiet
// machine, and is no part of CI.
func measure(t *testing.T, script string) {
	if os.Getenv(measureVariable) == "" {
		t.Skip(measureVariable + " is not set")
	}
	p := Params("", programs)
	p.Files = []string{"testdata/measure/" + script}
	testscript.Run(t, p)
}

// Measures the control group for docs/measurements-control.md. It checks
// nothing that depends on speed.
func TestMeasureControl(t *testing.T) { measure(t, "control.txtar") }

// Counts orders that run twice, or run although they were reported as not run,
// among 100,000 under kills, cuts and resends.
func TestMeasureKeyed(t *testing.T) { measure(t, "keyed.txtar") }
