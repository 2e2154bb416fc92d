package loadsim

import (
	"slices"
	"time"

	"github.com/godwithub/godwithub/admission"
)

// order is the queue of one upstream.
type order interface {
	Offer(now time.Time, t admission.Ticket) (ok bool, evicted []admission.Ticket)
	Next(now time.Time) (t admission.Ticket, expired []admission.Ticket, ok bool)
	Expire(now time.Time) []admission.Ticket
	Done(now time.Time, t admission.Ticket, service time.Duration)
	Threshold(now time.Time) admission.Threshold
	Len() int
}

// guaranteedShare is that of each rank, which is resource.DefaultRankShare.
const guaranteedShare = 0.1

// queueOrder is an admission.Queue as an order.
type queueOrder struct{ *admission.Queue }

func newQueueOrder(slots int) order {
	q := admission.New(admission.Options{Slots: slots})
	q.SetRanks([]admission.RankShare{{Level: 0, Share: guaranteedShare}, {Level: 1, Share: guaranteedShare}, {Level: 2, Share: guaranteedShare}})
	return queueOrder{q}
}

func (q queueOrder) Offer(now time.Time, t admission.Ticket) (bool, []admission.Ticket) {
	ok, _, evicted := q.Queue.Offer(now, t)
	return ok, append(evicted, q.TrimDisplaced(now)...)
}

// maxLength is the maximum length of a sortedOrder, as in package admission.
const maxLength = 512

// sortedOrder serves tickets by a key, drops those that are late and admits all.
type sortedOrder struct {
	key    func(t admission.Ticket) float64
	queued []admission.Ticket
}

func (s *sortedOrder) Offer(_ time.Time, t admission.Ticket) (bool, []admission.Ticket) {
	i, _ := slices.BinarySearchFunc(s.queued, s.key(t), func(o admission.Ticket, key float64) int {
		if s.key(o) > key {
			return 1
		}
		return -1
	})
	s.queued = slices.Insert(s.queued, i, t)
	if len(s.queued) <= maxLength {
		return true, nil
	}
	last := s.queued[len(s.queued)-1]
	s.queued = s.queued[:len(s.queued)-1]
	return last.ID != t.ID, slices.DeleteFunc([]admission.Ticket{last}, func(o admission.Ticket) bool { return o.ID == t.ID })
}

func (s *sortedOrder) Next(now time.Time) (admission.Ticket, []admission.Ticket, bool) {
	expired := s.Expire(now)
	if len(s.queued) == 0 {
		return admission.Ticket{}, expired, false
	}
	t := s.queued[0]
	s.queued = s.queued[1:]
	return t, expired, true
}

func (s *sortedOrder) Expire(now time.Time) (expired []admission.Ticket) {
	s.queued = slices.DeleteFunc(s.queued, func(t admission.Ticket) bool {
		late := now.Add(t.Expected).After(t.Deadline)
		if late {
			expired = append(expired, t)
		}
		return late
	})
	return expired
}

func (*sortedOrder) Done(time.Time, admission.Ticket, time.Duration) {}
func (*sortedOrder) Threshold(time.Time) admission.Threshold         { return admission.AdmitAll() }
func (s *sortedOrder) Len() int                                      { return len(s.queued) }

// namedOrder is an order under test, with what the simulated fleet does besides.
type namedOrder struct {
	name           string
	knowsCalls     bool // tickets say what is known of calls and work
	refusesForRoom bool // the ingress refuses requests whose calls would find no room
	new            func(slots int) order
}

// sorted returns a constructor of orders by a key.
func sorted(key func(admission.Ticket) float64) func(int) order {
	return func(int) order { return &sortedOrder{key: key} }
}

// Orders of package admission: without and with knowledge of calls, and with refusals at the ingress.
var (
	withoutCalls = namedOrder{"without calls", false, false, newQueueOrder}
	withCalls    = namedOrder{"package admission", true, false, newQueueOrder}
	withRefusals = namedOrder{"with refusals for room", true, true, newQueueOrder}
)

var orders = []namedOrder{
	withoutCalls,
	{"FIFO", true, false, sorted(func(admission.Ticket) float64 { return 0 })},
	{"earliest deadline", true, false, sorted(func(t admission.Ticket) float64 { return t.Deadline.Sub(start).Seconds() })},
	{"shortest job", true, false, sorted(func(t admission.Ticket) float64 { return t.Expected.Seconds() })},
	{"rank alone", true, false, sorted(func(t admission.Ticket) float64 { return float64(t.Level) })},
	withCalls,
	withRefusals,
}
