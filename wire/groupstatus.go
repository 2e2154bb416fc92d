package wire

// GroupStatusRequest asks a node for its replica of an idempotency group.
type GroupStatusRequest struct {
	Group string `cbor:"1,keyasint"`
	Epoch uint64 `cbor:"2,keyasint"`
	// Generation is that of the group's resource. A node that has an older one cannot answer.
	Generation uint64 `cbor:"3,keyasint"`
}

// GroupStatus is a node's answer to a GroupStatusRequest.
type GroupStatus struct {
	// Known says that the node has the group at that generation or a later one. The other fields are valid only then.
	Known bool `cbor:"1,keyasint"`
	// Replica is the number of the replica that the node runs; 0: none. The state of a replica is in memory, so
	// that one which does not run has lost it.
	Replica uint64 `cbor:"2,keyasint,omitempty"`
	// Voters are the numbers of the voters of the latest membership in the replica's log. A replica that has not received
	// anything yet knows none.
	Voters []uint64 `cbor:"3,keyasint,omitempty"`
	// HasLeader says that the replica knows a leader.
	HasLeader bool `cbor:"4,keyasint,omitempty"`
	// LastIndex and LastTerm are those of the last entry in the replica's log.
	LastIndex uint64 `cbor:"5,keyasint,omitempty"`
	LastTerm  uint64 `cbor:"6,keyasint,omitempty"`
}

// MayVoteFor reports whether the log of candidate is at least as up to date as the one of s.
func (s GroupStatus) MayVoteFor(candidate GroupStatus) bool {
	if s.LastTerm != candidate.LastTerm {
		return s.LastTerm < candidate.LastTerm
	}
	return s.LastIndex <= candidate.LastIndex
}
