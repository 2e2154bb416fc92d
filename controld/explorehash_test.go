package controld

import (
	"encoding/binary"
	"hash/maphash"

	"github.com/godwithub/godwithub/consensus"
)

var hashSeed = maphash.MakeSeed()

// stateHash hashes a state.
type stateHash struct{ maphash.Hash }

func (h *stateHash) add(values ...uint64) {
	var b [8]byte
	for _, v := range values {
		binary.LittleEndian.PutUint64(b[:], v)
		h.Write(b[:])
	}
}

func (h *stateHash) flags(flags ...bool) {
	for _, f := range flags {
		b := byte(0)
		if f {
			b = 1
		}
		h.WriteByte(b)
	}
}

func (h *stateHash) membership(ms consensus.Membership) {
	h.add(uint64(len(ms)))
	for _, m := range ms {
		h.add(uint64(m.ID))
		h.flags(m.Voter)
	}
}

// hash returns a hash of the state without its timers.
func (w *world) hash() uint64 {
	var h stateHash
	h.SetSeed(hashSeed)
	for i := range w.procs {
		w.procs[i].addTo(&h)
	}
	h.add(uint64(len(w.messages)), uint64(w.dropTo+1), uint64(w.delayTo+1))
	return h.Sum64()
}

func (p *modelProcess) addTo(h *stateHash) {
	h.flags(p.running, p.started, p.gone, p.frozen, p.cut, p.recent, p.unnoticed, p.founders, p.view.blank, p.absentSince.IsZero(), p.refusal == "")
	h.WriteString(p.view.coordinator)
	d := &p.stored
	h.add(uint64(d.ID), d.Hard.Term, uint64(d.Hard.Vote), d.Snapshot.Index, d.Snapshot.Term, uint64(len(d.Entries)), uint64(len(p.jobs)))
	h.membership(d.Snapshot.Membership)
	for _, e := range d.Entries {
		h.add(e.Index, e.Term, uint64(e.Kind))
		h.membership(e.Membership)
	}
	if p.core == nil {
		return
	}
	s := p.core.Status()
	h.add(uint64(s.Role), uint64(s.Leader), s.Commit, s.Released, s.Last)
	for _, m := range s.Membership {
		h.add(s.Match[m.ID])
		h.flags(s.Heard[m.ID])
	}
}
