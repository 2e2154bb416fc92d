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
	// soakSeedsVariable holds the seeds of a soak by hand: "7" or "1-50".
	soakSeedsVariable = "GODWITHUB_SOAK_SEEDS"
	// soakNodesVariable is the number of nodes of a soak by hand.
	soakNodesVariable = "GODWITHUB_SOAK_NODES"
	defaultSoakNodes  = 4
	// soakTime is how long faults come by hand, and soakTimeCI in CI.
	soakTime   = 25 * time.Second
	soakTimeCI = 12 * time.Second
	// soakSeedCI is the seed that CI plays.
	soakSeedCI = 1
)

// soakRegressions are the seeds by hand that have failed, and of what.
var soakRegressions = []Soak{}

// Guards against promises that break when faults of many kinds overlap: a short
// run with a fixed seed, and every seed that has ever failed. The seeds of
// soakSeedsVariable are played instead if it is set.
func TestSoak(t *testing.T) {
	if testing.Short() {
		t.Skip("starts many processes")
	}
	soaks := append([]Soak{{soakSeedCI, soakTimeCI, defaultSoakNodes}}, soakRegressions...)
	if seeds := os.Getenv(soakSeedsVariable); seeds != "" {
		soaks = soaksByHand(t, seeds)
	}
	dir := t.TempDir()
	for _, s := range soaks {
		name := fmt.Sprintf("soak_%d_%d.txtar", s.Seed, s.Nodes)
		assert.NilError(t, os.WriteFile(filepath.Join(dir, name), []byte(s.Script()), 0o644))
	}
	testscript.Run(t, Params(dir, programs))
}

func soaksByHand(t *testing.T, seeds string) []Soak {
	first, last, _ := strings.Cut(seeds, "-")
	from, err := strconv.ParseUint(first, 10, 64)
	assert.NilError(t, err, soakSeedsVariable)
	to, err := strconv.ParseUint(cmp.Or(last, first), 10, 64)
	assert.NilError(t, err, soakSeedsVariable)
	nodes, err := strconv.Atoi(cmp.Or(os.Getenv(soakNodesVariable), strconv.Itoa(defaultSoakNodes)))
	assert.NilError(t, err, soakNodesVariable)
	var out []Soak
	for seed := from; seed <= to; seed++ {
		out = append(out, Soak{seed, soakTime, nodes})
	}
	return out
}

// Guards against a seed that cannot be played again.
func TestSoakScriptFollowsItsSeed(t *testing.T) {
	s := Soak{7, soakTime, defaultSoakNodes}
	assert.Equal(t, s.Script(), s.Script())
	other := Soak{8, soakTime, defaultSoakNodes}
	assert.Assert(t, s.Script() != other.Script())
	for line := range strings.Lines(s.Script()) {
		assert.Assert(t, !strings.Contains(line, "rN") && !strings.Contains(line, "nN") && !strings.Contains(line, "uN"), line)
	}
}
