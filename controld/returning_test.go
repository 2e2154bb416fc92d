package controld

import (
	"testing"
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
