package consensus

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	_ "github.com/godwithub/godwithub/internal/testseed"
)

// client sends one operation at a time, and again until it is answered.
type client struct {
	id, seq int
	busy    bool
	command kvCommand
	read    bool
	call    int64
}

// kvInput is an operation of the history.
type kvInput struct {
	read       bool
	key, value string
}

// chaos drives a sim with clients under random faults.
type chaos struct {
	*sim
	clients []*client
	clock   int64
	history []porcupine.Operation
	spares  []ReplicaID
}

func newChaos(cfg Config, voters, clients int, fail func(string, ...any)) *chaos {
	c := &chaos{sim: newSim(cfg, voters, fail)}
	for i := range clients {
		c.clients = append(c.clients, &client{id: i})
	}
	return c
}

func (c *chaos) now() int64 { c.clock++; return c.clock }

func (c *chaos) answered(cl *client, seq int, output string) {
	if !cl.busy || cl.seq != seq {
		return
	}
	cl.busy = false
	c.history = append(c.history, porcupine.Operation{
		ClientId: cl.id, Input: kvInput{cl.read, cl.command.Key, cl.command.Value},
		Call: cl.call, Output: output, Return: c.now(),
	})
}

// clientStep starts an operation, or sends the open one again, to any replica.
func (c *chaos) clientStep(r *rand.Rand) {
	cl, _ := pick(r, c.clients)
	n, ok := pick(r, c.up())
	// Replicas that take themselves for leaders are asked the most, in
	// particular those that have been deposed.
	if l, found := pick(r, c.leading()); found && r.IntN(5) > 0 {
		n, ok = l, true
	}
	if !ok {
		return
	}
	if !cl.busy {
		cl.busy, cl.seq, cl.call = true, cl.seq+1, c.now()
		cl.read = r.IntN(2) == 0
		cl.command = kvCommand{cl.id, cl.seq, string(rune('a' + r.IntN(2))), fmt.Sprint(cl.id, ".", cl.seq)}
	}
	seq := cl.seq
	if !cl.read {
		c.propose(n, cl.command, func(result []byte) { c.answered(cl, seq, string(result)) })
		return
	}
	key := cl.command.Key
	if read, err := n.core.Read(); err == nil {
		n.reads[read] = func() { c.answered(cl, seq, n.machine.Values[key]) }
		c.work(n, noCrash)
	}
}

// step does one random thing.
func (c *chaos) step(r *rand.Rand) {
	n, ok := pick(r, c.up())
	switch k := r.IntN(100); {
	case k < 40:
		for range r.IntN(10) {
			if len(c.net) > 0 {
				c.deliver(r.IntN(min(5, len(c.net))), noCrash)
			}
		}
	case k < 50:
		c.tick()
	case k < 53 && ok:
		// One replica's clock runs ahead, so that a leader does not step down
		// before the others elect another one.
		for range r.IntN(2 * c.cfg.ElectionTicks) {
			n.core.Tick()
			c.work(n, noCrash)
		}
	case k < 74:
		c.clientStep(r)
	case k < 77 && len(c.net) > 0:
		i := r.IntN(len(c.net))
		c.net = append(c.net[:i], c.net[i+1:]...)
	case k < 80 && len(c.net) > 0:
		c.net = append(c.net, c.net[r.IntN(len(c.net))])
	case k < 83 && ok:
		c.cutSome(r, n)
	case k < 84:
		clear(c.cuts)
	case k < 86:
		c.compactSome(r)
	case k < 88 && ok:
		c.crashSome(r)
	case k < 89 && ok:
		n.crash()
	case k < 92:
		c.restartSome(r)
	case k < 99:
		c.changeSome(r)
	case k == 99 && r.IntN(5) == 0 && ok:
		c.loseDisk(r, n)
	}
}

// leading returns the replicas that take themselves for leaders.
func (c *chaos) leading() []*simNode {
	var out []*simNode
	for _, n := range c.up() {
		if n.role == Leader {
			out = append(out, n)
		}
	}
	return out
}

// cutSome cuts one path, or isolates a replica in one or both directions.
func (c *chaos) cutSome(r *rand.Rand, n *simNode) {
	if l, ok := pick(r, c.leading()); ok && r.IntN(2) == 0 {
		n = l
	}
	switch r.IntN(4) {
	case 0:
		to, _ := pick(r, c.order)
		c.cuts[[2]ReplicaID{n.id, to}] = true
	case 1:
		c.isolate(n.id, true, false)
	case 2:
		c.isolate(n.id, false, true)
	default:
		c.isolate(n.id, true, true)
	}
}

func (c *chaos) compactSome(r *rand.Rand) {
	if n, ok := pick(r, c.up()); ok {
		c.compact(n)
	}
}

// crashSome crashes a replica within a round: one that gets a message, or a
// leader that gets a command.
func (c *chaos) crashSome(r *rand.Rand) {
	crash := 1 + r.IntN(2)
	l, ok := pick(r, c.leading())
	if !ok || r.IntN(2) == 0 {
		if len(c.net) > 0 {
			c.deliver(r.IntN(len(c.net)), crash)
		}
		return
	}
	b, _ := cbor.Marshal(kvCommand{Client: -2, Seq: int(c.now()), Key: "crash"})
	if _, err := l.core.Propose(b); err == nil {
		c.work(l, crash)
	}
}

func (c *chaos) restartSome(r *rand.Rand) {
	for _, id := range c.order {
		if n := c.nodes[id]; n != nil && n.core == nil && r.IntN(2) == 0 {
			c.restart(n)
		}
	}
}

// loseDisk replaces a replica by a blank one under a new id. Mostly, it leaves
// a majority of disks, so that the run goes on.
func (c *chaos) loseDisk(r *rand.Rand, n *simNode) {
	ms, left := n.core.Membership(), 0
	for _, m := range ms {
		if m.Voter && c.nodes[m.ID] != nil && m.ID != n.id {
			left++
		}
	}
	if left <= ms.Voters()/2 && r.IntN(20) > 0 {
		return
	}
	n.crash()
	c.nodes[n.id] = nil
	c.spares = append(c.spares, c.addBlank().id)
}

func (c *chaos) changeSome(r *rand.Rand) {
	l := c.leader()
	if l == nil {
		return
	}
	ms := l.core.Membership()
	if id, ok := pick(r, c.spares); ok && len(ms) < 7 && r.IntN(2) == 0 {
		c.change(l, MemberChange{Kind: AddLearner, ID: id})
		return
	}
	m, _ := pick(r, []Member(ms))
	switch {
	case !m.Voter:
		c.change(l, MemberChange{Kind: Promote, ID: m.ID, Early: r.IntN(2) == 0})
	case c.nodes[m.ID] == nil || ms.Voters() > 3 && r.IntN(3) == 0:
		c.change(l, MemberChange{Kind: Remove, ID: m.ID})
	case r.IntN(8) == 0:
		c.change(l, MemberChange{Kind: SetAddr, ID: m.ID, Addr: fmt.Sprint(c.now())})
	case len(c.order) < 12 && r.IntN(4) == 0:
		c.spares = append(c.spares, c.addBlank().id)
	}
}

// settle ends the faults and lets the cluster finish. It fails unless a cluster
// with a majority elects a leader that commits.
func (c *chaos) settle() {
	clear(c.cuts)
	for _, n := range c.nodes {
		if n != nil && n.core == nil {
			c.restart(n)
		}
	}
	c.run(60)
	l := c.leader()
	if l == nil {
		if c.everyMajorityUp() {
			c.fail("no leader although a majority of each replica's membership is up")
		}
		return
	}
	done := false
	c.propose(l, kvCommand{Client: -1, Seq: int(c.now()), Key: "end"}, func([]byte) { done = true })
	c.run(5)
	if !done && c.leader() == l && c.majorityUp(l.core.Membership()) {
		c.fail("leader %s with a majority does not commit", l.id)
	}
	for range 20 * len(c.clients) {
		if c.leader() == l {
			c.clientStep(rand.New(rand.NewPCG(1, uint64(c.now()))))
			c.run(1)
		}
	}
}

// everyMajorityUp reports whether a majority of every membership is up that a
// replica with a log holds. A change under way needs the majority of the next
// membership as well as that of the present one.
func (c *chaos) everyMajorityUp() bool {
	logs := 0
	for _, n := range c.up() {
		ms := n.core.Membership()
		if len(ms) == 0 {
			continue
		}
		if !c.majorityUp(ms) {
			return false
		}
		logs++
	}
	return logs > 0
}

func (c *chaos) majorityUp(ms Membership) bool {
	up := 0
	for _, m := range ms {
		if m.Voter && c.nodes[m.ID] != nil && c.nodes[m.ID].core != nil {
			up++
		}
	}
	return up > ms.Voters()/2
}

// operations returns the history. Writes without an answer may have run at any
// time since their call.
func (c *chaos) operations() []porcupine.Operation {
	out := c.history
	end := c.now()
	for _, cl := range c.clients {
		if cl.busy && !cl.read {
			out = append(out, porcupine.Operation{
				ClientId: cl.id, Input: kvInput{cl.read, cl.command.Key, cl.command.Value}, Call: cl.call, Output: "?", Return: end,
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
	return Config{Seed: seed, ElectionTicks: 6, HeartbeatTicks: 2, MaxAppendBytes: 120, Window: 3, KeepEntries: 3, PromoteLag: 2}
}

// Guards against two leaders in a term, logs that diverge, a leader that lacks
// committed entries, replicas that apply different commands, and acknowledged
// writes that are lost, stale reads or commands that run twice, under message
// loss, reordering, repetition, one-way cuts, crashes within a round, disk loss
// and membership changes.
func TestInvariantsUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		voters := rapid.SampledFrom([]int{3, 1, 2, 4, 5}).Draw(t, "voters")
		steps := rapid.SampledFrom([]int{200, 1000, 4000}).Draw(t, "steps")
		runChaos(t.Fatalf, seed, voters, steps)
	})
}

func runChaos(fail func(string, ...any), seed uint64, voters, steps int) *chaos {
	c := newChaos(chaosConfig(seed), voters, 4, fail)
	r := rand.New(rand.NewPCG(seed, 7))
	for range steps {
		c.step(r)
	}
	c.settle()
	if !checkOperations(c.operations()) {
		fail("the history of %d operations is not linearizable", len(c.history))
	}
	return c
}

func checkOperations(ops []porcupine.Operation) bool {
	return porcupine.CheckOperationsTimeout(kvModel, ops, 20*time.Second) == porcupine.Ok
}

// Guards against a fault simulation in which nothing happens, which would pass
// any check.
func TestFaultsExerciseTheCore(t *testing.T) {
	var writes, terms, installs int
	for seed := range uint64(20) {
		c := runChaos(func(f string, a ...any) { t.Fatalf(f, a...) }, seed, 3, 3000)
		writes += len(c.history)
		terms += len(c.leaders)
		for _, n := range c.up() {
			installs += int(n.core.log.snapshot.Index)
		}
	}
	t.Logf("20 runs of 3000 steps: %d answered operations, %d leaderships, %d snapshot indexes", writes, terms, installs)
	assert.Assert(t, writes > 20*50)
	assert.Assert(t, terms > 20*5)
}
