package health

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/godwithub/godwithub/fleet"
)

const (
	// recentSummaries is how many summaries of an upstream count as recent. Two
	// intervals hold a change that all peers share whatever the phase at which
	// they send.
	recentSummaries = 2
	// forgetAfter drops an upstream that sends nothing more.
	forgetAfter = 10 * time.Second
	// longWindow averages the behaviour that is compared with besides the
	// recent one, and by which upstreams are left out of the pool.
	longWindow = 30 * time.Second
	// slowQuantile and slowBuckets give the limit of slow work: two to three
	// buckets, a factor of 1.4 to 1.7, above the peers' quantile.
	slowQuantile = 0.9
	slowBuckets  = 2
	// priorCount is the weight of the long rate in the recent one, so that one
	// failure among a few attempts doesn't hide a unhealthy upstream.
	priorCount = 20
	// The baseline of a large service is computed at most once in poolCost per
	// upstream, and at least once in maxPoolAge, since it looks at all of them.
	poolCost   = time.Millisecond
	maxPoolAge = 250 * time.Millisecond
	// maxPoolKinds bounds the kinds of a service in the pool.
	maxPoolKinds = 256
)

// Pool gathers the summaries of a service's upstreams at its aggregator.
type Pool struct {
	members map[fleet.UpstreamID]*member
	cached  []KindBaseline
	made    time.Time // when cached was computed
	dirty   bool
}

type member struct {
	seq    uint64
	seenAt time.Time
	kinds  map[string]*pooledKind
}

type pooledKind struct {
	recent [recentSummaries]KindSummary
	long   struct {
		succeeded, failed float64
		latencies         weights
	}
}

// NewPool returns an empty pool.
func NewPool() *Pool { return &Pool{members: map[fleet.UpstreamID]*member{}} }

// Add takes a summary in. One that is older than the latest of its upstream by
// a few intervals, or malformed, is ignored.
func (p *Pool) Add(now time.Time, s Summary) {
	m := p.members[s.Upstream]
	if m == nil {
		m = &member{kinds: map[string]*pooledKind{}}
		p.members[s.Upstream] = m
	}
	if s.Seq <= m.seq && m.seq-s.Seq < 100 {
		return
	}
	m.seq, m.seenAt = s.Seq, now
	slot := int(s.Seq % recentSummaries)
	decay := math.Exp(-Interval.Seconds() / longWindow.Seconds())
	for _, k := range m.kinds {
		k.recent[slot] = KindSummary{}
		k.long.succeeded *= decay
		k.long.failed *= decay
		k.long.latencies.scale(decay)
	}
	for _, ks := range s.Kinds {
		k := m.kinds[ks.Kind]
		if !ks.Latencies.valid() || k == nil && len(m.kinds) >= maxPoolKinds {
			continue
		}
		if k == nil {
			k = &pooledKind{}
			m.kinds[ks.Kind] = k
		}
		k.recent[slot] = ks
		k.long.succeeded += float64(ks.Succeeded)
		k.long.failed += float64(ks.Failed)
		k.long.latencies.add(&ks.Latencies)
	}
	p.dirty = true
}

// Remove drops an upstream, for instance one that was ejected.
func (p *Pool) Remove(u fleet.UpstreamID) {
	delete(p.members, u)
	p.dirty = true
}

// Baseline returns what the peers did lately, for one of the upstreams.
func (p *Pool) Baseline(now time.Time, u fleet.UpstreamID) Baseline {
	for id, m := range p.members {
		if now.Sub(m.seenAt) > forgetAfter {
			p.Remove(id)
		}
	}
	age := min(time.Duration(len(p.members))*poolCost, maxPoolAge)
	if p.dirty && now.Sub(p.made) >= age {
		p.cached = p.baselines()
		p.made, p.dirty = now, false
	}
	b := Baseline{Kinds: p.cached}
	if m := p.members[u]; m != nil {
		b.Seq = m.seq
	}
	return b
}

func (p *Pool) baselines() []KindBaseline {
	byKind := map[string][]*pooledKind{}
	for _, m := range p.members {
		for name, k := range m.kinds {
			byKind[name] = append(byKind[name], k)
		}
	}
	out := make([]KindBaseline, 0, len(byKind))
	for name, kinds := range byKind {
		b := KindBaseline{Kind: name, Peers: len(kinds)}
		b.FailureRate = failureRate(kinds)
		b.SlowBucket, b.SlowRate = slowness(kinds)
		out = append(out, b)
	}
	slices.SortFunc(out, func(a, b KindBaseline) int { return cmp.Compare(a.Kind, b.Kind) })
	return out
}

// failureRate returns the higher of the long and the recent rate of the peers,
// without the worst quarter.
func failureRate(kinds []*pooledKind) float64 {
	kinds = better(kinds, func(k *pooledKind) float64 {
		return (k.long.failed + 0.01) / (k.long.succeeded + k.long.failed + 1)
	})
	var long, recent rate
	for _, k := range kinds {
		long.add(k.long.failed, k.long.succeeded+k.long.failed)
		for i := range k.recent {
			r := &k.recent[i]
			recent.add(float64(r.Failed), float64(r.Succeeded+r.Failed))
		}
	}
	return max(long.value(), recent.shrunk(long.value()))
}

// slowness returns the limit of slow work and the peers' rate beyond it. The
// limit is the higher of the long and the recent one.
func slowness(kinds []*pooledKind) (bucket int, slowRate float64) {
	kinds = better(kinds, func(k *pooledKind) float64 { return k.long.latencies.mean() })
	var long, recent weights
	for _, k := range kinds {
		long.addAll(&k.long.latencies)
		for i := range k.recent {
			recent.add(&k.recent[i].Latencies)
		}
	}
	bucket = long.quantile(slowQuantile)
	if recent.total() >= priorCount {
		bucket = max(bucket, recent.quantile(slowQuantile))
	}
	bucket = min(bucket+slowBuckets, buckets-1)
	l := rate{long.above(bucket), long.total()}
	r := rate{recent.above(bucket), recent.total()}
	return bucket, max(l.value(), r.shrunk(l.value()))
}

// better returns the kinds without the worst quarter by badness, rounded up,
// so that unhealthy upstreams don't set the standard.
func better(kinds []*pooledKind, badness func(*pooledKind) float64) []*pooledKind {
	type scored struct {
		kind *pooledKind
		bad  float64
	}
	all := make([]scored, len(kinds))
	for i, k := range kinds {
		all[i] = scored{k, badness(k)}
	}
	slices.SortFunc(all, func(a, b scored) int { return cmp.Compare(a.bad, b.bad) })
	keep := len(all) - (len(all)+3)/4
	if keep == 0 {
		keep = len(all)
	}
	out := make([]*pooledKind, keep)
	for i := range out {
		out[i] = all[i].kind
	}
	return out
}

// rate is a number of events in a number of attempts.
type rate struct{ events, attempts float64 }

func (r *rate) add(events, attempts float64) {
	r.events += events
	r.attempts += attempts
}

func (r *rate) value() float64 {
	if r.attempts == 0 {
		return 0
	}
	return r.events / r.attempts
}

func (r *rate) shrunk(prior float64) float64 {
	return (r.events + priorCount*prior) / (r.attempts + priorCount)
}
