package consensus

import "github.com/godwithub/godwithub/consensus/quorum"

// A group is meant to have Config.TargetVoters voters, and to work on and keep all that it has acknowledged if a minority of them
// loses its disks at the same moment. While it has another number of voters, a quorum that has stored an entry does not suffice
// for that: of too many voters some may have ended unnoticed, and of too few too many are lost. Only the voters that have stored an entry
// are known to have run since it was proposed. Therefore the leader releases entries later than it commits them. It
// neither applies nor acknowledges them before, and followers learn of released entries only.
// docs/design/acknowledgements.md goes through the memberships.

// lossesToBear returns how many disks the group is to bear the loss of. Voters that are silent, beyond those that the group has too
// many or too few, may be such losses.
func (c *Core) lossesToBear(ms Membership) int {
	silent := 0
	for _, m := range ms {
		if p := c.peers[m.ID]; m.Voter && p != nil && !c.heardRecently(p) {
			silent++
		}
	}
	difference := ms.VoterCount() - c.cfg.TargetVoters
	tolerated := (c.cfg.TargetVoters - 1) / 2
	return max(0, tolerated-max(0, silent-max(difference, -difference)))
}

// releasable returns the last committed index that may be released, as far as the voters that have stored it
// decide on that. While a change of the membership is not committed, its voters are not known to the others.
func (c *Core) releasable() uint64 {
	ms, index := c.log.membership()
	switch {
	case c.cfg.TargetVoters == 0:
		return c.log.commit
	case index > c.log.commit:
		return c.log.released
	case ms.VoterCount() == c.cfg.TargetVoters:
		return c.log.commit
	}
	holders := quorum.Size(ms.VoterCount()) + c.lossesToBear(ms)
	return min(c.log.commit, quorum.ValueOf(c.voterValues(c.log.stored, matchOf), holders))
}

// advanceRelease releases what is releasable, and all that is committed once entries have waited for ReleaseTicks. With
// too few voters the wait counts from the election or the last change of the voters: a group without further processes
// would delay each entry otherwise.
func (c *Core) advanceRelease() {
	if c.role != Leader || !c.committedInCurrentTerm() {
		return
	}
	c.log.released = max(c.log.released, c.releasable())
	if c.log.released == c.log.commit {
		c.heldSince = 0
	} else {
		if c.heldSince == 0 {
			c.heldSince = c.now
		}
		since := c.heldSince
		if c.Membership().VoterCount() < c.cfg.TargetVoters {
			since = c.settledAt
		}
		if c.now-since >= uint64(c.cfg.ReleaseTicks) {
			c.log.released, c.heldSince = c.log.commit, 0
		}
	}
	c.confirmReads()
}
