package consensus

import "github.com/godwithub/godwithub/consensus/quorum"

// ConfirmedRead is a read that was confirmed by a majority.
type ConfirmedRead struct {
	Seq   uint64 // as returned by Read
	Index uint64 // index that must be applied before the read is served
}

// reads holds the reads of one term of leadership.
type reads struct {
	issued    uint64 // sequence of the last read
	announced uint64 // last sequence sent in heartbeats
	waiting   []ConfirmedRead
	confirmed []ConfirmedRead
}

// Read asks for a confirmed read and returns its sequence, which appears in
// Ready.Reads once confirmed. Reads end without a trace when the leadership
// ends; sequences start over with each leadership.
func (c *Core) Read() (seq uint64, err error) {
	if c.role != Leader {
		return 0, ErrNotLeader
	}
	c.reads.issued++
	r := ConfirmedRead{Seq: c.reads.issued}
	// Until an entry of its own term is committed, a leader does not know what
	// its predecessors committed.
	if c.ownTermCommitted() {
		r.Index = c.log.commit
	}
	c.reads.waiting = append(c.reads.waiting, r)
	c.confirmReads()
	return r.Seq, nil
}

// setIndex gives reads that came before the first commit of the term an index.
func (r *reads) setIndex(index uint64) {
	for i := range r.waiting {
		if r.waiting[i].Index == 0 {
			r.waiting[i].Index = index
		}
	}
}

// confirmReads moves the reads that a majority has acknowledged to confirmed.
func (c *Core) confirmReads() {
	if len(c.reads.waiting) == 0 || !c.ownTermCommitted() {
		return
	}
	ms, _ := c.log.membership()
	var acks []uint64
	for _, m := range ms {
		switch {
		case !m.Voter:
		case m.ID == c.cfg.ID:
			acks = append(acks, c.reads.issued)
		default:
			acks = append(acks, c.peers[m.ID].ReadAck)
		}
	}
	seq := quorum.Value(acks)
	n := 0
	for n < len(c.reads.waiting) && c.reads.waiting[n].Seq <= seq {
		n++
	}
	c.reads.confirmed = append(c.reads.confirmed, c.reads.waiting[:n]...)
	c.reads.waiting = c.reads.waiting[n:]
}

func (r *reads) takeConfirmed() []ConfirmedRead {
	out := r.confirmed
	r.confirmed = nil
	return out
}
