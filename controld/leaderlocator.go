package controld

import (
	"time"

	"github.com/godwithub/godwithub/consensus"
)

// LeaderLocator tells where the leader of the control group is. A Replication that does not implement it
// is always the leader.
type LeaderLocator interface {
	// LeaderLink returns the link address of the leader.
	LeaderLink() (addr string, ok bool)
	// LeaderTerm returns the term in which this replica is the leader. ok is false if it is not.
	LeaderTerm() (term uint64, ok bool)
}

// LeaderLink implements LeaderLocator.
func (g *Group) LeaderLink() (addr string, ok bool) {
	r := g.replica.Load()
	if r == nil {
		return "", false
	}
	_, text, ok := r.Leader()
	a := parseAddress(text)
	return a.linkAddr, ok && a.linkAddr != ""
}

// LeaderTerm implements LeaderLocator.
func (g *Group) LeaderTerm() (term uint64, ok bool) {
	r := g.replica.Load()
	if r == nil {
		return 0, false
	}
	s := r.Status()
	return s.Term, s.Role == consensus.Leader
}

// alwaysLeader is the LeaderLocator of a replication without other members. The start of the process is
// its term.
type alwaysLeader struct{ startedAt time.Time }

func (alwaysLeader) LeaderLink() (string, bool)   { return "", false }
func (l alwaysLeader) LeaderTerm() (uint64, bool) { return uint64(l.startedAt.UnixMicro()), true }
