package consensus

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/fxamacker/cbor/v2"
)

// memStore keeps what a disk would keep over a restart.
type memStore struct{ Stored }

func (s *memStore) Load() (Stored, error) {
	out := s.Stored
	out.Entries = slices.Clone(s.Entries)
	return out, nil
}

func (s *memStore) Close() error { return nil }

func (s *memStore) Save(b Batch) error {
	if b.Hard != nil {
		s.Hard = *b.Hard
	}
	if b.Snapshot != nil {
		s.Snapshot = *b.Snapshot
	}
	if b.Reset {
		s.Entries = nil
	}
	if len(b.Entries) > 0 {
		s.Entries = append(s.Entries[:s.position(b.Entries[0].Index)], b.Entries...)
	}
	s.Entries = s.Entries[s.position(b.DropBelow):]
	return nil
}

// position returns where the entry with the given index is or belongs.
func (s *memStore) position(index uint64) int {
	if len(s.Entries) == 0 || index < s.Entries[0].Index {
		return 0
	}
	return min(len(s.Entries), int(index-s.Entries[0].Index))
}

// kvCommand sets Key to Value and returns the value before it. A command
// that is sent again has the same client and sequence.
type kvCommand struct {
	Client, Seq int
	Key, Value  string
}

// kv is the state machine of the simulation. It runs each command of a client
// once and returns the value that it replaced.
type kv struct {
	Values  map[string]string
	Last    map[int]int
	Results map[int]string
}

func newKV() *kv { return &kv{map[string]string{}, map[int]int{}, map[int]string{}} }

func (k *kv) Apply(_ uint64, command []byte) []byte {
	var c kvCommand
	if err := cbor.Unmarshal(command, &c); err != nil {
		panic(err)
	}
	if c.Seq > k.Last[c.Client] {
		k.Results[c.Client] = k.Values[c.Key]
		k.Last[c.Client] = c.Seq
		k.Values[c.Key] = c.Value
	}
	return []byte(k.Results[c.Client])
}

func (k *kv) Snapshot() ([]byte, error) { return cbor.Marshal(k) }

func (k *kv) Restore(b []byte) error {
	*k = *newKV()
	return cbor.Unmarshal(b, k)
}

// simNode is one replica; core is nil while it is down.
type simNode struct {
	id      ReplicaID
	store   *memStore
	core    *Core
	machine *kv
	applied uint64
	// waiting holds the callers of entries and reads by index and sequence.
	waiting map[uint64]func(term uint64, result []byte)
	reads   map[uint64]func()
	role    Role
	term    uint64
}

// crash points within a round.
const (
	noCrash = iota
	crashBeforeSave
	crashAfterSave
)

type entryKey struct{ index, term uint64 }

// sim is a cluster in memory with a network that loses, delays, reorders and
// repeats messages.
type sim struct {
	cfg     Config
	nodes   map[ReplicaID]*simNode
	order   []ReplicaID
	nextID  ReplicaID
	net     []Message
	cuts    map[[2]ReplicaID]bool
	fail    func(format string, args ...any)
	seen    map[entryKey]string  // contents of all entries ever stored
	applied map[uint64]string    // contents of committed entries
	leaders map[uint64]ReplicaID // by term
	maxTerm uint64
	ticks   uint64
}

func newSim(cfg Config, voters int, fail func(string, ...any)) *sim {
	s := &sim{
		cfg: cfg, nodes: map[ReplicaID]*simNode{}, cuts: map[[2]ReplicaID]bool{}, fail: fail,
		seen: map[entryKey]string{}, applied: map[uint64]string{}, leaders: map[uint64]ReplicaID{},
	}
	var founders Membership
	for i := range voters {
		founders = append(founders, Member{ID: ReplicaID(i + 1), Voter: true})
	}
	data, _ := newKV().Snapshot()
	for _, m := range founders {
		s.add(Founding(m.ID, founders, data))
	}
	return s
}

// add starts a replica with the given state.
func (s *sim) add(st Stored) *simNode {
	n := &simNode{id: st.ID, store: &memStore{st}}
	s.nodes[n.id] = n
	s.order = append(s.order, n.id)
	s.nextID = max(s.nextID, n.id)
	s.restart(n)
	return n
}

func (s *sim) addBlank() *simNode { return s.add(Stored{ID: s.nextID + 1}) }

func (s *sim) restart(n *simNode) {
	st, _ := n.store.Load()
	cfg := s.cfg
	cfg.ID, cfg.Seed = n.id, s.cfg.Seed+s.ticks
	core, err := New(cfg, st)
	if err != nil {
		s.fail("restart of %s: %v", n.id, err)
	}
	n.core, n.machine, n.applied = core, newKV(), st.Snapshot.Index
	n.role, n.term = Follower, st.Hard.Term
	n.waiting, n.reads = map[uint64]func(uint64, []byte){}, map[uint64]func(){}
	if st.Snapshot.Index > 0 {
		if err := n.machine.Restore(st.Snapshot.Data); err != nil {
			s.fail("restore at %s: %v", n.id, err)
		}
	}
}

func (n *simNode) crash() { n.core = nil }

func (s *sim) up() []*simNode {
	var out []*simNode
	for _, id := range s.order {
		if n := s.nodes[id]; n != nil && n.core != nil {
			out = append(out, n)
		}
	}
	return out
}

// tick advances all replicas by one tick.
func (s *sim) tick() {
	s.ticks++
	for _, n := range s.up() {
		n.core.Tick()
		s.work(n, noCrash)
	}
}

// run does ticks, after each of which all messages are delivered.
func (s *sim) run(ticks int) {
	for range ticks {
		s.tick()
		s.deliverAll()
	}
}

// runUntil runs until the condition holds and returns how many ticks it took,
// or -1 after limit ticks.
func (s *sim) runUntil(limit int, cond func() bool) int {
	for i := range limit {
		if cond() {
			return i
		}
		s.run(1)
	}
	return -1
}

func (s *sim) deliverAll() {
	for range 10000 {
		if len(s.net) == 0 {
			return
		}
		s.deliver(0, noCrash)
	}
	s.fail("messages never end")
}

// deliver hands the i-th message to its receiver unless the path is cut.
func (s *sim) deliver(i, crash int) {
	m := s.net[i]
	s.net = slices.Delete(s.net, i, i+1)
	n := s.nodes[m.To]
	if n == nil || n.core == nil || s.cuts[[2]ReplicaID{m.From, m.To}] {
		return
	}
	n.core.Step(m)
	s.work(n, crash)
}

// isolate cuts the paths to and from a replica, or one of the two.
func (s *sim) isolate(id ReplicaID, in, out bool) {
	for _, other := range s.order {
		s.cuts[[2]ReplicaID{other, id}] = in
		s.cuts[[2]ReplicaID{id, other}] = out
	}
}

// work does a replica's rounds and checks the invariants.
func (s *sim) work(n *simNode, crash int) {
	s.noteRole(n)
	for {
		rd := n.core.Ready()
		if rd.Empty() {
			n.core.Advance()
			return
		}
		s.net = append(s.net, rd.Early...)
		if crash == crashBeforeSave {
			n.crash()
			return
		}
		if rd.Sync {
			s.checkEntries(n, rd.Batch)
			n.store.Save(rd.Batch)
		}
		if crash == crashAfterSave {
			n.crash()
			return
		}
		s.net = append(s.net, rd.Messages...)
		s.finishRound(n, rd)
		n.core.Advance()
		s.noteRole(n)
	}
}

func (s *sim) finishRound(n *simNode, rd Ready) {
	if rd.Install {
		if err := n.machine.Restore(rd.Batch.Snapshot.Data); err != nil {
			s.fail("install at %s: %v", n.id, err)
		}
		n.applied = rd.Batch.Snapshot.Index
	}
	for _, e := range rd.Committed {
		s.apply(n, e)
	}
	for _, r := range rd.Reads {
		if n.applied < r.Index {
			s.fail("%s: read confirmed at %d before it is applied (%d)", n.id, r.Index, n.applied)
		}
		if f := n.reads[r.Seq]; f != nil {
			delete(n.reads, r.Seq)
			f()
		}
	}
}

// apply checks state machine safety: all replicas apply the same entry at an
// index, without gaps.
func (s *sim) apply(n *simNode, e Entry) {
	if e.Index != n.applied+1 {
		s.fail("%s applies %d after %d", n.id, e.Index, n.applied)
	}
	n.applied = e.Index
	text := contents(e)
	if was, ok := s.applied[e.Index]; ok && was != text {
		s.fail("%s applies %s at %d, another applied %s", n.id, text, e.Index, was)
	}
	s.applied[e.Index] = text
	var result []byte
	if e.Kind == EntryCommand {
		result = n.machine.Apply(e.Index, e.Command)
	}
	if f := n.waiting[e.Index]; f != nil {
		delete(n.waiting, e.Index)
		f(e.Term, result)
	}
}

func contents(e Entry) string {
	return fmt.Sprintf("%d/%d/%x/%v", e.Term, e.Kind, e.Command, e.Membership)
}

// checkEntries checks log matching: an index and a term determine the entry and
// the term of the entry before it, and by induction the whole log.
func (s *sim) checkEntries(n *simNode, b Batch) {
	for _, e := range b.Entries {
		prev, _ := n.core.log.term(e.Index - 1)
		text := fmt.Sprintf("%s after term %d", contents(e), prev)
		key := entryKey{e.Index, e.Term}
		if was, ok := s.seen[key]; ok && was != text {
			s.fail("%s holds %s at %d, another held %s", n.id, text, e.Index, was)
		}
		s.seen[key] = text
	}
}

// noteRole checks election safety and leader completeness when a replica
// becomes leader, and ends its callers' waits when it stops being one.
func (s *sim) noteRole(n *simNode) {
	role, term := n.core.Role()
	s.maxTerm = max(s.maxTerm, term)
	if role == n.role && term == n.term {
		return
	}
	n.role, n.term = role, term
	n.waiting, n.reads = map[uint64]func(uint64, []byte){}, map[uint64]func(){}
	if role != Leader {
		return
	}
	if other, ok := s.leaders[term]; ok && other != n.id {
		s.fail("%s and %s both lead term %d", other, n.id, term)
	}
	s.leaders[term] = n.id
	for index, text := range s.applied {
		if index <= n.core.log.snapshot.Index {
			continue
		}
		if index > n.core.log.last() {
			s.fail("leader %s of term %d ends at %d and lacks committed entry %d", n.id, term, n.core.log.last(), index)
		} else if got := contents(n.core.log.entries[index-n.core.log.baseIndex-1]); got != text {
			s.fail("leader %s of term %d holds %s at %d, committed was %s", n.id, term, got, index, text)
		}
	}
}

// leader returns the leader of the highest term, or nil.
func (s *sim) leader() *simNode {
	var out *simNode
	for _, n := range s.up() {
		if n.role == Leader && (out == nil || n.term > out.term) {
			out = n
		}
	}
	return out
}

// propose hands a command to a replica. done is called if it is committed while
// the replica leads.
func (s *sim) propose(n *simNode, c kvCommand, done func(result []byte)) error {
	b, _ := cbor.Marshal(c)
	index, err := n.core.Propose(b)
	if err != nil {
		return err
	}
	proposed := n.term
	n.waiting[index] = func(term uint64, result []byte) {
		if term == proposed && done != nil {
			done(result)
		}
	}
	s.work(n, noCrash)
	return nil
}

func (s *sim) change(n *simNode, c MemberChange) error {
	_, err := n.core.ProposeChange(c)
	s.work(n, noCrash)
	return err
}

func (s *sim) compact(n *simNode) {
	data, _ := n.machine.Snapshot()
	n.core.Compact(n.applied, data)
	s.work(n, noCrash)
}

// pick returns a random element, by the given source.
func pick[T any](r *rand.Rand, list []T) (v T, ok bool) {
	if len(list) == 0 {
		return v, false
	}
	return list[r.IntN(len(list))], true
}
