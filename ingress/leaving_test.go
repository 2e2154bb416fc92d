package ingress

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// drainTime is the time after which an upstream that has said that it leaves gets no request from a node
// that passed that on.
const drainTime = 2500 * time.Millisecond

// Guards against requests for an upstream that has said in its answers that it leaves, although its
// announcements say that it is ready and its node restarts.
func TestLeavingUpstreamGetsNoRequestsAcrossRestarts(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t, []float64{0, 0, 0, 0}, 5, 50*time.Millisecond)
	leaving := f.nodes[0]
	leaving.leaving.Store(true)
	stop := f.restartEach(0, 300*time.Millisecond)
	results := f.load(60, 2*drainTime)
	stop()
	told := map[string]time.Time{}
	for _, a := range leaving.arrivals {
		first, ok := told[a.ingress]
		if !ok {
			told[a.ingress] = a.at.Add(f.work)
			continue
		}
		assert.Assert(t, a.ingress == "0" || a.at.Sub(first) <= drainTime, "ingress %s sent a request %v after it had learned that the upstream leaves", a.ingress, a.at.Sub(first))
	}
	n, _ := answered(results)
	assert.Equal(t, n, len(results))
}
