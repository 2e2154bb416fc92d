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
	// startSpread is the time over which the starts of a fleet's nodes are spread.
	startSpread = 300 * time.Millisecond
)

// startFleet starts n nodes with one upstream each, which know only the addresses of the first
// startSeeds nodes. It returns how long it took until all nodes knew each other.
func startFleet(t testing.TB, n, regions int, seed uint64) (s *sim, known time.Duration) {
	s = &sim{
		t: t, now: time.Unix(1_800_000_000, 0), rand: rand.New(rand.NewPCG(seed, 1)),
		cores: map[string]*core{}, blocked: func(_, _ string) bool { return false },
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
			if c.fleetSize() < n {
				return false
			}
		}
		return true
	})
	return s, s.now.Sub(began)
}

// Guards against the start of a large fleet taking too long or causing too much traffic: each of 100
// nodes needs about 20 KB to learn of the others.
func TestFleetStartsAtOnce(t *testing.T) {
	for seed := range uint64(4) {
		s, known := startFleet(t, startNodes, 2, seed)
		sent := s.bytes + s.exchanged
		t.Logf("seed %d: all nodes knew each other after %v, %d bytes in datagrams, %d in exchanges", seed, known, s.bytes, s.exchanged)
		assert.Assert(t, known < 6*time.Second, "seed %d: %v", seed, known)
		assert.Assert(t, sent < startNodes*45_000, "seed %d: %d bytes", seed, sent)
	}
}

// Guards against chunks that change when they are compressed and decompressed, and against a
// small message that decompresses without bound.
func TestChunkCompression(t *testing.T) {
	s, _ := startFleet(t, startNodes, 2, 1)
	var chunk membersChunk
	for _, r := range s.nodes[0].recordsOf(s.now, []fleet.NodeID{"node-001", "node-002", "node-003", "node-004", "node-005", "node-006", "node-007", "node-008"}) {
		chunk.Records = append(chunk.Records, mustEncode(r))
	}
	plain := mustEncode(chunk)
	b, err := compressChunk(plain)
	assert.NilError(t, err)
	assert.Assert(t, len(b) < len(plain)*2/3, "%d of %d bytes", len(b), len(plain))
	got, err := decodeChunk(b)
	assert.NilError(t, err)
	assert.DeepEqual(t, got.Records, chunk.Records)
	bomb, err := compressChunk(make([]byte, 4*link.MaxPayload))
	assert.NilError(t, err)
	_, err = decodeChunk(bomb)
	assert.ErrorIs(t, err, errMalformed)
}
