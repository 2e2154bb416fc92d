package ingress

import (
	"cmp"
	"slices"
	"time"

	"github.com/godwithub/godwithub/board"
	"github.com/godwithub/godwithub/fleet"
	"github.com/godwithub/godwithub/wire"
)

// Ingresses pass on what they have heard of the load and health of upstreams
// with the answers of their dispatcher. An ingress alone sends each upstream a
// request every few seconds, and what it knows is older than most changes;
// together they hear of each upstream several times a second. It spreads along
// the traffic of a service, so that it costs nothing where there is none.
const (
	// maxPeers bounds the loads that go with one answer, at about 30 bytes each.
	maxPeers = 4
	// peerFresh is the age up to which a load is passed on.
	peerFresh = 500 * time.Millisecond
)

// PeerLoads returns the loads of upstreams of a service in this region that were
// reported last, without that of except.
func (in *Ingress) PeerLoads(service string, except fleet.UpstreamID) []wire.PeerLoad {
	v := in.cfg.View()
	return in.loads.peers(v.Upstreams[service], v.Self.Region, except, time.Now())
}

func (t *loadTable) peers(upstreams []board.Upstream, region string, except fleet.UpstreamID, now time.Time) []wire.PeerLoad {
	var fresh []wire.PeerLoad
	t.mu.RLock()
	defer t.mu.RUnlock()
	for i := range upstreams {
		u := &upstreams[i]
		e := t.entries[u.ID]
		if e == nil || u.Region != region || u.ID == except {
			continue
		}
		if p, ok := e.peer(u.ID, now); ok {
			fresh = append(fresh, p)
		}
	}
	slices.SortFunc(fresh, func(a, b wire.PeerLoad) int { return cmp.Compare(a.AgeMs, b.AgeMs) })
	return fresh[:min(len(fresh), maxPeers)]
}

// peer returns the reported load as it is passed on. ok is false if it is old.
func (e *loadEntry) peer(id fleet.UpstreamID, now time.Time) (p wire.PeerLoad, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	age := now.Sub(e.reported.at)
	if age > peerFresh {
		return p, false
	}
	return wire.PeerLoad{
		Upstream:       string(id),
		AgeMs:          age.Milliseconds(),
		SlotsInUse:     e.reported.inUse,
		Ahead:          e.reported.ahead,
		FailingPercent: int(100 * e.reported.failing),
		Suspect:        e.reported.suspect,
	}, true
}

// learnPeers takes in the loads that came with the end of an attempt. end is nil
// if none came.
func (t *loadTable) learnPeers(end *wire.AnswerEnd, now time.Time) {
	if end == nil {
		return
	}
	for i := range end.Peers {
		p := &end.Peers[i]
		t.entry(fleet.UpstreamID(p.Upstream)).learn(p, now)
	}
}

// learn takes in a load that is newer than the known one.
func (e *loadEntry) learn(p *wire.PeerLoad, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	at := now.Add(-time.Duration(p.AgeMs) * time.Millisecond)
	if p.AgeMs < 0 || !at.After(e.reported.at) {
		return
	}
	e.atReport = e.pending
	if e.pending > 0 && e.begunAt.After(at) {
		e.atReport--
	}
	r := &e.reported
	r.inUse, r.ahead, r.at = p.SlotsInUse, p.Ahead, at
	r.suspect, r.failing = p.Suspect, float64(p.FailingPercent)/100
}
