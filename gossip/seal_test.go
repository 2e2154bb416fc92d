package gossip

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/godwithub/godwithub/fleet"
)

// Guards against accepting forged, altered, redirected and replayed datagrams.
func TestSealRefusals(t *testing.T) {
	key := [32]byte{1}
	s, err := newSealer(key)
	assert.NilError(t, err)
	o := newOpener(key, "b")
	first, second := s.seal("b", []byte("one")), s.seal("b", []byte("two"))
	for _, d := range [][]byte{second, first} {
		_, err = o.open(d)
		assert.NilError(t, err)
	}
	_, err = o.open(first)
	assert.ErrorIs(t, err, errReplayed)
	third := s.seal("b", []byte("three"))
	for i := range third {
		altered := append([]byte{}, third...)
		altered[i] ^= 1
		_, err = o.open(altered)
		assert.ErrorIs(t, err, errCorrupt)
	}
	_, err = o.open(s.seal("c", []byte("for another")))
	assert.ErrorIs(t, err, errCorrupt)
	_, err = newOpener([32]byte{2}, "b").open(third)
	assert.ErrorIs(t, err, errCorrupt)
	for range windowSize {
		s.seal("c", nil)
	}
	_, err = o.open(s.seal("b", []byte("far ahead")))
	assert.NilError(t, err)
	_, err = o.open(third)
	assert.ErrorIs(t, err, errReplayed, "the counter is behind the window")
}

// Guards against messages that crash the decoder or the core, or that lead to output that no node may
// send.
func FuzzDatagram(f *testing.F) {
	cfg := Config{}
	cfg.setDefaults()
	now := time.Unix(1_800_000_000, 0)
	a := newCore(cfg, localNode(0, 1), 1, now, &counters{})
	a.setLocal(now, fleet.Node{GossipAddr: addrOf(0), Upstreams: []fleet.Upstream{{ID: "u", Service: "s", Slots: 2}}})
	for k := kindPing; k <= kindRecordRequest; k++ {
		a.send("node-001", addrOf(1), k, 7, "node-001")
	}
	a.sendRecord(time.Time{}, "node-001", addrOf(1), a.self.id)
	packets, _ := a.takeOutput()
	for _, p := range packets {
		f.Add(p.payload)
		f.Add(p.payload[:len(p.payload)/2])
	}
	f.Add([]byte{0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, b []byte) {
		c := newCore(cfg, localNode(1, 1), 1, now, &counters{})
		if c.receive(now, addrOf(0), b) != nil {
			return
		}
		c.tick(now.Add(time.Second))
		c.tick(now.Add(time.Minute))
		out, nodes := c.takeOutput()
		for _, p := range out {
			assert.Assert(t, len(p.payload) <= maxPlain)
		}
		for _, n := range nodes {
			assert.Assert(t, n.ID != "")
		}
	})
}
