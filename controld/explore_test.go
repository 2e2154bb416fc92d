package controld

import (
	"cmp"
	"fmt"
	"math"
	"os"
	"runtime/debug"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/godwithub/godwithub/consensus"
)

// exploreTimeVariable names the environment variable that sets for how long TestExploreMembership explores, for instance 60s.
// Without it, the test explores exploreStates states from each start, so that each run explores the same ones, for at most
// exploreTime.
const (
	exploreTimeVariable = "GODWITHUB_EXPLORE_TIME"
	exploreTime         = 24 * time.Second
	exploreStates       = 2000
	// exploreGCPercent lets the garbage collector run less often. The states that are kept are most of the heap.
	exploreGCPercent = 400
)

// An event is text of the form "kind process [process]", to which ", soon" is added if only shortTicks pass before the
// next one. Otherwise time passes until all is quiet.
const soon = ", soon"

// exploreStarts holds the states from which the exploration begins.
var exploreStarts = map[string]func() *world{
	// The three seeds have started, and none has asked the others yet.
	"founding": func() *world {
		w := newWorld()
		for i := range 3 {
			w.start(i)
			w.procs[i].recent = false
		}
		return w
	},
	// All five processes have started at once. The three seeds found the group, and the others join it.
	"first start": func() *world {
		w := newWorld()
		for i := range 5 {
			w.start(i)
			w.procs[i].recent = false
		}
		return w
	},
	// Five members form a group.
	"five": startFive,
	// One of five members is away; a newcomer has its vote.
	"one away": func() *world { return playEvents(startFive(), "kill c5", "start d1") },
	// A newcomer votes as the sixth; one of the others can be stopped as planned.
	"replacement": func() *world { return playEvents(startFive(), "start d1") },
	// While one of five members is away, two of the seeds are replaced as planned and the third is lost. The one that is away
	// knows of none of this.
	"seeds gone": func() *world {
		w := playEvents(startFive(), "kill c5", "start d1", "stop c1", "start d2", "stop c2", "kill c3")
		w.noGossip = true
		return w
	},
}

func startFive() *world {
	w := newWorld()
	for i := range 5 {
		w.start(i)
	}
	w.settle()
	w.settle()
	return w
}

func playEvents(w *world, events ...string) *world {
	for _, e := range events {
		if !w.apply(e) {
			w.violation = cmp.Or(w.violation, "the event is not possible: "+e)
			return w
		}
	}
	return w
}

// lossCount returns how many machines count as lost: those that are down, frozen or cut off, those that have started less
// than a catch-up time ago, and those that have stopped for good and have no successor that has caught up. One that has ended without
// giving up its vote is lost until its vote is found by its silence: meanwhile the group bears two further losses only at the moment of an
// acknowledgement (atAck), which waits for that. See docs/design/acknowledgements.md.
func (w *world) lossCount(atAck bool) int {
	lost, gone, successors := 0, 0, 0
	for i := range w.procs {
		p := &w.procs[i]
		switch {
		case !p.started:
		case p.gone && (atAck || !p.unnoticed):
			gone++
		case !p.running, p.frozen, p.cut, p.recent:
			lost++
		}
		if p.newcomer && p.started && !p.recent {
			successors++
		}
	}
	return lost + max(0, gone-successors)
}

// toleratedLosses returns how many lost machines the group tolerates. During the first start, those that have never started
// count neither as lost nor as members.
func (w *world) toleratedLosses() int {
	n := 0
	for i := range w.procs {
		if w.procs[i].started && !w.procs[i].gone {
			n++
		}
	}
	return min(toleratedLoss, (n-1)/2)
}

// apply plays an event. It reports whether the event is possible, after which no more machines are lost than the group tolerates.
func (w *world) apply(event string) bool {
	text, isSoon := strings.CutSuffix(event, soon)
	parts := strings.Fields(text)
	var on []int
	for _, name := range parts[1:] {
		on = append(on, w.index(name))
	}
	if !w.act(parts[0], on) || w.lossCount(parts[0] == "write-lose-disk") > w.toleratedLosses() {
		return false
	}
	if isSoon {
		for range shortTicks {
			w.tick()
		}
	} else {
		w.settle()
	}
	return true
}

func (w *world) act(kind string, on []int) bool {
	p := &modelProcess{}
	if len(on) > 0 {
		p = &w.procs[on[0]]
	}
	switch kind {
	case "start":
		first := func(p modelProcess) bool { return !p.started && !p.newcomer }
		if p.running || p.gone || p.newcomer && slices.ContainsFunc(w.procs, first) {
			return false
		}
		w.start(on[0])
	case "kill":
		if !p.running || p.view.leaving {
			return false
		}
		w.kill(on[0])
	case "kill-all":
		for i := range w.procs {
			if w.procs[i].running {
				was := w.procs[i].recent || w.procs[i].frozen || w.procs[i].cut
				w.kill(i)
				w.start(i)
				w.procs[i].recent = was // all are back at once, with their disks
			}
		}
	case "remove": // for good, without a planned stop
		if !p.running || p.view.leaving {
			return false
		}
		w.kill(on[0])
		p.gone, p.unnoticed = true, true
	case "lose-disk", "write-lose-disk": // the latter at the moment at which a write is acknowledged
		if kind == "write-lose-disk" && !w.write() {
			return false
		}
		for _, i := range on {
			// Without gossip, a blank process finds the group by the seeds only.
			if !w.procs[i].running || w.procs[i].view.leaving || w.noGossip {
				return false
			}
			w.loseDisk(i)
		}
	case "stop":
		if !p.active() || p.cut || p.view.leaving {
			return false
		}
		p.view.leaving, p.stopAt = true, w.ticks+leaveTicks
		// See TestMemberStopsBeforeItIsTakenIn.
		takenIn := p.core != nil && len(p.core.Membership()) > 0
		for !p.gone {
			w.tick()
		}
		p.unnoticed = !takenIn
	case "freeze", "thaw":
		if !p.running || p.frozen == (kind == "freeze") {
			return false
		}
		p.frozen = kind == "freeze"
		p.recent = !p.frozen
	case "cut", "mend":
		if !p.running || p.cut == (kind == "cut") {
			return false
		}
		p.cut = kind == "cut"
		p.recent = !p.cut
	case "lose-messages-to", "delay-messages-to":
		if !p.active() {
			return false
		}
		if kind == "lose-messages-to" {
			w.dropTo = on[0]
		} else {
			w.delayTo = on[0]
		}
	case "lead":
		return w.lead(on[0])
	default:
		return false
	}
	return true
}

// lead makes a member the leader: the present one is cut off while the others wait for an election timeout, and the
// timer of this one ends first.
func (w *world) lead(i int) bool {
	l := w.leader()
	p := &w.procs[i]
	if l < 0 || l == i || !p.active() || p.cut || p.core == nil || w.lossCount(false) >= w.toleratedLosses() {
		return false
	}
	w.procs[l].cut = true
	for j := range w.procs {
		if q := &w.procs[j]; j != l && q.active() && q.core != nil {
			for range modelElection {
				q.core.Tick()
			}
		}
	}
	for range modelElection {
		if role, _ := p.core.Role(); role != consensus.Follower {
			break
		}
		p.core.Tick()
	}
	w.runRounds(i)
	w.deliver()
	role, _ := p.core.Role()
	w.procs[l].cut = false
	return role == consensus.Leader
}

// events returns the events that are possible in a state. Of processes that are alike, only the first is named.
func (w *world) events() []string {
	var out []string
	add := func(kind string, on ...int) {
		e := kind
		for _, i := range on {
			e += " " + w.procs[i].name
		}
		out = append(out, e, e+soon)
	}
	classes := make([]string, len(w.procs))
	for i := range w.procs {
		classes[i] = w.class(i)
	}
	for i := range w.procs {
		if slices.Index(classes, classes[i]) < i {
			continue
		}
		for _, kind := range w.procs[i].events() {
			add(kind, i)
		}
		for j := i + 1; j < len(w.procs); j++ {
			if w.procs[i].running && w.procs[j].running && slices.Index(classes[i+1:], classes[j]) == j-i-1 {
				add("lose-disk", i, j)
				add("write-lose-disk", i, j)
			}
		}
	}
	add("kill-all")
	return out
}

// events returns the kinds of events that may be possible for a process.
func (p *modelProcess) events() []string {
	switch {
	case !p.running && p.gone:
		return nil
	case !p.running:
		return []string{"start"}
	case p.frozen:
		return []string{"kill", "lose-disk", "thaw"}
	case p.cut:
		return []string{"kill", "lose-disk", "mend"}
	}
	return []string{"kill", "lose-disk", "stop", "remove", "freeze", "cut", "lose-messages-to", "delay-messages-to", "lead"}
}

// class returns a text that is equal for processes that can be exchanged for each other, as far as the model goes.
func (w *world) class(i int) string {
	p := &w.procs[i]
	text := fmt.Sprint(p.seed, p.newcomer, p.running, p.started, p.gone, p.frozen, p.cut, p.recent, p.unnoticed, p.founders, len(p.stored.Entries), p.stored.Hard.Term)
	if p.core == nil {
		return text + fmt.Sprint(p.view.coordinator, p.name) // the lowest of the ready founders founds the group
	}
	s := p.core.Status()
	return text + fmt.Sprint(s.Role, s.Leader, s.Commit, s.Membership.IsVoter(s.ID), s.Membership, s.Membership.VoterCount())
}

// check returns what is wrong in a state: whether the group works with what is lost now, and whether all is as before once
// the lost machines are back, but for those that have stopped for good. It changes the state.
func (w *world) check() string {
	w.dropTo, w.delayTo = -1, -1
	if len(w.committed) > 0 {
		w.settle()
		if fault := w.checkWrite(); fault != "" {
			return "with the losses: " + fault
		}
	}
	foundersReady := 0
	for i := range w.procs {
		p := &w.procs[i]
		p.frozen, p.cut = false, false
		if p.started && !p.running && !p.gone {
			w.start(i)
		}
		if p.founders {
			foundersReady++
		}
	}
	w.settle()
	w.settle()
	// With a minority of the founders, the group is not founded, see docs/incidents/never-founded.md.
	if len(w.committed) == 0 && foundersReady < 2 {
		return w.violation
	}
	if fault := w.checkWrite(); fault != "" {
		return "after the losses: " + fault
	}
	return w.checkVoters()
}

// checkWrite checks that the leader commits a write, and has all that was committed before: commit compares each entry.
func (w *world) checkWrite() string {
	last := uint64(len(w.committed))
	for index := range w.committed {
		last = max(last, index)
	}
	for range longTicks {
		l := w.leader()
		if l >= 0 && w.violation == "" {
			index, err := w.procs[l].core.Propose([]byte("w"))
			w.runRounds(l)
			w.deliver()
			if err == nil && w.procs[l].core.Status().Released >= index && index > last {
				return w.violation
			}
		}
		w.tick()
	}
	return cmp.Or(w.violation, "no write is committed")
}

// checkVoters checks that each process that runs votes, or was told by a leader why not.
func (w *world) checkVoters() string {
	l := w.leader()
	if l < 0 {
		return "no leader"
	}
	s := w.procs[l].core.Status()
	for i := range w.procs {
		p := &w.procs[i]
		if p.running && !s.Membership.IsVoter(p.stored.ID) && p.refusal == "" {
			return p.name + " does not vote and was not told why"
		}
	}
	if s.Membership.VoterCount() < min(targetVoters, w.runningCount()) {
		return "too few voters"
	}
	return w.violation
}

func (w *world) runningCount() int {
	n := 0
	for i := range w.procs {
		if w.procs[i].running {
			n++
		}
	}
	return n
}

// node is a state of the exploration and the events that led to it.
type node struct {
	world  *world
	events []string
}

// exploration is the result of a breadth-first exploration.
type exploration struct {
	states, depth int // depth: the longest lists of which all were explored
	found         string
}

// explore explores the states that are reached from start until it has seen maxStates or the time is over, and ends at the
// first fault.
func explore(start func() *world, maxStates int, limit time.Duration) exploration {
	end := time.Now().Add(limit)
	queue := []node{{world: start()}}
	seen := map[uint64]bool{queue[0].world.hash(): true}
	result := exploration{states: 1}
	if fault := queue[0].world.clone().check(); fault != "" {
		result.found = "at the start: " + fault
	}
	for len(queue) > 0 && result.found == "" {
		n := queue[0]
		queue[0] = node{}
		queue = queue[1:]
		result.depth = len(n.events)
		for _, e := range n.world.events() {
			if result.states >= maxStates || time.Now().After(end) {
				return result
			}
			next := n.world.clone()
			if !next.apply(e) || seen[next.hash()] {
				continue
			}
			seen[next.hash()] = true
			result.states++
			events := append(slices.Clone(n.events), e)
			fault := next.violation
			if fault == "" {
				fault = next.clone().check()
			}
			if fault != "" {
				result.found = fmt.Sprintf("%q: %s", events, fault)
				return result
			}
			queue = append(queue, node{next, events})
		}
	}
	return result
}

// Guards against orders of events after which members stay outside of the group, the group does not work although no more
// machines are lost than it tolerates, or two groups commit. docs/design/members.md says what the model holds.
func TestExploreMembership(t *testing.T) {
	defer debug.SetGCPercent(debug.SetGCPercent(exploreGCPercent))
	limit, maxStates := exploreTime, exploreStates
	if text := os.Getenv(exploreTimeVariable); text != "" {
		var err error
		limit, err = time.ParseDuration(text)
		assert.NilError(t, err)
		maxStates = math.MaxInt
	}
	for _, name := range []string{"founding", "first start", "five", "one away", "replacement", "seeds gone"} {
		began := time.Now()
		r := explore(exploreStarts[name], maxStates, limit/time.Duration(len(exploreStarts)))
		t.Logf("%s: %d states in %.1f s, all lists of %d events", name, r.states, time.Since(began).Seconds(), r.depth)
		assert.Equal(t, r.found, "", "after %d states from the start %q", r.states, name)
	}
}

// Guards against faults that the exploration has found, in the code of the time or with the fix of a fault taken out.
func TestExploredLists(t *testing.T) {
	for name, list := range map[string]struct {
		start  string
		events []string
	}{
		"a returning member becomes a sixth voter beside two dead ones": {"five", []string{
			"kill c5", "start d1", "stop c1", "start d2", "stop c2", "kill c3", "start c5, soon", "kill c5"}},
		"the same under a new leader, which does not know yet that two are dead": {"seeds gone", []string{
			"kill-all, soon", "start c5, soon", "kill c5"}},
		"the same before an old leader notices that two are dead": {"five", []string{
			"kill c5", "start d1", "stop c1", "start d2", "lead c4", "stop c2, soon", "kill c3, soon", "start c5, soon", "kill c5"}},
		"review/6: a member that was away refuses the leader that joined meanwhile":  {"one away", []string{"lead d1"}},
		"review/7: the vote of a member that was replaced as planned counts further": {"replacement", []string{"stop c1, soon", "lose-disk c2 c3"}},
		"review/10: a founder that founded alone stays outside":                      {"founding", []string{"lose-messages-to c1, soon", "kill c1"}},
		"review/11: a write is acknowledged while a member that was killed after its replacement still votes": {"replacement", []string{
			"remove c1, soon", "write-lose-disk c2 c3"}},
		"the same, and the leader is among the lost":                      {"replacement", []string{"remove c4, soon", "write-lose-disk c1 c3"}},
		"review/12: a write is acknowledged while only the founders vote": {"first start", []string{"write-lose-disk c1 c2"}},
		"a member asks only seeds that are gone for its vote":             {"seeds gone", []string{"start c5", "kill c4"}},
	} {
		t.Run(name, func(t *testing.T) {
			w := playEvents(exploreStarts[list.start](), list.events...)
			assert.Equal(t, w.violation, "")
			assert.Equal(t, w.check(), "")
		})
	}
}

// Guards against the vote of a process that has lost its disk and stops as planned 0.3 s later: its new replica has not been
// taken in, and the vote of the old one counts on, so that two disks lost next leave three of six.
func TestMemberStopsBeforeItIsTakenIn(t *testing.T) {
	w := playEvents(exploreStarts["replacement"](), "lose-disk c1, soon", "stop c1, soon")
	assert.Equal(t, w.violation, "")
	assert.Assert(t, w.act("lose-disk", []int{w.index("c2"), w.index("c3")}))
	assert.Equal(t, w.check(), "")
}
