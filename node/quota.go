package node

import (
	"context"
	"sync"
	"time"

	"github.com/godwithub/godwithub/fleet"
	"github.com/godwithub/godwithub/ingress"
	"github.com/godwithub/godwithub/quota"
	"github.com/godwithub/godwithub/quota/pool"
	"github.com/godwithub/godwithub/resource"
)

const (
	// quotaAskInterval is the shortest time between two demands to control. Requests that arrive in between
	// share a message.
	quotaAskInterval = 20 * time.Millisecond
	// quotaAskTimeout bounds one demand, including the attempts through other members and nodes. A member
	// without a leader takes up to 1.1 s to give up.
	quotaAskTimeout = 1200 * time.Millisecond
)

const (
	// maxQuotaCustomers bounds the customers in the metrics of a node. Further ones are counted together
	// under otherCustomers.
	maxQuotaCustomers = 128
	otherCustomers    = "other"
)

// quotaClient takes tokens of customers from control. It implements ingress.Quotas.
type quotaClient struct {
	node *Node
	self fleet.Node
	pool *pool.Pool

	mu         sync.Mutex
	control    map[fleet.NodeID]fleet.Node // usable control members in membership
	avoided    map[string]avoidedMember    // by address
	byCustomer map[string]*quotaCounts
}

// avoidedMember is a control member that has failed to answer.
type avoidedMember struct {
	until time.Time
	// reached is set if it has answered that it waits for the leader.
	reached bool
}

// quotaCounts counts the requests of a customer at this node.
type quotaCounts struct {
	Allowed  uint64 `json:"allowed"`
	Refused  uint64 `json:"refused"`
	Unknown  uint64 `json:"unknown"`
	Returned uint64 `json:"returned"`
}

var _ ingress.Quotas = (*quotaClient)(nil)

func newQuotaClient(n *Node, self fleet.Node) *quotaClient {
	q := &quotaClient{node: n, self: self, control: map[fleet.NodeID]fleet.Node{}, avoided: map[string]avoidedMember{}, byCustomer: map[string]*quotaCounts{}}
	q.pool = pool.New(pool.Config{
		Sender: string(self.ID), Interval: quotaAskInterval, Timeout: quotaAskTimeout,
		Limits: q.limits, ReserveLimit: q.reserveLimit, Ask: q.ask,
	})
	return q
}

// quotaBounds returns the bounds of quotas in the settings.
func (s *Settings) quotaBounds() quota.Bounds {
	return quota.Bounds{Window: s.QuotaWindow, Overshoot: s.QuotaOvershoot, Tolerance: s.QuotaTolerance}
}

// limits implements quota.LimitsFunc.
func (q *quotaClient) limits(customer string) (quota.Limits, bool) {
	c := q.node.board.View().Config
	if c == nil || c.Customers[customer] == nil {
		return quota.Limits{}, false
	}
	return quota.Limits{Rate: c.Customers[customer].RatePerSecond, Burst: c.Customers[customer].Burst}, true
}

// reserveLimit returns the limit of this node's reserve, which is one of as many as there are nodes.
func (q *quotaClient) reserveLimit(l quota.Limits) int {
	return q.node.settings.quotaBounds().ReserveLimit(l, len(q.node.board.View().Nodes)+1)
}

// Take implements ingress.Quotas.
func (q *quotaClient) Take(request context.Context, customer *resource.Customer) (quota.Decision, error) {
	d, err := q.pool.Take(request, customer.Name)
	q.count(customer.Name, func(c *quotaCounts) {
		switch {
		case err != nil:
			c.Unknown++
		case d.Allowed:
			c.Allowed++
		default:
			c.Refused++
		}
	})
	return d, err
}

// Return implements ingress.Quotas.
func (q *quotaClient) Return(customer *resource.Customer, generation uint64) {
	q.count(customer.Name, func(c *quotaCounts) { c.Returned++ })
	q.pool.Return(customer.Name, quota.Tokens{Count: 1, Generation: generation})
}

func (q *quotaClient) count(customer string, add func(*quotaCounts)) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.byCustomer[customer] == nil && len(q.byCustomer) >= maxQuotaCustomers {
		customer = otherCustomers
	}
	c := q.byCustomer[customer]
	if c == nil {
		c = &quotaCounts{}
		q.byCustomer[customer] = c
	}
	add(c)
}

// quotaMetrics are the metrics of quotas at a node.
type quotaMetrics struct {
	pool.Stats
	Customers map[string]quotaCounts `json:"customers"`
}

func (q *quotaClient) metrics() any {
	m := quotaMetrics{Stats: q.pool.Stats(), Customers: map[string]quotaCounts{}}
	q.mu.Lock()
	defer q.mu.Unlock()
	for name, c := range q.byCustomer {
		m.Customers[name] = *c
	}
	return m
}

// updateMember records a change of a member in membership.
func (q *quotaClient) updateMember(m fleet.Node) {
	if !m.Control {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if m.Usable() {
		q.control[m.ID] = m
	} else {
		delete(q.control, m.ID)
	}
}
