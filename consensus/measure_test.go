package consensus

import (
	"fmt"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"
)

// runWithDelay runs the cluster for a number of ticks. Each message takes one tick or more.
func (s *sim) runWithDelay(ticks int) {
	for range ticks {
		s.tick()
		for range len(s.inFlight) {
			s.deliver(0, noCrash)
		}
	}
}

// replacement is a way of replacing voter 1 of three by a new replica. It is tested with a second
// voter that fails at some point.
type replacement struct {
	steps         []ChangeKind
	beforeCatchUp bool // promote the new replica at its first accepted append
	replacedDown  bool // voter 1 is down from the start; otherwise it keeps running
}

var (
	addThenRemove = []ChangeKind{AddLearner, Promote, Remove}
	removeThenAdd = []ChangeKind{Remove, AddLearner, Promote}
)

const (
	// replacementTicks is the length of a run. At 10 entries per round trip, a learner receives 300
	// entries in about 60 ticks.
	replacementTicks = 300
	// stuckTicks is the number of ticks without a commit at the end of a run after which the group
	// counts as stuck.
	stuckTicks = 100
	// overdueAfter is the number of ticks after a commit from which the next one counts as overdue.
	overdueAfter = 5
)

// run makes a second voter fail at tick failAt of the replacement. It returns for how many ticks
// commits were overdue, and whether the group was stuck at the end.
func (r replacement) run(t testing.TB, seed uint64, failAt int) (overdue int, stuck bool) {
	command, _ := cbor.Marshal(kvCommand{Key: "k"})
	cfg := Config{Seed: seed, MaxAppendBytes: 10 * (entryOverhead + len(command)), MaxInFlight: 1}
	s := newTestSim(t, cfg, 3)
	s.runWithDelay(60)
	for s.leader() == nil || s.leader().id == 1 {
		s.nodes[1].crash()
		s.runWithDelay(60)
		s.restart(s.nodes[1])
		s.runWithDelay(60)
	}
	l := s.leader()
	for range 300 {
		_, err := l.core.Propose(command)
		assert.NilError(t, err)
	}
	s.runWithDelay(200)
	if r.replacedDown {
		s.nodes[1].crash()
	}
	added := s.addBlank()
	secondVoter := s.nodes[5-l.id] // the voter that is neither 1 nor the leader
	changes := r.changes(added.id)
	lastCommit, lastCommitTick := s.maxCommitted(), 0
	for tick := range replacementTicks {
		if tick == failAt {
			secondVoter.crash()
		}
		if l := s.leader(); l != nil {
			if len(changes) > 0 && s.proposeChange(l, changes[0]) == nil {
				changes = changes[1:]
			}
			l.core.Propose(command)
		}
		s.runWithDelay(1)
		if c := s.maxCommitted(); c > lastCommit {
			lastCommit, lastCommitTick = c, tick
		} else if tick-lastCommitTick > overdueAfter {
			overdue++
		}
	}
	return overdue, replacementTicks-lastCommitTick > stuckTicks
}

// changes returns the membership changes of the replacement in order.
func (r replacement) changes(added ReplicaID) []MemberChange {
	var out []MemberChange
	for _, kind := range r.steps {
		id := added
		if kind == Remove {
			id = 1
		}
		out = append(out, MemberChange{Kind: kind, ID: id, BeforeCatchUp: r.beforeCatchUp})
	}
	return out
}

func (s *sim) maxCommitted() uint64 {
	out := uint64(0)
	for _, n := range s.running() {
		out = max(out, n.core.log.commit)
	}
	return out
}

// summary runs the replacement with the second failure at every third tick of the first 120, and
// logs the results.
func (r replacement) summary(t *testing.T, name string) (stuckRuns, maxOverdue int) {
	runs, sum := 0, 0
	for failAt := 0; failAt < 120; failAt += 3 {
		overdue, stuck := r.run(t, uint64(failAt), failAt)
		runs++
		if stuck {
			stuckRuns++
			continue
		}
		sum += overdue
		maxOverdue = max(maxOverdue, overdue)
	}
	mean := float64(sum) / float64(max(1, runs-stuckRuns))
	t.Logf("%-58s stuck in %2d of %d runs; otherwise commits overdue for %.1f ticks of %d on average, at most %d",
		name, stuckRuns, runs, mean, replacementTicks, maxOverdue)
	return stuckRuns, maxOverdue
}

// Guards against a procedure for replacing a running replica in which the loss of another replica
// stops the group: the group must survive one loss at any time during and after the replacement. The
// test also measures the alternative procedures.
func TestSecondLossDuringReplacement(t *testing.T) {
	measure := func(name string, steps []ChangeKind, beforeCatchUp, dead bool) (int, int) {
		return replacement{steps, beforeCatchUp, dead}.summary(t, name)
	}
	stuck, overdue := measure("running replica, add then remove, when caught up:", addThenRemove, false, false)
	stuckEarly, overdueEarly := measure("running replica, add then remove, at first append:", addThenRemove, true, false)
	stuckRemove, _ := measure("running replica, remove then add, when caught up:", removeThenAdd, false, false)
	measure("dead replica, add then remove, when caught up:", addThenRemove, false, true)
	measure("dead replica, add then remove, at first append:", addThenRemove, true, true)
	measure("dead replica, remove then add, when caught up:", removeThenAdd, false, true)
	measure("dead replica, remove then add, at first append:", removeThenAdd, true, true)
	assert.Equal(t, stuck, 0)
	assert.Assert(t, stuckRemove > 0, "removing the old replica first survives every loss")
	assert.Assert(t, stuckEarly > stuck || overdueEarly > overdue, "promotion at the first append has no drawback")
}

// Guards against repeated split votes after the loss of a leader, which leave the group without a
// leader for many election timeouts.
func TestLeaderLossIsShort(t *testing.T) {
	for _, voters := range []int{3, 5} {
		for seed := range uint64(300) {
			ticks := ticksWithoutLeader(t, seed, voters)
			assert.Assert(t, ticks <= 3*DefaultElectionTicks, "%d ticks with %d voters and seed %d", ticks, voters, seed)
		}
	}
}

// BenchmarkLeaderLoss measures, in ticks, the time from the crash of a leader to the first commit by
// the next one, if a message takes one tick.
func BenchmarkLeaderLoss(b *testing.B) {
	for _, voters := range []int{3, 5} {
		b.Run(fmt.Sprintf("voters=%d", voters), func(b *testing.B) {
			sum, worst, runs := 0, 0, 0
			for b.Loop() {
				ticks := ticksWithoutLeader(b, uint64(runs), voters)
				sum, worst, runs = sum+ticks, max(worst, ticks), runs+1
			}
			b.ReportMetric(float64(sum)/float64(runs), "ticks/kill")
			b.ReportMetric(float64(worst), "ticks-max")
		})
	}
}

// ticksWithoutLeader crashes the leader and returns the number of ticks until the next one has
// committed an entry of its term.
func ticksWithoutLeader(b testing.TB, seed uint64, voters int) int {
	s := newTestSim(b, Config{Seed: seed}, voters)
	for s.leader() == nil || !s.leader().core.committedInCurrentTerm() {
		s.runWithDelay(1)
	}
	s.runWithDelay(int(seed % 20))
	for s.leader() == nil {
		s.runWithDelay(1)
	}
	s.leader().crash()
	for ticks := 1; ; ticks++ {
		s.runWithDelay(1)
		if l := s.leader(); l != nil && l.core.committedInCurrentTerm() {
			return ticks
		}
	}
}
