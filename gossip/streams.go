package gossip

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/godwithub/godwithub/fleet"
	"github.com/godwithub/godwithub/link"
	"github.com/godwithub/godwithub/wire"
)

// A full exchange is three lists of parts, each list ended by a part with Last:
//
//	opener:   digests of what it knows
//	answerer: records that differ from them, and wanted records
//	opener:   the wanted records
const (
	// maxPartBytes leaves room in a frame for the part around its elements.
	maxPartBytes = link.MaxPayload - 1024
	// maxParts bounds a list, at 16 MB.
	maxParts = 256
	// minPacked is the size of a part, in bytes, from which it is compressed. Records
	// repeat names of regions, failure domains and services, and parts of addresses.
	minPacked = 1 << 10
	// checkInterval is the mean time between two looks at whether an exchange
	// is due, and between two attempts of a node that knows no other.
	checkInterval = time.Second
	// seedOdds is one over the chance that a periodic exchange goes to a seed,
	// which reunites parts of a fleet that have forgotten each other.
	seedOdds = 8
)

// membersPart is the payload of a wire.FrameMembers.
type membersPart struct {
	Digests []cbor.RawMessage `cbor:"1,keyasint,omitempty"` // of digest
	Records []cbor.RawMessage `cbor:"2,keyasint,omitempty"` // of record
	Want    []fleet.NodeID    `cbor:"3,keyasint,omitempty"`
	Last    bool              `cbor:"4,keyasint,omitempty"`
	// Packed is a whole part, compressed. Nothing else is set beside it.
	Packed []byte `cbor:"5,keyasint,omitempty"`
}

// partWriter splits a list into parts that each fit a frame.
type partWriter struct {
	s     link.Stream
	part  membersPart
	bytes int
	total int
	err   error
}

func (w *partWriter) reserve(n int) {
	if w.bytes+n > maxPartBytes || len(w.part.Digests)+len(w.part.Records)+len(w.part.Want) >= maxListed {
		w.flush()
	}
	w.bytes += n
}

func (w *partWriter) flush() {
	b, err := packed(mustEncode(w.part))
	w.total += len(b)
	if w.err = cmp.Or(w.err, err); w.err == nil {
		w.err = w.s.WriteFrame(wire.FrameMembers, b)
	}
	w.part, w.bytes = membersPart{}, 0
}

// packed returns an encoded part as it travels.
func packed(part []byte) ([]byte, error) {
	if len(part) < minPacked {
		return part, nil
	}
	b, err := wire.Compress(part)
	if err != nil {
		return nil, fmt.Errorf("gossip: %w", err)
	}
	return mustEncode(membersPart{Packed: b}), nil
}

// unpacked decodes a part that may be compressed.
func unpacked(payload []byte) (membersPart, error) {
	var p membersPart
	if err := streamDecoding.Unmarshal(payload, &p); err != nil {
		return p, fmt.Errorf("%w: %w", errMalformed, err)
	}
	if p.Packed == nil {
		return p, nil
	}
	plain, err := wire.Expand(p.Packed, link.MaxPayload)
	if err != nil {
		return p, fmt.Errorf("%w: %w", errMalformed, err)
	}
	p = membersPart{}
	if err := streamDecoding.Unmarshal(plain, &p); err != nil {
		return p, fmt.Errorf("%w: %w", errMalformed, err)
	}
	return p, nil
}

// writeParts sends a list and returns its size in bytes.
func writeParts(s link.Stream, digests []digest, records []record, want []fleet.NodeID) (int, error) {
	w := &partWriter{s: s}
	for _, d := range digests {
		raw := mustEncode(d)
		w.reserve(len(raw))
		w.part.Digests = append(w.part.Digests, raw)
	}
	for _, r := range records {
		raw := mustEncode(r)
		w.reserve(len(raw))
		w.part.Records = append(w.part.Records, raw)
	}
	for _, id := range want {
		w.reserve(len(id) + 3)
		w.part.Want = append(w.part.Want, id)
	}
	w.part.Last = true
	w.flush()
	return w.total, w.err
}

// memberList is a whole list as it was received.
type memberList struct {
	digests []digest
	records []record
	want    []fleet.NodeID
	bytes   int
}

// add takes one part and reports whether it was the last one.
func (l *memberList) add(payload []byte) (last bool, err error) {
	p, err := unpacked(payload)
	if err != nil {
		return false, err
	}
	l.bytes += len(payload)
	for _, raw := range p.Digests {
		var d digest
		if err := streamDecoding.Unmarshal(raw, &d); err != nil || !validName(string(d.Node)) {
			return false, errors.Join(errMalformed, err)
		}
		l.digests = append(l.digests, d)
	}
	for _, raw := range p.Records {
		var r record
		if err := streamDecoding.Unmarshal(raw, &r); err != nil {
			return false, fmt.Errorf("%w: %w", errMalformed, err)
		}
		if err := r.check(); err != nil {
			return false, err
		}
		l.records = append(l.records, r)
	}
	l.want = append(l.want, p.Want...)
	return p.Last, nil
}

// readParts reads a list. first holds the payload of its first frame, or nil.
func readParts(s link.Stream, first []byte) (*memberList, error) {
	l := &memberList{}
	for n := 0; n < maxParts; n++ {
		payload := first
		if n > 0 || first == nil {
			f, err := s.ReadFrame()
			if err != nil {
				return nil, err
			}
			if f.Type != wire.FrameMembers {
				return nil, &wire.UnexpectedFrameError{Got: f.Type, Want: wire.FrameMembers}
			}
			payload = f.Payload
		}
		last, err := l.add(payload)
		if err != nil || last {
			return l, err
		}
	}
	return nil, fmt.Errorf("%w: more than %d parts", errMalformed, maxParts)
}

// HandleStream answers a full exchange. It is a link.Handler.
func (g *Gossip) HandleStream(ctx context.Context, s link.Stream, first link.Frame) {
	ctx, cancel := context.WithTimeout(ctx, g.cfg.SyncTimeout)
	defer cancel()
	defer context.AfterFunc(ctx, s.Reset)()
	if err := g.answer(s, first.Payload); err != nil {
		g.log.Debug("full exchange was not answered", "peer", s.PeerName(), "err", err)
		s.Reset()
		return
	}
	s.Close()
	g.counters.ExchangesServed.Add(1)
}

func (g *Gossip) answer(s link.Stream, first []byte) error {
	theirs, err := readParts(s, first)
	if err != nil {
		return err
	}
	g.mu.Lock()
	records, want := g.core.compare(theirs.digests)
	g.mu.Unlock()
	sent, err := writeParts(s, nil, records, want)
	if err != nil {
		return err
	}
	wanted, err := readParts(s, nil)
	if err != nil {
		return err
	}
	g.counters.ExchangeBytes.Add(uint64(theirs.bytes + sent + wanted.bytes))
	g.do(func(c *core, now time.Time) { c.merge(now, wanted.records, false) })
	return nil
}

// exchange does a full exchange with the node at addr.
func (g *Gossip) exchange(ctx context.Context, addr string) error {
	ctx, cancel := context.WithTimeout(ctx, g.cfg.SyncTimeout)
	defer cancel()
	s, err := g.dialer.Open(ctx, addr)
	if err != nil {
		return err
	}
	defer context.AfterFunc(ctx, s.Reset)()
	if err := g.request(s); err != nil {
		s.Reset()
		return err
	}
	return s.Close()
}

func (g *Gossip) request(s link.Stream) error {
	g.mu.Lock()
	starting := g.core.joining
	digests := g.core.digests()
	g.mu.Unlock()
	opened, err := writeParts(s, digests, nil, nil)
	if err != nil {
		return err
	}
	theirs, err := readParts(s, nil)
	if err != nil {
		return err
	}
	var wanted []record
	g.do(func(c *core, now time.Time) {
		wanted = c.recordsOf(theirs.want)
		c.merge(now, theirs.records, starting)
	})
	sent, err := writeParts(s, nil, wanted, nil)
	g.counters.ExchangeBytes.Add(uint64(opened + theirs.bytes + sent))
	return err
}

// runExchanges joins the fleet and then seldom exchanges everything with a
// random member.
func (g *Gossip) runExchanges(ctx context.Context) {
	due := time.Now()
	wait := time.NewTimer(0)
	defer wait.Stop()
	retry := newSeedRetry()
	for {
		select {
		case <-ctx.Done():
			return
		case addr := <-g.asked:
			g.runExchange(ctx, addr)
			continue
		case <-wait.C:
		}
		if addr, ok := g.missingSeed(); ok && retry.due(time.Now()) {
			g.runExchange(ctx, addr)
		} else if addr, ok := g.partner(!time.Now().Before(due)); ok {
			due = time.Now().Add(g.cfg.SyncInterval/2 + rand.N(g.cfg.SyncInterval))
			g.runExchange(ctx, addr)
		}
		wait.Reset(checkInterval/2 + rand.N(checkInterval))
	}
}

func (g *Gossip) runExchange(ctx context.Context, addr string) {
	g.counters.Exchanges.Add(1)
	if err := g.exchange(ctx, addr); err != nil && ctx.Err() == nil {
		g.counters.ExchangesFailed.Add(1)
		g.log.Debug("full exchange failed", "addr", addr, "err", err)
	}
}

// partner returns whom to exchange with, if an exchange is due, the node knows
// no live member, or a member's table differs.
func (g *Gossip) partner(due bool) (addr string, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.core.views()
	if !due && !g.core.joining {
		return g.core.repairPartner(time.Now())
	}
	seed := g.core.joining && rand.IntN(2) == 0 || rand.IntN(seedOdds) == 0
	if addr, ok = g.core.exchangePartner(); ok && !seed {
		return addr, true
	}
	if len(g.cfg.Seeds) > 0 {
		s := g.cfg.Seeds[rand.IntN(len(g.cfg.Seeds))]
		if s != g.core.self.meta.LinkAddr {
			return s, true
		}
	}
	return addr, ok
}
