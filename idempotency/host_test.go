package idempotency

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"

	"github.com/godwithub/godwithub/consensus"
	"github.com/godwithub/godwithub/consensus/replica"
	"github.com/godwithub/godwithub/fleet"
	"github.com/godwithub/godwithub/outcome"
	"github.com/godwithub/godwithub/resource"
	"github.com/godwithub/godwithub/wire"
)

// world is a fleet of hosts that are connected in memory.
type world struct {
	t testing.TB

	mu          sync.Mutex
	nodes       map[fleet.NodeID]*worldNode
	incarnation uint64
	group       *resource.Group
	ran         map[Key][]AttemptID
	metered     bool
	lossy       bool // one message in 50 and one reply in 20 is lost
}

type worldNode struct {
	host      *Host
	receivers map[string]replica.Receiver
	// Sent while the world is metered.
	messages, bytes int
}

// endpoint is the transport of one node.
type endpoint struct {
	w    *world
	node *worldNode
}

func (e endpoint) Register(group string, r replica.Receiver) {
	e.w.mu.Lock()
	defer e.w.mu.Unlock()
	e.node.receivers[group] = r
}

func (e endpoint) Unregister(group string) {
	e.w.mu.Lock()
	defer e.w.mu.Unlock()
	delete(e.node.receivers, group)
}

func (e endpoint) Send(m consensus.Message) {
	e.w.mu.Lock()
	var r replica.Receiver
	n := e.w.nodes[fleet.NodeID(m.ToAddr)]
	if n != nil && (!e.w.lossy || rand.IntN(50) > 0) {
		r = n.receivers[m.Group]
	}
	if e.w.metered {
		b, _ := wire.Encode(m)
		e.node.messages++
		e.node.bytes += len(b)
	}
	e.w.mu.Unlock()
	if r != nil {
		r.Receive(m)
	}
}

func (w *world) Call(ctx context.Context, node fleet.NodeID, c GroupCall) (GroupReply, error) {
	w.mu.Lock()
	n, lossy := w.nodes[node], w.lossy
	w.mu.Unlock()
	if n == nil {
		return GroupReply{}, errors.New("node is down")
	}
	reply := n.host.Serve(ctx, c)
	if lossy && rand.IntN(20) == 0 {
		return GroupReply{}, errors.New("reply is lost")
	}
	return reply, nil
}

// newWorld starts nodes a to e, on which the group has its replicas 1 to 5.
func newWorld(t testing.TB) *world {
	w := &world{t: t, nodes: map[fleet.NodeID]*worldNode{}, ran: map[Key][]AttemptID{}}
	group := &resource.Group{Meta: resource.Meta{Name: "g", Generation: 1}, HomeRegion: "r", Epoch: 1}
	for i := range 5 {
		node := fleet.NodeID(string(rune('a' + i)))
		incarnation := w.startNode(node)
		id := uint64(i + 1)
		group.Founders = append(group.Founders, id)
		group.Members = append(group.Members, resource.GroupMember{Replica: id, Node: string(node), Incarnation: incarnation})
	}
	w.group = group
	w.configure(func(*resource.Group) {})
	return w
}

// startNode starts a host with empty memory and returns its incarnation.
func (w *world) startNode(id fleet.NodeID) uint64 {
	w.mu.Lock()
	w.incarnation++
	incarnation := w.incarnation
	group := w.group
	w.mu.Unlock()
	n := &worldNode{receivers: map[string]replica.Receiver{}}
	n.host = NewHost(HostConfig{
		Node: id, Incarnation: incarnation, Transport: endpoint{w, n},
		NewLedger: func(string) consensus.StateMachine { return &counter{} },
	})
	w.mu.Lock()
	w.nodes[id] = n
	w.mu.Unlock()
	if group != nil {
		n.host.SetGroups(map[string]*resource.Group{"g": group})
	}
	return incarnation
}

func (w *world) kill(id fleet.NodeID) {
	w.mu.Lock()
	n := w.nodes[id]
	delete(w.nodes, id)
	w.mu.Unlock()
	if n != nil {
		n.host.Stop()
	}
}

// configure gives all nodes a changed group, as the configuration would.
func (w *world) configure(edit func(*resource.Group)) {
	w.mu.Lock()
	g := w.group.Clone().(*resource.Group)
	edit(g)
	g.Generation++
	w.group = g
	w.mu.Unlock()
	for _, h := range w.hosts() {
		h.SetGroups(map[string]*resource.Group{"g": g})
	}
}

// hosts returns the hosts of the nodes that are up. They are called without
// holding mu, which their transport takes.
func (w *world) hosts() []*Host {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []*Host
	for _, n := range w.nodes {
		out = append(out, n.host)
	}
	return out
}

// replaceMember gives the group a new replica on a node in place of its old one.
func (w *world) replaceMember(id fleet.NodeID, incarnation, newReplica uint64) {
	w.configure(func(g *resource.Group) {
		for i, m := range g.Members {
			if m.Node == string(id) {
				g.Members[i] = resource.GroupMember{Replica: newReplica, Node: string(id), Incarnation: incarnation, Joining: true}
			}
		}
	})
}

func (w *world) currentGroup(string) *resource.Group {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.group
}

func (w *world) statuses() []ReplicaStatus {
	var out []ReplicaStatus
	for _, h := range w.hosts() {
		out = append(out, h.Statuses()...)
	}
	return out
}

func (w *world) waitFor(what string, cond func() bool) {
	w.t.Helper()
	for range 1200 {
		if cond() {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	w.t.Fatalf("no %s after a minute; %+v", what, w.statuses())
}

// settled reports whether a leader has exactly the configured voters.
func (w *world) settled() bool {
	for _, st := range w.statuses() {
		if st.Role != consensus.Leader || !st.MembershipCommitted || st.Membership.Voters() != len(w.group.Members) || len(st.Membership) != len(w.group.Members) {
			continue
		}
		all := true
		for _, m := range w.group.Members {
			all = all && st.Membership.Voter(consensus.ReplicaID(m.Replica))
		}
		if all {
			return true
		}
	}
	return false
}

func (w *world) stop() {
	for _, id := range []fleet.NodeID{"a", "b", "c", "d", "e"} {
		w.kill(id)
	}
}

// counter is a ledger that counts its commands.
type counter struct{ n byte }

func (c *counter) Apply(uint64, []byte) []byte { c.n++; return []byte{c.n} }
func (c *counter) Snapshot() ([]byte, error)   { return []byte{c.n}, nil }
func (c *counter) Restore(b []byte) error      { c.n = b[0]; return nil }

var keyNumber atomic.Int64

// newKey returns a new key created now. uuid.NewV7 is of no use here: it never
// goes back in time, while each synctest bubble starts at the same time.
func newKey() Key { return keyAt(time.Now().UnixMilli(), int(keyNumber.Add(1))) }

// attempt makes one attempt at a request as a dispatcher does, and reports
// whether the caller would send it again.
func (w *world) attempt(r *rand.Rand, c *Client, key Key, id AttemptID) (again bool) {
	ctx, cancel := context.WithTimeout(w.t.Context(), 500*time.Millisecond)
	defer cancel()
	res, err := c.Claim(ctx, key, id, time.Now().Add(time.Second))
	if err != nil {
		return true
	}
	if res.Status != StatusGranted {
		return res.Status != StatusFinished
	}
	w.mu.Lock()
	w.ran[key] = append(w.ran[key], id)
	w.mu.Unlock()
	if r.IntN(4) == 0 {
		return true // the dispatcher is lost after the request has run
	}
	ctx, cancel = context.WithTimeout(w.t.Context(), time.Second)
	defer cancel()
	return c.Finish(ctx, key, id, Record{Outcome: outcome.Answered, Body: []byte(id)}) != nil
}

// Guards against a key that runs twice while replicas are killed and replaced,
// messages and replies are lost and requests are sent again, and against
// replicas that run under an identity whose memory is lost.
func TestNoKeyRunsTwiceWhileReplicasAreKilled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		defer w.stop()
		w.waitFor("settled group", w.settled)
		client := NewClient(w, w.currentGroup)
		defer client.Close()
		w.mu.Lock()
		w.lossy = true
		w.mu.Unlock()
		ended := make(chan struct{})
		var callers sync.WaitGroup
		answered := 0
		for i := range 8 {
			r := rand.New(rand.NewPCG(uint64(i), 1))
			callers.Go(func() {
				for n := 0; ; n++ {
					select {
					case <-ended:
						return
					default:
					}
					key := newKey()
					for try := range 6 {
						if !w.attempt(r, client, key, AttemptID(fmt.Sprint(i, "-", n, "-", try))) {
							w.mu.Lock()
							answered++
							w.mu.Unlock()
							break
						}
					}
					time.Sleep(20 * time.Millisecond)
				}
			})
		}
		next := uint64(6)
		for _, id := range []fleet.NodeID{"a", "c", "e", "b", "d", "a", "b"} {
			w.kill(id)
			time.Sleep(2 * time.Second)
			incarnation := w.startNode(id)
			time.Sleep(time.Second)
			for _, st := range w.statuses() {
				assert.Assert(t, fleet.NodeID(st.LeaderAddr) != id, "a node that lost its memory leads")
			}
			w.replaceMember(id, incarnation, next)
			next++
			w.waitFor("settled group", w.settled)
		}
		close(ended)
		callers.Wait()
		for key, attempts := range w.ran {
			assert.Assert(t, len(attempts) == 1, "key %v ran as %v", key, attempts)
		}
		t.Logf("%d keys ran, %d were answered to their callers", len(w.ran), answered)
		assert.Assert(t, answered > 300)
	})
}

// Guards against a restarted node that runs, and votes as, a replica whose
// memory it has lost.
func TestRestartedNodeDoesNotRunItsOldReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		defer w.stop()
		w.waitFor("settled group", w.settled)
		w.kill("a")
		w.startNode("a")
		time.Sleep(5 * time.Second)
		w.mu.Lock()
		host := w.nodes["a"].host
		w.mu.Unlock()
		assert.Equal(t, len(host.Statuses()), 0)
		assert.Equal(t, host.Serve(t.Context(), GroupCall{Group: "g", Epoch: 1}).Refusal, RefusedNoReplica)
	})
}

// Guards against keys that run again after a group has lost its majority and
// with it their entries, and against a replaced group that stays unusable.
func TestLostMajorityMakesOlderKeysUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		defer w.stop()
		w.waitFor("settled group", w.settled)
		client := NewClient(w, w.currentGroup)
		defer client.Close()
		claim := func(key Key) (ClaimResult, error) {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			return client.Claim(ctx, key, AttemptID(uuid.NewString()), time.Now().Add(time.Minute))
		}
		old := newKey()
		res, err := claim(old)
		assert.NilError(t, err)
		assert.Equal(t, res.Status, StatusGranted)
		incarnations := map[string]uint64{}
		for _, id := range []fleet.NodeID{"a", "b", "c"} {
			w.kill(id)
			incarnations[string(id)] = w.startNode(id)
		}
		_, err = claim(newKey())
		assert.ErrorIs(t, err, context.DeadlineExceeded)
		w.configure(func(g *resource.Group) {
			g.Epoch = 2
			g.Founders = nil
			for i, m := range g.Members {
				g.Members[i].Replica += 10
				g.Founders = append(g.Founders, m.Replica+10)
				g.Members[i].Incarnation = max(m.Incarnation, incarnations[m.Node])
			}
		})
		w.waitFor("settled group", w.settled)
		res, err = claim(old)
		assert.NilError(t, err)
		assert.Equal(t, res.Status, StatusOldKey)
		assert.Equal(t, res.Ended(), outcome.MayHaveRun(outcome.ReasonOldKey))
		time.Sleep(2 * MaxClockSkew)
		res, err = claim(newKey())
		assert.NilError(t, err)
		assert.Equal(t, res.Status, StatusGranted)
	})
}

// Guards against ledger commands that run twice or are lost when a leader
// changes, and against a ledger that is missing from the snapshot.
func TestLedgerSharesTheGroup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		defer w.stop()
		w.waitFor("settled group", w.settled)
		client := NewClient(w, w.currentGroup)
		defer client.Close()
		for i := range byte(3) {
			b, err := client.Ledger(t.Context(), w.group, []byte("permit"))
			assert.NilError(t, err)
			assert.DeepEqual(t, b, []byte{i + 1})
		}
		incarnation := func() uint64 { w.kill("a"); return w.startNode("a") }()
		w.replaceMember("a", incarnation, 6)
		w.waitFor("settled group", w.settled)
		b, err := client.Ledger(t.Context(), w.group, []byte("permit"))
		assert.NilError(t, err)
		assert.DeepEqual(t, b, []byte{4})
	})
}

// Guards against a replacement that gives up the tolerance of one loss: the
// order depends on whether the replaced member still runs.
func TestOrderOfReplacement(t *testing.T) {
	ms := consensus.Membership{{ID: 1, Addr: "a", Voter: true}, {ID: 2, Addr: "b", Voter: true}, {ID: 3, Addr: "c", Voter: true}}
	g := &resource.Group{Members: []resource.GroupMember{{Replica: 2, Node: "b"}, {Replica: 3, Node: "c"}, {Replica: 4, Node: "d"}}}
	for _, c := range []struct {
		firstHeard bool
		want       []consensus.ChangeKind
	}{
		{true, []consensus.ChangeKind{consensus.AddLearner, consensus.Promote, consensus.Remove}},
		{false, []consensus.ChangeKind{consensus.Remove, consensus.AddLearner, consensus.Promote}},
	} {
		st := consensus.Status{ID: 3, Membership: ms, Heard: map[consensus.ReplicaID]bool{1: c.firstHeard, 2: true, 4: true}}
		for i, want := range c.want {
			change, ok := nextChange(st, g)
			assert.Assert(t, ok)
			assert.Equal(t, change.Kind, want, "step %d", i)
			assert.Equal(t, change.Early, want == consensus.Promote && !c.firstHeard)
			var err error
			st.Membership, err = st.Membership.Apply(change)
			assert.NilError(t, err)
		}
		_, ok := nextChange(st, g)
		assert.Assert(t, !ok)
	}
}
