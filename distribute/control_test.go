package distribute

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/godwithub/godwithub/fleet"
)

// Guards against nodes that know only the control VMs in their settings, all of which may have been
// replaced.
func TestControlAddrsFollowMembership(t *testing.T) {
	p := newPeers(fleet.Node{ID: "self"})
	configured := []string{"10.0.0.2:1", "10.0.0.1:1"}
	assert.DeepEqual(t, p.controlAddrs(configured), []string{"10.0.0.1:1", "10.0.0.2:1"})
	p.update(fleet.Node{ID: "c1", Control: true, LinkAddr: "10.0.0.1:1"})
	p.update(fleet.Node{ID: "c3", Control: true, LinkAddr: "10.0.0.3:1"})
	assert.DeepEqual(t, p.controlAddrs(configured), []string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"})
	p.update(fleet.Node{ID: "c3", Control: true, LinkAddr: "10.0.0.3:1", State: fleet.NodeDead})
	assert.DeepEqual(t, p.controlAddrs(configured), []string{"10.0.0.1:1", "10.0.0.2:1"})
	assert.Equal(t, len(p.byID), 0, "control VMs are not feeders")
}
