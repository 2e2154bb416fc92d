// Package idempotency makes non-idempotent requests run at most once. Before an
// attempt at a request with an idempotency key runs, it claims the key in a
// table that is replicated in memory by a group of nodes.
//
// Table is the state machine, Client sends batches of operations to the leader
// of a group, and Host runs the replicas that the configuration assigns to a
// node.
//
// # Keys without an entry
//
// A table forgets entries: after the retention window, when it is full, and all
// at once when its group lost its majority and was replaced under a higher
// epoch. A key that may have had an entry must not be granted. A UUIDv7 key
// carries the time of its creation, and each table has a floor: a key that is
// created before it, and has no entry, gets StatusOldKey. The floor follows the
// entries that are forgotten, and starts at the birth of the table if its epoch
// is above 1. A key without a readable time gets StatusOldKey during the first
// retention window of an epoch above 1; after the retention window its entry is
// forgotten and the key can be granted again.
//
// # Time
//
// Time comes from the leader's clock with each command and never goes back. The
// clocks of callers and nodes may differ by MaxClockSkew.
package idempotency
