package scenario

import (
	"path/filepath"
)

// This file alone knows the daemons' program and flag names.

const nodeProgram = "filenode"

func (w *world) nodeFlags(n *fleetNode, keyDir, region, domain string) []string {
	return []string{
		"-node-id", n.name, "-region", region, "-failure-domain", domain,
		"-caller-addr", n.addr(portCaller), "-link-addr", n.addr(portLink),
		"-gossip-addr", n.addr(portGossip), "-announce-addr", n.addr(portAnnounce),
		"-debug-addr", n.addr(portDebug), "-keys", keyDir,
	}
}

// applyConfig puts a configuration in force.
func (w *world) applyConfig(text string) error {
	return writeFile(filepath.Join(w.work, "shared", "config.json"), []byte(text))
}
