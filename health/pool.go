package health

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/godwithub/godwithub/fleet"
)

const (
	// recentIntervals is the number of summaries of an upstream that count as recent. Upstreams
	// send their summaries at different phases; two intervals contain a change that all peers
	// share, whatever the phase.
	recentIntervals = 2
	// forgetAfter is the time without a summary after which an upstream is dropped.
	forgetAfter = 10 * time.Second
	// longWindow is the time over which long-term behaviour is averaged. The baseline is the worse
	// of the long-term and the recent behaviour, and the long-term behaviour decides which
	// upstreams are left out of it.
	longWindow = 30 * time.Second
	// slowQuantile and slowBuckets set the latency limit above which an attempt is slow: two to
	// three buckets, a factor of 1.4 to 1.7, above the peers' quantile.
	slowQuantile = 0.9
	slowBuckets  = 2
	// priorAttempts is the weight of the long-term rate in the recent one, in attempts, so that one
	// failure among a few attempts doesn't hide an unhealthy upstream.
	priorAttempts = 20
	// Computing the baselines reads the state of all upstreams. They are cached for
	// poolAgePerUpstream for each upstream in the pool, at most maxPoolAge.
	poolAgePerUpstream = time.Millisecond
	maxPoolAge         = 250 * time.Millisecond
	// maxPoolKinds bounds the number of request kinds of one upstream in the pool.
	maxPoolKinds = 256
)

// Pool collects the summaries of a service's upstreams at its aggregator.
type Pool struct {
	members  map[fleet.UpstreamID]*member
	cached   []KindBaseline
	cachedAt time.Time // when cached was computed
	dirty    bool      // members has changed since then
}

type member struct {
	seq    uint64
	seenAt time.Time
	kinds  map[string]*pooledKind
}

type pooledKind struct {
	usedAt   time.Time
	recent   [recentIntervals]KindSummary
	longTerm struct {
		succeeded, failed float64
		latencies         decayedCounts
	}
}

// NewPool returns an empty pool.
func NewPool() *Pool { return &Pool{members: map[fleet.UpstreamID]*member{}} }

// Add records a summary. A summary that lags the latest of its upstream by less than 100 intervals,
// or is malformed, is ignored.
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
	slot := int(s.Seq % recentIntervals)
	decay := math.Exp(-Interval.Seconds() / longWindow.Seconds())
	for _, k := range m.kinds {
		k.recent[slot] = KindSummary{}
		k.longTerm.succeeded *= decay
		k.longTerm.failed *= decay
		k.longTerm.latencies.scale(decay)
	}
	for _, ks := range s.Kinds {
		if !ks.Latencies.valid() {
			continue
		}
		k := m.kind(now, ks.Kind)
		if k == nil {
			continue
		}
		k.recent[slot] = ks
		k.longTerm.succeeded += float64(ks.Succeeded)
		k.longTerm.failed += float64(ks.Failed)
		k.longTerm.latencies.add(&ks.Latencies)
	}
	p.dirty = true
}

// kind returns the state of a kind, or nil if there are too many kinds. Kinds that had no attempts for
// kindRetention make room for others.
func (m *member) kind(now time.Time, name string) *pooledKind {
	k := m.kinds[name]
	if k == nil {
		if len(m.kinds) >= maxPoolKinds {
			maps.DeleteFunc(m.kinds, func(_ string, k *pooledKind) bool { return now.Sub(k.usedAt) > kindRetention })
		}
		if len(m.kinds) >= maxPoolKinds {
			return nil
		}
		k = &pooledKind{}
		m.kinds[name] = k
	}
	k.usedAt = now
	return k
}

// Remove drops an upstream, for instance one that was ejected.
func (p *Pool) Remove(u fleet.UpstreamID) {
	delete(p.members, u)
	p.dirty = true
}

// Baseline returns the recent behaviour of the peers, for upstream u.
func (p *Pool) Baseline(now time.Time, u fleet.UpstreamID) Baseline {
	for id, m := range p.members {
		if now.Sub(m.seenAt) > forgetAfter {
			p.Remove(id)
		}
	}
	maxAge := min(time.Duration(len(p.members))*poolAgePerUpstream, maxPoolAge)
	if p.dirty && now.Sub(p.cachedAt) >= maxAge {
		p.cached = p.baselines()
		p.cachedAt, p.dirty = now, false
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
		b.SlowBucket, b.SlowRate = slowBaseline(kinds)
		out = append(out, b)
	}
	slices.SortFunc(out, func(a, b KindBaseline) int { return cmp.Compare(a.Kind, b.Kind) })
	return out
}

// failureRate returns the higher of the long-term and the recent failure rate of the peers, without
// the worst quarter.
func failureRate(kinds []*pooledKind) float64 {
	kinds = withoutWorstQuarter(kinds, func(k *pooledKind) float64 {
		return (k.longTerm.failed + 0.01) / (k.longTerm.succeeded + k.longTerm.failed + 1)
	})
	var longTerm, recent rate
	for _, k := range kinds {
		longTerm.add(k.longTerm.failed, k.longTerm.succeeded+k.longTerm.failed)
		for i := range k.recent {
			r := &k.recent[i]
			recent.add(float64(r.Failed), float64(r.Succeeded+r.Failed))
		}
	}
	return max(longTerm.value(), recent.shrunk(longTerm.value()))
}

// slowBaseline returns the highest bucket that doesn't count as slow, and the share of the peers'
// attempts above it. The bucket follows the higher of the long-term and the recent quantile.
func slowBaseline(kinds []*pooledKind) (bucket int, slowRate float64) {
	kinds = withoutWorstQuarter(kinds, func(k *pooledKind) float64 { return k.longTerm.latencies.mean() })
	var longTerm, recent decayedCounts
	for _, k := range kinds {
		longTerm.addAll(&k.longTerm.latencies)
		for i := range k.recent {
			recent.add(&k.recent[i].Latencies)
		}
	}
	bucket = longTerm.quantile(slowQuantile)
	if recent.total() >= priorAttempts {
		bucket = max(bucket, recent.quantile(slowQuantile))
	}
	bucket = min(bucket+slowBuckets, bucketCount-1)
	l := rate{longTerm.above(bucket), longTerm.total()}
	r := rate{recent.above(bucket), recent.total()}
	return bucket, max(l.value(), r.shrunk(l.value()))
}

// withoutWorstQuarter returns the kinds without the quarter that scores highest, rounded up, so
// that unhealthy upstreams don't shift the baseline.
func withoutWorstQuarter(kinds []*pooledKind, score func(*pooledKind) float64) []*pooledKind {
	type scored struct {
		kind  *pooledKind
		score float64
	}
	all := make([]scored, len(kinds))
	for i, k := range kinds {
		all[i] = scored{k, score(k)}
	}
	slices.SortFunc(all, func(a, b scored) int { return cmp.Compare(a.score, b.score) })
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

// rate is a number of events among a number of attempts.
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

// shrunk returns the rate as if priorAttempts further attempts had been made at the rate prior.
func (r *rate) shrunk(prior float64) float64 {
	return (r.events + priorAttempts*prior) / (r.attempts + priorAttempts)
}
