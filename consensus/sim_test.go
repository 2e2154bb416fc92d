package consensus

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/fxamacker/cbor/v2"
)

// memStore is an in-memory Store whose contents survive the restart of a simulated replica.
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
	if b.ResetEntries {
		s.Entries = nil
	}
	if len(b.Entries) > 0 {
		s.Entries = append(s.Entries[:s.position(b.Entries[0].Index)], b.Entries...)
	}
	s.Entries = s.Entries[s.position(b.DropBelow):]
	return nil
}

// position returns the position in Entries of the entry with the given index, or where it would be
// inserted.
func (s *memStore) position(index uint64) int {
	if len(s.Entries) == 0 || index < s.Entries[0].Index {
		return 0
	}
	return min(len(s.Entries), int(index-s.Entries[0].Index))
}

// kvCommand sets Key to Value and returns the previous value. A resent command has the same client
// and sequence number.
type kvCommand struct {
	Client, Seq int
	Key, Value  string
}

// kv is the state machine of the simulation, a key-value store. It runs each command of a client
// only once and returns the previous value of the key. Last and Results hold the sequence number and
// the result of each client's last command.
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

// simNode is one simulated replica. core is nil while it is down.
type simNode struct {
	id      ReplicaID
	store   *memStore
	core    *Core
	machine *kv
	applied uint64
	// pendingProposals holds callbacks by log index, pendingReads by read sequence number.
	pendingProposals map[uint64]func(term uint64, result []byte)
	pendingReads     map[uint64]func()
	role             Role
	term             uint64
}

// Points within a round at which a replica crashes.
const (
	noCrash = iota
	crashBeforeSave
	crashAfterSave
)

type entryKey struct{ index, term uint64 }

// sim is an in-memory cluster with a network that can lose, delay, reorder and duplicate messages.
type sim struct {
	cfg            Config
	nodes          map[ReplicaID]*simNode
	ids            []ReplicaID // all replicas in the order of their creation
	lastID         ReplicaID   // highest id so far
	inFlight       []Message
	cutPaths       map[[2]ReplicaID]bool // by sender and receiver
	fail           func(format string, args ...any)
	storedEntries  map[entryKey]string  // contents of all entries ever stored
	appliedEntries map[uint64]string    // contents of committed entries
	leaders        map[uint64]ReplicaID // by term
	maxTerm        uint64
	ticks          uint64
}

func newSim(cfg Config, voters int, fail func(string, ...any)) *sim {
	s := &sim{
		cfg: cfg, nodes: map[ReplicaID]*simNode{}, cutPaths: map[[2]ReplicaID]bool{}, fail: fail,
		storedEntries: map[entryKey]string{}, appliedEntries: map[uint64]string{}, leaders: map[uint64]ReplicaID{},
	}
	var founders Membership
	for i := range voters {
		founders = append(founders, Member{ID: ReplicaID(i + 1), Voter: true})
	}
	data, _ := newKV().Snapshot()
	for _, m := range founders {
		s.add(FounderState(m.ID, founders, data))
	}
	return s
}

// add adds and starts a replica with the given stored state.
func (s *sim) add(st Stored) *simNode {
	n := &simNode{id: st.ID, store: &memStore{st}}
	s.nodes[n.id] = n
	s.ids = append(s.ids, n.id)
	s.lastID = max(s.lastID, n.id)
	s.restart(n)
	return n
}

// addBlank adds and starts a replica with an empty store.
func (s *sim) addBlank() *simNode { return s.add(Stored{ID: s.lastID + 1}) }

func (s *sim) restart(n *simNode) {
	st, _ := n.store.Load()
	cfg := s.cfg
	cfg.ID, cfg.Seed = n.id, s.cfg.Seed+s.ticks
	core, err := New(cfg, st)
	if err != nil {
		s.fail("cannot restart %s: %v", n.id, err)
	}
	n.core, n.machine, n.applied = core, newKV(), st.Snapshot.Index
	n.role, n.term = Follower, st.Hard.Term
	n.pendingProposals, n.pendingReads = map[uint64]func(uint64, []byte){}, map[uint64]func(){}
	if st.Snapshot.Index > 0 {
		if err := n.machine.Restore(st.Snapshot.Data); err != nil {
			s.fail("%s cannot restore its stored snapshot: %v", n.id, err)
		}
	}
}

func (n *simNode) crash() { n.core = nil }

func (s *sim) running() []*simNode {
	var out []*simNode
	for _, id := range s.ids {
		if n := s.nodes[id]; n != nil && n.core != nil {
			out = append(out, n)
		}
	}
	return out
}

// tick advances the clocks of all running replicas by one tick.
func (s *sim) tick() {
	s.ticks++
	for _, n := range s.running() {
		n.core.Tick()
		s.processReady(n, noCrash)
	}
}

// run runs the cluster for a number of ticks and delivers all messages after each.
func (s *sim) run(ticks int) {
	for range ticks {
		s.tick()
		s.deliverAll()
	}
}

// runUntil runs the cluster until cond holds and returns the number of ticks that it took, or -1 if
// cond does not hold after limit ticks.
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
		if len(s.inFlight) == 0 {
			return
		}
		s.deliver(0, noCrash)
	}
	s.fail("the replicas keep sending messages without a tick")
}

// deliver removes the i-th in-flight message and delivers it unless the path is cut or the receiver
// is down.
func (s *sim) deliver(i, crash int) {
	m := s.inFlight[i]
	s.inFlight = slices.Delete(s.inFlight, i, i+1)
	n := s.nodes[m.To]
	if n == nil || n.core == nil || s.cutPaths[[2]ReplicaID{m.From, m.To}] {
		return
	}
	n.core.Step(m)
	s.processReady(n, crash)
}

// isolate sets whether the paths to a replica (in) and from it (out) are cut.
func (s *sim) isolate(id ReplicaID, in, out bool) {
	for _, other := range s.ids {
		s.cutPaths[[2]ReplicaID{other, id}] = in
		s.cutPaths[[2]ReplicaID{id, other}] = out
	}
}

// processReady runs a replica's rounds until it has no more work, and checks the invariants. crash
// is the point of the first round at which the replica crashes, if any.
func (s *sim) processReady(n *simNode, crash int) {
	s.checkRole(n)
	for {
		rd := n.core.Ready()
		if rd.Empty() {
			n.core.Advance()
			return
		}
		s.inFlight = append(s.inFlight, rd.EarlyMessages...)
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
		s.inFlight = append(s.inFlight, rd.Messages...)
		s.applyReady(n, rd)
		n.core.Advance()
		s.checkRole(n)
	}
}

// applyReady applies what a round has committed and serves its confirmed reads.
func (s *sim) applyReady(n *simNode, rd Ready) {
	if rd.InstallSnapshot {
		if err := n.machine.Restore(rd.Batch.Snapshot.Data); err != nil {
			s.fail("%s cannot restore the received snapshot: %v", n.id, err)
		}
		n.applied = rd.Batch.Snapshot.Index
	}
	for _, e := range rd.Committed {
		s.apply(n, e)
	}
	for _, r := range rd.Reads {
		if n.applied < r.Index {
			s.fail("%s: read confirmed at index %d, but only %d is applied", n.id, r.Index, n.applied)
		}
		if f := n.pendingReads[r.Seq]; f != nil {
			delete(n.pendingReads, r.Seq)
			f()
		}
	}
}

// apply applies an entry and checks state machine safety: all replicas apply the same entry at each
// index, without gaps.
func (s *sim) apply(n *simNode, e Entry) {
	if e.Index != n.applied+1 {
		s.fail("%s applies index %d after index %d", n.id, e.Index, n.applied)
	}
	n.applied = e.Index
	text := contents(e)
	if was, ok := s.appliedEntries[e.Index]; ok && was != text {
		s.fail("%s applies entry %s at index %d, where another replica applied %s", n.id, text, e.Index, was)
	}
	s.appliedEntries[e.Index] = text
	var result []byte
	if e.Kind == EntryCommand {
		result = n.machine.Apply(e.Index, e.Command)
	}
	if f := n.pendingProposals[e.Index]; f != nil {
		delete(n.pendingProposals, e.Index)
		f(e.Term, result)
	}
}

func contents(e Entry) string {
	return fmt.Sprintf("%d/%d/%x/%v", e.Term, e.Kind, e.Command, e.Membership)
}

// checkEntries checks log matching: the index and term of an entry determine its contents and the
// term of the entry before it, and thereby, by induction, all of the log up to it.
func (s *sim) checkEntries(n *simNode, b Batch) {
	for _, e := range b.Entries {
		prev, _ := n.core.log.term(e.Index - 1)
		text := fmt.Sprintf("%s after term %d", contents(e), prev)
		key := entryKey{e.Index, e.Term}
		if was, ok := s.storedEntries[key]; ok && was != text {
			s.fail("%s stores entry %s at index %d, where another replica stored %s", n.id, text, e.Index, was)
		}
		s.storedEntries[key] = text
	}
}

// checkRole drops the pending proposals and reads of a replica whose role or term has changed. If
// the replica became leader, it checks election safety and leader completeness.
func (s *sim) checkRole(n *simNode) {
	role, term := n.core.Role()
	s.maxTerm = max(s.maxTerm, term)
	if role == n.role && term == n.term {
		return
	}
	n.role, n.term = role, term
	n.pendingProposals, n.pendingReads = map[uint64]func(uint64, []byte){}, map[uint64]func(){}
	if role != Leader {
		return
	}
	if other, ok := s.leaders[term]; ok && other != n.id {
		s.fail("%s and %s are both leaders of term %d", other, n.id, term)
	}
	s.leaders[term] = n.id
	for index, text := range s.appliedEntries {
		if index <= n.core.log.snapshot.Index {
			continue
		}
		if index > n.core.log.lastIndex() {
			s.fail("the log of leader %s of term %d ends at index %d and lacks committed entry %d", n.id, term, n.core.log.lastIndex(), index)
		} else if got := contents(n.core.log.entries[index-n.core.log.baseIndex-1]); got != text {
			s.fail("leader %s of term %d has entry %s at index %d, where %s was committed", n.id, term, got, index, text)
		}
	}
}

// leader returns the running leader with the highest term, or nil.
func (s *sim) leader() *simNode {
	var out *simNode
	for _, n := range s.running() {
		if n.role == Leader && (out == nil || n.term > out.term) {
			out = n
		}
	}
	return out
}

// propose proposes a command at a replica. done is called if the command is committed while the
// replica is still leader of the same term.
func (s *sim) propose(n *simNode, c kvCommand, done func(result []byte)) error {
	b, _ := cbor.Marshal(c)
	index, err := n.core.Propose(b)
	if err != nil {
		return err
	}
	proposed := n.term
	n.pendingProposals[index] = func(term uint64, result []byte) {
		if term == proposed && done != nil {
			done(result)
		}
	}
	s.processReady(n, noCrash)
	return nil
}

func (s *sim) proposeChange(n *simNode, c MemberChange) error {
	_, err := n.core.ProposeChange(c)
	s.processReady(n, noCrash)
	return err
}

func (s *sim) compact(n *simNode) {
	data, _ := n.machine.Snapshot()
	n.core.Compact(n.applied, data)
	s.processReady(n, noCrash)
}

// pickRandom returns a random element of list. ok is false if the list is empty.
func pickRandom[T any](r *rand.Rand, list []T) (v T, ok bool) {
	if len(list) == 0 {
		return v, false
	}
	return list[r.IntN(len(list))], true
}
