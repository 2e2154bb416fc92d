package gossip

import "time"

// When very many members change at once, as in a start of a whole fleet, a full
// exchange moves their records at a fraction of what pushes and probes cost, since
// each node gets each record about once. Changes that take capacity away are still
// pushed.
const (
	// bulkBacklog is the number of waiting changes of other members from which they
	// are left to exchanges.
	bulkBacklog = backlog
	// bulkTime is how long after that what exchanges bring is not passed on.
	bulkTime = 2 * time.Second
	// bulkNews is the number of changes in an exchange after which another follows.
	bulkNews = backlog / 2
	// bulkDelay is the mean wait before an exchange.
	bulkDelay = 250 * time.Millisecond
)

// bulk is the state of exchanges in place of pushes.
type bulk struct {
	until time.Time // end of bulkTime
	at    time.Time // next exchange; zero if none is due
}

// enterBulk leaves the waiting changes to exchanges if they are very many.
func (c *core) enterBulk(now time.Time) {
	if len(c.queue.items)-c.queue.urgent < bulkBacklog || c.routine() < bulkBacklog {
		return
	}
	c.bulk.until = now.Add(bulkTime)
	c.settleRoutine(now)
}

// routine returns the number of waiting changes of other members that are not
// urgent.
func (c *core) routine() int {
	n := 0
	for p, it := range c.queue.items {
		if p.node != c.self.id && !it.urgent {
			n++
		}
	}
	return n
}

// settleRoutine drops these changes, and makes an exchange due.
func (c *core) settleRoutine(now time.Time) {
	c.queue.removeIf(func(p part) bool { return p.node != c.self.id && !c.queue.items[p].urgent })
	if c.bulk.at.IsZero() {
		c.bulk.at = now.Add(bulkDelay/2 + c.jitter(bulkDelay))
	}
}

// settleBulk takes in that a full exchange has brought changes.
func (c *core) settleBulk(now time.Time) {
	switch n := c.routine(); {
	case !now.Before(c.bulk.until) || n == 0:
	case n >= bulkNews:
		c.settleRoutine(now)
	default:
		c.settleOthers()
	}
}

// bulkPartner returns the member for an exchange that is due: mostly one in the own
// failure domain, since traffic between failure domains and between regions is dear.
func (c *core) bulkPartner(now time.Time) (addr string, ok bool) {
	if c.bulk.at.IsZero() || now.Before(c.bulk.at) {
		return "", false
	}
	c.bulk.at = time.Time{}
	c.views()
	list := c.near
	if len(list) == 0 || c.rand.IntN(remotePushOdds) == 0 {
		list = c.local
		if len(list) == 0 || c.rand.IntN(remotePushOdds) == 0 && len(c.remote) > 0 {
			list = c.remote
		}
	}
	for _, m := range c.choose(list, 1, "") {
		return m.meta.LinkAddr, true
	}
	return "", false
}
