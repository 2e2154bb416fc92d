package ingress

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/godwithub/godwithub/board"
	"github.com/godwithub/godwithub/fleet"
	"github.com/godwithub/godwithub/wire"
)

// Guards against loads that are passed on when they are old, to other regions, or
// to the ingress that has just got them with its answer.
func TestPeerLoadsAreFreshAndNear(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	table := newLoadTable()
	report := func(id fleet.UpstreamID, inUse int, at time.Time) {
		e := table.entry(id)
		e.begin(at)
		e.finish(&wire.AnswerEnd{Load: wire.Load{Slots: 5, SlotsInUse: inUse}}, at)
	}
	report("answered", 1, now)
	report("newest", 2, now.Add(-10*time.Millisecond))
	report("fresh", 3, now.Add(-peerFresh))
	report("old", 4, now.Add(-peerFresh-time.Millisecond))
	report("far", 5, now)
	upstreams := []board.Upstream{{Region: "doto"}, {Region: "doto"}, {Region: "doto"}, {Region: "doto"}, {Region: "dohoku"}, {Region: "doto"}}
	for i, id := range []fleet.UpstreamID{"answered", "fresh", "newest", "old", "far", "unknown"} {
		upstreams[i].ID = id
	}
	got := table.peers(upstreams, "doto", "answered", now)
	assert.DeepEqual(t, got, []wire.PeerLoad{
		{Upstream: "newest", AgeMs: 10, SlotsInUse: 2},
		{Upstream: "fresh", AgeMs: peerFresh.Milliseconds(), SlotsInUse: 3},
	})
}

// Guards against a load from a third node that replaces a newer one, or that hides
// an own attempt which the upstream had not got when it reported.
func TestLearnFromPeers(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	table := newLoadTable()
	peer := func(age time.Duration, inUse int) *wire.AnswerEnd {
		return &wire.AnswerEnd{Peers: []wire.PeerLoad{{Upstream: "u", AgeMs: age.Milliseconds(), SlotsInUse: inUse, FailingPercent: 90}}}
	}
	table.learnPeers(peer(100*time.Millisecond, 2), now)
	got := table.get("u", now)
	assert.Equal(t, got.inUse, 2)
	assert.Equal(t, got.failing, 0.9)
	assert.Assert(t, got.known)
	table.learnPeers(peer(200*time.Millisecond, 5), now)
	assert.Equal(t, table.get("u", now).inUse, 2, "an older load")

	table.entry("u").begin(now)
	assert.Equal(t, table.get("u", now).inUse, 3)
	table.learnPeers(peer(50*time.Millisecond, 2), now)
	assert.Equal(t, table.get("u", now).inUse, 3, "the attempt began after the report")
	later := now.Add(time.Second)
	table.learnPeers(peer(50*time.Millisecond, 4), later)
	assert.Equal(t, table.get("u", later).inUse, 4, "the report counts the attempt")
	table.learnPeers(nil, later)
}
