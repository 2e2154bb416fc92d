package scenario

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
)

// MembersSoak describes a randomized script for the life of the members of a control group that repairs itself: planned
// replacements in a row, members that are away meanwhile, disks that are lost, processes that are all killed right
// after an acknowledgement, and replaced members that are killed, after which the first acknowledgements precede the loss of disks. Clients
// write and read throughout.
type MembersSoak struct {
	Seed   uint64
	Rounds int
}

const (
	// membersFounders found the group, and membersVoters is its size.
	membersFounders, membersVoters = 3, 5
	// membersClients is the number of clients that write and read.
	membersClients = 4
	// membersTimeout bounds the wait for voters and writes, which may include elections.
	membersTimeout = "20s"
	// membersPause is the longest pause between two accepted writes. Two elections and a repair in between take less.
	membersPause = "15s"
)

// membersScript writes the script of one soak.
type membersScript struct {
	strings.Builder
	r *rand.Rand
	// voters are the present members. spare are VMs that were never used, and retired those that were replaced.
	voters, spare, retired []string
}

// Script returns the script in the language of this package. It depends on nothing but s.
func (s MembersSoak) Script() string {
	m := &membersScript{r: rand.New(rand.NewPCG(s.Seed, 1))}
	m.line("# Soak of the control group's members with seed %d: %d rounds.", s.Seed, s.Rounds)
	m.line("fleet seeds $VM51:7000 $VM52:7000 $VM53:7000 $VM54:7000 $VM55:7000 $VM56:7000 $VM57:7000 $VM58:7000 $VM59:7000")
	m.line("fleet control %d self-repair", membersFounders)
	for i := 1; i <= maxControls; i++ {
		if name := controlName(i); i <= membersVoters {
			m.voters = append(m.voters, name)
		} else {
			m.spare = append(m.spare, name)
		}
	}
	m.start()
	m.line("group history start %d", membersClients)
	for range s.Rounds {
		m.round()
	}
	m.line("group history stop %d %s", 20*s.Rounds, membersPause)
	return m.String()
}

func (m *membersScript) line(format string, args ...any) { fmt.Fprintf(m, format+"\n", args...) }

func (m *membersScript) awaitVoters(names ...string) {
	m.line("group voters %s %s", membersTimeout, strings.Join(names, " "))
}

func (m *membersScript) pick(names []string) string { return names[m.r.IntN(len(names))] }

// start starts the other members. A founder may be killed during the first start: at any time, or the first one just after
// it has founded the group, so that the others may not know of it.
func (m *membersScript) start() {
	killed := ""
	switch m.r.IntN(3) {
	case 0:
		killed = m.pick(m.voters[:membersFounders])
		m.line("exec sleep %.2f", 0.3*m.r.Float64())
		m.line("proc kill %s", killed)
	case 1:
		killed = m.voters[0]
		m.line("waitfor %s log %s founders=%d", membersTimeout, killed, membersFounders)
		m.line("proc kill %s", killed)
	}
	for range membersVoters - membersFounders {
		m.line("group join")
	}
	if killed != "" {
		// In half of the cases the others have founded the group meanwhile.
		m.line("exec sleep %.2f", 5*m.r.Float64())
		m.line("proc restart %s", killed)
	}
	m.awaitVoters(m.voters...)
}

// round replaces members, of which one may be away meanwhile, and then loses disks or kills all.
func (m *membersScript) round() {
	away := ""
	if m.r.IntN(3) > 0 {
		away = m.pick(m.voters)
		m.line("proc kill %s", away)
	}
	for range m.r.IntN(3) {
		m.replace(away)
	}
	if away != "" {
		m.line("proc restart %s", away)
	}
	m.line("group history writes 5 %s", membersTimeout)
	m.awaitVoters(m.voters...)
	// The next fault follows an acknowledgement at once.
	m.line("group history writes 5 %s", membersTimeout)
	switch m.r.IntN(4) {
	case 0:
		m.loseDisks()
	case 1:
		m.killAll()
	case 2:
		m.replaceAndLoseDisks()
	case 3:
		m.removeAndLoseDisks()
	}
	m.line("group history writes 5 %s", membersTimeout)
	m.awaitVoters(m.voters...)
}

// replace starts a new member and stops an old one as planned once the new one votes.
func (m *membersScript) replace(away string) (old, added string) {
	added = m.join()
	running := without(m.voters, away)
	old = m.pick(running)
	if away == "" {
		m.awaitVoters(append(slices.Clone(m.voters), added)...)
	} else {
		// The new member takes the vote of the one that is away, if that has not lost it already.
		m.line("group votes %s %s", membersTimeout, added)
	}
	m.line("proc stop %s", old)
	m.retire(old, added)
	return old, added
}

// join starts a new member, on a VM that was never used if there is one.
func (m *membersScript) join() (added string) {
	if len(m.spare) > 0 {
		added, m.spare = m.spare[0], m.spare[1:]
		m.line("group join")
	} else {
		added, m.retired = m.retired[0], m.retired[1:]
		m.line("group blank %s", added)
	}
	return added
}

func (m *membersScript) retire(old, added string) {
	m.retired = append(m.retired, old)
	m.voters = append(without(m.voters, old), added)
}

// loseDisks kills two members at once, which come back with blank disks.
func (m *membersScript) loseDisks(except ...string) {
	first := m.pick(without(m.voters, except...))
	second := m.pick(without(m.voters, append(except, first)...))
	m.line("proc kill %s", first)
	m.line("proc kill %s", second)
	m.line("group blank %s", first)
	m.line("group blank %s", second)
}

func (m *membersScript) killAll() {
	for _, name := range m.voters {
		m.line("proc kill %s", name)
	}
	for _, name := range m.voters {
		m.line("proc restart %s", name)
	}
}

// replaceAndLoseDisks loses the disks right after a replaced member has stopped.
func (m *membersScript) replaceAndLoseDisks() {
	_, added := m.replace("")
	m.loseDisks(added)
}

// removeAndLoseDisks kills a replaced member, and loses disks once writes are acknowledged again.
func (m *membersScript) removeAndLoseDisks() {
	added := m.join()
	old := m.pick(m.voters)
	m.awaitVoters(append(slices.Clone(m.voters), added)...)
	m.line("proc kill %s", old)
	m.retire(old, added)
	m.line("group history writes 1 %s", membersTimeout)
	m.loseDisks(added)
}

func without(names []string, left ...string) []string {
	return slices.DeleteFunc(slices.Clone(names), func(n string) bool { return slices.Contains(left, n) })
}
