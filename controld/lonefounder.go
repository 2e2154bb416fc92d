package controld

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/godwithub/godwithub/consensus"
	"github.com/godwithub/godwithub/consensus/disk"
	"github.com/godwithub/godwithub/consensus/replica"
)

// discardRetryInterval is the time between two tries to discard a store while its disk refuses writes.
const discardRetryInterval = 250 * time.Millisecond

// A founder that ends just after it has founded the group, and before another one has learned of that, is taken for absent:
// the others found a group without it. What it holds then never had an effect, and it would neither ask to join that
// group nor be added to it, as it believes that it is a voter of a group of its own.

// holdsOnlyFounding reports whether a replica without a leader holds the initial membership of its group and nothing
// that was proposed since.
func holdsOnlyFounding(s consensus.Status) bool {
	return s.Leader == 0 && s.Last == 1 && s.Snapshot == 1
}

// othersHaveGroup reports whether another process belongs to a group with a leader of which this replica is no member.
// Without a leader that group may be one that cannot work, and to which this replica is of more use as it is.
func (j *joiner) othersHaveGroup(ctx context.Context, s consensus.Status) bool {
	addrs := j.candidateAddrs()
	for _, m := range s.Membership {
		addrs = append(addrs, linkAddrOf(m.Addr))
	}
	var excluded atomic.Bool
	var asking sync.WaitGroup
	for _, addr := range addrs {
		if addr == j.self.linkAddr {
			continue
		}
		asking.Go(func() {
			info, err := j.fetchMemberInfo(ctx, "", addr)
			if err == nil && excludes(info, s.ID) {
				excluded.Store(true)
			}
		})
	}
	asking.Wait()
	return excluded.Load()
}

// excludes reports whether the replica that info describes is a member of a group of which id is not.
func excludes(info memberInfo, id consensus.ReplicaID) bool {
	_, isMember := info.Membership.Find(info.ID)
	_, includesID := info.Membership.Find(id)
	return isMember && !includesID
}

// discardReplica replaces the replica by a blank one with a new id, which then asks to join. If the process ends before
// the store has committed that, it starts with what it held again. An error ends the replication.
func (g *Group) discardReplica(ctx context.Context, r *replica.Replica, cause string) {
	g.log.Info("replica is replaced by a blank one, which joins the group anew", "replica", r.Status().ID.String(), "cause", cause)
	g.replica.Store(nil)
	g.transport.Unregister(groupName)
	if err := g.restartBlank(ctx, r); err != nil {
		g.log.Error("replica not replaced", "fault", err)
		g.closeDone()
	}
}

func (g *Group) restartBlank(ctx context.Context, r *replica.Replica) error {
	if err := r.Stop(); err != nil {
		return err
	}
	store, err := disk.Open(g.dataDir)
	if err != nil {
		return err
	}
	if err := g.discardStore(ctx, store); err != nil {
		return errors.Join(err, store.Close())
	}
	g.mu.Lock()
	g.store.Store(&loadedStore{store, consensus.Stored{ID: store.ID()}})
	g.blank, g.initialMembership = true, nil
	g.mu.Unlock()
	if err := g.start(nil); err != nil {
		return errors.Join(fmt.Errorf("controld: start the blank replica: %w", err), store.Close())
	}
	return nil
}

// discardStore discards the store, and tries again while its disk refuses that, until ctx ends.
func (g *Group) discardStore(ctx context.Context, store *disk.Store) error {
	for first := true; ; first = false {
		err := store.Discard()
		if err == nil {
			return nil
		}
		if first {
			g.log.Error("store not discarded; trying again", "fault", err)
		}
		if !sleep(ctx, discardRetryInterval) {
			return err
		}
	}
}
