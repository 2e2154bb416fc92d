package controld

import (
	"fmt"
	"slices"

	"github.com/godwithub/godwithub/consensus"
	"github.com/godwithub/godwithub/control"
)

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
