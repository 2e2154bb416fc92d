package controld

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/godwithub/godwithub/control"
	"github.com/godwithub/godwithub/control/server"
	"github.com/godwithub/godwithub/logging"
)

// replicateLocally builds the replication of a single member.
func replicateLocally(p Parts) (Replication, error) {
	if len(p.Settings.Founders) > 1 {
		return nil, errors.New("controld: a single member with a journal takes no founders")
	}
	journal, err := control.OpenJournal(p.Settings.DataDir, logging.Part(p.Log, "journal"))
	if err != nil {
		return nil, err
	}
	local, err := control.NewLocal(p.Machine, journal, p.Settings.NodeID, p.Settings.APIAddr)
	if err != nil {
		journal.Close()
		return nil, err
	}
	if err := recordSelf(p, local); err != nil {
		local.Close()
		return nil, err
	}
	return localReplication{local, p.Machine}, nil
}

// localReplication is the replication of a single member. It never ends by itself. Changes of members
// are only recorded in the configuration.
type localReplication struct {
	*control.Local
	machine *control.Machine
}

var _ server.MemberChanger = localReplication{}

// Done implements Replication.
func (localReplication) Done() <-chan struct{} { return nil }

// recordSelf records this process as a member in the configuration, unless it is recorded already.
func recordSelf(p Parts, r control.Replicator) error {
	self := control.Member{ID: p.Settings.NodeID, LinkAddr: p.Settings.LinkAddr, APIAddr: p.Settings.APIAddr, Voter: true}
	for _, m := range p.Machine.Members() {
		if m == self {
			return nil
		}
	}
	c := &control.Command{Op: control.OpPutMember, Member: self, At: time.Now().Unix()}
	result, err := control.Submit(context.Background(), r, c)
	if err != nil {
		return err
	}
	if result.Code != control.CodeOK {
		return fmt.Errorf("controld: this member was not recorded in the configuration: %s", result.Message)
	}
	return nil
}

// Current implements Replication.
func (localReplication) Current(context.Context) (context.Context, error) {
	return context.Background(), nil
}

// Confirmed implements Replication.
func (localReplication) Confirmed() bool { return true }

// Leave implements Replication.
func (localReplication) Leave(context.Context) {}

// Members implements server.MemberChanger.
func (l localReplication) Members() []control.Member { return l.machine.Members() }

// PutMember implements server.MemberChanger.
func (l localReplication) PutMember(ctx context.Context, m control.Member) error {
	return l.record(ctx, &control.Command{Op: control.OpPutMember, Member: m})
}

// ReplaceMember implements server.MemberChanger.
func (l localReplication) ReplaceMember(ctx context.Context, id string, m control.Member) error {
	if err := l.PutMember(ctx, m); err != nil || m.ID == id {
		return err
	}
	return l.RemoveMember(ctx, id)
}

// RemoveMember implements server.MemberChanger.
func (l localReplication) RemoveMember(ctx context.Context, id string) error {
	if !slices.ContainsFunc(l.Members(), func(m control.Member) bool { return m.ID == id }) {
		return nil
	}
	return l.record(ctx, &control.Command{Op: control.OpRemoveMember, Member: control.Member{ID: id}})
}

func (l localReplication) record(ctx context.Context, c *control.Command) error {
	c.At = time.Now().Unix()
	result, err := control.Submit(ctx, l, c)
	if err == nil && result.Code != control.CodeOK {
		err = fmt.Errorf("%w: %s", server.ErrMemberRefused, result.Message)
	}
	return err
}
