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

// measureVariable makes TestMeasureControl run.
const measureVariable = "GODWITHUB_MEASURE"

// Measures the control group for docs/measurements-control.md. It takes a
// minute of a quiet machine and checks nothing that depends on speed.
func TestMeasureControl(t *testing.T) {
	if os.Getenv(measureVariable) == "" {
		t.Skip(measureVariable + " is not set")
	}
	testscript.Run(t, Params("testdata/measure", programs))
}
