package consensus

// Ready is what the caller has to do in one round, in the order of the fields.
type Ready struct {
	// Early messages may be sent before Batch is stored.
	Early []Message
	// Batch is stored with one sync before anything below is done. Sync is
	// false if it is empty.
	Batch Batch
	Sync  bool
	// Messages are sent once Batch is stored.
	Messages []Message
	// Install says that the state machine is restored from Batch.Snapshot.
	Install bool
	// Committed entries are applied in order.
	Committed []Entry
	// Reads are confirmed and may be served once their index is applied.
	Reads []ConfirmedRead
}

// Empty reports whether there is nothing to do.
func (r *Ready) Empty() bool {
	return len(r.Early) == 0 && !r.Sync && len(r.Messages) == 0 && len(r.Committed) == 0 && len(r.Reads) == 0
}

// Ready returns the work of one round. Advance must follow before any other
// call.
func (c *Core) Ready() Ready {
	if c.role == Leader {
		c.replicate()
	}
	var r Ready
	c.fillBatch(&r)
	// The leader's own messages need not wait for its disk, unless this round
	// also stores the term in which they are sent.
	for _, m := range c.messages {
		if (m.Type == MsgAppend || m.Type == MsgHeartbeat) && r.Batch.Hard == nil {
			r.Early = append(r.Early, m)
		} else {
			r.Messages = append(r.Messages, m)
		}
	}
	r.Committed = c.log.span(c.log.handed+1, c.log.commit)
	r.Reads = c.reads.takeConfirmed()
	c.messages = nil
	c.inReady = true
	return r
}

func (c *Core) fillBatch(r *Ready) {
	b := &r.Batch
	if c.hard != c.storedHard {
		hard := c.hard
		b.Hard = &hard
	}
	if c.installed || c.compacted {
		snapshot := c.log.snapshot
		b.Snapshot = &snapshot
		b.Reset = c.installed
		b.DropBelow = c.log.baseIndex
	}
	b.Entries = c.log.span(c.log.stored+1, c.log.last())
	r.Install = c.installed
	r.Sync = b.Hard != nil || b.Snapshot != nil || len(b.Entries) > 0
}

// Advance tells the core that the work of the last Ready is done.
func (c *Core) Advance() {
	if !c.inReady {
		panic("consensus: Advance without Ready")
	}
	c.inReady = false
	c.storedHard = c.hard
	c.installed, c.compacted = false, false
	c.log.stored = c.log.last()
	c.log.handed = c.log.commit
	if c.role == Leader {
		c.advanceCommit()
	}
}

// Compact makes data, the state machine's snapshot at index, the snapshot of
// the log, and drops entries before it. index must have been applied.
func (c *Core) Compact(index uint64, data []byte) {
	if index <= c.log.snapshot.Index || index > c.log.handed {
		return
	}
	base := uint64(0)
	if index > c.cfg.KeepEntries {
		base = index - c.cfg.KeepEntries
	}
	c.log.compact(index, base, data)
	c.compacted = true
}
