// Package trials measures the decision packages (admission, balance, retry, health, ejection) in a
// discrete-event simulation with synthetic traces. It models one service of a reference deployment:
// its upstreams with their slots, their dispatchers, and one ingress per upstream. Links only add
// latency; membership and the replication of the ejection ledger are modelled as fixed delays.
package trials

import "time"

// Deployment is a service of one of the reference deployments on the design page. The page gives
// the numbers of workers and slots and the latencies; request kinds, service times, deadlines and
// shares are assumptions of the model.
type Deployment struct {
	Name           string
	Workers        int
	Slots          int
	InRegion       time.Duration // one-way latency between failure domains of a region
	BetweenRegions time.Duration // one-way latency between regions
	Kinds          []Kind
	Shares         []float64 // guaranteed share of the slots by level; level 0 gets the rest
	Callers        int
	FloorFraction  float64 // minimum of upstreams that stay in use, as a fraction of Workers
}

// Kind is a request kind of the model. Its level is its index in Deployment.Kinds; level 0 is the
// most urgent.
type Kind struct {
	Name        string
	Idempotent  bool
	ServiceTime time.Duration // mean service time
	Deadline    time.Duration // counted from the arrival
	OfferedLoad float64       // offered load without a flood, as a fraction of the service's capacity
	Bytes       int64         // size of an answer
}

// serviceTimeSigma is the standard deviation of the logarithm of service times, which are
// log-normally distributed.
const serviceTimeSigma = 0.5

// Deployments returns one service of each reference deployment.
func Deployments() []Deployment {
	return []Deployment{
		{
			Name: "millrace/storefront", Workers: 14, Slots: 5,
			InRegion: 500 * time.Microsecond, BetweenRegions: 30 * time.Millisecond,
			Kinds: []Kind{
				{"stock", true, 20 * time.Millisecond, 500 * time.Millisecond, 0.20, 2_000},
				{"listings", true, 40 * time.Millisecond, time.Second, 0.35, 20_000},
				{"images", true, 60 * time.Millisecond, 2 * time.Second, 0.25, 40_000},
			},
			Shares: []float64{0, 0.25, 0.10}, Callers: 400, FloorFraction: 0.6,
		},
		{
			Name: "tokachi/order-desk", Workers: 17, Slots: 3,
			InRegion: 1400 * time.Microsecond, BetweenRegions: 30 * time.Millisecond,
			Kinds: []Kind{
				{"warping-orders", false, 60 * time.Millisecond, 3 * time.Second, 0.20, 2_000},
				{"lots", true, 50 * time.Millisecond, 2 * time.Second, 0.35, 10_000},
				{"drawings", true, 120 * time.Millisecond, 5 * time.Second, 0.25, 60_000},
			},
			Shares: []float64{0, 0.25, 0.10}, Callers: 60, FloorFraction: 0.6,
		},
	}
}

// baseLoad is the offered load without a flood: the sum of Kind.OfferedLoad over all kinds.
const baseLoad = 0.8

// rate returns the arrivals per second at which a kind uses the offered fraction of the service's
// capacity.
func (d *Deployment) rate(kind int, offered float64) float64 {
	slots := float64(d.Workers * d.Slots)
	return offered * slots / d.Kinds[kind].ServiceTime.Seconds()
}

// region returns the region of a worker, and domain its failure domain. There are two regions with
// two failure domains each.
func (d *Deployment) region(worker int) int { return worker % 2 }
func (d *Deployment) domain(worker int) int { return worker % 4 }

// oneWay returns the one-way latency between the VMs of two workers.
func (d *Deployment) oneWay(a, b int) time.Duration {
	switch {
	case a == b:
		return 50 * time.Microsecond
	case d.region(a) != d.region(b):
		return d.BetweenRegions
	case d.domain(a) != d.domain(b):
		return d.InRegion
	}
	return d.InRegion / 2
}

// Fault describes how an upstream misbehaves at one time.
type Fault struct {
	FailureRate float64 // share of requests that fail
	Slowness    float64 // multiplies the service time
}

// Trace is the input of one trial. Equal traces and seeds give equal arrivals, whatever the policy
// under test decides.
type Trace struct {
	Duration time.Duration
	// Flood is the kind that offers the load beyond baseLoad.
	Flood int
	// Load is the offered load as a multiple of the service's capacity.
	Load float64
	// FaultOf returns the fault of an upstream for a kind at a time since the start of the trace.
	// Slowness 0 counts as 1. Nil: no faults.
	FaultOf func(at time.Duration, worker, kind int) Fault
	// Noise adds the disturbances of a healthy fleet: 0.3% failures; a stall of the slot for 200 to
	// 500 ms in 0.1% of requests; pauses of an upstream of 0.3 to 1 s, every 5 minutes on average;
	// and speeds of upstreams that differ by up to 15%.
	Noise bool
}

// offeredLoads returns the load that each kind offers, as a fraction of the service's capacity.
func (tr *Trace) offeredLoads(d *Deployment) []float64 {
	out := make([]float64, len(d.Kinds))
	for i, k := range d.Kinds {
		out[i] = k.OfferedLoad * min(tr.Load/baseLoad, 1)
	}
	if tr.Load > baseLoad {
		out[tr.Flood] += tr.Load - baseLoad
	}
	return out
}
