package consensus

// Ready is the work of one round. The caller must process the fields in this order.
type Ready struct {
	// EarlyMessages may be sent before Batch is stored.
	EarlyMessages []Message
	// Batch must be stored with one sync before the fields below are processed. Sync is false if the
	// batch is empty.
	Batch Batch
	Sync  bool
	// Messages must be sent only after Batch is stored.
	Messages []Message
	// InstallSnapshot reports whether the state machine must be restored from Batch.Snapshot.
	InstallSnapshot bool
	// Committed holds the committed entries to apply, in order. See Config.TargetVoters.
	Committed []Entry
	// Reads holds the confirmed reads. Each may be served once its index is applied.
	Reads []ConfirmedRead
}

// Empty reports whether the round has no work.
func (r *Ready) Empty() bool {
	return len(r.EarlyMessages) == 0 && !r.Sync && len(r.Messages) == 0 && len(r.Committed) == 0 && len(r.Reads) == 0
}

// Ready returns the work of one round. Advance must follow before any other call.
func (c *Core) Ready() Ready {
	if c.role == Leader {
		c.replicate()
	}
	var r Ready
	c.fillBatch(&r)
	// A leader's appends and heartbeats need not wait for its own disk, unless this round also
	// stores the term in which they are sent.
	for _, m := range c.messages {
		if (m.Type == MsgAppend || m.Type == MsgHeartbeat) && r.Batch.Hard == nil {
			r.EarlyMessages = append(r.EarlyMessages, m)
		} else {
			r.Messages = append(r.Messages, m)
		}
	}
	r.Committed = c.log.entriesBetween(c.log.delivered+1, c.log.released)
	r.Reads = c.reads.takeConfirmed()
	c.messages = nil
	c.inReady = true
	return r
}

func (c *Core) fillBatch(r *Ready) {
	b := &r.Batch
	if c.hardState != c.storedHardState {
		hard := c.hardState
		b.Hard = &hard
	}
	if c.installPending || c.compactionPending {
		snapshot := c.log.snapshot
		b.Snapshot = &snapshot
		b.ResetEntries = c.installPending
		b.DropBelow = c.log.baseIndex
	}
	b.Entries = c.log.entriesBetween(c.log.stored+1, c.log.lastIndex())
	r.InstallSnapshot = c.installPending
	r.Sync = b.Hard != nil || b.Snapshot != nil || len(b.Entries) > 0
}

// Advance tells the core that the work of the last Ready is complete.
func (c *Core) Advance() {
	if !c.inReady {
		panic("consensus: Advance called without Ready")
	}
	c.inReady = false
	c.storedHardState = c.hardState
	c.installPending, c.compactionPending = false, false
	c.log.stored = c.log.lastIndex()
	c.log.delivered = c.log.released
	if c.role == Leader {
		c.advance()
	}
}

// Compact replaces the log up to index by data, a snapshot of the state machine at index, but keeps
// the last Config.KeepEntries entries before it. index must have been applied. A call with an index
// that is not newer than the current snapshot, or was not delivered yet, has no effect.
func (c *Core) Compact(index uint64, data []byte) {
	if index <= c.log.snapshot.Index || index > c.log.delivered {
		return
	}
	base := uint64(0)
	if index > c.cfg.KeepEntries {
		base = index - c.cfg.KeepEntries
	}
	c.log.compact(index, base, data)
	c.compactionPending = true
}
