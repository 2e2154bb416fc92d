package gossip

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/godwithub/godwithub/fleet"
)

var testDeparture = fleet.Departure{Upstream: "u", StartMs: 1000, Sequence: 7, Gone: true}

// record records a departure at node i and runs the network until it is confirmed.
func (s *sim) recordDeparture(i int, d fleet.Departure, limit time.Duration) (confirmed bool) {
	c := s.nodes[i]
	number := c.recordDeparture(s.now, d)
	s.collect(c)
	for end := s.now.Add(limit); s.now.Before(end) && !c.confirmed(number); {
		s.run(confirmInterval)
		c.askForConfirmation(number)
		s.collect(c)
	}
	return c.confirmed(number)
}

// Guards against a departure that was acknowledged and that a restarted node does not learn of, also if it is
// killed at once, packets are lost, and its first partner has restarted as well.
func TestDepartureOutlivesTheProcess(t *testing.T) {
	for seed := range uint64(200) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			s := newSim(t, 12, 2, seed)
			s.loss = 0.1
			assert.Assert(t, s.recordDeparture(3, testDeparture, 2*time.Second))
			s.kill(3)
			s.run(500 * time.Millisecond)
			partner := s.rand.IntN(3)
			if seed%2 == 0 {
				s.kill(partner)
				s.start(partner, 2)
				s.exchange(partner, 5)
			}
			s.start(3, 2)
			s.exchange(3, partner)
			recalled := s.nodes[3].takeRecalled()
			assert.DeepEqual(t, recalled, []fleet.Departure{testDeparture})
			// A third process learns of it from the second one's record as well.
			assert.Equal(t, s.nodes[3].self.departures["u"].Departure, testDeparture)
		})
	}
}

// Guards against the acknowledgement of a departure that no other node keeps.
func TestDepartureIsNotConfirmedByNobody(t *testing.T) {
	s := newSim(t, 8, 2, 1)
	s.blocked = func(from, to string) bool { return from == addrOf(3) || to == addrOf(3) }
	assert.Assert(t, !s.recordDeparture(3, testDeparture, time.Second))
	s.blocked = func(_, _ string) bool { return false }
	assert.Assert(t, s.recordDeparture(3, testDeparture, time.Second))
}

// Guards against copies of a departure that renew each other, and against memory that grows with departures.
func TestDeparturesExpire(t *testing.T) {
	s := newSim(t, 12, 2, 2)
	assert.Assert(t, s.recordDeparture(3, testDeparture, time.Second))
	kept := func() (n int) {
		for _, c := range s.nodes {
			n += len(c.memberFor(s.now, s.nodes[3].self.id).departures)
		}
		return n
	}
	s.run(departureRetention / 2)
	assert.Equal(t, kept(), len(s.nodes))
	for i := range 8 {
		s.exchange(i, 11-i)
		s.run(departureRetention / 12)
	}
	assert.Equal(t, kept(), 0)
	d := departures{}
	for i := range 2 * maxDepartures {
		d.add(s.now.Add(time.Duration(i)), toDepartureEntry(fleet.Departure{Upstream: fleet.UpstreamID(fmt.Sprint(i))}, 0))
	}
	assert.Equal(t, len(d), maxDepartures)
	_, newest := d[fleet.UpstreamID(fmt.Sprint(2*maxDepartures-1))]
	assert.Assert(t, newest)
}

// Guards against a recall from a member that has just started and knows no other, and against one that waits
// for ever, as this node is new.
func TestRecallNeedsAMemberThatKnowsOthers(t *testing.T) {
	s := newSim(t, 6, 2, 3)
	recall := func(with int) bool {
		records, _ := s.nodes[with].compareDigests(s.now, s.nodes[3].digests())
		return s.nodes[3].bringsRecall(records)
	}
	s.kill(3)
	s.kill(4)
	s.start(3, 2)
	s.start(4, 2)
	assert.Assert(t, !recall(4))
	assert.Assert(t, recall(0), "it knows the earlier process")
	s.start(6, 2)
	records, _ := s.nodes[0].compareDigests(s.now, s.nodes[6].digests())
	assert.Assert(t, s.nodes[6].bringsRecall(records), "it knows other members")
}

// Guards against departures that are not recalled over real sockets, from the first exchange on.
func TestRecallOverSockets(t *testing.T) {
	ring := testRing(t)
	seed, _ := startNode(t, ring, 0)
	addr := seed.Local().LinkAddr
	startNode(t, ring, 1, addr)
	before, stop := startNode(t, ring, 2, addr)
	for i := range 3 {
		waitState(t, before, fleet.NodeID(fmt.Sprintf("node-%d", i)), "alive")
	}
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	assert.NilError(t, before.RecordDeparture(ctx, testDeparture))
	stop() // without Leave, as if killed
	after, _ := startNode(t, ring, 2, addr)
	var recalled []fleet.Departure
	select {
	case <-after.RecallDepartures(func(d fleet.Departure) { recalled = append(recalled, d) }):
	case <-ctx.Done():
		t.Fatal("nothing was recalled in time")
	}
	assert.DeepEqual(t, recalled, []fleet.Departure{testDeparture})
}

// Guards against departures that are forgotten when all processes of the fleet end together: a member with a disk
// keeps them, and passes them on before it knows the restarted node.
func TestDepartureOutlivesTheFleet(t *testing.T) {
	s := newSim(t, 8, 2, 5)
	assert.Assert(t, s.recordDeparture(3, testDeparture, time.Second))
	s.run(200 * time.Millisecond)
	kept := s.nodes[0].keptDepartures(s.now)
	for i := range s.nodes {
		s.kill(i)
	}
	s.run(500 * time.Millisecond)
	for i := range s.nodes {
		s.start(i, 2)
	}
	s.nodes[0].loadDepartures(s.now, kept)
	s.exchange(3, 0)
	assert.DeepEqual(t, s.nodes[3].takeRecalled(), []fleet.Departure{testDeparture})
	// Neither a clock that went back nor one that went ahead makes them last longer.
	for _, step := range []time.Duration{-time.Hour, time.Hour} {
		c := s.start(1, 2)
		c.loadDepartures(s.now.Add(step), kept)
		s.kill(1)
		assert.Assert(t, len(c.keptDepartures(s.now.Add(step+departureRetention))) == 0)
	}
}
