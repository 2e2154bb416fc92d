// Package trials measures the decision packages on synthetic traces with a
// fake clock. It models one service of a reference deployment: its upstreams
// with slots, their dispatchers, and one ingress per upstream. Links have
// latency but no other behaviour, and membership and the ledger's group are
// reduced to delays.
package trials

import "time"

// Deployment is a service of a reference deployment of the design page. The
// page gives workers, slots and latencies; kinds, service times, deadlines and
// shares are assumptions of the model.
type Deployment struct {
	Name      string
	Workers   int
	Slots     int
	InRegion  time.Duration // one way between failure domains of a region
	Crossing  time.Duration // one way between regions
	Kinds     []Kind
	Shares    []float64 // by level
	Callers   int
	FloorPart float64 // floor as a part of the workers
}

// Kind is a request kind of the model. Its level is its index.
type Kind struct {
	Name       string
	Idempotent bool
	Service    time.Duration // mean slot time
	Deadline   time.Duration
	Part       float64 // of the slot time offered at load 1, before a flood
	Bytes      int64   // of an answer
}

// sigma is the spread of service times, which are log-normal.
const sigma = 0.5

// Deployments returns one service of each reference deployment.
func Deployments() []Deployment {
	return []Deployment{
		{
			Name: "millrace/storefront", Workers: 14, Slots: 5,
			InRegion: 500 * time.Microsecond, Crossing: 30 * time.Millisecond,
			Kinds: []Kind{
				{"stock", true, 20 * time.Millisecond, 500 * time.Millisecond, 0.20, 2_000},
				{"listings", true, 40 * time.Millisecond, time.Second, 0.35, 20_000},
				{"images", true, 60 * time.Millisecond, 2 * time.Second, 0.25, 40_000},
			},
			Shares: []float64{0, 0.25, 0.10}, Callers: 400, FloorPart: 0.6,
		},
		{
			Name: "tokachi/order-desk", Workers: 17, Slots: 3,
			InRegion: 1400 * time.Microsecond, Crossing: 30 * time.Millisecond,
			Kinds: []Kind{
				{"warping-orders", false, 60 * time.Millisecond, 3 * time.Second, 0.20, 2_000},
				{"lots", true, 50 * time.Millisecond, 2 * time.Second, 0.35, 10_000},
				{"drawings", true, 120 * time.Millisecond, 5 * time.Second, 0.25, 60_000},
			},
			Shares: []float64{0, 0.25, 0.10}, Callers: 60, FloorPart: 0.6,
		},
	}
}

// baseLoad is the load without a flood: the sum of the kinds' parts.
const baseLoad = 0.8

// rate returns the arrivals per second of a kind that offers part of the
// service's slot time.
func (d *Deployment) rate(kind int, part float64) float64 {
	slots := float64(d.Workers * d.Slots)
	return part * slots / d.Kinds[kind].Service.Seconds()
}

// region returns the region of a worker, and domain its failure domain. There
// are two regions with two failure domains each.
func (d *Deployment) region(worker int) int { return worker % 2 }
func (d *Deployment) domain(worker int) int { return worker % 4 }

// oneWay returns the latency between the VMs of two workers.
func (d *Deployment) oneWay(a, b int) time.Duration {
	switch {
	case a == b:
		return 50 * time.Microsecond
	case d.region(a) != d.region(b):
		return d.Crossing
	case d.domain(a) != d.domain(b):
		return d.InRegion
	}
	return d.InRegion / 2
}

// Fault is what upstreams suffer at a time.
type Fault struct {
	Failures float64 // share of requests that fail
	Slowness float64 // factor of the service time
}

// Trace is what a trial feeds to the model. Equal traces and seeds give equal
// arrivals, whatever the policy does.
type Trace struct {
	Duration time.Duration
	// Flood is the kind that offers what Load needs beyond the base.
	Flood int
	Load  float64
	// FaultOf returns the fault of an upstream for a kind at a time since the
	// start. Slowness 0 counts as 1.
	FaultOf func(at time.Duration, worker, kind int) Fault
	// Noise adds ordinary trouble: 0.3% failures; stalls of a slot for 200 to
	// 500 ms in 0.1% of requests; pauses of an upstream of 0.3 to 1 s every 5
	// minutes on average; upstreams differ in speed by up to 15%.
	Noise bool
}

func (tr *Trace) parts(d *Deployment) []float64 {
	out := make([]float64, len(d.Kinds))
	for i, k := range d.Kinds {
		out[i] = k.Part * min(tr.Load/baseLoad, 1)
	}
	if tr.Load > baseLoad {
		out[tr.Flood] += tr.Load - baseLoad
	}
	return out
}
