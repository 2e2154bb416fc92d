package node

import (
	"time"

	"github.com/godwithub/godwithub/resource"
)

// leaseMarginDivisor is one over the part of the revocation bound by which leases are shorter. The margin is for
// clocks that run at different rates, and for the time between the arrival of a request and its check.
const leaseMarginDivisor = 10

// leaseBound returns for how long after a proof requests with keys are served.
func leaseBound(revocationBound time.Duration) time.Duration {
	return revocationBound - revocationBound/leaseMarginDivisor
}

// configFreshness implements ingress.Freshness by the configuration source of a node. The source is looked up at each
// call, since the ingress is built before it.
type configFreshness struct{ *Node }

// Fresh implements ingress.Freshness.
func (f configFreshness) Fresh(v resource.Version) bool { return f.configSource.Fresh(v) }

// ProofsChanged implements ingress.Freshness.
func (f configFreshness) ProofsChanged() <-chan struct{} { return f.configSource.ProofsChanged() }
