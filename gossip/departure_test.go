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

// recordDeparture records a departure at node i and runs the network until the moment at which it is confirmed.
func (s *sim) recordDeparture(i int, d fleet.Departure, limit time.Duration) (confirmed bool) {
	c := s.nodes[i]
	number := c.recordDeparture(s.now, d)
	s.collect(c)
	asked := s.now
	for end := s.now.Add(limit); s.now.Before(end) && !c.confirmed(number); {
		s.run(time.Millisecond)
		if s.now.Sub(asked) >= confirmInterval {
			asked = s.now
			c.askForConfirmation(number)
			s.collect(c)
		}
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

// Guards against departures that are forgotten when all processes of the fleet end at the moment of the acknowledgement, and
// two of the five disks are lost with them, also if packets are lost and the first partner of the restarted node does not know.
func TestDepartureOutlivesTheFleet(t *testing.T) {
	for seed := range uint64(200) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			s := newSim(t, 12, 2, seed)
			s.loss = 0.1
			assert.Assert(t, s.recordDeparture(3, testDeparture, 2*time.Second))
			s.pending, s.loss = nil, 0.4
			for i := range s.nodes {
				s.kill(i)
			}
			for _, i := range s.rand.Perm(len(simControls))[:2] {
				s.disks[simControls[i]].kept = nil
			}
			s.run(500 * time.Millisecond)
			for _, i := range s.rand.Perm(len(s.nodes)) {
				s.start(i, 2)
			}
			for _, i := range s.rand.Perm(len(s.nodes)) {
				s.exchange(i, simControls[s.rand.IntN(3)])
			}
			// Seeds that have joined through different ones find each other; see Gossip.missingSeed.
			s.exchange(1, 0)
			s.exchange(2, 0)
			recalled := s.nodes[3].takeRecalled()
			for end := s.now.Add(4 * time.Second); len(recalled) == 0 && s.now.Before(end); {
				s.run(100 * time.Millisecond)
				recalled = s.nodes[3].takeRecalled()
			}
			assert.DeepEqual(t, recalled, []fleet.Departure{testDeparture})
		})
	}
}

// Guards against departures that last longer since a clock went back or ahead.
func TestLoadedDeparturesExpire(t *testing.T) {
	s := newSim(t, 8, 2, 5)
	assert.Assert(t, s.recordDeparture(3, testDeparture, time.Second))
	s.run(200 * time.Millisecond)
	kept := s.nodes[0].keptDepartures(s.now)
	assert.Equal(t, len(kept), 1)
	for _, step := range []time.Duration{-time.Hour, time.Hour} {
		c := s.start(4, 2)
		c.loadDepartures(s.now.Add(step), kept)
		s.kill(4)
		assert.Assert(t, len(c.keptDepartures(s.now.Add(step+departureRetention))) == 0)
	}
}

// Guards against an acknowledgement while too few control VMs have the departure on their disks, and against one
// that never comes since a write failed once.
func TestDepartureIsAcknowledgedOnceStored(t *testing.T) {
	s := newSim(t, 12, 2, 6)
	for _, i := range simControls[:3] {
		s.disks[i].refuses = true
	}
	assert.Assert(t, !s.recordDeparture(3, testDeparture, 2*time.Second))
	s.disks[0].refuses = false
	assert.Assert(t, s.recordDeparture(3, testDeparture, time.Second))
	stored := 0
	for _, i := range simControls {
		stored += len(s.disks[i].kept)
	}
	assert.Equal(t, stored, 3)
}

// Guards against an acknowledgement by a node that reaches no control VM, however many others know of the departure.
func TestDepartureNeedsControl(t *testing.T) {
	s := newSim(t, 12, 2, 7)
	for _, i := range simControls {
		s.kill(i)
	}
	assert.Assert(t, !s.recordDeparture(3, testDeparture, 2*time.Second))
}

// Guards against probes that are answered late, so that a control VM with a slow disk counts as dead.
func TestProbesDoNotWaitForTheDisk(t *testing.T) {
	s := newSim(t, 8, 2, 8)
	c, before := s.nodes[0], len(s.pending)
	b := s.nodes[3].newBuilder(kindPing, 1, "")
	b.add(mustEncode(record{Node: s.nodes[3].self.id, Departures: []departureEntry{toDepartureEntry(testDeparture, 0)}}))
	assert.NilError(t, c.receive(s.now, addrOf(3), mustEncode(b.msg)))
	s.collect(c)
	assert.Equal(t, len(s.pending), before+1)
	assert.Equal(t, len(s.disks[0].kept), 0)
}
