package controld

import (
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
