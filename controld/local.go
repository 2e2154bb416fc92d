package controld

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/godwithub/godwithub/control"
	"github.com/godwithub/godwithub/logging"
)

// replicateLocally builds the replication of a single member.
func replicateLocally(p Parts) (Replication, error) {
	if len(p.Settings.Peers) > 0 {
		return nil, errors.New("controld: this build runs a single member and takes no peers")
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
	return local, nil
}

// recordSelf records this process as the member, unless it is recorded already.
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
		return fmt.Errorf("controld: member was not recorded: %s", result.Message)
	}
	return nil
}
