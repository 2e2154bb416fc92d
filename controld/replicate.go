package controld

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/godwithub/godwithub/consensus"
	"github.com/godwithub/godwithub/consensus/disk"
	"github.com/godwithub/godwithub/consensus/replica"
	"github.com/godwithub/godwithub/control"
	"github.com/godwithub/godwithub/keys"
	"github.com/godwithub/godwithub/link"
	"github.com/godwithub/godwithub/logging"
	"github.com/godwithub/godwithub/wire"
)

const (
	// groupName identifies the control group in consensus messages.
	groupName = "control"
	// snapshotBytes is the total size of applied commands after which a snapshot is taken. A snapshot
	// at the target scale is about 4 MB, so snapshots add at most half of the bytes that are written
	// for commands.
	snapshotBytes = 8 << 20
	// maxCommandBytes is the maximum size of a command. A larger one would not fit into a consensus
	// message and could never be committed.
	maxCommandBytes = 64 << 20
	// legacyJournal is the file in which earlier versions stored the journal of a single member.
	legacyJournal = "journal.db"
)

// Group replicates the configuration by consensus between the members of the
// control group. It implements Replication and server.MemberChanger.
type Group struct {
	self     address
	founders []address // empty: join an existing group
	// selfRepair says that members are added without an operator, so that the group can be founded
	// without one that is absent.
	selfRepair bool
	log        *slog.Logger
	machine    *control.Machine
	dialer     link.Dialer
	transport  *replica.LinkTransport
	dataDir    string
	store      atomic.Pointer[loadedStore]

	replica    atomic.Pointer[replica.Replica] // nil until started
	done       chan struct{}
	doneOnce   sync.Once
	cancel     context.CancelFunc
	background sync.WaitGroup

	mu                sync.Mutex
	blank             bool                 // the disk has never belonged to a group
	coordinator       string               // see memberInfo
	initialMembership consensus.Membership // empty if it is not known

	leaving atomic.Bool // Leave was called

	freshness  freshness
	changeSlot chan struct{} // holds one token while members are changed
}

// loadedStore is a store whose contents have already been loaded.
type loadedStore struct {
	*disk.Store
	stored consensus.Stored
}

// Load implements consensus.Store.
func (s *loadedStore) Load() (consensus.Stored, error) { return s.stored, nil }

// Replicate builds the replication by consensus in the control group. The replica is stored in the
// data folder. A replica with a blank disk founds the group together with the other founders, or
// joins an existing group as a new replica.
func Replicate(p Parts) (_ Replication, err error) {
	log := logging.Part(p.Log, "replica")
	if _, err := os.Stat(filepath.Join(p.Settings.DataDir, legacyJournal)); err == nil {
		return nil, fmt.Errorf("controld: %s contains the journal of a single member: save a snapshot with the version that wrote it, and restore the snapshot into a new group", p.Settings.DataDir)
	}
	founders, err := parseFounders(p.Settings.Founders)
	if err != nil {
		return nil, fmt.Errorf("controld: founders: %w", err)
	}
	store, err := disk.Open(p.Settings.DataDir)
	if err != nil {
		return nil, err
	}
	stored, err := store.Load()
	if err == nil && stored.Blank() {
		founders, err = keepFounders(store, p.Settings.Founders)
	}
	if err != nil {
		return nil, errors.Join(err, store.Close())
	}
	g := &Group{
		self:     p.Settings.address(),
		founders: founders, log: log, machine: p.Machine, dialer: p.Dialer,
		selfRepair: p.Settings.SelfRepair,
		transport:  replica.NewLinkTransport(p.Dialer, linkAddrOf, log),
		dataDir:    p.Settings.DataDir,
		done:       make(chan struct{}),
		blank:      stored.Blank(),
		changeSlot: make(chan struct{}, 1),
	}
	g.store.Store(&loadedStore{store, stored})
	if stored.Snapshot.Index == 1 {
		g.initialMembership = stored.Snapshot.Membership
	}
	var ctx context.Context
	ctx, g.cancel = context.WithCancel(context.Background())
	p.Mux.Handle(wire.FrameConsensus, g.handleConsensus)
	p.Mux.Handle(wire.FrameMemberInfo, g.handleInfo)
	p.Mux.Handle(wire.FrameControlVersion, g.handleVersion)
	if p.Settings.SelfRepair {
		j := &joiner{Group: g, log: logging.Part(p.Log, "join"), candidateAddrs: func() []string { return g.candidates(&p) }}
		p.Mux.Handle(wire.FrameControlJoin, j.handleJoin)
		p.Mux.Handle(wire.FrameControlLeave, g.handleLeave)
		g.background.Go(func() { j.run(ctx) })
		g.background.Go(func() { j.watchSilence(ctx) })
	}
	g.background.Go(func() { g.confirmPeriodically(ctx) })
	if g.blank && len(founders) > 0 {
		g.background.Go(func() { g.found(ctx) })
		return g, nil
	}
	if err := g.start(nil); err != nil {
		g.cancel()
		g.background.Wait()
		return nil, errors.Join(err, store.Close())
	}
	return g, nil
}

// keepFounders stores the founders of a first start. A process that restarts before the group is founded is
// not told them again, and takes them from there: otherwise the others would wait for it in vain.
func keepFounders(store *disk.Store, founders []string) ([]address, error) {
	kept, err := store.Founders()
	switch {
	case err != nil:
		return nil, err
	case len(founders) == 0:
		founders = kept
	case !slices.Equal(founders, kept):
		if err := store.SaveFounders(founders); err != nil {
			return nil, err
		}
	}
	return parseFounders(founders)
}

// start starts the replica. founders is the initial membership of the group if this replica is one
// of its founders, else nil.
func (g *Group) start(founders consensus.Membership) error {
	r, err := replica.Start(replica.Config{
		Group: groupName, Addr: g.self.String(), Founders: founders,
		Core:  consensus.Config{Seed: rand.Uint64(), TargetVoters: g.targetVoters()},
		Store: g.store.Load(), Machine: g.machine, Transport: g.transport,
		SnapshotBytes: snapshotBytes, Log: g.log,
	})
	if err != nil {
		return err
	}
	g.mu.Lock()
	if len(founders) > 0 {
		g.blank, g.initialMembership = false, founders
	}
	g.replica.Store(r)
	g.mu.Unlock()
	g.transport.Register(groupName, r)
	go func() {
		<-r.Done()
		if g.replica.Load() == r { // not discarded
			g.closeDone()
		}
	}()
	g.log.Info("replica is up", "replica", g.replicaID().String(), "founders", len(founders))
	return nil
}

// targetVoters returns the number of voters that the group is meant to have; 0: any.
func (g *Group) targetVoters() int {
	if g.selfRepair {
		return targetVoters
	}
	return 0
}

// candidates returns the link addresses of processes that may be members of the group: the seeds and
// the control VMs that membership knows.
func (g *Group) candidates(p *Parts) []string {
	out := slices.Clone(p.Settings.Seeds)
	if p.ControlLinkAddrs != nil {
		out = append(out, p.ControlLinkAddrs()...)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// handleConsensus accepts consensus messages from control processes only, since the link is open to all
// processes of the fleet.
func (g *Group) handleConsensus(ctx context.Context, s link.Stream, first link.Frame) {
	name := s.PeerName()
	switch classifyPeer(g.Members(), name, s.PeerHasRole(string(keys.RoleControl))) {
	case peerRefused:
		g.log.Warn("consensus stream refused: the peer is not a control process", "peer", name)
		s.Reset()
		return
	case peerUnknown:
		g.log.Info("consensus stream from a process that is not a member in the membership of this replica", "peer", name)
	case peerMember:
	}
	g.transport.Handle(ctx, s, first)
}

func (g *Group) closeDone() { g.doneOnce.Do(func() { close(g.done) }) }

// Done implements Replication.
func (g *Group) Done() <-chan struct{} { return g.done }

// Propose implements control.Replicator.
func (g *Group) Propose(ctx context.Context, command []byte) ([]byte, error) {
	r := g.replica.Load()
	switch {
	case r == nil:
		return nil, control.ErrNotLeader
	case len(command) > maxCommandBytes:
		return nil, control.ErrTooLarge
	}
	result, err := r.Propose(ctx, command)
	return result, mapError(err)
}

// mapError converts an error of a replica to the matching error of a control.Replicator. An
// OutcomeUnknownError is returned as it is, whatever its cause: a leader that has lost its
// leadership reports one whose cause is that it is not the leader, but the next leader may still
// commit the command.
func mapError(err error) error {
	var unknown *replica.OutcomeUnknownError
	var notLeader *replica.NotLeaderError
	switch {
	case err == nil, errors.As(err, &unknown):
		return err
	case errors.As(err, &notLeader):
		return fmt.Errorf("%w: %w", control.ErrNotLeader, err)
	case errors.Is(err, consensus.ErrBusy):
		return fmt.Errorf("%w: %w", control.ErrBusy, err)
	case errors.Is(err, replica.ErrStopped):
		return fmt.Errorf("%w: %w", control.ErrClosed, err)
	}
	return err
}

// ReadBarrier implements control.Replicator.
func (g *Group) ReadBarrier(ctx context.Context) error {
	r := g.replica.Load()
	if r == nil {
		return control.ErrNotLeader
	}
	return mapError(r.ReadBarrier(ctx))
}

// Leader implements control.Replicator.
func (g *Group) Leader() (id, apiAddr string, ok bool) {
	r := g.replica.Load()
	if r == nil {
		return "", "", false
	}
	leader, addr, ok := r.Leader()
	a := parseAddress(addr)
	// An earlier replica with this node id must not be mistaken for this one.
	if !ok || a.id == "" || a.id == g.self.id && leader != g.replicaID() {
		return "", "", false
	}
	return a.id, a.apiAddr, true
}

// Close stops the replica and closes its store.
func (g *Group) Close() error {
	g.cancel()
	g.background.Wait()
	g.transport.Close()
	if r := g.replica.Load(); r != nil {
		return r.Stop()
	}
	return g.store.Load().Close()
}

// replicaID returns the id of the local replica.
func (g *Group) replicaID() consensus.ReplicaID { return g.store.Load().ID() }
