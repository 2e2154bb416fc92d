// Package consensus is the deterministic core of a replicated log in the style
// of Raft. It does no I/O, reads no clock and starts no goroutine. Ticks,
// messages and proposals go in; what to store, what to send and what to apply
// comes out. Randomness comes from Config.Seed, so that equal inputs always
// lead to equal outputs.
//
// The caller works in rounds:
//
//	core.Tick(), core.Step(message), core.Propose(commands...), core.Read()
//	rd := core.Ready()
//	send rd.Early
//	store rd.Batch, with one sync
//	send rd.Messages
//	restore rd.Batch.Snapshot, if any; apply rd.Committed
//	serve rd.Reads, each once its index is applied
//	core.Advance()
//
// # Elections
//
// A replica that has heard no leader for a random time between one and two
// election timeouts asks for pre-votes, which change no state. Only a majority
// of pre-votes makes it raise its term. Of replicas with equal logs that ask at
// the same time, the one with the highest id goes first. A voter that has heard
// a leader within the last election timeout ignores requests for votes and
// pre-votes, so a replica that returns from isolation neither raises the term
// nor deposes the leader. A replica whose log is empty grants no votes.
//
// A leader that has not heard from a majority of voters within an election
// timeout steps down. Its pending reads and proposals are then the caller's to
// fail: reads have not been served, and proposals may or may not be committed.
//
// # Replication
//
// Each peer is in one of three states, kept by package tracker: probe (one
// message at a time), replicate (a window of messages ahead of the replies) and
// snapshot. A follower that rejects an append says which term conflicts and
// where that term starts, so that the leader skips whole terms. Messages with
// entries may leave before the leader has stored the same entries itself,
// because the leader counts its own log only up to what is stored.
//
// # Reads
//
// Read asks for a confirmed read index. It is confirmed when a majority of
// voters has acknowledged, in the same term, a heartbeat sent after the read
// arrived, and not before an entry of the leader's own term is committed.
//
// # Membership
//
// One member changes at a time. A change is an entry that carries the whole
// membership and is in force as soon as it is in the log. A leader accepts a
// change only when the one before it is committed and an entry of the leader's
// own term is committed; without the second rule, two leaders in different
// terms could each commit through majorities that do not overlap. A learner is
// promoted only when it has caught up.
//
// # Snapshots
//
// The caller hands over a snapshot of the state machine with Compact. The core
// keeps some entries before it for followers that are slightly behind, and
// sends the snapshot to those further behind.
package consensus
