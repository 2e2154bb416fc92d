// Package idempotency makes non-idempotent requests run at most once. Before an attempt at a
// request with an idempotency key runs, it claims the key in a table that a group of nodes
// replicates in memory.
//
// Table is the state machine, Client sends batches of operations to the leader of a group, and Host
// runs the replicas that the configuration assigns to a node.
//
// # Keys without an entry
//
// A table forgets entries: when the retention window of an entry is over, when the table is full,
// and all at once when its group lost its majority and was replaced under a higher epoch. A key
// that may have had an entry must not be granted. A UUIDv7 key contains the time of its creation,
// and each table has a floor: a key that was created before the floor, and has no entry, gets
// StatusOldKey. The floor rises as entries are forgotten. If the epoch of a table is above 1, its
// floor starts at the time of its first command plus MaxClockSkew. A key without a readable time
// gets StatusOldKey during the first retention window of an epoch above 1; once its entry is
// forgotten after the retention window, such a key can be granted again.
//
// # Time
//
// Each command carries the time of the leader's clock; the time of a table never goes back. The
// clocks of callers and nodes may differ by MaxClockSkew.
package idempotency
