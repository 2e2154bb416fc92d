package gossip

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/godwithub/godwithub/fleet"
	"github.com/godwithub/godwithub/link"
)

const (
	startNodes = 100
	startSeeds = 3
	// startSpread is the time over which the nodes of a fleet start.
	startSpread = 300 * time.Millisecond
)

// newStart starts n nodes, each with an upstream, that know only the addresses of
// the first startSeeds of them, and returns how long it took until all knew all.
func newStart(t testing.TB, n, regions int, seed uint64) (s *sim, known time.Duration) {
	s = &sim{
		t: t, now: time.Unix(1_800_000_000, 0), rand: rand.New(rand.NewPCG(seed, 1)),
		cores: map[string]*core{}, cut: func(_, _ string) bool { return false },
		events: map[fleet.NodeID][]fleet.Node{},
	}
	began := s.now
	for i := range n {
		s.start(i, regions)
		self := localNode(i, regions)
		self.Upstreams = []fleet.Upstream{{ID: fleet.UpstreamID("upstream-" + self.ID), Service: "shop", Slots: 4}}
		s.nodes[i].setLocal(s.now, self)
		s.collect(s.nodes[i])
		s.run(startSpread / time.Duration(n))
	}
	for i := range n {
		with := s.rand.IntN(startSeeds)
		if i < startSeeds {
			with = (i + 1) % startSeeds
		}
		s.exchange(i, with)
		s.run(startSpread / time.Duration(n))
	}
	s.until(2*time.Minute, "all nodes know each other", func() bool {
		for _, c := range s.cores {
			if c.size() < n {
				return false
			}
		}
		return true
	})
	return s, s.now.Sub(began)
}

// Guards against a start of a large fleet that takes long, or that costs more than
// the work: each of 100 nodes needs about 20 KB to know the others.
func TestFleetStartsAtOnce(t *testing.T) {
	for seed := range uint64(4) {
		s, known := newStart(t, startNodes, 2, seed)
		sent := s.bytes + s.exchanged
		t.Logf("seed %d: known after %v, %d bytes in datagrams, %d in exchanges", seed, known, s.bytes, s.exchanged)
		assert.Assert(t, known < 6*time.Second, "seed %d: %v", seed, known)
		assert.Assert(t, sent < startNodes*45_000, "seed %d: %d bytes", seed, sent)
	}
}

// Guards against parts that are not the same after their way, and against a small
// message that expands without bound.
func TestPackedParts(t *testing.T) {
	s, _ := newStart(t, startNodes, 2, 1)
	var part membersPart
	for _, r := range s.nodes[0].recordsOf([]fleet.NodeID{"node-001", "node-002", "node-003", "node-004", "node-005", "node-006", "node-007", "node-008"}) {
		part.Records = append(part.Records, mustEncode(r))
	}
	plain := mustEncode(part)
	b, err := packed(plain)
	assert.NilError(t, err)
	assert.Assert(t, len(b) < len(plain)*2/3, "%d of %d bytes", len(b), len(plain))
	got, err := unpacked(b)
	assert.NilError(t, err)
	assert.DeepEqual(t, got.Records, part.Records)
	bomb, err := packed(make([]byte, 4*link.MaxPayload))
	assert.NilError(t, err)
	_, err = unpacked(bomb)
	assert.ErrorIs(t, err, errMalformed)
}
