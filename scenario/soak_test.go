package scenario

import (
	"cmp"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
	"gotest.tools/v3/assert"
)

const (
	// soakSeedsEnvVar is the environment variable with the seeds of a manual soak, such as
	// "7" or "1-50".
	soakSeedsEnvVar = "GODWITHUB_SOAK_SEEDS"
	// soakNodesEnvVar is the environment variable with the number of nodes of a manual soak.
	soakNodesEnvVar  = "GODWITHUB_SOAK_NODES"
	defaultSoakNodes = 4
	// In a manual soak faults begin for soakTime, in CI for soakTimeCI.
	soakTime   = 25 * time.Second
	soakTimeCI = 12 * time.Second
	// soakSeedCI is the seed that CI runs.
	soakSeedCI = 1
)

// soakRegressions are seeds of manual soaks that have failed, each with a comment on the
// failure.
var soakRegressions = []Soak{}

// Guards against guarantees that break when faults of many kinds overlap. It runs a short
// soak with a fixed seed and every seed that has ever failed, or only the seeds of
// soakSeedsEnvVar if that is set.
func TestSoak(t *testing.T) {
	if testing.Short() {
		t.Skip("starts many processes; skipped with -short")
	}
	soaks := append([]Soak{{soakSeedCI, soakTimeCI, defaultSoakNodes}}, soakRegressions...)
	if seeds := os.Getenv(soakSeedsEnvVar); seeds != "" {
		soaks = manualSoaks(t, seeds)
	}
	dir := t.TempDir()
	for _, s := range soaks {
		name := fmt.Sprintf("soak_%d_%d.txtar", s.Seed, s.Nodes)
		assert.NilError(t, os.WriteFile(filepath.Join(dir, name), []byte(s.Script()), 0o644))
	}
	testscript.Run(t, Params(dir, builtProgramDir))
}

// membersRounds and membersRoundsCI are the rounds of a manual soak of members, and of that in CI.
const membersRounds, membersRoundsCI = 6, 2

// Guards against members that return, are replaced or lose their disks, and leave the control group without a quorum, a
// log or an acknowledged change. It runs a short soak, or the seeds of soakSeedsEnvVar if that is set.
func TestMembersSoak(t *testing.T) {
	if testing.Short() {
		t.Skip("starts many processes; skipped with -short")
	}
	soaks := []MembersSoak{{soakSeedCI, membersRoundsCI}}
	if seeds := os.Getenv(soakSeedsEnvVar); seeds != "" {
		soaks = nil
		for _, s := range manualSoaks(t, seeds) {
			soaks = append(soaks, MembersSoak{s.Seed, membersRounds})
		}
	}
	dir := t.TempDir()
	for _, s := range soaks {
		assert.Equal(t, s.Script(), s.Script())
		assert.NilError(t, os.WriteFile(filepath.Join(dir, fmt.Sprintf("members_%d.txtar", s.Seed)), []byte(s.Script()), 0o644))
	}
	testscript.Run(t, Params(dir, builtProgramDir))
}

// stopsRounds and stopsRoundsCI are the rounds of a manual soak of planned stops, and of that in CI. With the seed of CI,
// the first round fails if leaving nodes take requests that could outlast them.
const (
	stopsRounds, stopsRoundsCI = 4, 2
	stopsSeedCI                = 3
)

// Guards against requests that are given up while their upstream is at work, in planned stops of several nodes that
// overlap. It runs a short soak, or the seeds of soakSeedsEnvVar if that is set.
func TestStopsSoak(t *testing.T) {
	if testing.Short() {
		t.Skip("starts many processes; skipped with -short")
	}
	soaks := []StopsSoak{{stopsSeedCI, stopsRoundsCI}}
	if seeds := os.Getenv(soakSeedsEnvVar); seeds != "" {
		soaks = nil
		for _, s := range manualSoaks(t, seeds) {
			soaks = append(soaks, StopsSoak{s.Seed, stopsRounds})
		}
	}
	dir := t.TempDir()
	for _, s := range soaks {
		assert.Equal(t, s.Script(), s.Script())
		assert.NilError(t, os.WriteFile(filepath.Join(dir, fmt.Sprintf("stops_%d.txtar", s.Seed)), []byte(s.Script()), 0o644))
	}
	testscript.Run(t, Params(dir, builtProgramDir))
}

func manualSoaks(t *testing.T, seeds string) []Soak {
	first, last, _ := strings.Cut(seeds, "-")
	from, err := strconv.ParseUint(first, 10, 64)
	assert.NilError(t, err, soakSeedsEnvVar)
	to, err := strconv.ParseUint(cmp.Or(last, first), 10, 64)
	assert.NilError(t, err, soakSeedsEnvVar)
	nodes, err := strconv.Atoi(cmp.Or(os.Getenv(soakNodesEnvVar), strconv.Itoa(defaultSoakNodes)))
	assert.NilError(t, err, soakNodesEnvVar)
	var out []Soak
	for seed := from; seed <= to; seed++ {
		out = append(out, Soak{seed, soakTime, nodes})
	}
	return out
}

// Guards against a seed that gives different scripts, so that a failure cannot be
// reproduced.
func TestSoakScriptIsDeterministic(t *testing.T) {
	s := Soak{7, soakTime, defaultSoakNodes}
	assert.Equal(t, s.Script(), s.Script())
	other := Soak{8, soakTime, defaultSoakNodes}
	assert.Assert(t, s.Script() != other.Script())
	for line := range strings.Lines(s.Script()) {
		assert.Assert(t, !strings.Contains(line, "rN") && !strings.Contains(line, "nN") && !strings.Contains(line, "uN"), line)
	}
}
