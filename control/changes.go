package control

import "crypto/sha256"

// Bounds of the remembered changes, of which the oldest is evicted first. A resend that arrives
// after the eviction is applied again. It then usually ends in a conflict, because it names a
// revision that is no longer current.
const (
	// MaxRememberedChanges bounds the number of remembered changes. At the target scale of 740
	// changes a day it is reached after five days.
	MaxRememberedChanges = 4096
	// MaxRememberedChangeAgeSeconds bounds their age in seconds, by the clocks of the proposers
	// (Command.At).
	MaxRememberedChangeAgeSeconds = 24 * 60 * 60
	// MaxRememberedChangeBytes bounds the total size of the remembered results, because the result
	// of a large batch or of a batch with many conflicts can be large.
	MaxRememberedChangeBytes = 8 << 20
)

// rememberedChange is the result of a command with a change id, kept for resends.
type rememberedChange struct {
	ID     string            `cbor:"1,keyasint"`
	Digest [sha256.Size]byte `cbor:"2,keyasint"`
	At     int64             `cbor:"3,keyasint"`
	Result []byte            `cbor:"4,keyasint"`
}

// rememberedChanges holds the results of recent changes by change id, so that a resend returns the
// first result.
type rememberedChanges struct {
	byID map[string]*rememberedChange
	// queue holds the changes in the order in which they were applied.
	queue []*rememberedChange
	bytes int
	// now is the highest Command.At so far, in Unix seconds.
	now int64
}

func newRememberedChanges(now int64, queue []*rememberedChange) *rememberedChanges {
	c := &rememberedChanges{byID: make(map[string]*rememberedChange, len(queue)), now: now}
	for _, e := range queue {
		c.add(e)
	}
	return c
}

// advanceClock sets the time to at, unless that is earlier, and evicts changes above
// MaxRememberedChangeAgeSeconds.
func (c *rememberedChanges) advanceClock(at int64) {
	c.now = max(c.now, at)
	for len(c.queue) > 0 && c.queue[0].At < c.now-MaxRememberedChangeAgeSeconds {
		c.forgetOldest()
	}
}

func (c *rememberedChanges) add(e *rememberedChange) {
	c.byID[e.ID] = e
	c.queue = append(c.queue, e)
	c.bytes += len(e.Result)
	for len(c.queue) > MaxRememberedChanges || (c.bytes > MaxRememberedChangeBytes && len(c.queue) > 1) {
		c.forgetOldest()
	}
}

func (c *rememberedChanges) forgetOldest() {
	oldest := c.queue[0]
	c.queue[0] = nil
	c.queue = c.queue[1:]
	c.bytes -= len(oldest.Result)
	delete(c.byID, oldest.ID)
}
