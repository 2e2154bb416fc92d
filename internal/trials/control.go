package trials

import (
	"math"
	"time"

	"github.com/godwithub/godwithub/ejection"
	"github.com/godwithub/godwithub/health"
)

// controlInterval is the interval at which ejections are requested from the ledger and the
// upstreams' states reach the ingresses. It models the round trip of the ledger's consensus group
// and the delay of gossip.
const controlInterval = 200 * time.Millisecond

// controller requests the ejections that a detection method asks for from the ledger and passes the
// resulting states to the ingresses.
type controller struct {
	s      *sim
	method detectionMethod // nil: nothing is suspected or ejected
	ledger *ejection.Ledger
	states []ejection.Status
	trials []health.Trial

	measureFrom time.Duration   // earlier suspicions and ejections are not counted
	suspectedAt []time.Duration // first suspicion of each worker; 0: none
	ejectedAt   []time.Duration // first ejection of each worker; 0: none
	ejections   []int
	suspicions  []int
	suspected   []bool
}

func newController(s *sim, name string) *controller {
	n := s.d.Workers
	c := &controller{
		s: s, ledger: ejection.New(),
		states: make([]ejection.Status, n), trials: make([]health.Trial, n),
		suspectedAt: make([]time.Duration, n), ejectedAt: make([]time.Duration, n),
		ejections: make([]int, n), suspicions: make([]int, n), suspected: make([]bool, n),
	}
	if name == "" {
		return c
	}
	c.method = newMethod(name, s.d)
	floor := int(math.Ceil(s.d.FloorFraction * float64(n)))
	c.propose(ejection.Command{Operation: ejection.OpSetFloor, Floor: floor})
	c.tick()
	for w := range n {
		phase := time.Duration(w) * health.Interval / time.Duration(n)
		s.after(phase, func() { c.endInterval(w) })
	}
	return c
}

func (c *controller) propose(command ejection.Command) ejection.Result {
	command.Service, command.Node, command.At = "service", "node", c.s.elapsed.Milliseconds()
	b, err := ejection.Encode(command)
	if err != nil {
		panic(err)
	}
	r, err := ejection.DecodeResult(c.ledger.Apply(0, b))
	if err != nil {
		panic(err)
	}
	return r
}

func (c *controller) endInterval(w int) {
	c.method.endInterval(c.s.now(), w)
	c.s.after(health.Interval, func() { c.endInterval(w) })
}

func (c *controller) observe(w, kind int, r health.Result, latency time.Duration) {
	if c.method == nil {
		return
	}
	if c.states[w].State != ejection.OnTrial {
		c.method.observe(c.s.now(), w, kind, r, latency)
		return
	}
	result := health.TrialPassed // the other methods take an upstream back without a trial
	if _, isSequential := c.method.(*sequential); isSequential {
		result = c.trials[w].Observe(c.method.baseline(w, kind), r, latency)
	}
	if result == health.TrialRunning {
		return
	}
	passed := result == health.TrialPassed
	c.propose(ejection.Command{Operation: ejection.OpTrial, Upstream: upstreamID(w), Trial: c.states[w].Ejections, Passed: passed})
	c.trials[w] = health.Trial{}
	c.method.reset(w)
	c.states[w].State = ejection.SlowStart
	if !passed {
		c.states[w].State = ejection.Ejected
	}
}

// tick evaluates all upstreams, renews their registration at the ledger and publishes their states
// to all ingresses.
func (c *controller) tick() {
	c.s.after(controlInterval, c.tick)
	for w := range c.states {
		c.evaluate(w)
	}
	command := ejection.Command{Operation: ejection.OpRegister, LeaseMs: 10_000}
	for w := range c.states {
		command.Upstreams = append(command.Upstreams, ejection.Registration{Upstream: upstreamID(w)})
	}
	copy(c.states, c.propose(command).Upstreams)
	for w := range c.states {
		c.publish(w)
	}
}

func (c *controller) evaluate(w int) {
	now := c.s.now()
	suspect := c.method.suspect(now, w)
	if suspect && !c.suspected[w] && c.s.elapsed >= c.measureFrom {
		c.suspicions[w]++
		if c.suspectedAt[w] == 0 {
			c.suspectedAt[w] = c.s.elapsed
		}
	}
	c.suspected[w] = suspect
	severity, unhealthy := c.method.unhealthy(now, w)
	state := c.states[w].State
	if !unhealthy || state == ejection.Ejected || state == ejection.OnTrial {
		return
	}
	r := c.propose(ejection.Command{Operation: ejection.OpEject, Upstream: upstreamID(w), Severity: severity})
	if r.Denial != ejection.Granted {
		return
	}
	c.method.reset(w)
	if c.s.elapsed < c.measureFrom {
		return
	}
	c.ejections[w]++
	if c.ejectedAt[w] == 0 {
		c.ejectedAt[w] = c.s.elapsed
	}
}

func (c *controller) publish(w int) {
	st := &c.states[w]
	for _, in := range c.s.ingresses {
		cand := &in.candidates[w]
		cand.Suspect = c.suspected[w]
		cand.Ejected = st.State == ejection.Ejected
		cand.Trial = st.State == ejection.OnTrial
		cand.Weight = st.Weight()
	}
}
