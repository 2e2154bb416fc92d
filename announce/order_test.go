package announce

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/godwithub/godwithub/fleet"
	"github.com/godwithub/godwithub/logging"
)

type record struct{ heard []string }

func (r *record) Announce(a Announcement)      { r.heard = append(r.heard, string(a.ID)) }
func (r *record) Withdraw(id fleet.UpstreamID) { r.heard = append(r.heard, "-"+string(id)) }

// Guards against delayed announcements that bring back an upstream which has
// gone, drained, or lost its address to a later one.
func TestOrderedDropsOldAnnouncements(t *testing.T) {
	r := &record{}
	o := NewOrdered(r, logging.Discard())
	say := func(id string, born int64, sequence uint64, addr string) {
		o.Announce(Announcement{ID: fleet.UpstreamID(id), Addr: addr, Born: born, Sequence: sequence})
	}
	expect := func(want ...string) {
		t.Helper()
		assert.DeepEqual(t, r.heard, want)
		r.heard = nil
	}
	say("a", 10, 2, "x")
	say("a", 10, 1, "x") // overtaken
	say("a", 10, 2, "x") // sent twice
	expect("a")
	say("a", 20, 1, "x") // started again under its id
	say("a", 10, 9, "x") // an earlier lifetime
	expect("-a", "a")
	say("b", 30, 1, "x") // the address has a new owner
	say("a", 20, 2, "x")
	expect("-a", "b")
	o.Withdraw("b", 20) // an earlier lifetime
	expect()
	o.Withdraw("b", 30)
	say("b", 30, 2, "x") // came late
	expect("-b")
	say("b", 40, 1, "x")
	expect("b")
}

// Guards against an upstream that was withdrawn for refusing connections and
// whose next announcement is dropped.
func TestOrderedKeepsRenewals(t *testing.T) {
	r := &record{}
	o := NewOrdered(r, logging.Discard())
	for sequence := range uint64(3) {
		o.Announce(Announcement{ID: "a", Addr: "x", Sequence: sequence + 1, WarmMs: int64(300 - sequence)})
	}
	assert.Equal(t, len(r.heard), 3)
	assert.Equal(t, o.known["a"].warmMs, int64(300))
}
