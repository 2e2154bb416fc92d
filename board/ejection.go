package board

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/godwithub/godwithub/ejection"
	"github.com/godwithub/godwithub/health"
	"github.com/godwithub/godwithub/resource"
)

const (
	// registerInterval is the time between registrations of a service's
	// upstreams with its ledger, and registerLease how long one holds. Changes
	// are registered at once, so the lease only matters for a VM that dies: until
	// it ends, a permit may count capacity that is gone. Each registration is
	// committed by five replicas; at 9,300 upstreams 16 s make about 600 a second
	// in the fleet, and 2 s would alone use up a node's 10 KB/s.
	registerInterval = 16 * time.Second
	registerLease    = 48 * time.Second
	// floorInterval is the time between two reports of an unchanged floor, since
	// a report may be lost.
	floorInterval = 30 * time.Second
	// askInterval is the time between two questions for a permit that was
	// denied.
	askInterval = 2 * time.Second
	// ledgerSilence is how long an ejection stands without a confirmation by
	// the group. After it the upstream is only avoided: capacity may have
	// fallen meanwhile, and nobody could have returned it to service.
	ledgerSilence = 30 * time.Second
)

// Ledgers is the section that asks the services' ledgers for permits.
type Ledgers struct {
	services map[string]*ledger
}

type ledger struct {
	nextRegister time.Time
	registered   []ejection.Registration
	floorSent    resource.Version
	floorAt      time.Time
}

func newLedgers() Ledgers { return Ledgers{services: map[string]*ledger{}} }

// LedgerAnswered brings the result of a command to a service's ledger.
type LedgerAnswered struct {
	Service   string
	Operation ejection.Operation
	Result    ejection.Result
}

func (LedgerAnswered) isEvent() {}

// AskLedger asks to have a command committed by the ledger of its service.
type AskLedger struct{ Command ejection.Command }

func (AskLedger) isAction() {}

// ejected reports whether the ledger holds the upstream out of service.
func (u *LocalUpstream) ejected() bool { return u.Ledger.State == ejection.Ejected }

// ledgerSilent reports whether the group has not been heard of for long.
func (u *LocalUpstream) ledgerSilent(now time.Time) bool { return now.Sub(u.ledgerAt) > ledgerSilence }

// keepLedgers registers this VM's upstreams, asks for the ejection of unhealthy ones
// and follows what the ledgers grant.
func keepLedgers(s *State, e Event, now time.Time) {
	switch e := e.(type) {
	case Tick:
		if s.Config != nil {
			s.register(now)
			s.askForPermits(now)
		}
	case LedgerAnswered:
		if l := s.Ledgers.services[e.Service]; l != nil && e.Result.Floor == 0 {
			// A new ledger does not know the floor yet.
			l.floorSent = resource.Version{}
		}
		for _, st := range e.Result.Upstreams {
			s.takeStatus(st, now)
		}
	}
}

// register tells each ledger its floor and this VM's upstreams, when they have
// changed and before the lease runs out.
func (s *State) register(now time.Time) {
	byService := map[string][]ejection.Registration{}
	for _, id := range slices.Sorted(maps.Keys(s.Local)) {
		u := s.Local[id]
		byService[u.Service] = append(byService[u.Service], registrationOf(u, now))
	}
	for service := range s.Ledgers.services {
		if byService[service] == nil {
			// The last upstream of the service has gone.
			byService[service] = []ejection.Registration{}
		}
	}
	for service, list := range byService {
		c := s.Config.Services[service]
		if c == nil || c.Group == "" {
			continue
		}
		l := s.Ledgers.services[service]
		if l == nil {
			l = &ledger{}
			s.Ledgers.services[service] = l
		}
		s.sendFloor(l, c, now)
		if now.Before(l.nextRegister) && slices.EqualFunc(l.registered, list, sameRegistration) {
			continue
		}
		l.nextRegister, l.registered = now.Add(registerInterval), list
		s.ask(ejection.Command{Operation: ejection.OpRegister, Service: service, Upstreams: list, LeaseMs: registerLease.Milliseconds()}, now)
		if len(list) == 0 {
			delete(s.Ledgers.services, service)
		}
	}
}

func registrationOf(u *LocalUpstream, now time.Time) ejection.Registration {
	r := ejection.Registration{Upstream: u.ID, Draining: u.Draining}
	if left := u.FirstSeen.Add(u.WarmUp()).Sub(now); left > 0 {
		r.WarmInMs = left.Milliseconds()
	}
	return r
}

// sameRegistration compares what the ledger counts by: a cold start that goes
// on is no change, one that ends is.
func sameRegistration(a, b ejection.Registration) bool {
	return a.Upstream == b.Upstream && a.Draining == b.Draining && (a.WarmInMs > 0) == (b.WarmInMs > 0)
}

// sendFloor tells the ledger a floor that it may not know yet.
func (s *State) sendFloor(l *ledger, service *resource.Service, now time.Time) {
	v := resource.Version{Epoch: s.Config.Version.Epoch, Revision: service.Revision}
	if l.floorSent == v && now.Sub(l.floorAt) < floorInterval {
		return
	}
	l.floorSent, l.floorAt = v, now
	s.ask(ejection.Command{
		Operation: ejection.OpSetFloor, Service: service.Name, Floor: service.Floor,
		Epoch: v.Epoch, Revision: v.Revision,
	}, now)
}

// askForPermits asks for the ejection of the upstreams that are unhealthy.
func (s *State) askForPermits(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(s.Local)) {
		u := s.Local[id]
		if u.Verdict.Level < health.Unhealthy || u.Ledger.State != ejection.InService && u.Ledger.State != ejection.SlowStart {
			continue
		}
		if now.Sub(u.askedAt) < askInterval {
			continue
		}
		u.askedAt = now
		s.ask(ejection.Command{Operation: ejection.OpEject, Service: u.Service, Upstream: id, Severity: u.Verdict.Severity}, now)
	}
}

func (s *State) ask(c ejection.Command, now time.Time) {
	c.Node = s.Self.ID
	c.At = now.UnixMilli()
	s.Do(AskLedger{c})
}

// takeStatus follows the state of an upstream in the ledger.
func (s *State) takeStatus(st ejection.Status, now time.Time) {
	u := s.Local[st.Upstream]
	if u == nil {
		return
	}
	old := u.Ledger
	u.Ledger, u.ledgerAt = st, now
	if old.State == st.State && old.Ejections == st.Ejections {
		return
	}
	u.trial = nil
	if st.State == ejection.OnTrial {
		u.trial = &health.Trial{}
	}
	if d := s.Evidence.detectors[st.Upstream]; d != nil && old.State == ejection.Ejected {
		// Evidence from before the ejection says nothing of the upstream now.
		d.Reset()
	}
}

// observeTrial feeds an attempt to the trial of its upstream and reports the
// end of it.
func (s *State) observeTrial(a Attempt, now time.Time) {
	u := s.Local[a.Upstream]
	if u.trial == nil {
		return
	}
	b := s.Evidence.baselines[a.Upstream]
	result := u.trial.Observe(b.Kind(a.Kind), a.Result, a.Latency)
	if result == health.TrialRunning {
		return
	}
	u.trial = nil
	s.ask(ejection.Command{
		Operation: ejection.OpTrial, Service: u.Service, Upstream: u.ID,
		Trial: u.Ledger.Ejections, Passed: result == health.TrialPassed,
		Severity: cmp.Or(u.Verdict.Severity, 1),
	}, now)
}
