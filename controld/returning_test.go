package controld

import (
	"errors"
	"testing"
	"time"
)

// Guards against a member that was away while all others were replaced, and that refuses the new ones and stays
// without a log, a leader and a vote. Its settings name only those that are gone.
func TestMemberReturnsAfterAllOthersWereReplaced(t *testing.T) {
	t.Parallel()
	g := newTestGroup(t, "c1", "c2", "c3", "c4", "c5", "d1", "d2", "d3", "d4", "d5")
	g.selfRepair = true
	founders := []string{"c1", "c2", "c3"}
	for _, id := range founders {
		g.start(id, founders...)
	}
	g.start("c4")
	g.waitForVoters(g.start("c5"), "c1", "c2", "c3", "c4", "c5")
	g.stop("c5")
	d1 := g.start("d1")
	g.waitForVoters(d1, "c1", "c2", "c3", "c4", "d1")
	for i, voters := range [][]string{
		{"c2", "c3", "c4", "d1", "d2"}, {"c3", "c4", "d1", "d2", "d3"}, {"c4", "d1", "d2", "d3", "d4"}, {"d1", "d2", "d3", "d4", "d5"},
	} {
		old, added := g.addrs["c"+string(rune('1'+i))].id, voters[len(voters)-1]
		g.waitForVoters(g.start(added), append([]string{old}, voters...)...)
		g.stop(old)
		g.waitForVoters(d1, voters...)
	}
	g.seeds = []string{"c1", "c2", "c3"}
	returned := g.start("c5")
	g.waitForVoters(returned, "c5", "d1", "d2", "d3", "d4", "d5")
	g.write(g.client("c5", "d1", "d2", "d3", "d4", "d5"), "a")
}

// Guards against a member that returns, gets a sixth vote beside two voters that are lost, and is lost again at once: three
// of six are left, although two of five machines are lost. The two are lost long before it returns, or right before.
func TestReturningMemberIsLostAgain(t *testing.T) {
	for name, wait := range map[string]time.Duration{"long after": 2 * time.Second, "right after": 0} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := newTestGroup(t, "c1", "c2", "c3", "c4", "c5", "d1")
			g.selfRepair = true
			founders := []string{"c1", "c2", "c3"}
			members := map[string]*Daemon{}
			for _, id := range founders {
				members[id] = g.start(id, founders...)
			}
			g.start("c4")
			g.waitForVoters(g.start("c5"), "c1", "c2", "c3", "c4", "c5")
			g.stop("c5")
			g.waitForVoters(g.start("d1"), "c1", "c2", "c3", "c4", "d1")
			leader := g.leaderOf(members, "c1")
			lost := without([]string{"c1", "c2", "c3", "c4"}, leader.self.id)[:2]
			g.kill(lost...)
			time.Sleep(wait)
			returned := g.start("c5").replication.(*Group)
			waitFor(t, func() error {
				if !leader.replica.Load().Status().Membership.IsVoter(returned.replicaID()) {
					return errors.New("the returned member does not vote")
				}
				return nil
			})
			g.kill("c5")
			g.write(g.client(without(without([]string{"c1", "c2", "c3", "c4", "d1"}, lost[0]), lost[1])...), "a")
		})
	}
}
