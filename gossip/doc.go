// Package gossip is the fleet's membership: which nodes there are, in which
// state, and with which upstreams.
//
// It follows SWIM: each node probes one other per interval, asks further nodes
// to probe for it when no answer comes, and suspects a node that nobody
// reaches. A suspected node that hears of it refutes with a higher incarnation;
// one that stays silent is dead after a timeout. Changes travel on probes and
// answers, and are pushed at once to a few random members by each node that
// learns of them. Nothing else travels while nothing changes. Full membership
// is exchanged over link streams, by a starting node and seldom after that.
//
// Datagrams hold at most 1,200 bytes and are sealed with AES-256-GCM.
//
// The type core decides. It has no I/O, clock or goroutine. Gossip runs it on a
// UDP socket.
package gossip
