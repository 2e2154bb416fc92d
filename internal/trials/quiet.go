package trials

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/godwithub/godwithub/health"
)

// quietDuration is the length of a trace that consists of observations only.
const quietDuration = 6 * time.Hour

// FalseAlarms measures false alarms over many upstream-days. It feeds the detection methods with
// observations of healthy upstreams with noise and skips the rest of the model. A false ejection
// resets the method for the upstream, as a real one would.
func FalseAlarms(c Config, d *Deployment) Table {
	t := Table{Header: []string{"method", "upstream-days in all", "ejections in all", "suspicions in all", "ejections per upstream-day"}}
	days := float64(d.Workers) * quietDuration.Hours() / 24 * float64(len(c.Seeds))
	for _, m := range c.methods() {
		total := alarms{}
		for _, a := range forEachSeed(c, func(seed uint64) alarms { return runQuietTrace(d, m, seed) }) {
			total.ejections += a.ejections
			total.suspicions += a.suspicions
		}
		t.Add(m, fmt.Sprintf("%.0f", days), fmt.Sprint(total.ejections), fmt.Sprint(total.suspicions),
			fmt.Sprintf("%.3f", float64(total.ejections)/days))
	}
	return t
}

type alarms struct{ ejections, suspicions int }

func runQuietTrace(d *Deployment, name string, seed uint64) alarms {
	r := rand.New(rand.NewPCG(seed, 3))
	m := newMethod(name, d)
	noises := make([]*noise, d.Workers)
	for w := range noises {
		noises[w] = newNoise(r, quietDuration)
	}
	a, suspected := alarms{}, make([]bool, d.Workers)
	for at := time.Duration(0); at < quietDuration; at += health.Interval {
		for w := range d.Workers {
			now := epoch.Add(at + health.Interval)
			observeInterval(r, d, m, noises[w], at, w)
			m.endInterval(now, w)
			suspect := m.suspect(now, w)
			if suspect && !suspected[w] {
				a.suspicions++
			}
			suspected[w] = suspect
			if _, unhealthy := m.unhealthy(now, w); unhealthy {
				a.ejections++
				m.reset(w)
			}
		}
	}
	return a
}

// observeInterval feeds the method with one second of requests at one upstream. During a pause no
// more requests than there are slots are observed, since the others would wait in the queue.
func observeInterval(r *rand.Rand, d *Deployment, m detectionMethod, n *noise, at time.Duration, w int) {
	for kind := range d.Kinds {
		k := &d.Kinds[kind]
		perSecond := d.rate(kind, k.OfferedLoad*moderateLoad/baseLoad) / float64(d.Workers)
		for step := r.ExpFloat64() / perSecond; step < 1; step += r.ExpFloat64() / perSecond {
			start := at + time.Duration(step*float64(time.Second))
			nominal := time.Duration(float64(k.ServiceTime) * math.Exp(serviceTimeSigma*r.NormFloat64()-serviceTimeSigma*serviceTimeSigma/2))
			latency := n.serviceTime(start, nominal, r.Float64(), r.Float64())
			if n.paused(start) && !n.admitDuringPause(d.Slots) {
				continue
			}
			result := health.Succeeded
			if r.Float64() < noiseFailureRate {
				result = health.Failed
			}
			m.observe(epoch.Add(start), w, kind, result, latency)
		}
	}
}
