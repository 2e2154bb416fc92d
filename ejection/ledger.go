package ejection

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"github.com/godwithub/godwithub/fleet"
)

// Ledger is the replicated state machine that tracks upstreams and grants ejections. The
// zero value is not usable; see New. A Ledger is not safe for concurrent use.
type Ledger struct{ state ledgerState }

// ledgerState is the state that snapshots hold. All times are in milliseconds of the
// ledger's own time, which starts at 0.
type ledgerState struct {
	Now      int64                           `cbor:"1,keyasint"`
	Clocks   map[fleet.NodeID]*proposerClock `cbor:"2,keyasint"`
	Services map[string]*service             `cbor:"3,keyasint"`
}

// proposerClock maps a proposer's time to the ledger's time.
type proposerClock struct {
	Offset int64 `cbor:"1,keyasint"`
	SeenAt int64 `cbor:"2,keyasint"`
}

type service struct {
	Floor     int                            `cbor:"1,keyasint"` // 0: not known
	Epoch     uint64                         `cbor:"2,keyasint"`
	Revision  uint64                         `cbor:"3,keyasint"`
	Upstreams map[fleet.UpstreamID]*upstream `cbor:"4,keyasint"`
}

type upstream struct {
	Node       fleet.NodeID `cbor:"1,keyasint"`
	LeaseUntil int64        `cbor:"2,keyasint"`
	WarmAt     int64        `cbor:"3,keyasint"`
	Draining   bool         `cbor:"4,keyasint"`
	State      State        `cbor:"5,keyasint"`
	Until      int64        `cbor:"6,keyasint"` // end of a hold-down or slow start
	Severity   float64      `cbor:"7,keyasint"`
	Ejections  uint64       `cbor:"8,keyasint"`
	Doublings  int          `cbor:"9,keyasint"`
	DecayAt    int64        `cbor:"10,keyasint"` // when Doublings decreases next
}

// New returns an empty ledger.
func New() *Ledger {
	return &Ledger{ledgerState{Clocks: map[fleet.NodeID]*proposerClock{}, Services: map[string]*service{}}}
}

// Apply executes an encoded command and returns its encoded Result. It is
// deterministic.
func (l *Ledger) Apply(_ uint64, command []byte) []byte {
	var c Command
	r := Result{Denial: DeniedMalformed}
	if err := cbor.Unmarshal(command, &c); err == nil {
		r = l.apply(&c)
	}
	b, err := encMode.Marshal(r)
	if err != nil {
		panic(fmt.Sprintf("ejection: encode result: %v", err))
	}
	return b
}

func (l *Ledger) apply(c *Command) Result {
	if !l.advanceClock(c) {
		return Result{Denial: DeniedFull}
	}
	s := l.state.Services[c.Service]
	if s == nil {
		if len(l.state.Services) >= maxServices {
			return Result{Denial: DeniedFull}
		}
		s = &service{Upstreams: map[fleet.UpstreamID]*upstream{}}
		l.state.Services[c.Service] = s
	}
	s.applyTimeouts(l.state.Now)
	r := Result{Denial: l.execute(c, s)}
	s.restoreCapacity(l.state.Now)
	r.Capacity, r.Floor = s.capacity(l.state.Now), s.Floor
	r.Upstreams = s.statuses(c, l.state.Now)
	return r
}

func (l *Ledger) execute(c *Command, s *service) Denial {
	switch c.Operation {
	case OpSetFloor:
		return s.setFloor(c)
	case OpRegister:
		return s.register(c, l.state.Now)
	case OpEject:
		return s.eject(c, l.state.Now)
	case OpTrial:
		return s.endTrial(c, l.state.Now)
	}
	return DeniedMalformed
}

// advanceClock advances the ledger's time by the time that has passed at the proposer.
// The clocks of proposers may differ by any constant. It returns false if there is no
// room for a new proposer.
func (l *Ledger) advanceClock(c *Command) bool {
	proposer := l.state.Clocks[c.Node]
	if proposer == nil {
		if len(l.state.Clocks) >= maxNodes && !l.dropSilentProposers() {
			return false
		}
		proposer = &proposerClock{Offset: l.state.Now - c.At}
		l.state.Clocks[c.Node] = proposer
	}
	at := c.At + proposer.Offset
	if limit := l.state.Now + maxClockStep.Milliseconds(); at > limit {
		at = limit
		proposer.Offset = at - c.At
	}
	l.state.Now = max(l.state.Now, at)
	proposer.SeenAt = l.state.Now
	return true
}

// dropSilentProposers drops the clocks of proposers that have been silent for longer
// than retention, and reports whether there were any.
func (l *Ledger) dropSilentProposers() bool {
	n := len(l.state.Clocks)
	maps.DeleteFunc(l.state.Clocks, func(_ fleet.NodeID, p *proposerClock) bool {
		return l.state.Now-p.SeenAt > retention.Milliseconds()
	})
	return len(l.state.Clocks) < n
}

func (s *service) setFloor(c *Command) Denial {
	if c.Floor < 1 {
		return DeniedMalformed
	}
	if c.Epoch < s.Epoch || c.Epoch == s.Epoch && c.Revision < s.Revision {
		return DeniedStale
	}
	s.Floor, s.Epoch, s.Revision = c.Floor, c.Epoch, c.Revision
	return Granted
}

func (s *service) register(c *Command, now int64) Denial {
	lease := min(max(c.LeaseMs, minLease.Milliseconds()), maxLease.Milliseconds())
	for _, u := range s.Upstreams {
		if u.Node == c.Node {
			u.LeaseUntil = min(u.LeaseUntil, now)
		}
	}
	denial := Granted
	for _, r := range c.Upstreams {
		u := s.Upstreams[r.Upstream]
		if u == nil {
			if len(s.Upstreams) >= maxUpstreams {
				denial = DeniedFull
				continue
			}
			u = &upstream{}
			s.Upstreams[r.Upstream] = u
		}
		u.Node = c.Node
		u.LeaseUntil = now + lease
		u.WarmAt = now + min(max(r.WarmInMs, 0), retention.Milliseconds())
		u.Draining = r.Draining
	}
	return denial
}

// eject grants a permit if the remaining capacity is at least the floor.
func (s *service) eject(c *Command, now int64) Denial {
	u := s.Upstreams[c.Upstream]
	if u == nil || !u.hasLease(now) {
		return DeniedUnknown
	}
	if u.State == Ejected {
		// The request is repeated, for instance because the response was lost.
		u.Severity = c.Severity
		return Granted
	}
	if s.Floor == 0 {
		return DeniedNoFloor
	}
	remaining := s.capacity(now)
	if u.countsAsCapacity(now) {
		remaining--
	}
	if remaining < s.Floor {
		return DeniedFloor
	}
	u.eject(now, c.Severity)
	return Granted
}

func (s *service) endTrial(c *Command, now int64) Denial {
	u := s.Upstreams[c.Upstream]
	switch {
	case u == nil || !u.hasLease(now):
		return DeniedUnknown
	case u.State != OnTrial || u.Ejections != c.Trial:
		return DeniedStale
	case !c.Passed:
		// The upstream did not count as capacity, so this can't violate the floor.
		u.eject(now, c.Severity)
		return Granted
	}
	u.State = SlowStart
	u.Until = now + slowStartDuration.Milliseconds()
	return Granted
}

// applyTimeouts makes the state changes that are due by now: it ends hold-downs and slow
// starts, undoes doublings and drops upstreams whose lease expired long ago.
func (s *service) applyTimeouts(now int64) {
	maps.DeleteFunc(s.Upstreams, func(_ fleet.UpstreamID, u *upstream) bool {
		return now-u.LeaseUntil > retention.Milliseconds()
	})
	for _, u := range s.Upstreams {
		if u.State == Ejected && now >= u.Until {
			u.State = OnTrial
		}
		if u.State == SlowStart && now >= u.Until {
			u.enterService(now)
		}
		for u.State == InService && u.Doublings > 0 && now >= u.DecayAt {
			u.Doublings--
			u.DecayAt += holdDownDecay.Milliseconds()
		}
	}
}

// restoreCapacity returns upstreams to service while capacity is below the floor: first
// those in slow start, then those on trial, then the ejected ones. Among upstreams in the
// same state, those with the lowest severity come first.
func (s *service) restoreCapacity(now int64) {
	missing := s.Floor - s.capacity(now)
	if missing <= 0 {
		return
	}
	type candidate struct {
		id fleet.UpstreamID
		u  *upstream
	}
	var candidates []candidate
	for id, u := range s.Upstreams {
		if u.State != InService && u.usable(now) {
			candidates = append(candidates, candidate{id, u})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(
			-cmp.Compare(a.u.State, b.u.State),
			cmp.Compare(a.u.Severity, b.u.Severity),
			cmp.Compare(a.id, b.id),
		)
	})
	for i := 0; i < missing && i < len(candidates); i++ {
		candidates[i].u.enterService(now)
	}
}

func (s *service) capacity(now int64) int {
	n := 0
	for _, u := range s.Upstreams {
		if u.countsAsCapacity(now) {
			n++
		}
	}
	return n
}

func (s *service) statuses(c *Command, now int64) []Status {
	var out []Status
	for id, u := range s.Upstreams {
		if id != c.Upstream && (u.Node != c.Node || !u.hasLease(now)) {
			continue
		}
		st := Status{Upstream: id, State: u.State, Ejections: u.Ejections}
		if u.State == Ejected || u.State == SlowStart {
			st.RemainingMs = max(u.Until-now, 0)
		}
		out = append(out, st)
	}
	slices.SortFunc(out, func(a, b Status) int { return cmp.Compare(a.Upstream, b.Upstream) })
	return out
}

func (u *upstream) hasLease(now int64) bool { return now < u.LeaseUntil }

// usable reports whether the upstream would count as capacity if it were in service.
func (u *upstream) usable(now int64) bool {
	return u.hasLease(now) && now >= u.WarmAt && !u.Draining
}

// countsAsCapacity reports whether the upstream is in service and usable.
func (u *upstream) countsAsCapacity(now int64) bool { return u.State == InService && u.usable(now) }

// eject starts a hold-down, whose length doubles with each ejection up to maxHoldDown.
func (u *upstream) eject(now int64, severity float64) {
	u.State = Ejected
	u.Severity = severity
	u.Ejections++
	holdDown := baseHoldDown << min(u.Doublings, maxDoublings)
	u.Until = now + min(holdDown, maxHoldDown).Milliseconds()
	u.Doublings = min(u.Doublings+1, maxDoublings)
}

// maxDoublings is enough for the hold-down to reach maxHoldDown.
const maxDoublings = 6

func (u *upstream) enterService(now int64) {
	u.State = InService
	u.DecayAt = now + holdDownDecay.Milliseconds()
}

// Snapshot returns the encoded state.
func (l *Ledger) Snapshot() ([]byte, error) {
	b, err := encMode.Marshal(l.state)
	if err != nil {
		return nil, fmt.Errorf("ejection: encode snapshot: %w", err)
	}
	return b, nil
}

// Restore replaces the state with that of a snapshot.
func (l *Ledger) Restore(snapshot []byte) error {
	next := New().state
	if err := cbor.Unmarshal(snapshot, &next); err != nil {
		return fmt.Errorf("ejection: decode snapshot: %w", err)
	}
	for _, s := range next.Services {
		if s.Upstreams == nil {
			s.Upstreams = map[fleet.UpstreamID]*upstream{}
		}
	}
	l.state = next
	return nil
}
