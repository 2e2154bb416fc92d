// Package distribute replicates the configuration from the control plane, called control, to every
// node. Control runs as several replicas, each at an address of its own.
//
// A Holder holds the newest configuration that its process has received. A Server serves it over
// link streams, at control and at every node. A Follower keeps the Holder of a node up to date: in
// each region two nodes, the feeders, watch control, and the others learn from membership which
// version exists and pull the changes from a node that has it. No process ever applies a lower
// version than it holds.
package distribute
