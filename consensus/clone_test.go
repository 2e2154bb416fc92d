package consensus

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a clone that shares state with its original or lacks some of it: both must send the same messages and
// store the same entries for the same inputs, whichever runs first.
func TestCloneContinuesAlike(t *testing.T) {
	fail := func(f string, a ...any) { t.Fatalf(f, a...) }
	for seed := range uint64(10) {
		c := newChaos(chaosConfig(seed), 3, 2, fail)
		r := rand.New(rand.NewPCG(seed, 1))
		for range 500 {
			c.step(r)
		}
		for _, n := range c.running() {
			clone := n.core.Clone()
			want := continuation(clone.Clone())
			assert.Equal(t, continuation(clone), want)
			assert.Equal(t, continuation(n.core), want)
		}
	}
}

// continuation runs a core for some ticks with the replies of a peer that accepts all, and returns its outputs.
func continuation(c *Core) string {
	out := ""
	for range 40 {
		c.Tick()
		c.Propose([]byte("x"))
		c.Read()
		rd := c.Ready()
		for _, m := range append(rd.EarlyMessages, rd.Messages...) {
			out += fmt.Sprintf("%+v\n", m)
		}
		out += fmt.Sprintf("%+v %+v %+v\n", rd.Batch.Entries, rd.Committed, rd.Reads)
		c.Advance()
		for _, m := range append(rd.EarlyMessages, rd.Messages...) {
			c.Step(replyTo(m))
		}
	}
	return out + fmt.Sprintf("%+v", c.Status())
}

func replyTo(m Message) Message {
	reply := Message{Type: m.Type + 1, From: m.To, To: m.From, Term: m.Term, Index: m.Index + uint64(len(m.Entries)), ReadSeq: m.ReadSeq}
	if m.Type == MsgSnapshot {
		reply.Type, reply.Index = MsgAppendReply, m.Snapshot.Index
	}
	return reply
}
