package gossip

import "time"

// When very many members change at once, as when a whole fleet starts, full exchanges spread the
// records at a fraction of the cost of pushes and probes, since each node receives each record
// about once. Urgent changes, which remove capacity, are still pushed.
const (
	// bulkBacklog is the number of queued routine changes of other members from which these
	// changes are left to full exchanges.
	bulkBacklog = backlog
	// bulkDuration is how long, after the backlog was reached, changes received in full exchanges
	// are not passed on.
	bulkDuration = 2 * time.Second
	// bulkRepeatBacklog is the number of changes received in an exchange from which another
	// exchange follows.
	bulkRepeatBacklog = backlog / 2
	// bulkExchangeDelay is the mean delay before an exchange.
	bulkExchangeDelay = 250 * time.Millisecond
)

// bulk is the state of bulk mode, in which full exchanges replace pushes.
type bulk struct {
	until time.Time // end of bulk mode
	next  time.Time // time of the next exchange; zero if none is scheduled
}

// enterBulk starts or extends bulk mode if the backlog of routine changes is large enough.
func (c *core) enterBulk(now time.Time) {
	if len(c.queue.items)-c.queue.urgent < bulkBacklog || c.routineBacklog() < bulkBacklog {
		return
	}
	c.bulk.until = now.Add(bulkDuration)
	c.leaveToExchange(now)
}

// routineBacklog returns the number of queued routine changes: those of other members that are not
// urgent.
func (c *core) routineBacklog() int {
	n := 0
	for p, it := range c.queue.items {
		if p.node != c.self.id && !it.urgent {
			n++
		}
	}
	return n
}

// leaveToExchange drops the routine changes from the queue and schedules a full exchange.
func (c *core) leaveToExchange(now time.Time) {
	c.queue.removeIf(func(p recordPart) bool { return p.node != c.self.id && !c.queue.items[p].urgent })
	if c.bulk.next.IsZero() {
		c.bulk.next = now.Add(bulkExchangeDelay/2 + c.jitter(bulkExchangeDelay))
	}
}

// finishBulkExchange drops the changes that a full exchange brought in bulk mode, and schedules
// another exchange if there were many.
func (c *core) finishBulkExchange(now time.Time) {
	switch n := c.routineBacklog(); {
	case !now.Before(c.bulk.until) || n == 0:
	case n >= bulkRepeatBacklog:
		c.leaveToExchange(now)
	default:
		c.dropOthersChanges()
	}
}

// bulkPartner returns the link address of a member for a bulk exchange, if one is due. It is mostly
// a member in this node's failure domain, since traffic between failure domains and between regions
// is expensive.
func (c *core) bulkPartner(now time.Time) (addr string, ok bool) {
	if c.bulk.next.IsZero() || now.Before(c.bulk.next) {
		return "", false
	}
	c.bulk.next = time.Time{}
	c.refreshViews()
	list := c.sameDomain
	if len(list) == 0 || c.rand.IntN(remoteOdds) == 0 {
		list = c.sameRegion
		if len(list) == 0 || c.rand.IntN(remoteOdds) == 0 && len(c.otherRegions) > 0 {
			list = c.otherRegions
		}
	}
	for _, m := range c.chooseRandom(list, 1, "") {
		return m.meta.LinkAddr, true
	}
	return "", false
}
