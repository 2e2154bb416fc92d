package replica

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/godwithub/godwithub/consensus"
	"github.com/godwithub/godwithub/consensus/disk"
	"github.com/godwithub/godwithub/consensus/volatile"
)

// journal is a state machine that keeps a count and a hash of its commands, and
// answers with the count.
type journal struct {
	mu          sync.Mutex
	count, hash uint64
	last        []byte
}

func (j *journal) Apply(_ uint64, command []byte) []byte {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.count++
	for _, b := range command {
		j.hash = j.hash*1099511628211 + uint64(b)
	}
	j.last = command
	return binary.BigEndian.AppendUint64(nil, j.count)
}

func (j *journal) Snapshot() ([]byte, error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, j.count), j.hash), nil
}

func (j *journal) Restore(b []byte) error {
	if len(b) != 16 {
		return fmt.Errorf("snapshot of %d bytes", len(b))
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.count, j.hash = binary.BigEndian.Uint64(b), binary.BigEndian.Uint64(b[8:])
	return nil
}

func (j *journal) value() (count, hash uint64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.count, j.hash
}

// hub connects replicas in memory.
type hub struct {
	mu       sync.Mutex
	replicas map[consensus.ReplicaID]*Replica
	cut      map[consensus.ReplicaID]bool
}

func newHub() *hub {
	return &hub{replicas: map[consensus.ReplicaID]*Replica{}, cut: map[consensus.ReplicaID]bool{}}
}

func (h *hub) Send(m consensus.Message) {
	h.mu.Lock()
	r := h.replicas[m.To]
	lost := h.cut[m.From] || h.cut[m.To]
	h.mu.Unlock()
	if r != nil && !lost {
		r.Receive(m)
	}
}

func (h *hub) isolate(id consensus.ReplicaID, cut bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.cut[id] = cut
}

func (h *hub) start(t testing.TB, cfg Config) *Replica {
	cfg.Transport = h
	if cfg.Group == "" {
		cfg.Group = "test"
	}
	if cfg.TickInterval == 0 {
		cfg.TickInterval = 10 * time.Millisecond
	}
	stored, err := cfg.Store.Load()
	assert.NilError(t, err)
	cfg.Core.Seed = uint64(stored.ID)
	cfg.Addr = "addr-" + stored.ID.String()
	r, err := Start(cfg)
	assert.NilError(t, err)
	h.mu.Lock()
	h.replicas[stored.ID] = r
	h.mu.Unlock()
	return r
}

// startGroup starts founders on the given stores and returns them with their
// machines once one of them leads.
func (h *hub) startGroup(t testing.TB, stores ...consensus.Store) ([]*Replica, []*journal) {
	var founders consensus.Membership
	for _, s := range stores {
		st, err := s.Load()
		assert.NilError(t, err)
		founders = append(founders, consensus.Member{ID: st.ID, Addr: "addr-" + st.ID.String(), Voter: true})
	}
	var replicas []*Replica
	var machines []*journal
	for _, s := range stores {
		j := &journal{}
		machines = append(machines, j)
		replicas = append(replicas, h.start(t, Config{Store: s, Machine: j, Founders: founders}))
	}
	leaderOf(t, replicas)
	return replicas, machines
}

func stopAll(t testing.TB, replicas []*Replica) {
	for _, r := range replicas {
		assert.NilError(t, r.Stop())
	}
}

// leaderOf waits until one of the replicas leads.
func leaderOf(t testing.TB, replicas []*Replica) *Replica {
	var leader *Replica
	waitFor(t, "a leader", func() bool {
		for _, r := range replicas {
			if s := r.Status(); s.Role == consensus.Leader {
				leader = r
			}
		}
		return leader != nil
	})
	return leader
}

func waitFor(t testing.TB, what string, cond func() bool) {
	t.Helper()
	for range 3000 {
		if cond() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatalf("no %s after 15 s", what)
}

func volatileStores(n int) []consensus.Store {
	var out []consensus.Store
	for i := range n {
		out = append(out, volatile.New(consensus.ReplicaID(i+1)))
	}
	return out
}

// Guards against proposals that are lost or applied in different orders, and
// against a follower that takes proposals or does not name the leader.
func TestProposalsReachAllReplicas(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHub()
		replicas, machines := h.startGroup(t, volatileStores(3)...)
		defer stopAll(t, replicas)
		leader := leaderOf(t, replicas)
		var wg sync.WaitGroup
		for i := range 200 {
			wg.Go(func() {
				_, err := leader.Propose(t.Context(), fmt.Append(nil, i))
				assert.Check(t, err)
			})
		}
		wg.Wait()
		assert.NilError(t, leader.ReadBarrier(t.Context()))
		count, hash := machines[0].value()
		for _, m := range machines {
			waitFor(t, "equal state", func() bool { c, s := m.value(); return c == 200 && s == hash || count != 200 })
		}
		for _, r := range replicas {
			if r == leader {
				continue
			}
			_, err := r.Propose(t.Context(), []byte("x"))
			var notLeader *NotLeaderError
			assert.Assert(t, errors.As(err, &notLeader))
			assert.Equal(t, notLeader.Leader, leader.Status().ID)
			assert.Equal(t, notLeader.Addr, "addr-"+leader.Status().ID.String())
			assert.ErrorIs(t, r.ReadBarrier(t.Context()), consensus.ErrNotLeader)
		}
	})
}

// Guards against a caller that takes a proposal for failed, or waits for ever,
// when its leader is cut off, and against a read served by that leader.
func TestLostLeadershipMeansUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHub()
		replicas, _ := h.startGroup(t, volatileStores(3)...)
		defer stopAll(t, replicas)
		leader := leaderOf(t, replicas)
		h.isolate(leader.Status().ID, true)
		read := make(chan error, 1)
		go func() { read <- leader.ReadBarrier(t.Context()) }()
		_, err := leader.Propose(t.Context(), []byte("x"))
		var unknown *UnknownError
		assert.Assert(t, errors.As(err, &unknown), "%v", err)
		assert.ErrorIs(t, <-read, consensus.ErrNotLeader)
	})
}

// Guards against callers that hang when a replica stops.
func TestStopEndsCallers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHub()
		replicas, _ := h.startGroup(t, volatileStores(2)...)
		leader := leaderOf(t, replicas)
		h.isolate(leader.Status().ID, true)
		result := make(chan error, 1)
		go func() { _, err := leader.Propose(t.Context(), nil); result <- err }()
		synctest.Wait()
		stopAll(t, replicas)
		var unknown *UnknownError
		assert.Assert(t, errors.As(<-result, &unknown))
		_, err := leader.Propose(t.Context(), nil)
		assert.ErrorIs(t, err, ErrStopped)
	})
}

// Guards against a replacement that needs more than add, promote and remove,
// and against a learner that never catches up by snapshot.
func TestReplaceMember(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHub()
		stores := volatileStores(3)
		replicas, machines := h.startGroup(t, stores...)
		defer func() { stopAll(t, replicas) }()
		leader := leaderOf(t, replicas)
		for i := range 3000 {
			_, err := leader.Propose(t.Context(), fmt.Appendf(nil, "%0500d", i))
			assert.NilError(t, err)
		}
		assert.Assert(t, leader.Status().Snapshot > 1, "no snapshot was taken")
		j := &journal{}
		added := h.start(t, Config{Store: volatile.New(9), Machine: j})
		replicas, machines = append(replicas, added), append(machines, j)
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		assert.NilError(t, leader.Change(ctx, consensus.MemberChange{Kind: consensus.AddLearner, ID: 9, Addr: "addr-9"}))
		assert.NilError(t, leader.Change(ctx, consensus.MemberChange{Kind: consensus.Promote, ID: 9}))
		removed := consensus.ReplicaID(1)
		if leader.Status().ID == removed {
			removed = 2
		}
		assert.NilError(t, leader.Change(ctx, consensus.MemberChange{Kind: consensus.Remove, ID: removed}))
		assert.Equal(t, leader.Status().Membership.Voters(), 3)
		want, hash := machines[leader.Status().ID-1].value()
		waitFor(t, "equal state", func() bool { c, s := j.value(); return c == want && s == hash })
	})
}

// Guards against a restart that loses acknowledged changes, also after a
// snapshot.
func TestRestartFromDisk(t *testing.T) {
	folder := t.TempDir()
	h := newHub()
	var hash uint64
	for round := range 3 {
		s, err := disk.Open(folder)
		assert.NilError(t, err)
		j := &journal{}
		founders := consensus.Membership{{ID: s.ID(), Voter: true}}
		r := h.start(t, Config{Store: s, Machine: j, Founders: founders, SnapshotBytes: 20_000})
		leaderOf(t, []*Replica{r})
		assert.NilError(t, r.ReadBarrier(t.Context()))
		count, got := j.value()
		assert.Equal(t, count, uint64(round*100))
		assert.Equal(t, got, hash)
		for i := range 100 {
			_, err := r.Propose(t.Context(), fmt.Appendf(nil, "%0300d", i))
			assert.NilError(t, err)
		}
		_, hash = j.value()
		assert.Assert(t, r.Status().Snapshot > 1)
		assert.NilError(t, r.Stop())
	}
}
