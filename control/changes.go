package control

import "crypto/sha256"

// Bounds of the remembered changes. The oldest is forgotten first. A resend
// that comes later is applied again, and then usually ends in a conflict,
// since it names a revision that is no longer the current one.
const (
	// MaxChanges bounds the remembered changes; at the target scale of 740
	// changes a day they last for five days.
	MaxChanges = 4096
	// MaxChangeAge bounds their age, in seconds of the proposers' clocks.
	MaxChangeAge = 24 * 60 * 60
	// MaxChangeBytes bounds the size of all remembered results together, since
	// results of large batches and conflicts can each be large.
	MaxChangeBytes = 8 << 20
)

// change is a remembered change.
type change struct {
	ID     string            `cbor:"1,keyasint"`
	Digest [sha256.Size]byte `cbor:"2,keyasint"`
	At     int64             `cbor:"3,keyasint"`
	Result []byte            `cbor:"4,keyasint"`
}

// changes remembers the results of recent changes by change id.
type changes struct {
	byID map[string]*change
	// queue holds them in the order of their application.
	queue []*change
	bytes int
	// now is the highest time seen in a command, in Unix seconds.
	now int64
}

func newChanges(now int64, queue []*change) *changes {
	c := &changes{byID: make(map[string]*change, len(queue)), now: now}
	for _, e := range queue {
		c.add(e)
	}
	return c
}

// advance moves the clock and forgets what is too old.
func (c *changes) advance(at int64) {
	c.now = max(c.now, at)
	for len(c.queue) > 0 && c.queue[0].At < c.now-MaxChangeAge {
		c.forgetOldest()
	}
}

func (c *changes) add(e *change) {
	c.byID[e.ID] = e
	c.queue = append(c.queue, e)
	c.bytes += len(e.Result)
	for len(c.queue) > MaxChanges || (c.bytes > MaxChangeBytes && len(c.queue) > 1) {
		c.forgetOldest()
	}
}

func (c *changes) forgetOldest() {
	oldest := c.queue[0]
	c.queue[0] = nil
	c.queue = c.queue[1:]
	c.bytes -= len(oldest.Result)
	delete(c.byID, oldest.ID)
}
