package node

import (
	"sync"
	"time"

	"github.com/godwithub/godwithub/balance"
	"github.com/godwithub/godwithub/board"
)

const (
	// crossRegionOverhead is what an attempt sends between regions in addition to its
	// bodies, in bytes: heads, frames, and TLS and TCP headers.
	crossRegionOverhead = 1024
	// defaultAnswerBytes is the assumed answer size of request kinds that state none.
	defaultAnswerBytes = 4096
)

// crossRegionBudget limits the requests that this node sends to other regions to its share of
// the link's bandwidth. All nodes of a region share the link and no node knows what the others
// send, so each node gets the same share.
type crossRegionBudget struct {
	mu     sync.Mutex
	nodes  int
	levels int
	budget *balance.ByteBudget
}

// allow reports whether a request of a rank's level may go to another region, given the
// expected size of its answer in bytes, and charges the budget if it may.
func (c *crossRegionBudget) allow(v *board.View, level int, answerBytes int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nodes, c.levels, c.budget = c.budgetFor(v)
	return c.budget.Allow(time.Now(), level, crossingBytes(answerBytes))
}

// wouldAllow reports whether allow would succeed, without charging the budget.
func (c *crossRegionBudget) wouldAllow(v *board.View, level int, answerBytes int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, _, budget := c.budgetFor(v)
	return budget.WouldAllow(time.Now(), level, crossingBytes(answerBytes))
}

// budgetFor returns the budget for the numbers of nodes and ranks in v, which is a new one if they have
// changed. c.mu must be held.
func (c *crossRegionBudget) budgetFor(v *board.View) (nodes, levels int, budget *balance.ByteBudget) {
	nodes, levels = regionNodes(v), len(v.Config.Ranks)
	if c.budget != nil && nodes == c.nodes && levels == c.levels {
		return nodes, levels, c.budget
	}
	o := balance.DefaultByteOptions(nodes)
	o.Levels = max(1, levels)
	return nodes, levels, balance.NewByteBudget(o)
}

// crossingBytes returns the bytes that a request with such an answer sends between regions.
func crossingBytes(answerBytes int64) int64 {
	if answerBytes <= 0 {
		answerBytes = defaultAnswerBytes
	}
	return answerBytes + crossRegionOverhead
}

// regionNodes returns the number of usable nodes in this node's region, including this node.
func regionNodes(v *board.View) int {
	n := 1
	for i := range v.Nodes {
		if v.Nodes[i].Region == v.Self.Region {
			n++
		}
	}
	return n
}
