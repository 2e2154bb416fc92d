package consensus

import (
	"fmt"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"
)

// runSlow does ticks in which each message takes at least one tick.
func (s *sim) runSlow(ticks int) {
	for range ticks {
		s.tick()
		for range len(s.net) {
			s.deliver(0, noCrash)
		}
	}
}

// replacement replaces voter 1 of three by a new replica, while a second voter
// fails at some point.
type replacement struct {
	steps     []ChangeKind
	early     bool // promote at the first accepted append
	firstDead bool // voter 1 is down from the start; otherwise it runs on
}

var (
	addThenRemove = []ChangeKind{AddLearner, Promote, Remove}
	removeThenAdd = []ChangeKind{Remove, AddLearner, Promote}
)

const (
	// replacementTicks is the length of a run; 300 entries reach a learner in
	// about 60 ticks, at 10 entries per round trip.
	replacementTicks = 300
	stuckTicks       = 100
	// idleAfter is how many ticks between commits are the usual pace.
	idleAfter = 5
)

// run returns for how many ticks commits were overdue, and whether the group
// was stuck at the end, if the second voter fails at tick failAt.
func (r replacement) run(t testing.TB, seed uint64, failAt int) (idle int, stuck bool) {
	command, _ := cbor.Marshal(kvCommand{Key: "k"})
	cfg := Config{Seed: seed, MaxAppendBytes: 10 * (entryOverhead + len(command)), Window: 1}
	s := newTestSim(t, cfg, 3)
	s.runSlow(60)
	for s.leader() == nil || s.leader().id == 1 {
		s.nodes[1].crash()
		s.runSlow(60)
		s.restart(s.nodes[1])
		s.runSlow(60)
	}
	l := s.leader()
	for range 300 {
		_, err := l.core.Propose(command)
		assert.NilError(t, err)
	}
	s.runSlow(200)
	if r.firstDead {
		s.nodes[1].crash()
	}
	added := s.addBlank()
	second := s.nodes[5-l.id] // the voter that is neither 1 nor the leader
	changes := r.changes(added.id)
	last, lastAt := s.maxCommitted(), 0
	for tick := range replacementTicks {
		if tick == failAt {
			second.crash()
		}
		if l := s.leader(); l != nil {
			if len(changes) > 0 && s.change(l, changes[0]) == nil {
				changes = changes[1:]
			}
			l.core.Propose(command)
		}
		s.runSlow(1)
		if c := s.maxCommitted(); c > last {
			last, lastAt = c, tick
		} else if tick-lastAt > idleAfter {
			idle++
		}
	}
	return idle, replacementTicks-lastAt > stuckTicks
}

func (r replacement) changes(added ReplicaID) []MemberChange {
	var out []MemberChange
	for _, kind := range r.steps {
		id := added
		if kind == Remove {
			id = 1
		}
		out = append(out, MemberChange{Kind: kind, ID: id, Early: r.early})
	}
	return out
}

func (s *sim) maxCommitted() uint64 {
	out := uint64(0)
	for _, n := range s.up() {
		out = max(out, n.core.log.commit)
	}
	return out
}

// summary runs the replacement with the second failure at each third tick.
func (r replacement) summary(t *testing.T, name string) (stuckRuns, maxIdle int) {
	runs, sum := 0, 0
	for failAt := 0; failAt < 120; failAt += 3 {
		idle, stuck := r.run(t, uint64(failAt), failAt)
		runs++
		if stuck {
			stuckRuns++
			continue
		}
		sum += idle
		maxIdle = max(maxIdle, idle)
	}
	mean := float64(sum) / float64(max(1, runs-stuckRuns))
	t.Logf("%-58s stuck in %2d of %d runs; otherwise idle %.1f ticks of %d, at most %d",
		name, stuckRuns, runs, mean, replacementTicks, maxIdle)
	return stuckRuns, maxIdle
}

// Guards against a way of replacing a running replica after which the loss of a
// second one stops the group: at each moment of the replacement, and after it,
// one loss must be survived. It also measures the alternatives.
func TestSecondLossDuringReplacement(t *testing.T) {
	measure := func(name string, steps []ChangeKind, early, dead bool) (int, int) {
		return replacement{steps, early, dead}.summary(t, name)
	}
	stuck, idle := measure("running replica, add then remove, when caught up:", addThenRemove, false, false)
	stuckEarly, idleEarly := measure("running replica, add then remove, at first append:", addThenRemove, true, false)
	stuckRemove, _ := measure("running replica, remove then add, when caught up:", removeThenAdd, false, false)
	measure("dead replica, add then remove, when caught up:", addThenRemove, false, true)
	measure("dead replica, add then remove, at first append:", addThenRemove, true, true)
	measure("dead replica, remove then add, when caught up:", removeThenAdd, false, true)
	measure("dead replica, remove then add, at first append:", removeThenAdd, true, true)
	assert.Equal(t, stuck, 0)
	assert.Assert(t, stuckRemove > 0, "removing first survives every loss")
	assert.Assert(t, stuckEarly > stuck || idleEarly > idle, "promotion at the first append costs nothing")
}

// Guards against votes that are split again and again after the loss of a
// leader, which leaves the group without one for many election timeouts.
func TestLeaderLossIsShort(t *testing.T) {
	for _, voters := range []int{3, 5} {
		for seed := range uint64(300) {
			ticks := leaderLoss(t, seed, voters)
			assert.Assert(t, ticks <= 3*DefaultElectionTicks, "%d ticks with %d voters and seed %d", ticks, voters, seed)
		}
	}
}

// BenchmarkLeaderLoss measures, in ticks, the time from the kill of a leader to
// the first commit of the next one, when a message takes one tick.
func BenchmarkLeaderLoss(b *testing.B) {
	for _, voters := range []int{3, 5} {
		b.Run(fmt.Sprintf("voters=%d", voters), func(b *testing.B) {
			sum, worst, runs := 0, 0, 0
			for b.Loop() {
				ticks := leaderLoss(b, uint64(runs), voters)
				sum, worst, runs = sum+ticks, max(worst, ticks), runs+1
			}
			b.ReportMetric(float64(sum)/float64(runs), "ticks/kill")
			b.ReportMetric(float64(worst), "ticks-max")
		})
	}
}

func leaderLoss(b testing.TB, seed uint64, voters int) int {
	s := newTestSim(b, Config{Seed: seed}, voters)
	for s.leader() == nil || !s.leader().core.ownTermCommitted() {
		s.runSlow(1)
	}
	s.runSlow(int(seed % 20))
	for s.leader() == nil {
		s.runSlow(1)
	}
	s.leader().crash()
	for ticks := 1; ; ticks++ {
		s.runSlow(1)
		if l := s.leader(); l != nil && l.core.ownTermCommitted() {
			return ticks
		}
	}
}
