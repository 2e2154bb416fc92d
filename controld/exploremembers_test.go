package controld

import (
	"errors"
	"fmt"
	"slices"

	"github.com/godwithub/godwithub/consensus"
	"github.com/godwithub/godwithub/control"
)

// poll runs the loops found, joiner.run and joiner.watchSilence once for each process. All processes see the others as
// they were before.
func (w *world) poll() {
	infos := make([]memberInfo, len(w.procs))
	for i := range w.procs {
		if w.procs[i].running {
			v := w.procs[i].memberView()
			infos[i] = v.info()
		}
	}
	for i := range w.procs {
		p := &w.procs[i]
		switch {
		case !p.active():
		case p.core == nil:
			w.found(i, infos)
		default:
			w.look(i, infos)
		}
	}
}

// found does what Group.found does.
func (w *world) found(i int, infos []memberInfo) {
	p := &w.procs[i]
	view := foundingView{self: p.address(), selfID: p.stored.ID, founders: p.view.founders, others: map[string]founderState{}}
	for _, f := range view.founders {
		j := w.index(f.id)
		switch {
		case j == i:
		case w.reaches(i, j):
			view.others[f.id] = founderState{info: infos[j]}
		default:
			view.others[f.id] = founderState{err: fmt.Errorf("%s is out of reach", f.id)}
		}
	}
	founders, exists := view.existing()
	if !exists {
		var err error
		view.updateAbsence(&p.absentSince, w.now(), true)
		if p.view.coordinator, founders, err = view.plan(); err != nil {
			return
		}
	}
	if len(founders) > 0 {
		p.stored = consensus.FounderState(p.stored.ID, founders, nil)
		p.view.blank, p.view.initialMembership = false, founders
	}
	w.startReplica(p)
}

// look does what joiner.run and joiner.watchSilence do.
func (w *world) look(i int, infos []memberInfo) {
	p := &w.procs[i]
	v := p.memberView()
	switch v.action() {
	case actNothing:
	case actCompareFounding:
		addrs := w.candidates()
		for _, m := range v.status.Membership {
			addrs = append(addrs, linkAddrOf(m.Addr))
		}
		for _, addr := range addrs {
			if j := w.processAt(addr); j != i && w.reaches(i, j) && excludes(infos[j], v.id) {
				w.discard(p)
				return
			}
		}
	case actRequestJoin:
		w.requestJoin(i, *v.status)
	}
	if v.status.Leader != v.status.ID {
		p.silent.clear()
		return
	}
	if change, ok := changeForSilence(v.status.Membership, p.silent.update(*v.status, w.now()), w.now()); ok && len(p.jobs) == 0 {
		w.addJob(p, modelJob{asker: -1, changes: []consensus.MemberChange{change}})
	}
}

// candidates returns what Group.candidates does: the seeds, and the control processes that gossip names.
func (w *world) candidates() []string {
	var out []string
	for i := range w.procs {
		if p := &w.procs[i]; p.seed || p.active() && !w.noGossip {
			out = append(out, p.address().linkAddr)
		}
	}
	return out
}

// discard does what Group.discardReplica does.
func (w *world) discard(p *modelProcess) {
	w.lastID++
	p.stored = consensus.Stored{ID: w.lastID}
	p.view.blank, p.view.initialMembership, p.refusal = true, nil, ""
	w.startReplica(p)
}

// requestJoin does what joiner.requestJoin and joiner.admit do.
func (w *world) requestJoin(i int, s consensus.Status) {
	leader := ""
	if j := w.processOf(s.Leader); s.Leader != 0 && j >= 0 {
		leader = w.procs[j].address().linkAddr
	}
	addrs := joinAddrs(leader, w.candidates())
	for n := 0; n < len(addrs); n++ {
		j := w.processAt(addrs[n])
		if j == i || !w.reaches(i, j) || w.procs[j].core == nil {
			continue
		}
		asked := &w.procs[j]
		status := asked.core.Status()
		leaderAddr := ""
		if l := w.processOf(status.Leader); status.Leader != 0 && l >= 0 {
			leaderAddr = w.procs[l].address().String()
		}
		leads, reply := leadsJoin(status, leaderAddr)
		switch {
		case leads:
			w.admit(asked, i, status)
			return
		case reply.Leader != "" && !slices.Contains(addrs, reply.Leader):
			addrs = append(addrs, reply.Leader)
		}
	}
}

func (w *world) admit(leader *modelProcess, i int, s consensus.Status) {
	if slices.ContainsFunc(leader.jobs, func(j modelJob) bool { return j.asker == i }) {
		return
	}
	w.addJob(leader, modelJob{asker: i, join: true, asked: s.Now})
}

func (w *world) addJob(p *modelProcess, j modelJob) {
	j.deadline = w.ticks + jobTicks
	p.jobs = append(p.jobs, j)
}

func (w *world) failJobs(p *modelProcess) {
	for len(p.jobs) > 0 {
		w.endJob(p, false)
	}
}

// endJob removes the first job and tells the one that asked.
func (w *world) endJob(p *modelProcess, done bool) {
	j := p.jobs[0]
	p.jobs = p.jobs[1:]
	if j.leave {
		w.procs[j.asker].leaveAsked, w.procs[j.asker].leaveDone = false, done
	}
}

// runJobs does what changeMembers does.
func (w *world) runJobs(i int) {
	p := &w.procs[i]
	if p.core == nil || len(p.jobs) == 0 {
		return
	}
	j := &p.jobs[0]
	switch {
	case w.ticks > j.deadline:
		w.endJob(p, false)
		return
	case j.join && !w.decideJoin(p, j):
		return
	case !j.planned && j.readSeq == 0:
		seq, err := p.core.ConfirmLeadership()
		if err != nil {
			w.endJob(p, false)
			return
		}
		j.readSeq = seq
		w.runRounds(i)
		return
	case !j.planned:
		return
	}
	s := p.core.Status()
	switch {
	case j.index == 0 && j.leave:
		if asker := w.procs[j.asker].stored.ID; len(j.changes) == 0 && mayGiveUpVote(s.Membership, asker) {
			j.changes = changesOf(consensus.Demote, []consensus.ReplicaID{asker})
		}
	case j.put != nil:
		if !w.reaches(i, j.asker) {
			w.endJob(p, false)
			return
		}
		put, v := *j.put, w.procs[j.asker].memberView()
		put.info = v.info()
		changes, err := planPut(s, put)
		if err != nil {
			w.refuse(&w.procs[j.asker], err)
			w.endJob(p, false)
			return
		}
		j.put, j.changes = nil, changes
	}
	w.runChanges(i)
}

// refuse tells a process why it was not added. One that the leader has excluded gives up its log, see joiner.requestJoin.
func (w *world) refuse(p *modelProcess, err error) {
	p.refusal = err.Error()
	var notBlank *notBlankError
	if errors.As(err, &notBlank) && notBlank.exclusion.appliesTo(p.core.Status()) {
		w.discard(p)
	}
}

// decideJoin decides which voter a process replaces, see joiner.admit. It reports false while that is not known.
func (w *world) decideJoin(p *modelProcess, j *modelJob) bool {
	s, a := p.core.Status(), w.procs[j.asker].address()
	if _, undecided := undecidedVoter(s, a.id, j.asked); undecided {
		return false
	}
	j.join = false
	j.put = &putRequest{
		replaced: memberToReplace(a.id, s.Membership, p.silent.update(s, w.now())),
		retire:   consensus.Demote,
		member:   control.Member{ID: a.id, LinkAddr: a.linkAddr, APIAddr: a.apiAddr, Voter: true},
	}
	return true
}

// runChanges proposes the changes of the first job, each once the one before is committed, see Replica.submitChange.
func (w *world) runChanges(i int) {
	p := &w.procs[i]
	term := p.jobTerm
	for len(p.jobs) > 0 && p.jobTerm == term {
		j := &p.jobs[0]
		switch {
		case j.index > p.core.Status().Commit:
			return
		case j.index > 0:
			j.index, j.changes = 0, j.changes[1:]
		}
		if len(j.changes) == 0 {
			w.endJob(p, true)
			return
		}
		index, err := p.core.ProposeChange(j.changes[0])
		switch err {
		case nil:
			j.index = index
			w.runRounds(i)
			w.deliver()
		case consensus.ErrNoChange:
			j.changes = j.changes[1:]
		case consensus.ErrTermNotCommitted, consensus.ErrChangePending, consensus.ErrNotCaughtUp, consensus.ErrNoQuorum:
			return
		default:
			w.endJob(p, false)
			return
		}
	}
}

// leaveStep does what Group.Leave does, and ends the process then.
func (w *world) leaveStep(i int) {
	p := &w.procs[i]
	if !p.view.leaving {
		return
	}
	v := p.memberView()
	switch {
	case v.status == nil || hasGivenUpVote(*v.status) || p.leaveDone || w.ticks >= p.stopAt:
		p.gone = true
		w.kill(i)
		return
	case p.leaveAsked:
		return
	}
	l := w.processOf(v.status.Leader)
	if v.status.Leader != 0 && l >= 0 && w.reaches(i, l) && w.procs[l].core != nil && w.procs[l].core.Status().Role == consensus.Leader {
		p.leaveAsked = true
		w.addJob(&w.procs[l], modelJob{asker: i, leave: true})
		return
	}
	if !hasSurplusVote(v.status.Membership) {
		p.gone = true
		w.kill(i)
	}
}
