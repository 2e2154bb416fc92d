// Package consensus is the deterministic core of a Raft-style replicated log. It does no I/O, reads
// no clock and starts no goroutine. Its inputs are ticks, messages and proposals; its outputs are
// the data to store, the messages to send and the entries to apply. Randomness comes from
// Config.Seed only, so equal inputs always lead to equal outputs.
//
// The caller drives the core in rounds:
//
//	core.Tick(), core.Step(message), core.Propose(commands...), core.Read(), core.ConfirmLeadership()
//	rd := core.Ready()
//	send rd.EarlyMessages
//	store rd.Batch, with one sync
//	send rd.Messages
//	restore rd.Batch.Snapshot, if any; apply rd.Committed
//	serve rd.Reads, each once its index is applied
//	core.Advance()
//
// # Elections
//
// A replica that has not heard from a leader for a random time between one and two election timeouts
// requests pre-votes, which change no state. It raises its term only after a quorum has granted
// them. Among replicas with equal logs that request pre-votes at the same time, the one with the
// highest id has priority. A voter that has heard from a leader within the last election timeout
// ignores requests for votes and pre-votes, so a replica that returns from isolation neither raises
// the term nor deposes the leader. A replica whose log is empty grants no votes. A learner that is asked
// for its vote requests votes itself: it may hold the last log.
//
// A leader that has not heard from a quorum within an election timeout steps down. The caller must
// then fail the pending reads and proposals: the reads have not been served, and the proposals may
// or may not be committed.
//
// # Replication
//
// Package tracker keeps each peer in one of three states: probe (one message at a time), replicate
// (several in-flight messages, up to a maximum) and snapshot. A follower that rejects an append
// reports the conflicting term and the first index of that term in its log, so the leader skips
// whole terms. The leader may send entries before it has stored them itself, because it counts its
// own log towards a quorum only up to the last stored entry.
//
// # Release
//
// A committed entry is applied once the leader has released it, which is at once unless Config.TargetVoters
// is set and the group has another number of voters. Followers learn of released entries only. See release.go.
//
// # Reads
//
// Read requests a confirmed read index. A read is confirmed once a quorum has acknowledged, in the
// same term, a heartbeat sent after the read arrived, an entry of the leader's own term is committed, and all
// that the log held at the election is released. ConfirmLeadership does not wait for the last of these.
//
// # Membership
//
// One member changes at a time. A change is an entry that carries the whole membership; it takes
// effect as soon as it is in the log, before it is committed. A leader accepts a change only when
// the previous change and an entry of the leader's own term are committed. Without the second
// condition, two leaders in different terms could each commit through quorums that do not overlap.
// A learner is promoted only when it has caught up, unless the change sets BeforeCatchUp. A demoted
// voter stays in the group as a learner and can be promoted again.
//
// # Snapshots
//
// The caller provides a snapshot of the state machine with Compact. The core keeps some entries
// before it for followers that are slightly behind, and sends the snapshot to those further behind.
package consensus
