package gossip

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/godwithub/godwithub/fleet"
)

// Guards against a record that this node sends and others cannot decode, so that they refuse the whole datagram.
func TestRecordsThatOthersRefuseAreInvalid(t *testing.T) {
	for _, id := range []string{"i-1", "ä", "i-\xff", "", strings.Repeat("i", maxName+1)} {
		for name, r := range map[string]record{
			"upstream":  {Node: "n1", Upstreams: []upstreamEntry{{ID: fleet.UpstreamID(id)}}},
			"departure": {Node: "n1", Departures: []departureEntry{{Upstream: fleet.UpstreamID(id)}}},
		} {
			var decoded record
			decodable := datagramDecoding.Unmarshal(mustEncode(r), &decoded) == nil && decoded.check() == nil
			assert.Equal(t, r.valid(), decodable, "%s %q", name, id)
		}
	}
}
