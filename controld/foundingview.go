package controld

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/godwithub/godwithub/consensus"
	"github.com/godwithub/godwithub/consensus/quorum"
)

// foundingView is what a founder with a blank disk knows of the others, none of which belongs to a group.
type foundingView struct {
	self     address
	selfID   consensus.ReplicaID
	founders []address // with self
	others   map[string]founderState
	// mayLeaveOut allows the group to be founded without those that are out of reach.
	mayLeaveOut bool
}

// founderState is the state of another founder, or why it could not be asked.
type founderState struct {
	info memberInfo
	err  error
}

// absent returns why one of the founders is out of reach, or nil.
func (v *foundingView) absent() error {
	for _, f := range v.founders {
		if err := v.others[f.id].err; err != nil {
			return err
		}
	}
	return nil
}

// existing returns the initial membership that another founder holds. exists is true if one does, and the membership is
// nil if it does not include this replica.
func (v *foundingView) existing() (founders consensus.Membership, exists bool) {
	for _, f := range v.founders {
		state, asked := v.others[f.id]
		if !asked || state.err != nil || state.info.Blank {
			continue
		}
		if !state.info.InitialMembership.IsVoter(v.selfID) {
			return nil, true
		}
		return state.info.InitialMembership, true
	}
	return nil, false
}

// updateAbsence updates since when a founder has been out of reach, and sets mayLeaveOut.
func (v *foundingView) updateAbsence(since *time.Time, now time.Time, selfRepair bool) {
	switch {
	case v.absent() == nil:
		*since = time.Time{}
	case since.IsZero():
		*since = now
	default:
		v.mayLeaveOut = selfRepair && now.Sub(*since) >= absenceTimeout
	}
}

// plan returns the founder that is to found the group, and the initial membership if that is this one. The
// error names what prevents the founding.
//
// A majority of the founders has to be ready: reachable and blank, with the same founders in their settings. So
// no group can have acknowledged anything without a founder that is ready now. One that has lost its disk has
// other settings and another replica id. It is taken in, but does not count as ready. Besides, the group has to be so
// large that each of its quorums has a founder in common with each quorum of another founding: a founder has only one
// disk and one vote, and replicas of both foundings take each other's messages.
func (v *foundingView) plan() (coordinator string, members consensus.Membership, err error) {
	if err := v.absent(); err != nil && !v.mayLeaveOut {
		return "", nil, err
	}
	ready := []string{v.self.id}
	members = consensus.Membership{{ID: v.selfID, Addr: v.self.String(), Voter: true}}
	for _, f := range v.founders {
		state := v.others[f.id]
		if f.id == v.self.id || state.err != nil {
			continue
		}
		switch {
		case v.sameFounders(state.info.ConfiguredFounders):
			ready = append(ready, f.id)
		case len(state.info.ConfiguredFounders) > 0:
			return "", nil, fmt.Errorf("controld: %s has other founders in its settings: %q", f.id, state.info.ConfiguredFounders)
		}
		members = append(members, consensus.Member{ID: state.info.ID, Addr: f.String(), Voter: true})
	}
	if len(ready) <= len(v.founders)/2 {
		return "", nil, fmt.Errorf("controld: only %d of %d founders are ready", len(ready), len(v.founders))
	}
	if 2*quorum.Size(len(members)) <= len(v.founders) {
		return "", nil, fmt.Errorf("controld: a group of %d of %d founders might not be the only one", len(members), len(v.founders))
	}
	coordinator = slices.Min(ready)
	if coordinator != v.self.id {
		return coordinator, nil, fmt.Errorf("controld: %s has not founded the group yet", coordinator)
	}
	if err := v.dissent(coordinator, ready); err != nil {
		return coordinator, nil, err
	}
	slices.SortFunc(members, func(a, b consensus.Member) int { return cmp.Compare(a.ID, b.ID) })
	return coordinator, members, nil
}

// dissent returns an error if a founder is left out and one that is ready does not agree on the coordinator:
// it may reach the one that is left out, which may be about to found the group as well.
func (v *foundingView) dissent(coordinator string, ready []string) error {
	if v.absent() == nil {
		return nil
	}
	for _, id := range ready {
		if id != v.self.id && v.others[id].info.Coordinator != coordinator {
			return fmt.Errorf("controld: %s does not agree yet that %s founds the group", id, coordinator)
		}
	}
	return nil
}

func (v *foundingView) sameFounders(ids []string) bool {
	own := make([]string, len(v.founders))
	for i, f := range v.founders {
		own[i] = f.id
	}
	slices.Sort(own)
	return slices.Equal(own, slices.Sorted(slices.Values(ids)))
}
