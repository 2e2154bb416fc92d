package controld

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/maphash"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/godwithub/godwithub/consensus"
	"github.com/godwithub/godwithub/control"
)

// Ticks of the model, which are those of the cores: 100 ms.
const (
	modelTick      = 100 * time.Millisecond
	pollTicks      = 2  // between looks of a process at its own membership, and at silent members
	jobTicks       = 50 // joinTimeout
	leaveTicks     = 50 // for which a planned stop waits
	shortTicks     = 3  // that pass after an event
	longTicks      = 80 // that pass at most after an event until all is quiet
	delayTicks     = 3  // by which a delayed message is late
	modelElection  = consensus.DefaultElectionTicks
	toleratedLoss  = 2
	messagesAtOnce = 50000 // bounds the messages of one tick
)

// modelProcess is a control process of the model. All of its decisions are made by the functions of this package and by
// consensus.Core. Replaced by the model are the link, the store and the loops that call the decisions.
type modelProcess struct {
	name             string
	seed, newcomer   bool
	running, started bool // started: at any time
	gone             bool // stopped as planned
	frozen, cut      bool
	recent           bool // started less than a catch-up time ago
	unnoticed        bool // gone for good without having given up its vote

	// On disk.
	stored   consensus.Stored
	founders bool // the founders are known

	// In memory.
	core        *consensus.Core  // nil until the replica is started
	known       []control.Member // members of the membership that begins with knownOf
	knownOf     *consensus.Member
	view        memberView // without its status
	absentSince time.Time
	silent      *silentMembers
	jobs        []modelJob // changes of members that this leader runs, one after the other
	jobTerm     uint64
	refusal     string // of the leader, to the last request to join
	stopAt      int    // tick at which a planned stop ends without an answer
	leaveAsked  bool   // a request to take the vote is under way
	leaveDone   bool
}

// modelJob is one change of members in progress, see changeMembers.
type modelJob struct {
	asker    int // process that asked, or -1
	leave    bool
	join     bool
	asked    uint64      // tick of the leader at which a request to join came
	put      *putRequest // the changes for it are not known yet
	changes  []consensus.MemberChange
	readSeq  uint64
	planned  bool
	index    uint64 // of the change that is to be committed, or 0
	deadline int
}

// modelProposal is an entry that a process has proposed as leader of a term. Its index is 0 if there is none.
type modelProposal struct {
	proc        int
	term, index uint64
}

type modelMessage struct {
	consensus.Message
	from, due int
}

// modelEntry is what is compared of a committed entry.
type modelEntry struct {
	term uint64
	kind consensus.EntryKind
	text string
}

// world is one state of the model.
type world struct {
	procs     []modelProcess
	ticks     int
	lastID    consensus.ReplicaID
	messages  []modelMessage
	committed map[uint64]modelEntry
	leaders   map[uint64]consensus.ReplicaID // by term
	violation string
	// dropTo and delayTo are the processes to which messages are lost or late until the next tick ends, or -1.
	dropTo, delayTo int
	// awaited is an entry whose acknowledgement ends the delivery of messages, so that what follows happens at that moment.
	awaited modelProposal
	// noGossip says that processes know only the seeds and the leader of their replica, not the others that run.
	noGossip bool
}

func newWorld() *world {
	w := &world{committed: map[uint64]modelEntry{}, leaders: map[uint64]consensus.ReplicaID{}, dropTo: -1, delayTo: -1}
	for i, name := range []string{"c1", "c2", "c3", "c4", "c5", "d1", "d2"} {
		w.procs = append(w.procs, modelProcess{name: name, seed: i < 3, newcomer: i > 4})
	}
	return w
}

func (w *world) clone() *world {
	out := *w
	out.procs = slices.Clone(w.procs)
	for i := range out.procs {
		p := &out.procs[i]
		if p.core != nil {
			p.core = p.core.Clone()
		}
		if p.silent != nil {
			p.silent = &silentMembers{since: maps.Clone(p.silent.since)}
		}
		p.stored.Entries = slices.Clone(p.stored.Entries)
		p.jobs = slices.Clone(p.jobs)
	}
	out.messages = slices.Clone(w.messages)
	out.committed, out.leaders = maps.Clone(w.committed), maps.Clone(w.leaders)
	return &out
}

func (w *world) now() time.Time { return time.Unix(0, 0).Add(time.Duration(w.ticks) * modelTick) }

func (p *modelProcess) address() address { return address{p.name, p.name + ":1", p.name + ":2"} }

func (p *modelProcess) active() bool { return p.running && !p.frozen }

func (w *world) reaches(a, b int) bool {
	return a == b || w.procs[a].active() && w.procs[b].active() && !w.procs[a].cut && !w.procs[b].cut
}

func (w *world) index(name string) int {
	for i := range w.procs {
		if w.procs[i].name == name {
			return i
		}
	}
	return -1
}

func (w *world) processAt(linkAddr string) int { return w.index(strings.TrimSuffix(linkAddr, ":1")) }

func (w *world) processOf(id consensus.ReplicaID) int {
	for i := range w.procs {
		if w.procs[i].stored.ID == id {
			return i
		}
	}
	return -1
}

func (w *world) seedAddresses() []address {
	return []address{w.procs[0].address(), w.procs[1].address(), w.procs[2].address()}
}

func (p *modelProcess) memberView() memberView {
	v := p.view
	v.id = p.stored.ID
	if p.core != nil {
		status := p.core.Status()
		v.status = &status
	}
	return v
}

// start starts a process. One whose disk is blank gets a new replica id, see Replicate.
func (w *world) start(i int) {
	p := &w.procs[i]
	if !p.started && p.seed {
		p.founders = true
	}
	p.running, p.started, p.recent = true, true, true
	if p.stored.ID == 0 {
		w.lastID++
		p.stored = consensus.Stored{ID: w.lastID}
	}
	p.view = memberView{blank: p.stored.Blank()}
	if p.view.blank && p.founders {
		p.view.founders = w.seedAddresses()
	}
	if p.stored.Snapshot.Index == 1 {
		p.view.initialMembership = p.stored.Snapshot.Membership
	}
	p.silent, p.absentSince, p.refusal = &silentMembers{}, time.Time{}, ""
	if len(p.view.founders) == 0 {
		w.startReplica(p)
	}
}

func (w *world) startReplica(p *modelProcess) {
	stored := p.stored
	stored.Entries = slices.Clone(stored.Entries)
	core, err := consensus.New(consensus.Config{ID: stored.ID, Seed: uint64(w.ticks), TargetVoters: targetVoters}, stored)
	if err != nil {
		panic(err)
	}
	p.core = core
}

func (w *world) kill(i int) {
	p := &w.procs[i]
	*p = modelProcess{name: p.name, seed: p.seed, newcomer: p.newcomer, started: true, gone: p.gone, stored: p.stored, founders: p.founders}
	w.messages = slices.DeleteFunc(w.messages, func(m modelMessage) bool { return m.To == p.stored.ID })
}

func (w *world) loseDisk(i int) {
	w.kill(i)
	w.procs[i].stored, w.procs[i].founders = consensus.Stored{}, false
	w.start(i)
}

// save does what a store does with a batch.
func (p *modelProcess) save(b consensus.Batch) {
	s := &p.stored
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
		keep := slices.IndexFunc(s.Entries, func(e consensus.Entry) bool { return e.Index >= b.Entries[0].Index })
		if keep < 0 {
			keep = len(s.Entries)
		}
		s.Entries = append(s.Entries[:keep:keep], b.Entries...)
	}
}

// runRounds runs the rounds of a core, see replica.Replica.
func (w *world) runRounds(i int) {
	p := &w.procs[i]
	if p.core == nil {
		return
	}
	for {
		w.checkLeader(p)
		rd := p.core.Ready()
		if rd.Empty() {
			p.core.Advance()
			return
		}
		w.send(i, rd.EarlyMessages)
		p.save(rd.Batch)
		w.send(i, rd.Messages)
		for _, e := range rd.Committed {
			w.commit(p, e)
		}
		for _, r := range rd.Reads {
			if len(p.jobs) > 0 && p.jobs[0].readSeq != 0 && r.Seq >= p.jobs[0].readSeq {
				p.jobs[0].readSeq, p.jobs[0].planned = 0, true
			}
		}
		p.core.Advance()
	}
}

func (w *world) checkLeader(p *modelProcess) {
	role, term := p.core.Role()
	if role != consensus.Leader || p.jobTerm != term {
		w.failJobs(p)
	}
	p.jobTerm = term
	if role != consensus.Leader {
		return
	}
	if other, ok := w.leaders[term]; ok && other != p.stored.ID {
		w.violation = fmt.Sprintf("two leaders of term %d", term)
	}
	w.leaders[term] = p.stored.ID
}

func (w *world) commit(p *modelProcess, e consensus.Entry) {
	entry := modelEntry{e.Term, e.Kind, fmt.Sprint(string(e.Command), e.Membership)}
	if was, ok := w.committed[e.Index]; ok && was != entry {
		w.violation = fmt.Sprintf("two groups both commit: %s commits %v at %d, where %v was committed", p.name, entry, e.Index, was)
	}
	w.committed[e.Index] = entry
}

func (w *world) send(from int, messages []consensus.Message) {
	for _, m := range messages {
		to := w.processOf(m.To)
		if to < 0 || to == w.dropTo {
			continue
		}
		due := w.ticks
		if to == w.delayTo {
			due += delayTicks
		}
		w.messages = append(w.messages, modelMessage{m, from, due})
	}
}

// deliver delivers the messages that are due, and those that are sent meanwhile. Those to a frozen process wait.
func (w *world) deliver() {
	for range messagesAtOnce {
		i := w.nextMessage()
		if i < 0 || w.acknowledged() {
			return
		}
		m := w.messages[i]
		w.messages = slices.Delete(w.messages, i, i+1)
		to := w.processOf(m.To)
		if to < 0 || w.procs[to].core == nil || w.procs[to].cut || w.procs[m.from].cut {
			continue
		}
		p := &w.procs[to]
		if classifyPeer(p.members(), w.procs[m.from].name, true) == peerRefused {
			continue
		}
		p.core.Step(m.Message)
		w.runRounds(to)
	}
	w.violation = "messages without end"
}

// nextMessage returns the index of the first message that is due, or -1.
func (w *world) nextMessage() int {
	for i := range w.messages {
		if w.messages[i].due > w.ticks {
			continue
		}
		if to := w.processOf(w.messages[i].To); to < 0 || !w.procs[to].frozen {
			return i
		}
	}
	return -1
}

func (p *modelProcess) members() []control.Member {
	ms := p.core.Membership()
	if len(ms) == 0 {
		return nil
	}
	if len(ms) == len(p.known) && &ms[0] == p.knownOf {
		return p.known
	}
	p.known, p.knownOf = nil, &ms[0]
	for _, m := range ms {
		p.known = append(p.known, memberOf(m))
	}
	return p.known
}

// acknowledged reports whether the awaited entry has been applied by the process that proposed it, which answers then.
func (w *world) acknowledged() bool {
	p := &w.procs[w.awaited.proc]
	return w.awaited.index > 0 && p.core != nil && w.leads(w.awaited) && p.core.Status().Released >= w.awaited.index
}

// leads reports whether the process of a proposal still leads the term in which it was made.
func (w *world) leads(m modelProposal) bool {
	role, term := w.procs[m.proc].core.Role()
	return role == consensus.Leader && term == m.term
}

// write lets a leader propose an entry and time pass until it is acknowledged. It reports whether it is.
func (w *world) write() bool {
	defer func() { w.awaited = modelProposal{} }()
	for range longTicks {
		if w.acknowledged() {
			return true
		}
		if l := w.leader(); l >= 0 && (w.awaited.index == 0 || !w.leads(w.awaited)) {
			if index, err := w.procs[l].core.Propose([]byte("w")); err == nil {
				_, term := w.procs[l].core.Role()
				w.awaited = modelProposal{l, term, index}
				w.runRounds(l)
				w.deliver()
				continue
			}
		}
		w.tick()
	}
	return w.acknowledged()
}

// tick lets 100 ms pass.
func (w *world) tick() {
	w.ticks++
	for i := range w.procs {
		if p := &w.procs[i]; p.active() && p.core != nil {
			p.core.Tick()
			w.runRounds(i)
		}
	}
	w.deliver()
	if w.ticks%pollTicks == 0 {
		w.poll()
	}
	for i := range w.procs {
		if w.procs[i].active() {
			w.leaveStep(i)
			w.runJobs(i)
		}
	}
	w.deliver()
	w.dropTo, w.delayTo = -1, -1
}

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

// leader returns the process that leads in the highest term, or -1.
func (w *world) leader() int {
	best, bestTerm := -1, uint64(0)
	for i := range w.procs {
		if p := &w.procs[i]; p.active() && !p.cut && p.core != nil {
			if role, term := p.core.Role(); role == consensus.Leader && term > bestTerm {
				best, bestTerm = i, term
			}
		}
	}
	return best
}

// quiet reports whether nothing changes any more but the timers.
func (w *world) quiet() bool {
	l := w.leader()
	if l < 0 || len(w.procs[l].jobs) > 0 || len(w.messages) > 0 {
		return false
	}
	s := w.procs[l].core.Status()
	if !s.MembershipCommitted || s.Released != s.Last || w.committed[s.Released].term != s.Term {
		return false
	}
	for i := range w.procs {
		p := &w.procs[i]
		if p.active() && !p.cut && (p.core == nil || !s.Membership.IsVoter(p.stored.ID) ||
			p.core.Status().Released != s.Released || p.core.LeaderID() != s.ID || p.view.leaving) {
			return false
		}
	}
	silent := 0
	for _, m := range s.Membership {
		if m.ID != s.ID && !s.Heard[m.ID] && m.Voter {
			silent++
		}
		j := w.processOf(m.ID)
		if reached := j >= 0 && w.reaches(l, j); reached != (m.ID == s.ID || s.Heard[m.ID]) {
			return false
		}
	}
	return silent == 0 || !hasSurplusVote(s.Membership)
}

// settle lets time pass until all is quiet, but no longer than longTicks.
func (w *world) settle() {
	for range longTicks {
		w.tick()
		if w.quiet() {
			break
		}
	}
	for i := range w.procs {
		w.procs[i].recent, w.procs[i].unnoticed = false, false
	}
}

var hashSeed = maphash.MakeSeed()

// stateHash hashes a state.
type stateHash struct{ maphash.Hash }

func (h *stateHash) add(values ...uint64) {
	var b [8]byte
	for _, v := range values {
		binary.LittleEndian.PutUint64(b[:], v)
		h.Write(b[:])
	}
}

func (h *stateHash) flags(flags ...bool) {
	for _, f := range flags {
		b := byte(0)
		if f {
			b = 1
		}
		h.WriteByte(b)
	}
}

func (h *stateHash) membership(ms consensus.Membership) {
	h.add(uint64(len(ms)))
	for _, m := range ms {
		h.add(uint64(m.ID))
		h.flags(m.Voter)
	}
}

// hash returns a hash of the state without its timers.
func (w *world) hash() uint64 {
	var h stateHash
	h.SetSeed(hashSeed)
	for i := range w.procs {
		w.procs[i].addTo(&h)
	}
	h.add(uint64(len(w.messages)), uint64(w.dropTo+1), uint64(w.delayTo+1))
	return h.Sum64()
}

func (p *modelProcess) addTo(h *stateHash) {
	h.flags(p.running, p.started, p.gone, p.frozen, p.cut, p.recent, p.unnoticed, p.founders, p.view.blank, p.absentSince.IsZero(), p.refusal == "")
	h.WriteString(p.view.coordinator)
	d := &p.stored
	h.add(uint64(d.ID), d.Hard.Term, uint64(d.Hard.Vote), d.Snapshot.Index, d.Snapshot.Term, uint64(len(d.Entries)), uint64(len(p.jobs)))
	h.membership(d.Snapshot.Membership)
	for _, e := range d.Entries {
		h.add(e.Index, e.Term, uint64(e.Kind))
		h.membership(e.Membership)
	}
	if p.core == nil {
		return
	}
	s := p.core.Status()
	h.add(uint64(s.Role), uint64(s.Leader), s.Commit, s.Released, s.Last)
	for _, m := range s.Membership {
		h.add(s.Match[m.ID])
		h.flags(s.Heard[m.ID])
	}
}
