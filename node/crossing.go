package node

import (
	"sync"
	"time"

	"github.com/godwithub/godwithub/balance"
	"github.com/godwithub/godwithub/board"
)

const (
	// crossingOverhead is what an attempt sends between regions beside its
	// bodies, in bytes: heads, frames, and TLS and TCP headers.
	crossingOverhead = 1024
	// unknownAnswer is the assumed size of answers whose kind states none.
	unknownAnswer = 4096
)

// crossing limits the work that this node sends to other regions to its part
// of the link. All nodes of a region share the link, and none knows what the
// others send, so each gets the same part.
type crossing struct {
	mu     sync.Mutex
	nodes  int
	levels int
	budget *balance.ByteBudget
}

// allow reports whether work of a level, with an answer of about that many
// bytes, may cross.
func (c *crossing) allow(v *board.View, level int, bytes int64) bool {
	nodes, levels := regionNodes(v), len(v.Config.Ranks)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.budget == nil || nodes != c.nodes || levels != c.levels {
		o := balance.DefaultByteOptions(nodes)
		o.Levels = max(1, levels)
		c.nodes, c.levels, c.budget = nodes, levels, balance.NewByteBudget(o)
	}
	if bytes <= 0 {
		bytes = unknownAnswer
	}
	return c.budget.Allow(time.Now(), level, bytes+crossingOverhead)
}

// regionNodes returns the number of usable nodes in this node's region.
func regionNodes(v *board.View) int {
	n := 1
	for i := range v.Nodes {
		if v.Nodes[i].Region == v.Self.Region {
			n++
		}
	}
	return n
}
