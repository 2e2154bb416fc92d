// Package distribute brings the configuration from control to every node.
//
// A Holder keeps the newest configuration that its process has seen. A Server
// hands it out over link streams, at control and at every node. A Follower
// keeps a node's Holder up to date: two nodes per region watch control, and the
// others learn from membership which version exists and pull what changed from
// a node that has it. No process ever takes a lower version than it holds.
package distribute
