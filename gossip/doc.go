// Package gossip implements fleet membership: which nodes exist, the state of each, and the
// upstreams that each one runs.
//
// It follows SWIM. Each node pings one other node per probe interval. If no ack arrives, it asks
// other nodes to ping the target, and marks the target suspect if none of them reaches it. A
// suspect node that learns of the suspicion refutes it with a higher incarnation; one that stays
// silent is declared dead after a timeout. Changes are piggybacked on pings and acks, and each
// node that learns of a change pushes it to a few random members at once. Without changes, only
// probes are sent. The full membership is exchanged over link streams when a node starts, and
// rarely after that.
//
// Datagrams hold at most 1,200 bytes and are sealed with AES-256-GCM.
//
// The type core is the protocol's state machine. It has no I/O, clock or goroutine. Gossip runs
// it on a UDP socket.
package gossip
