package consensus

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	_ "github.com/godwithub/godwithub/internal/testseed"
)

// client runs one operation at a time and resends it until it is answered.
type client struct {
	id, seq  int
	pending  bool
	command  kvCommand
	read     bool
	calledAt int64
}

// kvInput is the input of an operation in the history.
type kvInput struct {
	read       bool
	key, value string
}

// chaos runs clients against a sim under random faults.
type chaos struct {
	*sim
	clients       []*client
	clock         int64
	history       []porcupine.Operation
	blankReplicas []ReplicaID
}

func newChaos(cfg Config, voters, clients int, fail func(string, ...any)) *chaos {
	c := &chaos{sim: newSim(cfg, voters, fail)}
	for i := range clients {
		c.clients = append(c.clients, &client{id: i})
	}
	return c
}

// now returns the next value of a logical clock, so that all events have different times.
func (c *chaos) now() int64 { c.clock++; return c.clock }

// completeOperation adds the client's pending operation to the history, unless it has already been
// answered.
func (c *chaos) completeOperation(cl *client, seq int, output string) {
	if !cl.pending || cl.seq != seq {
		return
	}
	cl.pending = false
	c.history = append(c.history, porcupine.Operation{
		ClientId: cl.id, Input: kvInput{cl.read, cl.command.Key, cl.command.Value},
		Call: cl.calledAt, Output: output, Return: c.now(),
	})
}

// clientStep lets a random client start an operation, or resend its pending one, at a random replica.
func (c *chaos) clientStep(r *rand.Rand) {
	cl, _ := pickRandom(r, c.clients)
	n, ok := pickRandom(r, c.running())
	// Mostly choose a replica that believes it is the leader, since one that has been deposed may
	// give a wrong answer.
	if l, found := pickRandom(r, c.selfDeclaredLeaders()); found && r.IntN(5) > 0 {
		n, ok = l, true
	}
	if !ok {
		return
	}
	if !cl.pending {
		cl.pending, cl.seq, cl.calledAt = true, cl.seq+1, c.now()
		cl.read = r.IntN(2) == 0
		cl.command = kvCommand{cl.id, cl.seq, string(rune('a' + r.IntN(2))), fmt.Sprint(cl.id, ".", cl.seq)}
	}
	seq := cl.seq
	if !cl.read {
		c.propose(n, cl.command, func(result []byte) { c.completeOperation(cl, seq, string(result)) })
		return
	}
	key := cl.command.Key
	if read, err := n.core.Read(); err == nil {
		n.pendingReads[read] = func() { c.completeOperation(cl, seq, n.machine.Values[key]) }
		c.processReady(n, noCrash)
	}
}

// step performs one random action: it delivers, drops or duplicates messages, advances clocks, runs a
// client, or injects a fault or a membership change.
func (c *chaos) step(r *rand.Rand) {
	n, ok := pickRandom(r, c.running())
	switch k := r.IntN(100); {
	case k < 40:
		for range r.IntN(10) {
			if len(c.inFlight) > 0 {
				c.deliver(r.IntN(min(5, len(c.inFlight))), noCrash)
			}
		}
	case k < 50:
		c.tick()
	case k < 53 && ok:
		// One replica's clock runs ahead, so that the others may elect a new leader before the old
		// one steps down.
		for range r.IntN(2 * c.cfg.ElectionTicks) {
			n.core.Tick()
			c.processReady(n, noCrash)
		}
	case k < 74:
		c.clientStep(r)
	case k < 77 && len(c.inFlight) > 0:
		i := r.IntN(len(c.inFlight))
		c.inFlight = append(c.inFlight[:i], c.inFlight[i+1:]...)
	case k < 80 && len(c.inFlight) > 0:
		c.inFlight = append(c.inFlight, c.inFlight[r.IntN(len(c.inFlight))])
	case k < 83 && ok:
		c.cutRandomPaths(r, n)
	case k < 84:
		clear(c.cutPaths)
	case k < 86:
		c.compactRandomReplica(r)
	case k < 88 && ok:
		c.crashMidRound(r)
	case k < 89 && ok:
		n.crash()
	case k < 92:
		c.restartRandomReplicas(r)
	case k < 99:
		c.changeMembership(r)
	case k == 99 && r.IntN(5) == 0 && ok:
		c.replaceWithBlank(r, n)
	}
}

// selfDeclaredLeaders returns the running replicas that believe they are the leader.
func (c *chaos) selfDeclaredLeaders() []*simNode {
	return slices.DeleteFunc(c.running(), func(n *simNode) bool { return n.role != Leader })
}

// cutRandomPaths cuts one path from a replica, or isolates a replica in one or both directions.
func (c *chaos) cutRandomPaths(r *rand.Rand, n *simNode) {
	if l, ok := pickRandom(r, c.selfDeclaredLeaders()); ok && r.IntN(2) == 0 {
		n = l
	}
	switch r.IntN(4) {
	case 0:
		to, _ := pickRandom(r, c.ids)
		c.cutPaths[[2]ReplicaID{n.id, to}] = true
	case 1:
		c.isolate(n.id, true, false)
	case 2:
		c.isolate(n.id, false, true)
	default:
		c.isolate(n.id, true, true)
	}
}

func (c *chaos) compactRandomReplica(r *rand.Rand) {
	if n, ok := pickRandom(r, c.running()); ok {
		c.compact(n)
	}
}

// crashMidRound crashes a replica within a round: one that receives a message, or a leader that
// receives a proposal.
func (c *chaos) crashMidRound(r *rand.Rand) {
	crash := 1 + r.IntN(2)
	l, ok := pickRandom(r, c.selfDeclaredLeaders())
	if !ok || r.IntN(2) == 0 {
		if len(c.inFlight) > 0 {
			c.deliver(r.IntN(len(c.inFlight)), crash)
		}
		return
	}
	b, _ := cbor.Marshal(kvCommand{Client: -2, Seq: int(c.now()), Key: "crash"})
	if _, err := l.core.Propose(b); err == nil {
		c.processReady(l, crash)
	}
}

func (c *chaos) restartRandomReplicas(r *rand.Rand) {
	for _, id := range c.ids {
		if n := c.nodes[id]; n != nil && n.core == nil && r.IntN(2) == 0 {
			c.restart(n)
		}
	}
}

// replaceWithBlank replaces a replica by a blank one with a new id, as after the loss of a disk. It
// usually does so only if a quorum of disks is left, so that the group can continue.
func (c *chaos) replaceWithBlank(r *rand.Rand, n *simNode) {
	ms, left := n.core.Membership(), 0
	for _, m := range ms {
		if m.Voter && c.nodes[m.ID] != nil && m.ID != n.id {
			left++
		}
	}
	if left <= ms.VoterCount()/2 && r.IntN(20) > 0 {
		return
	}
	n.crash()
	c.nodes[n.id] = nil
	c.blankReplicas = append(c.blankReplicas, c.addBlank().id)
}

func (c *chaos) changeMembership(r *rand.Rand) {
	l := c.leader()
	if l == nil {
		return
	}
	ms := l.core.Membership()
	if id, ok := pickRandom(r, c.blankReplicas); ok && len(ms) < 7 && r.IntN(2) == 0 {
		c.proposeChange(l, MemberChange{Kind: AddLearner, ID: id})
		return
	}
	m, _ := pickRandom(r, []Member(ms))
	switch {
	case !m.Voter:
		c.proposeChange(l, MemberChange{Kind: Promote, ID: m.ID, BeforeCatchUp: r.IntN(2) == 0})
	case c.nodes[m.ID] == nil || ms.VoterCount() > 3 && r.IntN(3) == 0:
		c.proposeChange(l, MemberChange{Kind: Remove, ID: m.ID})
	case ms.VoterCount() > 3 && r.IntN(3) == 0:
		c.proposeChange(l, MemberChange{Kind: Demote, ID: m.ID})
	case r.IntN(8) == 0:
		c.proposeChange(l, MemberChange{Kind: SetAddr, ID: m.ID, Addr: fmt.Sprint(c.now())})
	case len(c.ids) < 12 && r.IntN(4) == 0:
		c.blankReplicas = append(c.blankReplicas, c.addBlank().id)
	}
}

// healAndFinish ends the faults, restarts the crashed replicas and lets the clients finish. It fails
// if a group with a quorum elects no leader, or its leader does not commit.
func (c *chaos) healAndFinish() {
	clear(c.cutPaths)
	for _, n := range c.nodes {
		if n != nil && n.core == nil {
			c.restart(n)
		}
	}
	c.run(60)
	l := c.leader()
	if l == nil {
		if c.allQuorumsRunning() {
			c.fail("no leader although a quorum of each replica's membership is running")
		}
		return
	}
	done := false
	c.propose(l, kvCommand{Client: -1, Seq: int(c.now()), Key: "end"}, func([]byte) { done = true })
	c.run(5)
	if !done && c.leader() == l && c.quorumRunning(l.core.Membership()) {
		c.fail("leader %s does not commit although a quorum of its membership is running", l.id)
	}
	for range 20 * len(c.clients) {
		if c.leader() == l {
			c.clientStep(rand.New(rand.NewPCG(1, uint64(c.now()))))
			c.run(1)
		}
	}
}

// allQuorumsRunning reports whether, for every running replica with a log, a quorum of its
// membership is running. During a membership change, the replicas may hold different memberships,
// and a quorum of each is needed.
func (c *chaos) allQuorumsRunning() bool {
	withLog := 0
	for _, n := range c.running() {
		ms := n.core.Membership()
		if len(ms) == 0 {
			continue
		}
		if !c.quorumRunning(ms) {
			return false
		}
		withLog++
	}
	return withLog > 0
}

func (c *chaos) quorumRunning(ms Membership) bool {
	up := 0
	for _, m := range ms {
		if m.Voter && c.nodes[m.ID] != nil && c.nodes[m.ID].core != nil {
			up++
		}
	}
	return up > ms.VoterCount()/2
}

// operations returns the history. It includes unanswered writes with an unknown output, since they
// may have taken effect at any time since their call.
func (c *chaos) operations() []porcupine.Operation {
	out := c.history
	end := c.now()
	for _, cl := range c.clients {
		if cl.pending && !cl.read {
			out = append(out, porcupine.Operation{
				ClientId: cl.id, Input: kvInput{cl.read, cl.command.Key, cl.command.Value}, Call: cl.calledAt, Output: "?", Return: end,
			})
		}
	}
	return out
}

var kvModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, o := range history {
			key := o.Input.(kvInput).key
			byKey[key] = append(byKey[key], o)
		}
		var out [][]porcupine.Operation
		for _, part := range byKey {
			out = append(out, part)
		}
		return out
	},
	Init: func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		in := input.(kvInput)
		ok := output == "?" || output == state
		if in.read {
			return ok, state
		}
		return ok, in.value
	},
}

func chaosConfig(seed uint64) Config {
	return Config{Seed: seed, ElectionTicks: 6, HeartbeatTicks: 2, MaxAppendBytes: 120, MaxInFlight: 3, KeepEntries: 3, PromoteLag: 2, ReleaseTicks: 3}
}

// Guards against violations of the safety properties under faults. The properties: one leader per
// term, matching logs, leaders that have all committed entries, replicas that apply the same
// commands, and a linearizable history (no lost acknowledged write, no stale read, no command that
// runs twice). The faults: message loss, reordering and duplication, one-way cuts, crashes within a
// round, disk loss and membership changes.
func TestInvariantsUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		voters := rapid.SampledFrom([]int{3, 1, 2, 4, 5}).Draw(t, "voters")
		steps := rapid.SampledFrom([]int{200, 1000, 4000}).Draw(t, "steps")
		cfg := chaosConfig(seed)
		cfg.TargetVoters = rapid.SampledFrom([]int{0, 3, 5}).Draw(t, "target voters")
		runChaos(t.Fatalf, cfg, voters, steps)
	})
}

func runChaos(fail func(string, ...any), cfg Config, voters, steps int) *chaos {
	c := newChaos(cfg, voters, 4, fail)
	r := rand.New(rand.NewPCG(cfg.Seed, 7))
	for range steps {
		c.step(r)
	}
	c.healAndFinish()
	if !checkOperations(c.operations()) {
		fail("the history of %d operations is not linearizable", len(c.history))
	}
	return c
}

func checkOperations(ops []porcupine.Operation) bool {
	return porcupine.CheckOperationsTimeout(kvModel, ops, 20*time.Second) == porcupine.Ok
}

// Guards against a fault simulation in which too little happens, so that it would pass any check.
func TestFaultsExerciseTheCore(t *testing.T) {
	var answered, leaderships, snapshotIndexes int
	for seed := range uint64(20) {
		c := runChaos(func(f string, a ...any) { t.Fatalf(f, a...) }, chaosConfig(seed), 3, 3000)
		answered += len(c.history)
		leaderships += len(c.leaders)
		for _, n := range c.running() {
			snapshotIndexes += int(n.core.log.snapshot.Index)
		}
	}
	t.Logf("20 runs of 3000 steps: %d answered operations, %d leaderships, sum of snapshot indexes %d", answered, leaderships, snapshotIndexes)
	assert.Assert(t, answered > 20*50)
	assert.Assert(t, leaderships > 20*5)
}
