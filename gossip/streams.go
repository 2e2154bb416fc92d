package gossip

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/godwithub/godwithub/fleet"
	"github.com/godwithub/godwithub/link"
	"github.com/godwithub/godwithub/wire"
)

// A full exchange consists of three lists. Each is sent in chunks, of which the last has Last set:
//
//	initiator: digests of what it knows
//	responder: records that differ from the digests, and the IDs of the nodes whose records it wants
//	initiator: the wanted records
const (
	// maxChunkBytes is the maximum size of the elements of a chunk. It leaves room in the frame for
	// the rest of the chunk.
	maxChunkBytes = link.MaxPayload - 1024
	// maxChunks limits a list to 16 MB.
	maxChunks = 256
	// minCompressedSize is the size of a chunk, in bytes, from which it is compressed. Records
	// repeat names of regions, failure domains and services, and parts of addresses.
	minCompressedSize = 1 << 10
	// checkInterval is the mean time between two checks whether an exchange is due, and between two
	// attempts of a node that knows no other live node.
	checkInterval = time.Second
	// chunkTimeout bounds the wait for a chunk. A partner that needs longer, or whose connection has gone
	// silent, must not hold up the exchanges with others.
	chunkTimeout = 2 * time.Second
	// seedOdds is one over the probability that a periodic exchange goes to a seed, which reunites
	// parts of a fleet that have forgotten each other.
	seedOdds = 8
)

// membersChunk is a part of a list, and the payload of a frame of type wire.FrameMembers.
type membersChunk struct {
	Digests []cbor.RawMessage `cbor:"1,keyasint,omitempty"` // of type digest
	Records []cbor.RawMessage `cbor:"2,keyasint,omitempty"` // of type record
	Want    []fleet.NodeID    `cbor:"3,keyasint,omitempty"`
	Last    bool              `cbor:"4,keyasint,omitempty"`
	// Compressed is a whole encoded chunk, compressed. No other field is set with it.
	Compressed []byte `cbor:"5,keyasint,omitempty"`
}

// chunkWriter splits a list into chunks that each fit a frame.
type chunkWriter struct {
	s     link.Stream
	chunk membersChunk
	bytes int
	total int
	err   error
}

func (w *chunkWriter) reserve(n int) {
	if w.bytes+n > maxChunkBytes || len(w.chunk.Digests)+len(w.chunk.Records)+len(w.chunk.Want) >= maxListed {
		w.flush()
	}
	w.bytes += n
}

func (w *chunkWriter) flush() {
	b, err := compressChunk(mustEncode(w.chunk))
	w.total += len(b)
	if w.err = cmp.Or(w.err, err); w.err == nil {
		w.err = w.s.WriteFrame(wire.FrameMembers, b)
	}
	w.chunk, w.bytes = membersChunk{}, 0
}

// compressChunk returns the frame payload of an encoded chunk. A small chunk is not compressed.
func compressChunk(chunk []byte) ([]byte, error) {
	if len(chunk) < minCompressedSize {
		return chunk, nil
	}
	b, err := wire.Compress(chunk)
	if err != nil {
		return nil, fmt.Errorf("gossip: compress chunk: %w", err)
	}
	return mustEncode(membersChunk{Compressed: b}), nil
}

// decodeChunk decodes a frame payload, which may be compressed.
func decodeChunk(payload []byte) (membersChunk, error) {
	var chunk membersChunk
	if err := streamDecoding.Unmarshal(payload, &chunk); err != nil {
		return chunk, fmt.Errorf("%w: %w", errMalformed, err)
	}
	if chunk.Compressed == nil {
		return chunk, nil
	}
	plain, err := wire.Decompress(chunk.Compressed, link.MaxPayload)
	if err != nil {
		return chunk, fmt.Errorf("%w: %w", errMalformed, err)
	}
	chunk = membersChunk{}
	if err := streamDecoding.Unmarshal(plain, &chunk); err != nil {
		return chunk, fmt.Errorf("%w: %w", errMalformed, err)
	}
	return chunk, nil
}

// writeChunks sends a list and returns its size on the wire in bytes.
func writeChunks(s link.Stream, digests []digest, records []record, want []fleet.NodeID) (int, error) {
	w := &chunkWriter{s: s}
	for _, d := range digests {
		raw := mustEncode(d)
		w.reserve(len(raw))
		w.chunk.Digests = append(w.chunk.Digests, raw)
	}
	for _, r := range records {
		raw := mustEncode(r)
		w.reserve(len(raw))
		w.chunk.Records = append(w.chunk.Records, raw)
	}
	for _, id := range want {
		w.reserve(len(id) + 3)
		w.chunk.Want = append(w.chunk.Want, id)
	}
	w.chunk.Last = true
	w.flush()
	return w.total, w.err
}

// memberList is a received list.
type memberList struct {
	digests []digest
	records []record
	want    []fleet.NodeID
	bytes   int
}

// add appends the elements of one chunk and reports whether it was the last one.
func (l *memberList) add(payload []byte) (last bool, err error) {
	chunk, err := decodeChunk(payload)
	if err != nil {
		return false, err
	}
	l.bytes += len(payload)
	for _, raw := range chunk.Digests {
		var d digest
		if err := streamDecoding.Unmarshal(raw, &d); err != nil || !validName(string(d.Node)) {
			return false, errors.Join(errMalformed, err)
		}
		l.digests = append(l.digests, d)
	}
	for _, raw := range chunk.Records {
		var r record
		if err := streamDecoding.Unmarshal(raw, &r); err != nil {
			return false, fmt.Errorf("%w: %w", errMalformed, err)
		}
		if err := r.check(); err != nil {
			return false, err
		}
		l.records = append(l.records, r)
	}
	l.want = append(l.want, chunk.Want...)
	return chunk.Last, nil
}

// readChunks reads a list. first is the payload of its first frame, or nil if that has not been read.
func readChunks(s link.Stream, first []byte) (*memberList, error) {
	l := &memberList{}
	for n := 0; n < maxChunks; n++ {
		payload := first
		if n > 0 || first == nil {
			s.SetReadDeadline(time.Now().Add(chunkTimeout))
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
	return nil, fmt.Errorf("%w: list has more than %d chunks", errMalformed, maxChunks)
}

// HandleStream responds to a full exchange that another node initiated. It is a link.Handler.
func (g *Gossip) HandleStream(ctx context.Context, s link.Stream, first link.Frame) {
	ctx, cancel := context.WithTimeout(ctx, g.cfg.ExchangeTimeout)
	defer cancel()
	defer context.AfterFunc(ctx, s.Reset)()
	if err := g.answerExchange(s, first.Payload); err != nil {
		g.log.Debug("failed to answer a full exchange", "peer", s.PeerName(), "err", err)
		s.Reset()
		return
	}
	s.Close()
	g.counters.ExchangesServed.Add(1)
}

func (g *Gossip) answerExchange(s link.Stream, first []byte) error {
	theirs, err := readChunks(s, first)
	if err != nil {
		return err
	}
	g.mu.Lock()
	records, want := g.core.compareDigests(time.Now(), theirs.digests)
	g.mu.Unlock()
	sent, err := writeChunks(s, nil, records, want)
	if err != nil {
		return err
	}
	wanted, err := readChunks(s, nil)
	if err != nil {
		return err
	}
	g.counters.ExchangeBytes.Add(uint64(theirs.bytes + sent + wanted.bytes))
	g.updateCore(func(c *core, now time.Time) { c.mergeRecords(now, wanted.records, false) })
	return nil
}

// exchange initiates a full exchange with the node at addr and waits for its end.
func (g *Gossip) exchange(ctx context.Context, addr string) error {
	ctx, cancel := context.WithTimeout(ctx, g.cfg.ExchangeTimeout)
	defer cancel()
	s, err := g.dialer.Open(ctx, addr)
	if err != nil {
		return err
	}
	defer context.AfterFunc(ctx, s.Reset)()
	if err := g.initiateExchange(s); err != nil {
		s.Reset()
		return err
	}
	return s.Close()
}

func (g *Gossip) initiateExchange(s link.Stream) error {
	g.mu.Lock()
	wasJoining := g.core.joining
	digests := g.core.digests()
	g.mu.Unlock()
	digestBytes, err := writeChunks(s, digests, nil, nil)
	if err != nil {
		return err
	}
	theirs, err := readChunks(s, nil)
	if err != nil {
		return err
	}
	var wanted []record
	bringsRecall := false
	g.updateCore(func(c *core, now time.Time) {
		bringsRecall = c.bringsRecall(theirs.records)
		wanted = c.recordsOf(now, theirs.want)
		c.mergeRecords(now, theirs.records, wasJoining)
	})
	if bringsRecall {
		g.recall.finish()
	}
	recordBytes, err := writeChunks(s, nil, wanted, nil)
	g.counters.ExchangeBytes.Add(uint64(digestBytes + theirs.bytes + recordBytes))
	return err
}

// runExchanges joins the fleet, and then runs requested, periodic and repair exchanges until ctx is
// done.
func (g *Gossip) runExchanges(ctx context.Context) {
	due := time.Now()
	if g.joinThroughSeeds(ctx) {
		due = due.Add(g.cfg.ExchangeInterval/2 + rand.N(g.cfg.ExchangeInterval))
	}
	wait := time.NewTimer(0)
	defer wait.Stop()
	retry := newSeedRetry()
	for {
		select {
		case <-ctx.Done():
			return
		case addr := <-g.exchangeRequests:
			g.runExchange(ctx, addr)
			continue
		case <-wait.C:
		}
		if addr, ok := g.missingSeed(); ok && retry.due(time.Now()) {
			g.runExchange(ctx, addr)
		} else if addr, ok := g.partner(!time.Now().Before(due)); ok {
			due = time.Now().Add(g.cfg.ExchangeInterval/2 + rand.N(g.cfg.ExchangeInterval))
			g.runExchange(ctx, addr)
		}
		wait.Reset(checkInterval/2 + rand.N(checkInterval))
	}
}

// joinThroughSeeds runs full exchanges with the seeds, in random order, until one succeeds. A seed that does not
// answer in time is not waited for: the next one is asked beside it. It reports whether one has succeeded.
func (g *Gossip) joinThroughSeeds(ctx context.Context) bool {
	seeds := slices.DeleteFunc(slices.Clone(g.cfg.Seeds), func(s string) bool { return s == g.Local().LinkAddr })
	rand.Shuffle(len(seeds), func(a, b int) { seeds[a], seeds[b] = seeds[b], seeds[a] })
	results := make(chan error, len(seeds))
	next := time.NewTimer(0)
	defer next.Stop()
	for started, ended := 0, 0; ended < len(seeds); {
		select {
		case <-next.C:
			seed := seeds[started]
			go func() { results <- g.runExchange(ctx, seed) }()
			if started++; started < len(seeds) {
				next.Reset(seedHedgeDelay)
			}
		case err := <-results:
			if err == nil {
				return true
			}
			if ended++; ended == started {
				next.Reset(0)
			}
		case <-ctx.Done():
			return false
		}
	}
	return false
}

func (g *Gossip) runExchange(ctx context.Context, addr string) error {
	g.counters.Exchanges.Add(1)
	err := g.exchange(ctx, addr)
	if err != nil && ctx.Err() == nil {
		g.counters.ExchangesFailed.Add(1)
		g.log.Debug("full exchange failed", "addr", addr, "err", err)
	}
	return err
}

// partner returns the link address of the node to run a full exchange with. It returns one if a
// periodic exchange is due, if no live member is known, or if a member's table differs.
func (g *Gossip) partner(due bool) (addr string, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.core.refreshViews()
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
