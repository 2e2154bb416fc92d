package consensus

import (
	"testing"

	"gotest.tools/v3/assert"
)

const meantVoters = 5

// newReleaseSim returns a group that is meant to have meantVoters voters, and its leader.
func newReleaseSim(t *testing.T, voters int) (*sim, *simNode) {
	s, l := newSimWithLeader(t, Config{Seed: 3, TargetVoters: meantVoters}, voters)
	s.run(DefaultReleaseTicks + DefaultElectionTicks)
	assert.Equal(t, l.core.log.released, l.core.log.lastIndex())
	return s, l
}

// loseDisks ends replicas for good. Their ids do not return.
func (s *sim) loseDisks(nodes ...*simNode) {
	for _, n := range nodes {
		n.crash()
	}
}

// requireEntry checks that the group elects a leader that has an entry, and that it commits another one.
func (s *sim) requireEntry(t *testing.T, index, term uint64) {
	t.Helper()
	assert.Assert(t, s.runUntil(200, func() bool { return s.leader() != nil && s.leader().core.committedInCurrentTerm() }) >= 0, "no leader")
	assert.Assert(t, s.leader().core.log.matches(index, term), "the entry is lost")
}

// Guards against an acknowledgement that two lost disks take back, since a sixth voter that has ended unnoticed still counts.
func TestSurplusVoterThatHasEndedHoldsAcknowledgements(t *testing.T) {
	s, l := newReleaseSim(t, 6)
	rest := others(s, l)
	rest[0].crash()
	acknowledged := false
	assert.NilError(t, s.propose(l, kvCommand{Seq: 1}, func([]byte) { acknowledged = true }))
	index, term := l.core.log.lastIndex(), l.term
	s.run(5)
	assert.Assert(t, l.core.log.commit >= index, "five of six do not commit")
	assert.Assert(t, !acknowledged, "acknowledged while the group bears one loss")
	for _, n := range s.running() {
		assert.Assert(t, n.applied < index, "%s shows an entry that is not acknowledged", n.id)
	}
	s.run(DefaultElectionTicks)
	assert.Assert(t, !acknowledged, "acknowledged while the vote counts")
	assert.NilError(t, s.proposeChange(l, MemberChange{Kind: Demote, ID: rest[0].id}))
	s.deliverAll()
	assert.Assert(t, acknowledged, "the end of the vote does not end the wait")
	s.loseDisks(l, rest[1])
	s.requireEntry(t, index, term)
}

// Guards against a wait without need: all six voters have stored the entry, or five of five are meant to vote, of which up to two
// are lost.
func TestAcknowledgementWaitsOnlyIfNeeded(t *testing.T) {
	for _, c := range []struct{ voters, lost int }{{6, 0}, {5, 0}, {5, 1}, {5, 2}} {
		s, l := newReleaseSim(t, c.voters)
		s.loseDisks(others(s, l)[:c.lost]...)
		acknowledged := false
		assert.NilError(t, s.propose(l, kvCommand{Seq: 1}, func([]byte) { acknowledged = true }))
		s.deliverAll()
		assert.Assert(t, acknowledged, "%d voters, %d lost", c.voters, c.lost)
	}
}

// Guards against a first acknowledgement by two of three founders, and against a group that waits on although its
// membership is complete, or each time although there is nobody who could complete it.
func TestFoundersWaitForFurtherVoters(t *testing.T) {
	s, l := newSimWithLeader(t, Config{Seed: 3, TargetVoters: meantVoters}, 3)
	acknowledged := 0
	write := func() {
		assert.NilError(t, s.propose(l, kvCommand{Seq: 1}, func([]byte) { acknowledged++ }))
		s.deliverAll()
	}
	write()
	for i := 4; i <= meantVoters; i++ {
		assert.Equal(t, acknowledged, 0, "acknowledged with %d voters", i-1)
		n := s.addBlank()
		assert.NilError(t, s.proposeChange(l, MemberChange{Kind: AddLearner, ID: n.id}))
		s.run(3)
		assert.NilError(t, s.proposeChange(l, MemberChange{Kind: Promote, ID: n.id}))
		s.deliverAll()
	}
	assert.Equal(t, acknowledged, 1)

	s, l = newSimWithLeader(t, Config{Seed: 3, TargetVoters: meantVoters}, 3)
	acknowledged = 0
	write()
	assert.Equal(t, acknowledged, 0)
	s.run(DefaultReleaseTicks)
	assert.Equal(t, acknowledged, 1)
	write()
	assert.Equal(t, acknowledged, 2, "the wait starts anew with each entry")
}

// Guards against a group that stops acknowledging while a surplus voter replies, but stores nothing.
func TestWaitForSurplusVoterEnds(t *testing.T) {
	s, l := newReleaseSim(t, 6)
	s.isolate(others(s, l)[0].id, true, false)
	acknowledged := false
	assert.NilError(t, s.propose(l, kvCommand{Seq: 1}, func([]byte) { acknowledged = true }))
	s.run(DefaultReleaseTicks - 1)
	assert.Assert(t, !acknowledged)
	s.run(2)
	assert.Assert(t, acknowledged)
}

// Guards against a new leader whose reads show an older state than its predecessor acknowledged, and against reads that
// wait although nothing can have been acknowledged since.
func TestReadsOfNewLeaderAwaitWhatWasAcknowledged(t *testing.T) {
	for name, inFlight := range map[string]bool{"all is known to be released": false, "an entry may have been acknowledged": true} {
		t.Run(name, func(t *testing.T) {
			s, l := newReleaseSim(t, 6)
			if inFlight {
				assert.NilError(t, s.propose(l, kvCommand{Seq: 1}, nil))
				for len(s.inFlight) > 0 && s.inFlight[0].Type == MsgAppend {
					s.deliver(0, noCrash)
				}
			}
			l.crash()
			assert.Assert(t, s.runUntil(100, func() bool { return s.leader() != nil && s.leader().core.committedInCurrentTerm() }) >= 0)
			next, served := s.leader(), false
			seq, err := next.core.Read()
			assert.NilError(t, err)
			next.pendingReads[seq] = func() { served = true }
			s.processReady(next, noCrash)
			s.run(1)
			assert.Equal(t, served, !inFlight)
			confirmed := false
			seq, err = next.core.ConfirmLeadership()
			assert.NilError(t, err)
			next.pendingReads[seq] = func() { confirmed = true }
			s.processReady(next, noCrash)
			s.run(1)
			assert.Assert(t, confirmed, "a change of the membership would wait for the acknowledgement that needs it")
			s.run(DefaultElectionTicks)
			assert.NilError(t, s.proposeChange(next, MemberChange{Kind: Demote, ID: l.id}))
			s.run(1)
			assert.Assert(t, served)
		})
	}
}
