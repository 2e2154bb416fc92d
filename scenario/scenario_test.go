package scenario

import (
	"flag"
	"fmt"
	"os"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

// builtProgramDir is the folder with the built programs that all scripts use.
var builtProgramDir string

func TestMain(m *testing.M) { os.Exit(runTests(m)) }

func runTests(m *testing.M) int {
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
	builtProgramDir = dir
	return m.Run()
}

// Runs all scripts in testdata. The comment at the top of each says which failure it
// guards against.
func TestScenarios(t *testing.T) {
	if testing.Short() {
		t.Skip("starts many processes; skipped with -short")
	}
	testscript.Run(t, Params("testdata", builtProgramDir))
}

// measureEnvVar is the environment variable that enables the measurements.
const measureEnvVar = "GODWITHUB_MEASURE"

// runMeasurement runs a script of testdata/measure. This takes minutes, needs an
// otherwise idle machine and is not part of CI.
func runMeasurement(t *testing.T, script string) {
	if os.Getenv(measureEnvVar) == "" {
		t.Skip(measureEnvVar + " is not set")
	}
	p := Params("", builtProgramDir)
	p.Files = []string{"testdata/measure/" + script}
	testscript.Run(t, p)
}

// Measures the control group for docs/measurements-control.md. No check depends on the
// speed of the machine.
func TestMeasureControl(t *testing.T) { runMeasurement(t, "control.txtar") }

// Counts orders that run twice, or that run after being reported as not run, among
// 100,000 orders under kills, cuts and resends.
func TestMeasureKeyed(t *testing.T) { runMeasurement(t, "keyed.txtar") }
